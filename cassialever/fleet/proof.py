"""Mutual authentication of the two ends of a link between daemons.

Each end answers the other's random challenge with a keyed hash (HMAC, RFC
2104) of the challenge and its own side, so that an attacker can neither
replay a recorded answer nor reflect one. Without a key in the settings there
is no authentication, and any peer that can reach the port is accepted.
"""

import asyncio
import enum
import hashlib
import hmac
import secrets
from typing import Final

import msgspec

from cassialever.errors import ErrorKind, Failure
from cassialever.fleet import messages
from cassialever.fleet.connecting import Streams
from cassialever.types import Seconds

#: The size of a SHA-256 hash.
CHALLENGE_BYTES: Final = 32
#: Time limit for each message received, which takes up to a round trip.
PROOF_TIMEOUT: Final[Seconds] = 1.0


class Side(enum.Enum):
    """The end of a link that answers a challenge."""

    acceptor = b'acceptor'
    connector = b'connector'


def keyed_hash(key: str, text: str) -> str:
    """Return the keyed hash of a text, in hexadecimal digits.

    Headers whose bytes are no text hold surrogates.
    """
    signed = text.encode(errors='surrogatepass')
    return hmac.digest(key.encode(), signed, hashlib.sha256).hex()


def is_keyed_hash(answer: str, key: str, text: str) -> bool:
    """Return whether an answer is the keyed hash of a text."""
    expected = keyed_hash(key, text).encode()
    return hmac.compare_digest(answer.encode(errors='replace'), expected)


async def prove_as_acceptor(
    streams: Streams,
    key: str,
) -> Failure | None:
    """Authenticate the daemon that connected, then prove this one to it."""
    reader, writer = streams
    challenge = secrets.token_bytes(CHALLENGE_BYTES)
    writer.write(messages.encode(messages.Proof(challenge, b'')))
    peer_proof = await _receive_proof(reader)
    if isinstance(peer_proof, Failure):
        return peer_proof
    if not _is_valid(peer_proof.answer, key, Side.connector, challenge):
        return _wrong_key()
    answer = _answer(key, Side.acceptor, peer_proof.challenge)
    writer.write(messages.encode(messages.Proof(b'', answer)))
    return None


async def prove_as_connector(
    streams: Streams,
    key: str,
) -> Failure | None:
    """Prove this daemon to the one it connected to, then authenticate it."""
    reader, writer = streams
    peer_proof = await _receive_proof(reader)
    if isinstance(peer_proof, Failure):
        return peer_proof
    challenge = secrets.token_bytes(CHALLENGE_BYTES)
    answer = _answer(key, Side.connector, peer_proof.challenge)
    writer.write(messages.encode(messages.Proof(challenge, answer)))
    reply = await _receive_proof(reader)
    if isinstance(reply, Failure):
        return reply
    if not _is_valid(reply.answer, key, Side.acceptor, challenge):
        return _wrong_key()
    return None


async def _receive_proof(
    reader: asyncio.StreamReader,
) -> messages.Proof | Failure:
    try:
        async with asyncio.timeout(PROOF_TIMEOUT):
            message = await messages.receive(reader, messages.MAX_PROOF_BYTES)
    except (OSError, EOFError, asyncio.TimeoutError) as error:
        return Failure(ErrorKind.peer_unreachable, repr(error))
    except msgspec.DecodeError as invalid:
        return Failure(ErrorKind.bad_credential, repr(invalid))
    if isinstance(message, messages.Proof):
        return message
    return _wrong_key()


def _answer(key: str, side: Side, challenge: bytes) -> bytes:
    signed = side.value + challenge
    return hmac.digest(key.encode(), signed, hashlib.sha256)


def _is_valid(answer: bytes, key: str, side: Side, challenge: bytes) -> bool:
    return hmac.compare_digest(answer, _answer(key, side, challenge))


def _wrong_key() -> Failure:
    return Failure(ErrorKind.bad_credential, 'the peer has another fleet key')
