"""The HTTP endpoint of a daemon for operators.

Health, readiness and metrics are public, for the platform; every other path
requires the operator credential from the settings.
"""

import functools
import hmac
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Final, TypeAlias

import msgspec
from aiohttp import web

from cassialever.errors import ANSWER_BY_KIND, ErrorKind, Failure
from cassialever.events import Event, record
from cassialever.listening import PortUse, listen
from cassialever.operators.decisions import DecisionQuery
from cassialever.operators.explain import Explanation
from cassialever.operators.view import OperatorView
from cassialever.serving import ServerSite
from cassialever.settings import Settings
from cassialever.types import Key, ServiceName

HEALTH_PATH: Final = '/health'
READY_PATH: Final = '/ready'
METRICS_PATH: Final = '/metrics'
STATUS_PATH: Final = '/status'
EXPLAIN_PATH: Final = '/explain'
OWNERS_PATH: Final = '/owners'
DUMP_PATH: Final = '/dump'

BEARER_PREFIX: Final = 'Bearer '
#: aiohttp's limit for reading a request body; operator requests have none.
MAX_BODY_BYTES: Final = 1024
#: Maximum number of explanations in one response.
MAX_EXPLANATIONS: Final = 200

_Respond: TypeAlias = Callable[[web.Request], Awaitable[web.StreamResponse]]


class RefusalBody(msgspec.Struct, frozen=True):
    """The body of an error response to an operator."""

    kind: ErrorKind
    sentence: str
    reason: str


class Explanations(msgspec.Struct, frozen=True):
    """The explanations that match a query, newest first."""

    explanations: tuple[Explanation, ...]


class OperatorApi:
    """Serve the operators' endpoint of one daemon."""

    def __init__(self, settings: Settings, view: OperatorView) -> None:
        """Create the server; `start` listens."""
        self._settings = settings
        self._view = view
        self._site = ServerSite(self._application())
        self.url = ''

    async def start(self) -> None:
        """Listen on the configured operator port."""
        instance = self._settings.instance
        host, port = instance.address, instance.operator_port
        self.url = await listen(
            PortUse.operators,
            f'{host}:{port}',
            lambda: self._site.start(host, port),
        )

    async def stop(self) -> None:
        """Stop listening."""
        await self._site.stop()

    def _application(self) -> web.Application:
        app = web.Application(
            client_max_size=MAX_BODY_BYTES,
        )
        app.router.add_get(HEALTH_PATH, _health)
        app.router.add_get(READY_PATH, self._ready)
        app.router.add_get(METRICS_PATH, self._metrics)
        for path, respond in (
            (STATUS_PATH, self._status),
            (EXPLAIN_PATH, self._explain),
            (f'{OWNERS_PATH}/{{service}}/{{key:.+}}', self._owner),
            (DUMP_PATH, self._dump),
        ):
            guarded = functools.partial(self._require_credential, respond)
            app.router.add_get(path, guarded)
        return app

    async def _require_credential(
        self,
        respond: _Respond,
        request: web.Request,
    ) -> web.StreamResponse:
        """Reject a request without the operator credential."""
        if self._is_authorised(request):
            return await respond(request)
        record(Event.operator_refused, path=request.path)
        reason = 'an Authorization header with the credential is needed'
        return _refusal_response(Failure(ErrorKind.bad_credential, reason))

    def _is_authorised(self, request: web.Request) -> bool:
        received = request.headers.get('Authorization', '')
        expected = (
            f'{BEARER_PREFIX}{self._settings.security.operator_credential}'
        )
        # aiohttp decodes bytes that are not valid UTF-8 to surrogate escapes.
        received_bytes = received.encode(errors='surrogateescape')
        return hmac.compare_digest(received_bytes, expected.encode())

    async def _ready(self, request: web.Request) -> web.Response:
        reason = self._view.not_ready_reason()
        if reason:
            return web.Response(
                status=HTTPStatus.SERVICE_UNAVAILABLE, text=f'{reason}\n'
            )
        return web.Response(text='ready\n')

    async def _metrics(self, request: web.Request) -> web.Response:
        return web.Response(
            body=self._view.metrics(),
            headers={'Content-Type': 'text/plain; version=0.0.4'},
        )

    async def _status(self, request: web.Request) -> web.Response:
        return _json_response(self._view.status())

    async def _dump(self, request: web.Request) -> web.Response:
        return _json_response(self._view.dump())

    async def _explain(self, request: web.Request) -> web.Response:
        try:
            query = msgspec.convert(dict(request.query), DecisionQuery)
        except msgspec.ValidationError as error:
            return _refusal_response(Failure(ErrorKind.bad_request, str(error)))
        explanations = self._view.explain(query)[:MAX_EXPLANATIONS]
        return _json_response(Explanations(tuple(explanations)))

    async def _owner(self, request: web.Request) -> web.Response:
        owner = self._view.owner(
            ServiceName(request.match_info['service']),
            Key(request.match_info['key']),
        )
        return (
            _refusal_response(owner)
            if isinstance(owner, Failure)
            else _json_response(owner)
        )


async def _health(request: web.Request) -> web.Response:
    return web.Response(text='alive\n')


def _json_response(content: msgspec.Struct) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(content),
        content_type='application/json',
    )


def _refusal_response(failure: Failure) -> web.Response:
    answer = ANSWER_BY_KIND[failure.kind]
    refusal = RefusalBody(failure.kind, answer.sentence, failure.reason)
    return web.Response(
        status=answer.status,
        body=msgspec.json.encode(refusal),
        content_type='application/json',
    )
