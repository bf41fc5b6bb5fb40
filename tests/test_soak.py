"""Run a short soak test with one seed."""

import asyncio
import pathlib
import tempfile
import unittest

from soak.__main__ import soak
from soak.fleet import OWN_CHECKOUT, SoakFleet
from soak.proxy import FaultProxy, ProxyMode


class SoakTest(unittest.TestCase):
    """Daemon processes with faults injected from outside."""

    def test_short_soak(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            callers, injector = asyncio.run(
                soak(pathlib.Path(folder), seed=3, seconds=6, daemons=3),
            )
        self.assertEqual(callers.violations, [], injector.events)
        self.assertTrue(callers.outcome_counts['200'])

    def test_two_checkouts(self) -> None:
        """Half of the daemons run each; invalid messages are counted."""
        with tempfile.TemporaryDirectory() as folder:
            other = pathlib.Path('other')
            fleet = SoakFleet(pathlib.Path(folder), 4, other=other)
            self.assertEqual(
                [one.checkout for one in fleet.daemons],
                [OWN_CHECKOUT, other, OWN_CHECKOUT, other],
            )
            (pathlib.Path(folder) / 'edge-1.log').write_text(
                '{"name":"link_rubbish","reason":"TimeoutError()"}\n'
                '{"name":"link_rubbish","reason":"Expected `int`"}\n'
                'Traceback\n'
                '{"name":"type_skipped","type":"Novel"}\n'
                '{"name":"started"}\n'
            )
            self.assertEqual(
                fleet.daemons[1].message_faults(),
                {'link_rubbish Expected `int`': 1, 'type_skipped Novel': 1},
            )

    def test_path_that_two_faults_open_again(self) -> None:
        """Faults overlap, and each ends with an open path."""

        async def overlap() -> None:
            proxy = FaultProxy('127.0.0.1:9')
            await proxy.start()
            try:
                for _ in range(20):
                    await proxy.set_mode(ProxyMode.refused)
                    await asyncio.gather(
                        proxy.set_mode(ProxyMode.forwarding),
                        proxy.set_mode(ProxyMode.forwarding),
                    )
            finally:
                await proxy.stop()

        asyncio.run(overlap())


if __name__ == '__main__':
    unittest.main()
