"""Decode a text in JSON with comments into a typed struct."""

from typing import Generic, TypeVar

import msgspec

from cassialever.documents import Document, Fault, parse_document
from cassialever.nodes import plain
from cassialever.type_check import TypeCheck

_Decoded = TypeVar('_Decoded')


class Decoding(msgspec.Struct, Generic[_Decoded]):
    """A decoded value and the document that it came from."""

    content: _Decoded
    document: Document


def decode(
    text: str,
    wanted: type[_Decoded],
) -> Decoding[_Decoded] | list[Fault]:
    """Decode a text, or return all its faults in the order of the text."""
    document = parse_document(text)
    if isinstance(document, list):
        return document
    faults = TypeCheck(document).run(wanted)
    if faults:
        return faults
    try:
        content = msgspec.convert(plain(document.root), wanted)
    except msgspec.ValidationError as error:
        return [document.fault(document.root.offset, f'{error}.')]
    return Decoding(content, document)
