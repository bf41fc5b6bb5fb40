"""Links that peers open, and the requests that come on them."""

import asyncio

from cassialever import codec
from cassialever.control import ControlHandlers
from cassialever.errors import ErrorKind, Failure
from cassialever.frames import Frame, FrameType
from cassialever.handshake import Role, new_handshake
from cassialever.links import Link
from cassialever.messages import RequestHandler, RequestHead
from cassialever.serving import ServedRequest
from cassialever.settings import Settings
from cassialever.types import Incarnation


class Acceptor:
    """Take links from peers and serve their requests; owns these links."""

    def __init__(
        self,
        settings: Settings,
        incarnation: Incarnation,
        control: ControlHandlers,
    ) -> None:
        """Start without a socket."""
        #: Links that are open, those not yet proved among them.
        self.links: set[Link] = set()
        self._settings = settings
        self._incarnation = incarnation
        self._control = control
        self._request_handler: RequestHandler | None = None
        self._served: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self, request_handler: RequestHandler) -> int:
        """Listen and return the port."""
        self._request_handler = request_handler
        self._server = await asyncio.get_running_loop().create_server(
            self._new_link,
            self._settings.instance.address,
            self._settings.instance.peer_port,
        )
        return int(self._server.sockets[0].getsockname()[1])

    async def stop(self) -> None:
        """Refuse new requests; return once those in progress are over."""
        self._request_handler = None
        if self._server:
            self._server.close()
        for link in list(self.links):
            link.write(FrameType.goaway)
            link.drain()
        while self._served:
            await asyncio.wait(self._served)

    def close(self) -> None:
        """End all links, after what is queued on them has left."""
        if self._server:
            self._server.close()
        for task in self._served:
            task.cancel()
        for link in list(self.links):
            link.finish()

    # What links call.

    def link_ready(self, link: Link) -> None:
        """Serve requests on a link; asked of a stopping daemon, none."""
        if self._request_handler is None:
            link.write(FrameType.goaway)

    def link_draining(self, link: Link) -> None:
        """Serve on: the peer alone opens requests here."""

    def link_ended(self, link: Link, reason: str) -> None:
        """Forget a link."""
        self.links.discard(link)

    def receive_request(self, link: Link, frame: Frame) -> None:
        """Serve a request, or refuse it when this daemon is stopping."""
        head = codec.decode_as(RequestHead, frame.payload)
        if self._request_handler is None:
            refusal = Failure(ErrorKind.stopping, 'this instance is stopping')
            link.write(
                FrameType.failure,
                frame.stream_id,
                codec.encode(refusal),
            )
            return
        served = ServedRequest(link, frame.stream_id, head)
        task = served.start(self._request_handler)
        self._served.add(task)
        task.add_done_callback(self._served.discard)

    def receive_control(self, link: Link, payload: bytes) -> None:
        """Hand a control message on."""
        self._control.receive(link.proved_peer(), payload)

    def _new_link(self) -> Link:
        handshake = new_handshake(
            Role.acceptor,
            self._settings,
            self._incarnation,
        )
        link = Link(self._settings.links, handshake, self)
        self.links.add(link)
        return link
