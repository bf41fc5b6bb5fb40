"""Render results for people; renderers are registered by type."""

import datetime
import functools
from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

import msgspec
from rich.console import RenderableType
from rich.table import Table
from rich.text import Text

from cassialever.errors import ANSWER_BY_KIND, ErrorKind, Failure
from cassialever.tool.context import FileFaults
from cassialever.tool.settings_view import EffectiveSettings

NO_VALUE = '-'

_HINT_BY_KIND: Final[Mapping[ErrorKind, str]] = MappingProxyType(
    {
        ErrorKind.table_unavailable: (
            ' Check platform.table_url in the settings.'
        ),
        ErrorKind.bad_credential: (
            ' Check that security.operator_credential in the settings is that'
            ' of the daemon.'
        ),
    },
)


@functools.singledispatch
def render(outcome: object) -> RenderableType:
    """Return a result as a renderable; JSON unless a renderer exists."""
    written = msgspec.json.format(msgspec.json.encode(outcome))
    return Text(written.decode())


@render.register
def _render_failure(outcome: Failure) -> RenderableType:
    entry = f' Entry: {outcome.entry}.' if outcome.entry else ''
    reason = outcome.reason
    if outcome.kind is ErrorKind.peer_unreachable:
        # The sentence of this kind is for callers and about other instances;
        # the reason says which daemon does not answer.
        return Text(f'{reason[:1].upper()}{reason[1:]}{entry}')
    sentence = ANSWER_BY_KIND[outcome.kind].sentence
    hint = _HINT_BY_KIND.get(outcome.kind, '')
    return Text(f'{sentence} ({reason}){entry}{hint}')


@render.register
def _render_faults(outcome: FileFaults) -> RenderableType:
    lines = [f'{outcome.file}: {fault}' for fault in outcome.faults]
    count = len(lines)
    noun = 'fault' if count == 1 else 'faults'
    return Text('\n'.join((*lines, f'{count} {noun}; nothing was changed.')))


@render.register
def _render_settings(outcome: EffectiveSettings) -> RenderableType:
    table = new_table('setting', 'value', 'from')
    for setting in outcome.settings:
        table.add_row(setting.name, setting.value, setting.source)
    return table


def format_time(seconds: float) -> str:
    """Format a Unix time in UTC."""
    when = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return f'{when:%Y-%m-%d %H:%M:%S}'


def new_table(*names: str) -> Table:
    """Return an empty table with the given columns."""
    table = Table(box=None, pad_edge=False, header_style='bold')
    for name in names:
        table.add_column(name, overflow='fold')
    return table
