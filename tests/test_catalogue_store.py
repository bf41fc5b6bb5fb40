"""Tests of cassialever.catalogue.store, .changes and .edits."""

import unittest
from typing import Any

import msgspec

from cassialever.catalogue.changes import apply_change
from cassialever.catalogue.edits import set_data_centre_state, set_target_state
from cassialever.catalogue.entries import Catalogue
from cassialever.catalogue.store import (
    Accepted,
    CatalogueStore,
    Conflict,
    new_origin,
)
from cassialever.catalogue.table import CatalogueTable
from cassialever.errors import ErrorKind, Failure
from cassialever.platform import rows
from cassialever.types import (
    AdminState,
    CatalogueVersion,
    RowVersion,
    Seconds,
    TargetId,
)
from standins.rowstore import PAGE_SIZE, RowStore
from tests.helpers import ISSUANCE, WEST, make_catalogue, make_target

EMPTY_VERSION = CatalogueVersion(0)


class ScriptedStore:
    """A store with one step of a script for each commit, then without faults.

    down: the store is unavailable and commits nothing.
    late: the answer is lost and the transaction is kept in `delayed`.
    lost: the transaction is committed and its answer is lost.
    """

    def __init__(self) -> None:
        self.rows = RowStore()
        self.script: list[str] = []
        self.delayed: list[dict[str, Any]] = []
        self.writes = 0

    async def read(self, table: str, start: str = '') -> rows.Rows | Failure:
        shown = [row.to_wire() for row in self.rows.read_page(table, start)]
        page = {
            'rows': shown[:PAGE_SIZE],
            'has_more': len(shown) > PAGE_SIZE,
            'ver': self.rows.version,
        }
        return rows.decode_rows(msgspec.json.encode(page))

    async def commit(
        self, transaction: rows.Transaction
    ) -> rows.Committed | rows.Conflict | Failure:
        step = self.script.pop(0) if self.script else 'answer'
        if step == 'down':
            return Failure(ErrorKind.table_unavailable, 'scripted')
        body = msgspec.json.decode(rows.encode_transaction(transaction))
        if step == 'late':
            self.delayed.append(body)
            return Failure(ErrorKind.table_answer_lost, 'scripted')
        outcome = self.rows.transact(body)
        self.writes += isinstance(outcome, int)
        if step == 'lost':
            return Failure(ErrorKind.table_answer_lost, 'scripted')
        if isinstance(outcome, int):
            return rows.Committed(RowVersion(outcome), 0)
        return rows.Conflict((), 0)


class CatalogueStoreCase(unittest.IsolatedAsyncioTestCase):
    """A catalogue store whose version 1 is the small catalogue."""

    async def asyncSetUp(self) -> None:
        self.table = ScriptedStore()
        self.delays: list[Seconds] = []
        self.store = CatalogueStore(CatalogueTable(self.table), self.sleep)
        targets = (
            make_target('registry-1'),
            make_target('i-1', ISSUANCE, '127.0.0.1:10'),
        )
        small = msgspec.structs.replace(
            make_catalogue(*targets), version=EMPTY_VERSION
        )
        outcome = await self.store.submit(
            small, EMPTY_VERSION, new_origin('ann', 'first', 0)
        )
        self.first = self.accepted(outcome)

    async def sleep(self, seconds: Seconds) -> None:
        self.delays.append(seconds)

    def accepted(self, outcome: object) -> Catalogue:
        assert isinstance(outcome, Accepted), outcome
        return outcome.catalogue

    async def drain(self, name: str = 'i-1') -> object:
        edit = set_target_state(TargetId(name), AdminState.out)
        return await self.store.edit(edit, new_origin('bea', 'repair', 7))


