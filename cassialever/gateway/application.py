"""One daemon on the platform: its parts, started and stopped in order."""

import asyncio
import signal
from typing import Final

from cassialever.events import Event, record
from cassialever.exceptions import SettingsError
from cassialever.fleet.membership import MemberState
from cassialever.fleet.view import FleetView
from cassialever.gateway.core import Core
from cassialever.gateway.front import Front
from cassialever.gateway.metrics import (
    MetricsServer,
    Reading,
    counter_readings,
)
from cassialever.gateway.settings import GatewaySettings, load_settings
from cassialever.types import Seconds

#: The balancer asks each second and believes two misses.
BALANCER_NOTICE: Final[Seconds] = 2.3
#: Time between two looks at whether enough is known to be ready.
READY_LOOK: Final[Seconds] = 0.05
#: What is left of the grace for closing down.
CLOSING_TIME: Final[Seconds] = 0.5


class Gateway:
    """One daemon."""

    def __init__(self, settings: GatewaySettings) -> None:
        """Make every part; nothing is started."""
        self.settings = settings
        self.core = Core(settings)
        self.front = Front(settings, self.core.forwarder, self.core.clock)
        self._metrics = MetricsServer(settings, self._readings)
        self._stop_asked = asyncio.Event()

    @property
    def view(self) -> FleetView:
        """Return what this daemon believes of its deployment."""
        return self.core.view

    async def run(self) -> bool:
        """Serve until told to stop; return false if a part has failed."""
        await self.start()
        return await self.core.run_until(self._stop_asked, self.stop)

    async def start(self) -> None:
        """Start every part, the front last."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop_asked.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self.core.start()
        self.core.tasks.start(self._watch_readiness())
        await self._metrics.start()
        await self.front.start()
        record(Event.started, instance=self.settings.instance.instance_id)

    def reload(self) -> None:
        """Read the settings again; what can change at run time is used.

        These are the store's address and the seeds. Settings that can't be
        read change nothing.
        """
        try:
            changed = load_settings()
        except SettingsError as error:
            record(Event.reload_failed, reason=str(error))
            return
        self.core.store.address = changed.store
        self.core.membership.seeds = changed.seeds
        record(Event.reloaded, store=changed.store, seeds=changed.seeds)

    async def stop(self) -> None:
        """Leave the balancer, answer what was read, close."""
        record(Event.stopping, instance=self.settings.instance.instance_id)
        self.front.is_leaving = True
        await self.core.membership.resign()
        await asyncio.sleep(BALANCER_NOTICE)
        grace = self.settings.bounds.grace_s - BALANCER_NOTICE - CLOSING_TIME
        await self.front.finish(grace)
        await self.abort()
        record(Event.stopped, instance=self.settings.instance.instance_id)

    async def abort(self) -> None:
        """Close everything at once, without a word to anybody."""
        await self.front.stop()
        await self._metrics.stop()
        await self.core.abort()

    def _readings(self) -> list[Reading]:
        """Return what the metrics address shows."""
        configuration = self.view.configuration
        return [
            *counter_readings(self.core.forwarder.counters),
            Reading('store_calls', self.core.store.calls),
            Reading('entries_rejected', self.view.rejected_count),
            Reading('daemons', self.core.membership.daemon_count),
            Reading('leads', self.core.membership.state is MemberState.leading),
            Reading(
                'configuration_version',
                configuration.version if configuration else 0,
            ),
            Reading('targets', len(self.view.targets.by_id)),
            Reading('requests_open', self.front.open_requests),
        ]

    async def _watch_readiness(self) -> None:
        """Be ready from the first configuration and target on."""
        while self.view.configuration is None or not self.view.targets.by_id:
            await asyncio.sleep(READY_LOOK)
        self.front.is_ready = True
