"""Validate a catalogue before it is accepted.

Types, ranges and string formats are checked first. References, unique names
and limits that depend on each other are checked only if the first step finds
no fault. All faults of a step are reported together, each with its line and
column.
"""

import collections
from collections.abc import Iterable, Iterator
from typing import Final, TypeAlias

from cassialever.catalogue.entries import (
    CallerEntry,
    Catalogue,
    ServiceEntry,
    TargetEntry,
)
from cassialever.documents.decoding import decode
from cassialever.documents.document import Fault
from cassialever.documents.nodes import Path
from cassialever.types import RoutingClass, ServiceName

#: HTTP methods that a service may list as repeatable; CONNECT is never
#: forwarded.
FORWARDED_METHODS: Final = frozenset(
    ('GET', 'HEAD', 'OPTIONS', 'POST', 'PUT', 'PATCH', 'DELETE'),
)

_SERVICES: Final = 'services'
_TARGETS: Final = 'targets'
_DATA_CENTRES: Final = 'data_centres'
_CALLERS: Final = 'callers'
_LIMITS: Final = 'limits'

#: The path of a faulty value and a sentence that describes the fault.
PathFault: TypeAlias = tuple[Path, str]


def load_catalogue(text: str) -> Catalogue | list[Fault]:
    """Decode and validate a catalogue, or return all its faults."""
    decoding = decode(text, Catalogue)
    if isinstance(decoding, list):
        return decoding
    faults = [
        decoding.document.fault_at_path(path, sentence)
        for path, sentence in find_faults(decoding.content)
    ]
    return sorted(faults) if faults else decoding.content


def find_faults(catalogue: Catalogue) -> Iterator[PathFault]:
    """Yield the faults of a decoded catalogue that types can't express."""
    yield from _name_faults(catalogue)
    yield from _address_faults(catalogue.targets)
    yield from _reference_faults(catalogue)
    yield from _service_faults(catalogue)
    for index, target in enumerate(catalogue.targets):
        yield from _target_limit_faults(index, target)
    yield from _caller_faults(catalogue)


def _name_faults(catalogue: Catalogue) -> Iterator[PathFault]:
    yield from _duplicate_faults(
        _SERVICES, [entry.name for entry in catalogue.services]
    )
    yield from _duplicate_faults(
        _TARGETS,
        [entry.target_id for entry in catalogue.targets],
    )
    yield from _duplicate_faults(
        _DATA_CENTRES,
        [entry.data_centre_id for entry in catalogue.data_centres],
    )
    yield from _duplicate_faults(
        _CALLERS,
        [entry.caller_id for entry in catalogue.callers],
    )


def _duplicate_faults(kind: str, names: Iterable[str]) -> Iterator[PathFault]:
    seen: set[str] = set()
    for index, name in enumerate(names):
        if name in seen:
            yield (kind, index, 'name'), f'Duplicate name "{name}".'
        seen.add(name)


def _address_faults(targets: Iterable[TargetEntry]) -> Iterator[PathFault]:
    name_by_address: dict[str, str] = {}
    for index, target in enumerate(targets):
        other = name_by_address.setdefault(target.address, target.target_id)
        if other != target.target_id:
            yield (
                (_TARGETS, index, 'address'),
                f'Target "{other}" has the same address.',
            )


def _reference_faults(catalogue: Catalogue) -> Iterator[PathFault]:
    services = {entry.name for entry in catalogue.services}
    data_centres = {entry.data_centre_id for entry in catalogue.data_centres}
    for index, target in enumerate(catalogue.targets):
        if target.service not in services:
            yield (
                (_TARGETS, index, 'service'),
                f'No service is named "{target.service}".',
            )
        if target.data_centre not in data_centres:
            yield (
                (_TARGETS, index, 'data_centre'),
                f'No data centre is named "{target.data_centre}".',
            )


def _service_faults(catalogue: Catalogue) -> Iterator[PathFault]:
    targets = collections.Counter(
        target.service for target in catalogue.targets
    )
    for index, service in enumerate(catalogue.services):
        yield from _timeout_faults(index, service)
        yield from _method_faults(index, service)
        yield from _slice_faults(index, service, targets)


def _slice_faults(
    index: int,
    service: ServiceEntry,
    targets: collections.Counter[ServiceName],
) -> Iterator[PathFault]:
    count = targets[service.name]
    if not count:
        yield (
            (_SERVICES, index, 'name'),
            f'The service "{service.name}" has no target.',
        )
    if service.routing is RoutingClass.keyed and service.slices < count:
        yield (
            (_SERVICES, index, 'slices'),
            f'{service.slices} slices are too few for {count} targets.',
        )


def _timeout_faults(index: int, service: ServiceEntry) -> Iterator[PathFault]:
    limits = service.limits
    longest = limits.longest_timeout_ms
    for name, timeout in (
        ('default_timeout_ms', limits.default_timeout_ms),
        ('attempt_timeout_ms', limits.attempt_timeout_ms),
    ):
        if timeout > longest:
            yield (
                (_SERVICES, index, _LIMITS, name),
                f'{timeout} ms exceeds "longest_timeout_ms" ({longest} ms).',
            )


def _method_faults(index: int, service: ServiceEntry) -> Iterator[PathFault]:
    for position, method in enumerate(service.repeatable_methods):
        if method in FORWARDED_METHODS:
            continue
        known = ', '.join(sorted(FORWARDED_METHODS))
        yield (
            (_SERVICES, index, 'repeatable_methods', position),
            f'"{method}" is not a method that is forwarded; forwarded are'
            f' {known}.',
        )


def _target_limit_faults(
    index: int,
    target: TargetEntry,
) -> Iterator[PathFault]:
    limits = target.limits
    if limits.cold_slots > limits.slots:
        yield (
            (_TARGETS, index, _LIMITS, 'cold_slots'),
            f'{limits.cold_slots} cold slots are more than the'
            f' {limits.slots} slots of the warm target.',
        )
    if limits.slots > limits.connections:
        yield (
            (_TARGETS, index, _LIMITS, 'slots'),
            f'{limits.slots} slots need as many connections, and only'
            f' {limits.connections} are allowed.',
        )


def _caller_faults(catalogue: Catalogue) -> Iterator[PathFault]:
    capacity = _total_capacity(catalogue)
    for index, caller in enumerate(catalogue.callers):
        if _exceeds_capacity(caller, capacity):
            yield (
                (_CALLERS, index, _LIMITS, 'requests_at_once'),
                'This limit has no effect: all targets and their queues'
                f' together hold {capacity} requests.',
            )


def _exceeds_capacity(caller: CallerEntry, capacity: int) -> bool:
    return bool(capacity) and caller.limits.requests_at_once > capacity


def _total_capacity(catalogue: Catalogue) -> int:
    """Return how many requests all targets and their queues can hold."""
    queue_by_service = {
        service.name: service.limits.queue_length
        for service in catalogue.services
    }
    return sum(
        target.limits.slots + queue_by_service.get(target.service, 0)
        for target in catalogue.targets
    )
