"""Catalogues, messages and table operations of a given size."""

import asyncio
from collections.abc import Callable

import msgspec

from cassialever import codec
from cassialever import control_wire, wire  # noqa: F401, for codecs
from cassialever.catalogue import Catalogue, CatalogueIndex, TargetEntry
from cassialever.catalogue_changes import Origin, apply, compare, stamp
from cassialever.control_messages import (
    Heartbeat,
    HeartbeatAnswer,
    LeaseGrant,
    LeaseReport,
)
from cassialever.interfaces import RowWrite, Transaction
from cassialever.map_messages import pack_map
from cassialever.messages import RequestHead
from cassialever.routing import RoutingMap, ServiceMap
from cassialever.settings import PlatformSettings
from cassialever.spread_messages import pack_changes
from cassialever.table import HttpTable
from cassialever.types import (
    CallerId,
    ChangeId,
    DataCentreId,
    Epoch,
    Fence,
    Incarnation,
    InstanceId,
    RequestId,
    RowName,
    RowVersion,
    ServiceName,
    TargetId,
)
from standins.table import TableServer

HEADS = 1000
MAP_TARGETS = 100

_SERVICE = ServiceName('registry')


def _target_id(number: int) -> TargetId:
    return TargetId(f'registry-{number:05}')


def catalogue(targets: int) -> Catalogue:
    """Return a catalogue of so many targets."""
    entries = tuple(
        TargetEntry(
            owner='registry team',
            target_id=_target_id(number),
            service=_SERVICE,
            data_centre=DataCentreId('karaganda-1'),
            address='10.20.30.40:8080',
        )
        for number in range(targets)
    )
    return Catalogue((), entries, (), ())


def reading(targets: int) -> Callable[[], CatalogueIndex]:
    """Return work that reads a catalogue's bytes and indexes it."""
    body = msgspec.json.encode(catalogue(targets))
    return lambda: CatalogueIndex(msgspec.json.decode(body, type=Catalogue))


def _change(current: Catalogue, number: int) -> Catalogue:
    targets = list(current.targets)
    targets[number] = msgspec.structs.replace(targets[number], owner='other')
    origin = Origin('operator', 'handed over', ChangeId(str(number)))
    proposed = msgspec.structs.replace(current, targets=tuple(targets))
    return stamp(current, proposed, origin)


def applying(targets: int) -> Callable[[], object]:
    """Return work that applies a change of one entry and indexes the result."""
    current = catalogue(targets)
    change = compare(current, _change(current, 0))

    def work() -> CatalogueIndex:  # noqa: WPS430, set up stays outside.
        changed = apply(current, change)
        assert isinstance(changed, Catalogue)  # noqa: S101, narrows the type.
        return CatalogueIndex(changed)

    return work


def change_bytes(changes: int) -> float:
    """Return the size of a message of changes, one entry each."""
    current = catalogue(changes)
    made = []
    for number in range(changes):
        changed = _change(current, number)
        made.append(compare(current, changed))
        current = changed
    return len(codec.encode(pack_changes(made)))


def request_head(headers: int) -> RequestHead:
    """Return the head of a request with so many headers."""
    return RequestHead(
        request_id=RequestId('8c3258bf33904628bace721bbbfd3657'),
        caller=CallerId('centre-17'),
        service=_SERVICE,
        target_id=TargetId('registry-00001'),
        method='GET',
        path='/registry/KZ-00000017',
        headers=tuple(
            (f'X-Header-{number:02}', 'a value of some length')
            for number in range(headers)
        ),
        time_left_ms=2000,
        repeatable=True,
        has_body=False,
    )


def head_coding(headers: int) -> Callable[[], None]:
    """Return work that writes and reads a thousand heads."""
    head = request_head(headers)

    def work() -> None:  # noqa: WPS430, what is set up stays outside.
        for _ in range(HEADS):
            codec.decode(codec.encode(head))

    return work


def heartbeat(leases: int) -> Heartbeat:
    """Return a heartbeat that reports so many leases."""
    reports = [
        LeaseReport(target_id=_target_id(number), fence=Fence(1_000_000))
        for number in range(leases)
    ]
    return Heartbeat(
        sequence=1_000_000,
        epoch=Epoch(1000),
        reports=reports,
        rack='rack-1',
    )


def heartbeat_answer(leases: int) -> HeartbeatAnswer:
    """Return an answer that only renews."""
    grants = [
        LeaseGrant(target_id=_target_id(number), fence=Fence(1_000_000))
        for number in range(leases)
    ]
    return HeartbeatAnswer(
        sequence=1_000_000,
        epoch=Epoch(1000),
        incarnation=Incarnation(1_000_000),
        term=1,
        grants=grants,
    )


def map_bytes(slices: int) -> float:
    """Return the size of a map of 100 targets, each at its own daemon."""
    targets = [_target_id(number) for number in range(MAP_TARGETS)]
    owners = [targets[number % MAP_TARGETS] for number in range(slices)]
    holders = {name: InstanceId(f'daemon-{name}') for name in targets}
    routing_map = RoutingMap(
        Epoch(1),
        {_SERVICE: ServiceMap(owners, Fence(1))},
        holders,
    )
    packed = pack_map(DataCentreId('karaganda-1'), routing_map)
    return len(codec.encode(packed))


def size_of(message: msgspec.Struct) -> float:
    """Return a message's size between daemons."""
    return len(codec.encode(message))


def heartbeat_coding(leases: int) -> Callable[[], None]:
    """Return work that writes and reads heartbeats with their answers."""
    messages = (heartbeat(leases), heartbeat_answer(leases))

    def work() -> None:  # noqa: WPS430, what is set up stays outside.
        for _ in range(HEADS):
            for message in messages:
                codec.decode(codec.encode(message))

    return work


def commit(number: int) -> None:
    """Write one row so often, over a socket to the stand-in."""
    asyncio.run(_commit(number))


async def _commit(number: int) -> None:
    server = TableServer()
    server.faults.writes_per_second = number
    table = HttpTable(
        PlatformSettings(
            table_url=await server.start(),
            instances_url='http://127.0.0.1:1',
            reads_per_second=number * 1000,
            writes_per_second=number * 1000,
        ),
    )
    await table.start()
    for version in range(number):
        change_id = ChangeId(str(version))
        write = RowWrite(RowName('row'), RowVersion(version), bytes(1000))
        await table.commit(Transaction(change_id, (write,)))
    await table.stop()
    await server.stop()
