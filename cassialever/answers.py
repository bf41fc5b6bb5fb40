"""The answers that a daemon writes to callers: refusals and bodies."""

from typing import Final

import msgspec
from aiohttp import web

from cassialever.errors import ANSWER_BY_KIND, Failure
from cassialever.exchange import Routed
from cassialever.intake import REQUEST_ID_HEADER
from cassialever.messages import HolderAnswer
from cassialever.misc import close_body
from cassialever.types import RequestId

ERROR_HEADER: Final = 'X-Cassialever-Error'
TARGET_HEADER: Final = 'X-Cassialever-Target'
HOLDER_HEADER: Final = 'X-Cassialever-Holder'


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


async def stream(
    request: web.BaseRequest,
    request_id: RequestId,
    routed: Routed,
    answer: HolderAnswer,
) -> web.StreamResponse:
    """Pass a target's answer on to the caller, as it comes."""
    response = web.StreamResponse(
        status=answer.status,
        headers=_answer_headers(request_id, routed, answer),
    )
    try:
        await response.prepare(request)
        await _write_body(request, response, answer)
    finally:
        await close_body(answer.body)
    return response


async def _write_body(
    request: web.BaseRequest,
    response: web.StreamResponse,
    answer: HolderAnswer,
) -> None:
    async for chunk in answer.body:
        if isinstance(chunk, Failure):
            # The head has gone out, so that only a broken connection can
            # tell the caller that this body is not whole.
            _break_off(request)
            return
        await response.write(chunk)
    await response.write_eof()


def _break_off(request: web.BaseRequest) -> None:
    transport = request.transport
    if transport:
        transport.abort()


def _answer_headers(
    request_id: RequestId,
    routed: Routed,
    answer: HolderAnswer,
) -> list[tuple[str, str]]:
    headers = list(answer.headers)
    headers.append((REQUEST_ID_HEADER, request_id))
    headers.append((TARGET_HEADER, str(routed.target_id)))
    headers.append((HOLDER_HEADER, str(routed.holder)))
    return headers
