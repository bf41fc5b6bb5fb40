"""Reconstruct from daemons' logs which targets had a key, and why it moved."""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from types import MappingProxyType
from typing import Final

import msgspec

from cassialever.keys.key_events import FreeingFact
from cassialever.tool.key_findings import Finding, find_faults
from cassialever.tool.key_lines import (
    COMMON_EVENTS,
    SERVICE_EVENTS,
    TARGET_EVENTS,
    KeyLine,
    key_lines,
)
from cassialever.tool.log_lines import EventLine, TimelineStep, fill_in
from cassialever.tool.request_timeline import describe
from cassialever.types import Seconds


class Period(msgspec.Struct, frozen=True):
    """The time that is asked for; without an end if that is None."""

    start: Seconds | None = None
    end: Seconds | None = None

    def has(self, time: Seconds) -> bool:
        """Return whether a moment is in the period."""
        return self.overlaps(time, time)

    def overlaps(self, start: Seconds, end: Seconds | None) -> bool:
        """Return whether a time, up to now if it has no end, overlaps it."""
        is_before = (
            self.start is not None and end is not None and end < self.start
        )
        return not is_before and (self.end is None or start <= self.end)


class Tenure(msgspec.Struct, frozen=True):
    """The time in which a target had a key with one fence.

    `until` and `ended_by` are empty if the logs don't tell its end.
    """

    target: str
    started_at: int
    address: str
    process: int | None
    fence: int
    term: int
    granted_by: str
    since: Seconds
    until: Seconds | None = None
    ended_by: str = ''


class KeyHistory(msgspec.Struct, frozen=True):
    """What the logs tell about a key; `skipped` lines were unreadable."""

    service: str
    key: int
    tenures: tuple[Tenure, ...]
    findings: tuple[Finding, ...]
    steps: tuple[TimelineStep, ...]
    skipped: int = 0


class UnknownService(msgspec.Struct, frozen=True):
    """A service of whose keys the logs have no lines, and those that have."""

    service: str
    known_services: tuple[str, ...]


def build_history(
    lines: Iterable[EventLine | None],
    service: str,
    key: int,
    period: Period,
) -> KeyHistory | UnknownService:
    """Return the history of a key; findings rest on the time before too."""
    parsed = list(lines)
    known = key_lines(line for line in parsed if line is not None)
    services = {
        line.fields.service for line in known if line.name in SERVICE_EVENTS
    }
    # Lines of earlier builds don't name the service.
    if not services & {'', service}:
        return UnknownService(service, tuple(sorted(services)))
    about_key = [line for line in known if line.is_about(service, key)]
    return KeyHistory(
        service,
        key,
        tuple(
            tenure
            for tenure in _tenures(about_key)
            if period.overlaps(tenure.since, tenure.until)
        ),
        tuple(
            finding
            for finding in find_faults(known, about_key)
            if period.has(finding.time)
        ),
        tuple(
            TimelineStep(line.time, line.instance, _sentence(line, key))
            for line in _relevant(known, service, key)
            if period.has(line.time)
        ),
        parsed.count(None),
    )


def _relevant(
    known: Sequence[KeyLine], service: str, key: int
) -> Iterator[KeyLine]:
    """Return the lines about a key, its owners, the leaders and the store."""
    owners = {
        line.fields.target for line in known if line.is_about(service, key)
    }
    seen: set[tuple[str, str, int, str]] = set()
    for line in known:
        if line.name in COMMON_EVENTS or line.is_about(service, key):
            yield line
            continue
        # Each daemon logs a target's entry.
        what = (line.name, *line.life, line.fields.address)
        is_new = what not in seen and line.name in TARGET_EVENTS
        if is_new and line.fields.target in owners:
            seen.add(what)
            yield line


def _tenures(about_key: Sequence[KeyLine]) -> list[Tenure]:
    tenures: list[Tenure] = []
    for line in about_key:
        if tenures and not tenures[-1].ended_by:
            tenures[-1] = _continued(tenures[-1], line)
        if line.name == 'keys_granted':
            tenures.append(_tenure(line))
    return tenures