class TestChanges(CatalogueStoreCase):
    """Versions, history and reverts."""

    async def test_only_changed_entries_get_the_version(self) -> None:
        """Draining a target sets its version to 2; the others stay at 1."""
        second = self.accepted(await self.drain())
        versions = {entry.target_id: entry.version for entry in second.targets}
        self.assertEqual(versions, {'i-1': 2, 'registry-1': 1})
        self.assertEqual(second.services, self.first.services)
        self.assertEqual(second.targets[0].reason, 'repair')

    async def test_history_can_be_undone_and_applied(self) -> None:
        """Undoing changes gives earlier versions, applying them later ones."""
        await self.drain()
        edit = set_data_centre_state(WEST, AdminState.out)
        await self.store.edit(edit, new_origin('cyd', 'power', 9))
        changes = await self.store.changes(
            CatalogueVersion(1), CatalogueVersion(3)
        )
        assert isinstance(changes, list)
        self.assertEqual(
            await self.store.catalogue_at(CatalogueVersion(1)), self.first
        )
        second = await self.store.catalogue_at(CatalogueVersion(2))
        assert isinstance(second, Catalogue)
        self.assertEqual(second.author, 'bea')
        stored = await self.store.current()
        assert not isinstance(stored, Failure)
        self.assertEqual(apply_change(second, changes[2]), stored.catalogue)
        self.assertIsInstance(apply_change(self.first, changes[2]), Failure)

    async def test_history_of_many_pages(self) -> None:
        """A range of versions that takes several pages is read whole."""
        for number in range(PAGE_SIZE + 20):
            state = (AdminState.out, AdminState.in_service)[number % 2]
            edit = set_target_state(TargetId('i-1'), state)
            await self.store.edit(edit, new_origin('cyd', 'again', number))
        first, last = CatalogueVersion(9), CatalogueVersion(PAGE_SIZE + 15)
        changes = await self.store.changes(first, last)
        assert isinstance(changes, list)
        self.assertEqual(
            [change.version for change in changes], [*range(first, last + 1)]
        )

    async def test_revert_is_a_new_version(self) -> None:
        """A revert puts the old content in a higher version."""
        await self.drain()
        outcome = await self.store.revert(
            CatalogueVersion(1), new_origin('cyd', 'back', 9)
        )
        third = self.accepted(outcome)
        self.assertEqual(third.version, 3)
        states = {entry.state for entry in third.targets}
        self.assertEqual(states, {AdminState.in_service})
        missing = await self.store.revert(
            CatalogueVersion(9), new_origin('cyd', 'back', 9)
        )
        assert isinstance(missing, Failure)
        self.assertIs(missing.kind, ErrorKind.catalogue_invalid)

    async def test_bad_proposal_is_not_written(self) -> None:
        """A proposal that fails validation never reaches the store."""
        bad = make_catalogue(make_target('a'), make_target('b'))
        outcome = await self.store.submit(
            bad, CatalogueVersion(1), new_origin('ann', 'x', 0)
        )
        assert isinstance(outcome, Failure)
        self.assertIn('same address', outcome.reason)
        self.assertEqual(self.table.writes, 1)


class TestRaces(CatalogueStoreCase):
    """Concurrent changes and lost responses."""

    async def test_conflict_shows_both_sides(self) -> None:
        """The later change gets a conflict with both changes."""
        await self.drain()
        ours = msgspec.structs.replace(self.first, callers=())
        outcome = await self.store.submit(
            ours, CatalogueVersion(1), new_origin('ann', 'no callers', 8)
        )
        assert isinstance(outcome, Conflict)
        self.assertEqual(
            [ref.name for ref in outcome.theirs.entry_refs()], ['i-1']
        )
        self.assertEqual(
            [ref.name for ref in outcome.ours.entry_refs()], ['default']
        )
        self.assertFalse(outcome.overlaps())

    async def test_racing_edits_of_one_entry(self) -> None:
        """If two edits of one target overlap, the later one conflicts."""
        store = self.store
        raced = False

        async def racing_edit() -> object:
            def edit(catalogue: Catalogue) -> Catalogue | Failure:
                first, *rest = catalogue.targets
                changed = msgspec.structs.replace(first, owner='ann')
                return msgspec.structs.replace(
                    catalogue, targets=(changed, *rest)
                )

            return await store.edit(edit, new_origin('ann', 'owner', 3))

        commit = self.table.commit

        async def slow_commit(transaction):
            nonlocal raced
            if not raced:
                raced = True
                await self.drain()
            return await commit(transaction)

        self.table.commit = slow_commit  # type: ignore[method-assign]
        outcome = await racing_edit()
        assert isinstance(outcome, Conflict), outcome
        self.assertTrue(outcome.overlaps())

    async def test_lost_answer_after_the_write(self) -> None:
        """A change whose response was lost is found and written once.

        If the store is unavailable at the first send, the change fails.
        """
        for script in (['lost'], ['lost', 'down'], ['down', 'lost']):
            with self.subTest(script=script):
                self.table.script = list(script)
                before = self.table.writes
                outcome = await self.drain()
                if script[0] == 'down':
                    assert isinstance(outcome, Failure)
                    self.assertIs(outcome.kind, ErrorKind.table_unavailable)
                    continue
                self.accepted(outcome)
                self.assertEqual(self.table.writes, before + 1)
                edit = set_target_state(TargetId('i-1'), AdminState.in_service)
                origin = new_origin('ann', 'return', 0)
                self.accepted(await self.store.edit(edit, origin))

    async def test_late_write_commits_once(self) -> None:
        """A delayed send that arrives after its retry changes nothing."""
        self.table.script = ['late']
        self.accepted(await self.drain())
        for body in self.table.delayed:
            self.assertIsInstance(self.table.rows.transact(body), list)

    async def test_outcome_stays_unknown(self) -> None:
        """If no send is answered, the failure points to the history."""
        self.table.script = ['late'] * 6
        outcome = await self.drain()
        assert isinstance(outcome, Failure)
        self.assertIs(outcome.kind, ErrorKind.table_answer_lost)
        self.assertEqual(len(self.delays), 5)
        self.assertIn('history', outcome.reason)
