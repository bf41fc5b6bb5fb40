"""Decode JSON with comments into a typed struct."""

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
    """A decoded value and the text that it was decoded from."""

    def __init__(self, content: _Decoded, text: str) -> None:
        self.content = content
        self._text = text

    @functools.cached_property
    def document(self) -> Document:
        """Parse the text into a document that has the offset of each value."""
        document = parse_document(self._text)
        assert isinstance(document, Document)
        return document


def decode(
    text: str,
    expected_type: type[_Decoded],
) -> DecodedDocument[_Decoded] | list[Fault]:
    """Decode a text, or return all its faults in the order of the text.

    Plain JSON is tried first: large catalogues are plain JSON written by
    programs. The slow parser, which adds the offsets, is needed only for a
    text that has comments or faults.
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
    # Can't fail: the type check has passed.
    return msgspec.convert(as_builtins(root), expected_type)
