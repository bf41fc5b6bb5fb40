"""Tests of cassialever.targets against the stand-in target."""

import asyncio
import unittest
from collections.abc import AsyncIterator

from cassialever import target_headers
from cassialever.catalogue import TargetEntry, TargetLimits
from cassialever.errors import ErrorKind, Failure
from cassialever.interfaces import TargetAnswer, TargetRequest
from cassialever.target_bodies import TargetBody
from cassialever.target_orders import Grant, SliceRange, TargetReport
from cassialever.targets import HttpTargets
from cassialever.types import (
    DataCentreId,
    Fence,
    RequestId,
    ServiceName,
    TargetId,
)
from standins.targets import StandInTarget
from standins.work import TargetBehaviour
from tests.link_helpers import until

T1 = TargetId('t1')


def make_entry(address: str, connections: int = 12) -> TargetEntry:
    """Return the entry of a target."""
    return TargetEntry(
        owner='o',
        target_id=T1,
        service=ServiceName('s'),
        data_centre=DataCentreId('dc'),
        address=address,
        limits=TargetLimits(connections=connections),
    )


def make_request(request_id: str = 'r1', **fields: object) -> TargetRequest:
    """Return one attempt."""
    base = {
        'target_id': T1,
        'request_id': RequestId(request_id),
        'method': 'GET',
        'path': '/s/x?y=%2F',
        'headers': (),
        'time_left': 5,
        'fence': Fence(3),
    }
    return TargetRequest(**{**base, **fields})


async def read(body: AsyncIterator[bytes | Failure]) -> list[bytes | Failure]:
    """Read a body to its end."""
    return [part async for part in body]


async def parts(*chunks: bytes, error: Exception | None = None):
    """Yield the chunks, then raise."""
    for chunk in chunks:
        yield chunk
    if error:
        raise error


class Directory:
    """Know one target."""

    def __init__(self, entry: TargetEntry) -> None:
        """Keep its entry."""
        self.entry = entry

    def target(self, target_id: TargetId) -> TargetEntry | None:
        """Return the entry."""
        return self.entry if target_id == self.entry.target_id else None


class TargetCase(unittest.IsolatedAsyncioTestCase):
    """One stand-in target and a client."""

    async def asyncSetUp(self) -> None:
        """Start both."""
        self.target = StandInTarget(T1, TargetBehaviour(work_time=0))
        url = await self.target.start()
        self.addAsyncCleanup(self.target.stop)
        address = url.removeprefix('http://')
        self.directory = Directory(make_entry(address))
        self.client = HttpTargets(self.directory)
        await self.client.start()
        self.addAsyncCleanup(self.client.stop)

    async def send(self, request_id: str = 'r1', **fields: object):
        """Send an attempt without a body."""
        return await self.client.send(make_request(request_id, **fields), None)

    async def assert_fails(self, kind: ErrorKind, **fields: object) -> Failure:
        """Send an attempt that fails in one way."""
        failure = await self.send(**fields)
        self.assertIsInstance(failure, Failure)
        self.assertEqual(failure.kind, kind, failure)
        return failure


