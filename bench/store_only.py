"""The baseline of `bench.ownership`: leases kept only by writes to the table.

Each holder renews one row per target; every other daemon polls all rows and
takes one over that stayed unchanged for a term. A model with the same terms,
clocks and table delay, without messages between daemons.
"""

import random

from cassialever.leases import giver_term
from cassialever.settings import LeaseSettings
from cassialever.types import Seconds

#: How often each daemon reads all lease rows, in seconds.
POLL: Seconds = 0.25
#: How long one read or write of the table takes, in seconds.
TABLE_DELAY: Seconds = 0.005
MESSAGE_DELAY: Seconds = 0.001


class StoreOnly:
    """Draw how long one slice is unavailable after each fault."""

    def __init__(self, seed: int, daemons: int, targets: int) -> None:
        """Take the terms of the default settings."""
        self.random = random.Random(seed)  # noqa: S311
        self.leases = LeaseSettings()
        self.daemons = daemons
        self.targets = targets

    def holder_lost(self, rows: int = 1) -> Seconds:
        """Return the wait until another daemon has taken `rows` in turn."""
        leases = self.leases
        wait = giver_term(leases.target_term, leases.drift_share)
        renewed = -self.random.uniform(0, leases.heartbeat)
        # The first of the others' polls after the last renewal starts the
        # wait; the first poll after its end takes the row.
        survivors = max(self.daemons - 1, 1)
        gap = POLL / survivors
        seen = renewed + TABLE_DELAY + self.random.uniform(0, gap)
        taken = seen + wait + self.random.uniform(0, gap)
        return taken + rows * TABLE_DELAY + 2 * MESSAGE_DELAY

    def target_lost(self) -> Seconds:
        """Return the wait until a slice's row names another target."""
        leases = self.leases
        granted = giver_term(leases.grant_term, leases.drift_share)
        since = self.random.uniform(0, leases.grant_term / 4)
        return granted - since + 2 * TABLE_DELAY

    def planned(self) -> Seconds:
        """Return the wait from a row's release until another polls it."""
        gap = POLL / max(self.daemons - 1, 1)
        return 2 * TABLE_DELAY + self.random.uniform(0, gap)

    def table_away(self, span: Seconds) -> Seconds:
        """Return how long leases are lapsed in an outage of the table."""
        since = self.random.uniform(0, self.leases.heartbeat)
        return max(span - self.leases.target_term + since, 0)

    def writes_per_second(self) -> float:
        """Return the renewals of all targets."""
        return self.targets / self.leases.heartbeat

    def reads_per_second(self) -> float:
        """Return the polls of all daemons, each a read of every row."""
        return self.daemons * self.targets / POLL
