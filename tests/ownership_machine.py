"""Random faults, in any order and number, against the real ownership core."""

from collections.abc import Callable

from hypothesis import strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
)

from tests.ownership_fakes import TABLE, Violation, World

DAEMONS = 4
TARGETS = 4
#: How many lines of the trace a failure shows.
TRACE_LINES = 60
#: How long a healed fleet may take to serve every slice again, in seconds.
HEALED_WITHIN = 20.0

daemon_names = strategies.sampled_from([f'd{n}' for n in range(DAEMONS)])
target_names = strategies.sampled_from([f't{n}' for n in range(TARGETS)])
spans = strategies.sampled_from([0.01, 0.05, 0.2, 0.5, 1.0])
shares = strategies.sampled_from([0.0, 0.0, 0.1, 0.3])
flags = strategies.booleans()


class OwnershipMachine(RuleBasedStateMachine):
    """A fleet, its faults, and the global checks after every event."""

    @initialize(
        seed=strategies.integers(0, 1 << 16),
        unchecking=strategies.sampled_from([0, 0, 2, TARGETS]),
    )
    def begin(self, seed: int, unchecking: int) -> None:
        self.world = World(
            seed, DAEMONS, TARGETS, slices=6, unchecking=unchecking
        )
        self.title = f'world seed {seed}, {unchecking} targets unchecking'
        self.act('start', lambda: None, 3.0)

    def act(self, text: str, action: Callable[[], object], span: float) -> None:
        """Do one thing and let time pass, with a readable trace on failure."""
        self.world.note(f'-- {text}')
        try:
            action()
            self.world.run_for(span)
        except Violation as broken:
            lines = list(self.world.trace)[-TRACE_LINES:]
            story = '\n'.join([str(broken), self.title, *lines])
            raise Violation(story) from broken

    @rule(name=daemon_names, span=spans)
    def lose_daemon(self, name: str, span: float) -> None:
        self.act(f'lose {name}', lambda: self.world.kill(name), span)

    @rule(name=daemon_names, span=spans)
    def restart_daemon(self, name: str, span: float) -> None:
        self.act(f'restart {name}', lambda: self.world.restart(name), span)

    @rule(name=daemon_names, span=spans)
    def stop_daemon(self, name: str, span: float) -> None:
        self.act(f'stop {name}', lambda: self.world.stop(name), span)

    @rule(name=daemon_names, span=spans)
    def pause_daemon(self, name: str, span: float) -> None:
        daemon = self.world.daemons[name]
        self.act(f'pause {name}', lambda: setattr(daemon, 'paused', 1), span)
        self.act(f'resume {name}', daemon.resume, 0.01)

    @rule(name=target_names, span=spans)
    def freeze_target(self, name: str, span: float) -> None:
        target = self.world.targets[name]
        self.act(f'freeze {name}', lambda: setattr(target, 'frozen', 1), span)

    @rule(name=target_names, span=spans)
    def thaw_target(self, name: str, span: float) -> None:
        self.act(f'thaw {name}', lambda: self.world.thaw(name), span)

    @rule(name=target_names, span=spans)
    def lose_target(self, name: str, span: float) -> None:
        target = self.world.targets[name]
        self.act(f'lose {name}', lambda: setattr(target, 'down', 1), span)

    @rule(name=target_names, span=spans)
    def restart_target(self, name: str, span: float) -> None:
        target = self.world.targets[name]
        self.act(f'restart {name}', target.restart, span)

    @rule(name=target_names, out=flags, span=spans)
    def edit_target(self, name: str, out: bool, span: float) -> None:
        self.act('edit', lambda: self.world.set_out(name, out), span)

    @rule(up=flags, lost=shares, span=spans)
    def change_table(self, up: bool, lost: float, span: float) -> None:
        def change() -> None:
            self.world.table_up = up
            self.world.lose_answers = lost * 2

        self.act(f'table up {up}, answers lost {lost}', change, span)

    @rule(drop=shares, twice=shares, slow=shares, span=spans)
    def change_network(
        self, drop: float, twice: float, slow: float, span: float
    ) -> None:
        def change() -> None:
            self.world.drop = drop
            self.world.duplicate = twice
            self.world.slow = slow / 3
            self.world.slow_work = slow

        self.act(f'drop {drop} twice {twice} slow {slow}', change, span)

    @rule(
        one=daemon_names,
        other=daemon_names | target_names | strategies.just(TABLE),
        span=spans,
    )
    def cut(self, one: str, other: str, span: float) -> None:
        if one != other:
            pair = frozenset((one, other))
            self.act(
                f'cut {one} {other}', lambda: self.world.cuts.add(pair), span
            )

    @rule(span=spans)
    def heal(self, span: float) -> None:
        self.act('heal', self.world.cuts.clear, span)

    @rule(span=spans)
    def send_work(self, span: float) -> None:
        def send() -> None:
            for daemon in self.world.daemons.values():
                if not daemon.paused:
                    daemon.send_request()

        self.act('send', send, span)

    def teardown(self) -> None:
        """Every fleet that is healed serves every slice again."""
        if not hasattr(self, 'world'):
            return
        self.act('heal all', self.world.heal_all, HEALED_WITHIN)
        if not self.world.served():
            lines = list(self.world.trace)[-TRACE_LINES:]
            raise Violation('\n'.join(['not served', self.title, *lines]))
