"""Small fakes at the interfaces of the ownership core, in virtual time.

Every random choice comes from one seed. Daemons, targets and the table run
on events of one queue; each actor has a clock of its own that drifts.
"""

import collections
import heapq
import itertools
import random
from collections.abc import Callable

import msgspec

from cassialever.catalogue import (
    Catalogue,
    CatalogueIndex,
    DataCentreEntry,
    ServiceEntry,
    ServiceLimits,
    TargetChecks,
    TargetEntry,
)
from cassialever.control_messages import ControlMessage
from cassialever.errors import ErrorKind, Failure
from cassialever.exceptions import InvariantError
from cassialever.interfaces import Committed, Row, Transaction
from cassialever.ownership import Ownership
from cassialever.ownership_effects import (
    AnnounceMap,
    CommitRows,
    Drain,
    Effect,
    GrantTarget,
    LogEvent,
    ReadRows,
    ScanRows,
    SendControl,
)
from cassialever.ownership_events import (
    TICK,
    CatalogueAdopted,
    ControlReceived,
    Drained,
    GrantAnswer,
    InstancesListed,
    ListedInstance,
    OwnershipEvent,
    RowsCommitted,
    RowsRead,
    StopWanted,
    TargetGrantResult,
    Tick,
)
from cassialever.routing import RoutingMap
from cassialever.rows import CoordinatorRow, GroupRow, decode_row
from cassialever.settings import (
    InstanceSettings,
    PlatformSettings,
    SecuritySettings,
    Settings,
)
from cassialever.types import (
    DataCentreId,
    Fence,
    Incarnation,
    InstanceId,
    RoutingClass,
    RowName,
    RowVersion,
    ServiceName,
    ServiceState,
    SliceIndex,
    TargetId,
)

SERVICE = ServiceName('registry')
CENTRE = DataCentreId('dc1')
TABLE = 'table'
DEADLINE = 5.0
ATTEMPT = 0.4


class Violation(AssertionError):
    """A promise was broken in a run."""


class Clock:
    """Tell an actor's own time from the true one."""

    def __init__(self, rate: float, offset: float) -> None:
        self.rate = rate
        self.offset = offset

    def at(self, true: float) -> float:
        return self.offset + self.rate * true


class FakeTarget:
    """A target that checks fences and grants, or nothing at all."""

    def __init__(self, name: str, checks: bool, clock: Clock) -> None:
        self.name = TargetId(name)
        self.checks = checks
        self.clock = clock
        self.incarnation = 1
        self.highest = Fence(0)
        self.granted = Fence(-1)
        self.ends = 0.0
        self.frozen = False
        self.down = False
        self.waiting: list[Callable[[], None]] = []

    def restart(self) -> None:
        self.incarnation += 1
        self.highest = Fence(0)
        self.granted = Fence(-1)
        self.ends = 0.0
        self.down = False
        self.frozen = False
        self.waiting.clear()

    def takes(self, fence: Fence, true: float) -> bool:
        if self.down:
            return False
        if not self.checks:
            return True
        return fence == self.granted and self.clock.at(true) < self.ends

    def grant(self, effect: GrantTarget, true: float) -> GrantAnswer:
        clock = self.clock.at(true)
        accepted = (
            effect.incarnation == self.incarnation
            and effect.fence >= self.highest
            and clock < effect.ends
        )
        if accepted:
            self.highest = self.granted = effect.fence
            self.ends = effect.ends
        return GrantAnswer(
            accepted, Incarnation(self.incarnation), clock, self.highest
        )


class Sent:
    """A request on its way to a target, or running there."""

    def __init__(self, target: TargetId, number: int, deadline: float) -> None:
        self.target = target
        self.number = number
        self.deadline = deadline
        self.unknown = False


