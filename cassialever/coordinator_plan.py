"""What a coordinator does next: holders, slices, rows, the map."""

import functools
from collections.abc import Iterable

from cassialever.catalogue import CatalogueIndex
from cassialever.coordinator_holders import change_holders
from cassialever.coordinator_state import CoordinatorState
from cassialever.events import Event
from cassialever.interfaces import ABSENT
from cassialever.membership import Process
from cassialever.moves import Move, MoveStep
from cassialever.ownership_effects import (
    AnnounceMap,
    Effect,
    LogEvent,
    ReadRows,
)
from cassialever.routing import RoutingMap, ServiceMap
from cassialever.rows import coordinator_row
from cassialever.target_record import TargetRecord
from cassialever.types import (
    ChangeId,
    Epoch,
    Fence,
    Incarnation,
    Seconds,
    ServiceName,
    TargetId,
)

#: How long an answer of the table shows that it can take a write, in seconds.
TABLE_FRESH = 0.5
#: How often those that are listed but silent are written to, in seconds.
GREETING_INTERVAL = 1.0
#: The longest time without a plan, in seconds.
LONGEST_PAUSE = 0.5


def plan(state: CoordinatorState, now: Seconds) -> list[Effect]:
    """Do all that can be done now."""
    if not state.table.loaded or state.index is None:
        return []
    woken = change_holders(state, now)
    effects: list[Effect] = []
    # While an earlier coordinator may act still, slices stay where they are.
    free = not state.context.authority.earlier.unresolved
    if free:
        effects.extend(_begin_moves(state, state.index, now))
    woken.update(_change_leases(state))
    if free:
        effects.extend(_write(state, now))
    _schedule(state, now)
    return [*effects, *state.wake(woken), *_announce(state)]


def is_due(state: CoordinatorState, now: Seconds) -> bool:
    """Return whether anything can have become possible since the last plan."""
    if state.upkeep.changed or now >= state.upkeep.next_plan:
        return True
    unresolved = state.context.authority.earlier.unresolved
    return state.upkeep.unresolved != unresolved


def _schedule(state: CoordinatorState, now: Seconds) -> None:
    """Say when to plan again, and index the targets by process."""
    upkeep = state.upkeep
    upkeep.changed = False
    upkeep.unresolved = state.context.authority.earlier.unresolved
    records_by_process: dict[Process, list[TargetRecord]] = {}
    next_plan = now + LONGEST_PAUSE
    if state.moves.moves:
        next_plan = now
    for record in state.record_by_target.values():
        processes = set(record.former_by_process)
        if processes or record.holder is None or record.stopping:
            next_plan = now
        if record.holder:
            processes.add(record.holder)
            next_plan = min(next_plan, record.until)
        for process in processes:
            records_by_process.setdefault(process, []).append(record)
    upkeep.records_by_process = records_by_process
    upkeep.next_plan = next_plan


def moved(done: Iterable[Move]) -> list[Effect]:
    """Log the moves that are complete."""
    return [_told(Event.move_done, move) for move in done]


def _begin_moves(
    state: CoordinatorState,
    index: CatalogueIndex,
    now: Seconds,
) -> list[Effect]:
    """Begin moves, once the table has shown that it can take their write."""
    effects: list[Effect] = []
    for service in sorted(state.moves.rows.owners_by_service):
        targets = _usable(state, index, service)
        if not targets or not _is_unsettled(service, targets, state, now):
            continue
        if now > state.table.answered_at + TABLE_FRESH:
            return [*effects, *_probe(state, now)]
        begun = state.moves.plan(
            service,
            targets,
            state.context.assign,
            state.loads.load_by_service.get(service, {}),
        )
        effects.extend(_told(Event.move_started, move) for move in begun)
    return effects


