"""An operator that changes the configuration, and callers that watch it."""

import asyncio
import itertools
import random
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import aiohttp

from soak.fleet import DaemonProcess, SoakFleet
from soak.judging import (
    ConfigurationJudge,
    JudgedRoute,
    RouteAnswer,
    Version,
)
from tests.fleet_helpers import SERVICES

#: Services between which routes are moved and split.
JUDGED_SERVICES = ('library', 'archive')
#: Range of the time between two changes, in seconds.
CHANGE_INTERVALS = (0.3, 1.7)
#: Parts of the changes that are followed by further ones at once, by an invalid
#: version or by an older one.
BURST_PART = 0.3
INVALID_PART = 0.08
OLDER_PART = 0.05
#: Part of the changes that add a route of the keyed service, and the most of
#: them.
KEYED_PART = 0.25
MAX_KEYED_ROUTES = 8
#: Most versions in a burst.
MAX_BURST = 4
#: Steps by which version numbers rise.
MAX_VERSION_STEP = 5
#: Judged routes that there are at least, and at most.
MIN_ROUTES = 4
MAX_ROUTES = 16
TIME_LIMITS_MS = (400, 700, 1000, 1500)
WEIGHTS = (1, 2, 5)
PATH_PREFIX = '/judged/'
#: Requests of this path take as long as this at their target, in seconds: most
#: routes have a shorter time limit.
SLOW_PATH = '/judged/slow'
SLOW_TIME = 1.2
SLOW_PART = 0.01
#: Part of the requests that ask for a route that was changed lately, and the
#: number of such routes.
RECENT_PART = 0.6
RECENT_COUNT = 4
UNKNOWN_HOST = 'never.example'
UNKNOWN_PART = 0.03
#: Pause of a caller between an answer and its next request, in seconds.
REQUEST_INTERVAL = 0.03
CALLERS_PER_DAEMON = 2
#: Longest wait for an answer, in seconds.
REQUEST_TIMEOUT = 5.0


