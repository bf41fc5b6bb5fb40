"""Typed messages to and from thrift's binary protocol.

A message is a msgspec Struct and has a thrift struct whose fields bear the
same names. Each module registers its own messages, each under a number that
is never used again; a message on the wire is that number and the struct.
"""

import enum
import struct
from collections.abc import Mapping, Sequence
from importlib import resources
from itertools import chain
from types import ModuleType
from typing import Any, Final, TypeVar

import msgspec
import thriftpy2
from thriftpy2.protocol import TCyBinaryProtocol
from thriftpy2.transport import TCyMemoryBuffer

from cassialever.exceptions import CodecError, InvariantError
from cassialever.field_types import is_pairs, needs_lowering
from cassialever.thrift_check import check_struct

MessageT = TypeVar('MessageT', bound=msgspec.Struct)

# One buffer serves every message, since there is one thread and no message
# is written or read in turns with another. The compiled classes lack types.
_buffer: Final[Any] = TCyMemoryBuffer()
_compiled: Final[Any] = TCyBinaryProtocol
_protocol: Final[Any] = _compiled(_buffer)
_NUMBER: Final = struct.Struct('!H')


class UnknownMessage(msgspec.Struct, frozen=True):
    """Stand for a message of a newer peer, whose number isn't known here."""

    number: int


def load_thrift(file_name: str) -> ModuleType:
    """Load a thrift file that lies beside the package's modules."""
    path = resources.files('cassialever').joinpath(file_name)
    module_name = file_name.replace('.', '_')
    return thriftpy2.load(str(path), module_name=module_name)


def _lower(field: Any) -> Any:
    """Turn a message's field into what the thrift writer takes."""
    if isinstance(field, msgspec.Struct):
        return _lower_struct(field)
    if isinstance(field, enum.Enum):
        return field.value
    if isinstance(field, Mapping):
        return {_lower(key): _lower(item) for key, item in field.items()}
    if isinstance(field, list | tuple | set | frozenset):
        return [_lower(item) for item in field]
    return field


class _Record:
    """A thrift struct's values under the message's own field names.

    Unlike thriftpy2's classes it has no attribute for an absent field, so
    that the message's default holds.
    """

    thrift_spec: dict[int, tuple[Any, ...]] = {}


def _pairs(flat: Sequence[str]) -> tuple[tuple[str, str], ...]:
    if len(flat) % 2:
        raise CodecError('a pair lacks its half')
    return tuple(zip(flat[::2], flat[1::2], strict=True))


class _Shape:
    """How one message type is written and read."""

    def __init__(
        self,
        message_type: type[msgspec.Struct],
        thrift_class: Any,
    ) -> None:
        """Pair the two; raise where their fields differ."""
        self.message_type = message_type
        self.name = message_type.__name__
        self.record_type = _record_type(thrift_class)
        spec = self.record_type.thrift_spec
        wire_names = {part[1] for part in spec.values()}
        own_names = {part.name for part in msgspec.structs.fields(message_type)}
        if wire_names != own_names:
            raise InvariantError(
                f'{self.name}: fields differ from the thrift file',
            )
        info: Any = msgspec.inspect.type_info(message_type)
        self.lowered = tuple(
            part.name for part in info.fields if needs_lowering(part.type)
        )

        self.paired = tuple(
            part.name for part in info.fields if is_pairs(part.type)
        )

    def to_record(self, message: msgspec.Struct) -> _Record:
        """Copy a message's fields for the thrift writer."""
        record = self.record_type()
        fields = record.__dict__
        fields.update(msgspec.structs.asdict(message))
        for name in self.lowered:
            fields[name] = _lower(fields[name])
        for name in self.paired:
            fields[name] = list(chain.from_iterable(fields[name]))
        return record

    def to_message(self, record: _Record) -> msgspec.Struct:
        """Make the message of what the thrift reader has read."""
        fields = record.__dict__
        for name in self.paired:
            fields[name] = _pairs(fields.get(name, ()))
        try:
            return msgspec.convert(
                fields,
                self.message_type,
                from_attributes=True,
            )
        except msgspec.ValidationError as error:
            raise CodecError(str(error)) from error


_shape_by_type: dict[type[msgspec.Struct], _Shape] = {}
_number_by_type: dict[type[msgspec.Struct], int] = {}
_type_by_number: dict[int, type[msgspec.Struct]] = {}


def _lower_struct(message: msgspec.Struct) -> _Record:
    return _shape_by_type[type(message)].to_record(message)


def _record_type(thrift_class: Any) -> type[_Record]:
    spec = {
        field_id: _own_spec(part)
        for field_id, part in thrift_class.thrift_spec.items()
    }
    return type(thrift_class.__name__, (_Record,), {'thrift_spec': spec})


def _own_spec(part: tuple[Any, ...]) -> tuple[Any, ...]:
    """Rename a field and put own records in place of thrift's classes."""
    ttype, name, *rest = part
    return (ttype, name.removesuffix('_'), *map(_own_type, rest))


def _own_type(part: Any) -> Any:
    if isinstance(part, tuple):
        return tuple(map(_own_type, part))
    if hasattr(part, 'thrift_spec'):
        return _record_type(part)
    return part


def register_struct(
    message_type: type[msgspec.Struct],
    thrift_class: Any,
) -> None:
    """Register a struct that only stands inside other messages."""
    _shape_by_type[message_type] = _Shape(message_type, thrift_class)


def register(
    number: int,
    message_type: type[msgspec.Struct],
    thrift_class: Any,
) -> None:
    """Register a message; raise `InvariantError` if its number is taken."""
    taken_by = _type_by_number.setdefault(number, message_type)
    if taken_by is not message_type:
        raise InvariantError(f'message number {number} is taken')
    _number_by_type[message_type] = number
    register_struct(message_type, thrift_class)


def encode(message: msgspec.Struct) -> bytes:
    """Write a registered message with its number."""
    message_type = type(message)
    record = _shape_by_type[message_type].to_record(message)
    _buffer.clean()
    _protocol.write_struct(record)
    number = _NUMBER.pack(_number_by_type[message_type])
    return number + bytes(_buffer.getvalue())


def decode(payload: bytes) -> msgspec.Struct:
    """Read a message of any registered type.

    Returns `UnknownMessage` for a number that isn't registered; raises
    `CodecError` if the bytes aren't what their number says.
    """
    if len(payload) < _NUMBER.size:
        raise CodecError('a message is too short for its number')
    number = _NUMBER.unpack_from(payload)[0]
    message_type = _type_by_number.get(number)
    if message_type is None:
        return UnknownMessage(number)
    return _read(_shape_by_type[message_type], payload[_NUMBER.size :])


def decode_as(message_type: type[MessageT], payload: bytes) -> MessageT:
    """Read a message of one type; raise `CodecError` if it is another."""
    message = decode(payload)
    if not isinstance(message, message_type):
        raise CodecError(f'expected {message_type.__name__}')
    return message


def _read(shape: _Shape, body: bytes) -> msgspec.Struct:
    # The reader of memory goes on past the end, hence the check before it.
    check_struct(body)
    record = shape.record_type()
    _buffer.setvalue(body)
    _protocol.read_struct(record)
    return shape.to_message(record)
