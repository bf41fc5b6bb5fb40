"""Tests of the operators' endpoint, the decision log and explanations."""

import asyncio
import unittest
from collections.abc import Sequence

import aiohttp
import msgspec

from cassialever.catalogue.entries import CatalogueIndex
from cassialever.errors import EntryRef, ErrorKind, Failure
from cassialever.operators.api import Explanations, OperatorApi
from cassialever.operators.decisions import (
    DecisionLog,
    DecisionQuery,
    Drained,
    Limited,
    MoveCause,
    Moved,
    Refused,
    entry_path,
)
from cassialever.operators.explain import Explanation, explain, find_entry
from cassialever.operators.view import KeyOwner, Status
from cassialever.settings import Settings
from cassialever.types import (
    EntryKind,
    InstanceId,
    Key,
    RequestId,
    ServiceName,
    SliceIndex,
    TargetId,
    TargetState,
)
from tests.helpers import REGISTRY, WEST, make_catalogue
from tests.test_telemetry import example_settings

INDEX = CatalogueIndex(make_catalogue())
TARGET = INDEX.target_by_id[TargetId('registry-1')]


def make_refusal(number: int, entry: EntryRef | None) -> Refused:
    """Return the refusal of a numbered request."""
    return Refused(
        at=0,
        entry=entry,
        service=REGISTRY,
        target_id=TargetId('registry-1'),
        request_id=RequestId(f'request-{number}'),
        kind=ErrorKind.target_busy,
        reason='4 of 4 slots are in use',
        caller='inspectors',
        key=Key('KZ-1'),
    )


class FakeOperatorView:
    """A view with fixed answers and its own decision log."""

    def __init__(self, settings: Settings) -> None:
        self.decisions = DecisionLog(settings)
        self.reason = ''

    def not_ready_reason(self) -> str:
        return self.reason

    def metrics(self) -> bytes:
        return b'# metrics\n'

    def status(self) -> Status:
        return Status(
            instance_id=InstanceId('entry-1'), data_centre=WEST, ready=True
        )

    def owner(self, service: ServiceName, key: Key) -> KeyOwner | Failure:
        if service != REGISTRY:
            return Failure(ErrorKind.unknown_service, 'no such service')
        return KeyOwner(
            service=service,
            key=key,
            slice_index=SliceIndex(3),
            target_id=TargetId('registry-1'),
            entry=TARGET.ref(),
        )

    def explain(self, query: DecisionQuery) -> Sequence[Explanation]:
        return [
            explain(decision, INDEX)
            for decision in self.decisions.matching(query)
        ]

    def dump(self) -> msgspec.Struct:
        return self.status()


class TestDecisions(unittest.TestCase):
    """The decision log and the explanations."""

    def test_refusal_is_found_with_its_entry(self) -> None:
        """A refusal names an entry, and a query for the entry returns it."""
        decisions = DecisionLog(example_settings())
        decisions.add(make_refusal(1, TARGET.ref()))
        decisions.add(make_refusal(2, INDEX.catalogue.services[0].ref()))
        by_request = DecisionQuery(request_id='request-1')
        (decision,) = decisions.matching(by_request)
        assert decision.entry is not None
        self.assertIs(find_entry(INDEX, decision.entry), TARGET)
        by_entry = DecisionQuery(entry=entry_path(decision.entry))
        self.assertEqual(list(decisions.matching(by_entry)), [decision])

    def test_refusal_sentence(self) -> None:
        """The sentence has the reason, whether it ran, and the entry."""
        explanation = explain(make_refusal(1, TARGET.ref()), INDEX)
        self.assertEqual(
            explanation.sentence,
            'At 1970-01-01 00:00:00 UTC request request-1 of inspectors to'
            ' registry was refused. The target is at its limit. (4 of 4 slots'
            ' are in use.) It was not run. This follows from the catalogue'
            ' entry target registry-1 (version 0), whose owner is registry'
            ' team.',
        )
        self.assertEqual(explanation.entry, 'target/registry-1')

    def test_every_decision_has_an_explanation(self) -> None:
        """Moves with each cause, limits with each state and drains have one."""
        target = TargetId('registry-1')
        removed = EntryRef(EntryKind.caller, 'gone', INDEX.version)
        moves = [
            Moved(at=0, cause=cause, slices=1, target_id=target, entry=removed)
            for cause in MoveCause
        ]
        limits = [
            Limited(at=0, state=state, capacity=1, target_id=target)
            for state in TargetState
        ]
        drained = Drained(at=0, in_flight=2, target_id=target)
        for decision in (*moves, *limits, drained):
            with self.subTest(decision=decision):
                sentence = explain(decision, INDEX).sentence
                self.assertIn('registry-1', sentence)
                self.assertTrue(sentence.endswith('.'))

    def test_log_is_bounded(self) -> None:
        """A full log discards its oldest decisions."""
        settings = example_settings()
        telemetry = msgspec.structs.replace(
            settings.telemetry, decisions_kept=3
        )
        decisions = DecisionLog(
            msgspec.structs.replace(settings, telemetry=telemetry)
        )
        for number in range(9):
            decisions.add(make_refusal(number, None))
        kept = list(decisions.matching(DecisionQuery()))
        self.assertEqual([refusal.request_id for refusal in kept], [
            'request-8', 'request-7', 'request-6',
        ])  # fmt: skip

    def test_query_fields_filter(self) -> None:
        """Each field of a query filters the decisions."""
        decisions = DecisionLog(example_settings())
        decisions.add(make_refusal(1, TARGET.ref()))
        for query, count in (
            (DecisionQuery(target='registry-1'), 1),
            (DecisionQuery(target='registry-2'), 0),
            (DecisionQuery(refusal='target_busy', key='KZ-1'), 1),
            (DecisionQuery(refusal='no_owner'), 0),
            (DecisionQuery(data_centre='west'), 0),
            (DecisionQuery(entry='target/other'), 0),
        ):
            with self.subTest(query=query):
                matches = list(decisions.matching(query))
                self.assertEqual(len(matches), count)


