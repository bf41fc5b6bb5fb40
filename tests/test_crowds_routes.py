"""Crowds that don't behave, on paths of the callers' address."""

import unittest

from tests.crowds import (
    BODY_BYTES,
    ISSUE,
    LOOKUP,
    NO_ROUTE,
    DEADLINE,
    Crowd,
    CrowdTest,
    ahead,
    all_but_the_last_byte,
    dripped,
    far_over_the_limit,
    field_head,
    idle,
    leaver,
    length_head,
    named_head,
    slow_reader,
    small_pieces,
    tiny_chunks,
    unfinished,
)

#: An answer that is longer than what sockets hold.
LONG_ANSWER = b'z' * 4_000_000
#: One that isn't long for the daemon.
SHORT_ANSWER = b'z' * 60_000

KEYED = LOOKUP + 'Shard-Key: 7\r\n'
PLAIN = named_head(KEYED + DEADLINE, '')
ISSUED = named_head(ISSUE + DEADLINE, 'Content-Length: 0\r\n')
UNROUTED = named_head(NO_ROUTE + DEADLINE, 'Content-Length: 0\r\n')


class RouteCrowdTest(CrowdTest):
    """A crowd on a path with a route."""

    async def check_route(self, crowd: Crowd) -> None:
        await self.check(self.daemon.ports[0], crowd)

    async def test_bodies_in_one_piece_but_a_byte(self) -> None:
        await self.check_route(Crowd(200, all_but_the_last_byte(ISSUE)))

    async def test_bodies_in_small_pieces_but_a_byte(self) -> None:
        await self.check_route(Crowd(200, small_pieces(ISSUE)))

    async def test_bodies_in_tiny_chunks(self) -> None:
        await self.check_route(Crowd(100, tiny_chunks(ISSUE)))

    async def test_bodies_far_over_the_limit(self) -> None:
        await self.check_route(
            Crowd(100, far_over_the_limit(ISSUE, has_length=True))
        )

    async def test_bodies_far_over_the_limit_without_a_length(self) -> None:
        await self.check_route(
            Crowd(100, far_over_the_limit(ISSUE, has_length=False))
        )

    async def test_heads_of_many_fields(self) -> None:
        await self.check_route(Crowd(200, ahead([field_head(KEYED)])))

    async def test_unfinished_heads_of_many_fields(self) -> None:
        await self.check_route(Crowd(200, unfinished(field_head(KEYED))))

    async def test_many_heads_of_many_fields_ahead(self) -> None:
        await self.check_route(Crowd(20, ahead([field_head(KEYED)] * 40)))

    async def test_bodies_of_heads_of_many_fields(self) -> None:
        head = field_head(f'{ISSUE}Content-Length: 9000\r\n')
        await self.check_route(Crowd(150, ahead([head, b'x' * 8999])))

    async def test_many_requests_ahead(self) -> None:
        self.daemon.keyed.fixed_body = SHORT_ANSWER
        await self.check_route(Crowd(150, ahead([PLAIN] * 200), is_narrow=True))

    async def test_many_requests_ahead_with_bodies(self) -> None:
        request = length_head(ISSUE, 60_000) + b'x' * 60_000
        await self.check_route(Crowd(150, ahead([request] * 40)))

    async def test_many_requests_ahead_for_long_answers(self) -> None:
        self.daemon.unkeyed.fixed_body = LONG_ANSWER
        await self.check_route(Crowd(100, ahead([ISSUED] * 40), is_narrow=True))

    async def test_slow_readers_of_long_answers(self) -> None:
        self.daemon.unkeyed.fixed_body = LONG_ANSWER
        await self.check_route(Crowd(100, slow_reader(ISSUED), is_narrow=True))

    async def test_slow_heads(self) -> None:
        await self.check_route(Crowd(400, dripped(PLAIN)))

    async def test_slow_bodies(self) -> None:
        head = length_head(ISSUE, 60_000)
        await self.check_route(Crowd(400, dripped(head + b'x' * 99, 0.02)))

    async def test_leaving_in_the_head(self) -> None:
        await self.check_route(Crowd(60, leaver(field_head(KEYED)[:-1])))

    async def test_leaving_in_the_body(self) -> None:
        sent = length_head(ISSUE, BODY_BYTES) + b'x' * (BODY_BYTES // 2)
        await self.check_route(Crowd(60, leaver(sent)))

    async def test_leaving_in_the_answer(self) -> None:
        self.daemon.unkeyed.fixed_body = LONG_ANSWER
        await self.check_route(Crowd(60, leaver(ISSUED, 1000)))

    async def test_idle_connections(self) -> None:
        await self.check_route(Crowd(600, idle))


class NoRouteCrowdTest(CrowdTest):
    """A crowd on a path without a route."""

    async def check_path(self, crowd: Crowd) -> None:
        await self.check(self.daemon.ports[0], crowd)

    async def test_bodies_in_one_piece_but_a_byte(self) -> None:
        await self.check_path(Crowd(200, all_but_the_last_byte(NO_ROUTE)))

    async def test_bodies_in_small_pieces_but_a_byte(self) -> None:
        await self.check_path(Crowd(200, small_pieces(NO_ROUTE)))

    async def test_bodies_in_tiny_chunks(self) -> None:
        await self.check_path(Crowd(100, tiny_chunks(NO_ROUTE)))

    async def test_bodies_far_over_the_limit(self) -> None:
        await self.check_path(
            Crowd(100, far_over_the_limit(NO_ROUTE, has_length=True))
        )

    async def test_bodies_far_over_the_limit_without_a_length(self) -> None:
        await self.check_path(
            Crowd(100, far_over_the_limit(NO_ROUTE, has_length=False))
        )

    async def test_many_heads_of_many_fields_ahead(self) -> None:
        await self.check_path(Crowd(20, ahead([field_head(NO_ROUTE)] * 40)))

    async def test_many_requests_ahead(self) -> None:
        await self.check_path(
            Crowd(100, ahead([UNROUTED] * 2000), is_narrow=True)
        )

    async def test_slow_readers(self) -> None:
        await self.check_path(
            Crowd(150, slow_reader(UNROUTED * 500), is_narrow=True)
        )


if __name__ == '__main__':
    unittest.main()
