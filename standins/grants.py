"""The fenced grants that a stand-in target accepts and checks."""

import time

from cassialever.ownership_events import GrantAnswer
from cassialever.target_orders import Grant
from cassialever.types import Fence, Incarnation, Seconds


class Grants:
    """The highest fence a target has seen, and its grant under it."""

    def __init__(self) -> None:
        """Start without a grant."""
        self.highest = Fence(0)
        self.grant: Grant | None = None

    def take(self, grant: Grant, incarnation: int) -> GrantAnswer:
        """Accept a grant unless it is out of date; tell the own clock."""
        clock: Seconds = time.monotonic()
        accepted = (
            grant.incarnation == incarnation
            and grant.fence >= self.highest
            and clock < grant.ends
        )
        if accepted:
            self.highest = grant.fence
            self.grant = grant
        return GrantAnswer(
            accepted,
            Incarnation(incarnation),
            clock,
            self.highest,
        )

    def allow(self, fence: Fence, *, needs_grant: bool) -> bool:
        """Say whether a request under a fence may run now.

        A target that needs no grant goes by the highest fence alone.
        """
        grant = self.grant
        if grant is None:
            allowed = not needs_grant and fence >= self.highest
            self.highest = max(self.highest, fence)
            return allowed
        return fence == grant.fence and time.monotonic() < grant.ends
