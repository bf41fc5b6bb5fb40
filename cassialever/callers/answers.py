"""The answers that a daemon writes to callers: refusals and bodies."""

from typing import Final

import msgspec
from aiohttp import web

from cassialever.callers.intake import REQUEST_ID_HEADER
from cassialever.errors import ANSWER_BY_KIND, Failure
from cassialever.gateway.front import relayed_response
from cassialever.gateway.outcomes import Answer
from cassialever.platform import wire
from cassialever.types import RequestId

ERROR_HEADER: Final = 'X-Cassialever-Error'
TARGET_HEADER: Final = 'X-Cassialever-Target'


class Refusal(msgspec.Struct, frozen=True):
    """The body of an answer that the router gives by itself."""

    request_id: RequestId
    kind: str
    sentence: str
    reason: str
    not_run: bool
    entry: str = ''


def refuse(request_id: RequestId, failure: Failure) -> web.Response:
    """Return the answer that tells a caller of a failure."""
    answer = ANSWER_BY_KIND[failure.kind]
    entry = str(failure.entry) if failure.entry else ''
    refusal = Refusal(
        request_id=request_id,
        kind=failure.kind.value,
        sentence=answer.sentence,
        reason=failure.reason,
        not_run=answer.not_run,
        entry=entry,
    )
    headers = {
        REQUEST_ID_HEADER: request_id,
        ERROR_HEADER: failure.kind.value,
    }
    if failure.retry_after:
        headers['Retry-After'] = str(max(1, round(failure.retry_after)))
    return web.Response(
        status=answer.status,
        headers=headers,
        body=msgspec.json.encode(refusal),
        content_type='application/json',
    )


def pass_on(request_id: RequestId, answer: Answer) -> web.Response:
    """Return a target's answer as the caller gets it."""
    headers = wire.unlabelled(answer.headers)
    response = relayed_response(
        msgspec.structs.replace(answer, headers=headers)
    )
    response.headers[REQUEST_ID_HEADER] = request_id
    response.headers[TARGET_HEADER] = answer.target_id
    return response
