"""All that a request passes on this daemon, made and started in order."""

import time

from cassialever.clock import SystemClock, seeded_random
from cassialever.front import Front
from cassialever.gates import Gates
from cassialever.leaseholder import Leaseholder
from cassialever.leases import HeldLeases
from cassialever.peers import Peers
from cassialever.placement import Placement
from cassialever.router import Router
from cassialever.settings import Settings
from cassialever.targets import HttpTargets
from cassialever.types import Incarnation


class RequestPath:
    """From a caller's connection to a target's, and back."""

    def __init__(self, settings: Settings, clock: SystemClock) -> None:
        """Make every part; nothing listens yet."""
        random_source = seeded_random(settings.random_seed)
        self.incarnation = Incarnation(time.time_ns())
        self.placement = Placement(settings.instance.data_centre)
        self.leases = HeldLeases()
        self.gates = Gates(clock)
        self.targets = HttpTargets(self.placement, clock)
        self.leaseholder = Leaseholder(
            self.placement,
            self.leases,
            self.targets,
            self.gates,
            clock,
        )
        self.peers = Peers(settings, self.incarnation, random_source)
        router = Router(
            settings.instance.instance_id,
            self.placement,
            self.leaseholder,
            self.peers,
            random_source,
        )
        self.front = Front(settings, self.placement, router)
        self.peer_port = 0

    async def start(self) -> None:
        """Open the links; the front is started once there is a catalogue."""
        await self.targets.start()
        self.peer_port = await self.peers.start(self.leaseholder)

    async def stop(self) -> None:
        """Finish what is in progress and close every connection."""
        await self.front.stop()
        await self.peers.stop()
        self.peers.close()
        await self.gates.stop()
        await self.targets.stop()
