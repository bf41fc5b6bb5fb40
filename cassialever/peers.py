"""Other daemons: calls and control messages to and from them."""

import asyncio
from collections.abc import AsyncIterator

from cassialever.accepting import Acceptor
from cassialever.calls import start_call
from cassialever.control import (
    ControlHandler,
    ControlHandlers,
    MessageT,
    send,
)
from cassialever.dialling import Dialler, PeerAddress
from cassialever.errors import ErrorKind, Failure
from cassialever.interfaces import RandomSource
from cassialever.links import Link
from cassialever.messages import HolderAnswer, RequestHandler, RequestHead
from cassialever.settings import Settings
from cassialever.types import Incarnation, InstanceId


class Peers:
    """The links of one daemon; implements `messages.PeerClient`.

    `address_by_instance` says where peers are; whoever knows the members
    keeps it up to date.
    """

    def __init__(
        self,
        settings: Settings,
        incarnation: Incarnation,
        random: RandomSource,
    ) -> None:
        """Start without links."""
        self.address_by_instance: dict[InstanceId, PeerAddress] = {}
        self._settings = settings
        self._incarnation = incarnation
        self._random = random
        self._control = ControlHandlers()
        self._acceptor = Acceptor(settings, incarnation, self._control)
        self._dialler_by_instance: dict[InstanceId, Dialler] = {}
        self._ticker: asyncio.TimerHandle | None = None

    def on_control(
        self,
        message_type: type[MessageT],
        on_message: ControlHandler[MessageT],
    ) -> None:
        """Have each control message of one type handled.

        It gets the sender's instance and incarnation, both proved,
        and the message.
        """
        self._control.add(message_type, on_message)

    async def start(self, request_handler: RequestHandler) -> int:
        """Take links from peers and return the port they come to."""
        port = await self._acceptor.start(request_handler)
        self._schedule_tick()
        return port

    async def stop(self) -> None:
        """Take no new requests; return once those in progress are over.

        May be cancelled when it has taken too long. `close` comes after it;
        until then control messages and calls to peers still go.
        """
        await self._acceptor.stop()

    def close(self) -> None:
        """End all links."""
        if self._ticker:
            self._ticker.cancel()
        self._acceptor.close()
        for dialler in self._dialler_by_instance.values():
            dialler.close()

    def tick(self) -> None:
        """Ping every link and replace those that have gone silent."""
        for link in list(self._acceptor.links):
            link.tick()
        for instance, dialler in list(self._dialler_by_instance.items()):
            for dialled in list(dialler.links):
                dialled.tick()
            self._forget(instance, dialler)

    async def call(
        self,
        instance: InstanceId,
        head: RequestHead,
        body: AsyncIterator[bytes] | None,
    ) -> HolderAnswer | Failure:
        """Run a request at another daemon; see `messages.PeerClient`.

        Give up an answer's body that isn't read to its end by its `aclose`.
        """
        link = await self._link_to(instance)
        if isinstance(link, Failure):
            return link
        call = start_call(link, head)
        if isinstance(call, Failure):
            return call
        return await call.answer(body)

    async def send_control(
        self,
        instance: InstanceId,
        message: MessageT,
    ) -> Failure | None:
        """Send a control message; whether it arrives is not known."""
        link = await self._link_to(instance)
        return link if isinstance(link, Failure) else send(link, message)

    async def _link_to(self, instance: InstanceId) -> Link | Failure:
        address = self.address_by_instance.get(instance)
        if address is None:
            return Failure(
                ErrorKind.peer_unreachable,
                f'no address of {instance} is known',
            )
        dialler = self._dialler_by_instance.get(instance)
        if dialler is None:
            dialler = Dialler(
                instance,
                self._settings,
                self._incarnation,
                self._random,
                self._control,
            )
            self._dialler_by_instance[instance] = dialler
        return await dialler.open(address)

    def _forget(self, instance: InstanceId, dialler: Dialler) -> None:
        """Drop what is kept of a peer that is a member no more."""
        if instance in self.address_by_instance or dialler.links:
            return
        self._dialler_by_instance.pop(instance)

    def _schedule_tick(self) -> None:
        self._ticker = asyncio.get_running_loop().call_later(
            self._settings.links.ping_interval,
            self._tick_again,
        )

    def _tick_again(self) -> None:
        self._schedule_tick()
        self.tick()
