"""Messages of types that this build doesn't know.

While the daemons are replaced by those of a later build, that build may send
types of messages that it has added. They are skipped, and logged.
"""

import asyncio
from typing import Any, Final, get_args

import msgspec

from cassialever.decoding import attempt, shortened
from cassialever.errors import Failure
from cassialever.events import Event, record
from cassialever.types import Seconds

#: A peer's skipped messages are logged once in this time.
LOG_INTERVAL: Final[Seconds] = 60.0
#: Datagrams are not authenticated, so the number of peers that are logged is
#: bounded.
MAX_LOGGED_PEERS: Final = 1000


class UnknownMessage(msgspec.Struct, frozen=True):
    """A message of a type that this build doesn't know."""

    type_name: str


class MessageDecoder:
    """Decodes messages of a union of tagged array structs."""

    def __init__(self, union: Any) -> None:
        """Decode the types of a union; all tags are of one Python type."""
        self._decoder = msgspec.msgpack.Decoder(union)
        self._tags = frozenset(
            one.__struct_config__.tag for one in get_args(union)
        )
        self._tag_type = type(next(iter(self._tags)))

    def decode(self, body: bytes) -> Any:
        """Decode a message; return an UnknownMessage for other types.

        Raises msgspec.DecodeError if the bytes are no message, or are invalid
        for their type.
        """
        decoded = attempt(lambda: self._decode(body))
        if isinstance(decoded, Failure):
            raise msgspec.DecodeError(decoded.reason)
        return decoded

    def _decode(self, body: bytes) -> Any:
        try:
            return self._decoder.decode(body)
        except msgspec.ValidationError:
            unknown = self._find_unknown(body)
            if unknown is None:
                raise
            return unknown

    def _find_unknown(self, body: bytes) -> UnknownMessage | None:
        fields = msgspec.msgpack.decode(body, type=list[msgspec.Raw])
        if not fields:
            return None
        tag = msgspec.msgpack.decode(fields[0])
        if not isinstance(tag, self._tag_type) or tag in self._tags:
            return None
        return UnknownMessage(shortened(str(tag)))


class SkipLog:
    """Logs skipped messages, once a peer and LOG_INTERVAL."""

    def __init__(self) -> None:
        """Start with nothing logged."""
        self._logged_at_by_peer: dict[str, Seconds] = {}

    def note(self, peer: str, unknown: UnknownMessage) -> None:
        """Log that a message of a peer was skipped, unless it was lately."""
        now = asyncio.get_running_loop().time()
        logged_at = self._logged_at_by_peer.get(peer)
        if logged_at is not None and now - logged_at < LOG_INTERVAL:
            return
        self._forget_before(now - LOG_INTERVAL)
        if len(self._logged_at_by_peer) >= MAX_LOGGED_PEERS:
            return
        self._logged_at_by_peer[peer] = now
        record(Event.type_skipped, type=unknown.type_name, peer=peer)

    def _forget_before(self, oldest: Seconds) -> None:
        for peer, logged_at in list(self._logged_at_by_peer.items()):
            if logged_at <= oldest:
                self._logged_at_by_peer.pop(peer)
