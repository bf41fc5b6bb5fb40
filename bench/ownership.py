"""Time that keys are unavailable, and what ownership costs the table.

Run with `python -m bench.ownership`. All times are virtual: the real core
runs on the fakes of the tests; messages take about 1 ms, the table 5 ms.
"""

import statistics
import sys
from collections.abc import Callable, Sequence

from bench.report import seed_from, show, show_row
from bench.store_only import StoreOnly
from tests.ownership_fakes import SERVICE, World
from tests.ownership_scenarios import parts

SEED = 1
RUNS = 10
DAEMONS = 8
TARGETS = 8
SLICES = 32
WARM_UP = 4.0
WATCHED = 6.0
OUTAGE = 20.0
CALM = 20.0
STEP = 0.005

Fault = Callable[[World], None]
Row = tuple[str, Fault, Callable[[], float]]


def lose_target(world: World) -> None:
    """Lose a target that the coordinator's daemon does not hold."""
    _, _, _, target = parts(world)
    world.targets[target].down = True


def lose_daemon(world: World) -> None:
    """Lose a daemon that neither coordinates nor is next."""
    _, _, holder, _ = parts(world)
    world.kill(holder.name)


def lose_coordinator(world: World) -> None:
    """Lose the coordinator's daemon."""
    world.kill(world.coordinator() or '')


def lose_both(world: World) -> None:
    """Lose the coordinator and one more daemon at once."""
    coordinator, _, holder, _ = parts(world)
    world.kill(coordinator.name)
    world.kill(holder.name)


def lose_successor_too(world: World) -> None:
    """Lose the coordinator and its successor at once."""
    coordinator, successor, _, _ = parts(world)
    world.kill(coordinator.name)
    world.kill(successor.name)


def lose_rack(world: World) -> None:
    """Lose the coordinator's rack: half of the daemons."""
    lost = world.daemons[world.coordinator() or '']
    for daemon in world.daemons.values():
        if daemon.rack == lost.rack:
            world.kill(daemon.name)


def take_out(world: World) -> None:
    """Take a target out of service by its entry."""
    _, _, _, target = parts(world)
    world.set_out(target, out=True)


def stop_daemon(world: World) -> None:
    """Stop a daemon gracefully."""
    world.stop(parts(world)[2].name)


def stop_coordinator(world: World) -> None:
    """Stop the coordinator's daemon gracefully."""
    world.stop(world.coordinator() or '')


def table_away(world: World) -> None:
    """Take the table away for a while."""
    world.table_up = False
    world.after(OUTAGE, lambda: setattr(world, 'table_up', True))


def measure(fault: Fault, seed: int, watched: float) -> list[float]:
    """Return how long each slice that was hit was unavailable, in ms."""
    hit: list[float] = []
    for run in range(RUNS):
        world = fleet(seed + run)
        world.run_for(world.random.random(), checked=False)
        fault(world)
        worst = world.outage(watched, STEP)
        if not world.served():
            sys.exit(f'seed {seed + run}: not served at the end')
        hit.extend(span * 1000 for span in worst if span)
    return hit


def fleet(seed: int) -> World:
    """Return a fleet that serves every slice."""
    world = World(seed, DAEMONS, TARGETS, SLICES)
    world.run_for(WARM_UP, checked=False)
    if not world.served():
        sys.exit(f'seed {seed}: {SERVICE} did not come up')
    return world


def show_times(name: str, ours: Sequence[float], base: Sequence[float]) -> None:
    """Print one row: median and worst of the slices hit, and the baseline's."""
    cells: list[str | float] = [name]
    for spans in (ours, base):
        known = spans or [float(0)]
        cells.extend((statistics.median(known), max(known)))
    cells.append(len(ours))
    show_row(cells)


def show_table(seed: int) -> None:
    """Print reads and writes of the table a second."""
    base = StoreOnly(seed, DAEMONS, TARGETS)
    show('\nTable operations a second, one partition of a data centre')
    show_row(('', 'writes', 'reads', 'base writes', 'base reads'))
    based = (base.writes_per_second(), base.reads_per_second())
    world = fleet(seed)
    show_row(('calm', *_rate(world, CALM), *based))
    lose_rack(world)
    show_row(('rack lost, 5 s', *_rate(world, 5.0), *based))
    world = fleet(seed)
    table_away(world)
    show_row(('table away', *_rate(world, OUTAGE), *based))
    show_row(('its return, 5 s', *_rate(world, 5.0), *based))


def _rate(world: World, span: float) -> tuple[float, float]:
    writes, reads = world.table_writes, world.table_reads
    world.run_for(span, checked=False)
    return (
        (world.table_writes - writes) / span,
        (world.table_reads - reads) / span,
    )


def main() -> int:
    """Print both tables."""
    seed = seed_from(sys.argv, SEED)
    base = StoreOnly(seed, DAEMONS, TARGETS)
    rows: tuple[Row, ...] = (
        ('target lost', lose_target, base.target_lost),
        ('daemon lost', lose_daemon, base.holder_lost),
        ('coord. lost', lose_coordinator, base.holder_lost),
        ('coord.+daemon', lose_both, base.holder_lost),
        ('coord.+successor', lose_successor_too, base.holder_lost),
        ('rack lost', lose_rack, base.holder_lost),
        ('target out', take_out, base.planned),
        ('daemon stops', stop_daemon, base.planned),
        ('coord. stops', stop_coordinator, base.planned),
        ('table away 20 s', table_away, lambda: base.table_away(OUTAGE)),
    )
    show(f'Milliseconds that slices are unavailable; seed {seed}, {RUNS} runs')
    show(f'{DAEMONS} daemons, {TARGETS} targets, {SLICES} slices')
    show_row(('', 'median', 'worst', 'base median', 'base worst', 'slices'))
    for name, fault, baseline in rows:
        watched = OUTAGE + 2 if fault is table_away else WATCHED
        spans = measure(fault, seed, watched)
        based = [baseline() * 1000 for _ in range(SLICES * RUNS)]
        show_times(name, spans, based)
    show_table(seed)
    return 0


if __name__ == '__main__':
    sys.exit(main())
