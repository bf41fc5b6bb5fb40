"""Bodies of targets' answers, whole or visibly broken."""

import asyncio
from collections.abc import AsyncIterator
from http import HTTPStatus
from typing import Final

import aiohttp

from cassialever.connectors import TargetConnector
from cassialever.errors import ErrorKind, Failure
from cassialever.types import Seconds

_WITHOUT_BODY: Final = frozenset(
    (
        HTTPStatus.NO_CONTENT,
        HTTPStatus.NOT_MODIFIED,
    )
)


def has_end(method: str, response: aiohttp.ClientResponse) -> bool:
    """Say whether the end of a body can be told from a broken connection."""
    if method.upper() == 'HEAD' or response.status in _WITHOUT_BODY:
        return True
    headers = response.headers
    coding = headers.get('Transfer-Encoding', '')
    return 'Content-Length' in headers or 'chunked' in coding.lower()


class TargetBody:
    """The body of one answer; it reads no faster than it is read.

    Without an end it is closed with its connection, so that nothing late of
    it can reach another request.
    """

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        connector: TargetConnector,
        longest_wait: Seconds,
    ) -> None:
        """Take an answer whose head has been read."""
        self._response = response
        self._connector = connector
        self._longest_wait = longest_wait
        self._over = False

    def __aiter__(self) -> AsyncIterator[bytes | Failure]:
        """Read this body; it can be read once."""
        return self

    async def __anext__(self) -> bytes | Failure:
        """Return the next chunk, or a `Failure` as the last one."""
        if self._over:
            raise StopAsyncIteration
        try:
            chunk = await self._next()
        except asyncio.CancelledError:
            self._break_off()
            raise
        except (aiohttp.ClientError, OSError) as error:
            return self._cut(error)
        if chunk:
            return chunk
        self._over = True
        self._response.release()
        raise StopAsyncIteration

    async def aclose(self) -> None:
        """Give up what is left."""
        if not self._over:
            self._break_off()

    async def _next(self) -> bytes:
        """Return the next chunk, empty at the end of a whole body."""
        content = self._response.content
        # Most answers are here whole by now and need no timer.
        if content.is_eof():
            return content.read_nowait()
        async with asyncio.timeout(self._longest_wait):
            return await content.readany()

    def _cut(self, error: Exception) -> Failure:
        self._break_off()
        if isinstance(error, TimeoutError):
            self._connector.disown_pooled()
        return Failure(ErrorKind.answer_cut, f'the answer broke off: {error!r}')

    def _break_off(self) -> None:
        self._over = True
        self._response.close()
