"""Render the results of the catalogue commands."""

from collections.abc import Iterator

import msgspec
from rich.console import Group, RenderableType
from rich.text import Text

from cassialever.catalogue.changes import CatalogueChange
from cassialever.catalogue.entries import Catalogue, Entry
from cassialever.catalogue.store import Conflict
from cassialever.tool.change_tables import change_table
from cassialever.tool.context import ChangeHistory, ChangeResult, CheckResult
from cassialever.tool.rendering import NO_VALUE, format_time, new_table, render

#: Maximum number of entries that the history lists for a change.
MAX_ENTRIES_SHOWN = 3


@render.register
def _render_check_result(outcome: CheckResult) -> RenderableType:
    return Text(
        f'{outcome.file} has no faults: {outcome.services} services,'
        f' {outcome.targets} targets, {outcome.data_centres} data centres,'
        f' {outcome.callers} callers.',
    )


@render.register
def _render_change_result(outcome: ChangeResult) -> RenderableType:
    if not outcome.change.entry_refs():
        return Text('No differences; no new version was made.')
    head = f'Accepted as version {outcome.change.version}.'
    if outcome.in_force:
        head = f'{head} In force on {outcome.in_force}.'
    if outcome.late_because:
        head = f'{head} Not confirmed in force: {outcome.late_because}.'
    return Group(Text(head), change_table(outcome.change))


@render.register
def _render_change(outcome: CatalogueChange) -> RenderableType:
    if not outcome.entry_refs():
        return Text('No differences.')
    return change_table(outcome)


@render.register
def _render_conflict(outcome: Conflict) -> RenderableType:
    theirs = outcome.theirs
    return Group(
        Text(
            'Nothing was written: someone else changed the catalogue first.'
            ' Compare both changes and edit the current version.',
        ),
        Text(f'\nTheir changes, up to version {theirs.version}:'),
        change_table(theirs),
        Text('\nYour changes:'),
        change_table(outcome.ours),
    )


@render.register
def _render_history(outcome: ChangeHistory) -> RenderableType:
    table = new_table('version', 'when', 'author', 'reason', 'entries')
    for change in outcome.changes:
        names = [f'{ref.kind.value}/{ref.name}' for ref in change.entry_refs()]
        table.add_row(
            str(change.version),
            format_time(change.origin.made_at),
            change.origin.author,
            change.origin.reason,
            _shortened(names),
        )
    return table


@render.register
def _render_catalogue(outcome: Catalogue) -> RenderableType:
    head = Text(
        f'Version {outcome.version}, by {outcome.author or NO_VALUE}:'
        f' {outcome.reason or NO_VALUE}',
    )
    table = new_table('entry', 'owner', 'class', 'version', 'state', 'limits')
    for entry in _entries(outcome):
        encoded = msgspec.to_builtins(entry)
        limits = [
            f'{name}={limit}' for name, limit in encoded['limits'].items()
        ]
        table.add_row(
            f'{entry.ref().kind.value}/{entry.ref().name}',
            entry.owner,
            encoded['class'],
            str(entry.version),
            encoded.get('state', NO_VALUE),
            ' '.join(limits),
        )
    return Group(head, table)


def _entries(catalogue: Catalogue) -> Iterator[Entry]:
    yield from catalogue.data_centres
    yield from catalogue.services
    yield from catalogue.targets
    yield from catalogue.callers


def _shortened(names: list[str]) -> str:
    shown = ', '.join(names[:MAX_ENTRIES_SHOWN])
    more = len(names) - MAX_ENTRIES_SHOWN
    return f'{shown} and {more} more' if more > 0 else shown
