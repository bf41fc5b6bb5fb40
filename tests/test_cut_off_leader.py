"""Tests of a leader that loses the path to targets, in virtual time.

Each daemon sends requests to all owners, reports its paths to the others and
leads if the lease allows it; `World` checks that no two targets hold a key.
"""

import asyncio
import unittest
import unittest.mock
from collections.abc import Awaitable, Callable


from cassialever.fleet.model import KEY_COUNT
from cassialever.fleet.path_reports import PathReporter
from cassialever.gateway.path_probe import PathProber
from cassialever.policy.candidacy import (
    MAX_YIELD_TIME,
    REPORT_PERIOD,
    Candidacy,
)
from cassialever.policy.loads import LoadTracker
from cassialever.policy.peer_reports import Helper
from tests.fleet_helpers import VirtualLoop, run_virtually
from tests.ownership_fakes import Daemon, World

TARGETS = 18
#: How soon and how well keys are to be held after the cut began.
STABLE_AFTER = 1.0
HELD_SHARE = 0.95
#: Keys sampled by `World.unheld_count`.
SAMPLES = 128


class Member:
    """One daemon's parts around the ones of `Daemon`."""

    def __init__(self, fleet: 'Fleet', name: str) -> None:
        self.fleet = fleet
        world = fleet.world
        self.daemon: Daemon = world.add_daemon(name)
        paths = self.daemon.paths
        self.reporter = PathReporter(
            Helper(name, f'{name}:7', 'here'), 100, paths, world.clock
        )
        self.prober = PathProber(
            paths, self.daemon.view.targets, LoadTracker(), world.clock
        )
        self.prober.can_connect = self.daemon.target_client.can_connect
        self.prober.on_change = self.report
        #: Time between two requests, in seconds.
        self.request_interval = 0.04

    def run(self) -> list[Awaitable[None]]:
        return [
            self.prober.run(),
            self._send_requests(),
            self._report_regularly(),
            self._seek_leadership(),
        ]

    def report(self) -> None:
        """Send a report to all other daemons."""
        report = self.reporter.describe({})
        for other in self.fleet.members:
            if other is not self:
                other.reporter.accept(report, f'{report.instance_id}:7', 1)

    async def _report_regularly(self) -> None:
        while True:
            self.report()
            await asyncio.sleep(max(0.1, len(self.fleet.members) / 100))

    async def _send_requests(self) -> None:
        """Send requests to owners drawn at random."""
        world = self.fleet.world
        while True:
            await world.pause(self.request_interval)
            targets = list(self.daemon.view.targets.by_id.values())
            target = world.random.choice(targets)
            asyncio.ensure_future(self._send(target.target_id, target.address))

    async def _send(self, target_id: str, address: str) -> None:
        paths = self.daemon.paths
        client = self.daemon.target_client
        now = self.fleet.world.loop.time
        request_id = str(now())
        if not paths.is_reachable(target_id, now()):
            return
        paths.unanswered.record_sent(target_id, request_id, now())
        if client.is_reached(address):
            await self.fleet.world.pause(0.15)
        if client.is_reached(address):
            paths.record_answer(target_id, now())
        elif client.hangs:
            await asyncio.sleep(2)
        else:
            paths.record_failure(target_id, now())
        paths.unanswered.record_end(target_id, request_id)

    async def _seek_leadership(self) -> None:
        """Do as `Membership` does."""
        daemon = self.daemon
        world = self.fleet.world
        while True:
            now = world.loop.time()
            if daemon.leader_term is not None:
                if daemon.candidacy.should_hand_over(now):
                    self.fleet.handovers.append(now)
                    await daemon.leader_term.resign()
                    daemon.kill()
                await asyncio.sleep(0.2)
                continue
            if daemon.candidacy.may_lead(now):
                await daemon.take_over()
            await world.pause(0.15)


def moved_count(
    before: list[tuple[int, int, str]], after: list[tuple[int, int, str]]
) -> int:
    """Return the number of keys whose owner has changed."""
    return sum(
        max(min(last, new_last) - max(first, new_first) + 1, 0)
        for first, last, owner in before
        for new_first, new_last, new_owner in after
        if owner != new_owner
    )


