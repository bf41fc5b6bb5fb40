"""Daemon processes of a soak test, with their store, targets and proxies."""

import asyncio
import base64
import functools
import os
import pathlib
import signal
import sys
from collections import Counter
from collections.abc import Callable, Collection, Iterable
from typing import Any

import msgspec

from cassialever.fleet.view import LEADER_ROW, OWN_TABLE, Leadership
from soak.daemon_logs import lines_of
from soak.disruptions import Disruptions
from soak.judging import MAX_SKEW, STABLE_TIME, Leaving
from soak.proxy import FaultProxy, ProxyMode
from standins.call_faults import FEED_PATH, READ_PATH, CallFault
from standins.key_watch import KeyWatch
from standins.keyed_target import TargetServer
from standins.listening import free_ports
from standins.rowstore import RowStoreServer
from tests.fleet_helpers import CONFIGURATION, settings_text

KEYED_TARGET_COUNT = 4
UNKEYED_TARGET_COUNT = 2
#: Modes in which a target can't be reached, or only over old connections.
CUTTING_MODES = (
    ProxyMode.refused,
    ProxyMode.refuse_new,
    ProxyMode.hang,
    ProxyMode.no_answers,
)
#: Service time of the targets, in seconds.
SERVICE_TIME = 0.01
DATA_CENTRES = ('astana-a', 'astana-b')
#: Time within which a daemon logs what has happened to it, in seconds.
NEWS_TIME = 0.3
#: The last number of the first daemon's `target_host`, and of its own address.
#: Targets listen at 127.0.0.1.
FIRST_TARGET_HOST = 2
FIRST_DAEMON_HOST = 128
#: Number of daemons that the settings of each name.
SEED_COUNT = 3
#: The folder of the build that is tested.
OWN_CHECKOUT = pathlib.Path(__file__).parent.parent
#: Signals after which a process ends.
ENDING_SIGNALS = (signal.SIGKILL, signal.SIGTERM)
#: Callers of larger fleets are slower, since one process runs them all.
DAEMONS_AT_FULL_PACE = 6
#: Processes that start at the same time take the processor from each other.
DAEMONS_STARTED_AT_ONCE = 6
#: Pause between attempts to connect to a daemon that starts, in seconds.
CONNECT_INTERVAL = 0.05
#: Log lines on messages between daemons that were not understood, and on broken
#: invariants.
MESSAGE_EVENTS = (
    'link_rubbish',
    'link_out_of_step',
    'type_skipped',
    'invariant_broken',
    'exception_unhandled',
    'task_failed',
)
#: Processor time for which one turn of a daemon's loop may last, in seconds.
MAX_BUSY_TIME = 1.0
#: Begins the text of an exception that reached no log.
TRACEBACK = b'Traceback (most recent call last)'


