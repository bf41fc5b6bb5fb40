"""Control messages between daemons, handed to whom they concern."""

from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

from cassialever import codec
from cassialever.errors import ErrorKind, Failure
from cassialever.events import Event, record
from cassialever.handshake import Hello
from cassialever.links import Link
from cassialever.types import Incarnation, InstanceId

MessageT = TypeVar('MessageT', bound=msgspec.Struct)
ControlHandler = Callable[[InstanceId, Incarnation, MessageT], None]


def send(link: Link, message: msgspec.Struct) -> Failure | None:
    """Queue a control message, if a peer takes one of its size."""
    encoded = codec.encode(message)
    if len(encoded) > link.settings.message_bytes:
        name = type(message).__name__
        return Failure(ErrorKind.internal, f'a {name} is too long to send')
    link.write_control(encoded)
    return None


class ControlHandlers:
    """The handler of each type of control message."""

    def __init__(self) -> None:
        """Start with none."""
        self._handler_by_type: dict[type[Any], ControlHandler[Any]] = {}

    def add(
        self,
        message_type: type[MessageT],
        on_message: ControlHandler[MessageT],
    ) -> None:
        """Have each message of a type handled."""
        self._handler_by_type[message_type] = on_message

    def receive(self, peer: Hello, payload: bytes) -> None:
        """Handle one message; raise `CodecError` if it doesn't decode.

        A fault in a handler is recorded and costs no more than the message.
        """
        message = codec.decode(payload)
        on_message = self._handler_by_type.get(type(message))
        if on_message is None:
            record(
                Event.message_unknown,
                peer=peer.instance,
                message=repr(message),
            )
            return
        try:
            on_message(peer.instance, peer.incarnation, message)
        except Exception as error:
            record(Event.task_failed, task='control', error=repr(error))
