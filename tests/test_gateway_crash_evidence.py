"""Tests of what is evidence of a crash, and what is none."""

import asyncio
import unittest

from cassialever.gateway.crash_evidence import CrashEvidence, _is_refused
from cassialever.gateway.crash_guard import CrashGuard, fingerprint
from cassialever.gateway.outcomes import AttemptOutcome
from cassialever.gateway.sender import TargetRequest
from standins.listening import LOOPBACK, free_ports
from tests.fleet_helpers import (
    ManualClock,
    configured_view,
    json_row,
    target_entry,
)

REQUEST = TargetRequest('a1', 'GET', '/x', {'Host': 'a.example'}, b'')


class EvidenceTest(unittest.IsolatedAsyncioTestCase):
    """Connections that broke, and what is seen of their target since."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.view = configured_view(self.clock)
        self.guard = CrashGuard('edge-1', self.clock)
        self.is_cut_off = False
        self.evidence = CrashEvidence(
            self.guard, self.view, self.clock, lambda: self.is_cut_off
        )
        self.refuses = True
        self.evidence.is_refused = self.is_refused
        self.target = self.view.targets.by_id['t0']

    async def is_refused(self, address: str) -> bool:
        return self.refuses

    def put_target(self, **fields: object) -> None:
        entry = target_entry(address=self.target.address, **fields)
        version = self.view.rows.version_by_table['servers'] + 1
        row = json_row('servers', 't0', entry, version)
        self.view.apply('servers', [row], version)

    async def break_exchange(self) -> None:
        await self.evidence.record_broken(REQUEST, self.target)

    def crash_count(self) -> int:
        known = self.guard.memory.find(fingerprint(REQUEST))
        return 0 if known is None else len(known.crashes)

    async def test_address_that_refuses_connections(self) -> None:
        await self.break_exchange()
        self.assertEqual(self.crash_count(), 1)

    async def test_reset_by_a_target_that_lives(self) -> None:
        """A target over its cap of connections resets some."""
        self.refuses = False
        await self.break_exchange()
        self.evidence.check_entries()
        self.assertEqual(self.crash_count(), 0)
        self.clock.now += 0.1
        self.guard.record_answered(
            REQUEST, self.target, AttemptOutcome.answered, self.clock.now
        )
        self.evidence.record_refused(self.target)
        self.assertEqual(self.crash_count(), 0)

    async def test_connection_that_is_refused_later(self) -> None:
        self.refuses = False
        await self.break_exchange()
        self.evidence.record_refused(self.target)
        self.assertEqual(self.crash_count(), 1)

    async def test_target_that_has_started_again(self) -> None:
        self.refuses = False
        await self.break_exchange()
        self.put_target(born=2000)
        self.evidence.check_entries()
        self.assertEqual(self.crash_count(), 1)

    async def test_address_that_another_target_has(self) -> None:
        """Who accepts connections there counted as the target itself."""
        self.refuses = False
        await self.break_exchange()
        self.view.targets.limits.record_replaced(self.target)
        self.evidence.check_entries()
        self.assertEqual(self.crash_count(), 1)

    async def test_entry_that_is_removed(self) -> None:
        self.refuses = False
        await self.break_exchange()
        self.view.targets.remove(self.target.target_id)
        self.evidence.check_entries()
        self.assertEqual(self.crash_count(), 1)

    async def test_daemon_that_is_cut_off(self) -> None:
        """A path that refuses connections breaks those to all targets."""
        self.is_cut_off = True
        await self.break_exchange()
        self.assertEqual(self.crash_count(), 0)

    async def test_target_that_had_said_it_leaves(self) -> None:
        self.put_target(state='draining')
        await self.break_exchange()
        self.assertEqual(self.crash_count(), 0)

    async def test_target_that_said_so_in_an_answer(self) -> None:
        self.view.targets.limits.record_leaving(self.target, self.clock.now)
        await self.break_exchange()
        self.assertEqual(self.crash_count(), 0)

    async def test_target_without_an_entry(self) -> None:
        """It serves for a while after its entry was removed."""
        self.view.targets.remove(self.target.target_id)
        await self.break_exchange()
        self.assertEqual(self.crash_count(), 0)

    async def test_probe_tells_refused_from_accepted(self) -> None:
        server = await asyncio.start_server(
            lambda reader, writer: writer.close(), LOOPBACK, 0
        )
        host, port = server.sockets[0].getsockname()[:2]
        self.assertFalse(await _is_refused(f'{host}:{port}'))
        server.close()
        await server.wait_closed()
        free = free_ports(1)[0]
        self.assertTrue(await _is_refused(f'{LOOPBACK}:{free}'))


if __name__ == '__main__':
    unittest.main()