class TestSend(TargetCase):
    """Attempts and their answers."""

    async def test_answer_comes_whole(self) -> None:
        """Path, body, status and incarnation are as they were sent."""
        self.target.behaviour.incarnation = 9
        answer = await self.client.send(
            make_request(method='POST'), parts(b'one', b'two')
        )
        self.assertIsInstance(answer, TargetAnswer)
        self.assertEqual((answer.status, answer.incarnation), (200, 9))
        whole = b''.join(await read(answer.body))
        self.assertEqual(whole, b't1 POST /s/x?y=%2F\nonetwo')

    async def test_refusals_were_not_run(self) -> None:
        """A shed and a stale fence are told apart and nothing ran."""
        self.target.behaviour.shed = True
        await self.assert_fails(ErrorKind.target_shed)
        self.target.behaviour.shed = False
        self.target.grants.highest = 4
        await self.assert_fails(ErrorKind.stale_fence)
        self.assertEqual(self.target.work.runs_by_request, {})

    async def test_no_connection_is_not_run(self) -> None:
        """Nothing listens there, so no byte has left."""
        await self.target.stop()
        await self.assert_fails(ErrorKind.target_unreachable)

    async def test_no_answer_is_unknown(self) -> None:
        """A frozen target may yet run it, and does after the thaw."""
        await read((await self.send('r0')).body)
        self.target.faults.freeze()
        await self.assert_fails(ErrorKind.outcome_unknown, time_left=0.005)
        self.target.faults.thaw()
        await until(lambda: 'r1' in self.target.work.runs_by_request)

    async def test_lost_connection_is_not_sent_again(self) -> None:
        """A reused connection that dies leaves the outcome unknown.

        The library would send a PUT a second time by itself.
        """
        answer = await self.send()
        await read(answer.body)
        self.target.faults.drop_next = True
        await self.assert_fails(ErrorKind.outcome_unknown, method='PUT')
        self.assertEqual(self.target.faults.dropped, 1)
        self.assertEqual(self.target.work.runs_by_request, {'r1': 1})

    async def test_body_that_breaks_is_never_whole(self) -> None:
        """A target sees no end of a body whose source broke off."""
        failure = await self.client.send(
            make_request(method='POST'),
            parts(b'half', error=ConnectionError()),
        )
        self.assertEqual(failure.kind, ErrorKind.outcome_unknown)
        self.assertEqual(self.target.work.runs_by_request, {})

    async def test_malformed_path_is_not_sent(self) -> None:
        """A path that would be read otherwise is refused."""
        for path in ('x', '/a b', '/a#b', '/a\r\nb', '/é'):
            await self.assert_fails(ErrorKind.bad_request, path=path)


class TestSilence(TargetCase):
    """Connections that stop answering while new ones work."""

    async def test_all_pooled_ones_cost_one_limit(self) -> None:
        """One attempt fails; the next uses a fresh connection."""
        self.target.behaviour.work_time = 0.001
        for answer in await asyncio.gather(*map(self.send, 'abc')):
            await read(answer.body)
        self.assertEqual(self.target.faults.connections, 3)
        self.target.faults.silence_open_connections()
        await self.assert_fails(ErrorKind.outcome_unknown, time_left=0.02)
        for request_id in 'defg':
            answer = await self.send(request_id)
            self.assertIsInstance(answer, TargetAnswer)
            await read(answer.body)
        self.assertEqual(self.target.faults.connections, 4)

    async def test_connections_stay_within_the_limit(self) -> None:
        """More requests at once than connections wait for one."""
        self.target.behaviour.slots = 100
        answers = await asyncio.gather(*map(self.send, 'abcdefghijklmnopqrst'))
        bodies = [read(answer.body) for answer in answers[:10]]
        await asyncio.gather(*bodies)
        self.assertLessEqual(self.target.faults.connections, 10)

    async def test_changed_entry(self) -> None:
        """New limits give new connections; an open answer is not cut."""
        self.target.download.body = bytes(2_000_000)
        answer = await self.send(path='/download')
        self.directory.entry = make_entry(self.directory.entry.address, 5)
        await read((await self.send('r2')).body)
        self.assertEqual(self.target.faults.connections, 2)
        whole = b''.join(await read(answer.body))
        self.assertEqual(whole, self.target.download.body)
        self.directory.entry = make_entry(self.directory.entry.address, 6)
        await read((await self.send('r3')).body)
        self.assertEqual(self.client._retired, [])


class TestBodies(TargetCase):
    """Bodies of answers."""

    def setUp(self) -> None:
        """Make the download a long one."""
        self.long = b'0123456789abcdef' * 500_000

    async def test_broken_body_ends_with_a_failure(self) -> None:
        """A body cut short never looks whole."""
        self.target.download.body = self.long
        self.target.download.breaks = [100_000]
        answer = await self.send(path='/download')
        *chunks, failure = await read(answer.body)
        self.assertEqual(failure.kind, ErrorKind.answer_cut)
        self.assertTrue(self.long.startswith(b''.join(chunks)))

    async def test_body_that_stalls_is_cut(self) -> None:
        """A connection gone silent within a body costs one limit."""
        self.target.download.body = self.long
        self.target.download.breaks = [100_000]
        self.target.download.stalls = True
        answer = await self.send(path='/download', time_left=0.03)
        *_, failure = await read(answer.body)
        self.assertEqual(failure.kind, ErrorKind.answer_cut)

    async def test_slow_reader_holds_the_target_back(self) -> None:
        """What is not read stays at the target but for buffers."""
        self.target.download.body = self.long
        answer = await self.send(path='/download')
        await asyncio.sleep(0.01)
        self.assertLess(self.target.download.sent, len(self.long))
        self.assertEqual(b''.join(await read(answer.body)), self.long)

    async def test_given_up_body_closes_its_connection(self) -> None:
        """Nothing late of it can reach the next request."""
        self.target.download.body = self.long
        answer = await self.send(path='/download')
        self.assertIsInstance(answer.body, TargetBody)
        await answer.body.aclose()
        answer = await self.send('r2')
        whole = b''.join(await read(answer.body))
        self.assertEqual(whole, b't1 GET /s/x?y=%2F\n')
        self.assertEqual(self.target.faults.connections, 2)


