"""Every fault at every step of every move: `make matrix` writes the table.

Each cell runs one move in virtual time, brings one fault about at one step
of it, checks safety after every event, and that no slice is unavailable for
longer than the bound after the fault.
"""

import argparse
import sys
from collections.abc import Callable
from pathlib import Path

import msgspec

from cassialever.types import TargetId
from tests.ownership_fakes import TABLE, Daemon, Violation, World
from tests.ownership_scenarios import isolate, parts

PAGE = Path('docs/fault-matrix.md')
#: Where the results of single moves wait for the others.
RESULTS = Path('build/fault-matrix.json')
SEED = 7
DAEMONS = 5
TARGETS = 4
SLICES = 6
#: Bounds in seconds of virtual time.
LOSS_BOUND = 3.0
LEAVE_BOUND = 5.0
#: For how long a fault that ends by itself lasts, in seconds.
LASTS = 2.0
#: How long a step is waited for, and what comes after is watched.
STEP_WITHIN = 3.0
WATCHED = 5.2


Cell = tuple[str, str, str]


class Cast(msgspec.Struct):
    """Who takes part in one cell."""

    world: World
    coordinator: Daemon
    successor: Daemon
    holder: Daemon
    target: TargetId

    def other_target(self) -> TargetId:
        """Return a target that the move is not about."""
        return next(name for name in self.world.targets if name != self.target)

    def end(self, action: Callable[[], None]) -> None:
        """End a fault after a while."""
        self.world.after(LASTS, action)


def take_out(cast: Cast) -> None:
    cast.world.set_out(cast.target, True)


def bring_back(cast: Cast) -> None:
    cast.world.set_out(cast.target, True)
    cast.world.run_for(1.0)
    cast.world.set_out(cast.target, False)


def lose_target(cast: Cast) -> None:
    cast.world.targets[cast.target].down = True


def stop_holder(cast: Cast) -> None:
    cast.world.stop(cast.holder.name)


def lose_holder(cast: Cast) -> None:
    cast.world.kill(cast.holder.name)


def stop_coordinator(cast: Cast) -> None:
    cast.world.stop(cast.coordinator.name)


def lose_coordinator(cast: Cast) -> None:
    cast.world.kill(cast.coordinator.name)


def lose_successor(cast: Cast) -> None:
    cast.world.kill(cast.successor.name)


def lose_both(cast: Cast) -> None:
    lose_coordinator(cast)
    lose_holder(cast)


def lose_coordinator_and_target(cast: Cast) -> None:
    lose_coordinator(cast)
    cast.world.targets[cast.other_target()].down = True


def lose_other_target(cast: Cast) -> None:
    cast.world.targets[cast.other_target()].down = True


def pause(daemon: Daemon, cast: Cast) -> None:
    daemon.paused = True
    cast.end(daemon.resume)


def pause_coordinator(cast: Cast) -> None:
    pause(cast.coordinator, cast)


def pause_holder(cast: Cast) -> None:
    pause(cast.holder, cast)


def freeze_target(cast: Cast) -> None:
    cast.holder.send_request()
    cast.world.targets[cast.target].frozen = True
    cast.end(lambda: cast.world.thaw(cast.target))


def restart_target(cast: Cast) -> None:
    cast.world.targets[cast.target].restart()


def table_down(cast: Cast) -> None:
    cast.world.table_up = False
    cast.end(lambda: setattr(cast.world, 'table_up', True))


def table_slow(cast: Cast) -> None:
    cast.world.table_delay = 0.4
    cast.end(lambda: setattr(cast.world, 'table_delay', 0.005))


def lose_answers(cast: Cast) -> None:
    cast.world.lose_answers = 1.0
    cast.end(lambda: setattr(cast.world, 'lose_answers', 0.0))


def cut_from_table(cast: Cast) -> None:
    cast.world.cuts.add(frozenset((cast.coordinator.name, TABLE)))
    cast.end(cast.world.cuts.clear)


def cut_coordinator(cast: Cast) -> None:
    isolate(cast.world, cast.coordinator.name)
    cast.end(cast.world.cuts.clear)


def cut_holder(cast: Cast) -> None:
    isolate(cast.world, cast.holder.name)
    cast.end(cast.world.cuts.clear)


def cut_from_target(cast: Cast) -> None:
    cast.world.cuts.add(frozenset((cast.holder.name, cast.target)))
    cast.end(cast.world.cuts.clear)


def bad_network(cast: Cast) -> None:
    world = cast.world
    world.drop = world.duplicate = 0.2
    world.slow = 0.05

    def heal() -> None:
        world.drop = world.duplicate = world.slow = 0.0

    cast.end(heal)


def race_edit(cast: Cast) -> None:
    cast.world.set_out(cast.other_target(), True)
    cast.world.set_out(cast.target, False)


MOVES: dict[str, Callable[[Cast], None]] = {
    'target taken out': take_out,
    'target returned': bring_back,
    'target lost': lose_target,
    'holder stops': stop_holder,
    'holder lost': lose_holder,
    'coordinator stops': stop_coordinator,
    'coordinator lost': lose_coordinator,
}
STEPS = {
    'begun': '',
    'asked to report': 'HeartbeatWanted',
    'lease changed': 'HeartbeatAnswer',
    'draining': 'Drain',
    'row sent': 'CommitRows',
    'row written': 'written',
    'target granted': 'GrantTarget',
    'map spread': 'AnnounceMap',
}
FAULTS: dict[str, Callable[[Cast], None]] = {
    'coordinator lost': lose_coordinator,
    'coordinator paused': pause_coordinator,
    'coordinator cut off': cut_coordinator,
    'coordinator cut from table': cut_from_table,
    'successor lost': lose_successor,
    'holder lost': lose_holder,
    'holder paused': pause_holder,
    'holder cut off': cut_holder,
    'holder cut from target': cut_from_target,
    'coordinator and holder lost': lose_both,
    'coordinator and target lost': lose_coordinator_and_target,
    'another target lost': lose_other_target,
    'target frozen and back': freeze_target,
    'target restarted': restart_target,
    'table down': table_down,
    'table slow': table_slow,
    'table answers lost': lose_answers,
    'messages lost, doubled, late': bad_network,
    'operators race': race_edit,
}
#: Faults in which a write may have to wait until they end.
TABLE_FAULTS = ('table down', 'table slow', 'table answers lost')


