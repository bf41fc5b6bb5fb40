"""Parse JSON with comments and keep the offset of every value.

The text is parsed by json5; this module adds the offset of every key and
value, so that a fault can be reported by line and column.
"""

import bisect
import json
from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import Any, Final

import msgspec
from json5.parser import Parser

from cassialever.documents.nodes import (
    ArrayNode,
    Member,
    Node,
    ObjectNode,
    Path,
    ScalarNode,
    get_child,
)

#: Options of json5: reject control characters and trailing text.
_PARSER_OPTIONS: Final[Mapping[str, bool]] = MappingProxyType(
    {'_strict': True, '_consume_trailing': True},
)
#: The values of the literals that json5 returns as words.
_LITERAL_BY_WORD: Final[Mapping[str, bool | None]] = MappingProxyType(
    {'None': None, 'True': True, 'False': False},
)
_HEXADECIMAL: Final = 16


class Fault(msgspec.Struct, frozen=True, order=True):
    """A fault in a document; line and column are counted from 1."""

    line: int
    column: int
    sentence: str

    def __str__(self) -> str:
        """Return the fault as one line of readable text."""
        return f'line {self.line}, column {self.column}: {self.sentence}'


class Document:
    """A parsed text that converts offsets to lines and columns."""

    def __init__(self, text: str, root: Node) -> None:
        self.root = root
        self._line_starts = _line_starts(text)

    def fault_at_offset(self, offset: int, sentence: str) -> Fault:
        """Return a fault at an offset in the text."""
        return _fault_at(self._line_starts, offset, sentence)

    def fault_at_path(self, path: Path, sentence: str) -> Fault:
        """Return a fault at a path or its nearest existing parent."""
        return self.fault_at_offset(self.offset_of(path), sentence)

    def offset_of(self, path: Path) -> int:
        """Return the offset of the value at a path or of its nearest parent."""
        node = self.root
        for step in path:
            child = get_child(node, step)
            if child is None:
                break
            node = child
        return node.offset


def parse_document(text: str) -> Document | list[Fault]:
    """Parse JSON with comments; a syntax error is the only fault returned."""
    parser: Any = _NodeParser
    try:
        root, problem, position = parser(text, '').parse(_PARSER_OPTIONS)
    except RecursionError:
        return [Fault(1, 1, 'The text is nested too deeply.')]
    if problem:
        sentence = _syntax_error_sentence(text, position)
        return [_fault_at(_line_starts(text), position, sentence)]
    return Document(text, root)


def parse_plain_json(text: str) -> Node | None:
    """Parse plain JSON into nodes that all have offset 0.

    About a hundred times as fast as `parse_document`. Returns `None` if the
    text has comments or is not valid JSON.
    """
    try:
        return _from_builtin(json.loads(text, object_pairs_hook=_from_pairs))
    except (ValueError, RecursionError):
        return None


class _NodeParser(Parser):
    """The json5 parser, but returning nodes instead of its own tree.

    Overrides two rules that are named after json5's published grammar. They
    are private, so the version is pinned and tests/test_settings.py checks
    that they still work this way.
    """

    def _value_(self) -> None:  # noqa: WPS116, WPS120
        start = self.pos
        super()._value_()  # type: ignore[no-untyped-call]
        if not self.failed:
            node = _to_node(start, self.val)
            self._succeed(node)  # type: ignore[no-untyped-call]

    def _member_(self) -> None:  # noqa: WPS116, WPS120
        start = self.pos
        super()._member_()  # type: ignore[no-untyped-call]
        if not self.failed:
            member = _to_member(start, self.val)
            self._succeed(member)  # type: ignore[no-untyped-call]


def _to_node(offset: int, tree: Any) -> Node:
    if isinstance(tree, str):
        return ScalarNode(offset, _LITERAL_BY_WORD[tree])
    kind, content = tree
    if kind == 'object':
        return ObjectNode(offset, tuple(content))
    if kind == 'array':
        return ArrayNode(offset, tuple(content))
    if kind == 'number':
        return ScalarNode(offset, _number(content))
    return ScalarNode(offset, content)


def _to_member(offset: int, pair: Any) -> Member:
    name, node = pair
    return Member(offset, name, node)


def _from_pairs(pairs: list[tuple[str, Any]]) -> ObjectNode:
    members = [Member(0, name, _from_builtin(value)) for name, value in pairs]
    return ObjectNode(0, tuple(members))


def _from_builtin(value: Any) -> Node:
    if isinstance(value, ObjectNode):
        return value
    if isinstance(value, list):
        return ArrayNode(0, tuple(map(_from_builtin, value)))
    return ScalarNode(0, value)


def _number(text: str) -> int | float:
    if 'x' in text.lower():
        return int(text, base=_HEXADECIMAL)
    try:
        return int(text)
    except ValueError:
        return float(text.replace('Infinity', 'inf'))


def _line_starts(text: str) -> list[int]:
    return [0, *_after_newlines(text)]


def _after_newlines(text: str) -> Iterator[int]:
    for offset, character in enumerate(text):
        if character == '\n':
            yield offset + 1


def _fault_at(line_starts: list[int], offset: int, sentence: str) -> Fault:
    line = bisect.bisect_right(line_starts, offset)
    column = offset - line_starts[line - 1] + 1
    return Fault(line, column, sentence)


def _syntax_error_sentence(text: str, position: int) -> str:
    if position >= len(text):
        return 'Unexpected end of the text.'
    return f'Invalid JSON with comments: unexpected {text[position]!r}.'
