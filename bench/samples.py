"""Sample data whose size the benchmarks choose."""

from typing import Final

from cassialever.fleet.model import KEY_COUNT, KeyMap, KeyRange, StartedAt
from cassialever.types import Fence, ServiceName, TargetId

SERVICE: Final = ServiceName('registry')


def make_key_map(ranges: int) -> KeyMap:
    """Return a key map with a number of ranges."""
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