def run_cell(move: str, step: str, fault: str, seed: int = SEED) -> str:
    """Return `ok`, `-` if the step does not come, or what went wrong."""
    world = World(seed, DAEMONS, TARGETS, SLICES)
    world.run_for(4.0, checked=False)
    cast = Cast(world, *parts(world))
    reached: list[float] = []

    def strike() -> None:
        reached.append(world.now)
        FAULTS[fault](cast)

    try:
        MOVES[move](cast)
        return _after(cast, move, step, fault, reached, strike)
    except Violation as broken:
        return f'unsafe: {broken}'


def _after(
    cast: Cast,
    move: str,
    step: str,
    fault: str,
    reached: list[float],
    strike: Callable[[], None],
) -> str:
    world = cast.world
    if STEPS[step]:
        world.watch(STEPS[step], strike)
    else:
        strike()
    end = world.now + STEP_WITHIN
    while not reached and world.now < end:
        world.run_for(0.005)
    if not reached:
        return '-'
    bound = LOSS_BOUND + (LASTS if fault in TABLE_FAULTS else 0)
    worst = max(world.outage(WATCHED, 0.02))
    if worst > bound:
        return f'unavailable for {worst:.2f} s'
    if not world.served():
        return 'not served at the end'
    if move == 'target taken out' and fault != 'operators race':
        return _left(cast)
    return 'ok'


def _left(cast: Cast) -> str:
    """A target taken out owns nothing any more."""
    for number in range(SLICES):
        if cast.target in cast.world.acceptors(number):
            return f'still owns slice {number}'
    return 'ok'


def page(result_by_cell: dict[Cell, str]) -> str:
    """Write the results as a page."""
    lines = [
        '# Fault matrix',
        '',
        'Written by `make matrix`. Rows are faults, columns the steps of a',
        'move; each cell checked safety after every event and, in virtual',
        f'time, that no slice was unavailable for over {LOSS_BOUND:g} s',
        f'after the fault (plus {LASTS:g} s of table fault where the table',
        'is what fails). `-`: the move has no such step. A target taken out',
        f'owned nothing {WATCHED:g} s after the fault.',
        f'World seed {SEED}; {DAEMONS} daemons, {TARGETS} targets,',
        f'{SLICES} slices; faults that end last {LASTS:g} s.',
        '',
    ]
    reds: list[str] = []
    for move in MOVES:
        lines.extend([f'## {move.capitalize()}', ''])
        lines.append('| Fault | ' + ' | '.join(STEPS) + ' |')
        lines.append('| --- |' + ' --- |' * len(STEPS))
        for fault in FAULTS:
            cells = [result_by_cell[move, step, fault] for step in STEPS]
            shown = [c if c in {'ok', '-'} else 'RED' for c in cells]
            lines.append(f'| {fault} | ' + ' | '.join(shown) + ' |')
        lines.append('')
    for (move, step, fault), outcome in result_by_cell.items():
        if outcome not in {'ok', '-'}:
            reds.append(f'- {move}, {step}, {fault}: {outcome}')
    passed = sum(1 for o in result_by_cell.values() if o == 'ok')
    lines.append(f'{passed} cells passed, {len(reds)} red.')
    lines.extend(['', *reds] if reds else [])
    return '\n'.join(lines) + '\n'


def main() -> int:
    """Run every cell and write the page."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--move', choices=sorted(MOVES), default=None)
    options = parser.parse_args()
    moves = [options.move] if options.move else list(MOVES)
    outcome_by_cell = _kept()
    for move in moves:
        outcome_by_cell.update(_run_move(move))
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_bytes(msgspec.json.encode(list(outcome_by_cell.items())))
    missing = [move for move in MOVES if not _has(outcome_by_cell, move)]
    if missing:
        print(f'not run yet: {", ".join(missing)}')
    else:
        PAGE.parent.mkdir(exist_ok=True)
        PAGE.write_text(page(outcome_by_cell), encoding='utf-8')
    chosen = [o for cell, o in outcome_by_cell.items() if cell[0] in moves]
    red = sum(1 for outcome in chosen if outcome not in {'ok', '-'})
    print(f'{chosen.count("ok")} cells passed, {red} red')
    return 1 if red else 0


def _run_move(move: str) -> dict[Cell, str]:
    outcome_by_cell = {}
    for step in STEPS:
        for fault in FAULTS:
            outcome = run_cell(move, step, fault)
            outcome_by_cell[move, step, fault] = outcome
            if outcome not in {'ok', '-'}:
                print(f'{move}, {step}, {fault}: {outcome}', flush=True)
    return outcome_by_cell


def _has(outcome_by_cell: dict[Cell, str], move: str) -> bool:
    return any(cell[0] == move for cell in outcome_by_cell)


def _kept() -> dict[Cell, str]:
    """Return the results of single moves that were run before."""
    if not RESULTS.exists():
        return {}
    kept = msgspec.json.decode(
        RESULTS.read_bytes(), type=list[tuple[Cell, str]]
    )
    return dict(kept)


if __name__ == '__main__':
    sys.exit(main())
