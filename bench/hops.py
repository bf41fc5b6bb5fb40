"""What one hop and two hops cost, beside a bare aiohttp pass-through.

Everything runs in one process on one loop. A round sends the same number of
requests along each path in turn; the CPU time of a path is the process time
that its requests took. What a hop costs is the difference of two paths that
differ by that hop alone, so that caller and target drop out. Run it by
`python -m bench.hops [REQUESTS]`, with the requests of one path and round.
"""

import asyncio
import statistics
import sys
import time

import msgspec
from aiohttp import ClientSession, web

from bench.hop_paths import Paths
from bench.report import quantile, show, show_row
from cassialever.types import Seconds

ROUNDS = 25
REQUESTS = 96
#: Requests at once: few, so that little shares a write, and many.
CALLERS = (4, 32)
MICROSECONDS = 1_000_000
HALF = 0.5
MOST = 0.99


class Sample(msgspec.Struct):
    """What one path's requests took in one round, or in all of them."""

    cpu_by_round: list[Seconds]
    latencies: list[Seconds]

    def cpu(self) -> float:
        """Return the median round's CPU time a request, in microseconds."""
        return statistics.median(self.cpu_by_round) * MICROSECONDS


async def ask(session: ClientSession, url: str) -> Seconds:
    """Send one request and return how long its whole answer took."""
    started = time.perf_counter()
    async with session.get(url) as answer:
        await answer.read()
        if answer.status != web.HTTPOk.status_code:
            raise RuntimeError(f'{url} answered {answer.status}')
    return time.perf_counter() - started


async def caller(
    session: ClientSession,
    url: str,
    requests: int,
) -> list[Seconds]:
    """Send requests one after the other."""
    return [await ask(session, url) for _ in range(requests)]


async def round_of(
    sample: Sample,
    url: str,
    requests: int,
    callers: int,
) -> None:
    """Send one round's requests along one path."""
    each = requests // callers
    async with ClientSession() as session:
        await caller(session, url, callers)
        started = time.process_time()
        calling = [caller(session, url, each) for _ in range(callers)]
        for latencies in await asyncio.gather(*calling):
            sample.latencies.extend(latencies)
        spent = time.process_time() - started
    sample.cpu_by_round.append(spent / (each * callers))


def report(sample_by_path: dict[str, Sample]) -> None:
    """Print the table and what each hop adds."""
    show_row(('path', 'cpu us', 'p50 ms', 'p99 ms'))
    for path, sample in sample_by_path.items():
        show_row(
            (
                path,
                sample.cpu(),
                quantile(sample.latencies, HALF),
                quantile(sample.latencies, MOST),
            ),
        )
    show('')
    show_row(('added by', 'cpu us', 'p50 ms', 'p99 ms'))
    bare = added(sample_by_path, 'bare hop', 'bare 1', 'target')
    router = added(sample_by_path, 'router hop', 'router 1', 'target')
    http = added(sample_by_path, 'second HTTP hop', 'bare 2', 'bare 1')
    link = added(sample_by_path, 'link hop', 'router 2', 'router 1')
    show('')
    show(f'router hop / bare hop: {router / bare:.2f}')
    show(f'link hop / second HTTP hop: {link / http:.2f}')
    show('')


def added(
    sample_by_path: dict[str, Sample],
    name: str,
    longer: str,
    shorter: str,
) -> float:
    """Print what one path takes more than another; return its CPU time."""
    more = sample_by_path[longer]
    less = sample_by_path[shorter]
    cpu = more.cpu() - less.cpu()
    half = added_latency(more, less, HALF)
    show_row((name, cpu, half, added_latency(more, less, MOST)))
    return cpu


def added_latency(more: Sample, less: Sample, share: float) -> float:
    """Return by how much a quantile rises, in milliseconds."""
    lower = quantile(less.latencies, share)
    return quantile(more.latencies, share) - lower


async def run(requests: int) -> None:
    """Run every round and print the tables."""
    paths = Paths()
    url_by_path = await paths.start()
    for callers in CALLERS:
        show(f'{callers} requests at once')
        report(await sample_all(url_by_path, requests, callers))
    await paths.stop()


async def sample_all(
    url_by_path: dict[str, str],
    requests: int,
    callers: int,
) -> dict[str, Sample]:
    """Run every round along every path in turn."""
    sample_by_path = {path: Sample([], []) for path in url_by_path}
    for _ in range(ROUNDS):
        for path, url in url_by_path.items():
            await round_of(sample_by_path[path], url, requests, callers)
    return sample_by_path


if __name__ == '__main__':
    arguments = sys.argv[1:] or [str(REQUESTS)]
    asyncio.run(run(int(arguments[0])))
