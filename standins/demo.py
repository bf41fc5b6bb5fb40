"""The demo: both deployments at their sizes of today, in one process."""

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
from standins.load import Load, LoadPlan, ServiceOutcome

EXAMPLES = Path(__file__).parent.parent / 'examples'
MS_PER_SECOND = 1000
REQUESTS = 2_000
CALLERS = 4
PLAN = LoadPlan(requests=REQUESTS, callers=CALLERS)
DAEMONS_BY_DEPLOYMENT = MappingProxyType(
    {
        'qazaq-coldline': 3,
        'tarifa-justa': 2,
    }
)

WIDTH = 110
#: Shares of the latency that are printed, in percent.
SHARES = (50, 99, 100)
console = Console(width=WIDTH)


async def show(deployment_name: str) -> None:
    """Run one deployment, send requests through it and print the outcome."""
    path = EXAMPLES / f'{deployment_name}.catalogue.jsonc'
    catalogue = load_catalogue(path.read_text())
    if not isinstance(catalogue, Catalogue):
        sys.exit('\n'.join(str(fault) for fault in catalogue))
    deployment = Deployment(catalogue, DAEMONS_BY_DEPLOYMENT[deployment_name])
    await deployment.start()
    await deployment.settled()
    console.rule(_title(deployment_name, deployment))
    load = Load(catalogue, PLAN)
    await load.run(
        [daemon.caller_server.url for daemon in deployment.daemons],
    )
    console.print(outcome_table(load))
    console.print(limits_line(deployment))
    await deployment.stop()


def outcome_table(load: Load) -> Table:
    """Return the table of answers, targets and latency."""
    table = Table()
    for title in ('service', 'answers', 'targets', 'p50', 'p99', 'max'):
        table.add_column(title)
    for service, outcome in load.outcome_by_service.items():
        table.add_row(*_row(service, outcome))
    return table


def limits_line(deployment: Deployment) -> str:
    """Say whether any target was ever sent more than it can take."""
    over = [
        target.target_id
        for target in deployment.platform.target_by_id.values()
        if target.work.overflows
    ]
    if over:
        return f'Targets sent more than they queue: {", ".join(over)}'
    return 'No target was sent more than its slots and its queue take.'


def _title(deployment_name: str, deployment: Deployment) -> str:
    catalogue = deployment.platform.catalogue
    return (
        f'{deployment_name}: {len(deployment.daemon_by_id)} daemons,'
        f' {len(catalogue.targets)} targets,'
        f' {len(catalogue.data_centres)} data centres'
    )


def _row(service: ServiceName, outcome: ServiceOutcome) -> list[str]:
    answers = [f'{count} x {name}' for name, count in outcome.answers.items()]
    quantiles = [_quantile(outcome.latency, share) for share in SHARES]
    return [
        service,
        '\n'.join(answers),
        f'{len(outcome.targets)} used, mixed up {outcome.mixed_up}',
        *quantiles,
    ]


def _quantile(latency: HdrHistogram, share: int) -> str:
    micros = latency.get_value_at_percentile(share)
    return f'{micros / MS_PER_SECOND:.1f} ms'


async def main() -> None:
    """Show both deployments, one after the other."""
    for deployment_name in DAEMONS_BY_DEPLOYMENT:
        await show(deployment_name)


if __name__ == '__main__':
    asyncio.run(main())
