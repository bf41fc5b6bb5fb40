"""The long body of a stand-in target: it can break and be taken up again."""

import asyncio
from http import HTTPStatus
from typing import Final

from aiohttp import web

#: Bytes written at a time.
PIECE_BYTES: Final = 16_384


class Download:
    """One body with a validator, at any path that ends with `/download`."""

    def __init__(self) -> None:
        """Start with a short body that never breaks."""
        self.body = b'download'
        self.etag = '"1"'
        #: Where each coming answer breaks, in bytes of it; none if empty.
        self.breaks: list[int] = []
        #: Go silent where an answer would break, in place of breaking it.
        self.stalls = False
        self.checks_if_range = True
        self.sent = 0
        self.ranges: list[str] = []
        self._stopped = asyncio.Event()

    def stop(self) -> None:
        """Let go of what has stalled."""
        self._stopped.set()

    def is_at(self, path: str) -> bool:
        """Say whether a path leads here."""
        return path.endswith('/download')

    async def send(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer with the body, or with the range that was asked for."""
        start = self._start(request)
        response = web.StreamResponse(
            status=HTTPStatus.PARTIAL_CONTENT if start else HTTPStatus.OK,
            headers={'ETag': self.etag},
        )
        part = self.body[start:]
        response.content_length = len(part)
        if start:
            last = len(self.body) - 1
            span = f'bytes {start}-{last}/{len(self.body)}'
            response.headers['Content-Range'] = span
        await response.prepare(request)
        stop = self.breaks.pop(0) if self.breaks else len(part)
        for offset in range(0, stop, PIECE_BYTES):
            piece = part[offset : min(offset + PIECE_BYTES, stop)]
            await response.write(piece)
            self.sent += len(piece)
        if stop < len(part) and self.stalls:
            await self._stopped.wait()
        if stop < len(part) and request.transport:
            request.transport.close()
        return response

    def _start(self, request: web.BaseRequest) -> int:
        wanted = request.headers.get('Range', '')
        self.ranges.append(wanted)
        same = request.headers.get('If-Range') == self.etag
        if not wanted or (self.checks_if_range and not same):
            return 0
        return int(wanted.removeprefix('bytes=').removesuffix('-'))
