"""What a coordinator does next: holders, slices, rows, the map."""

import collections

from cassialever.catalogue import CatalogueIndex
from cassialever.coordinator_state import CoordinatorState
from cassialever.events import Event
from cassialever.interfaces import ABSENT
from cassialever.moves import Move, MoveStep
from cassialever.ownership_effects import (
    AnnounceMap,
    Effect,
    LogEvent,
    ReadRows,
)
from cassialever.routing import RoutingMap, ServiceMap
from cassialever.rows import coordinator_row
from cassialever.target_record import Process, TargetRecord
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


def plan(state: CoordinatorState, now: Seconds) -> list[Effect]:
    """Do all that can be done now."""
    if not state.loaded or state.index is None:
        return []
    effects: list[Effect] = []
    woken: set[Process] = set()
    _lapse(state, now)
    _drop_formers(state, now)
    woken.update(_give(state, now))
    woken.update(_take_from_leaving(state, now))
    if not state.authority.unresolved:
        effects.extend(_begin_moves(state, state.index, now))
    woken.update(_change_leases(state))
    if not state.authority.unresolved:
        effects.extend(_write(state, now))
    effects.extend(state.wake(woken))
    effects.extend(_greet(state, now))
    effects.extend(_announce(state))
    return effects


def _lapse(state: CoordinatorState, now: Seconds) -> None:
    """Take targets from holders whose leases have ended unrenewed."""
    for record in state.record_by_target.values():
        if record.holder is None or now < record.until:
            continue
        if not record.until:
            # It was never told; nothing has been given.
            if record.holder in state.live_processes(now):
                continue
        wait: Seconds = 0
        if not record.entry.checks.fence:
            wait = state.longest_request(record)
        record.lapse(wait, now)


def _drop_formers(state: CoordinatorState, now: Seconds) -> None:
    """Forget former holders whose requests have surely ended."""
    live = set(state.live_processes(now))
    for record in state.record_by_target.values():
        for process, former in list(record.former_by_process.items()):
            gone = process not in live and record.entry.checks.fence
            if now >= former.give_up_at or gone:
                record.former_by_process.pop(process)


def _give(state: CoordinatorState, now: Seconds) -> list[Process]:
    """Give targets without a holder to those that hold the least."""
    processes = state.live_processes(now)
    if not processes:
        return []
    count_by_process = _counts(state)
    given: list[Process] = []
    for record in state.record_by_target.values():
        if record.holder or now < record.free_at:
            continue
        if not state.may_grant(record):
            continue
        process = min(processes, key=count_by_process.__getitem__)
        count_by_process[process] += 1
        state.give(record, process, now)
        given.append(process)
    return given


def _counts(state: CoordinatorState) -> collections.Counter[Process]:
    return collections.Counter(
        record.holder
        for record in state.record_by_target.values()
        if record.holder
    )


def _take_from_leaving(
    state: CoordinatorState,
    now: Seconds,
) -> list[Process]:
    """Have daemons that stop, or hold too many, let targets go."""
    processes = state.live_processes(now)
    if not processes:
        return []
    stopped: list[Process] = []
    members = state.membership.member_by_id
    for record in state.record_by_target.values():
        if record.holder is None or record.stopping:
            continue
        member = members.get(record.holder[0])
        if member and member.stopping:
            _stop(record, state)
            stopped.append(record.holder)
    spare = None if stopped else _surplus(state, processes)
    if spare and spare.holder:
        _stop(spare, state)
        stopped.append(spare.holder)
    return stopped


def _surplus(
    state: CoordinatorState,
    processes: list[Process],
) -> TargetRecord | None:
    """Return a target of a daemon that holds two more than another."""
    records = state.record_by_target.values()
    if any(record.stopping or not record.holder for record in records):
        return None
    count_by_process = _counts(state)
    least = min(count_by_process[process] for process in processes)
    for record in records:
        settled = record.holder and record.acknowledged()
        if not settled or record.holder not in processes:
            continue
        if count_by_process[record.holder] > least + 1:
            return record
    return None


def _stop(record: TargetRecord, state: CoordinatorState) -> None:
    record.stopping = True
    record.change(state.next_fence(), record.slices)


def _begin_moves(
    state: CoordinatorState,
    index: CatalogueIndex,
    now: Seconds,
) -> list[Effect]:
    """Begin moves, once the table has shown that it can take their write."""
    effects: list[Effect] = []
    for service in sorted(state.moves.rows.owners_by_service):
        targets = _usable(state, index, service)
        current = state.moves.rows.owners_by_service[service]
        if not targets:
            continue
        wanted = state.assign(current, targets, state.load_by_slice)
        if list(wanted) == list(current):
            continue
        if now > state.table_answered_at + TABLE_FRESH:
            return [*effects, *_probe(state, now)]
        begun = state.moves.plan(
            service,
            targets,
            state.assign,
            state.load_by_slice,
        )
        effects.extend(_begun(move) for move in begun)
    return effects


def _begun(move: Move) -> Effect:
    return LogEvent(
        Event.move_started,
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
        and not record.lost()
        and not index.is_out(record.entry)
    ]


def _probe(state: CoordinatorState, now: Seconds) -> list[Effect]:
    if now < state.probe_sent + TABLE_FRESH:
        return []
    state.probe_sent = now
    state.probe_token = next(state.tokens)
    name = coordinator_row(state.settings.instance.data_centre)
    return [ReadRows(state.probe_token, (name,))]


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


def _write(state: CoordinatorState, now: Seconds) -> list[Effect]:
    """Write the rows of moves whose sources have let go."""
    authority = state.authority
    if state.moves.pending or authority.rows.pending:
        return []
    known = authority.rows.known

    def ready(move: Move) -> bool:
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

    token = next(state.tokens)
    fence = state.next_fence()
    name = coordinator_row(state.settings.instance.data_centre)
    return list(
        state.moves.write(
            ready,
            fence,
            ChangeId(f'{authority.me}/{fence}'),
            {name: known.version if known else ABSENT},
            token,
            now,
        ),
    )


def _greet(state: CoordinatorState, now: Seconds) -> list[Effect]:
    """Tell those that are silent who the coordinator is."""
    if now < state.next_greeting:
        return []
    state.next_greeting = now + GREETING_INTERVAL
    live = {process[0] for process in state.live_processes(now)}
    silent = [
        (name, Incarnation(0))
        for name in state.membership.everyone()
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
    if shape == state.announced:
        return []
    state.announced = shape
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
