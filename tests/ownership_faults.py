"""Faults of the ownership of keys, one by one, in pairs and at random.

Everything runs in virtual time on the real core. The checks are those of
the world: no two targets hold a key at once, and fences rise from owner to
owner. After the last fault every key must be held again.
"""

import asyncio
from collections.abc import Callable

import msgspec

from cassialever.fleet import messages
from cassialever.fleet.lease import AUTHORITY_TERM
from cassialever.keys.holdings import HOLD, LONGEST_HOLD, HoldingState
from tests.fleet_helpers import VirtualLoop, run_virtually
from tests.keeper_fakes import Daemon, FakeTarget, World

#: Within this time keys are to be served again after a loss.
SERVED_AGAIN = 3.0 + HOLD
#: How long a fault lasts that ends by itself.
LASTS = 2.0
#: An earlier leader may renew for its term, and its last grants outlast it.
FORMER_LEADER = AUTHORITY_TERM + LONGEST_HOLD
#: Time between two tries of a daemon to lead.
TRY_EVERY = 0.1
#: Steps of one random run, and the time between them.
STEPS = 120
STEP = 0.25


class Cast(msgspec.Struct):
    """A world with daemons, one of which leads, and a move under way."""

    world: World
    daemons: list[Daemon]

    def leader(self) -> Daemon:
        """Return the daemon that leads, or any while none does."""
        leading = [one for one in self.daemons if one.is_leading()]
        return (leading or self.daemons)[0]

    def target(self) -> FakeTarget:
        """Return the target whose keys are on the move, if any is."""
        keeper = self.leader().keeper.keeper_by_service.get('registry')
        leaving = keeper.holdings.leaving() if keeper else []
        for holding in leaving:
            for target in self.world.targets.values():
                if target.name == holding.owner:
                    return target
        return next(iter(self.world.targets.values()))

    def later(self, action: Callable[[], None]) -> None:
        """End a fault after a while."""
        self.world.later(LASTS, action)


def kill_leader(cast: Cast) -> None:
    cast.leader().kill()


def kill_all(cast: Cast) -> None:
    for daemon in cast.daemons:
        daemon.kill()


def cut_leader_from_store(cast: Cast) -> None:
    store = cast.leader().store
    store.is_cut = True
    cast.later(lambda: setattr(store, 'is_cut', False))


def cut_leader_from_targets(cast: Cast) -> None:
    orders = cast.leader().orders
    orders.is_cut = True
    cast.later(lambda: setattr(orders, 'is_cut', False))


def cut_leader_from_target(cast: Cast) -> None:
    orders, address = cast.leader().orders, cast.target().address
    orders.cut_from.add(address)
    cast.later(lambda: orders.cut_from.discard(address))


def cut_leader_from_all(cast: Cast) -> None:
    leader = cast.leader()
    leader.is_alone = True
    cast.later(lambda: setattr(leader, 'is_alone', False))
    cut_leader_from_store(cast)
    cut_leader_from_targets(cast)


def cut_all_from_store(cast: Cast) -> None:
    for daemon in cast.daemons:
        daemon.store.is_cut = True
        cast.later(lambda one=daemon: setattr(one.store, 'is_cut', False))


def lose_answers(cast: Cast) -> None:
    cast.world.lost_answers = 0.6
    cast.later(lambda: setattr(cast.world, 'lost_answers', 0.0))


def delay_orders(cast: Cast) -> None:
    cast.world.late_orders = 0.5
    cast.later(lambda: setattr(cast.world, 'late_orders', 0.0))


def crash_target(cast: Cast) -> None:
    target = cast.target()
    target.is_up = False

    def restart() -> None:
        cast.world.start_anew(target)
        target.is_up = True
        cast.world.tell_targets()

    cast.later(restart)


def restart_target_unannounced(cast: Cast) -> None:
    cast.world.start_anew(cast.target())
    cast.later(cast.world.tell_targets)


def restart_target(cast: Cast) -> None:
    cast.world.start_anew(cast.target())
    cast.world.tell_targets()


def drain_target(cast: Cast) -> None:
    target = cast.target()
    target.is_leaving = True
    cast.world.tell_targets()

    def return_target() -> None:
        target.is_leaving = False
        cast.world.tell_targets()

    cast.later(return_target)


def heat_keys(cast: Cast) -> None:
    asked = messages.KeysAsked({'registry': list(range(200)) * 2}, {})
    for number in range(8):
        cast.world.later(STEP * number, cast.leader().keeper.count, asked)


FAULTS: dict[str, Callable[[Cast], None]] = {
    'leader killed': kill_leader,
    'all daemons killed': kill_all,
    'leader cut from the store': cut_leader_from_store,
    'leader cut from targets': cut_leader_from_targets,
    'leader cut from a target': cut_leader_from_target,
    'leader cut from everybody': cut_leader_from_all,
    'store down for all': cut_all_from_store,
    'answers of the store lost': lose_answers,
    'orders carried out late': delay_orders,
    'target crashes, comes back': crash_target,
    'target starts anew': restart_target,
    'target starts anew, told late': restart_target_unannounced,
    'target drained, returned': drain_target,
    'keys get hot': heat_keys,
}


class Outcome(msgspec.Struct):
    """What a play broke, and for how long some key was held by nobody."""

    broken: list[str] = []
    unheld: float = 0

    def is_sound(self) -> bool:
        """Tell whether safety held and the keys came back in time."""
        return not self.broken and self.unheld <= FORMER_LEADER


