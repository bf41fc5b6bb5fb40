"""Pass on to other daemons what the leader learns."""

import asyncio
from collections.abc import Callable
from typing import Final

import msgspec

from cassialever.events import Event, record
from cassialever.fleet import messages
from cassialever.fleet.connecting import split_address
from cassialever.fleet.model import StoreRow
from cassialever.fleet.proof import prove_as_acceptor
from cassialever.fleet.view import FleetView
from cassialever.types import RowVersion, Seconds

#: Time between two signs of life to a follower.
HEARTBEAT_INTERVAL: Final[Seconds] = 0.25
#: How long a new connection may take to say who it is.
HELLO_TIMEOUT: Final[Seconds] = 1.0
#: Bytes that wait for one follower, beyond which it is cut off and has to
#: come back for the whole tables.
MAX_BACKLOG_BYTES: Final = 4 * 1024 * 1024


class Follower:
    """One daemon that follows this one."""

    def __init__(
        self,
        hello: messages.Hello,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Take who it is and the connection to it."""
        self.hello = hello
        self._writer = writer

    def send(self, frame: bytes) -> None:
        """Send a frame, or cut off a follower that does not read."""
        transport = self._writer.transport
        if transport.get_write_buffer_size() > MAX_BACKLOG_BYTES:
            transport.abort()
            return
        self._writer.write(frame)

    def close(self) -> None:
        """End the connection."""
        self._writer.close()


class Relay:
    """The followers of this daemon, and what they are sent."""

    def __init__(
        self,
        view: FleetView,
        own: messages.Hello,
        fleet_key: str = '',
    ) -> None:
        """Take the view that is passed on and who this daemon is.

        An empty key asks followers for no proof.
        """
        self._fleet_key = fleet_key
        self._view = view
        self._own_hello = own
        self._server: asyncio.Server | None = None
        self.follower_by_id: dict[str, Follower] = {}
        self.is_leader = False
        #: How long the store is unheard, as the leader knows.
        self.store_age: Callable[[], Seconds] = float
        self.on_hello: Callable[[messages.Hello], None] = _ignore
        self.on_deposed: Callable[[RowVersion], None] = _ignore_term
        self.on_keys_asked: Callable[[messages.KeysAsked], None] = _ignore
        self.moving_by_service: dict[str, messages.Moving] = {}

    async def start(self) -> None:
        """Listen for other daemons."""
        host, port = split_address(self._own_hello.address)
        self._server = await asyncio.start_server(self._accept, host, port)

    async def stop(self) -> None:
        """Take no more followers and end those there are."""
        if self._server is not None:
            self._server.close()
        self.disconnect_followers()

    def disconnect_followers(self, leader_address: str = '') -> None:
        """Tell every follower to look for the leader elsewhere."""
        self.is_leader = False
        self.broadcast(messages.Farewell(leader_address))
        for follower in self.follower_by_id.values():
            follower.close()
        self.follower_by_id.clear()

    def broadcast(self, message: messages.Message) -> None:
        """Send a message to every follower."""
        frame = messages.encode(message)
        for follower in list(self.follower_by_id.values()):
            follower.send(frame)

    def relay_changes(
        self,
        table: str,
        rows: list[StoreRow],
        version: RowVersion,
    ) -> None:
        """Send rows that changed to every follower."""
        if rows and self.follower_by_id:
            self.broadcast(messages.Changed(table, rows, version))

    def announce_moving(self, moving: messages.Moving) -> None:
        """Tell which keys are on their way."""
        if self.moving_by_service.get(moving.service) == moving:
            return
        self.moving_by_service[moving.service] = moving
        self._view.set_moving(moving.service, moving.ranges)
        self.broadcast(moving)

    def members(self) -> dict[str, str]:
        """Return the addresses of this daemon and its followers."""
        addresses = {self._own_hello.instance_id: self._own_hello.address}
        for follower in self.follower_by_id.values():
            addresses[follower.hello.instance_id] = follower.hello.address
        return addresses

    async def send_heartbeats(self) -> None:
        """Send signs of life until cancelled."""
        while True:
            self.broadcast(messages.Pulse(self.is_leader, self.store_age()))
            await asyncio.sleep(HEARTBEAT_INTERVAL)

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            await self._serve_link(reader, writer)
        except (msgspec.DecodeError, asyncio.TimeoutError) as error:
            record(Event.link_rubbish, reason=repr(error))
        except (asyncio.IncompleteReadError, OSError):
            # The follower is gone; it is taken off the list on the way out.
            return
        finally:
            writer.close()

    async def _serve_link(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self._fleet_key:
            refused = await prove_as_acceptor(
                (reader, writer),
                self._fleet_key,
            )
            if refused is not None:
                record(Event.link_refused, reason=refused.reason)
                return
        hello = await asyncio.wait_for(messages.receive(reader), HELLO_TIMEOUT)
        if isinstance(hello, messages.Deposed):
            self.on_deposed(hello.term)
            return
        if not isinstance(hello, messages.Hello):
            raise msgspec.DecodeError('no greeting')
        follower = Follower(hello, writer)
        self._send_tables(follower)
        if not self.is_leader:
            leader = self._view.leader
            address = leader[0].address if leader else ''
            follower.send(messages.encode(messages.Farewell(address)))
            await writer.drain()
            return
        self.on_hello(hello)
        await self._listen(follower, reader)

    async def _listen(
        self,
        follower: Follower,
        reader: asyncio.StreamReader,
    ) -> None:
        name = follower.hello.instance_id
        self.follower_by_id[name] = follower
        self.broadcast(messages.Members(self.members()))
        try:
            while self.is_leader:
                message = await messages.receive(reader)
                if isinstance(message, messages.KeysAsked):
                    self.on_keys_asked(message)
        finally:
            if self.follower_by_id.get(name) is follower:
                self.follower_by_id.pop(name)
                self.broadcast(messages.Members(self.members()))

    def _missing_rows(
        self,
        table: str,
        version: RowVersion,
        hello: messages.Hello,
    ) -> messages.Whole | messages.Changed | None:
        """Return what a follower lacks of a table: changes if possible.

        When a leader is replaced all followers come at once, and most of
        them lack little.
        """
        rows = self._view.rows
        known = hello.version_by_table.get(table)
        if known is None:
            return messages.Whole(table, rows.rows_of(table), version)
        if version <= known:
            return None
        changed = rows.changes_since(table, RowVersion(known))
        if changed is None:
            return messages.Whole(table, rows.rows_of(table), version)
        return messages.Changed(table, changed, version)

    def _send_tables(self, follower: Follower) -> None:
        """Send what is newer than what the follower has."""
        for table, version in self._view.rows.version_by_table.items():
            message = self._missing_rows(table, version, follower.hello)
            if message is not None:
                follower.send(messages.encode(message))
        for moving in self.moving_by_service.values():
            follower.send(messages.encode(moving))
        pulse = messages.Pulse(self.is_leader, self.store_age())
        follower.send(messages.encode(pulse))


def _ignore(_: messages.Message) -> None:
    """Stand in until somebody wants to hear."""


def _ignore_term(term: RowVersion) -> None:
    """Stand in while this daemon does not lead."""