class TestHeaders(unittest.TestCase):
    """Which headers pass."""

    def test_to_target(self) -> None:
        """Own, hop-by-hop and forged headers don't pass."""
        request = make_request(
            time_left=1.5,
            headers=(
                ('Connection', 'close, X-Hop, Content-Length'),
                ('X-Hop', '1'),
                ('Host', 'h'),
                ('Transfer-Encoding', 'chunked'),
                ('x-cassialever-fence', '99'),
                ('traceparent', '00-a-b-01'),
                ('Content-Length', '3'),
                ('Content-Length', '4'),
            ),
        )
        headers = target_headers.to_target(request, has_body=True)
        self.assertEqual(
            dict(headers),
            {
                'traceparent': '00-a-b-01',
                'X-Cassialever-Request-Id': 'r1',
                'X-Cassialever-Fence': '3',
                'X-Cassialever-Deadline-Ms': '1500',
            },
        )


class TestOrders(TargetCase):
    """Grants, cancels and reports."""

    async def test_cancel_stops_the_work(self) -> None:
        """A cancelled request does not come to its end."""
        self.target.behaviour.work_time = 60
        sending = asyncio.create_task(self.send())
        while not self.target.work.in_flight:
            await asyncio.sleep(0)
        await self.client.cancel(T1, RequestId('r1'))
        answer = await sending
        self.assertEqual(answer.status, 500)
        self.assertEqual(self.target.cancelled, ['r1'])

    async def test_grant_is_fenced(self) -> None:
        """A grant under a lower fence is refused."""
        orders = self.client.orders
        service = ServiceName('s')
        asked = await orders.grant(T1, Grant(Fence(5), 0, 0, service))
        self.assertFalse(asked.accepted)
        ends = asked.clock + 60
        ranges = (SliceRange(0, 9),)
        grant = Grant(Fence(5), asked.incarnation, ends, service, ranges)
        self.assertTrue((await orders.grant(T1, grant)).accepted)
        self.assertEqual(self.target.grants.grant, grant)
        stale = Grant(Fence(4), asked.incarnation, ends, service)
        refused = await orders.grant(T1, stale)
        self.assertFalse(refused.accepted)
        self.assertEqual(refused.highest_fence, 5)
        old = Grant(Fence(6), asked.incarnation - 1, ends, service)
        self.assertFalse((await orders.grant(T1, old)).accepted)

    async def test_reports(self) -> None:
        """Health and load come as the target tells them."""
        self.target.behaviour.report = TargetReport(3, 4)
        load = await self.client.orders.load(T1)
        self.assertEqual(load, TargetReport(3, 4))
        health = await self.client.orders.health(T1)
        self.assertEqual((health.state, health.incarnation), ('in_service', 1))


class TestStandIn(TargetCase):
    """The stand-in's own faults."""

    async def test_cold_target_falls_over(self) -> None:
        """Over its cold limit it fails all until it is idle."""
        self.target.behaviour.cold = True
        self.target.behaviour.work_time = 0.002
        answers = await asyncio.gather(*map(self.send, 'ab'))
        self.assertEqual([answer.status for answer in answers], [500, 500])
        self.assertEqual((await self.send('c')).status, 200)
        self.assertEqual(self.target.work.collapses, 1)

    async def test_deadline_ends_the_work(self) -> None:
        """Work that outlasts its deadline is given up."""
        self.target.behaviour.work_time = 60
        answer = await self.send(time_left=0.02)
        self.assertNotIsInstance(answer, TargetAnswer)
        await until(lambda: not self.target.work.in_flight)
        self.assertEqual(self.target.work.finished, set())
