"""Render the results of the platform commands."""

import datetime
from collections.abc import Iterable

from rich.console import Group, RenderableType
from rich.table import Table
from rich.text import Text

from cassialever.fleet.model import Route
from cassialever.tool.platform_state import PlatformState
from cassialever.tool.rendering import NO_VALUE, new_table, render
from cassialever.tool.request_timeline import RequestTimeline


@render.register
def _render_timeline(outcome: RequestTimeline) -> RenderableType:
    if not outcome.steps:
        return Text('The logs have no lines about that request.')
    lines = [
        f'{_clock_time(step.time)} {step.instance}: {step.sentence}.'
        for step in outcome.steps
    ]
    return Text('\n'.join(lines))


@render.register
def _render_platform(outcome: PlatformState) -> RenderableType:
    configuration = outcome.configuration
    version = configuration.version if configuration else NO_VALUE
    out = ', '.join(outcome.evacuated) or 'none'
    head = Text(
        f'configuration {version}; leader {outcome.leader or NO_VALUE}; data'
        f' centres out: {out}; entries that cannot be read:'
        f' {outcome.rejected}',
    )
    routes = configuration.routes if configuration else ()
    return Group(head, _route_table(routes), _target_table(outcome))


def _route_table(routes: Iterable[Route]) -> Table:
    table = new_table('route', 'host and path', 'kind', 'services')
    for route in routes:
        services = [f'{part.service} x {part.weight:g}' for part in route.parts]
        table.add_row(
            route.name,
            f'{route.host}{route.path_prefix}',
            route.kind.value,
            ', '.join(services),
        )
    return table


def _target_table(outcome: PlatformState) -> Table:
    targets = new_table('target', 'service', 'data centre', 'state', 'keys')
    for target in outcome.targets:
        is_cold = target.target_id in outcome.cold
        targets.add_row(
            target.target_id,
            target.service,
            target.data_centre,
            f'{target.state.value}, cold' if is_cold else target.state.value,
            str(_key_count(outcome, target.target_id)),
        )
    return targets


def _key_count(outcome: PlatformState, target_id: str) -> int:
    return sum(
        keys.last - keys.first + 1
        for ranges in outcome.owners_by_service.values()
        for keys in ranges
        if keys.owner == target_id
    )


def _clock_time(seconds: float) -> str:
    when = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return f'{when:%H:%M:%S.%f}'[:-3]
