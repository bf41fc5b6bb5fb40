"""Crowds that don't behave, on the daemon's addresses beside the callers'."""

import unittest
from collections.abc import Awaitable, Callable

from tests.crowds import (
    HOP,
    METRICS,
    READYZ,
    Crowd,
    CrowdTest,
    ahead,
    all_but_the_last_byte,
    dripped,
    field_head,
    idle,
    leaver,
    named_head,
    small_pieces,
    tiny_chunks,
    unfinished,
)


class PortCrowds:
    """What is sent to each of the other ports."""

    start: str
    port: int

    check: Callable[[int, Crowd], Awaitable[None]]

    async def test_bodies_in_one_piece_but_a_byte(self) -> None:
        await self.check(
            self.port, Crowd(200, all_but_the_last_byte(self.start))
        )

    async def test_bodies_in_small_pieces_but_a_byte(self) -> None:
        await self.check(self.port, Crowd(200, small_pieces(self.start)))

    async def test_bodies_in_tiny_chunks(self) -> None:
        await self.check(self.port, Crowd(100, tiny_chunks(self.start)))

    async def test_many_heads_of_many_fields_ahead(self) -> None:
        await self.check(
            self.port, Crowd(20, ahead([field_head(self.start)] * 40))
        )

    async def test_unfinished_heads_of_many_fields(self) -> None:
        await self.check(
            self.port, Crowd(200, unfinished(field_head(self.start)))
        )

    async def test_many_requests_ahead(self) -> None:
        plain = named_head(self.start, 'Content-Length: 0\r\n')
        await self.check(
            self.port, Crowd(100, ahead([plain] * 500), is_narrow=True)
        )

    async def test_slow_heads(self) -> None:
        await self.check(self.port, Crowd(400, dripped(self.start.encode())))

    async def test_idle_connections(self) -> None:
        await self.check(self.port, Crowd(600, idle))


class ReadinessCrowdTest(PortCrowds, CrowdTest):
    """A crowd at the address that says ready."""

    start = READYZ

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.port = self.daemon.ports[1]


class MetricsCrowdTest(PortCrowds, CrowdTest):
    """A crowd at the address of the metrics."""

    start = METRICS

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.port = self.daemon.ports[2] + 1


class HopCrowdTest(PortCrowds, CrowdTest):
    """A crowd at the address for requests that daemons pass on."""

    start = HOP

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.port = self.daemon.ports[2] + 2


class LinkCrowdTest(CrowdTest):
    """A crowd at the address of the links between daemons."""

    async def check_links(self, crowd: Crowd) -> None:
        await self.check(self.daemon.ports[2], crowd)

    async def test_long_messages_but_a_byte(self) -> None:
        message = (1 << 20).to_bytes(4, 'big') + b'x' * ((1 << 20) - 1)
        await self.check_links(Crowd(200, ahead([message])))

    async def test_requests(self) -> None:
        await self.check_links(Crowd(200, ahead([field_head(HOP)] * 40)))

    async def test_leaving_in_a_message(self) -> None:
        message = (1 << 20).to_bytes(4, 'big') + b'x' * 65536
        await self.check_links(Crowd(60, leaver(message)))

    async def test_slow_messages(self) -> None:
        await self.check_links(Crowd(400, dripped(b'\0\x08' * 99)))

    async def test_idle_connections(self) -> None:
        await self.check_links(Crowd(600, idle))


if __name__ == '__main__':
    unittest.main()
