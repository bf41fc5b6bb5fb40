"""Turn results into what people read; each kind is registered by type."""

import datetime
import functools

import msgspec
from rich.console import RenderableType
from rich.table import Table
from rich.text import Text

from cassialever.errors import ANSWER_BY_KIND, Failure
from cassialever.settings_view import SettingsShown
from cassialever.tool import Faults

NONE = '-'


@functools.singledispatch
def render(outcome: object) -> RenderableType:
    """Return a result as people read it."""
    written = msgspec.json.format(msgspec.json.encode(outcome))
    return Text(written.decode())


@render.register
def _render_failure(outcome: Failure) -> RenderableType:
    sentence = ANSWER_BY_KIND[outcome.kind].sentence
    entry = f' Entry: {outcome.entry}.' if outcome.entry else ''
    return Text(f'{sentence} {outcome.reason}{entry}')


@render.register
def _render_faults(outcome: Faults) -> RenderableType:
    lines = [f'{outcome.file}: {fault}' for fault in outcome.faults]
    count = len(lines)
    noun = 'fault' if count == 1 else 'faults'
    return Text('\n'.join((*lines, f'{count} {noun}; nothing was changed.')))


@render.register
def _render_settings(outcome: SettingsShown) -> RenderableType:
    table = new_table('setting', 'value', 'from')
    for setting in outcome.settings:
        table.add_row(setting.name, setting.value, setting.source)
    return table


def moment(seconds: float) -> str:
    """Write a time for people."""
    when = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return f'{when:%Y-%m-%d %H:%M:%S}'


def new_table(*names: str) -> Table:
    """Return an empty table with these columns."""
    table = Table(box=None, pad_edge=False, header_style='bold')
    for name in names:
        table.add_column(name, overflow='fold')
    return table
