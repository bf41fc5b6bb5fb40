"""Daemons that admit the requests of customers, in virtual time."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Iterable

import msgspec

from cassialever.clock import SystemClock
from cassialever.fleet.datagrams import DatagramSocket
from cassialever.fleet.model import Customer, StoreRow
from cassialever.fleet.quotas import Admission, QuotaExchange
from cassialever.fleet.view import FleetView
from cassialever.policy.quotas import QuotaTerms
from tests.fleet_helpers import CONFIGURATION, ManualClock, VirtualLoop
from tests.replay_helpers import KnownPeers

TERMS = QuotaTerms(window=5.0, overshoot=0.1, allowance=20)
#: Time of a datagram in the network, and the longest until it is read.
WAY = 0.001
MAX_READ_DELAY = 0.04
REPORT_INTERVAL = 0.3
PRUNE_INTERVAL = 0.25
#: How long a daemon takes to learn of a change of the list, and until a list
#: that no leader confirms is not current.
MAX_LIST_DELAY = 0.5
LIST_AGE = 1.5


class DriftingClock(SystemClock):
    """The clock of one daemon, off from that of the loop."""

    def __init__(self, loop: VirtualLoop, offset: float, drift: float) -> None:
        self._loop = loop
        self.offset = offset
        self._drift = drift

    def monotonic(self) -> float:
        return self._loop.virtual_time * (1 + self._drift) + self.offset


class FakeSocket(DatagramSocket):
    """Passes datagrams to other daemons, unless a link is cut."""

    def __init__(self, fleet: 'QuotaFleet', address: str) -> None:
        super().__init__()
        self.fleet = fleet
        self.address = address

    def send(self, address: str, datagram: bytes) -> None:
        self.fleet.pass_on(self.address, address, datagram)

    def can_read(self, address: str, kind: type) -> bool:
        return True


def view_of(customers: Iterable[Customer]) -> FleetView:
    """Return a view whose configuration has customers."""
    view = FleetView(ManualClock())
    apply_customers(view, customers, 1)
    return view


def apply_customers(
    view: FleetView, customers: Iterable[Customer], version: int
) -> None:
    content = {
        **CONFIGURATION,
        'version': f'r{version}',
        'tenants': {
            one.name: {
                'api_keys': [f'key-{one.name}'],
                'rate_per_s': one.rate,
                'burst_size': one.burst,
            }
            for one in customers
        },
    }
    row = StoreRow('op', 'config', msgspec.json.encode(content), version)
    view.apply('op', [row], version)


class QuotaFleet:
    """The exchanges of several daemons, and what they admit."""

    def __init__(
        self,
        loop: VirtualLoop,
        size: int,
        customers: list[Customer],
        seed: int = 1,
    ) -> None:
        self.loop = loop
        self.random = random.Random(seed)
        self.names = [f'd{number}' for number in range(size)]
        self.customers = customers
        #: The side of the network on which each daemon is; they change.
        self.side_by_name = dict.fromkeys(self.names, 0)
        self.loss = 0.0
        self.ended: set[str] = set()
        self.sent = Counter[str]()
        self.admitted_at: dict[str, list[float]] = {
            one.name: [] for one in customers
        }
        self.refused_at: dict[str, list[float]] = {
            one.name: [] for one in customers
        }
        self.waits: list[float] = []
        self.clocks: dict[str, DriftingClock] = {}
        self.peers: dict[str, KnownPeers] = {}
        self.views: dict[str, FleetView] = {}
        self.exchanges: dict[str, QuotaExchange] = {}
        self.sockets: dict[str, FakeSocket] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        addresses = {name: name for name in self.names}
        for name in self.names:
            self.start(name, addresses)

    def start(self, name: str, addresses: dict[str, str]) -> None:
        """Start a daemon with a clock of its own."""
        self.ended.discard(name)
        rng = self.random
        self.clocks[name] = DriftingClock(
            self.loop, rng.uniform(0, 1e5), rng.uniform(-0.02, 0.02)
        )
        self.peers[name] = KnownPeers(addresses)
        self.views[name] = view_of(self.customers)
        self.sockets[name] = FakeSocket(self, name)
        self.exchanges[name] = QuotaExchange(
            name,
            self.views[name],
            TERMS,
            self.clocks[name],
            self.peers[name],
            self.sockets[name],
        )
        self.spawn(self._keep_house(name))

    def spawn(self, work) -> None:
        task = self.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def pass_on(self, sender: str, address: str, datagram: bytes) -> None:
        self.sent[address] += 1
        if self.random.random() < self.loss:
            return
        delay = WAY + self.random.uniform(0, MAX_READ_DELAY)
        self.loop.call_later(delay, self._arrive, sender, address, datagram)

    def _arrive(self, sender: str, address: str, datagram: bytes) -> None:
        if address in self.ended or not self.is_linked(sender, address):
            return
        host_port = (sender, 0)
        socket = self.sockets[address]
        known = socket.handler_by_type
        # Addresses in this fleet are names without a port.
        decoded = decode(datagram)
        known[type(decoded)](decoded, host_port[0])

    def is_linked(self, one: str, other: str) -> bool:
        return self.side_by_name[one] == self.side_by_name[other]

    async def _keep_house(self, name: str) -> None:
        exchange = self.exchanges[name]
        await asyncio.sleep(self.random.uniform(0, REPORT_INTERVAL))
        while name not in self.ended and self.exchanges[name] is exchange:
            exchange.prune()
            digest = exchange.keeping.list_digest()
            # Daemons with a current list need no reports.
            for other, peers in self.peers.items():
                if not peers.is_current and other != name:
                    self.loop.call_later(
                        WAY + self.random.uniform(0, MAX_READ_DELAY),
                        self._report,
                        name,
                        other,
                        digest,
                    )
            await asyncio.sleep(REPORT_INTERVAL)

    def _report(self, name: str, other: str, digest: int) -> None:
        if other not in self.ended and self.is_linked(name, other):
            self.exchanges[other].keeping.hear(name, digest)

    def end(self, name: str) -> None:
        """End a daemon at once; the others learn it later."""
        self.ended.add(name)

    def announce(self, names: list[str], to: Iterable[str]) -> None:
        """Have daemons learn a list, each after a while."""
        addresses = {name: name for name in names}
        for one in to:
            self.loop.call_later(
                self.random.uniform(0, MAX_LIST_DELAY),
                self._learn,
                one,
                addresses,
            )

    def _learn(self, name: str, addresses: dict[str, str]) -> None:
        self.peers[name].addresses_by_id = addresses
        self.peers[name].is_current = True

    def cut(self, cut_off: list[str], *, leader_side: int = 0) -> None:
        """Cut daemons off; the others get a list without them in a while."""
        for name in cut_off:
            self.side_by_name[name] = 1 - leader_side
        left = [name for name in self.names if name not in cut_off]
        self.loop.call_later(1.0, self.announce, left, left)
        for name in cut_off:
            self.loop.call_later(
                LIST_AGE, setattr, self.peers[name], 'is_current', False
            )

    def mend(self) -> None:
        """Link all again; they learn the whole list in a while."""
        self.side_by_name = dict.fromkeys(self.names, 0)
        self.loop.call_later(1.0, self.announce, self.names, self.names)

    async def request(self, customer: Customer, name: str) -> None:
        """Send one request of a customer to a daemon."""
        if name in self.ended:
            return
        began = self.loop.time()
        admitted = await self.exchanges[name].admit(customer, 0.3)
        at = self.loop.time()
        if isinstance(admitted, Admission):
            self.admitted_at[customer.name].append(at)
            self.waits.append(at - began)
        else:
            self.refused_at[customer.name].append(at)

    async def offer(
        self,
        customer: Customer,
        rate: float,
        entry: list[str],
        duration: float,
        limit: Callable[[], Customer] | None = None,
    ) -> None:
        """Send requests at random times; daemons get unlike shares of them."""
        weights = [1 / (1 + place) for place in range(len(entry))]
        ends_at = self.loop.time() + duration
        while True:
            await asyncio.sleep(self.random.expovariate(rate))
            if self.loop.time() >= ends_at:
                return
            name = self.random.choices(entry, weights)[0]
            while name in self.ended and len(self.ended) < len(self.names):
                name = self.random.choice(self.names)
            present = customer if limit is None else limit()
            self.spawn(self.request(present, name))

    def stop(self) -> None:
        for task in self._tasks:
            task.cancel()

    def passed_by(self, customer: Customer, since: float = 0) -> float:
        """Return by how much the fullest window passes what is allowed."""
        admitted = sorted(
            at for at in self.admitted_at[customer.name] if at >= since
        )
        allowed = (customer.rate * TERMS.window + customer.burst) * (
            1 + TERMS.overshoot
        ) + TERMS.allowance
        most = first = 0
        for number, at in enumerate(admitted):
            while at - admitted[first] > TERMS.window:
                first += 1
            most = max(most, number + 1 - first)
        return most - allowed

    def share_admitted(
        self, customer: Customer, since: float = 0, until: float = 1e9
    ) -> float:
        """Return which share of a customer's requests was admitted."""
        admitted, refused = (
            sum(since <= at < until for at in times[customer.name])
            for times in (self.admitted_at, self.refused_at)
        )
        return admitted / max(admitted + refused, 1)


def decode(datagram: bytes):
    """Decode a datagram between daemons of this build."""
    from cassialever.fleet.datagrams import Datagram

    return msgspec.msgpack.decode(datagram, type=Datagram)
