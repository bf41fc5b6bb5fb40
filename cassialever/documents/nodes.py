"""The values of a document in JSON with comments, each with its place."""

from types import MappingProxyType
from typing import Any, TypeAlias

import msgspec

Scalar: TypeAlias = str | int | float | bool | None
#: The way to a value: names of members and indexes of elements.
Path: TypeAlias = tuple[str | int, ...]


class ScalarNode(msgspec.Struct, frozen=True):
    """A text, number, truth value or null."""

    offset: int
    value: Scalar


class ListNode(msgspec.Struct, frozen=True):
    """An array."""

    offset: int
    elements: tuple['Node', ...]


class Member(msgspec.Struct, frozen=True):
    """One member of an object; `offset` is that of its name."""

    offset: int
    name: str
    node: 'Node'


class ObjectNode(msgspec.Struct, frozen=True):
    """An object; a name may stand twice, which is then a fault."""

    offset: int
    members: tuple[Member, ...]

    def member(self, name: str) -> Member | None:
        """Return the first member of a name."""
        for member in self.members:
            if member.name == name:
                return member
        return None


Node: TypeAlias = ScalarNode | ListNode | ObjectNode


def as_builtins(node: Node) -> Any:
    """Return a node as built-in values, as msgspec takes them."""
    if isinstance(node, ScalarNode):
        return node.value
    if isinstance(node, ListNode):
        return [as_builtins(element) for element in node.elements]
    return {member.name: as_builtins(member.node) for member in node.members}


def get_child(node: Node, step: str | int) -> Node | None:
    """Return what one step of a path leads to, if anything."""
    if isinstance(node, ObjectNode) and isinstance(step, str):
        member = node.member(step)
        return member.node if member else None
    if isinstance(node, ListNode) and isinstance(step, int):
        if step < len(node.elements):
            return node.elements[step]
    return None


def describe_type(node: Node) -> str:
    """Name the kind of a value, never the value itself."""
    if isinstance(node, ObjectNode):
        return 'an object'
    if isinstance(node, ListNode):
        return 'a list'
    if isinstance(node.value, bool):
        return 'true or false'
    return _SCALAR_DESCRIPTIONS.get(type(node.value), 'a number')


_SCALAR_DESCRIPTIONS = MappingProxyType({str: 'a text', type(None): 'null'})