def _continued(tenure: Tenure, line: KeyLine) -> Tenure:
    """Return a tenure as it is after a line, which may end it."""
    ended_by = _end(tenure, line)
    if not ended_by:
        return tenure
    return msgspec.structs.replace(tenure, until=line.time, ended_by=ended_by)


def _end(tenure: Tenure, line: KeyLine) -> str:
    """Return by what a line ends a tenure; empty if it doesn't."""
    fields = line.fields
    if line.name == 'keys_granted':
        is_same = (tenure.target, tenure.started_at) == line.life
        owner = 'again' if is_same else f'to {fields.target}'
        return f'granted {owner} with fence {fields.fence}'
    if fields.target != tenure.target:
        return ''
    if line.name == 'keys_released':
        return FreeingFact.released.value
    if line.name == 'keys_freed':
        return _fact_text(fields.fact)
    return ''


def _tenure(line: KeyLine) -> Tenure:
    fields = line.fields
    return Tenure(
        fields.target,
        fields.started_at,
        fields.address,
        fields.process,
        fields.fence,
        fields.term,
        line.instance,
        line.time,
    )


def _fact_text(name: str) -> str:
    fact = FreeingFact.__members__.get(name)
    return name if fact is None else fact.value


def _sentence(line: KeyLine, key: int) -> str:
    template = _TEMPLATE_BY_EVENT.get(line.name)
    if template is None:
        return describe(line.line)
    described = {**line.line.fields, 'fact': _fact_text(line.fields.fact)}
    assigned = line.assigned(key)
    if assigned is not None:
        described.update(
            zip(('first', 'last', 'target', 'fence'), assigned, strict=True)
        )
    return fill_in(template, described)


_TEMPLATE_BY_EVENT: Final[Mapping[str, str]] = MappingProxyType(
    {
        'keys_granted': (
            '{target} at {address}, started at {started_at}, accepted keys'
            ' {first} to {last} with fence {fence} for {duration} s in term'
            ' {term} (process {process}, connection: {connection})'
        ),
        'grant_failed': (
            '{target} at {address}, started at {started_at}, did not accept'
            ' keys {first} to {last} with fence {fence} in term {term} ({end}:'
            ' {reason}; process that had: {known_process}, connection:'
            ' {connection}); free in {free_in} s'
        ),
        'keys_leaving': (
            'keys {first} to {last} with fence {fence} were moved away from'
            ' {target}: {reason}'
        ),
        'keys_released': (
            '{target} at {address} released keys {first} to {last} with fence'
            ' {fence} in term {term} (process {process}, connection:'
            ' {connection})'
        ),
        'release_failed': (
            '{target} at {address} did not release keys {first} to {last} with'
            ' fence {fence} in term {term} ({end}: {reason}); free in'
            ' {free_in} s'
        ),
        'keys_freed': (
            'keys {first} to {last}, which {target} had with fence {fence},'
            ' became free in term {term}: {fact}'
        ),
        'keys_assigned': (
            'keys {first} to {last} were assigned to {target} with fence'
            ' {fence} in term {term} (row {version})'
        ),
        'owner_ended': (
            '{target}, started at {started_at}, was taken for ended: another'
            ' target answered at {address}'
        ),
        'target_replaced': (
            '{target}, started at {started_at}, was known to have ended, since'
            ' another target answered at {address} (learned from'
            ' {learned_from})'
        ),
        'keys_inherited': (
            'term {term} began with {ranges} ranges of keys (map: {map}, row'
            ' {version}), the highest fence {highest_fence}'
        ),
        'leader_taken': (
            'this daemon became leader in term {version}; earlier ones:'
            ' {earlier}'
        ),
        'authority_lost': (
            'this daemon lost the lease of term {term} to {leader}'
        ),
        'target_seen': (
            'target {target} was seen at {address}, started at {started_at}'
            ' ({state})'
        ),
    }
)