class Operator:
    """Writes configurations in the platform's form."""

    def __init__(
        self, fleet: SoakFleet, judge: ConfigurationJudge, seed: int
    ) -> None:
        """Prepare the changes; `run` writes them."""
        self._fleet = fleet
        self._judge = judge
        self._random = random.Random(seed)
        self._numbers = itertools.count()
        self._keyed_numbers = itertools.count()
        #: Hosts of all routes that there were, those changed last at the end.
        self.hosts: list[str] = []
        self.events: list[str] = []
        self._changes: tuple[Callable[[dict[str, Any]], None], ...] = (
            self._add,
            self._drop,
            self._move,
            self._split,
            self._limit,
        )
        fleet.note_configuration = self._note

    def start(self) -> None:
        """Write the first configuration with the judged services."""
        first = self._fleet.configuration
        services = {
            **first['services'],
            **dict.fromkeys(JUDGED_SERVICES, SERVICES['issuance']),
        }
        self._fleet.configuration = {**first, 'services': services}
        self._write([self._add] * MIN_ROUTES)

    async def run(self) -> None:
        """Change the configuration again and again until cancelled."""
        while True:
            await asyncio.sleep(self._random.uniform(*CHANGE_INTERVALS))
            self.change()

    def change(self) -> None:
        """Write a version, at times several or one that is of no effect."""
        if self._random.random() < INVALID_PART:
            self._write_invalid()
        elif self._random.random() < OLDER_PART:
            self._write_older()
        elif self._random.random() < KEYED_PART:
            self._write_keyed()
        count = 1
        if self._random.random() < BURST_PART:
            count = self._random.randint(2, MAX_BURST)
        for _ in range(count):
            self._write([self._random.choice(self._changes)])

    def _write(self, changes: list[Callable[[dict[str, Any]], None]]) -> None:
        current = self._fleet.configuration
        routes = dict(current['routes'])
        for change in changes:
            change(routes)
        self._fleet.write_configuration(
            {**current, 'version': self._next_version(), 'routes': routes}
        )

    def _write_invalid(self) -> None:
        """Write a version that no daemon may use."""
        current = self._fleet.configuration
        routes = dict(current['routes'])
        name, route = self._choose(routes)
        invalid = {**routes, name: {**route, 'route_type': 'unheard'}}
        document = {
            **current,
            'version': self._next_version(),
            'routes': invalid,
        }
        self._fleet.store.put('op', 'config', document)
        self._log_event(f'{document["version"]} is invalid')

    def _write_older(self) -> None:
        """Write a version that is older than the one in force."""
        current = self._fleet.configuration
        document = {**current, 'version': 'r1'}
        self._fleet.store.put('op', 'config', document)
        self._log_event('an older version is written')

    def _write_keyed(self) -> None:
        """Add a route of the keyed service, if there are few."""
        number = next(self._keyed_numbers)
        if number >= MAX_KEYED_ROUTES:
            return
        host = f'lookup-{number}.example'
        current = self._fleet.configuration
        added = {**current['routes']['r-lookup'], 'hostname': host}
        self._write([lambda routes: routes.update({f'lookup-{number}': added})])
        self._fleet.note_added_host(host)

    def _next_version(self) -> str:
        number = int(self._fleet.configuration['version'].removeprefix('r'))
        return f'r{number + self._random.randint(1, MAX_VERSION_STEP)}'

    def _add(self, routes: dict[str, Any]) -> None:
        if len(_judged(routes)) >= MAX_ROUTES:
            self._drop(routes)
            return
        number = next(self._numbers)
        host = f'judged-{number}.example'
        routes[f'judged-{number}'] = {
            'hostname': host,
            'path_prefix': PATH_PREFIX,
            'route_type': 'safe',
            'timeout_ms': self._random.choice(TIME_LIMITS_MS),
            'target_latency_ms': 300,
            'priority': 1,
            'attempts': 2,
            'upstream': self._random.choice(JUDGED_SERVICES),
        }
        self._touch(host)

    def _drop(self, routes: dict[str, Any]) -> None:
        if len(_judged(routes)) <= MIN_ROUTES:
            self._add(routes)
            return
        name, route = self._choose(routes)
        del routes[name]
        self._touch(route['hostname'])

    def _move(self, routes: dict[str, Any]) -> None:
        """Move a route to another service, or a split one to one service."""
        name, route = self._choose(routes)
        others = [
            one for one in JUDGED_SERVICES if one != route.get('upstream')
        ]
        moved = {**route, 'upstream': self._random.choice(others)}
        moved.pop('traffic_split', None)
        routes[name] = moved
        self._touch(route['hostname'])

    def _split(self, routes: dict[str, Any]) -> None:
        name, route = self._choose(routes)
        parts = [
            {'upstream': one, 'weight': self._random.choice(WEIGHTS)}
            for one in JUDGED_SERVICES
        ]
        split = {**route, 'traffic_split': parts}
        split.pop('upstream', None)
        routes[name] = split
        self._touch(route['hostname'])

    def _limit(self, routes: dict[str, Any]) -> None:
        name, route = self._choose(routes)
        limit = self._random.choice(TIME_LIMITS_MS)
        routes[name] = {**route, 'timeout_ms': limit}
        self._touch(route['hostname'])

    def _choose(self, routes: dict[str, Any]) -> tuple[str, dict[str, Any]]:
        return self._random.choice(list(_judged(routes).items()))

    def _touch(self, host: str) -> None:
        if host in self.hosts:
            self.hosts.remove(host)
        self.hosts.append(host)

    def _note(self, configuration: dict[str, Any]) -> None:
        """Record a version that has just been acknowledged."""
        now = asyncio.get_running_loop().time()
        routes = _judged(configuration['routes'])
        self._judge.add(
            Version(
                configuration['version'],
                now,
                {
                    route['hostname']: JudgedRoute(
                        _weights(route), route['timeout_ms'] / 1000
                    )
                    for route in routes.values()
                },
            )
        )
        self._log_event(
            f'{configuration["version"]} acknowledged, of'
            f' {self.hosts[-1] if self.hosts else "no route"}'
        )

    def _log_event(self, event: str) -> None:
        now = asyncio.get_running_loop().time()
        self.events.append(f'{now:.2f} {event}')


