"""Judge the ages of configurations and of the notices of leaving targets.

Nothing here waits: times come with what is judged, by the loop's clock.
"""

from collections.abc import Callable, Mapping
from http import HTTPStatus

import msgspec

#: A version is in force this long after its acknowledgement
#: (`config_apply_ms`), in seconds.
CONFIGURATION_BOUND = 2.0
#: Requests may reach a target this long after its notice was acknowledged
#: (`drain_ms`), in seconds.
DRAIN_BOUND = 2.0
#: A request sent this long after the effect of a version was seen at the same
#: process is handled by no older one (`downgrade_slack_ms`), in seconds.
DOWNGRADE_SLACK = 0.25
#: The same at a process that was disrupted, in seconds.
DISRUPTED_DOWNGRADE_SLACK = 8 * DOWNGRADE_SLACK
#: Requests are answered this long after their routes' time limits, in seconds,
#: unless they are fewer than this number or part of those beyond the limits.
ANSWER_BOUND = 0.5
MIN_LATE_ANSWERS = 8
MAX_LATE_PART = 1 / 4
#: Bounds hold for what was not disrupted for this long (`stable_ms`), in
#: seconds.
STABLE_TIME = 3.0
#: A store that turns some machines away stretches the bound of configurations
#: by this at most (`max_skew_ms`), in seconds.
MAX_SKEW = 5.0
#: Each part of a split route gets its share of this many requests or more, with
#: an error of at most this.
MIN_SPLIT_REQUESTS = 200
MAX_SHARE_ERROR = 0.2
#: Answers for which the tables of their daemons are told.
MAX_DESCRIBED = 20
#: Margin for the clock of the test, in seconds.
CLOCK_MARGIN = 0.1


class JudgedRoute(msgspec.Struct, frozen=True):
    """The services of a route with their weights, and its time limit."""

    weight_by_service: Mapping[str, int]
    time_limit: float

    def heaviest(self) -> tuple[str, float] | None:
        """Return the service with the largest share, if one has it alone."""
        *others, heaviest = sorted(
            (weight, name) for name, weight in self.weight_by_service.items()
        )
        if not others or others[-1][0] == heaviest[0]:
            return None
        return heaviest[1], heaviest[0] / sum(self.weight_by_service.values())


class Version(msgspec.Struct, frozen=True):
    """A version of the configuration and its judged routes, by host."""

    name: str
    acknowledged_at: float
    route_by_host: Mapping[str, JudgedRoute]

    def allows(self, host: str, service: str | None) -> bool:
        """Return whether a request may be run by a service, or get 404."""
        route = self.route_by_host.get(host)
        if route is None or service is None:
            return route is None and service is None
        return service in route.weight_by_service


class RouteAnswer(msgspec.Struct, frozen=True):
    """An answer that tells by which versions a request may be handled.

    `service` ran the request; without one it was refused with 404. `life`
    counts the processes of a daemon.
    """

    daemon: str
    life: int
    host: str
    sent_at: float
    answered_at: float
    service: str | None
    #: Whether bounds hold for the daemon, and for a disrupted one's process.
    is_in_touch: bool
    is_core_stable: bool = True


