"""Send a fixed number of requests and record the answers."""

import asyncio
import itertools
import time
from collections import Counter
from collections.abc import Iterator, Sequence

import aiohttp
import msgspec
from hdrh.histogram import HdrHistogram

from cassialever.callers.answers import ERROR_HEADER, TARGET_HEADER
from cassialever.callers.intake import REQUEST_ID_HEADER
from cassialever.catalogue.entries import Catalogue, ServiceEntry
from cassialever.clock import seeded_random
from cassialever.interfaces import RandomSource
from cassialever.types import RoutingClass

MICROSECONDS_PER_SECOND = 1_000_000
MAX_LATENCY_MICROSECONDS = 60 * MICROSECONDS_PER_SECOND
SIGNIFICANT_DIGITS = 3
KEY_COUNT = 10_000


class LoadPlan(msgspec.Struct, frozen=True):
    """The number of requests, and of callers that send them concurrently."""

    requests: int
    callers: int
    seed: int = 7


class ServiceResults(msgspec.Struct):
    """The answers and latencies of one service's requests.

    `mismatched` counts the answers that belong to another request.
    """

    answers: Counter[str]
    targets: Counter[str]
    latency: HdrHistogram
    mismatched: int = 0

    def count(self, response: aiohttp.ClientResponse) -> None:
        """Count an answer by status, error and target."""
        error = response.headers.get(ERROR_HEADER, 'complete')
        self.answers[f'{response.status} {error}'] += 1
        self.targets[response.headers.get(TARGET_HEADER, '')] += 1


class LoadGenerator:
    """Sends requests for every service to the daemons in turn."""

    def __init__(self, catalogue: Catalogue, plan: LoadPlan) -> None:
        """Start with empty results for every service."""
        self._services = catalogue.services
        self._plan = plan
        self._random: RandomSource = seeded_random(plan.seed)
        self.results_by_service = {
            service.name: ServiceResults(
                Counter(),
                Counter(),
                HdrHistogram(1, MAX_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS),
            )
            for service in catalogue.services
        }

    async def run(self, urls: Sequence[str]) -> None:
        """Send all requests, to the daemons in round-robin order."""
        numbers = iter(range(self._plan.requests))
        daemons = itertools.cycle(urls)
        async with aiohttp.ClientSession() as session:
            await asyncio.gather(
                *[
                    self._run_caller(session, numbers, daemons)
                    for _ in range(self._plan.callers)
                ]
            )

    async def _run_caller(
        self,
        session: aiohttp.ClientSession,
        numbers: Iterator[int],
        daemons: Iterator[str],
    ) -> None:
        for number in numbers:
            service = self._services[number % len(self._services)]
            await self._send_request(session, service, next(daemons), number)

    async def _send_request(
        self,
        session: aiohttp.ClientSession,
        service: ServiceEntry,
        url: str,
        number: int,
    ) -> None:
        path = f'/{service.name}/{number}'
        headers = self._headers(service, number)
        started = time.perf_counter()
        response = await session.get(f'{url}{path}', headers=headers)
        body = await response.read()
        elapsed = time.perf_counter() - started
        results = self.results_by_service[service.name]
        results.latency.record_value(int(elapsed * MICROSECONDS_PER_SECOND))
        results.count(response)
        if ERROR_HEADER not in response.headers:
            results.mismatched += f' {path} '.encode() not in body

    def _headers(self, service: ServiceEntry, number: int) -> dict[str, str]:
        headers = {REQUEST_ID_HEADER: f'demo-{self._plan.seed}-{number:08d}'}
        if service.routing is RoutingClass.keyed:
            key = self._random.randrange(KEY_COUNT)
            headers[service.key_rule.header] = f'key-{key}'
        return headers
