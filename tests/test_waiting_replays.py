"""Replay loads that compete for room, and measure who is served in time."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

from cassialever.gateway.waiting_lines import WaitingLines
from cassialever.types import Seconds
from tests.fleet_helpers import VirtualLoop, run_virtually
from tests.replay_helpers import Simulation
from tests.waiting_replays import OBJECTIVE, CompetingLoads, Record, spread

#: Shares of the capacity that callers send in calm, the urgent ones always.
ORDINARY = 0.5
URGENT = 0.3
BURST: Seconds = 7.0
TARGETS = 16

Scenario = Callable[[CompetingLoads], Awaitable[None]]


def play(
    scenario: Scenario, daemons: int, report_period: Seconds | None = None
) -> None:
    """Play a scenario after two calm seconds."""

    async def main(loop: VirtualLoop) -> None:
        simulation = Simulation(loop, TARGETS, daemons)
        loads = CompetingLoads(simulation, report_period)
        await both(loads, ORDINARY, 2)
        loads.start_records()
        await scenario(loads)
        await loads.settle()
        for forwarder in simulation.forwarders:
            assert is_clean(forwarder._waiting)

    run_virtually(main)


async def both(
    loads: CompetingLoads, ordinary: float, duration: Seconds, **options
) -> None:
    await asyncio.gather(
        loads.run('ordinary', ordinary, duration, **options),
        loads.run('urgent', URGENT, duration, **options),
    )


def is_clean(lines: WaitingLines) -> bool:
    """Return whether no request is left behind in a queue or a count."""
    return not (
        any(map(len, lines._queue_by_key.values()))
        or lines.open_by_service.total()
        or lines.selector.waiting_by_service.total()
    )


def in_time_of_capacity(loads: CompetingLoads, duration: Seconds) -> float:
    served = sum(record.in_time for record in loads.by_kind.values())
    return served / (loads.capacity * duration)


def in_time_share(by_kind: dict[str, Record]) -> float:
    records = by_kind.values()
    return sum(one.in_time for one in records) / sum(
        one.sent for one in records
    )


class BurstTest(unittest.TestCase):
    """One kind bursts beside a more urgent one, for seven seconds."""

    def test_burst(self) -> None:
        """All were late (0.2 in time at 2.5 times) and refused after 0.37 s."""
        for factor in (1.7, 2.5):

            async def scenario(loads: CompetingLoads) -> None:
                await both(loads, factor * ORDINARY, BURST)
                await loads.simulation.settle()
                ordinary = loads.by_kind['ordinary']
                self.assertGreater(loads.by_kind['urgent'].in_time_share, 0.98)
                # Nearly all that targets run is in time.
                self.assertGreater(in_time_of_capacity(loads, BURST), 0.95)
                self.assertLess(ordinary.late_share, 0.02)
                wait = ordinary.refused_wait()
                self.assertLess(wait, 0.4 * OBJECTIVE)

            with self.subTest(factor=factor):
                play(scenario, 2)

    def test_retries_without_waiting(self) -> None:
        """0.17 of both kinds were in time, and all later ones too late."""

        async def scenario(loads: CompetingLoads) -> None:
            await both(loads, 2.5 * ORDINARY, BURST, retries=2)
            await loads.simulation.settle()
            self.assertGreater(loads.by_kind['urgent'].in_time_share, 0.98)
            self.assertGreater(in_time_of_capacity(loads, BURST), 0.85)
            loads.start_records()
            await both(loads, ORDINARY, 2)
            await loads.simulation.settle()
            self.assertGreater(in_time_share(loads.by_kind), 0.98)

        play(scenario, 2)

    def test_urgent_requests_of_many_daemons(self) -> None:
        """No daemon knows of those that wait at the others."""

        async def scenario(loads: CompetingLoads) -> None:
            await both(loads, 2.5 * ORDINARY, 4)
            await loads.simulation.settle()
            urgent = loads.by_kind['urgent']
            ordinary = loads.by_kind['ordinary']
            self.assertGreater(urgent.in_time_share, 0.8)
            self.assertLess(ordinary.refused_wait(), 0.125 * OBJECTIVE)

        play(scenario, 60, report_period=0.1)


class ReturnTest(unittest.TestCase):
    """A crowd that was refused comes back when it was told to."""

    def test_crowd_after_an_outage_does_not_return_at_once(self) -> None:
        async def scenario(loads: CompetingLoads) -> None:
            await both(loads, 5.0, 0.5, retries=2, is_patient=True)
            await asyncio.sleep(0.5)
            calm = loads.by_kind
            loads.start_records()
            await both(loads, ORDINARY, 3)
            await loads.simulation.settle()
            told = [at + after for at, after in calm['ordinary'].told]
            self.assertGreater(len(told), 100)
            self.assertLess(spread(told), 0.25)
            # The crowd costs those that come after it little.
            self.assertGreater(loads.by_kind['urgent'].in_time_share, 0.95)

        play(scenario, 2)

    def test_patient_crowd_is_served_more_than_one_that_gives_up(self) -> None:
        served = {}
        for retries in (0, 2):

            async def scenario(loads: CompetingLoads) -> None:
                await both(loads, 4.0, 0.5, retries=retries, is_patient=True)
                await loads.simulation.settle()
                record = loads.by_kind['ordinary']
                served[retries] = record.in_time + record.late

            play(scenario, 2)
        self.assertGreater(served[2], 1.3 * served[0])


class NumberOfDaemonsTest(unittest.TestCase):
    """The same load enters at few daemons or at many."""

    def test_share_in_time_does_not_fall_with_the_number_of_daemons(
        self,
    ) -> None:
        shares = {}
        for daemons in (2, 60, 300):

            async def scenario(loads: CompetingLoads) -> None:
                await both(loads, 2.5 * ORDINARY, 4)
                await loads.simulation.settle()
                shares[daemons] = in_time_share(loads.by_kind)

            play(scenario, daemons)
        self.assertGreaterEqual(min(shares.values()), shares[2] - 0.02, shares)


if __name__ == '__main__':
    unittest.main()
