"""Check a document against a msgspec type and report all its faults.

msgspec's own conversion stops at the first fault, so the document is
traversed together with msgspec's description of the type. Faults never quote
a value of the document, since it may be a secret.
"""

import functools
from collections.abc import Mapping
from typing import Any

from msgspec import Struct, inspect

from cassialever.documents.document import Document, Fault
from cassialever.documents.formats import (
    FORMAT,
    UNIT,
    Format,
    find_format_fault,
)
from cassialever.documents.nodes import (
    ArrayNode,
    Member,
    Node,
    ObjectNode,
    ScalarNode,
    describe_type,
)
from cassialever.documents.ranges import (
    NumberType,
    allowed_types,
    describe_number,
    describe_range,
    is_in_range,
)


class _FieldHints(Struct, frozen=True):
    """Unit and format from the annotation of a field."""

    unit: str = ''
    text_format: Format | None = None


class TypeChecker:
    """Traverse a document together with a type and collect the faults."""

    def __init__(self, document: Document) -> None:
        self.faults: list[Fault] = []
        self._document = document

    def add_fault(self, offset: int, sentence: str) -> None:
        """Add a fault at an offset in the text."""
        self.faults.append(self._document.fault_at_offset(offset, sentence))

    def run(self, expected_type: type[object]) -> list[Fault]:
        """Check the whole document and return its faults in text order."""
        self.visit(
            self._document.root, inspect.type_info(expected_type), _FieldHints()
        )
        return sorted(self.faults)

    def visit(
        self, node: Node, expected_type: inspect.Type, hints: _FieldHints
    ) -> None:
        """Check a node and its children against a type."""
        _check(expected_type, node, hints, self)


@functools.singledispatch
def _check(
    expected_type: inspect.Type,
    node: Node,
    hints: _FieldHints,
    checker: TypeChecker,
) -> None:
    raise NotImplementedError(f'no check for {type(expected_type).__name__}')


@_check.register
def _check_metadata(
    expected_type: inspect.Metadata,
    node: Node,
    hints: _FieldHints,
    checker: TypeChecker,
) -> None:
    extra = expected_type.extra or {}
    inner = _FieldHints(
        unit=extra.get(UNIT, hints.unit),
        text_format=extra.get(FORMAT, hints.text_format),
    )
    checker.visit(node, expected_type.type, inner)


@_check.register
def _check_struct(
    expected_type: inspect.StructType,
    node: Node,
    hints: _FieldHints,
    checker: TypeChecker,
) -> None:
    if not isinstance(node, ObjectNode):
        checker.add_fault(node.offset, _mismatch('an object', node))
        return
    field_by_name = {field.encode_name: field for field in expected_type.fields}
    for member in node.members:
        if node.member(member.name) is not member:
            checker.add_fault(
                member.offset, f'Duplicate field "{member.name}".'
            )
        _check_member(field_by_name, member, checker)
    for field in expected_type.fields:
        if field.required and node.member(field.encode_name) is None:
            checker.add_fault(
                node.offset, f'Required field "{field.encode_name}" is missing.'
            )


def _check_member(
    field_by_name: Mapping[str, inspect.Field],
    member: Member,
    checker: TypeChecker,
) -> None:
    field = field_by_name.get(member.name)
    if field is None:
        known = ', '.join(sorted(field_by_name))
        checker.add_fault(
            member.offset,
            f'Unknown field "{member.name}"; known fields are {known}.',
        )
        return
    checker.visit(member.node, field.type, _FieldHints())


@_check.register
def _check_array(
    expected_type: inspect.VarTupleType,
    node: Node,
    hints: _FieldHints,
    checker: TypeChecker,
) -> None:
    if not isinstance(node, ArrayNode):
        checker.add_fault(node.offset, _mismatch('an array', node))
        return
    for element in node.elements:
        checker.visit(element, expected_type.item_type, hints)


@_check.register
def _check_union(
    expected_type: inspect.UnionType,
    node: Node,
    hints: _FieldHints,
    checker: TypeChecker,
) -> None:
    """Check a union of null and one other type, the only kind in use."""
    if isinstance(node, ScalarNode) and node.value is None:
        if expected_type.includes_none:
            return
    for choice in expected_type.types:
        if not isinstance(choice, inspect.NoneType):
            checker.visit(node, choice, hints)
            return


@_check.register
def _check_bool(
    expected_type: inspect.BoolType,
    node: Node,
    hints: _FieldHints,
    checker: TypeChecker,
) -> None:
    if not isinstance(_scalar(node), bool):
        checker.add_fault(node.offset, _mismatch('true or false', node))


@_check.register(inspect.IntType)
@_check.register(inspect.FloatType)
def _check_number(
    expected_type: NumberType,
    node: Node,
    hints: _FieldHints,
    checker: TypeChecker,
) -> None:
    scalar = _scalar(node)
    description = describe_number(expected_type, hints.unit)
    if isinstance(scalar, bool) or not isinstance(
        scalar, allowed_types(expected_type)
    ):
        checker.add_fault(node.offset, _mismatch(description, node))
        return
    if not is_in_range(expected_type, scalar):
        limits = describe_range(expected_type)
        checker.add_fault(node.offset, f'Expected {description}, {limits}.')


@_check.register
def _check_string(
    expected_type: inspect.StrType,
    node: Node,
    hints: _FieldHints,
    checker: TypeChecker,
) -> None:
    scalar = _scalar(node)
    if not isinstance(scalar, str):
        checker.add_fault(node.offset, _mismatch('a string', node))
        return
    min_length = expected_type.min_length or 0
    if len(scalar) < min_length:
        checker.add_fault(
            node.offset,
            f'Expected a string of at least {min_length} characters.',
        )
        return
    if not scalar.isprintable():
        checker.add_fault(
            node.offset,
            'Expected a string without line breaks or control characters.',
        )
        return
    sentence = find_format_fault(hints.text_format, scalar)
    if sentence:
        checker.add_fault(node.offset, sentence)


@_check.register
def _check_enum(
    expected_type: inspect.EnumType,
    node: Node,
    hints: _FieldHints,
    checker: TypeChecker,
) -> None:
    choices = [choice.value for choice in expected_type.cls]
    if _scalar(node) not in choices:
        choice_list = ', '.join(f'"{choice}"' for choice in choices)
        checker.add_fault(node.offset, f'Expected one of {choice_list}.')


def _scalar(node: Node) -> Any:
    """Return the value of a scalar node, or any other node itself."""
    if isinstance(node, ScalarNode):
        return node.value
    return node


def _mismatch(expected: str, node: Node) -> str:
    return f'Expected {expected}, found {describe_type(node)}.'
