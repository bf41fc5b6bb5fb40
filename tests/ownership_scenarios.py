"""Faults that single rules of the ownership core are there for.

Each scenario is run with its rule, when nothing may go wrong, and without
it, when the checks of the fakes have to find a violation.
"""

from collections.abc import Callable

from cassialever.types import TargetId
from tests.ownership_fakes import TABLE, Daemon, World

WARM_UP = 4.0


def settle(seed: int, daemons: int = 4, unchecking: int = 0) -> World:
    """Return a fleet that serves every slice."""
    world = World(seed, daemons=daemons, unchecking=unchecking)
    world.run_for(WARM_UP)
    assert world.served(), 'the fleet did not come up'
    return world


def isolate(world: World, name: str, kept: tuple[str, ...] = ()) -> None:
    """Cut a daemon off from all other daemons but those kept."""
    world.note(f'isolate {name}')
    for other in world.names:
        if other != name and other not in kept:
            world.cuts.add(frozenset((name, other)))


def parts(world: World) -> tuple[Daemon, Daemon, Daemon, TargetId]:
    """Return coordinator, successor, one more holder and its target."""
    coordinator = world.daemons[world.coordinator() or '']
    known = coordinator.core.authority.rows.known
    assert known and known.row
    successor = world.daemons[known.row.successor]
    for name in world.names:
        holder = world.daemons[name]
        if holder in {coordinator, successor}:
            continue
        for target in holder.core.leases.lease_by_target:
            return coordinator, successor, holder, target
    raise AssertionError('no third daemon holds a target')


def frozen_target(world: World) -> None:
    """A target freezes with work in its socket and thaws after its loss."""
    _, _, holder, target = parts(world)
    world.targets[target].frozen = True
    for _ in range(4):
        holder.send_request()
    world.run_for(2.5)
    world.thaw(target)
    world.run_for(1.0)


def drifting_holder(world: World) -> None:
    """A holder is cut off; its clock is slow, its coordinator's is fast."""
    coordinator, _, holder, _ = parts(world)
    turn(coordinator, 1 + world.drift)
    turn(holder, 1 - world.drift)
    world.run_for(2.0 + world.random.random())
    isolate(world, holder.name)
    world.run_for(2.0)


def turn(daemon: Daemon, rate: float) -> None:
    """Let a daemon's clock run at another rate from now on."""
    now = daemon.now()
    daemon.clock.rate = rate
    daemon.clock.offset = now - rate * daemon.world.now


def unheard_holder(world: World) -> None:
    """The coordinator is lost and a holder can't reach the next one."""
    coordinator, successor, holder, _ = parts(world)
    world.run_for(world.random.random())
    isolate(world, holder.name, (coordinator.name,))
    # The holder gets its last lease just before the coordinator is lost.
    world.run_for(0.25)
    world.kill(coordinator.name)
    world.run_for(3.0)


def lost_answer(world: World) -> None:
    """A move's write commits, its answer is lost, its coordinator too."""
    coordinator, _, holder, target = parts(world)
    world.lose_answers = 1.0
    world.latest = 0.1
    world.lose_prefix = 'slices/'
    world.set_out(target, True)
    world.run_for(0.2 + world.random.random())
    world.set_out(target, False)
    world.run_for(2.5)
    world.lose_answers = 0.0
    isolate(world, holder.name)
    world.kill(coordinator.name)
    world.run_for(3.0)


def deaf_holder(world: World) -> None:
    """A target is taken out while its holder hears nothing."""
    _, _, holder, target = parts(world)
    isolate(world, holder.name)
    world.set_out(target, True)
    world.run_for(2.0)


def long_grant(world: World) -> None:
    """A holder loses its coordinator; its target is lost to all others."""
    _, _, holder, target = parts(world)
    world.run_for(world.random.random())
    isolate(world, holder.name)
    for name in world.names:
        if name != holder.name:
            world.cuts.add(frozenset((name, target)))
    # Work that its sender had checked in time arrives late.
    world.slow_work = 1.0
    world.set_out(target, True)
    for _ in range(16):
        holder.send_request()
        world.run_for(0.05)
    world.run_for(3.0)


def early_successor(world: World) -> None:
    """The successor is cut off just after it gave its promise."""
    coordinator, successor, holder, _ = parts(world)
    world.run_for(1.0 + world.random.random())
    world.cuts.add(frozenset((coordinator.name, TABLE)))
    world.cuts.add(frozenset((coordinator.name, successor.name)))
    world.cuts.add(frozenset((holder.name, successor.name)))
    world.run_for(3.0)


#: The scenario in which each rule is needed.
SCENARIOS: dict[str, Callable[[World], None]] = {
    'fence check': frozen_target,
    'drift margin': drifting_holder,
    'wait-out': unheard_holder,
    'read-back': lost_answer,
    'drain before grant': deaf_holder,
    'grant within lease': long_grant,
    'promise': early_successor,
}