class Fleet:
    """Daemons with a settled leader, and what becomes of the keys."""

    def __init__(self, world: World, count: int) -> None:
        self.world = world
        self.handovers: list[float] = []
        self.members: list[Member] = []
        for number in range(count):
            self.members.append(Member(self, f'edge-{number}'))

    async def start(self) -> None:
        """Start all daemons, and wait until all keys are held."""
        self.world.publish_targets()
        first = self.members[0]
        assert await first.daemon.take_over()
        await asyncio.sleep(2)
        for member in self.members:
            for work in member.run():
                asyncio.ensure_future(work)
        await asyncio.sleep(1.5)
        assert not self.world.unheld_count()
        assert self.leader() is first
        assert not self.handovers

    def leader(self) -> Member | None:
        """Return the daemon that leads, if one does."""
        for member in self.members:
            if member.daemon.leader_term is not None:
                return member
        return None

    def cut(
        self, members: list[Member], addresses: list[str], *, hangs: bool
    ) -> None:
        """Cut daemons off from targets."""
        for member in members:
            member.daemon.target_client.hangs = hangs
            member.daemon.target_client.unreachable.update(addresses)

    def heal(self) -> None:
        for member in self.members:
            member.daemon.target_client.unreachable.clear()

    def owned_ranges(self) -> list[tuple[int, int, str]]:
        """Return first and last key and owner, as the leader has them."""
        leader = self.leader()
        assert leader is not None
        assigner = leader.daemon.assigner.assigner_by_service['registry']
        return [
            (one.first, one.last, one.owner)
            for one in assigner.assignments.ordered
        ]

    async def lowest_share(self, duration: float) -> float:
        """Return the lowest share of keys held at once in some time."""
        lowest = 1.0
        for _ in range(round(duration / 0.05)):
            await asyncio.sleep(0.05)
            share = 1 - self.world.unheld_count() / SAMPLES
            lowest = min(lowest, share)
        return lowest


