"""A target that writes an earlier refusal once more on a kept connection."""

import asyncio
import os
import random
import re
import unittest
from collections.abc import Callable

import msgspec

from cassialever.fleet.model import Target
from cassialever.gateway.outcomes import Attempt, AttemptOutcome
from cassialever.gateway.sender import TargetRequest
from tests.hop_helpers import (
    ask,
    cut_off_daemon,
    raw_server,
    readdress,
    set_paths,
)
from tests.test_gateway_sender import SenderCase, raw_answer

#: Requests per drawn sequence, and sequences that are drawn; more with
#: SPOILED_ANSWERS=COUNT.
SEQUENCE_LENGTH = 12
SEQUENCES = int(os.environ.get('SPOILED_ANSWERS', '6'))
SEED = 35
#: How long a target takes for a request, in seconds.
SERVICE_TIME = 0.01
ID_PATTERN = re.compile(rb'Attempt-Id: (\S+)', re.IGNORECASE)
LENGTH_PATTERN = re.compile(rb'Content-Length: (\d+)', re.IGNORECASE)


def refusal(request_id: str = '', status: str = '503 Busy') -> bytes:
    """Return a refusal, without an id if none is given."""
    head = 'Not-Executed: 1\r\nContent-Length: 0\r\n'
    if request_id:
        head = f'Attempt-Id: {request_id}\r\n{head}'
    return raw_answer(head, status=status)


def success(request_id: str) -> bytes:
    """Return a signed answer whose body is the id of its request."""
    head = (
        f'Attempt-Id: {request_id}\r\nResponse-Seal: s\r\n'
        f'Content-Length: {len(request_id)}\r\n'
    )
    return raw_answer(head, request_id)


class RepeatingTarget:
    """Refuses by a plan, and repeats refusals at a chosen moment."""

    def __init__(self, is_refused: Callable[[str], bool]) -> None:
        #: Whether to refuse a request, by its id.
        self.is_refused = is_refused
        #: Which copies follow a request that has just arrived.
        self.repeats_on_arrival: Callable[[list[bytes]], list[bytes]] = (
            lambda sent: sent[-1:]
        )
        self.executed_ids: list[str] = []
        self.refused_ids: list[str] = []
        self.connections = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection; its refusals are repeated on it alone."""
        self.connections += 1
        sent: list[bytes] = []
        while True:
            head = await reader.readuntil(b'\r\n\r\n')
            length = LENGTH_PATTERN.search(head)
            if length is not None:
                await reader.readexactly(int(length[1]))
            request_id = ID_PATTERN.findall(head)[0].decode()
            writer.writelines(self.repeats_on_arrival(sent))
            if self.is_refused(request_id):
                self.refused_ids.append(request_id)
                sent.append(refusal(request_id))
                writer.write(sent[-1])
                continue
            self.executed_ids.append(request_id)
            await asyncio.sleep(SERVICE_TIME)
            writer.write(success(request_id))


class RefusalCase(SenderCase):
    """A sender, and requests of any id at a raw target."""

    async def send_as(self, request_id: str, target: Target) -> Attempt:
        request = TargetRequest(
            request_id, 'GET', '/x', {'Attempt-Id': request_id}, b''
        )
        return await self.sender.send(request, target, 0.5)

    def at(self, address: str) -> Target:
        return msgspec.structs.replace(self.target, address=address)


class WithoutIdTest(RefusalCase):
    """Refusals that don't name the request that they refuse."""

    async def test_refusal_without_id_proves_nothing(self) -> None:
        for status in ('503 Busy', '421 Misdirected', '429 Limited'):
            with self.subTest(status=status):
                self.reply = refusal(status=status)
                attempt = await self.send_as('a1', self.target)
                self.assertIs(attempt.outcome, AttemptOutcome.unknown)
                connections = self.connections
                await self.send_as('a2', self.target)
                self.assertEqual(self.connections, connections + 1)

    async def test_refusal_of_a_request_without_id_proves_nothing(self) -> None:
        self.reply = refusal()
        request = TargetRequest('', 'GET', '/x', {}, b'')
        attempt = await self.sender.send(request, self.target, 0.5)
        self.assertIs(attempt.outcome, AttemptOutcome.unknown)

    async def test_refusal_that_names_its_request_is_believed(self) -> None:
        self.reply = refusal('a1')
        attempt = await self.send_as('a1', self.target)
        self.assertIs(attempt.outcome, AttemptOutcome.not_run)


