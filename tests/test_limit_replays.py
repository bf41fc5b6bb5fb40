"""Replays of load on targets that name limits, in virtual time."""

import asyncio
import random
import statistics
import unittest
from collections.abc import Awaitable, Callable

from tests.fleet_helpers import VirtualLoop, run_virtually
from tests.replay_helpers import (
    LIMIT_STABLE_TIME,
    LIMIT_WINDOW,
    Simulation,
    allowed_requests,
    most_in_span,
)


#: Time in which all daemons leave a target that has said that it leaves: its
#: next answer, the report of it, and a margin, in seconds.
TIME_TO_LEAVE = 0.5


class LimitReplayTest(unittest.TestCase):
    """Daemons that share the limits of the targets of one service."""

    def run_scenario(
        self,
        scenario: Callable[[Simulation], Awaitable[None]],
        **sizes: int,
    ) -> None:
        async def main(loop: VirtualLoop) -> None:
            await scenario(Simulation(loop, **sizes))

        run_virtually(main)

    def check_limits(
        self, simulation: Simulation, named_at: float, until: float
    ) -> None:
        """Check what each limited target got, and that its limit was used."""
        judged_from = named_at + LIMIT_STABLE_TIME
        for target in simulation.targets.values():
            if target.named_limit is None:
                continue
            arrivals = [
                at for at in target.received_at if judged_from <= at < until
            ]
            self.assertLessEqual(
                most_in_span(arrivals, LIMIT_WINDOW),
                allowed_requests(target.named_limit),
            )
            expected = target.named_limit * (until - judged_from)
            self.assertGreater(len(arrivals), 0.6 * expected)

    async def overload_limited_targets(
        self, simulation: Simulation, limit: float, duration: float = 8.0
    ) -> None:
        """Send twice what all targets take, after all have named a limit."""
        for target in simulation.targets.values():
            target.service_time = min(0.1, 2 / limit)
        tally = simulation.new_tally()
        await simulation.run_load(2 * limit * len(simulation.targets), 1, tally)
        for target in simulation.targets.values():
            target.named_limit = limit
        named_at = simulation.loop.time()
        load = 2 * limit * len(simulation.targets)
        await simulation.run_load(load, duration, tally)
        ended_at = simulation.loop.time()
        await simulation.settle()
        self.check_limits(simulation, named_at, ended_at)

    def test_limits_are_kept_and_used_by_fleets_of_any_size(self) -> None:
        for daemons in (1, 10, 59):
            for limit in (0.5, 2.4, 30):

                async def scenario(
                    simulation: Simulation, limit: float = limit
                ) -> None:
                    duration = max(8.0, 10 / limit)
                    await self.overload_limited_targets(
                        simulation, limit, duration
                    )

                with self.subTest(daemons=daemons, limit=limit):
                    self.run_scenario(scenario, daemons=daemons, targets=3)

    def test_high_limit_is_kept_and_used(self) -> None:
        for daemons in (1, 10):

            async def scenario(simulation: Simulation) -> None:
                await self.overload_limited_targets(simulation, 300, 5.0)

            with self.subTest(daemons=daemons):
                self.run_scenario(scenario, daemons=daemons, targets=1)

    def test_limits_are_kept_and_used_while_datagrams_are_lost(self) -> None:
        async def scenario(simulation: Simulation) -> None:
            rng = random.Random(7)
            simulation.is_lost = lambda: rng.random() < 0.2
            await self.overload_limited_targets(simulation, 2.4)

        self.run_scenario(scenario, daemons=10, targets=3)

    def test_other_targets_serve_what_a_limited_one_does_not_take(
        self,
    ) -> None:
        async def scenario(simulation: Simulation) -> None:
            simulation.targets['i1'].named_limit = 2.4
            named_at = simulation.loop.time()
            tally = simulation.new_tally()
            load = 0.5 * simulation.capacity()
            await simulation.run_load(load, 8, tally)
            ended_at = simulation.loop.time()
            await simulation.settle()
            self.check_limits(simulation, named_at, ended_at)
            self.assertGreater(tally.share('served'), 0.99)

        self.run_scenario(scenario, daemons=10, targets=4)

    def test_target_that_says_it_leaves_is_left_by_fleets_of_any_size(
        self,
    ) -> None:
        """All daemons know once one has read an answer, and none fails."""
        for daemons in (1, 10, 59):

            async def scenario(simulation: Simulation) -> None:
                tally = simulation.new_tally()
                load = 0.5 * simulation.capacity()
                await simulation.run_load(load, 1, tally)
                leaving = simulation.targets['i1']
                leaving.says_leaving = True
                await simulation.run_load(load, TIME_TO_LEAVE, tally)
                received = leaving.received
                await simulation.run_load(load, 3, tally)
                await simulation.settle()
                self.assertEqual(leaving.received, received)
                self.assertEqual(tally.share('served'), 1)

            with self.subTest(daemons=daemons):
                self.run_scenario(scenario, daemons=daemons, targets=4)

    def test_limit_that_ends_is_lifted_soon(self) -> None:
        """The trickle that the limit allows tells every daemon of its end."""

        async def scenario(simulation: Simulation) -> None:
            target = simulation.targets['i1']
            target.named_limit = 2.4
            tally = simulation.new_tally()
            load = 0.7 * simulation.capacity()
            await simulation.run_load(load, 5, tally)
            target.named_limit = None
            await simulation.run_load(load, 3, tally)
            from_then_on = simulation.loop.time()
            await simulation.run_load(load, 4, tally)
            await simulation.settle()
            received = [at for at in target.received_at if at >= from_then_on]
            share = load / len(simulation.targets) * 4
            self.assertGreater(len(received), 0.7 * share)

        self.run_scenario(scenario, daemons=10, targets=4)

    def test_restarted_target_has_no_limit(self) -> None:
        async def scenario(simulation: Simulation) -> None:
            target = simulation.targets['i1']
            target.named_limit = 0.5
            load = 0.5 * simulation.capacity()
            tally = simulation.new_tally()
            await simulation.run_load(load, 4, tally)
            target.named_limit = None
            simulation.restart_target('i1')
            restarted_at = simulation.loop.time()
            await simulation.run_load(load, 2, tally)
            await simulation.settle()
            received = [at for at in target.received_at if at >= restarted_at]
            share = load / len(simulation.targets) * 2
            self.assertGreater(len(received), 0.5 * share)

        self.run_scenario(scenario, daemons=10, targets=4)

    def test_requests_beyond_a_limit_are_refused_at_once(self) -> None:
        """Callers are told when to return by what the target takes."""

        async def scenario(simulation: Simulation) -> None:
            simulation.targets['i0'].named_limit = 0.5
            tally = simulation.new_tally()
            await simulation.run_load(10, 10, tally)
            await simulation.settle()
            refused = tally.refused_latencies
            self.assertGreater(len(refused), 50)
            # Half of the objective, within which there may be room, and the
            # time up to a permit that another request then used.
            self.assertLess(max(refused), 0.6)
            self.assertLess(statistics.median(refused), 0.05)

        self.run_scenario(scenario, daemons=3, targets=1)

    def test_loss_of_a_keeper_does_not_exceed_the_limits(self) -> None:
        """Each of three daemons stops in turn, and none replaces it."""

        async def scenario(simulation: Simulation) -> None:
            loading = asyncio.create_task(
                self.overload_limited_targets(simulation, 2.4, 16.0)
            )
            for number in range(3):
                await asyncio.sleep(4)
                simulation.stop_daemon(f'edge-{number}')
            await loading

        self.run_scenario(scenario, daemons=10, targets=4)


if __name__ == '__main__':
    unittest.main()
