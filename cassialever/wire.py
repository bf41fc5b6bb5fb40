"""Messages of the request path on the wire, and their numbers.

Numbers under 100 are those of the request path; each module that sends
control messages registers its own, from 100 on.
"""

from typing import Final

import msgspec

from cassialever import codec
from cassialever.errors import EntryRef, ErrorKind, Failure
from cassialever.exceptions import CodecError
from cassialever.messages import RequestHead, TargetLoad
from cassialever.types import Headers

PEER_THRIFT: Final = codec.load_thrift('peer.thrift')


class AnswerHead(msgspec.Struct, frozen=True):
    """The head of a leaseholder's answer."""

    status: int
    headers: Headers
    load: TargetLoad


codec.register(1, RequestHead, PEER_THRIFT.RequestHead)
codec.register_struct(TargetLoad, PEER_THRIFT.TargetLoad)
codec.register(2, AnswerHead, PEER_THRIFT.AnswerHead)
codec.register_struct(EntryRef, PEER_THRIFT.EntryRef)
codec.register(3, Failure, PEER_THRIFT.Failure)


def decode_failure(payload: bytes) -> Failure:
    """Read a failure; one of a kind not known here leaves all unknown."""
    try:
        return codec.decode_as(Failure, payload)
    except CodecError:
        return Failure(
            ErrorKind.outcome_unknown,
            'the peer failed in a way not known here',
        )
