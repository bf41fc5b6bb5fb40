"""What the codec has to know of a message's field types."""

from typing import Any

import msgspec


def needs_lowering(part: Any) -> bool:
    """Say whether a type holds what the thrift writer doesn't take."""
    if isinstance(part, msgspec.inspect.StructType | msgspec.inspect.EnumType):
        return True
    if isinstance(part, msgspec.inspect.UnionType):
        return any(map(needs_lowering, part.types))
    if isinstance(part, msgspec.inspect.DictType):
        return needs_lowering(part.key_type) or needs_lowering(
            part.value_type,
        )
    if isinstance(part, msgspec.inspect.TupleType):
        return any(map(needs_lowering, part.item_types))
    inner = getattr(part, 'item_type', None)
    return inner is not None and needs_lowering(inner)


def is_pairs(part: Any) -> bool:
    """Say whether a type is pairs of texts, which travel as a flat list."""
    pair = getattr(part, 'item_type', None)
    if not isinstance(pair, msgspec.inspect.TupleType):
        return False
    halves = [type(half) for half in pair.item_types]
    return halves == [msgspec.inspect.StrType, msgspec.inspect.StrType]
