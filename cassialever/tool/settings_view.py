"""List the effective settings and the source of each value."""

from collections.abc import Iterator

from msgspec import Struct, inspect, json

from cassialever.documents.decoding import DecodedDocument
from cassialever.documents.document import Document
from cassialever.documents.formats import SECRET
from cassialever.documents.nodes import ObjectNode, Path, get_child
from cassialever.settings import Settings
from cassialever.telemetry.logs import REDACTED

DEFAULT_SOURCE = 'default'


class SettingValue(Struct, frozen=True):
    """A setting; the value of a secret is hidden."""

    name: str
    value: str
    source: str


class EffectiveSettings(Struct, frozen=True):
    """All settings of a file, including defaults."""

    file: str
    settings: tuple[SettingValue, ...]


def show_settings(
    file: str, decoding: DecodedDocument[Settings]
) -> EffectiveSettings:
    """Return all settings with their sources."""
    shown = _iter_settings((), decoding.content, decoding.document)
    return EffectiveSettings(file, tuple(shown))


def _iter_settings(
    path: Path,
    section: Struct,
    document: Document,
) -> Iterator[SettingValue]:
    described = inspect.type_info(type(section))
    assert isinstance(described, inspect.StructType)
    for field in described.fields:
        value = getattr(section, field.name)
        child_path = (*path, field.encode_name)
        if isinstance(value, Struct):
            yield from _iter_settings(child_path, value, document)
            continue
        yield SettingValue(
            '.'.join(str(step) for step in child_path),
            REDACTED if _is_secret(field.type) else _format_value(value),
            _source(child_path, document),
        )


def _format_value(value: object) -> str:
    return json.encode(value).decode()


def _is_secret(field_type: inspect.Type) -> bool:
    if not isinstance(field_type, inspect.Metadata):
        return False
    return bool((field_type.extra or {}).get(SECRET))


def _source(path: Path, document: Document) -> str:
    node = document.root
    for step in path[:-1]:
        child = get_child(node, step)
        if child is None:
            return DEFAULT_SOURCE
        node = child
    name = str(path[-1])
    member = node.member(name) if isinstance(node, ObjectNode) else None
    if member is None:
        return DEFAULT_SOURCE
    place = document.fault_at_offset(member.offset, '')
    return f'line {place.line}, column {place.column}'
