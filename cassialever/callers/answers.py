"""The answers that a daemon sends to callers: refusals and targets' answers."""

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


class RefusalBody(msgspec.Struct, frozen=True):
    """The body of an answer that the router itself gives."""

    request_id: RequestId
    kind: str
    sentence: str
    reason: str
    not_run: bool
    entry: str = ''


def refusal_response(request_id: RequestId, failure: Failure) -> web.Response:
    """Return the response for a request that failed."""
    answer = ANSWER_BY_KIND[failure.kind]
    entry = str(failure.entry) if failure.entry else ''
    body = RefusalBody(
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
        body=msgspec.json.encode(body),
        content_type='application/json',
    )


def target_response(request_id: RequestId, answer: Answer) -> web.Response:
    """Return the response that forwards a target's answer."""
    headers = wire.without_target_headers(answer.headers)
    response = relayed_response(
        msgspec.structs.replace(answer, headers=headers)
    )
    response.headers[REQUEST_ID_HEADER] = request_id
    response.headers[TARGET_HEADER] = answer.target_id
    return response
