"""Render the results of the platform commands."""

import datetime
from collections.abc import Iterable

from rich.console import Group, RenderableType
from rich.table import Table
from rich.text import Text

from cassialever.fleet.model import Route
from cassialever.tool.key_findings import Finding
from cassialever.tool.key_history import KeyHistory, Tenure, UnknownService
from cassialever.tool.log_lines import TimelineStep
from cassialever.tool.platform_state import PlatformState
from cassialever.tool.rendering import NO_VALUE, new_table, render
from cassialever.tool.request_timeline import RequestTimeline


@render.register
def _render_timeline(outcome: RequestTimeline) -> RenderableType:
    if not outcome.steps:
        return Text('The logs have no lines about that request.')
    return Text('\n'.join(map(_step_line, outcome.steps)))


@render.register
def _render_key_history(outcome: KeyHistory) -> RenderableType:
    if not outcome.steps and not outcome.tenures:
        return Text('The logs have no lines about that key and time.')
    shown = [one for one in outcome.findings if one.is_shown]
    possible = [one for one in outcome.findings if not one.is_shown]
    parts = (
        (f'Owners of key {outcome.key} of {outcome.service}:', outcome.tenures),
        ('What must not be:', shown),
        ('What would be wrong if an earlier owner was at work:', possible),
        ('Events:', outcome.steps),
    )
    blocks = [
        '\n'.join((title, *map(_history_line, found)))
        for title, found in parts
        if found
    ]
    return Text('\n\n'.join(blocks))


@render.register
def _render_unknown_service(outcome: UnknownService) -> RenderableType:
    known = ', '.join(outcome.known_services)
    if not known:
        return Text('The logs have no lines about keys of any service.')
    return Text(
        f'The logs have no lines about keys of {outcome.service}; they have'
        f' those of {known}.'
    )


def _history_line(part: Tenure | Finding | TimelineStep) -> str:
    if isinstance(part, Tenure):
        return _tenure_line(part)
    if isinstance(part, TimelineStep):
        return _step_line(part)
    return f'{_clock_time(part.time)} {part.sentence}.'


def _tenure_line(tenure: Tenure) -> str:
    until = '...' if tenure.until is None else _clock_time(tenure.until)
    ended_by = tenure.ended_by and f'; then {tenure.ended_by}'
    return (
        f'{_clock_time(tenure.since)} to {until}: {tenure.target} at'
        f' {tenure.address} with fence {tenure.fence}, granted by'
        f' {tenure.granted_by} in term {tenure.term}{ended_by}.'
    )


def _step_line(step: TimelineStep) -> str:
    return f'{_clock_time(step.time)} {step.instance}: {step.sentence}.'


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
