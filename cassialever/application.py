"""The daemon as one object: its parts, started and stopped in order."""

import asyncio
import sys
import time
from typing import Protocol

from reactivex import operators
from reactivex.subject import Subject

from cassialever.catalogue import Catalogue, CatalogueIndex
from cassialever.catalogue_store import CatalogueStore
from cassialever.clock import SystemClock, seeded_random
from cassialever.daemon_view import DaemonView
from cassialever.events import Event, record
from cassialever.front import Front
from cassialever.gauges import Gauges
from cassialever.homes import HomeAssignment
from cassialever.instance_watch import (
    InstanceWatch,
    addresses_of,
    members_of,
)
from cassialever.instances import InstanceList
from cassialever.operator_api import OperatorApi
from cassialever.ownership import Ownership
from cassialever.ownership_driver import OwnershipDriver
from cassialever.placement import Placement
from cassialever.request_path import RequestPath
from cassialever.settings import Settings
from cassialever.spreading import Spreading
from cassialever.table import HttpTable
from cassialever.telemetry import Telemetry
from cassialever.types import Incarnation


class Part(Protocol):
    """A part of the daemon with a life cycle."""

    async def start(self) -> None:
        """Take up work."""

    async def stop(self) -> None:
        """Give work up."""


class Application:
    """One daemon."""

    def __init__(self, settings: Settings) -> None:
        """Make every part; nothing is started."""
        self.settings = settings
        clock = SystemClock()
        self._clock = clock
        random_source = seeded_random(settings.random_seed)
        homes = HomeAssignment(settings.instance.data_centre)
        core = Ownership(
            settings,
            # The wall clock makes each incarnation higher than the last.
            Incarnation(time.time_ns()),
            random_source,
            homes,
        )
        self.table = HttpTable(settings.platform, clock, random_source)
        self._instances = InstanceList(settings.platform)
        self.telemetry = Telemetry(settings, clock)
        #: Each catalogue that comes into force here.
        self._catalogues: Subject[CatalogueIndex] = Subject()
        self.path = RequestPath(settings, core, self.telemetry, clock)
        self.driver = OwnershipDriver(self.table, self.path, core, homes, clock)
        self._spreading = Spreading(
            settings,
            CatalogueStore(self.table),
            self.path.peers,
            clock,
            random_source,
            self._adopt,
        )
        self.watch = InstanceWatch(self._instances)
        self._subscribe()
        self.view = DaemonView(
            self.path,
            self.driver,
            self.watch,
            self._spreading.is_current,
        )
        Gauges(self.telemetry.metrics, self.view, clock)
        self.driver.on_broken = self._fail
        self.operator_api = OperatorApi(settings, self.view)
        self._stop_asked = asyncio.Event()
        self._is_broken = False

    @property
    def placement(self) -> Placement:
        """Return what this daemon believes of owners and holders."""
        return self.path.placement

    @property
    def front(self) -> Front:
        """Return the server that callers reach."""
        return self.path.front

    async def start(self) -> None:
        """Start every part, the front last."""
        for part in self._parts():
            await part.start()
        record(Event.started, instance=self.settings.instance.instance_id)

    async def stop(self) -> None:
        """Stop every part, so that no request in progress is cut.

        The balancer is told first. Requests in progress end before leases
        are handed over; the links go after them.
        """
        record(Event.stopping, instance=self.settings.instance.instance_id)
        self.view.stopping = True
        await asyncio.sleep(self.settings.stop.unready_for)
        await self.path.front.drain(self.settings.stop.longest)
        for part in reversed(self._parts()):
            await part.stop()
        self.telemetry.stop()
        record(Event.stopped, instance=self.settings.instance.instance_id)

    def ask_to_stop(self) -> None:
        """Ask for a graceful stop; asked again, end at once."""
        if self._stop_asked.is_set():
            sys.exit(1)
        self._stop_asked.set()

    async def run_until_stopped(self) -> bool:
        """Return once the daemon has stopped; say whether it was asked to.

        It also stops, at once, when an invariant was found broken: what it
        believes can't be trusted any more.
        """
        await self._stop_asked.wait()
        if not self._is_broken:
            await self.stop()
        return not self._is_broken

    def _parts(self) -> list[Part]:
        return [
            self.table,
            self._instances,
            self.operator_api,
            self.path,
            self.watch,
            self._spreading,
            self.driver,
            self.path.front,
        ]

    def _subscribe(self) -> None:
        """Let each part hear what concerns it."""
        instances = self.watch.changes
        addresses = self.path.peers.address_by_instance
        instances.pipe(operators.map(addresses_of)).subscribe(addresses.update)
        instances.subscribe(self.driver.adopt_instances)
        instances.pipe(operators.map(members_of)).subscribe(
            self._spreading.members_changed,
        )
        self._catalogues.subscribe(self.driver.adopt_catalogue)

    def _fail(self) -> None:
        self._is_broken = True
        self._stop_asked.set()

    def _adopt(self, catalogue: Catalogue) -> None:
        index = CatalogueIndex(catalogue)
        if self.path.placement.adopt_catalogue(index, self._clock.monotonic()):
            record(Event.catalogue_adopted, version=catalogue.version)
            self._catalogues.on_next(index)
