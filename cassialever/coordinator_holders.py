"""Which daemon holds which target: lapses, gifts and planned changes."""

import collections

from cassialever.coordinator_state import CoordinatorState
from cassialever.membership import Process
from cassialever.target_record import TargetRecord
from cassialever.types import Seconds


def change_holders(state: CoordinatorState, now: Seconds) -> set[Process]:
    """Take and give what can be; return the processes concerned."""
    for record in state.record_by_target.values():
        _lapse(record, state, now)
        _drop_formers(record, state, now)
    return {*_give(state, now), *_take_from_leaving(state, now)}


def _lapse(
    record: TargetRecord,
    state: CoordinatorState,
    now: Seconds,
) -> None:
    """Take a target from a holder whose leases have ended unrenewed."""
    if record.holder is None or now < record.until:
        return
    # A holder that lives and was never told yet is about to be.
    if not record.until and record.holder in state.live_processes(now):
        return
    wait: Seconds = 0
    if not record.entry.checks.fence:
        wait = state.longest_request(record)
    record.lapse(wait, now)


def _drop_formers(
    record: TargetRecord,
    state: CoordinatorState,
    now: Seconds,
) -> None:
    """Forget former holders whose requests have surely ended."""
    if not record.former_by_process:
        return
    live = set(state.live_processes(now))
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
    leaving = [
        record
        for record in state.record_by_target.values()
        if _is_leaving(record, state)
    ]
    if not leaving:
        spare = _surplus(state, processes)
        leaving = [spare] if spare else []
    for record in leaving:
        record.stopping = True
        record.change(state.next_fence(), record.slices)
    return [one.holder for one in leaving if one.holder]


def _is_leaving(record: TargetRecord, state: CoordinatorState) -> bool:
    if record.holder is None or record.stopping:
        return False
    member = state.context.membership.member_by_id.get(record.holder[0])
    return bool(member and member.stopping)


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
        if record.holder not in processes or not record.acknowledged():
            continue
        if count_by_process[record.holder] > least + 1:
            return record
    return None
