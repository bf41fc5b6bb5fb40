"""Carry out what the spread of the catalogue decides: links, table, turns."""

import asyncio
import functools
from collections.abc import Callable, Iterable
from typing import Final, Protocol, TypeAlias

import msgspec

from cassialever.catalogue import Catalogue
from cassialever.catalogue_store import CatalogueStore
from cassialever.control import ControlHandler, MessageT
from cassialever.errors import Failure
from cassialever.events import Event, record
from cassialever.exceptions import CodecError
from cassialever.interfaces import Clock, RandomSource
from cassialever.misc import BackgroundTasks
from cassialever.relay import Members, Relay
from cassialever.settings import Settings
from cassialever.spread import (
    TURN_SECONDS,
    Adopt,
    Effect,
    ReadChanges,
    ReadWhole,
    Send,
    Spread,
)
from cassialever.spread_messages import (
    CatalogueChanges,
    CatalogueHeld,
    CatalogueWanted,
    CatalogueWhole,
)
from cassialever.types import CatalogueVersion, Incarnation, InstanceId

#: How many changes are asked of the table at once.
CHANGES_A_READ: Final = 16

Adopter: TypeAlias = Callable[[Catalogue], None]


class ControlLinks(Protocol):
    """What the spread needs of the links to other daemons."""

    def on_control(
        self,
        message_type: type[MessageT],
        on_message: ControlHandler[MessageT],
    ) -> None:
        """Have each control message of one type handled."""

    async def send_control(
        self,
        instance: InstanceId,
        message: msgspec.Struct,
    ) -> Failure | None:
        """Send a control message; whether it arrives is not known."""


class Spreading:
    """Keep one daemon's catalogue in force and up to date."""

    def __init__(
        self,
        settings: Settings,
        store: CatalogueStore,
        links: ControlLinks,
        clock: Clock,
        random_source: RandomSource,
        on_adopt: Adopter,
    ) -> None:
        """Take the ways out; `on_adopt` gets each catalogue in force."""
        self._store = store
        self._links = links
        self._clock = clock
        self._random = random_source
        self.on_adopt = on_adopt
        self.tasks = BackgroundTasks()
        instance = settings.instance
        self._relay = Relay(
            instance.instance_id,
            instance.data_centre,
            random_source,
        )
        self._spread = Spread(self._relay, clock.monotonic())

    @property
    def version(self) -> CatalogueVersion:
        """Return the version in force; 0 is none."""
        return self._spread.version

    def is_current(self) -> bool:
        """Say whether the catalogue has been checked since the start."""
        return self._spread.is_current(self._clock.monotonic())

    def members_changed(self, members: Members) -> None:
        """Take the members as they are now listed."""
        self._relay.adopt(members)

    async def start(self) -> None:
        """Hear peers, read what the table has, and go on in turns."""
        for message_type in (
            CatalogueHeld,
            CatalogueWanted,
            CatalogueChanges,
            CatalogueWhole,
        ):
            self._links.on_control(message_type, self._received)
        await self.read_whole()
        self.tasks.add(self._run())

    async def stop(self) -> None:
        """Stop."""
        self.tasks.cancel()

    def send(self, effect: Send) -> None:
        """Send a message to a peer."""
        self.tasks.add(
            self._links.send_control(effect.instance_id, effect.message),
        )

    async def read_changes(self, first: CatalogueVersion) -> None:
        """Read what follows a version from the table."""
        last = CatalogueVersion(first + CHANGES_A_READ - 1)
        changes = await self._store.changes(first, last)
        if not isinstance(changes, Failure):
            self._carry_out(self._spread.table_changes(changes))

    async def read_whole(self) -> None:
        """Read the present catalogue from the table."""
        stored = await self._store.current()
        if not isinstance(stored, Failure):
            self._carry_out(self._spread.table_whole(stored.catalogue))

    async def _run(self) -> None:
        # Daemons that were started together don't stay in step.
        await asyncio.sleep(self._random.random() * TURN_SECONDS)
        while True:
            self._carry_out(self._spread.turn(self._clock.monotonic()))
            await asyncio.sleep(TURN_SECONDS)

    def _received(
        self,
        sender: InstanceId,
        incarnation: Incarnation,
        message: msgspec.Struct,
    ) -> None:
        try:
            effects = self._spread.received(sender, message)
        except CodecError as error:
            record(Event.catalogue_rubbish, peer=sender, error=str(error))
            return
        self._carry_out(effects)

    def _carry_out(self, effects: Iterable[Effect]) -> None:
        for effect in effects:
            _carry_out(effect, self)


@functools.singledispatch
def _carry_out(effect: Effect, spreading: Spreading) -> None:
    raise NotImplementedError(f'no rule for {type(effect).__name__}')


@_carry_out.register
def _send(effect: Send, spreading: Spreading) -> None:
    spreading.send(effect)


@_carry_out.register
def _adopt(effect: Adopt, spreading: Spreading) -> None:
    spreading.on_adopt(effect.catalogue)


@_carry_out.register
def _read_changes(effect: ReadChanges, spreading: Spreading) -> None:
    spreading.tasks.add(spreading.read_changes(effect.first))


@_carry_out.register
def _read_whole(effect: ReadWhole, spreading: Spreading) -> None:
    spreading.tasks.add(spreading.read_whole())
