"""Demo that runs both example deployments at full size in one process."""

import asyncio
import sys
from pathlib import Path
from types import MappingProxyType

from hdrh.histogram import HdrHistogram
from rich.console import Console
from rich.table import Table

from cassialever.catalogue.check import load_catalogue
from cassialever.catalogue.entries import Catalogue
from cassialever.types import ServiceName
from standins.deployment import Deployment
from standins.load import LoadGenerator, LoadPlan, ServiceResults

EXAMPLES = Path(__file__).parent.parent / 'examples'
MICROSECONDS_PER_MS = 1000
REQUEST_COUNT = 2_000
CALLER_COUNT = 4
LOAD_PLAN = LoadPlan(requests=REQUEST_COUNT, callers=CALLER_COUNT)
DAEMONS_PER_DATA_CENTRE = MappingProxyType(
    {
        'qazaq-coldline': 3,
        'tarifa-justa': 2,
    }
)

CONSOLE_WIDTH = 110
#: Percentiles of the latency that are printed.
PERCENTILES = (50, 99, 100)
console = Console(width=CONSOLE_WIDTH)


async def run_deployment(deployment_name: str) -> None:
    """Run one deployment, send requests through it and print the results."""
    path = EXAMPLES / f'{deployment_name}.catalogue.jsonc'
    catalogue = load_catalogue(path.read_text())
    if not isinstance(catalogue, Catalogue):
        sys.exit('\n'.join(str(fault) for fault in catalogue))
    deployment = Deployment(catalogue, DAEMONS_PER_DATA_CENTRE[deployment_name])
    await deployment.start()
    await deployment.wait_until_settled()
    console.rule(_title(deployment_name, deployment))
    load = LoadGenerator(catalogue, LOAD_PLAN)
    await load.run(
        [daemon.caller_server.url for daemon in deployment.daemons],
    )
    console.print(results_table(load))
    console.print(overflow_summary(deployment))
    await deployment.stop()


def results_table(load: LoadGenerator) -> Table:
    """Return a table of answers, targets and latency by service."""
    table = Table()
    for title in ('service', 'answers', 'targets', 'p50', 'p99', 'max'):
        table.add_column(title)
    for service, results in load.results_by_service.items():
        table.add_row(*_row(service, results))
    return table


def overflow_summary(deployment: Deployment) -> str:
    """Return a line that lists the targets whose queues overflowed."""
    overflowing = [
        target.target_id
        for target in deployment.platform.target_by_id.values()
        if target.work.overflow_count
    ]
    if overflowing:
        return f'Targets whose queues overflowed: {", ".join(overflowing)}'
    return "No target's queue overflowed."


def _title(deployment_name: str, deployment: Deployment) -> str:
    catalogue = deployment.platform.catalogue
    return (
        f'{deployment_name}: {len(deployment.daemon_by_id)} daemons,'
        f' {len(catalogue.targets)} targets,'
        f' {len(catalogue.data_centres)} data centres'
    )


def _row(service: ServiceName, results: ServiceResults) -> list[str]:
    answers = [f'{count} x {name}' for name, count in results.answers.items()]
    percentiles = [
        _format_percentile(results.latency, percentile)
        for percentile in PERCENTILES
    ]
    return [
        service,
        '\n'.join(answers),
        f'{len(results.targets)} used, {results.mismatched} mismatched',
        *percentiles,
    ]


def _format_percentile(latency: HdrHistogram, percentile: int) -> str:
    microseconds = latency.get_value_at_percentile(percentile)
    return f'{microseconds / MICROSECONDS_PER_MS:.1f} ms'


async def main() -> None:
    """Run both deployments, one after the other."""
    for deployment_name in DAEMONS_PER_DATA_CENTRE:
        await run_deployment(deployment_name)


if __name__ == '__main__':
    asyncio.run(main())
