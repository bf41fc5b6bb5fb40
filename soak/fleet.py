"""Daemon processes of a soak test, with their store, targets and proxies."""

import asyncio
import os
import pathlib
import signal
import sys
from typing import Any

from soak.proxy import FaultProxy
from standins.keyed_target import TargetServer
from standins.listening import free_ports
from standins.rowstore import RowStoreServer
from tests.fleet_helpers import CONFIGURATION, settings_text

KEYED_TARGET_COUNT = 4
UNKEYED_TARGET_COUNT = 2


class DaemonProcess:
    """A daemon process that can be restarted."""

    def __init__(self, name: str, folder: pathlib.Path) -> None:
        """Choose ports, and files for settings and log in `folder`."""
        self.name = name
        self.ports = free_ports(3)
        self.store_proxy: FaultProxy | None = None
        self._settings = folder / f'{name}.jsonc'
        self._log = folder / f'{name}.log'
        self._process: asyncio.subprocess.Process | None = None
        #: When the daemon was last disrupted, by the loop's clock.
        self.disrupted_at = 0.0

    @property
    def url(self) -> str:
        """Return the base URL for callers."""
        return f'http://127.0.0.1:{self.ports[0]}'

    async def start(self, store_proxy: FaultProxy) -> None:
        """Start the process, with a proxy as its store."""
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
        """Send a signal to the process, if it is running."""
        self.mark_disrupted()
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(signal_number)

    async def wait_for_exit(self) -> int:
        """Wait until the process exits and return its status."""
        if self._process is None:
            return 0
        status = await self._process.wait()
        self.mark_disrupted()
        return status

    def mark_disrupted(self) -> None:
        """Record that the daemon was disrupted now."""
        self.disrupted_at = asyncio.get_running_loop().time()


class SoakFleet:
    """A store, targets and daemons.

    Each target is behind a proxy, and each daemon reaches the store through a
    proxy of its own.
    """

    def __init__(self, folder: pathlib.Path, daemons: int) -> None:
        """Prepare the servers and daemons; `start` runs them."""
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
        self.configuration: dict[str, Any] = CONFIGURATION

    def add_routes(self, count: int) -> str:
        """Add routes to the configuration and return the host of one."""
        version = int(self.configuration['version'].removeprefix('r')) + 1
        lookup = CONFIGURATION['routes']['r-lookup']
        added = {
            f'r-{version}-{number}': {
                **lookup,
                'hostname': f'added-{version}-{number}.example',
            }
            for number in range(count)
        }
        self.configuration = {
            **self.configuration,
            'version': f'r{version}',
            'routes': {**self.configuration['routes'], **added},
        }
        self.store.put('op', 'config', self.configuration)
        return f'added-{version}-0.example'

    async def start(self) -> None:
        """Start the store, the targets, the proxies and the daemons."""
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
        """Kill the daemon processes, then stop the servers and proxies."""
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
        self, target: TargetServer, state: str = 'ready', cold_ms: float = 0
    ) -> None:
        """Write a target's entry with the address of its proxy."""
        entry = target.entry(state, cold_ms)
        entry['address'] = self.proxy_by_target[target.target_id].address
        self.store.put('servers', target.target_id, entry)
