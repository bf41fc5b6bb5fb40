"""Bring each accepted catalogue into force on every daemon, and none back.

No input or output here: events come in, effects go out. A version is taken
only if it is higher than the one in force, from the table or from a peer; so
a daemon that was cut off can't bring back what it last knew. The table is
read by a few daemons, who ask only for the changes that follow their own
version; the others hear of them through the relay tree and a few random
members, and each one tells some its version at every turn, which mends what
was lost.
"""

import collections
import functools
from collections.abc import Sequence
from typing import Final, TypeAlias

import msgspec

from cassialever.catalogue import EMPTY_CATALOGUE, Catalogue
from cassialever.catalogue_changes import CatalogueChange, apply
from cassialever.errors import Failure
from cassialever.invariants import Invariant, check
from cassialever.relay import Relay
from cassialever.spread_messages import (
    CatalogueChanges,
    CatalogueHeld,
    CatalogueWanted,
    CatalogueWhole,
    pack_changes,
    pack_whole,
    unpack_changes,
    unpack_whole,
)
from cassialever.types import CatalogueVersion, InstanceId, Seconds

#: Between two turns of one daemon, in seconds.
TURN_SECONDS: Final = 1.0
#: How long a new daemon waits for the table before the peers' word counts.
TABLE_WAIT_SECONDS: Final = 3.0
#: How long a new daemon waits for a peer before it reads all of the table.
PEER_WAIT_SECONDS: Final = 0.5
#: How many changes are kept for daemons that are a little behind.
CHANGES_KEPT: Final = 256


class Send(msgspec.Struct, frozen=True):
    """Send a message to a peer; it may be lost."""

    instance_id: InstanceId
    message: msgspec.Struct


class Adopt(msgspec.Struct, frozen=True):
    """Put a catalogue into force."""

    catalogue: Catalogue


class ReadChanges(msgspec.Struct, frozen=True):
    """Read from the table the changes from a version on."""

    first: CatalogueVersion


class ReadWhole(msgspec.Struct, frozen=True):
    """Read the present catalogue from the table."""


Effect: TypeAlias = Send | Adopt | ReadChanges | ReadWhole


class Spread:
    """The catalogue of one daemon."""

    def __init__(self, relay: Relay, now: Seconds) -> None:
        """Start with no catalogue at a monotonic instant."""
        self.catalogue = EMPTY_CATALOGUE
        self._relay = relay
        self._started = now
        self._table_answered = False
        self._peer_answered = False
        self._recent: collections.deque[CatalogueChange] = collections.deque(
            maxlen=CHANGES_KEPT,
        )

    @property
    def version(self) -> CatalogueVersion:
        """Return the version in force; 0 is none."""
        return self.catalogue.version

    def is_current(self, now: Seconds) -> bool:
        """Say whether the catalogue has been checked since the start.

        Against the table; or, where that has not answered for a while,
        against the peers that can be reached.
        """
        if not self.version:
            return False
        if self._table_answered:
            return True
        waited = now - self._started >= TABLE_WAIT_SECONDS
        return waited and self._peer_answered

    def turn(self, now: Seconds) -> list[Effect]:
        """Do what is done at each turn, `TURN_SECONDS` apart."""
        is_reader = self._relay.draw_reader()
        contacts = self._relay.contacts(is_reader=is_reader)
        effects: list[Effect] = self._tell(contacts)
        age = now - self._started
        if not self.version:
            if self._relay.is_alone or age >= PEER_WAIT_SECONDS:
                effects.append(ReadWhole())
            return effects
        is_new = not self._table_answered and age < TABLE_WAIT_SECONDS
        if is_new or is_reader:
            effects.append(ReadChanges(CatalogueVersion(self.version + 1)))
        return effects

    def received(
        self,
        sender: InstanceId,
        message: msgspec.Struct,
    ) -> list[Effect]:
        """Take a message from a peer; raise `CodecError` for rubbish."""
        return _receive(message, self, sender)

    def table_changes(
        self,
        changes: Sequence[CatalogueChange],
    ) -> list[Effect]:
        """Take what the table has after the own version, maybe nothing."""
        self._table_answered = True
        return self.follow(changes, None)

    def table_whole(self, catalogue: Catalogue) -> list[Effect]:
        """Take the present catalogue of the table."""
        self._table_answered = True
        return self.replace(catalogue, None)

    def follow(
        self,
        changes: Sequence[CatalogueChange],
        sender: InstanceId | None,
    ) -> list[Effect]:
        """Apply those changes that follow the version in force."""
        applied: list[CatalogueChange] = []
        for change in changes:
            if change.version <= self.version:
                continue
            following = apply(self.catalogue, change)
            if isinstance(following, Failure):
                break
            self._put_in_force(following)
            applied.append(change)
        if not applied:
            return []
        self._recent.extend(applied)
        told = self._relay.told(sender)
        message = pack_changes(applied)
        effects: list[Effect] = [Adopt(self.catalogue)]
        effects.extend(Send(one, message) for one in told)
        return effects

    def replace(
        self,
        catalogue: Catalogue,
        sender: InstanceId | None,
    ) -> list[Effect]:
        """Take a whole catalogue if it is a higher version."""
        if catalogue.version <= self.version:
            return []
        self._put_in_force(catalogue)
        self._recent.clear()
        return [Adopt(catalogue), *self._tell(self._relay.told(sender))]

    def heard(
        self, sender: InstanceId, version: CatalogueVersion
    ) -> list[Effect]:
        """Give a peer what it lacks, or ask it for what it has more."""
        if version > self.version:
            return [Send(sender, CatalogueWanted(self.version))]
        if version:
            self._peer_answered = True
        if version == self.version:
            return []
        return [Send(sender, self._after(version))]

    def _after(self, version: CatalogueVersion) -> msgspec.Struct:
        missing = [one for one in self._recent if one.version > version]
        if missing and missing[0].version == version + 1:
            return pack_changes(missing)
        return pack_whole(self.catalogue)

    def _put_in_force(self, catalogue: Catalogue) -> None:
        check(
            Invariant.version_rises,
            catalogue.version > self.version,
            row='catalogue',
            version=catalogue.version,
        )
        self.catalogue = catalogue

    def _tell(self, contacts: Sequence[InstanceId]) -> list[Effect]:
        held = CatalogueHeld(self.version)
        return [Send(contact, held) for contact in contacts]


@functools.singledispatch
def _receive(
    message: msgspec.Struct,
    spread: Spread,
    sender: InstanceId,
) -> list[Effect]:
    raise NotImplementedError(f'no rule for {type(message).__name__}')


@_receive.register
def _receive_held(
    message: CatalogueHeld,
    spread: Spread,
    sender: InstanceId,
) -> list[Effect]:
    return spread.heard(sender, message.version)


@_receive.register
def _receive_wanted(
    message: CatalogueWanted,
    spread: Spread,
    sender: InstanceId,
) -> list[Effect]:
    if message.version >= spread.version:
        return []
    return spread.heard(sender, message.version)


@_receive.register
def _receive_changes(
    message: CatalogueChanges,
    spread: Spread,
    sender: InstanceId,
) -> list[Effect]:
    effects = spread.follow(unpack_changes(message), sender)
    if message.first > spread.version + 1:
        # Some between were missed; the sender has them or the whole.
        return [Send(sender, CatalogueWanted(spread.version))]
    return effects


@_receive.register
def _receive_whole(
    message: CatalogueWhole,
    spread: Spread,
    sender: InstanceId,
) -> list[Effect]:
    return spread.replace(unpack_whole(message), sender)
