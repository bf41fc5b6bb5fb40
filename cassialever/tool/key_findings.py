"""Find in daemons' logs what must not happen to a key."""

from collections.abc import Iterator, Sequence

import msgspec

from cassialever.keys.key_events import FreeingFact
from cassialever.tool.key_lines import (
    ACCEPTING_EVENTS,
    KeyLine,
    NumberedProcess,
    accepted_calls,
)
from cassialever.types import Seconds


class Finding(msgspec.Struct, frozen=True):
    """Something that must not be, or that may have led to it."""

    time: Seconds
    sentence: str
    #: Whether the lines show it; otherwise they only leave it open.
    is_shown: bool = True


def find_faults(
    lines: Sequence[KeyLine], about_key: Sequence[KeyLine]
) -> list[Finding]:
    """Return what is wrong in the lines about a key, by time.

    `lines` are those of all keys and services.
    """
    owners = {line.fields.target for line in about_key}
    findings = [
        *_fences_that_do_not_rise(about_key),
        *_owners_at_the_same_time(about_key),
        *_unanswered_grants(about_key),
        *_early_freed(lines, about_key),
        *_processes_of_two_targets(lines, owners),
        *_lost_maps(about_key),
        *_overtaken_terms(about_key),
    ]
    return sorted(findings, key=_time)


def _time(finding: Finding) -> Seconds:
    return finding.time


def _granted(about_key: Sequence[KeyLine]) -> list[KeyLine]:
    return [line for line in about_key if line.name == 'keys_granted']


def _fences_that_do_not_rise(
    about_key: Sequence[KeyLine],
) -> Iterator[Finding]:
    highest: KeyLine | None = None
    for line in _granted(about_key):
        if highest is not None and line.fields.fence <= highest.fields.fence:
            yield Finding(
                line.time,
                f'the fence {line.fields.fence} of {line.fields.target}'
                f' (process {line.fields.process}) is not above'
                f' {highest.fields.fence}, which {highest.fields.target}'
                f' (process {highest.fields.process}) had',
            )
            continue
        highest = line


def _owners_at_the_same_time(
    about_key: Sequence[KeyLine],
) -> Iterator[Finding]:
    owner: KeyLine | None = None
    for line in about_key:
        if line.name == 'keys_granted':
            if owner is not None and owner.life != line.life:
                yield Finding(
                    line.time,
                    f'{line.fields.target} got the key, and no line tells that'
                    f' {owner.fields.target} had lost it',
                )
            owner = line
        elif line.name in {'keys_freed', 'keys_released'}:
            owner = None


def _unanswered_grants(about_key: Sequence[KeyLine]) -> Iterator[Finding]:
    unanswered: dict[str, KeyLine] = {}
    for line in about_key:
        unanswered = _still_unanswered(unanswered, line)
        if line.name == 'keys_granted':
            for call in unanswered.values():
                yield _overtaken_call(call, line)
            unanswered = {}


def _still_unanswered(
    unanswered: dict[str, KeyLine], line: KeyLine
) -> dict[str, KeyLine]:
    """Return the last grants without an answer, by target, after a line."""
    target = line.fields.target
    if line.name == 'grant_failed' and line.fields.end == 'unknown':
        return {**unanswered, target: line}
    # A target that has accepted a fence rejects lower ones; `_early_freed`
    # reports targets that were taken for ended.
    is_settled = line.name == 'keys_granted' or (
        line.fields.fact == FreeingFact.owner_ended.name
    )
    if is_settled:
        return {one: call for one, call in unanswered.items() if one != target}
    return unanswered


def _overtaken_call(call: KeyLine, line: KeyLine) -> Finding:
    """Return that a grant without an answer may follow a later one."""
    left = call.time + call.fields.free_in - line.time
    sentence = (
        f'{line.fields.target} got the key with fence {line.fields.fence}; a'
        f' grant with fence {call.fields.fence} that {call.fields.target} did'
        f' not answer {_seconds(line.time - call.time)} before may be carried'
        ' out late'
    )
    if left > 0:
        sentence = f'{sentence}, and be in force for {_seconds(left)}'
    return Finding(line.time, sentence, is_shown=left > 0)


def _early_freed(
    lines: Sequence[KeyLine], about_key: Sequence[KeyLine]
) -> Iterator[Finding]:
    for line in about_key:
        if line.name != 'keys_freed' or line.fields.held_for <= 0:
            continue
        target = line.fields.target
        yield Finding(
            line.time,
            f'the key was taken from {target} {_seconds(line.fields.held_for)}'
            ' before its grant would have run out, since another target had'
            f' answered at its address; {_seen_there(lines, line.life)}',
            is_shown=False,
        )
        sign = _sign_of_life(lines, line)
        if sign is not None:
            yield Finding(
                sign.time,
                f'{target} had not ended: it accepted a call about keys'
                f' {_seconds(sign.time - line.time)} after its own were given'
                ' away',
            )


def _seen_there(lines: Sequence[KeyLine], life: tuple[str, int]) -> str:
    """Tell whether entries name another target at the address of one."""
    addresses = {
        line.fields.address
        for line in lines
        if line.name == 'owner_ended' and line.life == life
    }
    others = {
        line.fields.target
        for line in lines
        if line.name == 'target_seen' and line.fields.address in addresses
    } - {life[0]}
    if not others:
        return 'no entry names another target there'
    return f'entries name {", ".join(sorted(others))} there'


def _sign_of_life(lines: Sequence[KeyLine], freed: KeyLine) -> KeyLine | None:
    """Return a later answer of a process whose keys were freed."""
    return next(
        (
            line
            for line in lines
            if line.name in ACCEPTING_EVENTS
            and line.life == freed.life
            and line.time > freed.time
        ),
        None,
    )


def _processes_of_two_targets(
    lines: Sequence[KeyLine], owners: set[str]
) -> Iterator[Finding]:
    """Find processes that have accepted calls for an owner and for another."""
    known: dict[NumberedProcess, set[str]] = {}
    for process, line in accepted_calls(lines):
        target = line.fields.target
        targets = known.setdefault(process, set())
        if targets and target not in targets and owners & {target, *targets}:
            yield Finding(
                line.time,
                f'the process {line.fields.process} at'
                f' {line.fields.address} accepted calls for {target}, and'
                f' before for {", ".join(sorted(targets))}',
            )
        targets.add(target)


def _lost_maps(about_key: Sequence[KeyLine]) -> Iterator[Finding]:
    highest = 0
    for line in about_key:
        if line.name == 'keys_granted':
            highest = max(highest, line.fields.fence)
        if line.name != 'keys_inherited':
            continue
        if line.fields.highest_fence < highest:
            yield Finding(
                line.time,
                f'term {line.fields.term} began with the highest fence'
                f' {line.fields.highest_fence} (map: {line.fields.map}), and'
                f' {highest} had been granted',
            )
        elif line.fields.map not in {'row', 'missing'}:
            yield Finding(
                line.time,
                f'term {line.fields.term} began without the newest map of the'
                f' keys (map: {line.fields.map})',
            )


def _overtaken_terms(about_key: Sequence[KeyLine]) -> Iterator[Finding]:
    latest: KeyLine | None = None
    for line in _granted(about_key):
        if latest is not None and line.fields.term < latest.fields.term:
            yield Finding(
                line.time,
                f'{line.instance} granted the key in term {line.fields.term},'
                f' and {latest.instance} had in term {latest.fields.term}',
            )
            continue
        latest = line


def _seconds(seconds: Seconds) -> str:
    return f'{seconds:.3f} s'
