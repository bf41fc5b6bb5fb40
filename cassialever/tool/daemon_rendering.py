"""Render the answers of a daemon."""

from rich.console import Group, RenderableType
from rich.table import Table
from rich.text import Text

from cassialever.operators.api import Explanations
from cassialever.operators.view import KeyOwner, Status
from cassialever.tool.rendering import NO_VALUE, new_table, render


@render.register
def _render_status(outcome: Status) -> RenderableType:
    ready = 'ready' if outcome.ready else outcome.not_ready_because
    reachable = 'reachable' if outcome.table_reachable else 'NOT reachable'
    head = Text(
        f'{outcome.instance_id} in {outcome.data_centre}: {ready}; catalogue'
        f' version {outcome.catalogue_version}; table {reachable};'
        f' {outcome.in_progress} requests in progress',
    )
    instances = new_table('instance', 'address', 'assigns keys')
    for instance in outcome.instances:
        leads = 'yes' if instance.instance_id == outcome.leader else NO_VALUE
        instances.add_row(instance.instance_id, instance.address, leads)
    return Group(head, instances, _target_table(outcome))


@render.register
def _render_owner(outcome: KeyOwner) -> RenderableType:
    owner = outcome.target_id or 'no target at the moment'
    return Text(
        f'Key {outcome.key} of {outcome.service} is in slice'
        f' {outcome.slice_index}, owned by {owner}. Entry:'
        f' {outcome.entry}.',
    )


@render.register
def _render_explanations(outcome: Explanations) -> RenderableType:
    if not outcome.explanations:
        return Text('This daemon has no record of that; try another one.')
    return Text(
        '\n'.join(explanation.sentence for explanation in outcome.explanations)
    )


def _target_table(status: Status) -> Table:
    table = new_table('target', 'service', 'data centre', 'state', 'load')
    for target in status.targets:
        state = f'out by {target.out_by}' if target.out_by else target.state
        table.add_row(
            target.target_id,
            target.service,
            target.data_centre,
            state,
            f'{target.in_flight}+{target.in_flight_elsewhere}'
            f'/{target.capacity}',
        )
    return table
