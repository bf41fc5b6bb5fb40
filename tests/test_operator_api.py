"""Tests of cassialever.operators.api, .decisions and .explain."""

import asyncio
import unittest
from collections.abc import Sequence

import aiohttp
import msgspec

from cassialever.catalogue.entries import CatalogueIndex
from cassialever.errors import EntryRef, ErrorKind, Failure
from cassialever.operators.api import Explanations, OperatorApi
from cassialever.operators.decisions import (
    Decisions,
    Drained,
    Limited,
    MoveCause,
    Moved,
    Question,
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


def refused(number: int, entry: EntryRef | None) -> Refused:
    """Make the refusal of a numbered request."""
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


class FixedView:
    """Show fixed answers and the decisions given to it."""

    def __init__(self, settings: Settings) -> None:
        self.decisions = Decisions(settings)
        self.reason = ''

    def not_ready(self) -> str:
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

    def explain(self, question: Question) -> Sequence[Explanation]:
        return [explain(one, INDEX) for one in self.decisions.about(question)]

    def dump(self) -> msgspec.Struct:
        return self.status()


class TestDecisions(unittest.TestCase):
    """The bounded record and its words."""

    def test_refused_request_to_entry_and_back(self) -> None:
        """The entry of a refusal is found, and from it the refusal."""
        decisions = Decisions(example_settings())
        decisions.note(refused(1, TARGET.ref()))
        decisions.note(refused(2, INDEX.catalogue.services[0].ref()))
        asked = Question(request_id='request-1')
        (decision,) = decisions.about(asked)
        assert decision.entry is not None
        self.assertIs(find_entry(INDEX, decision.entry), TARGET)
        back = Question(entry=entry_path(decision.entry))
        self.assertEqual(list(decisions.about(back)), [decision])

    def test_sentence(self) -> None:
        """A manager reads what happened, whether it ran, and whose rule."""
        explanation = explain(refused(1, TARGET.ref()), INDEX)
        self.assertEqual(
            explanation.sentence,
            'At 1970-01-01 00:00:00 UTC request request-1 of inspectors to'
            ' registry was refused. The target is at its limit. (4 of 4 slots'
            ' are in use.) It was not run. This follows from the catalogue'
            ' entry target registry-1 (version 0), whose owner is registry'
            ' team.',
        )
        self.assertEqual(explanation.entry, 'target/registry-1')

    def test_every_kind_of_decision_has_words(self) -> None:
        """Moves, drains and limits are explained too, with each cause."""
        target = TargetId('registry-1')
        gone = EntryRef(EntryKind.caller, 'gone', INDEX.version)
        others = [
            Moved(at=0, cause=cause, slices=1, target_id=target, entry=gone)
            for cause in MoveCause
        ]
        limits = [
            Limited(at=0, state=state, capacity=1, target_id=target)
            for state in TargetState
        ]
        drained = Drained(at=0, in_flight=2, target_id=target)
        for decision in (*others, *limits, drained):
            with self.subTest(decision=decision):
                words = explain(decision, INDEX).sentence
                self.assertIn('registry-1', words)
                self.assertTrue(words.endswith('.'))

    def test_record_is_bounded(self) -> None:
        """The oldest decisions make room."""
        settings = example_settings()
        telemetry = msgspec.structs.replace(
            settings.telemetry, decisions_kept=3
        )
        decisions = Decisions(
            msgspec.structs.replace(settings, telemetry=telemetry)
        )
        for number in range(9):
            decisions.note(refused(number, None))
        kept = list(decisions.about(Question()))
        self.assertEqual([one.request_id for one in kept], [
            'request-8', 'request-7', 'request-6',
        ])  # fmt: skip

    def test_questions_narrow(self) -> None:
        """Each field of a question narrows the answer."""
        decisions = Decisions(example_settings())
        decisions.note(refused(1, TARGET.ref()))
        for question, count in (
            (Question(target='registry-1'), 1),
            (Question(target='registry-2'), 0),
            (Question(refusal='target_busy', key='KZ-1'), 1),
            (Question(refusal='no_owner'), 0),
            (Question(data_centre='west'), 0),
            (Question(entry='target/other'), 0),
        ):
            with self.subTest(question=question):
                found = list(decisions.about(question))
                self.assertEqual(len(found), count)


class TestOperatorApi(unittest.IsolatedAsyncioTestCase):
    """The endpoint over HTTP."""

    async def asyncSetUp(self) -> None:
        settings = example_settings()
        instance = msgspec.structs.replace(settings.instance, operator_port=0)
        settings = msgspec.structs.replace(settings, instance=instance)
        self.view = FixedView(settings)
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

    async def test_open_paths(self) -> None:
        """Health, readiness and metrics need no credential."""
        self.assertEqual((await self.get('/health'))[0], 200)
        self.assertEqual((await self.get('/ready'))[0], 200)
        self.view.reason = 'no catalogue yet'
        self.assertEqual(await self.get('/ready'), (503, b'no catalogue yet\n'))
        self.assertEqual(await self.get('/metrics'), (200, b'# metrics\n'))

    async def test_credential(self) -> None:
        """All the rest is refused without the right credential."""
        for path in ('/status', '/dump', '/explain', '/owners/registry/KZ-1'):
            for given in ('', 'Bearer wrong', 'Bearer \xe9'):
                with self.subTest(path=path, given=given):
                    status, body = await self.get(path, Authorization=given)
                    self.assertEqual(status, 401)
                    self.assertIn(b'bad_credential', body)
            status, body = await self.get(path, **self.headers)
            self.assertEqual(status, 200)
            self.assertNotIn(self.headers['Authorization'][7:].encode(), body)

    async def test_credential_that_is_no_text(self) -> None:
        """Bytes that are no text are refused like any wrong credential."""
        host, _, port = self.api.url.removeprefix('http://').partition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            b'GET /status HTTP/1.1\r\nHost: x\r\nAuthorization: \xff\r\n\r\n'
        )
        head = await reader.readline()
        writer.close()
        self.assertIn(b'401', head)

    async def test_explain_and_owner(self) -> None:
        """Questions come as query parameters; the owner names its entry."""
        self.view.decisions.note(refused(1, TARGET.ref()))
        _, body = await self.get(
            '/explain?request_id=request-1', **self.headers
        )
        found = msgspec.json.decode(body, type=Explanations)
        self.assertEqual(len(found.explanations), 1)
        _, body = await self.get('/owners/registry/a%2Fb', **self.headers)
        owner = msgspec.json.decode(body, type=KeyOwner)
        self.assertEqual(owner.key, 'a/b')
        status, _ = await self.get('/owners/nothing/k', **self.headers)
        self.assertEqual(status, 404)
