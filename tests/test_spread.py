"""Tests of cassialever.spread, .relay and .spread_messages."""

import functools
import heapq
import random
import unittest
import zlib
from collections.abc import Callable, Iterable, Sequence

import msgspec

from cassialever import codec
from cassialever.catalogue import Catalogue
from cassialever.catalogue_changes import (
    CatalogueChange,
    Origin,
    compare,
    stamp,
)
from cassialever.exceptions import CodecError
from cassialever.relay import Members, Relay
from cassialever.spread import (
    CHANGES_KEPT,
    TABLE_WAIT_SECONDS,
    TURN_SECONDS,
    Adopt,
    Effect,
    ReadChanges,
    ReadWhole,
    Send,
    Spread,
)
from cassialever.spread_messages import (
    MOST_BYTES,
    CatalogueChanges,
    CatalogueHeld,
    CatalogueWhole,
    pack_changes,
    pack_whole,
    unpack_changes,
    unpack_whole,
)
from cassialever.types import (
    CatalogueVersion,
    ChangeId,
    DataCentreId,
    InstanceId,
    Seconds,
)
from tests.helpers import ISSUANCE, small_catalogue, target

#: What the users ask: in force everywhere within this many seconds.
BOUND_SECONDS = 6.0
TABLE_SECONDS = 0.02


def grown(catalogue: Catalogue, number: int) -> Catalogue:
    """Return the next version, with one target changed."""
    first, *rest = catalogue.targets
    changed = msgspec.structs.replace(first, owner=f'team {number}')
    proposed = msgspec.structs.replace(catalogue, targets=(changed, *rest))
    origin = Origin('ann', 'grow', ChangeId(f'c{number}'))
    return stamp(catalogue, proposed, origin)


