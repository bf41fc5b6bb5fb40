"""The daemon with the project's own interface for callers."""

import asyncio
import sys
from typing import Final, Protocol

from cassialever.callers.front import CallerServer
from cassialever.catalogue.adoption import CatalogueRowHandler
from cassialever.catalogue.entries import CatalogueIndex
from cassialever.events import Event, record
from cassialever.gateway.core import Core
from cassialever.gateway.keyed_requests import KeyedRequests
from cassialever.gateway.settings import (
    Bounds,
    GatewaySettings,
    InstanceSettings,
    ListenSettings,
)
from cassialever.operators.api import OperatorApi
from cassialever.operators.daemon_view import DaemonView
from cassialever.settings import Settings, store_address
from cassialever.starting import StartEnd, start_daemon
from cassialever.tasks import log_failure
from cassialever.telemetry.gauges import StatusGauges
from cassialever.telemetry.metrics import SERVICE
from cassialever.telemetry.telemetry import Telemetry
from cassialever.types import MS_PER_SECOND, Seconds

#: Window of the retry budget, and the retries per window that are allowed in
#: addition to a service's own share; without them, a service with little
#: traffic could not retry at all.
RETRY_WINDOW: Final[Seconds] = 10.0
RETRY_ALLOWANCE: Final = 30.0
#: Longest duration of a grant that targets accept.
MAX_GRANT_DURATION: Final[Seconds] = 10.0


class Server(Protocol):
    """A server that the daemon starts and stops."""

    async def start(self) -> None:
        """Start serving."""

    async def stop(self) -> None:
        """Stop serving."""


class Application:
    """One daemon."""

    def __init__(self, settings: Settings) -> None:
        """Create every part without starting any."""
        self.settings = settings
        catalogue = CatalogueRowHandler()
        self.core = Core(
            gateway_settings(settings),
            catalogue,
            settings.random_seed,
        )
        self.telemetry = Telemetry(settings, self.core.clock)
        self.core.forwarder.tracing = self.telemetry.tracing
        self.telemetry.has_moving_keys = self.core.view.has_moving_keys
        self.caller_server = CallerServer(
            settings,
            self.core.forwarder,
            self.telemetry,
            self.core.clock,
        )
        self.view = DaemonView(
            settings,
            self.core,
            self.telemetry,
            self.caller_server,
        )
        self.telemetry.metrics.add_counter(
            'cassialever.attempts',
            SERVICE,
            'Requests sent to targets, retries included.',
            self.core.forwarder.counters.sent_by_service,
        )
        self.keyed_requests = KeyedRequests(
            self.core.view, self.core.clock, self.core.forwarder.tables
        )
        self.core.forwarder.on_end = self.keyed_requests.note
        self.telemetry.metrics.add_gauge(
            'cassialever.keys_unserved',
            'Seconds in which no key of a service was served.',
            self.keyed_requests.unserved_time,
        )
        StatusGauges(self.telemetry.metrics, self.view, self.core.clock)
        for adopt in (self.caller_server.adopt, self.view.adopt):
            catalogue.adopted.subscribe(adopt)
        self.operator_api = OperatorApi(settings, self.view)
        self._stop_requested = asyncio.Event()

    @property
    def index(self) -> CatalogueIndex | None:
        """Return the catalogue that this daemon uses."""
        return self.view.index

    async def run(self) -> bool:
        """Serve until asked to stop; return false if a part has failed."""
        if self._stop_requested.is_set():
            # Nothing is open yet that a stop would have to close.
            record(Event.stopped, instance=self.settings.instance.instance_id)
            return True
        end = await start_daemon(
            self, self._stop_requested, self.settings.instance.instance_id
        )
        if end is not StartEnd.started:
            return end is StartEnd.stopped
        return await self.run_until_stopped()

    async def start(self) -> None:
        """Start every part, the server for callers last."""
        await self.core.start()
        for part in self._servers():
            await part.start()
        self.core.begin()
        self.core.tasks.start(self.keyed_requests.run())
        record(Event.started, instance=self.settings.instance.instance_id)

    async def stop(self) -> None:
        """Stop gracefully without interrupting requests in progress.

        The daemon first reports that it is not ready, so that the load
        balancer takes it out, and hands over leadership; then it waits for
        the requests in progress.
        """
        record(Event.stopping, instance=self.settings.instance.instance_id)
        self.view.is_stopping = True
        hop_server = self.core.exchanges.hop_server
        hop_server.announce_stop(
            self.core.clock.monotonic()
            + self.settings.stop.unready_for
            + self.settings.stop.longest
        )
        # The store may take as long to answer as the balancer to notice.
        await asyncio.gather(
            log_failure('resign', self.core.hand_over()),
            asyncio.sleep(self.settings.stop.unready_for),
        )
        longest = self.settings.stop.longest
        await asyncio.gather(
            log_failure('drain', self.caller_server.drain(longest)),
            log_failure('drain of carried requests', hop_server.drain(longest)),
        )
        await self.abort()
        record(Event.stopped, instance=self.settings.instance.instance_id)

    async def abort(self) -> None:
        """Close everything immediately, without notifying anyone."""
        for part in reversed(self._servers()):
            await log_failure(type(part).__name__, part.stop())
        await self.core.abort()
        self.telemetry.stop()

    def request_stop(self) -> None:
        """Request a graceful stop; a second request exits immediately."""
        if self._stop_requested.is_set():
            sys.exit(1)
        self._stop_requested.set()

    async def run_until_stopped(self) -> bool:
        """Wait for a stop request, stop gracefully and return true.

        Closes everything and returns false, without a graceful stop, if a part
        has failed or an invariant was violated: the state can't be trusted any
        more, so the process has to exit.
        """
        has_stopped = await self.core.run_until(self._stop_requested, self.stop)
        if not has_stopped:
            await self.abort()
        return has_stopped

    def _servers(self) -> list[Server]:
        return [self.operator_api, self.caller_server]


def gateway_settings(settings: Settings) -> GatewaySettings:
    """Return the settings that the core of a daemon needs."""
    instance = settings.instance
    return GatewaySettings(
        instance=InstanceSettings(
            instance.instance_id,
            instance.data_centre,
            instance.address,
        ),
        listen=ListenSettings(
            callers=f'{instance.address}:{instance.caller_port}',
            readiness=f'{instance.address}:{instance.operator_port}',
            internal_port=instance.peer_port,
        ),
        store=store_address(settings),
        bounds=Bounds(
            grace_s=settings.stop.longest,
            # The catalogue sets each service's own retry share.
            retry_ratio=0,
            retry_window_s=RETRY_WINDOW,
            retry_allowance=RETRY_ALLOWANCE,
            hold_max_ms=MAX_GRANT_DURATION * MS_PER_SECOND,
        ),
        seeds=settings.platform.seeds,
        fleet_key=settings.security.fleet_key,
    )
