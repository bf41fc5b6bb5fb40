"""A client of a daemon's operators' endpoint."""

import asyncio
from typing import TypeVar
from urllib.parse import quote

import aiohttp
import msgspec

from cassialever.decoding import decode_json
from cassialever.errors import ErrorKind, Failure
from cassialever.operators.api import (
    BEARER_PREFIX,
    DUMP_PATH,
    EXPLAIN_PATH,
    OWNERS_PATH,
    STATUS_PATH,
    Explanations,
    RefusalBody,
)
from cassialever.operators.decisions import DecisionQuery
from cassialever.operators.view import KeyOwner, Status
from cassialever.settings import Settings

TIMEOUT_SECONDS = 5
_FIRST_ERROR_STATUS = 400

_Reply = TypeVar('_Reply')


class OperatorClient:
    """Query the operators' endpoint of one daemon."""

    def __init__(self, settings: Settings, url: str = '') -> None:
        """Use `url`, or the address of the instance in the settings."""
        instance = settings.instance
        self.url = url or f'http://{instance.address}:{instance.operator_port}'
        self._credential = settings.security.operator_credential
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the session."""
        self._session = aiohttp.ClientSession(
            self.url,
            headers={'Authorization': f'{BEARER_PREFIX}{self._credential}'},
            timeout=aiohttp.ClientTimeout(total=TIMEOUT_SECONDS),
        )

    async def stop(self) -> None:
        """Close the session."""
        if self._session:
            await self._session.close()
            self._session = None

    async def status(self) -> Status | Failure:
        """Return the daemon's status."""
        return await self._get(STATUS_PATH, Status)

    async def owner(self, service: str, key: str) -> KeyOwner | Failure:
        """Return the owner of a key."""
        path = f'{OWNERS_PATH}/{quote(service)}/{quote(key, safe="")}'
        return await self._get(path, KeyOwner)

    async def explain(self, query: DecisionQuery) -> Explanations | Failure:
        """Return the explanations of the decisions that match a query."""
        fields = msgspec.structs.asdict(query)
        filters = {name: value for name, value in fields.items() if value}
        return await self._get(EXPLAIN_PATH, Explanations, filters)

    async def dump(self) -> msgspec.Raw | Failure:
        """Return the daemon's internal state as undecoded JSON."""
        return await self._get(DUMP_PATH, msgspec.Raw)

    async def _get(
        self,
        path: str,
        reply_type: type[_Reply],
        query: dict[str, str] | None = None,
    ) -> _Reply | Failure:
        if self._session is None:
            return self._unreachable('not started')
        try:
            async with self._session.get(path, params=query) as response:
                return _decode_reply(
                    response.status,
                    await response.read(),
                    reply_type,
                )
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            return self._unreachable(str(error) or repr(error))

    def _unreachable(self, reason: str) -> Failure:
        return Failure(
            ErrorKind.peer_unreachable,
            f'the daemon at {self.url} does not answer ({reason}); check that'
            ' it is running and that instance.address and'
            ' instance.operator_port in the settings are those of the daemon',
        )


def _decode_reply(
    status: int,
    body: bytes,
    reply_type: type[_Reply],
) -> _Reply | Failure:
    if status < _FIRST_ERROR_STATUS:
        return decode_json(body, reply_type, ErrorKind.bad_request)
    refusal = decode_json(body, RefusalBody)
    if isinstance(refusal, Failure):
        return Failure(ErrorKind.bad_request, f'the daemon answered {status}')
    return Failure(refusal.kind, refusal.reason)