class RouteCallers:
    """Asks each daemon for routes that are new, changed, dropped or old."""

    def __init__(
        self,
        fleet: SoakFleet,
        operator: Operator,
        judge: ConfigurationJudge,
        seed: int,
    ) -> None:
        """Report answers to the judge; `run` sends the requests."""
        self._fleet = fleet
        self._operator = operator
        self._judge = judge
        self._random = random.Random(seed)
        self._numbers = itertools.count()
        #: Daemons that took the requests, by the IDs of these.
        self.daemon_by_request: dict[str, DaemonProcess] = {}
        #: The service of each target that has run requests.
        self.service_by_target: dict[str, str] = {}

    async def run(self) -> None:
        """Send requests until cancelled."""
        async with aiohttp.ClientSession() as session:
            await asyncio.gather(
                *(
                    self._send_requests(session, daemon)
                    for daemon in self._fleet.daemons
                    for _ in range(CALLERS_PER_DAEMON)
                )
            )

    async def _send_requests(
        self, session: aiohttp.ClientSession, daemon: DaemonProcess
    ) -> None:
        while True:
            await self._send(session, daemon, self._choose_host())
            await asyncio.sleep(self._fleet.pause(REQUEST_INTERVAL))

    def _choose_host(self) -> str:
        if self._random.random() < UNKNOWN_PART:
            return UNKNOWN_HOST
        hosts = self._operator.hosts
        if self._random.random() < RECENT_PART:
            hosts = hosts[-RECENT_COUNT:]
        return self._random.choice(hosts)

    async def _send(
        self, session: aiohttp.ClientSession, daemon: DaemonProcess, host: str
    ) -> None:
        loop = asyncio.get_running_loop()
        request_id = f'route-{next(self._numbers)}'
        self.daemon_by_request[request_id] = daemon
        headers = {
            'Host': host,
            'Attempt-Id': request_id,
            'Deadline-Ms': str(int(REQUEST_TIMEOUT * 1000)),
        }
        is_slow = self._random.random() < SLOW_PART
        path = SLOW_PATH if is_slow else f'{PATH_PREFIX}{request_id}'
        life, sent_at = daemon.life, loop.time()
        try:
            async with session.get(
                f'{daemon.url}{path}',
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT),
            ) as response:
                body = await response.read()
        except (aiohttp.ClientConnectionError, aiohttp.ClientPayloadError):
            # The other callers judge connections that end.
            return
        except asyncio.TimeoutError:
            self._judge_time(daemon, host, sent_at)
            return
        self._judge_time(daemon, host, sent_at)
        if response.headers.get('Attempt-Id') != request_id:
            # Once a daemon has ended, another process may have its port.
            self._judge.violations.append(
                f'{loop.time():.2f} {request_id} at {daemon.name}, which has'
                f' status {daemon.exit_status}: {response.status} with another'
                f' ID'
            )
            return
        is_absent = response.status == HTTPStatus.NOT_FOUND
        if is_absent or response.status == HTTPStatus.OK:
            now = loop.time()
            self._judge.judge(
                RouteAnswer(
                    daemon.name,
                    life,
                    host,
                    sent_at,
                    now,
                    None if is_absent else self._service(body),
                    self._fleet.is_in_touch(daemon, sent_at, now),
                    self._fleet.is_core_stable(sent_at, now),
                )
            )

    def _judge_time(
        self, daemon: DaemonProcess, host: str, sent_at: float
    ) -> None:
        now = asyncio.get_running_loop().time()
        is_core_stable = self._fleet.is_core_stable(sent_at, now)
        if is_core_stable and self._fleet.is_in_touch(daemon, sent_at, now):
            self._judge.judge_time(daemon.name, host, sent_at, now)

    def _service(self, body: bytes) -> str:
        """Return the service of the target that ran a request."""
        return self.service_by_target[body.split(b' ', 1)[0].decode()]


def _judged(routes: dict[str, Any]) -> dict[str, dict[str, Any]]:
    return {
        name: route
        for name, route in routes.items()
        if route['path_prefix'] == PATH_PREFIX
    }


def _weights(route: dict[str, Any]) -> dict[str, int]:
    """Return the services that a route names, with their weights."""
    if 'upstream' in route:
        return {route['upstream']: 1}
    return {part['upstream']: part['weight'] for part in route['traffic_split']}
