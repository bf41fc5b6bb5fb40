"""Send one attempt to a leaseholder: this daemon's own or a peer's."""

from collections.abc import AsyncIterator

import msgspec

from cassialever.errors import Failure
from cassialever.messages import (
    HolderAnswer,
    PeerClient,
    RequestHandler,
    RequestHead,
)
from cassialever.tracing import Hop, Tracing
from cassialever.types import InstanceId


class Sender:
    """Reach the leaseholder of any target."""

    def __init__(
        self,
        instance_id: InstanceId,
        local: RequestHandler,
        peers: PeerClient,
        tracing: Tracing,
    ) -> None:
        """Take the ways to this daemon's own targets and to its peers."""
        self._instance_id = instance_id
        self._local = local
        self._peers = peers
        self._tracing = tracing

    async def send(
        self,
        holder: InstanceId,
        head: RequestHead,
        body: AsyncIterator[bytes] | None,
    ) -> HolderAnswer | Failure:
        """Return once the head of the answer is here."""
        if holder == self._instance_id:
            return await self._local.handle(head, body)
        span = self._tracing.hop(
            Hop.peer,
            head.traceparent,
            head.request_id,
            head.target_id,
        )
        if span.traceparent != head.traceparent:
            head = msgspec.structs.replace(head, traceparent=span.traceparent)
        outcome = await self._peers.call(holder, head, body)
        span.end(outcome.kind if isinstance(outcome, Failure) else None)
        return outcome