class CutOffLeaderTest(unittest.TestCase):
    """A leader is cut off from targets for 8 s."""

    def play(
        self,
        scenario: Callable[[Fleet], Awaitable[None]],
        count: int = 10,
        seeds: range = range(1, 3),
    ) -> None:
        for seed in seeds:
            with self.subTest(seed=seed):
                self._play_once(scenario, count, seed)

    def _play_once(
        self,
        scenario: Callable[[Fleet], Awaitable[None]],
        count: int,
        seed: int,
    ) -> None:
        async def main(loop: VirtualLoop) -> None:
            world = World(loop, seed, TARGETS)
            fleet = Fleet(world, count)
            await fleet.start()
            await scenario(fleet)
            for daemon in world.daemons:
                daemon.kill()
            self.assertEqual(world.violations, [])

        run_virtually(main)

    async def check_cut(
        self, fleet: Fleet, cut: list[Member], *, share: float, hangs: bool
    ) -> None:
        """Cut daemons off from a share of the targets; check the keys."""
        addresses = list(fleet.world.targets)[: round(share * TARGETS)]
        before = fleet.owned_ranges()
        fleet.cut(cut, addresses, hangs=hangs)
        await asyncio.sleep(STABLE_AFTER)
        self.assertGreaterEqual(await fleet.lowest_share(7), HELD_SHARE)
        leader = fleet.leader()
        self.assertIsNotNone(leader)
        self.assertNotIn(leader, cut)
        moved = moved_count(before, fleet.owned_ranges())
        self.assertLessEqual(moved, KEY_COUNT * 0.05)
        fleet.heal()
        self.assertGreaterEqual(await fleet.lowest_share(4), HELD_SHARE)
        self.assertLessEqual(len(fleet.handovers), 2)

    def test_leader_alone_loses_all_targets_by_reset(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            await self.check_cut(fleet, fleet.members[:1], share=1, hangs=False)

        self.play(scenario)

    def test_leader_alone_loses_all_targets_by_hang(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            await self.check_cut(fleet, fleet.members[:1], share=1, hangs=True)

        self.play(scenario)

    def test_leader_loses_half_of_the_targets(self) -> None:
        """Another daemon reaches all of them."""
        for hangs in (False, True):

            async def scenario(fleet: Fleet, hangs: bool = hangs) -> None:
                await self.check_cut(
                    fleet, fleet.members[:1], share=0.5, hangs=hangs
                )

            self.play(scenario)

    def test_nine_of_ten_daemons_lose_all_targets(self) -> None:
        """The only one that reaches them leads."""
        for hangs in (False, True):

            async def scenario(fleet: Fleet, hangs: bool = hangs) -> None:
                await self.check_cut(
                    fleet, fleet.members[:9], share=1, hangs=hangs
                )

            self.play(scenario)

    def test_leader_of_a_large_fleet_loses_all_targets(self) -> None:
        """Four others of 59 are cut off as well."""
        for hangs in (False, True):

            async def scenario(fleet: Fleet, hangs: bool = hangs) -> None:
                await self.check_cut(
                    fleet, fleet.members[:5], share=1, hangs=hangs
                )

            self.play(scenario, count=59, seeds=range(1, 2))

    def test_leader_stays_and_moves_nothing_if_all_are_cut_off(self) -> None:
        """Keys are back with their owners once these are reached."""
        for hangs in (False, True):

            async def scenario(fleet: Fleet, hangs: bool = hangs) -> None:
                before = fleet.owned_ranges()
                fleet.cut(fleet.members, list(fleet.world.targets), hangs=hangs)
                await asyncio.sleep(8)
                self.assertLessEqual(len(fleet.handovers), 1)
                fleet.heal()
                await asyncio.sleep(2)
                self.assertEqual(fleet.world.unheld_count(), 0)
                moved = moved_count(before, fleet.owned_ranges())
                self.assertEqual(moved, 0)

            self.play(scenario)

    def test_each_daemon_loses_another_half(self) -> None:
        """No mass move: at most a third of the keys leave their owners.

        Each target is missed by half of the daemons at most.
        """

        async def scenario(fleet: Fleet) -> None:
            before = fleet.owned_ranges()
            addresses = list(fleet.world.targets)
            for number, member in enumerate(fleet.members):
                start = 2 * number
                lost = (addresses + addresses)[start : start + TARGETS // 2]
                fleet.cut([member], lost, hangs=False)
            await asyncio.sleep(8)
            moved = moved_count(before, fleet.owned_ranges())
            self.assertLessEqual(moved, KEY_COUNT / 3)
            fleet.heal()
            await asyncio.sleep(4)
            self.assertEqual(fleet.world.unheld_count(), 0)

        self.play(scenario, count=9)

    def test_each_leader_moves_another_third_of_the_keys(self) -> None:
        """Three leaders follow each other within the time of the limit."""

        async def scenario(fleet: Fleet) -> None:
            before = fleet.owned_ranges()
            addresses = list(fleet.world.targets)
            for number, member in enumerate(fleet.members):
                start = 2 * number
                lost = (addresses + addresses)[start : start + TARGETS // 2]
                fleet.cut([member], lost, hangs=False)
            for _ in range(2):
                await asyncio.sleep(5)
                leader = fleet.leader()
                assert leader is not None
                assert leader.daemon.leader_term is not None
                await leader.daemon.leader_term.resign()
                leader.daemon.kill()
            await asyncio.sleep(3)
            moved = moved_count(before, fleet.owned_ranges())
            self.assertLessEqual(moved, KEY_COUNT / 3)
            fleet.heal()
            await asyncio.sleep(4)
            self.assertEqual(fleet.world.unheld_count(), 0)

        self.play(scenario, count=9)

    def test_keys_of_crashed_owners_move_as_fast_as_ever(self) -> None:
        """Eight of 18 crash at once, and all daemons miss them."""

        async def scenario(fleet: Fleet) -> None:
            for target in list(fleet.world.targets.values())[:8]:
                target.is_up = False
            await asyncio.sleep(3.6)
            self.assertGreaterEqual(await fleet.lowest_share(3), HELD_SHARE)
            self.assertLessEqual(len(fleet.handovers), 1)

        self.play(scenario)


class CandidacyTest(unittest.TestCase):
    """Whether a daemon may lead."""

    def setUp(self) -> None:
        self.yields = True
        paths = unittest.mock.Mock()
        paths.should_yield = lambda _: self.yields
        paths.is_cut_off = lambda _: True
        self.paths = paths
        self.candidacy = Candidacy(paths)

    def test_daemon_that_reaches_targets_may_lead_at_once(self) -> None:
        self.yields = False
        self.assertTrue(self.candidacy.may_lead(10))
        self.assertFalse(self.candidacy.should_hand_over(10))

    def test_daemon_that_yields_may_lead_if_no_other_does(self) -> None:
        """It then leads for a while, as a new election gains nothing."""
        elapsed = 0.0
        while not self.candidacy.may_lead(10 + elapsed):
            elapsed += 0.15
        self.assertAlmostEqual(elapsed, MAX_YIELD_TIME, delta=0.15)
        self.assertFalse(self.candidacy.should_hand_over(13))
        self.assertTrue(self.candidacy.should_hand_over(18))

    def test_each_election_is_yielded_anew(self) -> None:
        """It has followed another leader in between."""
        self.assertFalse(self.candidacy.may_lead(10))
        self.assertFalse(self.candidacy.may_lead(20))

    def test_other_daemons_have_time_to_miss_the_same_targets(self) -> None:
        """Not all of them notice at once that targets crashed."""
        self.paths.is_cut_off = lambda _: False
        self.assertFalse(self.candidacy.should_hand_over(10))
        self.yields = False
        self.assertFalse(self.candidacy.should_hand_over(10.4))
        self.yields = True
        self.assertFalse(self.candidacy.should_hand_over(10.6))
        self.assertTrue(self.candidacy.should_hand_over(10.6 + REPORT_PERIOD))
