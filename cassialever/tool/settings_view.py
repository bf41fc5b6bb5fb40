"""Show the settings in force and where each value came from."""

from collections.abc import Iterator

from msgspec import Struct, inspect, json

from cassialever.documents.decoding import DecodedDocument
from cassialever.documents.document import Document
from cassialever.documents.formats import SECRET
from cassialever.documents.nodes import ObjectNode, Path, get_child
from cassialever.settings import Settings
from cassialever.telemetry.logs import REDACTED

DEFAULT_SOURCE = 'default'


class SettingShown(Struct, frozen=True):
    """One setting; a secret's value is hidden."""

    name: str
    value: str
    source: str


class SettingsShown(Struct, frozen=True):
    """Every setting of a file, defaults included."""

    file: str
    settings: tuple[SettingShown, ...]


def show_settings(
    file: str, decoding: DecodedDocument[Settings]
) -> SettingsShown:
    """List every setting."""
    shown = _shown((), decoding.content, decoding.document)
    return SettingsShown(file, tuple(shown))


def _shown(
    path: Path,
    section: Struct,
    document: Document,
) -> Iterator[SettingShown]:
    described = inspect.type_info(type(section))
    assert isinstance(described, inspect.StructType)
    for field in described.fields:
        value = getattr(section, field.name)
        below = (*path, field.encode_name)
        if isinstance(value, Struct):
            yield from _shown(below, value, document)
            continue
        yield SettingShown(
            '.'.join(str(step) for step in below),
            REDACTED if _is_secret(field.type) else _words(value),
            _source(below, document),
        )


def _words(value: object) -> str:
    return json.encode(value).decode()


def _is_secret(wanted: inspect.Type) -> bool:
    if not isinstance(wanted, inspect.Metadata):
        return False
    return bool((wanted.extra or {}).get(SECRET))


def _source(path: Path, document: Document) -> str:
    node = document.root
    for step in path[:-1]:
        below = get_child(node, step)
        if below is None:
            return DEFAULT_SOURCE
        node = below
    name = str(path[-1])
    member = node.member(name) if isinstance(node, ObjectNode) else None
    if member is None:
        return DEFAULT_SOURCE
    place = document.fault_at_offset(member.offset, '')
    return f'line {place.line}, column {place.column}'