def _is_unsettled(
    service: ServiceName,
    targets: list[TargetId],
    state: CoordinatorState,
    now: Seconds,
) -> bool:
    """Return whether slices are to move; asked again when something changed."""
    basis = (
        tuple(targets),
        dict(state.moves.rows.fence_by_service),
        state.loads.version,
        tuple(state.moves.moves),
        # The assignment may go by more than it is told here.
        int(now / LONGEST_PAUSE),
    )
    if state.loads.settled_by_service.get(service) == basis:
        return False
    current = state.moves.rows.owners_by_service[service]
    loads = state.loads.load_by_service.get(service, {})
    wanted = state.context.assign(current, targets, loads)
    if list(wanted) != list(current):
        return True
    state.loads.settled_by_service[service] = basis
    return False


def _told(event: Event, move: Move) -> Effect:
    return LogEvent(
        event,
        {
            'service': move.service,
            'source': str(move.source),
            'destination': move.destination,
            'slices': len(move.slices),
        },
    )


def _usable(
    state: CoordinatorState,
    index: CatalogueIndex,
    service: ServiceName,
) -> list[TargetId]:
    return [
        target_id
        for target_id, record in sorted(state.record_by_target.items())
        if record.entry.service == service
        and target_id in index.target_by_id
        and not record.lost()
        and not index.is_out(record.entry)
    ]


def _probe(state: CoordinatorState, now: Seconds) -> list[Effect]:
    if now < state.table.probe_sent + TABLE_FRESH:
        return []
    state.table.probe_sent = now
    state.table.probe_token = next(state.context.tokens)
    name = coordinator_row(state.context.settings.instance.data_centre)
    return [ReadRows(state.table.probe_token, (name,))]


def _change_leases(state: CoordinatorState) -> list[Process]:
    """Bring leases in line with the rows, less what is leaving."""
    changed: list[Process] = []
    for target_id, record in state.record_by_target.items():
        if record.holder is None or record.stopping:
            continue
        slices = state.moves.slices_of(target_id)
        if slices == record.slices:
            continue
        record.change(state.next_fence(), slices)
        changed.append(record.holder)
    return changed


def _ready(state: CoordinatorState, now: Seconds, move: Move) -> bool:
    """Return whether a move's source can have nothing of it any more."""
    if move.step is not MoveStep.stopping:
        return False
    if move.source is None:
        return True
    source = state.record_by_target.get(move.source)
    if source is None:
        return now >= state.wait_until()
    if source.holder and source.slices & move.slices:
        return False
    return source.may_part(now)


def _write(state: CoordinatorState, now: Seconds) -> list[Effect]:
    """Write the rows of moves whose sources have let go."""
    authority = state.context.authority
    if state.moves.pending or authority.rows.pending:
        return []
    known = authority.rows.known

    token = next(state.context.tokens)
    fence = state.next_fence()
    name = coordinator_row(state.context.settings.instance.data_centre)
    ready = functools.partial(_ready, state, now)
    return list(
        state.moves.write(
            ready,
            fence,
            ChangeId(f'{authority.membership.me}/{fence}'),
            {name: known.version if known else ABSENT},
            token,
            now,
        ),
    )


def greet(state: CoordinatorState, now: Seconds) -> list[Effect]:
    """Tell those that are silent who the coordinator is."""
    if not state.table.loaded or now < state.upkeep.next_greeting:
        return []
    state.upkeep.next_greeting = now + GREETING_INTERVAL
    live = {process[0] for process in state.live_processes(now)}
    silent = [
        (name, Incarnation(0))
        for name in state.context.membership.everyone()
        if name not in live
    ]
    return state.wake(silent)


def _announce(state: CoordinatorState) -> list[Effect]:
    """Spread the map if it has changed."""
    rows = state.moves.rows
    holder_by_target = {
        target_id: record.holder[0]
        for target_id, record in state.record_by_target.items()
        if record.holder
    }
    shape = (dict(rows.fence_by_service), holder_by_target)
    if shape == state.upkeep.announced:
        return []
    state.upkeep.announced = shape
    map_by_service = {
        service: ServiceMap(
            tuple(owners),
            rows.fence_by_service.get(service, Fence(0)),
        )
        for service, owners in rows.owners_by_service.items()
    }
    # The number of a map is made like a fence, so that it only rises.
    number = Epoch(state.next_fence())
    return [AnnounceMap(RoutingMap(number, map_by_service, holder_by_target))]
