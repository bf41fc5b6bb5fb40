"""Exchange what daemons know of requests that crash targets.

News goes to all daemons at once, and again for a while, since datagrams get
lost. Besides, each daemon sends some of what it knows to a few others drawn at
random (anti-entropy, after Demers et al.), so that those that start or were cut
off learn of it.
"""

import asyncio
from collections.abc import Callable, Iterable, Mapping
from typing import Final

from cassialever.clock import SystemClock, seeded_random
from cassialever.fleet.crash_reports import (
    MAX_CRASH_REPORTS,
    CrashReport,
    make_report,
    read_report,
)
from cassialever.fleet.datagrams import CrashReports, DatagramSocket, encode
from cassialever.gateway.crash_guard import CrashGuard
from cassialever.interfaces import RandomSource
from cassialever.policy.crashes import CrashRecord, Fingerprint
from cassialever.types import InstanceId, Seconds

#: How often news is sent of a request that was at one crash, and of one that
#: was at several. Many are at one where many targets end at once.
SENDS_AFTER_ONE: Final = 2
SENDS_AFTER_SEVERAL: Final = 6
#: Time between two sends of the same news.
REPEAT_INTERVAL: Final[Seconds] = 0.25
#: Shortest time between two sends of different news, in which it is collected.
MIN_SEND_INTERVAL: Final[Seconds] = 0.02
#: Daemons that are sent some of all that is known, and how often.
ANTI_ENTROPY_PEERS: Final = 3
ANTI_ENTROPY_INTERVAL: Final[Seconds] = 0.5
#: Requests that are sent each time, those with most crashes.
ALWAYS_SENT: Final = MAX_CRASH_REPORTS // 2


class CrashExchange:
    """Sends what a daemon knows to its peers, and merges what they send."""

    def __init__(
        self,
        instance_id: InstanceId,
        guard: CrashGuard,
        socket: DatagramSocket,
        clock: SystemClock,
        peers: Callable[[], Mapping[str, str]],
        random_source: RandomSource | None = None,
    ) -> None:
        """Register for news and for the reports of other daemons.

        `peers` returns the addresses of all daemons, by instance id.
        """
        self._instance_id = instance_id
        self._guard = guard
        self._socket = socket
        self._clock = clock
        self._peers = peers
        self._random = random_source or seeded_random(None)
        #: Sends that are left of each request of which there is news.
        self._sends_left: dict[Fingerprint, int] = {}
        self._has_news = asyncio.Event()
        #: The request after which the next round of anti-entropy begins.
        self._next_in_round = 0
        self._round_at: Seconds = 0
        guard.on_news = self._note_news
        socket.handler_by_type[CrashReports] = self._handle_reports

    async def run(self) -> None:
        """Send until cancelled; sleep while nothing is known."""
        while True:
            await self._wait()
            self._has_news.clear()
            self.send()
            await asyncio.sleep(MIN_SEND_INTERVAL)

    def send(self) -> None:
        """Send the news to all, and some of all that is known to a few."""
        news = list(self._sends_left)
        for one in news:
            self._sends_left[one] -= 1
            if not self._sends_left[one]:
                self._sends_left.pop(one)
        addresses = self._readers()
        self._send_to(addresses, news)
        now = self._clock.monotonic()
        if addresses and now - self._round_at >= ANTI_ENTROPY_INTERVAL:
            self._round_at = now
            drawn = [
                addresses[self._random.randrange(len(addresses))]
                for _ in range(ANTI_ENTROPY_PEERS)
            ]
            self._send_to(drawn, self._take_round())

    async def _wait(self) -> None:
        """Wait until there is news, or until a send is due."""
        interval: Seconds | None = None
        if self._sends_left:
            interval = REPEAT_INTERVAL
        elif not self._guard.memory.is_empty:
            interval = ANTI_ENTROPY_INTERVAL
        try:
            async with asyncio.timeout(interval):
                await self._has_news.wait()
        except asyncio.TimeoutError:
            return

    def _note_news(self, one: Fingerprint) -> None:
        known = self._guard.memory.find(one)
        has_several = known is not None and len(known.crashes) > 1
        self._sends_left[one] = (
            SENDS_AFTER_SEVERAL if has_several else SENDS_AFTER_ONE
        )
        self._has_news.set()

    def _readers(self) -> list[str]:
        """Return the addresses of the daemons that read reports."""
        return [
            address
            for peer, address in self._peers().items()
            if peer != self._instance_id
            and self._socket.can_read(address, CrashReports)
        ]

    def _send_to(
        self, addresses: list[str], fingerprints: Iterable[Fingerprint]
    ) -> None:
        if not addresses:
            return
        reports = list(self._reports(fingerprints))
        for start in range(0, len(reports), MAX_CRASH_REPORTS):
            batch = tuple(reports[start : start + MAX_CRASH_REPORTS])
            datagram = encode(CrashReports(self._instance_id, batch))
            for address in addresses:
                self._socket.send(address, datagram)

    def _reports(
        self, fingerprints: Iterable[Fingerprint]
    ) -> Iterable[CrashReport]:
        now = self._clock.monotonic()
        for one in fingerprints:
            known = self._guard.memory.find(one)
            if known is not None:
                claimed_for = self._guard.trials.own_time_left(one, now)
                yield make_report(known, claimed_for, now)

    def _take_round(self) -> list[Fingerprint]:
        """Return the requests with most crashes, and the next of the others."""
        records = sorted(self._guard.memory.records(), key=_by_crashes)
        known = [record.fingerprint for record in records]
        others = known[ALWAYS_SENT:]
        start = self._next_in_round if self._next_in_round < len(others) else 0
        self._next_in_round = start + MAX_CRASH_REPORTS - ALWAYS_SENT
        return known[:ALWAYS_SENT] + others[start : self._next_in_round]

    def _handle_reports(self, reports: CrashReports, sender: str) -> None:
        now = self._clock.monotonic()
        if self._guard.memory.is_empty:
            # From now on this daemon tells others, too.
            self._has_news.set()
        for report in reports.reports:
            known = read_report(report, now)
            self._guard.merge(known, reports.instance_id)
            self._guard.trials.record(
                known.fingerprint,
                InstanceId(reports.instance_id),
                report.claimed_for,
                now,
            )


def _by_crashes(record: CrashRecord) -> int:
    """Order records by their crashes, the most first."""
    return -len(record.crashes)