class Daemon:
    """One core with its clock, and a request path that only counts."""

    def __init__(self, world: 'World', name: str, rack: str) -> None:
        self.world = world
        self.name = InstanceId(name)
        self.rack = rack
        self.incarnation = 0
        self.alive = False
        self.paused = False
        self.waiting: list[OwnershipEvent] = []
        self.map: RoutingMap | None = None
        rng = world.random
        drift = world.drift
        rate = rng.choice([1 - drift, 1, 1 + drift])
        self.clock = Clock(rate, rng.uniform(0, 100))
        self.start()

    def start(self) -> None:
        self.incarnation += 1
        self.alive = True
        self.paused = False
        self.waiting.clear()
        self.sent: list[Sent] = []
        self.drains: dict[TargetId, Drain] = {}
        settings = Settings(
            instance=InstanceSettings(
                instance_id=self.name,
                data_centre=CENTRE,
                address='127.0.0.1',
                rack=self.rack,
            ),
            platform=PlatformSettings(table_url='', instances_url=''),
            security=SecuritySettings(fleet_key='', operator_credential=''),
        )
        seed = random.Random(self.world.random.random())
        self.core = Ownership(settings, Incarnation(self.incarnation), seed)
        self.tell(CatalogueAdopted(self.world.index))
        self.tell(self.world.listing())
        self.tick(self.incarnation)

    def now(self) -> float:
        return self.clock.at(self.world.now)

    def tick(self, incarnation: int) -> None:
        if not self.alive or incarnation != self.incarnation:
            return
        if not self.paused:
            self.finish_requests()
            self.tell(Tick())
        self.world.after(TICK, lambda: self.tick(incarnation))

    def tell(self, event: OwnershipEvent) -> None:
        if not self.alive:
            return
        if self.paused:
            self.waiting.append(event)
            return
        try:
            effects = self.core.handle(event, self.now())
        except InvariantError as broken:
            raise Violation(f'{self.name}: {broken}') from broken
        for effect in effects:
            self.world.run(self, self.incarnation, effect)

    def resume(self) -> None:
        self.paused = False
        waiting, self.waiting = self.waiting, []
        for event in waiting:
            self.tell(event)

    def allowed(self, target: TargetId, number: int = -1) -> Fence | None:
        if not self.alive:
            return None
        fence = self.core.leases.fence(target, self.now(), SliceIndex(number))
        return None if isinstance(fence, Failure) else fence

    def send_request(self) -> None:
        """Send one request for a slice of one held target."""
        leases = self.core.leases.lease_by_target
        for target in sorted(leases):
            for number in sorted(leases[target].slices or ()):
                fence = self.allowed(target, number)
                if fence is None or self.world.random.random() > 0.2:
                    continue
                deadline = self.now() + DEADLINE
                sent = Sent(target, number, deadline)
                self.sent.append(sent)
                self.world.carry(self, sent, fence)

    def finish_requests(self) -> None:
        """Give attempts up in time and tell the core of drains."""
        now = self.now()
        for sent in self.sent:
            if now > sent.deadline - DEADLINE + ATTEMPT:
                sent.unknown = True
        for target, drain in list(self.drains.items()):
            mine = [
                sent
                for sent in self.sent
                if sent.target == target
                and (drain.kept is None or sent.number not in drain.kept)
            ]
            if any(not sent.unknown for sent in mine):
                continue
            del self.drains[target]
            until = max((sent.deadline for sent in mine), default=0.0)
            self.tell(Drained(target, drain.fence, until))


