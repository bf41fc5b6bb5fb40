"""Leaders beside all answers that a store may give to their writes.

Real elections, terms and assigners run in virtual time. Answers name later
versions, are lost or late, also after the end of a term; rows are removed, and
written by others. No two targets hold a key, fences rise, a daemon leads soon
after the last fault, and terms end for the reasons that were given to them.
"""

import asyncio
import base64
import itertools
import unittest
from collections.abc import Callable
from typing import Any

import msgspec

from cassialever.fleet.lease import LEASE_ROW, LEASE_TABLE
from cassialever.fleet.leading import LeaderTerm
from cassialever.fleet.model import KeyMap
from cassialever.fleet.term_ends import TermEnd
from cassialever.fleet.view import LEADER_ROW, OWN_TABLE
from cassialever.keys.mapwriter import row_name
from cassialever.platform import rows
from cassialever.types import ServiceName
from tests.fleet_helpers import VirtualLoop, run_virtually
from tests.ownership_fakes import Daemon, World
from tests.ownership_faults import RECOVERY_LIMIT, TAKEOVER_INTERVAL, _elect

KEY_MAP = (OWN_TABLE, row_name(ServiceName('registry')))
LED_LIMIT = 3.0
#: How long the faults last, and the time between two of another writer.
FAULT_DURATION = 12.0
FOREIGN_INTERVAL = 3.0
SEEDS = range(4)

#: Ends that need no fault of a row: another daemon leads.
REPLACED = {TermEnd.lease_lost, TermEnd.later_term}


def name_newest(world: World) -> None:
    world.newest_answers = 0.7


def lose(world: World) -> None:
    """Lose answers; half of the writes are performed late, or never."""
    world.lost_answers = 0.4


def name_too_low(world: World) -> None:
    """Answer performed commits with an earlier version."""
    for daemon in world.daemons:
        answer_too_low(world, daemon)


def answer_too_low(world: World, daemon: Daemon) -> None:
    commit = daemon.store.commit

    async def call(transaction: rows.Transaction) -> Any:
        at_least = daemon.store.newest + 1
        answer = await commit(transaction)
        if not isinstance(answer, rows.Committed) or world.draw(0.5):
            return answer
        body = {'ver': at_least - 1, 'now_ms': world.loop.time() * 1000}
        return rows.decode_committed(msgspec.json.encode(body), at_least)

    daemon.store.commit = call


def refuse_as_expected(world: World) -> None:
    """Refuse writes with rows that are as they were expected."""
    for daemon in world.daemons:
        refuse_sometimes(world, daemon)


def refuse_sometimes(world: World, daemon: Daemon) -> None:
    commit = daemon.store.commit

    async def call(transaction: rows.Transaction) -> Any:
        if world.draw(0.7):
            return await commit(transaction)
        names = [(row.table, row.name) for row in transaction.preconditions]
        answer = {
            'rows': [one.to_wire() for one in world.shared.current(names)],
            'ver': world.shared.version,
            'now_ms': world.loop.time() * 1000,
        }
        return rows.decode_conflict(msgspec.json.encode(answer))

    daemon.store.commit = call


def remove_key_map(world: World) -> None:
    world.shared.delete(*KEY_MAP)


def rewrite_key_map(world: World) -> None:
    """Write the known owners with higher fences, as another leader."""
    row = world.shared.row_by_name.get(KEY_MAP)
    if row is None:
        return
    known = msgspec.msgpack.decode(
        base64.b64decode(row.value or ''), type=KeyMap
    )
    ranges = tuple(
        msgspec.structs.replace(keys, fence=keys.fence + 5)
        for keys in known.ranges
    )
    content = msgspec.msgpack.encode(KeyMap(known.service, ranges))
    world.shared.put(*KEY_MAP, content)


def touch_key_map(world: World) -> None:
    """Write the content that the row has, so that its version rises."""
    row = world.shared.row_by_name.get(KEY_MAP)
    if row is not None:
        world.shared.put(*KEY_MAP, base64.b64decode(row.value or ''))


def remove_leader_row(world: World) -> None:
    world.shared.delete(OWN_TABLE, LEADER_ROW)


def remove_lease(world: World) -> None:
    world.shared.delete(LEASE_TABLE, LEASE_ROW)


