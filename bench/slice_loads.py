"""Slice maps and heat of a given size, to be measured."""

import random
from collections.abc import Callable

import msgspec
import numpy as np

from cassialever.balancer import plan_round
from cassialever.grouprows import encode_row, pack_group
from cassialever.heat import HeatView, ServiceHeat
from cassialever.rebalance import Budget
from cassialever.routing import ServiceMap
from cassialever.slices import GROUP_SLICES, SliceMap, groups
from cassialever.types import Fence, GroupIndex, Key, SliceIndex, TargetId

TARGETS = 100
HOT_KEYS = 200


def slice_map(slices: int, targets: int = TARGETS) -> SliceMap:
    """Return a map whose slices are dealt out in turns."""
    made = SliceMap(slices)
    for target in range(targets):
        made.index_of(TargetId(f'registry-{target:05}'))
    owners = np.arange(slices, dtype=np.int64) % targets
    made.owner_indexes[:slices] = owners  # noqa: WPS362, numpy fills in place.
    return made


def lookups(keys: int) -> Callable[[], None]:
    """Return work that finds the place of each key once."""
    made = slice_map(GROUP_SLICES * TARGETS)
    for hot in range(HOT_KEYS):
        made.split(hot)
    service = ServiceMap(made, Fence(1))
    wanted = [Key(f'KZ-{number:08}') for number in range(keys)]

    def work() -> None:  # noqa: WPS430, what is set up stays outside.
        for key in wanted:
            service.locate(key)

    return work


def row_bytes(targets: int) -> float:
    """Return the size of one group row."""
    made = slice_map(GROUP_SLICES, targets)
    return len(encode_row(pack_group(made, GroupIndex(0))))


def packing(slices: int) -> Callable[[], None]:
    """Return work that encodes every row of a map."""
    made = slice_map(slices)

    def work() -> None:  # noqa: WPS430, what is set up stays outside.
        for group in groups(made):
            encode_row(pack_group(made, group))

    return work


def planning(slices: int) -> Callable[[], object]:
    """Return work that plans a round after one target was lost."""
    made = slice_map(slices)
    view = HeatView(len(made), half_life=20)
    loads = np.random.default_rng(1).random(len(made))
    loads[slices:].fill(0)
    view.replace(loads)
    weights = np.ones(TARGETS)
    weights[0] = 0
    lost = weights == 0
    budget = Budget(slices=slices // 20)
    return lambda: plan_round(made, view, weights, lost, budget)


def counting(requests: int) -> Callable[[], None]:
    """Return work that counts requests for keys, few of them hot."""
    source = random.Random(1)  # noqa: S311
    keys = [int(source.paretovariate(0.9)) for _ in range(requests)]
    heat = ServiceHeat()

    def work() -> None:  # noqa: WPS430, what is set up stays outside.
        for key_hash in keys:
            heat.add(SliceIndex(key_hash % TARGETS), key_hash)

    return work


def report_bytes(slices: int) -> float:
    """Return the size of a report with 24 keys."""
    heat = ServiceHeat()
    for number in range(slices * TARGETS):
        heat.add(SliceIndex(number % slices), number)
    return len(msgspec.msgpack.encode(heat.report(10)))
