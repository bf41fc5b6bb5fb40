"""Decode a text in JSON with comments into a typed struct."""

import functools
from typing import Generic, TypeVar

import msgspec

from cassialever.documents.document import (
    Document,
    Fault,
    parse_document,
    parse_plain_json,
)
from cassialever.documents.nodes import Node, as_builtins
from cassialever.documents.type_check import TypeChecker

_Decoded = TypeVar('_Decoded')


class DecodedDocument(Generic[_Decoded]):
    """A decoded value and the text that it came from."""

    def __init__(self, content: _Decoded, text: str) -> None:
        """Pair the two."""
        self.content = content
        self._text = text

    @functools.cached_property
    def document(self) -> Document:
        """Return the text with the place of each value."""
        document = parse_document(self._text)
        assert isinstance(document, Document)
        return document


def decode(
    text: str,
    expected_type: type[_Decoded],
) -> DecodedDocument[_Decoded] | list[Fault]:
    """Decode a text, or return all its faults in the order of the text.

    A large catalogue is plain JSON, written by a program; where that has no
    fault, no places are needed and the slow parser is spared.
    """
    root = parse_plain_json(text)
    if root is not None and not TypeChecker(Document(text, root)).run(
        expected_type
    ):
        return DecodedDocument(_convert(root, expected_type), text)
    document = parse_document(text)
    if isinstance(document, list):
        return document
    faults = TypeChecker(document).run(expected_type)
    if faults:
        return faults
    return DecodedDocument(_convert(document.root, expected_type), text)


def _convert(root: Node, expected_type: type[_Decoded]) -> _Decoded:
    # What the check lets pass, the conversion takes.
    return msgspec.convert(as_builtins(root), expected_type)
