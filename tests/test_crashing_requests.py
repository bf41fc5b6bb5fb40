"""Tests of requests that crash the targets that run them, over sockets."""

import asyncio
import contextlib
import itertools
import random
import unittest
from collections.abc import AsyncIterator

from standins.crashes import CrashPlan
from standins.keyed_target import TargetServer
from tests.fleet_helpers import CONFIGURATION, Deployment, deployment, until
from tests.gateway_helpers import send_request
from tests.hop_helpers import helper_of, set_paths

#: Time after which each daemon in touch knows of a third crash, in seconds.
STABLE_TIME = 3.0
#: Sends that may follow then, by all daemons together.
MAX_LATER_SENDS = 3
#: Crashes after which a request is not sent any more.
CRASHES = 3
CRASHING_PATH = '/read/fatal'
READ_HEADERS = {'Host': 'issuance.example', 'Deadline-Ms': '2000'}
#: Time after which the entry of a target that has ended is removed, in seconds.
ENTRY_TIME = 1.0


def read_configuration() -> dict[str, object]:
    """Return a configuration with a route for repeatable requests."""
    route = {
        'hostname': 'issuance.example',
        'path_prefix': '/read/',
        'route_type': 'safe',
        'timeout_ms': 2000,
        'target_latency_ms': 500,
        'priority': 2,
        'upstream': 'issuance',
        'attempts': 3,
    }
    routes = {**CONFIGURATION['routes'], 'r-read': route}
    return {**CONFIGURATION, 'version': 'r8', 'routes': routes}


@contextlib.asynccontextmanager
async def crashing_deployment(
    plan: CrashPlan, gateways: int, targets: int
) -> AsyncIterator[Deployment]:
    """Run a deployment whose targets crash on the path of a plan."""
    async with deployment(keyed=0, gateways=gateways) as system:
        system.store.put('op', 'config', read_configuration())
        for number in range(1, targets):
            await system.add_target(
                TargetServer(f'i{number}', 'issuance', is_keyed=False)
            )
        for target in system.targets:
            target.work.crash_plan = plan
        _follow_crashes(system, plan)
        for gateway in system.gateways:
            await until(
                lambda one=gateway: len(one.view.targets.by_id) == targets
            )
            await until(
                lambda one=gateway: (
                    one.core.membership.daemon_count == gateways
                    and one.core.forwarder.daemon_count == gateways
                )
            )
        try:
            yield system
        finally:
            await plan.stop()


def _follow_crashes(system: Deployment, plan: CrashPlan) -> None:
    """Have the store show which targets have ended and which are back."""
    loop = asyncio.get_running_loop()

    def remove(target_id: str) -> None:
        loop.call_later(ENTRY_TIME, system.store.delete, 'servers', target_id)

    def put(target_id: str) -> None:
        for target in system.targets:
            if target.target_id == target_id:
                system.store.put('servers', target_id, target.entry())

    plan.on_end = remove
    plan.on_return = put


class CrashingRequestTest(unittest.IsolatedAsyncioTestCase):
    """One request that crashes each target, beside sound ones."""

    async def send(
        self, system: Deployment, path: str, number: int
    ) -> tuple[int, float]:
        """Send from a daemon drawn at random; return status and time."""
        gateway = random.Random(number).choice(system.gateways)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        response = await send_request(
            gateway, path, READ_HEADERS, f'{path}-{number}'
        )
        return response.status, loop.time() - started_at

    async def send_for(
        self, system: Deployment, duration: float, path: str, interval: float
    ) -> list[tuple[int, float]]:
        """Send a path at an interval; return each status and time."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + duration
        sending = []
        for number in itertools.count():
            if loop.time() >= ends_at:
                break
            one_path = path.replace('{number}', str(number))
            sending.append(
                asyncio.create_task(self.send(system, one_path, number))
            )
            await asyncio.sleep(interval)
        return await asyncio.gather(*sending)

    async def test_request_is_not_sent_after_it_crashed_three_targets(
        self,
    ) -> None:
        """It was sent 6 to 10 times more, at any daemon, without end."""
        plan = CrashPlan(CRASHING_PATH)
        async with crashing_deployment(plan, 3, 6) as system:
            await self.send_for(system, 9, CRASHING_PATH, 0.25)
        self.assertGreaterEqual(len(plan.crashed_at), CRASHES)
        self.assertLessEqual(
            plan.sends_after(CRASHES, STABLE_TIME), MAX_LATER_SENDS
        )

    async def test_first_crash_is_not_followed_by_a_retry_at_once(self) -> None:
        """A daemon sent it to a second and a third target at once."""
        plan = CrashPlan(CRASHING_PATH)
        async with crashing_deployment(plan, 1, 6) as system:
            status, _ = await self.send(system, CRASHING_PATH, 1)
        self.assertEqual(status, 502)
        self.assertEqual(len(plan.crashed_at), 1)

    async def test_crash_at_a_helper_is_not_followed_by_a_retry(self) -> None:
        """The daemon that passed it on sent it to a second target at once."""
        plan = CrashPlan(CRASHING_PATH)
        async with crashing_deployment(plan, 2, 6) as system:
            cut_off, helper = system.gateways
            set_paths(cut_off, helper_of(helper))
            response = await send_request(cut_off, CRASHING_PATH, READ_HEADERS)
        self.assertEqual(response.status, 502)
        self.assertEqual(len(plan.crashed_at), 1)

    async def test_sound_requests_are_served_beside_it(self) -> None:
        """Each crash took requests along, as long as it was repeated."""
        plan = CrashPlan(CRASHING_PATH)
        async with crashing_deployment(plan, 3, 6) as system:
            for target in system.targets:
                target.faults.service_time = 0.05
            sound, _ = await asyncio.gather(
                self.send_for(system, 8, '/read/sound-{number}', 0.02),
                self.send_for(system, 8, CRASHING_PATH, 0.25),
            )
        served = [status for status, _ in sound].count(200)
        self.assertGreater(served / len(sound), 0.97)
        self.assertLessEqual(len(plan.crashed_at), 2 * CRASHES)


if __name__ == '__main__':
    unittest.main()