ANSWERS: dict[str, Callable[[World], None]] = {
    'a later version': name_newest,
    'none, or late': lose,
    'a version that is too low': name_too_low,
    'a refusal without a reason': refuse_as_expected,
}
#: What another writer does now and then, and how terms may end then.
FOREIGN: dict[str, tuple[Callable[[World], None], set[TermEnd]]] = {
    'key map removed': (remove_key_map, set()),
    'key map with higher fences': (
        rewrite_key_map,
        {TermEnd.key_map_changed},
    ),
    'key map written again': (touch_key_map, set()),
    'leader row removed': (remove_leader_row, {TermEnd.leader_row_changed}),
    'lease removed': (remove_lease, {TermEnd.lease_lost}),
}


def is_granting(world: World) -> bool:
    """Return whether a call that grants keys is under way.

    The fake targets carry out one that began before a restart after it, though
    the connection has ended.
    """
    terms = [one.leader_term for one in world.daemons if one.leader_term]
    return any(term.grants_in_progress for term in terms)


class Terms:
    """The terms of all daemons, and how they have ended."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._terms: list[LeaderTerm] = []

    def note(self) -> None:
        for daemon in self._world.daemons:
            term = daemon.leader_term
            if term is not None and term not in self._terms:
                self._terms.append(term)

    def ends(self) -> set[TermEnd]:
        """Return why terms have ended."""
        return {one._result.end for one in self._terms if one._result}


class AnswersTest(unittest.TestCase):
    """Each answer, and each with rows that others write."""

    def check(
        self,
        faults: list[Callable[[World], None]],
        foreign: Callable[[World], None] | None,
        ends: set[TermEnd],
        seed: int,
    ) -> None:
        async def main(loop: VirtualLoop) -> None:
            world = World(loop, seed)
            for name in ('edge-1', 'edge-2', 'edge-3'):
                world.add_daemon(name)
            world.publish_targets()
            terms = Terms(world)
            commits = [one.store.commit for one in world.daemons]
            await self._play(world, terms, 2, None)
            for fault in faults:
                fault(world)
            await self._play(world, terms, FAULT_DURATION, foreign)
            world.newest_answers = world.lost_answers = 0
            for daemon, commit in zip(world.daemons, commits):
                daemon.store.commit = commit
            until = loop.time() + LED_LIMIT
            while not any(one.is_leading() for one in world.daemons):
                self.assertLess(loop.time(), until, 'no leader')
                await self._play(world, terms, TAKEOVER_INTERVAL, None)
            await self._play(world, terms, 4 * RECOVERY_LIMIT, None)
            self.assertEqual(world.violations, [])
            self.assertEqual(world.unheld_count(), 0)
            self.assertLessEqual(terms.ends(), ends | REPLACED)
            for daemon in world.daemons:
                daemon.kill()

        run_virtually(main)

    async def _play(
        self,
        world: World,
        terms: Terms,
        duration: float,
        foreign: Callable[[World], None] | None,
    ) -> None:
        """Let daemons lead and targets restart, beside another writer."""
        ends_at = world.loop.time() + duration
        foreign_at = world.loop.time() + FOREIGN_INTERVAL
        while world.loop.time() < ends_at:
            await asyncio.sleep(TAKEOVER_INTERVAL)
            await _elect(world.daemons)
            terms.note()
            if foreign is None:
                continue
            if world.draw(0.05) and not is_granting(world):
                world.restart_target(
                    world.random.choice(list(world.targets.values()))
                )
                world.publish_targets()
            if world.loop.time() > foreign_at:
                foreign_at += FOREIGN_INTERVAL
                foreign(world)

    def test_answers(self) -> None:
        several = [
            (one, other) for one, other in itertools.combinations(ANSWERS, 2)
        ]
        for names in (*((name,) for name in ANSWERS), *several):
            for seed in SEEDS:
                with self.subTest(names=names, seed=seed):
                    faults = [ANSWERS[name] for name in names]
                    self.check(faults, lambda _: None, set(), seed)

    def test_rows_that_others_write(self) -> None:
        for name, (foreign, ends) in FOREIGN.items():
            for seed in SEEDS:
                with self.subTest(name=name, seed=seed):
                    self.check([name_newest], foreign, ends, seed)


if __name__ == '__main__':
    unittest.main()
