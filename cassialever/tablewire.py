"""What goes over the wire to the platform's table service, by HTTP."""

import asyncio
from collections.abc import Mapping, Sequence
from typing import Final, TypeVar

import aiohttp
import msgspec

from cassialever.errors import ErrorKind, Failure
from cassialever.interfaces import Row
from cassialever.platform_session import PlatformSession
from cassialever.settings import PlatformSettings
from cassialever.types import RowName, RowVersion

READ_PATH: Final = '/v1/read'
SCAN_PATH: Final = '/v1/scan'
COMMIT_PATH: Final = '/v1/commit'

#: The table's refusal of what is over its limit, before it is carried out.
TOO_MANY_REQUESTS: Final = 429


class ReadOrder(msgspec.Struct, frozen=True):
    """Ask for rows by name."""

    names: Sequence[RowName]


class ScanOrder(msgspec.Struct, frozen=True):
    """Ask for the rows whose names start with a prefix."""

    prefix: str


class RowsReply(msgspec.Struct, frozen=True):
    """The rows that were found."""

    rows: list[Row]


class CommitReply(msgspec.Struct, frozen=True):
    """New versions, or the rows whose version was not as expected."""

    version_by_name: Mapping[RowName, RowVersion] = {}
    conflicts: list[RowName] = []


Reply = TypeVar('Reply', RowsReply, CommitReply)


class TableWire(PlatformSession):
    """Post orders and read replies."""

    def __init__(self, settings: PlatformSettings) -> None:
        """Take the settings; `start` opens the session."""
        super().__init__(settings.table_url, settings.timeout_seconds)

    async def post(
        self,
        path: str,
        order: msgspec.Struct,
        reply_type: type[Reply],
    ) -> Reply | Failure:
        """Return the reply.

        Fails with `table_unavailable` only where the order was not carried
        out, and with `table_answer_lost` where it may have been.
        """
        if self.session is None:
            return Failure(ErrorKind.table_unavailable, 'not started')
        try:
            async with self.session.post(
                path,
                data=msgspec.json.encode(order),
            ) as response:
                return await _reply(response, reply_type)
        except aiohttp.ClientConnectorError as error:
            return Failure(ErrorKind.table_unavailable, str(error))
        except (aiohttp.ClientError, asyncio.TimeoutError) as lost:
            return Failure(ErrorKind.table_answer_lost, repr(lost))


async def _reply(
    response: aiohttp.ClientResponse,
    reply_type: type[Reply],
) -> Reply | Failure:
    if response.status == TOO_MANY_REQUESTS:
        return Failure(ErrorKind.table_unavailable, 'the table is at its limit')
    response.raise_for_status()
    content = await response.read()
    try:
        return msgspec.json.decode(content, type=reply_type)
    except msgspec.MsgspecError as error:
        return Failure(ErrorKind.table_answer_lost, f'bad reply: {error}')
