"""Prove to each other that both ends of a link belong to one fleet.

Each end answers the other's random challenge with a keyed hash (HMAC, RFC
2104) of the challenge and its own side, so that neither a recorded answer
nor one sent back serves a stranger. Without a key in the settings no proof
is asked: the network between daemons is then what keeps strangers out.
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

#: Bytes of a challenge; as many as the hash has.
CHALLENGE_BYTES: Final = 32
#: How long a proof may take; one crosses the network once each way.
PROOF_TIMEOUT: Final[Seconds] = 1.0


class Side(enum.Enum):
    """Which end of a link a proof is of."""

    acceptor = b'acceptor'
    connector = b'connector'


async def prove_as_acceptor(
    streams: Streams,
    key: str,
) -> Failure | None:
    """Let the daemon that connected prove itself, then do so as well."""
    reader, writer = streams
    challenge = secrets.token_bytes(CHALLENGE_BYTES)
    writer.write(messages.encode(messages.Proof(challenge, b'')))
    theirs = await _receive_proof(reader)
    if isinstance(theirs, Failure):
        return theirs
    if not _is_valid(theirs.answer, key, Side.connector, challenge):
        return _wrong_key()
    answer = _answer(key, Side.acceptor, theirs.challenge)
    writer.write(messages.encode(messages.Proof(b'', answer)))
    return None


async def prove_as_connector(
    streams: Streams,
    key: str,
) -> Failure | None:
    """Prove this daemon to the one that it connected to, and the reverse."""
    reader, writer = streams
    theirs = await _receive_proof(reader)
    if isinstance(theirs, Failure):
        return theirs
    challenge = secrets.token_bytes(CHALLENGE_BYTES)
    answer = _answer(key, Side.connector, theirs.challenge)
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
        message = await asyncio.wait_for(
            messages.receive(reader, messages.MAX_PROOF_BYTES),
            PROOF_TIMEOUT,
        )
    except (OSError, EOFError, asyncio.TimeoutError) as error:
        return Failure(ErrorKind.peer_unreachable, repr(error))
    except msgspec.DecodeError as rubbish:
        return Failure(ErrorKind.bad_credential, repr(rubbish))
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