class Fleet:
    """Daemons, a table and a network, in virtual time."""

    def __init__(self, seed: int, data_centres: int, each: int) -> None:
        self.random = random.Random(seed)
        self.now: Seconds = 0
        self.loss = 0.0
        self.table_down_in: set[str] = set()
        self.cut_off: set[str] = set()
        self.dead: set[InstanceId] = set()
        self.messages = 0
        self.table_reads = 0
        self.highest: dict[InstanceId, int] = {}
        self.versions = [
            stamp(
                Catalogue((), (), (), ()),
                _first(),
                Origin('ann', 'x', ChangeId('c')),
            ),
        ]
        self.changes: list[CatalogueChange] = [
            compare(Catalogue((), (), (), ()), self.versions[0])
        ]
        self._queue: list[tuple[Seconds, int, Callable[[], None]]] = []
        self._sequence = 0
        self.ids_by_data_centre = {
            DataCentreId(f'd{one}'): [
                InstanceId(f'd{one}-{number:03d}') for number in range(each)
            ]
            for one in range(data_centres)
        }
        self.spread_by_id: dict[InstanceId, Spread] = {}
        for ids in self.ids_by_data_centre.values():
            for instance_id in ids:
                self.start(instance_id)

    def start(self, instance_id: InstanceId) -> None:
        """Start a daemon with nothing in memory."""
        self.dead.discard(instance_id)
        data_centre = DataCentreId(instance_id.split('-')[0])
        relay = Relay(instance_id, data_centre, self.random)
        relay.adopt(Members(self.ids_by_data_centre))
        spread = Spread(relay, self.now)
        self.spread_by_id[instance_id] = spread
        self.highest[instance_id] = 0
        phase = self.random.random() * TURN_SECONDS
        self.at(phase, functools.partial(self._turn, instance_id, spread))

    def at(self, delay: Seconds, call: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._queue, (self.now + delay, self._sequence, call))

    def run(self, seconds: Seconds) -> None:
        """Let virtual time pass."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, call = heapq.heappop(self._queue)
            call()
        self.now = end

    def change(self) -> int:
        """Have the table accept the next version."""
        number = len(self.versions)
        following = grown(self.versions[-1], number)
        self.changes.append(compare(self.versions[-1], following))
        self.versions.append(following)
        return following.version

    def behind(self, version: int) -> list[InstanceId]:
        """Return the live daemons under a version."""
        return [
            instance_id
            for instance_id, spread in self.spread_by_id.items()
            if instance_id not in self.dead and spread.version < version
        ]

    def _turn(self, instance_id: InstanceId, spread: Spread) -> None:
        if self.spread_by_id[instance_id] is not spread:
            return
        if instance_id not in self.dead:
            self._carry_out(instance_id, spread.turn(self.now))
        self.at(
            TURN_SECONDS, functools.partial(self._turn, instance_id, spread)
        )

    def _carry_out(
        self, instance_id: InstanceId, effects: Sequence[Effect]
    ) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self._send(instance_id, effect)
            elif isinstance(effect, Adopt):
                version = effect.catalogue.version
                assert version > self.highest[instance_id], 'it went back'
                self.highest[instance_id] = version
                assert effect.catalogue == self.versions[version - 1]
            else:
                self._read(instance_id, effect)

    def _send(self, sender: InstanceId, effect: Send) -> None:
        self.messages += 1
        self._sequence += 1
        if self.random.random() < self.loss or self._parted(
            sender, effect.instance_id
        ):
            return
        delay = 0.001 + self.random.random() * 0.004
        self.at(delay, lambda: self._deliver(sender, effect))

    def _parted(self, one: str, other: str) -> bool:
        ends = {one.split('-')[0], other.split('-')[0]}
        return len(ends) > 1 and bool(ends & self.cut_off)

    def _deliver(self, sender: InstanceId, effect: Send) -> None:
        receiver = effect.instance_id
        if receiver in self.dead or receiver not in self.spread_by_id:
            return
        message = codec.decode(codec.encode(effect.message))
        spread = self.spread_by_id[receiver]
        self._carry_out(receiver, spread.received(sender, message))

    def _read(
        self, instance_id: InstanceId, effect: ReadChanges | ReadWhole
    ) -> None:
        if instance_id.split('-')[0] in self.table_down_in:
            return
        self.table_reads += 1
        spread = self.spread_by_id[instance_id]

        def answer() -> None:
            if isinstance(effect, ReadWhole):
                effects = spread.table_whole(self.versions[-1])
            else:
                effects = spread.table_changes(self.changes[effect.first - 1 :])
            if self.spread_by_id[instance_id] is spread:
                self._carry_out(instance_id, effects)

        self.at(TABLE_SECONDS, answer)


def _first() -> Catalogue:
    return small_catalogue(
        target('registry-1'), target('i-1', ISSUANCE, '127.0.0.1:10')
    )


class TestSpread(unittest.TestCase):
    """In force everywhere within 6 s, and never back."""

    def settled(self, seed: int = 1, data_centres: int = 3) -> Fleet:
        fleet = Fleet(seed, data_centres, each=40)
        fleet.run(BOUND_SECONDS)
        self.assertEqual(fleet.behind(1), [])
        return fleet

    def assert_in_force(self, fleet: Fleet) -> None:
        version = fleet.change()
        fleet.run(BOUND_SECONDS)
        self.assertEqual(fleet.behind(version), [])

    def test_calm(self) -> None:
        """A change is everywhere within the bound, at a small cost."""
        fleet = self.settled()
        fleet.messages = fleet.table_reads = 0
        self.assert_in_force(fleet)
        turns = BOUND_SECONDS / TURN_SECONDS
        self.assertLess(fleet.table_reads / turns, 3 * 7)
        self.assertLess(fleet.messages / turns / 120, 4)

    def test_many_changes_at_once(self) -> None:
        """Racing operators' changes arrive in order, all of them."""
        fleet = self.settled(seed=2)
        for _ in range(20):
            version = fleet.change()
            fleet.run(0.3)
        fleet.run(BOUND_SECONDS)
        self.assertEqual(fleet.behind(version), [])

    def test_loss(self) -> None:
        """With a fifth of all messages lost the bound still holds."""
        for seed in range(3):
            with self.subTest(seed=seed):
                fleet = self.settled(seed=seed)
                fleet.loss = 0.2
                self.assert_in_force(fleet)

    def test_lost_members_still_listed(self) -> None:
        """The first members, who read the table, are lost and listed."""
        for seed in range(3):
            with self.subTest(seed=seed):
                fleet = self.settled(seed=seed)
                for ids in fleet.ids_by_data_centre.values():
                    fleet.dead.update(ids[:4])
                self.assert_in_force(fleet)

    def test_data_centre_without_the_table(self) -> None:
        """A data centre that can't reach the table hears from the others."""
        fleet = self.settled(seed=4)
        fleet.table_down_in = {'d1'}
        self.assert_in_force(fleet)

    def test_cut_off_and_healed(self) -> None:
        """A cut-off data centre keeps its version and brings none back."""
        fleet = self.settled(seed=5)
        fleet.cut_off = {'d2'}
        fleet.table_down_in = {'d2'}
        version = fleet.change()
        fleet.run(30)
        cut = fleet.behind(version)
        self.assertEqual({one.split('-')[0] for one in cut}, {'d2'})
        versions = {fleet.spread_by_id[one].version for one in cut}
        self.assertEqual(versions, {1})
        fleet.cut_off = set()
        fleet.table_down_in = set()
        fleet.run(BOUND_SECONDS)
        self.assertEqual(fleet.behind(version), [])

    def test_restart_from_an_old_peer(self) -> None:
        """A new daemon that asked an old peer is not current until checked."""
        fleet = self.settled(seed=6)
        fleet.cut_off = {'d2'}
        fleet.table_down_in = {'d2'}
        version = fleet.change()
        restarted = InstanceId('d2-007')
        fleet.start(restarted)
        fleet.run(TABLE_WAIT_SECONDS - 0.5)
        spread = fleet.spread_by_id[restarted]
        self.assertEqual(spread.version, 1)
        self.assertFalse(spread.is_current(fleet.now))
        fleet.run(1)
        self.assertTrue(spread.is_current(fleet.now))
        fleet.cut_off = set()
        fleet.run(BOUND_SECONDS)
        self.assertEqual(spread.version, version)

    def test_alone_at_the_start(self) -> None:
        """The only daemon reads the table at its first turn."""
        fleet = Fleet(7, data_centres=1, each=1)
        fleet.run(TURN_SECONDS + TABLE_SECONDS)
        spread = fleet.spread_by_id[InstanceId('d0-000')]
        self.assertTrue(spread.is_current(fleet.now))

    def test_far_behind(self) -> None:
        """A peer that lacks more changes than are kept gets the whole."""
        fleet = self.settled(seed=8)
        late = InstanceId('d0-020')
        fleet.dead.add(late)
        for _ in range(CHANGES_KEPT + 5):
            fleet.change()
        fleet.run(BOUND_SECONDS)
        fleet.dead.discard(late)
        fleet.run(BOUND_SECONDS)
        self.assertEqual(fleet.behind(len(fleet.versions)), [])


