"""Judge whether keys and added routes are served, and by which targets.

Nothing here waits: times come with what is judged, by the loop's clock.
"""

import math
from collections import Counter
from collections.abc import Iterable, Iterator
from typing import Protocol

import msgspec

from soak.judging import CLOCK_MARGIN

#: Keys whose owner has ended are served again after this time, in seconds.
SERVICE_BOUND = 3.0
#: Most keys of a range that is judged by itself.
RANGE_SIZE = 2048
#: A daemon sends nothing to a target this long after another one has answered
#: in its place, and no daemon does after the second time, in seconds.
OWN_NEWS_BOUND = 0.1
FLEET_NEWS_BOUND = 0.5
#: Violations of one kind that are told one by one.
MAX_TOLD = 5
#: Added routes are judged from this number of requests on. They are served
#: less than this part as often as the first ones at no time.
MIN_ADDED_REQUESTS = 20
MIN_ADDED_PART = 1 / 4
#: The allowed difference of two shares: standard errors, and a rest.
STANDARD_ERRORS = 3
SHARE_MARGIN = 0.02


class KeyLoss(msgspec.Struct):
    """A range of keys whose owner has ended, until it is served again."""

    first: int
    last: int
    owner_id: str
    at: float
    #: When an excuse was last seen, and all that were.
    excused_until: float = -math.inf
    excuses: set[str] = msgspec.field(default_factory=set)
    #: Requests that were not served since then, and the end of the last one.
    failed_count: int = 0
    unserved_until: float = -math.inf

    @property
    def judged_from(self) -> float:
        """Return from when on the time without service counts."""
        return max(self.at, self.excused_until)

    def includes(self, key: int) -> bool:
        """Return whether a key is in the range."""
        return self.first <= key <= self.last


class KeyRequest(msgspec.Struct, frozen=True):
    """A request for a key to a daemon in touch, which has ended."""

    key: int
    sent_at: float
    ended_at: float
    is_served: bool


class KeyServiceJudge:
    """Finds ranges of keys that are not served for too long."""

    def __init__(self) -> None:
        """Start without losses."""
        self.violations: list[str] = []
        self.loss_count = 0
        self.excused_count = 0
        #: The longest time without service that counts, in seconds.
        self.longest = 0.0
        self._losses: list[KeyLoss] = []

    def lose(self, first: int, last: int, owner_id: str, at: float) -> None:
        """Begin the time without service of the parts of a range."""
        for start in range(first, last + 1, RANGE_SIZE):
            end = min(start + RANGE_SIZE - 1, last)
            self._losses = [
                loss
                for loss in self._losses
                if loss.last < start or end < loss.first
            ]
            self._losses.append(KeyLoss(start, end, owner_id, at))
            self.loss_count += 1

    def excuse(self, reason: str, at: float) -> None:
        """Begin the time of all ranges anew, since they can't be served."""
        for loss in self._losses:
            loss.excused_until = at
            loss.excuses.add(reason)
            loss.failed_count = 0

    def note(self, request: KeyRequest) -> None:
        """Judge the end of a request."""
        for loss in [one for one in self._losses if one.includes(request.key)]:
            if request.is_served and request.sent_at >= loss.at:
                self._losses.remove(loss)
                self._close(loss)
            elif request.sent_at >= loss.judged_from:
                _note_unserved(loss, request)

    def check(self) -> None:
        """Judge the ranges that have not been served since."""
        for loss in self._losses:
            self._close(loss)
        self._losses.clear()

    def _close(self, loss: KeyLoss) -> None:
        """Judge the time until the last request that was not served."""
        at = loss.unserved_until
        duration = at - loss.judged_from
        self.excused_count += bool(loss.excuses)
        if not loss.failed_count:
            return
        self.longest = max(self.longest, duration)
        if duration > SERVICE_BOUND + CLOCK_MARGIN:
            self.violations.append(
                f'{at:.2f} SERVICE keys {loss.first} to {loss.last} of'
                f' {loss.owner_id}, which ended at {loss.at:.2f}, were not'
                f' served for {duration:.2f} s, {loss.failed_count} requests'
                f' failed; excuses before: {sorted(loss.excuses)}'
            )


def _note_unserved(loss: KeyLoss, request: KeyRequest) -> None:
    if not request.is_served:
        loss.failed_count += 1
        loss.unserved_until = max(loss.unserved_until, request.ended_at)


class Misdirection(msgspec.Struct, frozen=True):
    """A request for a target that has ended, which another one refused."""

    at: float
    request_id: str
    daemon: str
    expected_id: str
    answered_by: str


class NewsPaths(Protocol):
    """Whether news of a target reach daemons between two moments."""

    def is_answered(
        self, request: Misdirection, since: float, until: float
    ) -> bool:
        """Return whether the sender gets the answers of the target."""

    def is_relayed(self, sender: Misdirection, receiver: Misdirection) -> bool:
        """Return whether one daemon learns what another one was answered."""

    def lateness(self, since: float, until: float) -> float:
        """Return how late the targets noted requests, in seconds."""


