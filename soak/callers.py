"""Callers of a soak test, and the violations they find."""

import asyncio
import enum
import itertools
import random
from collections import Counter
from collections.abc import Callable, Mapping

import aiohttp

from soak.fleet import DaemonProcess, SoakFleet
from soak.judging import STABLE_TIME
from soak.service_judging import KeyRequest

#: Connection errors and timeouts are no violations for this long after a
#: daemon was disrupted, in seconds. It covers the platform's grace period for
#: a stop, and a start.
DISRUPTION_GRACE = 9.0
#: Pause of a caller between an answer and its next request, in seconds.
REQUEST_INTERVAL = 0.02
#: Longest wait for an answer, in seconds.
REQUEST_TIMEOUT = 4.0
#: From this time after the beginning of a cut, a daemon that is cut off from
#: all targets has to serve like the others, in seconds.
CUT_OFF_GRACE = 3.0
#: It serves at least this part of what others do, unless few requests fail: ten
#: and one in 50 of all.
MIN_RELATIVE_SHARE = 2 / 3
MAX_FAILED_COUNT = 10
MAX_FAILED_PART = 1 / 50
FIRST_HOST = 'registry.example'
#: Part of the requests for keys that are sent on added routes.
ADDED_PART = 0.3


class Group(enum.Enum):
    """Groups of daemons whose requests are compared."""

    calm = 'calm'
    cut_off = 'cut off'