class World:
    """The actors, the queue of what happens, and the global checks."""

    def __init__(
        self,
        seed: int = 0,
        daemons: int = 4,
        targets: int = 4,
        slices: int = 8,
        unchecking: int = 0,
        drift: float = 0.02,
    ) -> None:
        self.random = random.Random(seed)
        self.now = 0.0
        self.drift = drift
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.count = itertools.count()
        self.trace: collections.deque[str] = collections.deque(maxlen=400)
        self.rows: dict[RowName, Row] = {}
        self.change_ids: dict[str, Committed] = {}
        self.table_up = True
        self.table_delay = 0.005
        self.lose_answers = 0.0
        self.latest = 2.0
        self.lose_prefix = ''
        self.delay = 0.001
        self.drop = 0.0
        self.duplicate = 0.0
        self.slow = 0.0
        self.slow_work = 0.0
        self.cuts: set[frozenset[str]] = set()
        self.table_reads = 0
        self.table_writes = 0
        self.third_took_over = False
        self.watched = ''
        self.on_watched: Callable[[], None] = lambda: None
        self.slices = slices
        self.index = self.catalogue(targets, unchecking)
        self.targets = {
            entry.target_id: FakeTarget(
                entry.target_id,
                entry.checks.fence,
                Clock(
                    self.random.choice([1 - drift, 1, 1 + drift]),
                    self.random.uniform(0, 100),
                ),
            )
            for entry in self.index.catalogue.targets
        }
        self.names = [f'd{number}' for number in range(daemons)]
        self.daemons: dict[str, Daemon] = {}
        for number, name in enumerate(self.names):
            self.daemons[name] = Daemon(self, name, f'r{number % 2}')

    def catalogue(self, targets: int, unchecking: int) -> CatalogueIndex:
        entries = tuple(
            TargetEntry(
                owner='us',
                target_id=TargetId(f't{number}'),
                service=SERVICE,
                data_centre=CENTRE,
                address='127.0.0.1:1',
                checks=TargetChecks(fence=number >= unchecking),
            )
            for number in range(targets)
        )
        service = ServiceEntry(
            owner='us',
            name=SERVICE,
            routing=RoutingClass.keyed,
            slices=self.slices,
            limits=ServiceLimits(longest_timeout_ms=int(DEADLINE * 1000)),
        )
        centre = DataCentreEntry(owner='us', data_centre_id=CENTRE)
        return CatalogueIndex(Catalogue((service,), entries, (centre,), ()))

    def adopt(self, index: CatalogueIndex) -> None:
        self.index = index
        for daemon in self.daemons.values():
            daemon.tell(CatalogueAdopted(index))

    def listing(self) -> InstancesListed:
        return InstancesListed(
            [ListedInstance(InstanceId(n), CENTRE) for n in self.names]
        )

    def note(self, text: str) -> None:
        self.trace.append(f'{self.now:9.4f} {text}')

    def after(self, delay: float, action: Callable[[], None]) -> None:
        entry = (self.now + delay, next(self.count), action)
        heapq.heappush(self.queue, entry)

    def step(self) -> None:
        self.now, _, action = heapq.heappop(self.queue)
        action()

    def run_for(self, seconds: float, checked: bool = True) -> None:
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            self.step()
            if checked:
                self.check()
        self.now = end

    def cut_off(self, one: str, other: str) -> bool:
        return frozenset((one, other)) in self.cuts

    # What the daemons ask for.

    def watch(self, label: str, action: Callable[[], None]) -> None:
        """Call once when something of this label happens next."""
        self.watched = label
        self.on_watched = action

    def happens(self, label: str) -> None:
        if label != self.watched:
            return
        self.watched = ''
        self.after(0, self.on_watched)

    def run(self, daemon: Daemon, incarnation: int, effect: Effect) -> None:
        self.happens(type(effect).__name__)
        if isinstance(effect, SendControl):
            self.post(daemon, effect.recipient, effect.message)
        elif isinstance(effect, (ReadRows, ScanRows)):
            self.read(daemon, incarnation, effect)
        elif isinstance(effect, CommitRows):
            self.commit(daemon, incarnation, effect)
        elif isinstance(effect, GrantTarget):
            self.grant(daemon, incarnation, effect)
        elif isinstance(effect, Drain):
            daemon.drains[effect.target_id] = effect
            self.after(0.001, daemon.finish_requests)
        elif isinstance(effect, AnnounceMap):
            self.announce(daemon, effect.routing_map)
        elif isinstance(effect, LogEvent):
            self.note(f'{daemon.name} {effect.event.name} {effect.fields}')

    def lag(self) -> float:
        if self.random.random() < self.slow:
            return self.random.uniform(0, 1.5)
        return self.delay * self.random.uniform(0.5, 1.5)

    def post(
        self, sender: Daemon, recipient: str, message: ControlMessage
    ) -> None:
        self.happens(type(message).__name__)
        event = ControlReceived(
            sender.name, Incarnation(sender.incarnation), message
        )
        copies = 1 + (self.random.random() < self.duplicate)
        for _ in range(copies):
            if self.random.random() < self.drop:
                continue
            self.after(
                self.lag(), lambda: self.deliver(sender.name, recipient, event)
            )

    def deliver(
        self, sender: str, recipient: str, event: ControlReceived
    ) -> None:
        daemon = self.daemons.get(recipient)
        if daemon is None or self.cut_off(sender, recipient):
            return
        daemon.tell(event)

    def reply(
        self, daemon: Daemon, incarnation: int, event: OwnershipEvent
    ) -> None:
        def arrive() -> None:
            if daemon.incarnation == incarnation:
                daemon.tell(event)

        self.after(self.lag(), arrive)

    # The table.

    def read(
        self, daemon: Daemon, incarnation: int, effect: ReadRows | ScanRows
    ) -> None:
        self.table_reads += 1

        def serve() -> None:
            if not self.table_up or self.cut_off(daemon.name, TABLE):
                failure = Failure(ErrorKind.table_unavailable, 'down')
                self.reply(daemon, incarnation, RowsRead(effect.token, failure))
                return
            if isinstance(effect, ScanRows):
                names = [n for n in self.rows if n.startswith(effect.prefix)]
            else:
                names = [n for n in effect.names if n in self.rows]
            found = {name: self.rows[name] for name in names}
            self.reply(daemon, incarnation, RowsRead(effect.token, found))

        self.after(self.table_delay, serve)

    def commit(
        self, daemon: Daemon, incarnation: int, effect: CommitRows
    ) -> None:
        self.table_writes += 1
        name = effect.transaction.writes[0].name
        lost = (
            name.startswith(self.lose_prefix)
            and self.random.random() < self.lose_answers
        )
        late = self.random.uniform(0, self.latest) if lost else 0.0

        def serve() -> None:
            outcome: Committed | Failure
            if not self.table_up or self.cut_off(daemon.name, TABLE):
                outcome = Failure(ErrorKind.table_unavailable, 'down')
            else:
                outcome = self.apply(effect.transaction)
            if not lost:
                answer = RowsCommitted(effect.token, outcome)
                self.reply(daemon, incarnation, answer)

        self.after(self.table_delay + late, serve)
        if lost:
            failure = Failure(ErrorKind.table_answer_lost, 'lost')
            self.reply(
                daemon, incarnation, RowsCommitted(effect.token, failure)
            )

    def apply(self, transaction: Transaction) -> Committed | Failure:
        done = self.change_ids.get(transaction.change_id)
        if done:
            return done
        expected = dict(transaction.checks)
        expected.update({w.name: w.expected for w in transaction.writes})
        for name, version in expected.items():
            row = self.rows.get(name)
            if (row.version if row else 0) != version:
                return Failure(ErrorKind.table_conflict, name)
        versions = {}
        for write in transaction.writes:
            version = RowVersion(write.expected + 1)
            row = Row(write.name, version, write.body or b'')
            self.check_row(self.rows.get(write.name), row)
            self.rows[write.name] = row
            versions[write.name] = version
            self.note(f'table {write.name} version {version}')
            self.happens('written')
        done = Committed(versions)
        self.change_ids[transaction.change_id] = done
        return done

    def check_row(self, old: Row | None, new: Row) -> None:
        """Epochs and fences in the table only rise."""
        if new.name.startswith('coordinator/'):
            row = decode_row(new.body, CoordinatorRow)
            self.note(f'coordinator row {row}')
            before = decode_row(old.body, CoordinatorRow).epoch if old else 0
            if row.epoch < before:
                raise Violation(f'epoch fell from {before} to {row.epoch}')
            if row.unresolved:
                self.third_took_over = True
            return
        fence = decode_row(new.body, GroupRow).fence
        before = decode_row(old.body, GroupRow).fence if old else 0
        if fence <= before:
            raise Violation(f'fence of {new.name} fell')

    def announce(self, daemon: Daemon, routing_map: RoutingMap) -> None:
        """An announced owner is in the table already."""
        for name, service in routing_map.map_by_service.items():
            stored = max(
                (
                    decode_row(row.body, GroupRow).fence
                    for key, row in self.rows.items()
                    if key.startswith(f'slices/{CENTRE}/{name}/')
                ),
                default=0,
            )
            if service.fence > stored:
                raise Violation('an assignment was announced but not kept')
        daemon.map = routing_map

    # Targets.

    def at_target(
        self,
        daemon: Daemon,
        target: FakeTarget,
        action: Callable[[], None],
        lag: float,
    ) -> None:
        def arrive() -> None:
            if target.down or self.cut_off(daemon.name, target.name):
                return
            if target.frozen:
                target.waiting.append(action)
                return
            action()

        self.after(lag, arrive)

    def thaw(self, name: str) -> None:
        target = self.targets[TargetId(name)]
        target.frozen = False
        waiting, target.waiting = target.waiting, []
        for action in waiting:
            action()

    def grant(
        self, daemon: Daemon, incarnation: int, effect: GrantTarget
    ) -> None:
        target = self.targets[effect.target_id]

        def serve() -> None:
            answer = target.grant(effect, self.now)
            event = TargetGrantResult(effect.token, effect.target_id, answer)
            if not self.cut_off(daemon.name, target.name):
                self.reply(daemon, incarnation, event)

        self.at_target(daemon, target, serve, self.lag())

    def carry(self, daemon: Daemon, sent: Sent, fence: Fence) -> None:
        """Bring a request to its target, which may be much later."""
        target = self.targets[sent.target]
        incarnation = daemon.incarnation

        def serve() -> None:
            late = daemon.clock.at(self.now) >= sent.deadline
            if not late and target.takes(fence, self.now):
                self.accepted(target, sent.number)

            def answered() -> None:
                alive = daemon.incarnation == incarnation
                if alive and not sent.unknown and sent in daemon.sent:
                    daemon.sent.remove(sent)

            if not self.cut_off(daemon.name, target.name):
                self.after(self.lag(), answered)

        # A sender may pause for long between its check and its sending.
        pause = self.random.random() < self.slow_work
        lag = self.random.uniform(0, 2.0) if pause else self.lag()
        self.at_target(daemon, target, serve, lag)

    # The global checks.

    def accepted(self, target: FakeTarget, number: int) -> None:
        """Whoever accepts a slice's work is the only one that may."""
        for other in self.acceptors(number):
            if other != target.name:
                raise Violation(
                    f'{target.name} took work for slice {number} of {other}'
                )

    def senders(self, target: FakeTarget) -> list[str]:
        names: list[str] = []
        for daemon in self.daemons.values():
            if target.name not in daemon.core.leases.lease_by_target:
                continue
            fence = daemon.allowed(target.name)
            if fence is None:
                continue
            arbitrated = self.third_took_over and target.checks
            if arbitrated and not target.takes(fence, self.now):
                continue
            names.append(daemon.name)
        return names

    def acceptors(self, number: int) -> set[TargetId]:
        """Return the targets that would take work for a slice just now."""
        return self.all_acceptors().get(number, set())

    def all_acceptors(self) -> dict[int, set[TargetId]]:
        found: dict[int, set[TargetId]] = {}
        for daemon in self.daemons.values():
            for target_id, lease in daemon.core.leases.lease_by_target.items():
                fence = daemon.allowed(target_id)
                if fence is None:
                    continue
                if not self.targets[target_id].takes(fence, self.now):
                    continue
                for number in lease.slices or ():
                    found.setdefault(number, set()).add(target_id)
        return found

    def check(self) -> None:
        """No two senders for a target, no two acceptors for a slice."""
        for target in self.targets.values():
            senders = self.senders(target)
            if len(senders) > 1:
                raise Violation(f'{target.name} has senders {senders}')
        for number, targets in self.all_acceptors().items():
            if len(targets) > 1:
                raise Violation(f'slice {number} is at {sorted(targets)}')

    # Faults and measures.

    def kill(self, name: str) -> None:
        self.note(f'kill {name}')
        self.daemons[name].alive = False

    def restart(self, name: str) -> None:
        self.note(f'restart {name}')
        self.daemons[name].start()

    def stop(self, name: str) -> None:
        self.note(f'stop {name}')
        self.daemons[name].tell(StopWanted())

    def set_out(self, name: str, out: bool) -> None:
        """Take a target out of service, or return it, by its entry."""
        self.note(f'{"out" if out else "in"} {name}')
        state = ServiceState.out if out else ServiceState.in_service
        old = self.index.catalogue
        targets = tuple(
            msgspec.structs.replace(entry, state=state)
            if entry.target_id == name
            else entry
            for entry in old.targets
        )
        self.adopt(
            CatalogueIndex(
                msgspec.structs.replace(
                    old, targets=targets, version=old.version + 1
                )
            )
        )

    def heal_all(self) -> None:
        """End every fault."""
        self.cuts.clear()
        self.table_up = True
        self.drop = self.duplicate = self.slow = self.slow_work = 0.0
        self.lose_answers = 0.0
        for daemon in self.daemons.values():
            daemon.resume()
            if not daemon.alive or daemon.core.holder.stopping:
                daemon.start()
        for name, target in self.targets.items():
            self.thaw(name)
            if target.down:
                target.restart()
            self.set_out(name, False)

    def coordinator(self) -> str | None:
        for daemon in self.daemons.values():
            if daemon.alive and daemon.core.authority.holds(daemon.now()):
                return daemon.name
        return None

    def available(self, number: int) -> bool:
        """Return whether some daemon would get a slice's work done now."""
        for daemon in self.daemons.values():
            if not daemon.alive or daemon.paused:
                continue
            for target_id, lease in daemon.core.leases.lease_by_target.items():
                if number not in (lease.slices or ()):
                    continue
                fence = daemon.allowed(target_id, number)
                target = self.targets[target_id]
                if fence is None or target.frozen:
                    continue
                if self.cut_off(daemon.name, target_id):
                    continue
                if target.takes(fence, self.now):
                    return True
        return False

    def served(self) -> bool:
        return all(self.available(number) for number in range(self.slices))

    def outage(self, limit: float, step: float = 0.005) -> list[float]:
        """Run for a while; return for how long each slice was unavailable."""
        gaps = [0.0] * self.slices
        worst = [0.0] * self.slices
        end = self.now + limit
        while self.now < end:
            self.run_for(step)
            for number in range(self.slices):
                if self.available(number):
                    gaps[number] = 0
                    continue
                gaps[number] += step
                worst[number] = max(worst[number], gaps[number])
        return worst