def judge_misdirections(
    requests: Iterable[Misdirection], paths: NewsPaths
) -> list[str]:
    """Return violations by requests for targets that other ones replace."""
    ordered = sorted(requests, key=lambda one: one.at)
    return [
        *_first_lines(list(_judge_repeats(ordered, paths))),
        *_first_lines(list(_judge_senders(ordered, paths))),
        *_first_lines(list(_judge_fleet(ordered, paths))),
    ]


def _judge_repeats(
    requests: list[Misdirection], paths: NewsPaths
) -> Iterator[str]:
    """Find requests that reach a process twice."""
    earlier: dict[tuple[str, str, str], Misdirection] = {}
    for request in requests:
        name = (request.request_id, request.expected_id, request.answered_by)
        first = earlier.setdefault(name, request)
        if first is request:
            continue
        if paths.is_answered(first, first.at, request.at):
            yield (
                f'{request.at:.2f} REPLACED {request.request_id} from'
                f' {request.daemon} reached {request.answered_by} for'
                f' {request.expected_id} again, {request.at - first.at:.3f} s'
                f' after its refusal to {first.daemon}'
            )


def _judge_senders(
    requests: list[Misdirection], paths: NewsPaths
) -> Iterator[str]:
    """Find requests of daemons that know of the end of their target."""
    earlier: dict[tuple[str, str], Misdirection] = {}
    for request in requests:
        name = (request.daemon, request.expected_id)
        first = earlier.setdefault(name, request)
        if not paths.is_answered(first, first.at, request.at):
            earlier[name] = request
            continue
        elapsed = request.at - first.at
        bound = OWN_NEWS_BOUND + CLOCK_MARGIN
        if elapsed > bound + paths.lateness(first.at, request.at):
            yield (
                f'{request.at:.2f} REPLACED {request.request_id} from'
                f' {request.daemon} reached {request.answered_by} for'
                f' {request.expected_id} {elapsed:.2f} s after the first'
                f' refusal there'
            )


def _judge_fleet(
    requests: list[Misdirection], paths: NewsPaths
) -> Iterator[str]:
    """Find requests of daemons that others have had the time to tell."""
    earlier: dict[str, list[Misdirection]] = {}
    for request in requests:
        senders = earlier.setdefault(request.expected_id, [])
        bound = FLEET_NEWS_BOUND + CLOCK_MARGIN
        informed = [
            one
            for one in senders
            if one.daemon != request.daemon
            and request.at - one.at > bound + paths.lateness(one.at, request.at)
            and paths.is_relayed(one, request)
        ]
        if informed:
            yield (
                f'{request.at:.2f} REPLACED {request.request_id} from'
                f' {request.daemon} reached {request.answered_by} for'
                f' {request.expected_id} {request.at - informed[0].at:.2f} s'
                f' after the first refusal to {informed[0].daemon}'
            )
        if request.daemon not in {one.daemon for one in senders}:
            senders.append(request)


def _first_lines(lines: list[str]) -> list[str]:
    """Return some lines, and the number of the others."""
    if len(lines) <= MAX_TOLD:
        return lines
    return [
        *lines[:MAX_TOLD],
        f'{lines[-1]}; {len(lines) - MAX_TOLD - 1} more of the kind before',
    ]


class AddedRouteJudge:
    """Finds added routes that are served less often than the first ones."""

    def __init__(self) -> None:
        """Start without requests."""
        #: Numbers of requests, and of those served, by service and by whether
        #: the route was added.
        self._sent: Counter[tuple[str, bool]] = Counter()
        self._served: Counter[tuple[str, bool]] = Counter()

    def note(self, service: str, *, is_added: bool, is_served: bool) -> None:
        """Count a request to a daemon in touch."""
        self._sent[service, is_added] += 1
        self._served[service, is_added] += is_served

    @property
    def added_count(self) -> int:
        """Return how many requests on added routes were judged."""
        return sum(
            count for (_, is_added), count in self._sent.items() if is_added
        )

    def violations(self) -> list[str]:
        """Return the services whose added routes are served less often."""
        found = []
        for service in {name for name, _ in self._sent}:
            added = self._share([(service, True)])
            first = self._share([(service, False)])
            if added[1] < MIN_ADDED_REQUESTS or not first[1]:
                continue
            if added[0] < first[0] - _margin(first[0], first[1], added[1]):
                found.append(_route_line(f'of {service}', added, first))
        added = self._share([name for name in self._sent if name[1]])
        first = self._share([name for name in self._sent if not name[1]])
        if (
            added[1] >= MIN_ADDED_REQUESTS
            and added[0] < MIN_ADDED_PART * first[0]
        ):
            found.append(_route_line('of all services', added, first))
        return found

    def _share(self, names: list[tuple[str, bool]]) -> tuple[float, int]:
        """Return the share of requests that were served, and their number."""
        count = sum(self._sent[name] for name in names)
        served = sum(self._served[name] for name in names)
        return served / max(count, 1), count


def _margin(share: float, first_count: int, added_count: int) -> float:
    variance = share * (1 - share) * (1 / first_count + 1 / added_count)
    return STANDARD_ERRORS * math.sqrt(variance) + SHARE_MARGIN


def _route_line(
    routes: str, added: tuple[float, int], first: tuple[float, int]
) -> str:
    return (
        f'CONFIG added routes {routes} serve {added[0]:.3f} of {added[1]}'
        f' requests, the first ones {first[0]:.3f} of {first[1]}'
    )
