"""The daemon as one object: its parts, started and stopped in order."""

import asyncio
import sys

from cassialever.clock import SystemClock
from cassialever.events import Event, record
from cassialever.fleet import Fleet
from cassialever.front import Front
from cassialever.instances import InstanceList
from cassialever.placement import Placement
from cassialever.request_path import RequestPath
from cassialever.settings import Settings
from cassialever.table import HttpTable


class Application:
    """One daemon."""

    def __init__(self, settings: Settings) -> None:
        """Make every part; nothing is started."""
        self.settings = settings
        clock = SystemClock()
        self._table = HttpTable(settings.platform)
        self._instances = InstanceList(settings.platform)
        self._path = RequestPath(settings, clock)
        self._fleet = Fleet(
            settings,
            self._table,
            self._instances,
            self._path,
            clock,
        )
        self._stop_asked = asyncio.Event()

    @property
    def placement(self) -> Placement:
        """Return what this daemon believes of owners and holders."""
        return self._path.placement

    @property
    def front(self) -> Front:
        """Return the server that callers reach."""
        return self._path.front

    @property
    def peer_port(self) -> int:
        """Return the port that peers reach, once started."""
        return self._path.peer_port

    async def start(self) -> None:
        """Start every part, the front last."""
        await self._table.start()
        await self._instances.start()
        await self._path.start()
        await self._fleet.start()
        await self._path.front.start()
        record(Event.started, instance=self.settings.instance.instance_id)

    async def stop(self) -> None:
        """Stop every part, the front first."""
        record(Event.stopping, instance=self.settings.instance.instance_id)
        await self._path.stop()
        await self._fleet.stop()
        await self._instances.stop()
        await self._table.stop()
        record(Event.stopped, instance=self.settings.instance.instance_id)

    def ask_to_stop(self) -> None:
        """Ask for a graceful stop; asked again, end at once."""
        if self._stop_asked.is_set():
            sys.exit(1)
        self._stop_asked.set()

    async def run_until_stopped(self) -> None:
        """Return once the daemon has been asked to stop and has stopped."""
        await self._stop_asked.wait()
        await self.stop()
