"""Parse the requests on a connection when there is room for them."""

import asyncio
from collections import deque
from typing import Any, Final, cast

from aiohttp import web
from aiohttp.http import RawRequestMessage
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader

from cassialever.gateway.connection_guard import (
    HEAD_TOO_LONG,
    ConnectionGuard,
    GuardedConnection,
)
from cassialever.gateway.received_bytes import ReceivedBytes
from cassialever.policy.connection_limits import (
    MAX_PARSED_AHEAD,
    Stage,
    head_cost,
)
from cassialever.policy.memory import READ_AHEAD_BYTES
from cassialever.types import Seconds

#: Bytes of a body that are read ahead; at twice as many, reading is paused.
BODY_BUFFER_BYTES: Final = READ_AHEAD_BYTES // 2


class GatedConnection(web.RequestHandler):
    """A connection whose bytes wait until they can be parsed cheaply.

    Of the requests behind one that is answered, few are parsed; the others
    wait as bytes, and beyond READ_AHEAD_BYTES in the socket.
    """

    __slots__ = (
        '_guard',
        '_head_costs',
        '_parsed',
        '_plain_transport',
        '_received',
        'begun_at',
        'completed',
        'held',
        'progressed_at',
        'waits_for_memory',
    )

    def __init__(
        self, server: web.Server, guard: ConnectionGuard, **options: Any
    ) -> None:
        """Create a connection; options are those of aiohttp's server."""
        super().__init__(
            server,
            loop=asyncio.get_running_loop(),
            read_bufsize=BODY_BUFFER_BYTES,
            **options,
        )
        self._guard = guard
        self._plain_transport: asyncio.Transport | None = None
        self._received = ReceivedBytes()
        #: The body of the request that was parsed last.
        self._parsed: StreamReader | None = None
        #: Of the parsed requests that have not ended.
        self._head_costs: deque[int] = deque()
        self.begun_at: Seconds | None = None
        self.completed = 0
        self.held = 0
        self.progressed_at: Seconds = self._loop.time()
        self.waits_for_memory = False

    def data_received(self, data: bytes) -> None:
        """Keep received bytes, and parse what there is room for.

        aiohttp calls it without bytes when it goes on after a pause.
        """
        if self._force_close or self._close:
            return
        if data:
            self._received.add(data)
        else:
            super().data_received(data)
        self.parse()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Drop what was received, and release the heads."""
        self._received.clear()
        super().connection_lost(exc)
        while self._head_costs:
            self._guard.release_head(self._head_costs.popleft())

    @property
    def stage(self) -> Stage:
        """Return how far the request on the connection has come."""
        open_requests = len(self._messages) + self._request_in_progress
        if self._is_in_body():
            return Stage.body if open_requests < 2 else Stage.whole
        if open_requests or not self._awaits_request():
            return Stage.whole
        return Stage.head if self._received.has_begun else Stage.idle

    @property
    def ahead(self) -> int:
        """Return the received bytes that are not parsed yet."""
        return len(self._received)

    def parse(self) -> None:
        """Parse what has been received, if there is room for it."""
        self.waits_for_memory = False
        while self._received and not (self._force_close or self._close):
            if not self._parse_part():
                break
        if self._is_full() and not self._buffer_paused:
            self._pause_reading_for_buffer()
        if self.stage is not Stage.head:
            self.begun_at = None
        elif self.begun_at is None:
            self.begun_at = self._loop.time()
        self.count_held()

    def count_held(self) -> None:
        """Tell the guard how many bytes the connection holds now."""
        transport = self._plain_transport
        if transport is None or transport.is_closing():
            return
        held = len(self._received) + transport.get_write_buffer_size()
        if self._parsed is not None:
            held += self._parsed._size  # noqa: WPS437
        self._guard.note_held(cast(GuardedConnection, self), held)

    async def _handle_request(
        self, *arguments: Any
    ) -> tuple[web.StreamResponse, bool]:
        """Handle a request, and parse the next ones meanwhile."""
        self._loop.call_soon(self.parse)
        try:
            return await super()._handle_request(*arguments)
        finally:
            self._note_ended()

    def _note_ended(self) -> None:
        """Record that the oldest of the parsed requests was handled."""
        self.completed += 1
        self.progressed_at = self._loop.time()
        if self._head_costs:
            self._guard.release_head(self._head_costs.popleft())

    def _resume_reading_if_drained(self) -> None:
        """Resume reading unless bodies of later requests have to wait."""
        if not self._is_full():
            super()._resume_reading_if_drained()

    def _is_full(self) -> bool:
        """Return whether no more is to be read for now."""
        return len(self._received) > READ_AHEAD_BYTES or self._is_far_ahead()

    def _parse_part(self) -> bool:
        """Parse a head or a part of a body; return false if it has to wait."""
        if self._upgraded:
            super().data_received(self._received.take_all())  # noqa: WPS613
            return False
        if self._is_in_body():
            if self._reading_paused or self._is_far_ahead():
                return False
            part = self._received.take_body()
            super().data_received(part)  # noqa: WPS613
            return bool(part)
        size = self._received.head_size()
        if size:
            return self._parse_head(size)
        if len(self._received) > self._guard.max_head_bytes:
            self._guard.end(cast(GuardedConnection, self), HEAD_TOO_LONG)
        return False

    def _parse_head(self, size: int) -> bool:
        if len(self._messages) >= MAX_PARSED_AHEAD:
            return False
        cost = head_cost(self._received.count_fields(size))
        if not self._guard.heads.admit(cost):
            self.waits_for_memory = True
            return False
        received_before = self._request_count
        super().data_received(self._received.take_head(size))  # noqa: WPS613
        if self._request_count == received_before:
            # Blank lines may stand before a request.
            self._guard.release_head(cost)
            return True
        self._head_costs.append(cost)
        message, payload = self._messages[-1]
        self._parsed = None if payload is EMPTY_PAYLOAD else payload
        if not isinstance(message, RawRequestMessage):
            # Its answer closes the connection.
            self._received.clear()
            return False
        length = message.headers.get('Content-Length')
        self._received.body_left = None if length is None else int(length)
        return True

    def _is_in_body(self) -> bool:
        """Return whether the body of the last parsed request is not whole."""
        return self._parsed is not None and not self._parsed.is_eof()

    def _is_far_ahead(self) -> bool:
        """Return whether the requests behind this one have long bodies.

        Each body has a limit of its own, and there may be many of them.
        """
        queued = (payload for _, payload in self._messages)
        sizes = (
            payload.total_bytes
            for payload in queued
            if isinstance(payload, StreamReader)
        )
        return sum(sizes) > READ_AHEAD_BYTES

    def _awaits_request(self) -> bool:
        """Return whether no request has been received completely."""
        return self._waiter is not None and not self._waiter.done()
