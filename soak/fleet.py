"""The daemons of a soak, as processes, and what stands around them."""

import asyncio
import os
import pathlib
import signal
import sys

from soak.proxy import FaultProxy
from standins.keyed_target import TargetServer
from standins.listening import free_ports
from standins.rowstore import RowStoreServer
from tests.fleet_helpers import CONFIGURATION, settings_text

KEYED_TARGET_COUNT = 4
UNKEYED_TARGET_COUNT = 2


class DaemonProcess:
    """One daemon, started again after it was ended."""

    def __init__(self, name: str, folder: pathlib.Path) -> None:
        """Take its name and where its settings and log are."""
        self.name = name
        self.ports = free_ports(3)
        self.store_proxy: FaultProxy | None = None
        self._settings = folder / f'{name}.jsonc'
        self._log = folder / f'{name}.log'
        self._process: asyncio.subprocess.Process | None = None
        #: When something was last done to it, by the loop's clock.
        self.disrupted_at = 0.0

    @property
    def url(self) -> str:
        """Return where callers reach it."""
        return f'http://127.0.0.1:{self.ports[0]}'

    async def start(self, store_proxy: FaultProxy) -> None:
        """Start the process."""
        self.store_proxy = store_proxy
        ports = (self.ports[0], self.ports[1], self.ports[2])
        text = settings_text(store_proxy.address, ports, self.name)
        self._settings.write_text(text)
        with self._log.open('ab') as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'cassialever',
                env={**os.environ, 'CASSIALEVER_SETTINGS': str(self._settings)},
                stdout=log,
                stderr=log,
            )
        self.mark_disrupted()

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal to this process alone."""
        self.mark_disrupted()
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(signal_number)

    async def wait_for_exit(self) -> int:
        """Return the exit status once it has ended."""
        if self._process is None:
            return 0
        status = await self._process.wait()
        self.mark_disrupted()
        return status

    def mark_disrupted(self) -> None:
        """Note that something was done to it just now."""
        self.disrupted_at = asyncio.get_running_loop().time()


class SoakFleet:
    """A store, targets and daemons, each behind a proxy."""

    def __init__(self, folder: pathlib.Path, daemons: int) -> None:
        """Take where files go and the number of daemons."""
        self.store = RowStoreServer()
        self.targets = [
            *(
                TargetServer(f'k{number}')
                for number in range(KEYED_TARGET_COUNT)
            ),
            *(
                TargetServer(f'i{number}', 'issuance', is_keyed=False)
                for number in range(UNKEYED_TARGET_COUNT)
            ),
        ]
        self.proxy_by_target: dict[str, FaultProxy] = {}
        self.daemons = [
            DaemonProcess(f'edge-{number}', folder) for number in range(daemons)
        ]

    async def start(self) -> None:
        """Start everything."""
        await self.store.start()
        self.store.put('op', 'config', CONFIGURATION)
        for target in self.targets:
            target.faults.service_time = 0.01
            await target.start()
            proxy = FaultProxy(target.address)
            await proxy.start()
            self.proxy_by_target[target.target_id] = proxy
            self.publish_target(target)
        for daemon in self.daemons:
            proxy = FaultProxy(self.store.address)
            await proxy.start()
            await daemon.start(proxy)

    async def stop(self) -> None:
        """End every process that was started here, then the rest."""
        for daemon in self.daemons:
            daemon.send(signal.SIGCONT)
            daemon.send(signal.SIGKILL)
            await daemon.wait_for_exit()
            if daemon.store_proxy is not None:
                await daemon.store_proxy.stop()
        for target in self.targets:
            await self.proxy_by_target[target.target_id].stop()
            await target.stop()
        await self.store.stop()

    def publish_target(
        self, target: TargetServer, state: str = 'ready'
    ) -> None:
        """Let a target tell of itself, at its proxy's address."""
        entry = target.entry(state)
        entry['address'] = self.proxy_by_target[target.target_id].address
        self.store.put('servers', target.target_id, entry)
