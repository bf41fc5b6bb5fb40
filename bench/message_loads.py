"""Catalogues, messages and table operations of a given size."""

from collections.abc import Callable

import msgspec

from cassialever import codec
from cassialever.catalogue import Catalogue, CatalogueIndex, TargetEntry
from cassialever.catalogue_changes import Origin, apply, compare, stamp
from cassialever.interfaces import RowWrite, Transaction
from cassialever.messages import RequestHead
from cassialever.settings import PlatformSettings
from cassialever.spread_messages import pack_changes
from cassialever.table import HttpTable
from cassialever.types import (
    CallerId,
    ChangeId,
    DataCentreId,
    RequestId,
    RowName,
    RowVersion,
    ServiceName,
    TargetId,
)
from standins.table import TableServer

HEADS = 1000

_SERVICE = ServiceName('registry')


def catalogue(targets: int) -> Catalogue:
    """Return a catalogue of so many targets."""
    entries = tuple(
        TargetEntry(
            owner='registry team',
            target_id=TargetId(f'registry-{number:05}'),
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


def _head(headers: int) -> RequestHead:
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


def head_bytes(headers: int) -> float:
    """Return the size of a forwarded request's head."""
    return len(codec.encode(_head(headers)))


def head_coding(headers: int) -> Callable[[], None]:
    """Return work that writes and reads a thousand heads."""
    head = _head(headers)

    def work() -> None:  # noqa: WPS430, what is set up stays outside.
        for _ in range(HEADS):
            codec.decode(codec.encode(head))

    return work


async def commits(number: int) -> None:
    """Write one row so often, over a socket to the stand-in."""
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
