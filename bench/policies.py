"""How the benchmarks' routers choose a target: the baselines and the oracle."""

import random
from collections.abc import Collection, Mapping, Sequence
from functools import partial
from typing import Protocol

from bench.engine import Engine, GatedTarget
from cassialever.errors import ErrorKind
from cassialever.messages import TargetLoad
from cassialever.selection import Candidate, TargetChooser
from cassialever.types import RequestId, Seconds, TargetId

#: How old the reports are that the least-reported-load baseline goes by.
REPORT_LAG: Seconds = 5.0


class Policy(Protocol):
    """Choose targets for one daemon."""

    @property
    def hedge_delay(self) -> Seconds | None:
        """Return when to hedge, if ever."""

    def choose(
        self,
        tried: Collection[TargetId],
        now: Seconds,
    ) -> TargetId | None:
        """Return the target for one attempt."""

    def sent(
        self,
        target_id: TargetId,
        request_id: RequestId,
        now: Seconds,
    ) -> None:
        """Note an attempt that goes out."""

    def answered(
        self,
        load: TargetLoad,
        request_id: RequestId,
        now: Seconds,
    ) -> None:
        """Note an answer."""

    def gave_up(
        self,
        target_id: TargetId,
        request_id: RequestId,
        now: Seconds,
        kind: ErrorKind | None = None,
    ) -> None:
        """Note an attempt without an answer."""


class Baseline:
    """What the baselines have in common: they learn nothing."""

    hedge_delay: Seconds | None = None

    def __init__(self, target_ids: Sequence[TargetId], seed: str) -> None:
        """Take the targets and a seed."""
        self.target_ids = target_ids
        self.source = random.Random(seed)

    def choose(
        self,
        tried: Collection[TargetId],
        now: Seconds,
    ) -> TargetId | None:
        """Return any target at random."""
        return self.source.choice(self.target_ids)

    def sent(
        self,
        target_id: TargetId,
        request_id: RequestId,
        now: Seconds,
    ) -> None:
        """Learn nothing."""

    def answered(
        self,
        load: TargetLoad,
        request_id: RequestId,
        now: Seconds,
    ) -> None:
        """Learn nothing."""

    def gave_up(
        self,
        target_id: TargetId,
        request_id: RequestId,
        now: Seconds,
        kind: ErrorKind | None = None,
    ) -> None:
        """Learn nothing."""


class RoundRobin(Baseline):
    """Each daemon goes round from a start of its own."""

    def __init__(self, target_ids: Sequence[TargetId], seed: str) -> None:
        """Start anywhere."""
        super().__init__(target_ids, seed)
        self._next = self.source.randrange(len(target_ids))

    def choose(
        self,
        tried: Collection[TargetId],
        now: Seconds,
    ) -> TargetId | None:
        """Return the next target."""
        self._next = (self._next + 1) % len(self.target_ids)
        return self.target_ids[self._next]


class Reports:
    """What targets report of their load, once a second and late."""

    def __init__(
        self,
        gated_by_id: Mapping[TargetId, GatedTarget],
        engine: Engine,
        until: Seconds,
    ) -> None:
        """Report until an instant."""
        self.load_by_id: dict[TargetId, int] = {}
        self._gated_by_id = gated_by_id
        self._engine = engine
        self._until = until
        self._report()

    def _report(self) -> None:
        load_by_id = {
            target_id: gated.load
            for target_id, gated in self._gated_by_id.items()
        }
        arrive = partial(self._arrive, load_by_id)
        self._engine.after(REPORT_LAG, arrive)
        if self._engine.now < self._until:
            self._engine.after(1, self._report)

    def _arrive(self, load_by_id: dict[TargetId, int]) -> None:
        self.load_by_id = load_by_id


class LeastReported(Baseline):
    """Go by the reports, at random among the least loaded."""

    def __init__(
        self,
        target_ids: Sequence[TargetId],
        seed: str,
        reports: Reports,
    ) -> None:
        """Take the reports as well."""
        super().__init__(target_ids, seed)
        self._reports = reports

    def choose(
        self,
        tried: Collection[TargetId],
        now: Seconds,
    ) -> TargetId | None:
        """Return any of those with the least reported load."""
        load_by_id = self._reports.load_by_id
        least = min(load_by_id.values(), default=0)
        best = [
            target_id
            for target_id in self.target_ids
            if load_by_id.get(target_id, 0) == least
        ]
        return self.source.choice(best or self.target_ids)


class Oracle(Baseline):
    """Know at once which targets are slow, and every target's true load."""

    def __init__(
        self,
        target_ids: Sequence[TargetId],
        seed: str,
        gated_by_id: Mapping[TargetId, GatedTarget],
    ) -> None:
        """Look straight into the targets."""
        super().__init__(target_ids, seed)
        self._gated_by_id = gated_by_id

    def choose(
        self,
        tried: Collection[TargetId],
        now: Seconds,
    ) -> TargetId | None:
        """Return the target that would answer first."""
        return min(self.target_ids, key=self._cost)

    def _cost(self, target_id: TargetId) -> tuple[float, float]:
        gated = self._gated_by_id[target_id]
        usage = (gated.load + 1) / gated.target.plan.slots
        cost = gated.target.factor * max(1, usage)
        return cost, usage + self.source.random() / 100


class Measured:
    """The real chooser."""

    def __init__(
        self,
        target_ids: Sequence[TargetId],
        seed: str,
        *,
        hedges: bool = True,
    ) -> None:
        """Take every target as local."""
        self._hedges = hedges
        self._chooser = TargetChooser(random.Random(seed))
        self._chooser.adopt([Candidate(one, True) for one in target_ids])
        self.choose = self._chooser.choose
        self.sent = self._chooser.sent
        self.answered = self._chooser.answered
        self.gave_up = self._chooser.gave_up

    @property
    def hedge_delay(self) -> Seconds | None:
        """Return the service's hedge delay."""
        return self._chooser.hedge.delay if self._hedges else None
