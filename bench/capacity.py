"""Measure what one more of each thing costs a daemon: `make capacity`.

Each line is timed at three sizes; see `bench.slopes`.
"""

import random
import tracemalloc
from typing import Final

import msgspec

from bench.report import show
from bench.slopes import line, timed
from cassialever.clock import SystemClock
from cassialever.fleet import messages
from cassialever.fleet.keyindex import KeyIndex
from cassialever.fleet.model import (
    KEY_COUNT,
    KeyMap,
    KeyRange,
    RequestKind,
    StartedAt,
    StoreRow,
)
from cassialever.fleet.view import FleetView
from cassialever.keys.heat import KeyHeat
from cassialever.policy.loads import LoadTracker
from cassialever.policy.placing import PlacementRequest, TargetSelector
from cassialever.policy.warmup import WarmUpLimiter
from cassialever.types import (
    DataCentreId,
    Fence,
    RowVersion,
    ServiceName,
    TargetId,
)

SERVICE: Final = ServiceName('registry')
CALLS: Final = 200
LOOKUPS: Final = 20_000


def rows_of(targets: int) -> list[StoreRow]:
    """Return the entries of targets, as the store has them."""
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


def view_of(targets: int) -> FleetView:
    """Return a view that knows so many targets."""
    view = FleetView(SystemClock())
    view.replace('servers', rows_of(targets), RowVersion(targets))
    return view


def map_of(ranges: int) -> KeyMap:
    """Return the owners of a service in so many runs."""
    width = KEY_COUNT // ranges
    return KeyMap(
        SERVICE,
        tuple(
            KeyRange(
                number * width,
                number * width + width - 1,
                TargetId(f'i-{number:010x}'),
                StartedAt(1000),
                Fence(7),
            )
            for number in range(ranges)
        ),
    )


def memory_of(targets: int) -> float:
    """Return the bytes that a view of so many targets holds."""
    rows = rows_of(targets)
    tracemalloc.start()
    view = FleetView(SystemClock())
    view.replace('servers', rows, RowVersion(targets))
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return held


def take_all(targets: int) -> float:
    """Return the time to take in all targets."""
    rows = rows_of(targets)
    return timed(lambda: _new_view().replace('servers', rows, RowVersion(1)))


def take_one(targets: int) -> float:
    """Return the time of one target's change among so many."""
    view = view_of(targets)
    row = rows_of(1)[0]

    def change() -> None:
        for number in range(CALLS):
            version = RowVersion(targets + number + 1)
            changed = StoreRow('servers', row.name, row.content, version)
            view.apply('servers', [changed], version)

    return timed(change) / CALLS


def whole_frame(targets: int) -> float:
    """Return the bytes of the frame that brings a follower all targets."""
    rows = rows_of(targets)
    whole = messages.Whole('servers', rows, RowVersion(targets))
    return len(messages.encode(whole))


def find_key(ranges: int) -> float:
    """Return the time of one look-up."""
    index = KeyIndex(map_of(ranges))
    keys = [random.Random(1).randrange(KEY_COUNT) for _ in range(LOOKUPS)]

    def find() -> None:
        for key in keys:
            index.find(key)

    return timed(find) / LOOKUPS


def encode_map(ranges: int) -> float:
    """Return the time to write a map out."""
    key_map = map_of(ranges)
    return timed(lambda: msgspec.msgpack.encode(key_map))


def map_bytes(ranges: int) -> float:
    """Return the bytes of a map."""
    return len(msgspec.msgpack.encode(map_of(ranges)))


def count_heat(keys: int) -> float:
    """Return the time to count keys that were asked for, and to fold."""
    draw = random.Random(1)
    asked = [draw.randrange(KEY_COUNT) for _ in range(keys)]
    heat = KeyHeat()

    def count() -> None:
        heat.count(asked)
        heat.update()

    return timed(count)


def choose_among(targets: int) -> float:
    """Return the time to place one request without a key."""
    view = view_of(targets)
    selector = TargetSelector(
        view,
        LoadTracker(),
        WarmUpLimiter(),
        DataCentreId('zone-1'),
        random.Random(1),
    )
    request = PlacementRequest(SERVICE, RequestKind.safe, -1, 1.0)

    def choose() -> None:
        for _ in range(CALLS):
            selector.choose(request, 0)

    return timed(choose) / CALLS


def _new_view() -> FleetView:
    return FleetView(SystemClock())


def show_targets() -> None:
    """Print what targets cost."""
    many = (1000, 4000, 12000)
    line('target known, memory', 'B', many, memory_of)
    line('target taken in, all at once', 'us', many, take_all)
    line('one target changed, for each known', 'us', many, take_one)
    line('frame of all targets', 'B a target', many, whole_frame)
    few = (20, 100, 500)
    line('place a request, for each target', 'us', few, choose_among)


def show_keys() -> None:
    """Print what keys cost."""
    ranges = (100, 1000, 10000)
    line('find the owner of a key, for each run', 'us', ranges, find_key)
    line('write a map of owners', 'us a run', ranges, encode_map)
    line('row of a map of owners', 'B a run', ranges, map_bytes)
    keys = (1000, 4000, 16000)
    line('count a key that was asked for', 'us', keys, count_heat)


def main() -> None:
    """Print every slope as a row of docs/CAPACITY.md."""
    show('| What | One more costs | Sizes | Worst error of the fit |')
    show('| --- | --- | --- | --- |')
    show_targets()
    show_keys()


if __name__ == '__main__':
    main()
