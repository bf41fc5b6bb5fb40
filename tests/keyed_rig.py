"""A fleet in virtual time whose leader assigns the keys of a service."""

import msgspec

from cassialever.fleet.model import KeyMap
from cassialever.fleet.term_ends import TermEnd
from cassialever.fleet.view import OWN_TABLE
from cassialever.keys.assigner import KeyAssigner
from cassialever.keys.mapwriter import row_name
from cassialever.policy.paths import TargetPaths
from cassialever.types import DataCentreId, ServiceName
from tests import fleet_rig
from tests.fleet_helpers import LoopClock, VirtualLoop
from tests.fleet_rig import Rig, RigDaemon, decode
from tests.ownership_fakes import FakeTargetClient, World

SERVICE = ServiceName('registry')


class KeyedRig(Rig):
    """A fleet whose targets take grants, and check who holds which keys."""

    def __init__(self, loop: VirtualLoop, seed: int, count: int) -> None:
        """Let each daemon assign keys in its terms."""
        super().__init__(loop, seed, count)
        self.world = World(loop, seed, fleet_rig.TARGETS)
        for daemon in self.daemons:
            self._let_assign(daemon)

    def restart(self, daemon: RigDaemon) -> RigDaemon:
        """Start the next process of a daemon, which assigns keys as well."""
        again = super().restart(daemon)
        self._let_assign(again)
        return again

    def ends(self) -> dict[TermEnd, int]:
        """Return how many terms of daemons that live have ended, by why."""
        total: dict[TermEnd, int] = {}
        for daemon in self.daemons:
            if not daemon.machine.is_alive:
                continue
            ended = daemon.member.contact.terms.count_by_end
            for end, count in ended.items():
                total[end] = total.get(end, 0) + count
        return total

    def stored_owners(self) -> set[str]:
        """Return the owners of keys that the store names."""
        row = self.rows.row_by_name.get((OWN_TABLE, row_name(SERVICE)))
        if row is None:
            return set()
        content = decode([row])[0].content
        assert content is not None
        key_map = msgspec.msgpack.decode(content, type=KeyMap)
        return {keys.owner for keys in key_map.ranges}

    def _let_assign(self, daemon: RigDaemon) -> None:
        assigner = KeyAssigner(
            daemon.view,
            daemon.relay,
            FakeTargetClient(self.world),  # type: ignore[arg-type]
            LoopClock(self.loop),
            TargetPaths(DataCentreId('dc'), self.world.random),
        )
        daemon.member.run_leader = assigner.run