class RepeatedIdTest(RefusalCase):
    """Copies of a refusal, with the id of the request that was refused."""

    async def test_copy_is_not_taken_for_the_second_try(self) -> None:
        """The request of a refused try is sent to the same target again."""
        tries = iter((True, False))
        target = RepeatingTarget(lambda _: next(tries))
        async with raw_server(target.serve) as address:
            first = await self.send_as('a1', self.at(address))
            second = await self.send_as('a1', self.at(address))
        self.assertIs(first.outcome, AttemptOutcome.not_run)
        self.assertEqual(target.executed_ids, ['a1'])
        self.assertIs(second.outcome, AttemptOutcome.answered)

    async def test_connection_of_a_refusal_serves_other_requests(self) -> None:
        target = RepeatingTarget(lambda request_id: request_id == 'a1')
        target.repeats_on_arrival = lambda sent: []
        async with raw_server(target.serve) as address:
            for request_id in ('a1', 'a2', 'a3'):
                await self.send_as(request_id, self.at(address))
        self.assertEqual(target.connections, 1)

    async def test_connection_with_many_refusals_is_given_up(self) -> None:
        target = RepeatingTarget(lambda _: True)
        target.repeats_on_arrival = lambda sent: []
        async with raw_server(target.serve) as address:
            for number in range(200):
                await self.send_as(f'a{number}', self.at(address))
        self.assertGreater(target.connections, 1)
        self.assertLess(target.connections, 10)

    async def test_drawn_sequences(self) -> None:
        """No request that ran counts as refused, whenever a copy comes."""
        for number in range(SEQUENCES):
            with self.subTest(sequence=number):
                await self._play(random.Random(f'{SEED} {number}'))

    async def _play(self, rng: random.Random) -> None:
        target = RepeatingTarget(lambda _: rng.random() < 0.4)
        target.repeats_on_arrival = lambda sent: [
            one for one in sent if rng.random() < 0.4
        ]
        async with raw_server(target.serve) as address:
            for _ in range(SEQUENCE_LENGTH):
                request_id = f'a{rng.randrange(4)}'
                runs = target.executed_ids.count(request_id)
                attempt = await self.send_as(request_id, self.at(address))
                await asyncio.sleep(2 * SERVICE_TIME)
                has_run = target.executed_ids.count(request_id) > runs
                if attempt.outcome is AttemptOutcome.not_run:
                    self.assertFalse(has_run, request_id)
                if attempt.answer is not None:
                    self.assertEqual(attempt.answer.body, request_id.encode())


class CallerTest(unittest.IsolatedAsyncioTestCase):
    """What callers get from a daemon, directly and through a helper."""

    async def test_caller_is_not_told_that_running_work_has_not_run(
        self,
    ) -> None:
        for through_helper in (False, True):
            for host in ('registry.example', 'issuance.example'):
                with self.subTest(helper=through_helper, host=host):
                    await self._play(host, through_helper=through_helper)

    async def _play(self, host: str, *, through_helper: bool) -> None:
        headers = {'Host': host, 'Shard-Key': '7', 'Deadline-Ms': '1500'}
        target = RepeatingTarget(lambda request_id: request_id == 'first')
        target.repeats_on_arrival = lambda sent: (
            [
                refusal(),
                *sent,
            ]
            * bool(sent)
        )
        async with (
            cut_off_daemon() as (_, first, helper),
            raw_server(target.serve) as address,
        ):
            is_lookup = host == 'registry.example'
            target_id = 'k0' if is_lookup else 'i0'
            path = '/lookup/1' if is_lookup else '/issue/1'
            carrier = helper if through_helper else first
            if not through_helper:
                set_paths(first, up=True)
            readdress(carrier, target_id, address)
            await ask(first, path, headers, 'first')
            self.assertEqual(set(target.refused_ids), {'first'})
            for number in range(5):
                request_id = f'r{number}'
                reply = await ask(first, path, headers, request_id)
                await asyncio.sleep(2 * SERVICE_TIME)
                if reply.status in {408, 421, 429, 503}:
                    self.assertNotIn(request_id, target.executed_ids)
                if reply.status == 200:
                    self.assertEqual(reply.body, request_id.encode())
                if not is_lookup:
                    count = target.executed_ids.count(request_id)
                    self.assertLessEqual(count, 1)
            self.assertGreater(len(target.executed_ids), 2)


if __name__ == '__main__':
    unittest.main()