class TestOperatorApi(unittest.IsolatedAsyncioTestCase):
    """The operators' endpoint over HTTP."""

    async def asyncSetUp(self) -> None:
        settings = example_settings()
        instance = msgspec.structs.replace(settings.instance, operator_port=0)
        settings = msgspec.structs.replace(settings, instance=instance)
        self.view = FakeOperatorView(settings)
        self.api = OperatorApi(settings, self.view)
        await self.api.start()
        self.session = aiohttp.ClientSession(self.api.url)
        credential = settings.security.operator_credential
        self.headers = {'Authorization': f'Bearer {credential}'}

    async def asyncTearDown(self) -> None:
        await self.session.close()
        await self.api.stop()

    async def get(self, path: str, **headers: str) -> tuple[int, bytes]:
        async with self.session.get(path, headers=headers) as response:
            return response.status, await response.read()

    async def test_public_paths(self) -> None:
        """Health, readiness and metrics need no credential."""
        self.assertEqual((await self.get('/health'))[0], 200)
        self.assertEqual((await self.get('/ready'))[0], 200)
        self.view.reason = 'no catalogue yet'
        self.assertEqual(await self.get('/ready'), (503, b'no catalogue yet\n'))
        self.assertEqual(await self.get('/metrics'), (200, b'# metrics\n'))

    async def test_credential(self) -> None:
        """Every other path rejects a missing or wrong credential."""
        for path in ('/status', '/dump', '/explain', '/owners/registry/KZ-1'):
            for header in ('', 'Bearer wrong', 'Bearer \xe9'):
                with self.subTest(path=path, header=header):
                    status, body = await self.get(path, Authorization=header)
                    self.assertEqual(status, 401)
                    self.assertIn(b'bad_credential', body)
            status, body = await self.get(path, **self.headers)
            self.assertEqual(status, 200)
            self.assertNotIn(self.headers['Authorization'][7:].encode(), body)

    async def test_credential_that_is_not_utf8(self) -> None:
        """Bytes that are not UTF-8 are rejected like any wrong credential."""
        host, _, port = self.api.url.removeprefix('http://').partition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            b'GET /status HTTP/1.1\r\nHost: x\r\nAuthorization: \xff\r\n\r\n'
        )
        head = await reader.readline()
        writer.close()
        self.assertIn(b'401', head)

    async def test_explain_and_owner(self) -> None:
        """Queries are sent as parameters; encoded keys in paths are decoded."""
        self.view.decisions.add(make_refusal(1, TARGET.ref()))
        _, body = await self.get(
            '/explain?request_id=request-1', **self.headers
        )
        reply = msgspec.json.decode(body, type=Explanations)
        self.assertEqual(len(reply.explanations), 1)
        _, body = await self.get('/owners/registry/a%2Fb', **self.headers)
        owner = msgspec.json.decode(body, type=KeyOwner)
        self.assertEqual(owner.key, 'a/b')
        status, _ = await self.get('/owners/nothing/k', **self.headers)
        self.assertEqual(status, 404)
