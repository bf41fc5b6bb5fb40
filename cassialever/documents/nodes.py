"""The syntax tree of a document; each node has its offset in the text."""

from types import MappingProxyType
from typing import Any, TypeAlias

import msgspec

Scalar: TypeAlias = str | int | float | bool | None
#: The path to a value: names of members and indexes of elements.
Path: TypeAlias = tuple[str | int, ...]


class ScalarNode(msgspec.Struct, frozen=True):
    """A string, number, boolean or null."""

    offset: int
    value: Scalar


class ArrayNode(msgspec.Struct, frozen=True):
    """An array."""

    offset: int
    elements: tuple['Node', ...]


class Member(msgspec.Struct, frozen=True):
    """A member of an object; `offset` is that of its name."""

    offset: int
    name: str
    node: 'Node'


class ObjectNode(msgspec.Struct, frozen=True):
    """An object; duplicate names are kept, to be reported as faults."""

    offset: int
    members: tuple[Member, ...]

    def member(self, name: str) -> Member | None:
        """Return the first member with a name."""
        for member in self.members:
            if member.name == name:
                return member
        return None


Node: TypeAlias = ScalarNode | ArrayNode | ObjectNode


def as_builtins(node: Node) -> Any:
    """Return a node as built-in types, for `msgspec.convert`."""
    if isinstance(node, ScalarNode):
        return node.value
    if isinstance(node, ArrayNode):
        return [as_builtins(element) for element in node.elements]
    return {member.name: as_builtins(member.node) for member in node.members}


def get_child(node: Node, step: str | int) -> Node | None:
    """Return the child that a step of a path leads to, if it exists."""
    if isinstance(node, ObjectNode) and isinstance(step, str):
        member = node.member(step)
        return member.node if member else None
    if isinstance(node, ArrayNode) and isinstance(step, int):
        if step < len(node.elements):
            return node.elements[step]
    return None


def describe_type(node: Node) -> str:
    """Return the JSON type of a value in words, never the value itself."""
    if isinstance(node, ObjectNode):
        return 'an object'
    if isinstance(node, ArrayNode):
        return 'an array'
    if isinstance(node.value, bool):
        return 'true or false'
    return _SCALAR_DESCRIPTIONS.get(type(node.value), 'a number')


_SCALAR_DESCRIPTIONS = MappingProxyType({str: 'a string', type(None): 'null'})
