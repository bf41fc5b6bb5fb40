"""Check and describe the numeric types of msgspec and their bounds."""

import types
from typing import TypeAlias

from msgspec import inspect

NumberType: TypeAlias = inspect.IntType | inspect.FloatType


def allowed_types(
    number_type: NumberType,
) -> type[int] | types.UnionType:
    """Return the built-in types that a number of this type may have."""
    return int if isinstance(number_type, inspect.IntType) else int | float


def describe_number(
    number_type: NumberType,
    unit: str,
) -> str:
    """Describe a numeric type in words, with its unit if it has one."""
    is_integer = isinstance(number_type, inspect.IntType)
    number = 'a whole number' if is_integer else 'a number'
    return f'{number} of {unit}' if unit else number


def is_in_range(
    number_type: NumberType,
    number: float,
) -> bool:
    """Return whether a number is within the bounds of its type."""
    if number_type.gt is not None and not number > number_type.gt:
        return False
    if number_type.ge is not None and not number >= number_type.ge:
        return False
    return number_type.le is None or number <= number_type.le


def describe_range(number_type: NumberType) -> str:
    """Describe the bounds of a type in words."""
    words = (
        ('more than', number_type.gt),
        ('at least', number_type.ge),
        ('at most', number_type.le),
    )
    return ' and '.join(
        f'{word} {limit}' for word, limit in words if limit is not None
    )