class TestRelay(unittest.TestCase):
    """The tree."""

    def test_tree_reaches_all(self) -> None:
        """From any member, neighbours lead to every other one."""
        ids = [InstanceId(f'i{number:04d}') for number in range(1100)]
        members = Members({DataCentreId('d'): list(reversed(ids))})
        neighbours_by_id = {}
        for instance_id in ids:
            relay = Relay(instance_id, DataCentreId('d'), random.Random(1))
            relay.adopt(members)
            neighbours_by_id[instance_id] = relay.neighbours
        reached = {ids[500]}
        frontier: Iterable[InstanceId] = [ids[500]]
        levels = 0
        while frontier:
            found = {
                other for one in frontier for other in neighbours_by_id[one]
            }
            frontier = found - reached
            reached |= found
            levels += bool(frontier)
        self.assertEqual(len(reached), len(ids))
        self.assertLessEqual(levels, 8)


class TestMessages(unittest.TestCase):
    """On the wire."""

    def test_round_trip(self) -> None:
        """Changes and whole catalogues come back as they were."""
        first = msgspec.structs.replace(_first(), version=CatalogueVersion(1))
        change = compare(first, grown(first, 2))
        message = codec.decode(codec.encode(pack_changes([change])))
        assert isinstance(message, CatalogueChanges)
        self.assertEqual(unpack_changes(message), [change])
        message = codec.decode(codec.encode(pack_whole(first)))
        assert isinstance(message, CatalogueWhole)
        self.assertEqual(unpack_whole(message), first)
        held = CatalogueHeld(CatalogueVersion(7))
        self.assertEqual(codec.decode(codec.encode(held)), held)

    def test_rubbish(self) -> None:
        """What is no catalogue raises what the links expect."""
        version = CatalogueVersion(1)
        bomb = zlib.compress(bytes(MOST_BYTES + 1))
        for body in (b'{', zlib.compress(b'{'), bomb):
            with self.assertRaises(CodecError):
                unpack_whole(CatalogueWhole(version, body))
        with self.assertRaises(CodecError):
            unpack_changes(CatalogueChanges(version, b'[1]'))
