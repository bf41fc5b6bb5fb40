"""Route the requests of this daemon's callers."""

from cassialever.exchange import Exchange, Routed
from cassialever.intake import Intake
from cassialever.interfaces import Clock
from cassialever.placement import Placement
from cassialever.sending import Sender
from cassialever.traffic import Traffic


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
        exchange = Exchange(
            intake,
            body,
            self._placement,
            self._traffic.of(intake.service),
            self._sender,
            self._clock,
        )
        return await exchange.run()
