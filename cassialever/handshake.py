"""How two daemons prove to each other that they belong to the fleet.

No input or output. Each side sends a hello with a fresh nonce; then each
proves that it knows the fleet key, by a keyed digest over both hellos and
its own role. Nothing a peer says counts before its proof has been checked.

Hellos are msgpack, not thrift: they come from strangers, and the decoder of
msgspec takes no length on trust.
"""

import enum
import hmac
import secrets
from typing import Final

import msgspec

from cassialever.exceptions import CodecError, SettingsError
from cassialever.frames import LINK_STREAM, Frame, FrameType
from cassialever.settings import Settings
from cassialever.types import Incarnation, InstanceId

PROTOCOL_VERSION: Final = 1
OLDEST_VERSION: Final = 1

#: The longest hello or proof, in bytes.
HANDSHAKE_BYTES: Final = 1024

NONCE_BYTES: Final = 32

#: The smallest frame and window that a peer may offer, in bytes.
SMALLEST_LIMIT: Final = 1024


class Role(enum.Enum):
    """Which end of a link a daemon is."""

    dialler = 'dialler'
    acceptor = 'acceptor'


class Hello(msgspec.Struct, frozen=True, kw_only=True):
    """Who a peer says it is, until it has proved it.

    `frame_bytes` and `window_bytes` are what it is ready to receive.
    """

    version: int
    instance: InstanceId
    incarnation: Incarnation
    nonce: bytes
    frame_bytes: int
    window_bytes: int


class Greeting(msgspec.Struct, frozen=True):
    """What a handshake has come to: frames to send, and the proved peer."""

    replies: tuple[Frame, ...] = ()
    peer: Hello | None = None


class Handshake:
    """One side of one handshake."""

    def __init__(
        self,
        role: Role,
        own: Hello,
        fleet_key: str,
        expected: InstanceId | None = None,
    ) -> None:
        """Begin; `expected` is whom a dialler means to reach."""
        if not fleet_key:
            raise SettingsError('security.fleet_key is empty')
        self.role = role
        self.expected = expected
        self.hello = Frame(
            FrameType.hello,
            LINK_STREAM,
            msgspec.msgpack.encode(own),
        )
        self._peer: Hello | None = None
        self._peer_hello = b''
        self._key = fleet_key.encode()

    def receive(self, frame: Frame) -> Greeting:
        """Take a frame of the peer; raise `CodecError` if it is wrong."""
        if frame.frame_type is FrameType.hello:
            return self._receive_hello(frame.payload)
        if frame.frame_type is FrameType.proof:
            return self._receive_proof(frame.payload)
        raise CodecError('a frame came before the proof')

    def _receive_hello(self, payload: bytes) -> Greeting:
        if self._peer is not None:
            raise CodecError('a peer sent a second hello')
        self._peer = _decode_hello(payload)
        self._peer_hello = payload
        if self.expected not in {None, self._peer.instance}:
            raise CodecError('another instance answers at this address')
        proof = Frame(FrameType.proof, LINK_STREAM, self._digest(self.role))
        if self.role is Role.acceptor:
            return Greeting((self.hello, proof))
        return Greeting((proof,))

    def _receive_proof(self, payload: bytes) -> Greeting:
        if self._peer is None:
            raise CodecError('a proof came before the hello')
        if not hmac.compare_digest(payload, self._digest(_other(self.role))):
            raise CodecError('a peer does not know the fleet key')
        return Greeting(peer=self._peer)

    def _digest(self, role: Role) -> bytes:
        # The role is in the digest, so that no proof can be sent back, and
        # the hellos stand as they were sent, so that a newer peer's
        # additional fields count too.
        hellos = (self.hello.payload, self._peer_hello)
        if self.role is Role.acceptor:
            hellos = (self._peer_hello, self.hello.payload)
        claim = msgspec.msgpack.encode((role, *hellos))
        return hmac.digest(self._key, claim, 'sha256')


def _decode_hello(payload: bytes) -> Hello:
    try:
        peer = msgspec.msgpack.decode(payload, type=Hello)
    except msgspec.MsgspecError as error:
        raise CodecError('a hello does not decode') from error
    if peer.version < OLDEST_VERSION or len(peer.nonce) != NONCE_BYTES:
        raise CodecError('a hello has a bad version or nonce')
    if min(peer.frame_bytes, peer.window_bytes) < SMALLEST_LIMIT:
        raise CodecError('a peer receives too little')
    return peer


def _other(role: Role) -> Role:
    if role is Role.dialler:
        return Role.acceptor
    return Role.dialler


def new_handshake(
    role: Role,
    settings: Settings,
    incarnation: Incarnation,
    expected: InstanceId | None = None,
) -> Handshake:
    """Begin a handshake with a nonce of its own."""
    own = Hello(
        version=PROTOCOL_VERSION,
        instance=settings.instance.instance_id,
        incarnation=incarnation,
        nonce=secrets.token_bytes(NONCE_BYTES),
        frame_bytes=settings.links.frame_bytes,
        window_bytes=settings.links.window_bytes,
    )
    return Handshake(role, own, settings.security.fleet_key, expected)
