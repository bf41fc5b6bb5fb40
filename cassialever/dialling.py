"""Reaching peers: one link to each, opened when needed and replaced."""

import asyncio

import msgspec

from cassialever.control import ControlHandlers
from cassialever.errors import ErrorKind, Failure
from cassialever.events import Event, record
from cassialever.exceptions import CodecError
from cassialever.frames import Frame
from cassialever.handshake import Role, new_handshake
from cassialever.interfaces import RandomSource
from cassialever.links import Link
from cassialever.settings import LinkSettings, Settings
from cassialever.types import Incarnation, InstanceId, Seconds


class PeerAddress(msgspec.Struct, frozen=True):
    """Where a peer takes links, by IP number."""

    host: str
    port: int


class Backoff:
    """When a peer that could not be reached may be tried again."""

    def __init__(self, settings: LinkSettings, random: RandomSource) -> None:
        """Allow the first try at once."""
        self._settings = settings
        self._random = random
        self._failures = 0
        self._not_before: Seconds = 0

    def left(self, now: Seconds) -> Seconds:
        """Return how long to wait from now, in seconds; 0 for not at all."""
        return max(self._not_before - now, 0)

    def fail(self, now: Seconds) -> None:
        """Wait longer after each failure in a row, with jitter."""
        longest = self._settings.reconnect_longest
        delay = self._settings.reconnect_first
        for _ in range(self._failures):
            delay = min(delay * 2, longest)
        self._failures += 1
        jitter = (1 + self._random.random()) / 2
        self._not_before = now + delay * jitter

    def succeed(self) -> None:
        """Forget the failures."""
        self._failures = 0
        self._not_before = 0


class Dialler:
    """The link to one peer; owns it."""

    def __init__(
        self,
        instance: InstanceId,
        settings: Settings,
        incarnation: Incarnation,
        random: RandomSource,
        control: ControlHandlers,
    ) -> None:
        """Start without a link."""
        self.instance = instance
        #: Links that are open, those that drain among them.
        self.links: set[Link] = set()
        self._link: Link | None = None
        self._settings = settings
        self._incarnation = incarnation
        self._backoff = Backoff(settings.links, random)
        self._control = control
        self._opening: asyncio.Task[Failure | None] | None = None
        self._ready: asyncio.Future[Failure | None] | None = None

    async def open(self, address: PeerAddress) -> Link | Failure:
        """Return the link, opened if need be; all that wait share one try."""
        if self._link:
            return self._link
        left = self._backoff.left(_now())
        if left:
            return _unreachable(self.instance, 'it failed a moment ago', left)
        if self._opening is None or self._opening.done():
            self._opening = asyncio.create_task(self._dial(address))
        failure = await asyncio.shield(self._opening)
        if self._link:
            return self._link
        return failure or _unreachable(self.instance, 'the link ended')

    def close(self) -> None:
        """Give up a try that is under way and end the links."""
        if self._opening:
            self._opening.cancel()
        for link in list(self.links):
            link.finish()

    # What the link calls.

    def link_ready(self, link: Link) -> None:
        """Use a link from now on."""
        self._link = link
        self._backoff.succeed()
        self._settle(None)

    def link_draining(self, link: Link) -> None:
        """Open no more requests on a link."""
        if self._link is link:
            self._link = None

    def link_ended(self, link: Link, reason: str) -> None:
        """Forget a link, or give up waiting for it."""
        self.links.discard(link)
        self.link_draining(link)
        self._settle(_unreachable(self.instance, reason))

    def receive_request(self, link: Link, frame: Frame) -> None:
        """Drop a peer that sends requests against the link's direction."""
        raise CodecError('a request came to the dialler of a link')

    def receive_control(self, link: Link, payload: bytes) -> None:
        """Hand a control message on."""
        self._control.receive(link.proved_peer(), payload)

    async def _dial(self, address: PeerAddress) -> Failure | None:
        failure = await self._connect(address)
        if failure is None:
            return None
        self._backoff.fail(_now())
        record(
            Event.peer_unreachable,
            peer=self.instance,
            reason=failure.reason,
        )
        return failure

    async def _connect(self, address: PeerAddress) -> Failure | None:
        loop = asyncio.get_running_loop()
        self._ready = loop.create_future()
        link = self._new_link()
        try:
            async with asyncio.timeout(self._settings.links.connect_timeout):
                await loop.create_connection(
                    lambda: link,
                    address.host,
                    address.port,
                )
                return await self._ready
        except (OSError, TimeoutError) as error:
            link.close('the connection could not be opened')
            reason = str(error) or 'no answer in time'
            return _unreachable(self.instance, reason)

    def _new_link(self) -> Link:
        handshake = new_handshake(
            Role.dialler,
            self._settings,
            self._incarnation,
            self.instance,
        )
        link = Link(self._settings.links, handshake, self)
        self.links.add(link)
        return link

    def _settle(self, failure: Failure | None) -> None:
        if self._ready and not self._ready.done():
            self._ready.set_result(failure)


def _now() -> Seconds:
    return asyncio.get_running_loop().time()


def _unreachable(
    instance: InstanceId,
    reason: str,
    retry_after: Seconds = 0,
) -> Failure:
    return Failure(
        ErrorKind.peer_unreachable,
        f'{instance} can not be reached: {reason}',
        retry_after=retry_after,
    )
