"""Typed messages of the request path, between daemons and within one."""

from collections.abc import AsyncIterator
from typing import Protocol

import msgspec

from cassialever.errors import Failure
from cassialever.types import (
    CallerId,
    CatalogueVersion,
    Headers,
    InstanceId,
    Key,
    RequestId,
    ServiceName,
    SliceIndex,
    TargetId,
)

#: The slice of a request whose service is not divided by key.
NO_SLICE = SliceIndex(-1)


class RequestHead(msgspec.Struct, frozen=True, kw_only=True):
    """A request on its way to the leaseholder of one target.

    `time_left_ms` shrinks with each hop, since clocks are not compared
    between machines. `repeatable` says that running it twice does no harm;
    `claims` that its id has to be claimed at the target's memory first.
    """

    request_id: RequestId
    caller: CallerId
    service: ServiceName
    target_id: TargetId
    method: str
    path: str
    headers: Headers
    time_left_ms: int
    repeatable: bool
    has_body: bool
    key: Key = Key('')
    slice_index: SliceIndex = NO_SLICE
    attempt: int = 0
    traceparent: str = ''
    catalogue_version: CatalogueVersion = CatalogueVersion(0)
    claims: bool = False


class TargetLoad(msgspec.Struct, frozen=True):
    """What a leaseholder knows of its target's load as it answers.

    `capacity` is the present limit, in requests at once; `expected_ms` is
    the time a request is expected to take, queueing included.
    """

    target_id: TargetId
    in_flight: int = 0
    queued: int = 0
    capacity: int = 0
    expected_ms: float = 0


class HolderAnswer(msgspec.Struct):
    """The leaseholder's answer; see `TargetAnswer` for the body."""

    status: int
    headers: Headers
    load: TargetLoad
    body: AsyncIterator[bytes | Failure]


class RequestHandler(Protocol):
    """Run a request as the leaseholder of its target."""

    async def handle(
        self,
        head: RequestHead,
        body: AsyncIterator[bytes] | None,
    ) -> HolderAnswer | Failure:
        """Return once the head of the answer is here.

        Cancelling the caller's task gives the request up.
        """


class PeerClient(Protocol):
    """Reach the request handlers of other daemons."""

    async def call(
        self,
        instance: InstanceId,
        head: RequestHead,
        body: AsyncIterator[bytes] | None,
    ) -> HolderAnswer | Failure:
        """Run a request at another daemon.

        Fails with `peer_unreachable` only where the peer can't have seen the
        whole head; with `outcome_unknown` where it may have.
        """
