"""Explain decisions in sentences for non-technical readers."""

import datetime
import functools
from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

import msgspec

from cassialever.catalogue.entries import CatalogueIndex, Entry
from cassialever.errors import ANSWER_BY_KIND, EntryRef
from cassialever.operators.decisions import (
    Decision,
    Drained,
    Limited,
    MoveCause,
    Moved,
    Refused,
    entry_path,
)
from cassialever.types import (
    CallerId,
    DataCentreId,
    EntryKind,
    Seconds,
    ServiceName,
    TargetId,
    TargetState,
)

_PHRASE_BY_CAUSE: Final[Mapping[MoveCause, str]] = MappingProxyType(
    {
        MoveCause.balance: 'to even out the work',
        MoveCause.hot_key: 'because one key is asked for very often',
        MoveCause.target_out: 'because its target is being taken out',
        MoveCause.target_lost: 'because its target no longer answers',
        MoveCause.data_centre_out: 'because its data centre is taken out',
        MoveCause.returned: 'because a target has come back into service',
    },
)
_PHRASE_BY_STATE: Final[Mapping[TargetState, str]] = MappingProxyType(
    {
        TargetState.cold: 'has just started and is cold',
        TargetState.ramping: 'is warming up',
        TargetState.warm: 'is warm',
        TargetState.draining: 'is finishing its work',
        TargetState.lost: 'does not answer',
    },
)


class Explanation(msgspec.Struct, frozen=True):
    """One decision in words; `entry` is empty if no entry caused it."""

    at: Seconds
    sentence: str
    entry: str = ''
    entry_version: int = 0


def explain(
    decision: Decision,
    index: CatalogueIndex | None,
) -> Explanation:
    """Explain a decision and the catalogue entry that caused it."""
    decided_at = datetime.datetime.fromtimestamp(decision.at, datetime.UTC)
    head = f'At {decided_at:%Y-%m-%d %H:%M:%S} UTC'
    description = _describe(decision)
    entry = decision.entry
    if entry is None:
        return Explanation(decision.at, f'{head} {description}')
    entry_description = _describe_entry(entry, index)
    return Explanation(
        decision.at,
        f'{head} {description} {entry_description}',
        entry_path(entry),
        entry.version,
    )


def find_entry(index: CatalogueIndex, ref: EntryRef) -> Entry | None:
    """Return the entry as it is now; it may be newer than `ref`."""
    if ref.kind is EntryKind.service:
        return index.service_by_name.get(ServiceName(ref.name))
    if ref.kind is EntryKind.target:
        return index.target_by_id.get(TargetId(ref.name))
    if ref.kind is EntryKind.data_centre:
        return index.data_centre_by_id.get(DataCentreId(ref.name))
    return index.caller_by_id.get(CallerId(ref.name))


@functools.singledispatch
def _describe(decision: Decision) -> str:
    raise NotImplementedError(f'no description for {type(decision).__name__}')


@_describe.register
def _describe_refused(decision: Refused) -> str:
    answer = ANSWER_BY_KIND[decision.kind]
    result_words = 'was refused' if answer.not_run else 'failed'
    execution = 'It was not run.' if answer.not_run else 'It may have been run.'
    caller = f' of {decision.caller}' if decision.caller else ''
    service = f' to {decision.service}' if decision.service else ''
    return (
        f'request {decision.request_id}{caller}{service} {result_words}.'
        f' {answer.sentence} ({_capitalise(decision.reason)}.) {execution}'
    )


@_describe.register
def _describe_moved(decision: Moved) -> str:
    source = ''
    if decision.from_target:
        source = f' from {decision.from_target}'
    phrase = _PHRASE_BY_CAUSE[decision.cause]
    noun = 'share' if decision.slices == 1 else 'shares'
    return (
        f'{decision.slices} {noun} of the keys of {decision.service} went'
        f'{source} to {decision.target_id}, {phrase}.'
    )


@_describe.register
def _describe_drained(decision: Drained) -> str:
    return (
        f'{decision.target_id} stopped getting new work;'
        f' {decision.in_flight} requests were left to end in peace.'
    )


@_describe.register
def _describe_limited(decision: Limited) -> str:
    phrase = _PHRASE_BY_STATE[decision.state]
    return (
        f'{decision.target_id} was held to {decision.capacity} requests at'
        f' once, since it {phrase}.'
    )


def _capitalise(text: str) -> str:
    return f'{text[:1].upper()}{text[1:]}'


def _describe_entry(ref: EntryRef, index: CatalogueIndex | None) -> str:
    text = f'This follows from the catalogue entry {ref}'
    entry = find_entry(index, ref) if index else None
    if entry is None:
        return f'{text}, which is no longer there.'
    text = f'{text}, whose owner is {entry.owner}.'
    if entry.version != ref.version:
        return f'{text} It has been changed since, in {entry.version}.'
    if entry.reason:
        return f'{text} It was last changed for this reason: {entry.reason}.'
    return text