class DaemonProcess:
    """A daemon process that can be restarted.

    It reaches the store and each target through proxies of its own.
    """

    def __init__(
        self,
        name: str,
        folder: pathlib.Path,
        target_host: str,
        data_centre: str,
        sender_by_port: dict[int, str],
        address: str,
        internal_port: int,
    ) -> None:
        """Choose ports, and files for settings and log in `folder`.

        Proxies to all targets listen at `target_host`, and write the daemon's
        name to `sender_by_port`. Other daemons reach this one at `address`.
        """
        self.address = address
        #: Addresses of the daemons that this one asks without a leader.
        self.seeds: tuple[str, ...] = ()
        self.sender_by_port = sender_by_port
        self.name = name
        self.target_host = target_host
        self.data_centre = data_centre
        self.path_by_target: dict[str, FaultProxy] = {}
        #: When the paths to targets last changed, by the loop's clock.
        self.cut_changed_at = 0.0
        #: Number of cuts between the daemon and targets that are in force.
        self.cut_count = 0
        #: The folder of the build that the next start runs.
        self.checkout = OWN_CHECKOUT
        #: Whether the daemon reaches no target at all.
        self.is_cut_off = False
        self.ports = (*free_ports(2), internal_port)
        self.store_proxy: FaultProxy | None = None
        self._settings = folder / f'{name}.jsonc'
        self.log = folder / f'{name}.log'
        self._process: asyncio.subprocess.Process | None = None
        #: When the daemon was last disrupted, by the loop's clock.
        self.disrupted_at = 0.0
        #: When it was last killed, suspended or resumed, by the loop's clock.
        self.harmed_at = 0.0
        self._is_suspended = False
        #: When the process did not run or was asked to stop.
        self._ends = Disruptions()
        self._suspensions = Disruptions()
        #: When its connections were reset, or went silent.
        self.resets = Disruptions()
        #: When its calls met faults of the store, and when its paths to targets
        #: were cut.
        self.call_faults = Disruptions()
        self.cuts = Disruptions()
        #: Number of processes that were started.
        self.life = 0

    @property
    def url(self) -> str:
        """Return the base URL for callers."""
        return f'http://127.0.0.1:{self.ports[0]}'

    async def start(self, store_proxy: FaultProxy) -> None:
        """Start the process, with a proxy as its store."""
        self.store_proxy = store_proxy
        ports = (self.ports[0], self.ports[1], self.ports[2])
        text = settings_text(
            store_proxy.address,
            ports,
            self.name,
            self.data_centre,
            self.target_host,
            self.address,
            self.seeds,
        )
        self._settings.write_text(text)
        with self.log.open('ab') as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'cassialever',
                cwd=self.checkout,
                env={**os.environ, 'CASSIALEVER_SETTINGS': str(self._settings)},
                stdout=log,
                stderr=log,
            )
        self.life += 1
        self._ends.end()
        self.mark_disrupted()

    def is_in_touch(self, since: float, until: float) -> bool:
        """Return whether time bounds hold from `since` to `until`.

        Its process and its path to the store are undisrupted then, and have
        been for long enough before.
        """
        calm_since = since - STABLE_TIME
        return (
            self.store_proxy is not None
            and self._ends.is_calm(calm_since, until)
            and self._suspensions.is_calm(calm_since, until)
            and self.resets.is_calm(calm_since, until)
            and self.store_proxy.disruptions.is_calm(calm_since, until)
        )

    def is_undisturbed(self, since: float, until: float) -> bool:
        """Return whether the process ran and its connections worked."""
        return (
            self._ends.is_calm(since, until)
            and self._suspensions.is_calm(since, until)
            and self.resets.is_calm(since, until)
        )

    def is_process_calm(self, since: float, until: float) -> bool:
        """Return whether the process ran and was not asked to stop."""
        return self._ends.is_calm(since, until)

    def is_thawed_or_healed(self, since: float, until: float) -> bool:
        """Return whether it went on, or its path to the store healed."""
        return self._suspensions.has_ended(since, until) or (
            self.store_proxy is not None
            and self.store_proxy.disruptions.has_ended(since, until)
        )

    def is_running(self) -> bool:
        """Return whether its process and its path to the store work now."""
        now = asyncio.get_running_loop().time()
        return (
            self.store_proxy is not None
            and self.exit_status is None
            and self._ends.is_calm(now, now)
            and self._suspensions.is_calm(now, now)
            and self.store_proxy.disruptions.is_calm(now, now)
        )

    @property
    def pid(self) -> int | None:
        """Return the process's ID, unless it has ended."""
        if self._process is None or self.exit_status is not None:
            return None
        return self._process.pid

    def message_faults(self) -> Counter[str]:
        """Count the log lines about faults of the program.

        A peer that is suspended or cut off sends nothing, which is no fault of
        its messages.
        """
        counts: Counter[str] = Counter()
        for fields in lines_of(self.log):
            name = fields.get('name')
            reason = fields.get(
                'reason', fields.get('type', fields.get('invariant', ''))
            )
            if fields.get('busy_for', 0) >= MAX_BUSY_TIME:
                counts['loop_blocked'] += 1
            if name == 'link_rubbish' and reason == repr(TimeoutError()):
                continue
            if name in MESSAGE_EVENTS:
                counts[f'{name} {reason}'] += 1
        tracebacks = self.log.read_bytes().count(TRACEBACK)
        if tracebacks:
            counts['traceback'] += tracebacks
        return counts

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process, if it is running."""
        self.mark_disrupted()
        if signal_number is signal.SIGKILL or self._is_suspended:
            self.harmed_at = self.disrupted_at
        if signal_number is signal.SIGSTOP:
            self.harmed_at = self.disrupted_at
            self._is_suspended = True
            self._suspensions.begin()
        if signal_number is signal.SIGCONT:
            self._is_suspended = False
            self._suspensions.end()
        if signal_number in ENDING_SIGNALS:
            self._ends.begin()
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(signal_number)

    @property
    def exit_status(self) -> int | None:
        """Return the status of a process that has ended, None of others."""
        return None if self._process is None else self._process.returncode

    async def wait_for_exit(self) -> int:
        """Wait until the process exits and return its status."""
        if self._process is None:
            return 0
        status = await self._process.wait()
        self.mark_disrupted()
        return status

    async def wait_until_listening(self) -> None:
        """Wait until the process accepts connections or has ended."""
        while self.exit_status is None:
            try:
                _, writer = await asyncio.open_connection(
                    '127.0.0.1', self.ports[0]
                )
            except OSError:
                await asyncio.sleep(CONNECT_INTERVAL)
                continue
            writer.close()
            return

    def mark_disrupted(self) -> None:
        """Record that the daemon was disrupted now."""
        self.disrupted_at = asyncio.get_running_loop().time()

    async def open_paths(self, targets: Iterable[TargetServer]) -> None:
        """Start a proxy to each target, on the target's port."""
        for target in targets:
            path = FaultProxy(target.address, self.target_host, target.port)
            path.note_port = self._note_port
            await path.start()
            self.path_by_target[target.target_id] = path

    async def set_paths(
        self, mode: ProxyMode, target_ids: Collection[str] = ()
    ) -> None:
        """Set the mode of the paths to some targets, by default to all."""
        for target_id in target_ids or list(self.path_by_target):
            await self.path_by_target[target_id].set_mode(mode)

    def _note_port(self, port: int) -> None:
        self.sender_by_port[port] = self.name

    def request_count(self) -> int:
        """Return how many chunks of requests took the paths to targets."""
        return sum(path.request_count for path in self.path_by_target.values())