def play_moments(faults: list[tuple[str, float]], seed: int = 1) -> Outcome:
    """Begin a move, bring faults about at times from then, and watch.

    Times are in seconds and ascending.
    """
    outcome = Outcome()

    async def main(loop: VirtualLoop) -> None:
        cast = await _settled_cast(World(loop, seed, targets=4))
        _begin_move(cast)
        for name, at in faults:
            loop.call_later(at, FAULTS[name], cast)
        leading = loop.create_task(_keep_leading(cast.daemons))
        ends_at = loop.time() + faults[-1][1] + LASTS + FORMER_LEADER
        while loop.time() < ends_at:
            await asyncio.sleep(TRY_EVERY)
            if cast.world.unheld():
                outcome.unheld += TRY_EVERY
            elif loop.time() > ends_at - FORMER_LEADER + SERVED_AGAIN:
                break
        leading.cancel()
        outcome.broken.extend(cast.world.broken)
        if cast.world.unheld():
            outcome.broken.append('keys that nobody holds at the end')
        for daemon in cast.daemons:
            daemon.kill()

    run_virtually(main)
    return outcome


def play_long_cut() -> Outcome:
    """Cut the leader from the store, and the next one from one target."""
    outcome = Outcome()

    async def main(loop: VirtualLoop) -> None:
        world = World(loop, seed=1, targets=4)
        cast = await _settled_cast(world)
        first, second, _ = cast.daemons
        first.store.is_cut = True
        first.is_alone = True
        second.orders.cut_from.add(cast.target().address)
        while not await second.take_over():
            await asyncio.sleep(TRY_EVERY)
        await asyncio.sleep(FORMER_LEADER + SERVED_AGAIN)
        outcome.broken.extend(world.broken)
        if world.unheld():
            outcome.broken.append('keys that nobody holds at the end')
        for daemon in cast.daemons:
            daemon.kill()

    run_virtually(main)
    return outcome


def play_random(seed: int, steps: int = STEPS) -> None:
    """Draw many faults; raise AssertionError if a check fails."""
    run_virtually(lambda loop: _play_random(loop, seed, steps))


async def _settled_cast(world: World) -> Cast:
    daemons = [world.add_daemon(f'edge-{number}') for number in range(3)]
    world.tell_targets()
    assert await daemons[0].take_over()
    await asyncio.sleep(2)
    assert not world.unheld()
    return Cast(world, daemons)


def _begin_move(cast: Cast) -> None:
    keeper = cast.leader().keeper.keeper_by_service['registry']
    for holding in keeper.holdings.in_state(HoldingState.held)[:2]:
        keeper._take_back(holding, 'a move')


async def _keep_leading(daemons: list[Daemon]) -> None:
    while True:
        await _lead(daemons)
        await asyncio.sleep(TRY_EVERY)


async def _lead(daemons: list[Daemon]) -> None:
    for daemon in daemons:
        if not daemon.is_leading():
            await daemon.take_over()
    for daemon in daemons:
        for other in daemons:
            daemon.meet(other)


async def _play_random(loop: VirtualLoop, seed: int, steps: int) -> None:
    world = World(loop, seed, targets=5)
    daemons = [world.add_daemon(f'edge-{number}') for number in range(3)]
    world.tell_targets()
    world.lost_answers = 0.1
    world.late_orders = 0.05
    for _ in range(steps):
        await asyncio.sleep(STEP)
        _draw_faults(world, daemons)
        await _lead(daemons)
    assert not world.broken, world.broken
    world.lost_answers = 0.0
    world.late_orders = 0.0
    for target in world.targets.values():
        target.is_up = True
    for daemon in daemons:
        daemon.store.is_cut = False
        daemon.orders.is_cut = False
        daemon.orders.cut_from.clear()
        daemon.is_alone = False
    world.tell_targets()
    for _ in range(100):
        await asyncio.sleep(0.2)
        await _lead(daemons)
    assert not world.broken, world.broken
    # A move for balance may be under way just now; it soon ends.
    ends_at = loop.time() + SERVED_AGAIN
    while world.unheld():
        assert loop.time() < ends_at, 'keys that nobody holds'
        await asyncio.sleep(0.05)
    for daemon in daemons:
        daemon.kill()


def _draw_faults(world: World, daemons: list[Daemon]) -> None:
    for daemon in daemons:
        _draw_daemon_faults(world, daemon)
    draw = world.random
    for target in world.targets.values():
        if draw.random() < 0.02:
            target.is_up = not target.is_up
            world.start_anew(target)
            if draw.random() < 0.7:
                world.tell_targets()


def _draw_daemon_faults(world: World, daemon: Daemon) -> None:
    draw = world.random
    if draw.random() < 0.03:
        daemon.kill()
    if draw.random() < 0.03:
        daemon.store.is_cut = not daemon.store.is_cut
    if draw.random() < 0.02:
        daemon.orders.is_cut = not daemon.orders.is_cut
    if draw.random() < 0.03:
        daemon.is_alone = not daemon.is_alone
    if draw.random() < 0.04:
        address = draw.choice(list(world.targets))
        # The fault ends where it had begun before.
        daemon.orders.cut_from ^= {address}
    if daemon.is_leading() and draw.random() < 0.5:
        hot = draw.randrange(60000)
        keys = [hot + one % 200 for one in range(60)]
        daemon.keeper.count(messages.KeysAsked({'registry': keys}, {}))
