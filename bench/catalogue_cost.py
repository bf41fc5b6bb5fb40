"""What one change of the catalogue costs a daemon, by number of targets.

Run with `python -m bench.catalogue_cost`. The baseline beside the change is
the whole catalogue, sent and read in place of the difference.
"""

import random
import time
import tracemalloc

import msgspec

from bench.report import show_row
from cassialever.catalogue import (
    EMPTY_CATALOGUE,
    Catalogue,
    CatalogueIndex,
    DataCentreEntry,
    ServiceEntry,
    TargetEntry,
)
from cassialever.catalogue_changes import Origin, compare, stamp
from cassialever.relay import Members, Relay
from cassialever.spread import Spread
from cassialever.spread_messages import (
    CatalogueChanges,
    pack_changes,
    pack_whole,
    unpack_changes,
    unpack_whole,
)
from cassialever.types import (
    ChangeId,
    DataCentreId,
    InstanceId,
    RoutingClass,
    Seconds,
    ServiceName,
    TargetId,
)

SIZES = (1_000, 4_000, 12_000)
MEMBERS = 1_100
RUNS = 5
HERE = DataCentreId('here')
SERVICE = ServiceName('registry')
ORIGIN = Origin('ann', 'a reason of usual length', ChangeId('c' * 32))
COLUMNS = (
    'targets',
    'change B',
    'whole B',
    'packed B',
    'change ms',
    'index ms',
    'whole ms',
    'memory MB',
)


class Costs(msgspec.Struct):
    """The least of some runs, in seconds of process time."""

    change: Seconds = 1
    index: Seconds = 1
    whole: Seconds = 1


def main() -> None:
    """Print the table."""
    show_row(COLUMNS)
    for size in SIZES:
        _show_size(size)


def _show_size(size: int) -> None:
    catalogue = stamp(EMPTY_CATALOGUE, _catalogue(size), ORIGIN)
    following = stamp(catalogue, _edited(catalogue), ORIGIN)
    changes = pack_changes([compare(catalogue, following)])
    written = msgspec.json.encode(following)
    costs = Costs()
    for _ in range(RUNS):
        _measure(costs, catalogue, following, changes)
    show_row(
        (
            size,
            len(changes.body),
            len(written),
            len(pack_whole(following).body),
            costs.change * 1000,
            costs.index * 1000,
            costs.whole * 1000,
            _memory(written) / 1_000_000,
        ),
    )


def _measure(
    costs: Costs,
    catalogue: Catalogue,
    following: Catalogue,
    changes: CatalogueChanges,
) -> None:
    spread = _spread(catalogue)
    start = time.process_time()
    spread.follow(unpack_changes(changes), None)
    costs.change = min(costs.change, time.process_time() - start)
    start = time.process_time()
    CatalogueIndex(following)
    costs.index = min(costs.index, time.process_time() - start)
    whole = pack_whole(following)
    start = time.process_time()
    unpack_whole(whole)
    costs.whole = min(costs.whole, time.process_time() - start)


def _memory(written: bytes) -> int:
    """Return the bytes that a catalogue and its index hold."""
    tracemalloc.start()
    index = CatalogueIndex(msgspec.json.decode(written, type=Catalogue))
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert index.version
    return held


def _spread(catalogue: Catalogue) -> Spread:
    relay = Relay(InstanceId('m0'), HERE, random.Random(1))
    ids = [InstanceId(f'm{number}') for number in range(MEMBERS)]
    relay.adopt(Members({HERE: ids}))
    spread = Spread(relay, 0)
    spread.table_whole(catalogue)
    return spread


def _catalogue(size: int) -> Catalogue:
    service = ServiceEntry(
        owner='registry office',
        name=SERVICE,
        routing=RoutingClass.keyed,
    )
    data_centre = DataCentreEntry(owner='operations', data_centre_id=HERE)
    targets = tuple(_target(number) for number in range(size))
    return Catalogue((service,), targets, (data_centre,), ())


def _target(number: int) -> TargetEntry:
    return TargetEntry(
        owner='registry office',
        target_id=TargetId(f'registry-{number:05d}'),
        service=SERVICE,
        data_centre=HERE,
        address=f'10.0.{number // 250}.{number % 250}:8080',
    )


def _edited(catalogue: Catalogue) -> Catalogue:
    first, *rest = catalogue.targets
    edited = msgspec.structs.replace(first, owner='another office')
    return msgspec.structs.replace(catalogue, targets=(edited, *rest))


if __name__ == '__main__':
    main()
