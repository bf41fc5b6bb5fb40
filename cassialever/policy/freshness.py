"""Decide whether this daemon's tables are new enough to act on.

A change of the store's tables has to be in force soon after it is
acknowledged. One that this daemon lacks was acknowledged after its tables were
last known to be complete. So while these are complete as of a short time ago it
acts on them, though it has heard of newer ones. Later it does not, if it can
get those. One that merely can't confirm its tables waits for a moment, as its
own loop may be late, and then goes on: while the store is away for all, every
daemon is in that state.
"""

import enum
from typing import Final

import msgspec

from cassialever.types import Seconds

#: Age of the last confirmation up to which a daemon acts on its tables, of the
#: 2.5 s for a change. After that it looks for another one first.
MAX_UNCONFIRMED_AGE: Final[Seconds] = 2.0
#: How long it looks for one: what has arrived meanwhile is read within it.
MAX_CONFIRMATION_WAIT: Final[Seconds] = 0.1
#: How long it looks while other daemons are asked that have not answered: as
#: long as a copy of the tables takes over a slow link.
MAX_LOOK_TIME: Final[Seconds] = 0.5
#: How long a request waits for newer tables, as a share of its objective.
MAX_WAIT_SHARE: Final = 0.5
#: How long a request without a route waits for newer tables.
MAX_ROUTE_WAIT: Final[Seconds] = 0.3
#: Time between two looks of a request that waits.
POLL_INTERVAL: Final[Seconds] = 0.02


class Verdict(enum.Enum):
    """Whether a daemon may act on its tables."""

    current = 'current'
    #: Something that confirms them may be about to be read.
    unconfirmed = 'unconfirmed'
    #: Newer ones are known, and under way.
    outdated = 'outdated'


class Knowledge(msgspec.Struct, frozen=True):
    """What a daemon knows of the age of its tables.

    `age` is the time since they were last known to be the newest, and
    `unconfirmed_for` how long that has been too long ago. `behind_for` is the
    time since it heard of a newer version; 0 if there is none that it lacks.
    """

    age: Seconds = 0
    unconfirmed_for: Seconds = 0
    behind_for: Seconds = 0
    #: Whether another daemon or the store may still give the newer version.
    can_catch_up: bool = True
    #: Whether a version of the configuration is among those that are lacking.
    lacks_configuration: bool = False
    #: Whether other daemons are being asked to confirm the tables.
    is_looking: bool = False


def judge(knowledge: Knowledge) -> Verdict:
    """Return whether a daemon may act on its tables."""
    if knowledge.age <= MAX_UNCONFIRMED_AGE:
        return Verdict.current
    if knowledge.behind_for > 0 and knowledge.can_catch_up:
        return Verdict.outdated
    longest = MAX_LOOK_TIME if knowledge.is_looking else MAX_CONFIRMATION_WAIT
    if knowledge.unconfirmed_for < longest:
        return Verdict.unconfirmed
    return Verdict.current


def reason_to_wait(knowledge: Knowledge) -> str:
    """Return why nothing may be sent by the tables now; empty if it may."""
    verdict = judge(knowledge)
    if verdict is Verdict.outdated:
        return 'newer tables are under way'
    if verdict is Verdict.unconfirmed:
        return 'the tables are not confirmed'
    return ''


def is_newest_configuration(knowledge: Knowledge) -> bool:
    """Return whether no newer configuration is known, nor likely."""
    if knowledge.lacks_configuration:
        return False
    return knowledge.age <= MAX_UNCONFIRMED_AGE
