"""Measure how a daemon's costs grow with its load: `make capacity`.

Each cost is measured at three sizes; see `bench.slopes`. Times are processor
times in microseconds.
"""

import random
import tracemalloc
from typing import Final

import msgspec

from bench.fleet_capacity import print_fleet_costs
from bench.report import print_line
from bench.samples import SERVICE, make_key_map
from bench.slopes import cpu_time, print_slope
from cassialever.clock import SystemClock
from cassialever.fleet import messages
from cassialever.fleet.keyindex import KeyIndex
from cassialever.fleet.model import KEY_COUNT, RequestKind, StoreRow
from cassialever.fleet.view import FleetView
from cassialever.keys.heat import KeyHeat
from cassialever.policy.loads import LoadTracker
from cassialever.policy.placing import PlacementRequest, TargetSelector
from cassialever.policy.permits import PermitLimiter
from cassialever.policy.subsets import TargetSubsets
from cassialever.types import DataCentreId, InstanceId, RowVersion

CALL_COUNT: Final = 200
LOOKUP_COUNT: Final = 20_000


def make_rows(targets: int) -> list[StoreRow]:
    """Return the store's rows for a number of targets."""
    rows = []
    for number in range(targets):
        entry = {
            'address': f'10.1.{number // 250}.{number % 250}:8707',
            'born': 1000,
            'info': {
                'upstream': SERVICE,
                'version': 'v1',
                'zone': f'zone-{number % 11}',
                'capacity': 6,
            },
            'status': {'state': 'ready', 'sequence': 4, 'warmup_left_ms': 0},
        }
        content = msgspec.json.encode(entry)
        name = f'i-{number:010x}'
        version = RowVersion(number + 1)
        rows.append(StoreRow('servers', name, content, version))
    return rows


def make_view(targets: int) -> FleetView:
    """Return a view with a number of targets."""
    view = FleetView(SystemClock())
    view.replace('servers', make_rows(targets), RowVersion(targets))
    return view


def view_memory(targets: int) -> float:
    """Return the memory of a view with a number of targets, in bytes."""
    rows = make_rows(targets)
    tracemalloc.start()
    view = FleetView(SystemClock())
    view.replace('servers', rows, RowVersion(targets))
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return memory


def full_update_time(targets: int) -> float:
    """Return the time to load all targets into an empty view."""
    rows = make_rows(targets)
    return cpu_time(lambda: _new_view().replace('servers', rows, RowVersion(1)))


def single_update_time(targets: int) -> float:
    """Return the time to apply a change of one target to a view."""
    view = make_view(targets)
    row = make_rows(1)[0]

    def change() -> None:
        for number in range(CALL_COUNT):
            version = RowVersion(targets + number + 1)
            changed = StoreRow('servers', row.name, row.content, version)
            view.apply('servers', [changed], version)

    return cpu_time(change) / CALL_COUNT


def full_frame_size(targets: int) -> float:
    """Return the size of a frame with all targets, in bytes."""
    rows = make_rows(targets)
    snapshot = messages.Whole('servers', rows, RowVersion(targets))
    return len(messages.encode(snapshot))


def lookup_time(ranges: int) -> float:
    """Return the time to look up the owner of a key."""
    index = KeyIndex(make_key_map(ranges))
    keys = [random.Random(1).randrange(KEY_COUNT) for _ in range(LOOKUP_COUNT)]

    def find() -> None:
        for key in keys:
            index.find(key)

    return cpu_time(find) / LOOKUP_COUNT


def map_encoding_time(ranges: int) -> float:
    """Return the time to encode a key map."""
    key_map = make_key_map(ranges)
    return cpu_time(lambda: msgspec.msgpack.encode(key_map))


def map_size(ranges: int) -> float:
    """Return the size of an encoded key map, in bytes."""
    return len(msgspec.msgpack.encode(make_key_map(ranges)))


def heat_count_time(keys: int) -> float:
    """Return the time to count requested keys and update their heat."""
    random_source = random.Random(1)
    requested_keys = [random_source.randrange(KEY_COUNT) for _ in range(keys)]
    heat = KeyHeat()

    def count() -> None:
        heat.count(requested_keys)
        heat.update()

    return cpu_time(count)


def placement_time(targets: int) -> float:
    """Return the time to choose a target for a request without a key."""
    view = make_view(targets)
    selector = TargetSelector(
        view,
        LoadTracker(),
        PermitLimiter(),
        TargetSubsets(InstanceId('edge-1'), DataCentreId('zone-1')),
        random.Random(1),
    )
    request = PlacementRequest(SERVICE, RequestKind.safe, -1, 1.0)

    def choose() -> None:
        for _ in range(CALL_COUNT):
            selector.choose(request, 0)

    return cpu_time(choose) / CALL_COUNT


def _new_view() -> FleetView:
    return FleetView(SystemClock())


def print_target_costs() -> None:
    """Print the costs that grow with the number of targets."""
    large_sizes = (1000, 4000, 12000)
    print_slope('memory of a known target', 'B', large_sizes, view_memory)
    print_slope(
        'full update of the view, per target',
        'us',
        large_sizes,
        full_update_time,
    )
    print_slope(
        'change of one target, per known target',
        'us',
        large_sizes,
        single_update_time,
    )
    print_slope(
        'full snapshot frame', 'B per target', large_sizes, full_frame_size
    )
    small_sizes = (20, 100, 500)
    print_slope(
        'choice of a target, per target', 'us', small_sizes, placement_time
    )


def print_key_costs() -> None:
    """Print the costs that grow with the number of key ranges or keys."""
    ranges = (100, 1000, 10000)
    print_slope(
        "lookup of a key's owner, per key range", 'us', ranges, lookup_time
    )
    print_slope(
        'encoding of a key map', 'us per range', ranges, map_encoding_time
    )
    print_slope('size of a key map', 'B per range', ranges, map_size)
    keys = (1000, 4000, 16000)
    print_slope('counting of a requested key', 'us', keys, heat_count_time)


def main() -> None:
    """Print every slope as a row of the table in docs/CAPACITY.md."""
    print_line(
        '| Operation | Cost per added item | Sizes | Largest error of the fit |'
    )
    print_line('| --- | --- | --- | --- |')
    print_target_costs()
    print_key_costs()
    print_fleet_costs()


if __name__ == '__main__':
    main()