class Callers:
    """Sends requests to every daemon continuously and checks the answers."""

    def __init__(self, fleet: SoakFleet, seed: int) -> None:
        """Start without results; `run` sends the requests."""
        self.fleet = fleet
        self._random = random.Random(seed)
        self._request_numbers = itertools.count()
        self._prefix = f's{seed}'
        self.violations: list[str] = []
        self.outcome_counts: Counter[str] = Counter()
        self._outcomes_by_group: dict[Group, list[str]] = {
            group: [] for group in Group
        }
        #: IDs of the requests that a daemon reported as not run. They must not
        #: run later either.
        self.not_run_ids: set[str] = set()
        #: Called with each request for a key, and whether its route was added.
        self.note_key_request: Callable[
            [DaemonProcess, bool | None, KeyRequest], None
        ] = _ignore
        #: IDs of the unsafe requests, which must not run twice.
        self.unsafe_ids: set[str] = set()

    async def run(self) -> None:
        """Send requests over persistent connections until cancelled."""
        async with aiohttp.ClientSession() as session:
            await asyncio.gather(
                *(
                    self._send_requests(session, daemon)
                    for daemon in self.fleet.daemons
                    for _ in range(3)
                ),
            )

    def check_runs(self) -> None:
        """Check the requests that targets ran against the answers.

        No request may run that was reported as not run, and no unsafe
        request may run twice.
        """
        runs = Counter(
            request_id
            for target in self.fleet.all_targets
            for request_id in target.executed_ids
        )
        for request_id in self.not_run_ids & runs.keys():
            self.violations.append(
                f'{request_id} ran but was reported as not run'
            )
        for request_id in self.unsafe_ids:
            if runs[request_id] > 1:
                self.violations.append(
                    f'{request_id} ran {runs[request_id]} times'
                )

    def check_owners(self) -> None:
        """Check that no key of a sample is held by two targets that are up."""
        for key in range(0, 65536, 2048):
            holders = [
                target.target_id
                for target in self.fleet.targets
                if target.is_keyed
                and target.target_id not in self.fleet.down_ids
                and target.holds(key)
            ]
            if len(holders) > 1:
                self.violations.append(f'key {key} is held by {holders}')

    def check_shares(self) -> None:
        """Check that daemons that are cut off served like calm ones."""
        share_by_group = {
            group: outcomes.count('200') / max(len(outcomes), 1)
            for group, outcomes in self._outcomes_by_group.items()
        }
        outcomes = self._outcomes_by_group[Group.cut_off]
        failed = len(outcomes) - outcomes.count('200')
        total = sum(map(len, self._outcomes_by_group.values()))
        if (
            failed > MAX_FAILED_COUNT + MAX_FAILED_PART * total
            and share_by_group[Group.cut_off]
            < MIN_RELATIVE_SHARE * share_by_group[Group.calm]
        ):
            self.violations.append(
                f'daemons cut off from targets served'
                f' {outcomes.count("200")} of {len(outcomes)} requests, others'
                f' {share_by_group[Group.calm]:.2f} of theirs'
            )

    def next_request_id(self, *, is_safe: bool) -> str:
        """Return the ID of a new request."""
        request_id = f'{self._prefix}-{next(self._request_numbers)}'
        if not is_safe:
            self.unsafe_ids.add(request_id)
        return request_id

    def record_answer(
        self,
        request_id: str,
        status: int,
        headers: Mapping[str, str],
        body: bytes,
    ) -> None:
        """Count and check an answer."""
        self.outcome_counts[str(status)] += 1
        self._check_answer(request_id, status, headers, body)

    def was_run(self, request_id: str) -> bool:
        """Return whether a target ran a request."""
        return any(
            request_id in target.executed_ids
            for target in self.fleet.all_targets
        )

    async def wait_until_served(self, timeout: float) -> bool:
        """Wait until every daemon serves a sample of the keys.

        Returns whether it does within `timeout` seconds.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        async with aiohttp.ClientSession() as session:
            while loop.time() < deadline:
                outcomes = [
                    await self._lookup(session, daemon, key)
                    for daemon in self.fleet.daemons
                    for key in range(0, 65536, 8192)
                ]
                if set(outcomes) == {'200'}:
                    return True
                await asyncio.sleep(0.1)
        return False

    async def _send_requests(
        self,
        session: aiohttp.ClientSession,
        daemon: DaemonProcess,
    ) -> None:
        while True:
            group = self._group(daemon)
            if self._random.random() < 0.3:
                outcome = await self._issue(session, daemon)
            else:
                key = self._random.randrange(65536)
                outcome = await self._lookup(session, daemon, key)
            self.outcome_counts[outcome] += 1
            if group is not None:
                self._outcomes_by_group[group].append(outcome)
            await asyncio.sleep(self.fleet.pause(REQUEST_INTERVAL))

    def _group(self, daemon: DaemonProcess) -> Group | None:
        """Return the group of a daemon whose requests are compared now.

        The daemons of a group are not disrupted. Requests are compared only
        while there are daemons in both groups.
        """
        now = asyncio.get_running_loop().time()
        group_by_name = {
            one.name: Group.cut_off if one.is_cut_off else Group.calm
            for one in self.fleet.daemons
            if max(one.cut_changed_at, one.disrupted_at) < now - CUT_OFF_GRACE
        }
        if len(set(group_by_name.values())) < len(Group):
            return None
        return group_by_name.get(daemon.name)

    async def _lookup(
        self,
        session: aiohttp.ClientSession,
        daemon: DaemonProcess,
        key: int,
    ) -> str:
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        added = [
            host
            for host, at in self.fleet.added_hosts
            if at < sent_at - STABLE_TIME
        ]
        is_added = self._random.random() < ADDED_PART if added else None
        host = self._random.choice(added) if is_added else FIRST_HOST
        headers = {'Host': host, 'Shard-Key': str(key)}
        outcome = await self._send(session, daemon, 'GET', '/lookup', headers)
        request = KeyRequest(key, sent_at, loop.time(), outcome == '200')
        self.note_key_request(daemon, is_added, request)
        return outcome

    async def _issue(
        self,
        session: aiohttp.ClientSession,
        daemon: DaemonProcess,
    ) -> str:
        headers = {'Host': 'issuance.example'}
        return await self._send(session, daemon, 'POST', '/issue', headers)

    async def _send(
        self,
        session: aiohttp.ClientSession,
        daemon: DaemonProcess,
        method: str,
        path: str,
        headers: dict[str, str],
    ) -> str:
        request_id = self.next_request_id(is_safe=method == 'GET')
        headers.update({'Attempt-Id': request_id, 'Deadline-Ms': '2000'})
        url = f'{daemon.url}{path}/{request_id}'
        try:
            async with session.request(
                method,
                url,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT),
            ) as response:
                body = await response.read()
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError) as error:
            return self._handle_connection_error(daemon, request_id, error)
        self._check_answer(request_id, response.status, response.headers, body)
        return str(response.status)

    def _handle_connection_error(
        self,
        daemon: DaemonProcess,
        request_id: str,
        error: Exception,
    ) -> str:
        now = asyncio.get_running_loop().time()
        if now - daemon.disrupted_at > DISRUPTION_GRACE:
            self.violations.append(
                f'{now:.2f} {request_id} at {daemon.name}: {error!r}',
            )
        return type(error).__name__

    def _check_answer(
        self,
        request_id: str,
        status: int,
        headers: Mapping[str, str],
        body: bytes,
    ) -> None:
        if status == 200 and f'/{request_id} '.encode() not in body:
            self.violations.append(
                f'{request_id}: unexpected body {body[:80]!r}'
            )
        if headers.get('Attempt-Id') != request_id:
            self.violations.append(f'{request_id}: answer has another ID')
        if status == 503 and 'Retry-After' in headers:
            self.not_run_ids.add(request_id)


def _ignore(
    daemon: DaemonProcess, is_added: bool | None, request: KeyRequest
) -> None:
    """Do not note a request."""