class SoakFleet:
    """A store, targets and daemons in several data centres."""

    def __init__(
        self,
        folder: pathlib.Path,
        daemons: int,
        unkeyed: int = UNKEYED_TARGET_COUNT,
        other: pathlib.Path | None = None,
        owners: int = KEYED_TARGET_COUNT,
    ) -> None:
        """Prepare the servers and daemons; `start` runs them.

        There are `owners` targets that own keys, and `unkeyed` that own none.
        If there is the checkout of another build, every second daemon runs it.
        """
        self.checkouts = (OWN_CHECKOUT, other or OWN_CHECKOUT)
        self.store = RowStoreServer()
        #: When the store was down, slow or lost answers, and when it turned
        #: some machines or some calls away.
        self.store_disruptions = Disruptions()
        self.store_refusals = Disruptions()
        #: When it was down, stood still, or was slow or behind.
        self.outages = Disruptions()
        #: Names of daemons by the ports of their connections to the store.
        self._machine_by_port: dict[int, str] = {}
        self.store.machine_at = lambda port: self._machine_by_port.get(port, '')
        #: Names of daemons by the local ports of their connections to targets.
        self.sender_by_port: dict[int, str] = {}
        #: All notices of targets that leave, in order.
        self.leavings: list[Leaving] = []
        self._leaving_by_target: dict[str, Leaving] = {}
        #: Watches the keys of all targets.
        self.key_watch = KeyWatch()
        #: Called after each write of a configuration.
        self.note_configuration: Callable[[dict[str, Any]], None] = _ignore
        self.targets = [
            *(
                TargetServer(f'k{number}', data_centre=data_centre_of(number))
                for number in range(owners)
            ),
            *(
                TargetServer(
                    f'i{number}',
                    'issuance',
                    is_keyed=False,
                    data_centre=data_centre_of(number),
                )
                for number in range(unkeyed)
            ),
        ]
        #: Targets that ended for good, and IDs of those that do not listen.
        self.ended_targets: list[TargetServer] = []
        self.down_ids: set[str] = set()
        #: Hosts of added routes of the keyed service, with the times of their
        #: acknowledgements.
        self.added_hosts: list[tuple[str, float]] = []
        # All daemons use the same one, as on the platform.
        internal_port = free_ports(1)[0]
        self.daemons = [
            DaemonProcess(
                f'edge-{number}',
                folder,
                f'127.0.0.{number + FIRST_TARGET_HOST}',
                data_centre_of(number),
                self.sender_by_port,
                f'127.0.0.{number + FIRST_DAEMON_HOST}',
                internal_port,
            )
            for number in range(daemons)
        ]
        seeds = tuple(
            f'{one.address}:{internal_port}'
            for one in self.daemons[:SEED_COUNT]
        )
        for number, daemon in enumerate(self.daemons):
            daemon.seeds = seeds
            daemon.checkout = self.checkouts[number % len(self.checkouts)]
        self.configuration: dict[str, Any] = CONFIGURATION

    @property
    def all_targets(self) -> list[TargetServer]:
        """Return the targets that there are and those that have ended."""
        return [*self.targets, *self.ended_targets]

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
        self.write_configuration(
            {
                **self.configuration,
                'version': f'r{version}',
                'routes': {**self.configuration['routes'], **added},
            }
        )
        host = f'added-{version}-0.example'
        self.note_added_host(host)
        return host

    def note_added_host(self, host: str) -> None:
        """Record an added route of the keyed service."""
        now = asyncio.get_running_loop().time()
        self.added_hosts.append((host, now))

    def write_configuration(self, configuration: dict[str, Any]) -> None:
        """Write a valid configuration that is newer than those before."""
        self.configuration = configuration
        self.store.put('op', 'config', configuration)
        self.note_configuration(configuration)

    def is_in_touch(
        self, daemon: DaemonProcess, since: float, until: float
    ) -> bool:
        """Return whether time bounds hold for a daemon.

        While the store turns some machines away they hold, and are longer by
        MAX_SKEW, unless it was down or lost answers in that time.
        """
        calm_time = STABLE_TIME
        if not self.is_core_stable(since, until):
            calm_time += MAX_SKEW
        return daemon.is_in_touch(
            since, until
        ) and self.store_disruptions.is_calm(since - calm_time, until)

    def is_core_stable(self, since: float, until: float) -> bool:
        """Return whether the store has turned no machine away."""
        return self.store_refusals.is_calm(since - STABLE_TIME, until)

    def may_lead(self, daemon: DaemonProcess) -> bool:
        """Return whether the store accepts transactions of a daemon now."""
        now = asyncio.get_running_loop().time()
        return (
            daemon.is_running()
            and self.store.error_status is None
            and not self.store.drops_responses
            and self.outages.is_calm(now, now)
            and not any(
                fault.keeps_from_leading(daemon.name)
                for fault in self.store.call_faults
            )
        )

    def is_hindered(self, daemon: DaemonProcess, since: float) -> bool:
        """Return whether a fault has concerned a daemon since a time."""
        now = asyncio.get_running_loop().time()
        return not (
            self.may_lead(daemon)
            and self._is_calm_at(daemon, since, now)
            and daemon.cuts.is_calm(since, now)
            and daemon.call_faults.is_calm(since, now)
        )

    def reaches_store(self, daemon: DaemonProcess, since: float) -> bool:
        """Return whether reads of a daemon have been answered since a time."""
        now = asyncio.get_running_loop().time()
        return (
            daemon.is_running()
            and self._is_calm_at(daemon, since, now)
            and self.outages.is_calm(since, now)
            and not any(
                {READ_PATH, FEED_PATH} & {*fault.paths}
                for fault in self._call_faults(daemon)
            )
        )

    def is_term_disrupted(
        self, daemon: DaemonProcess, since: float, until: float
    ) -> bool:
        """Return whether a fault may have ended a term of a daemon.

        Calls from before the term may be performed late in it.
        """
        calm_since = since - STABLE_TIME
        return not (
            self._is_calm_at(daemon, since - NEWS_TIME, until + NEWS_TIME)
            and daemon.store_proxy is not None
            and daemon.store_proxy.disruptions.is_calm(calm_since, until)
            and daemon.call_faults.is_calm(calm_since, until)
            and self.store_disruptions.is_calm(calm_since, until)
        )

    def is_to_resign(
        self, daemon: DaemonProcess, since: float, until: float
    ) -> bool:
        """Return whether a daemon is to stop, or some reach fewer targets."""
        return not daemon.is_process_calm(since, until) or not all(
            one.cuts.is_calm(since - STABLE_TIME, until) for one in self.daemons
        )

    def mark_call_faults(self) -> None:
        """Record which daemons meet faults of the store's calls now."""
        for daemon in self.daemons:
            if self._call_faults(daemon):
                daemon.call_faults.begin()
            else:
                daemon.call_faults.end()

    def _call_faults(self, daemon: DaemonProcess) -> list[CallFault]:
        return [
            fault
            for fault in self.store.call_faults
            if fault.machines is None or daemon.name in fault.machines
        ]

    def _is_calm_at(
        self, daemon: DaemonProcess, since: float, until: float
    ) -> bool:
        return (
            daemon.is_undisturbed(since, until)
            and daemon.store_proxy is not None
            and daemon.store_proxy.disruptions.is_calm(since, until)
        )

    def confirmed_age(self, daemon: DaemonProcess) -> float:
        """Return the time since a transaction of a daemon was confirmed."""
        now = asyncio.get_running_loop().time()
        return now - self.store.confirmed_at.get(daemon.name, float('-inf'))

    async def start(self) -> None:
        """Start the store, the targets, the proxies and the daemons."""
        await self.store.start()
        self.store.put('op', 'config', CONFIGURATION)
        for target in self.targets:
            self._prepare(target)
            await target.start()
            self.publish_target(target)
        for number, daemon in enumerate(self.daemons, start=1):
            await daemon.open_paths(self.targets)
            proxy = FaultProxy(self.store.address)
            proxy.note_port = functools.partial(self._note_machine, daemon.name)
            await proxy.start()
            await daemon.start(proxy)
            if number % DAEMONS_STARTED_AT_ONCE == 0:
                await daemon.wait_until_listening()

    async def stop(self) -> None:
        """Kill the daemon processes, then stop the servers and proxies."""
        for daemon in self.daemons:
            daemon.send(signal.SIGCONT)
            daemon.send(signal.SIGKILL)
            await daemon.wait_for_exit()
            if daemon.store_proxy is not None:
                await daemon.store_proxy.stop()
            for path in daemon.path_by_target.values():
                await path.stop()
        for target in self.all_targets:
            await target.stop()
        await self.store.stop()

    def retire(self, target: TargetServer) -> None:
        """Record that a target has ended for good; its entry stays."""
        self.targets.remove(target)
        self.ended_targets.append(target)

    async def start_target(
        self, target: TargetServer, earlier: TargetServer | None = None
    ) -> None:
        """Start another target, perhaps at the address of an earlier one."""
        self._prepare(target)
        if earlier is None:
            await target.start(free_ports(1)[0])
            for daemon in self.daemons:
                await daemon.open_paths([target])
        else:
            await target.start(earlier.port)
            for daemon in self.daemons:
                paths = daemon.path_by_target
                paths[target.target_id] = paths[earlier.target_id]
        self.targets.append(target)

    def has_owner(self) -> bool:
        """Return whether a target could be given keys."""
        return any(
            one.is_keyed
            and one.target_id not in self.down_ids
            and self._is_listed(one)
            for one in self.targets
        )

    def _is_listed(self, target: TargetServer) -> bool:
        row = self.store.rows.row_by_name.get(('servers', target.target_id))
        return row is not None and row.value is not None

    def _prepare(self, target: TargetServer) -> None:
        target.faults.service_time = SERVICE_TIME
        target.work.arrivals.sender_at = self.sender_at
        if target.is_keyed:
            target.keys.watch = self.key_watch

    def publish_target(
        self, target: TargetServer, state: str = 'ready', cold_ms: float = 0
    ) -> None:
        """Write a target's entry, unless it has ended for good."""
        if target in self.ended_targets:
            return
        entry = target.entry(state, cold_ms)
        self.store.put('servers', target.target_id, entry)
        if state == 'draining':
            self._note_leaving(target)
        elif target.target_id in self._leaving_by_target:
            now = asyncio.get_running_loop().time()
            leaving = self._leaving_by_target.pop(target.target_id)
            leaving.taken_back_at = now

    def remove_entry(self, target: TargetServer) -> None:
        """Delete a target's entry, with or without a notice before."""
        self.store.delete('servers', target.target_id)
        self._note_leaving(target)

    def sender_at(self, port: int) -> str:
        """Return the daemon that has the connection from a port."""
        return self.sender_by_port.get(port, '')

    def _note_machine(self, name: str, port: int) -> None:
        self._machine_by_port[port] = name

    def _note_leaving(self, target: TargetServer) -> None:
        if target.target_id not in self._leaving_by_target:
            now = asyncio.get_running_loop().time()
            leaving = Leaving(target.target_id, now)
            self._leaving_by_target[target.target_id] = leaving
            self.leavings.append(leaving)

    async def set_target_mode(self, target_id: str, mode: ProxyMode) -> None:
        """Set the mode of all paths to a target, except of daemons cut off."""
        for daemon in self.daemons:
            if not daemon.cut_count:
                await daemon.set_paths(mode, [target_id])

    async def cut(
        self,
        daemons: Collection[DaemonProcess],
        mode: ProxyMode,
        target_ids: Collection[str] = (),
    ) -> None:
        """Cut daemons off from some targets, by default from all."""
        now = asyncio.get_running_loop().time()
        for daemon in daemons:
            daemon.cut_count += 1
            daemon.cuts.begin()
            daemon.cut_changed_at = now
            daemon.is_cut_off = mode in CUTTING_MODES and not target_ids
            await daemon.set_paths(ProxyMode.forwarding)
            await daemon.set_paths(mode, target_ids)

    async def heal(self, daemons: Collection[DaemonProcess]) -> None:
        """End one cut of each daemon."""
        for daemon in daemons:
            daemon.cut_count -= 1
            if daemon.cut_count:
                continue
            daemon.cuts.end()
            daemon.cut_changed_at = asyncio.get_running_loop().time()
            daemon.is_cut_off = False
            await daemon.set_paths(ProxyMode.forwarding)

    def pause(self, shortest: float) -> float:
        """Return a caller's pause between an answer and its next request."""
        count = max(len(self.daemons), DAEMONS_AT_FULL_PACE)
        return shortest * count / DAEMONS_AT_FULL_PACE

    def leader(self) -> DaemonProcess | None:
        """Return the daemon that the store names as the leader."""
        row = self.store.rows.row_by_name.get((OWN_TABLE, LEADER_ROW))
        if row is None or row.value is None:
            return None
        leadership = msgspec.msgpack.decode(
            base64.b64decode(row.value), type=Leadership
        )
        return next(
            (one for one in self.daemons if one.name == leadership.instance_id),
            None,
        )


def _ignore(configuration: dict[str, Any]) -> None:
    """Do not note a configuration."""


def data_centre_of(number: int) -> str:
    """Return the data centre of a daemon or target."""
    return DATA_CENTRES[number % len(DATA_CENTRES)]