class ConfigurationJudge:
    """Finds answers by versions that are too old."""

    def __init__(self) -> None:
        """Start without versions."""
        self.versions: list[Version] = []
        self.violations: list[str] = []
        #: Lines on answers that are late, and allowed since the store turns
        #: some machines away.
        self.stretched: list[str] = []
        #: Tell which tables a daemon had at a moment.
        self.describe: Callable[[str, float], str] = _describe_nothing
        #: Number of answers from daemons in touch.
        self.judged_count = 0
        #: The greatest age at which a replaced version was seen in use at a
        #: daemon in touch, in seconds.
        self.greatest_age = 0.0
        #: The same while the store turns some machines away.
        self.greatest_stretched_age = 0.0
        #: Requests on split routes, those that the heaviest part ran, and how
        #: many of them it was to run.
        self.split_count = 0
        self.heaviest_count = 0
        self.heaviest_due = 0.0
        #: Number of requests without an answer within their time limits, and
        #: lines on those that had none for longer still.
        self.overdue_count = 0
        self.late_answers: list[str] = []
        #: By daemon and life: the newest versions seen, as index and time.
        self._seen: dict[tuple[str, int], list[tuple[int, float]]] = {}
        self._last_at = 0.0

    def add(self, version: Version) -> None:
        """Add a version that is valid and newer than those before."""
        self.versions.append(version)

    def judge(self, answer: RouteAnswer) -> None:
        """Judge an answer that tells by which versions it was handled."""
        possible = [
            index
            for index, version in enumerate(self.versions)
            if version.acknowledged_at <= answer.answered_at
            and version.allows(answer.host, answer.service)
        ]
        if not possible:
            self._report(answer, 'no version allows it')
            return
        self._judge_age(answer, possible[-1])
        self._count_part(answer)
        self._judge_order(answer, possible)

    def time_limit(self, host: str, sent_at: float) -> float | None:
        """Return the longest limit that may bind a request; None without."""
        limits = [
            version.route_by_host[host].time_limit
            for index, version in enumerate(self.versions)
            if host in version.route_by_host
            and self._replaced_at(index)
            > sent_at - CONFIGURATION_BOUND - CLOCK_MARGIN
        ]
        return max(limits, default=None)

    def judge_time(
        self, daemon: str, host: str, sent_at: float, ended_at: float
    ) -> None:
        """Judge how long a request to a daemon in touch had no answer."""
        limit = self.time_limit(host, sent_at)
        elapsed = ended_at - sent_at
        if limit is None or elapsed <= limit:
            return
        self.overdue_count += 1
        if elapsed > limit + ANSWER_BOUND + CLOCK_MARGIN:
            self.late_answers.append(
                f'{ended_at:.2f} {daemon}: {host} had no answer for'
                f' {elapsed:.2f} s, its limit is {limit:.2f} s'
            )

    def check_times(self) -> None:
        """Judge how many requests had no answer long after their limits."""
        count = len(self.late_answers)
        if (
            count >= MIN_LATE_ANSWERS
            and count > MAX_LATE_PART * self.overdue_count
        ):
            self.violations.append(
                f'{self._last_at:.2f} CONFIG {count} of {self.overdue_count}'
                f' requests beyond their time limits had no answer in time'
            )

    def check_shares(self) -> None:
        """Judge the shares that the parts of split routes got."""
        if self.split_count < MIN_SPLIT_REQUESTS:
            return
        share = self.heaviest_count / self.split_count
        due = self.heaviest_due / self.split_count
        if abs(share - due) > MAX_SHARE_ERROR:
            self.violations.append(
                f'{self._last_at:.2f} CONFIG the heaviest parts of split routes'
                f' got {share:.2f} of {self.split_count} requests in place of'
                f' {due:.2f}'
            )

    def _count_part(self, answer: RouteAnswer) -> None:
        """Count a request whose route was split alike for long enough."""
        self._last_at = answer.answered_at
        routes = [
            version.route_by_host.get(answer.host)
            for index, version in enumerate(self.versions)
            if version.acknowledged_at <= answer.answered_at
            and self._replaced_at(index)
            > answer.sent_at - CONFIGURATION_BOUND - CLOCK_MARGIN
        ]
        heaviest = {route and route.heaviest() for route in routes}
        is_judged = answer.is_in_touch and answer.is_core_stable
        if not is_judged or len(heaviest) != 1:
            return
        part = heaviest.pop()
        if part is None:
            return
        self.split_count += 1
        self.heaviest_count += answer.service == part[0]
        self.heaviest_due += part[1]

    def _judge_age(self, answer: RouteAnswer, newest: int) -> None:
        if not answer.is_in_touch:
            return
        self.judged_count += 1
        age = answer.sent_at - self._replaced_at(newest)
        if answer.is_core_stable:
            self.greatest_age = max(self.greatest_age, age)
        else:
            self.greatest_stretched_age = max(self.greatest_stretched_age, age)
        bound = CONFIGURATION_BOUND + CLOCK_MARGIN
        if age <= bound:
            return
        is_allowed = not answer.is_core_stable and age <= bound + MAX_SKEW
        self._report(
            answer,
            f'handled by {self.versions[newest].name}, replaced'
            f' {age:.2f} s before by {self.versions[newest + 1].name}',
            self.stretched if is_allowed else self.violations,
        )

    def _judge_order(self, answer: RouteAnswer, possible: list[int]) -> None:
        """Judge whether a process goes back to an older version."""
        seen = self._seen.setdefault((answer.daemon, answer.life), [])
        slack = (
            DOWNGRADE_SLACK if answer.is_in_touch else DISRUPTED_DOWNGRADE_SLACK
        )
        floor = max(
            (
                (index, at)
                for index, at in seen
                if at + slack + CLOCK_MARGIN < answer.sent_at
            ),
            default=(0, 0.0),
        )
        if possible[-1] < floor[0]:
            self._report(
                answer,
                f'handled by {self.versions[possible[-1]].name} after'
                f' {self.versions[floor[0]].name} was seen at {floor[1]:.2f}',
            )
            return
        oldest = min(index for index in possible if index >= floor[0])
        if not seen or oldest > seen[-1][0]:
            seen.append((oldest, answer.answered_at))

    def _replaced_at(self, index: int) -> float:
        if index + 1 == len(self.versions):
            return float('inf')
        return self.versions[index + 1].acknowledged_at

    def _report(
        self, answer: RouteAnswer, reason: str, lines: list[str] | None = None
    ) -> None:
        outcome = answer.service or int(HTTPStatus.NOT_FOUND)
        reported = self.violations if lines is None else lines
        tables = ''
        if len(reported) < MAX_DESCRIBED:
            tables = self.describe(answer.daemon, answer.answered_at)
        reported.append(
            f'{answer.answered_at:.2f} CONFIG {answer.daemon}, life'
            f' {answer.life}: {outcome} on {answer.host}, sent at'
            f' {answer.sent_at:.2f}, {reason}{tables}'
        )


class Leaving(msgspec.Struct):
    """A notice of a target that leaves, until it is taken back."""

    target_id: str
    notified_at: float
    taken_back_at: float = float('inf')

    def is_late(self, arrived_at: float) -> bool:
        """Return whether a request arrived when none may any more."""
        return (
            self.notified_at + DRAIN_BOUND + CLOCK_MARGIN
            < arrived_at
            < self.taken_back_at
        )


def _describe_nothing(daemon: str, at: float) -> str:
    """Tell nothing of a daemon; the default until logs are known."""
    return ''
