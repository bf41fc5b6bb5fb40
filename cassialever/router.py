"""Route the requests of this daemon's callers."""

import functools

import msgspec

from cassialever.downloads import resumable_body
from cassialever.errors import ErrorKind, Failure
from cassialever.exchange import Exchange, Routed
from cassialever.intake import Intake
from cassialever.interfaces import Clock
from cassialever.messages import HolderAnswer
from cassialever.placement import Placement
from cassialever.sending import Sender
from cassialever.traffic import Traffic
from cassialever.types import Headers


class Router:
    """Find each request's target and see it through its attempts."""

    def __init__(
        self,
        placement: Placement,
        traffic: Traffic,
        sender: Sender,
        clock: Clock,
    ) -> None:
        """Take what is known of targets and the way to leaseholders."""
        self._placement = placement
        self._traffic = traffic
        self._sender = sender
        self._clock = clock

    async def route(self, intake: Intake, body: bytes) -> Routed:
        """Return the answer of the request's target, or a failure."""
        routed = await self._exchange(intake, body).run(is_fresh=True)
        outcome = routed.outcome
        if isinstance(outcome, HolderAnswer) and intake.repeatable:
            outcome.body = resumable_body(
                intake.method,
                intake.headers,
                outcome,
                functools.partial(self._fetch_rest, intake, body),
            )
        return routed

    async def _fetch_rest(
        self,
        intake: Intake,
        body: bytes,
        headers: Headers,
    ) -> HolderAnswer | Failure:
        """Ask again for the rest of a body that broke off."""
        budget = self._traffic.of(intake.service).budget
        if not budget.draw(self._clock.monotonic()):
            return Failure(
                ErrorKind.answer_cut,
                'the budget for retries is spent',
                intake.service.ref(),
            )
        again = msgspec.structs.replace(
            intake,
            headers=(*intake.headers, *headers),
        )
        routed = await self._exchange(again, body).run(is_fresh=False)
        return routed.outcome

    def _exchange(self, intake: Intake, body: bytes) -> Exchange:
        return Exchange(
            intake,
            body,
            self._placement,
            self._traffic,
            self._sender,
            self._clock,
        )
