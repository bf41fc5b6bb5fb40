"""The version of the messages between daemons.

Each daemon names its version in its greeting, in its heartbeats as a leader and
in its datagrams. Peers send it only types of messages that it reads.
"""

from typing import Final, NewType

MessageVersion = NewType('MessageVersion', int)

#: The version of a build that names none.
FIRST_VERSION: Final = MessageVersion(0)
#: The first version that reads reports of crashes.
CRASHES_VERSION: Final = MessageVersion(2)
#: The first version that hands out places at targets.
PLACES_VERSION: Final = MessageVersion(4)
#: The version that this build writes. It rises with each type that the build
#: before doesn't know; a field at the end of a type needs no new version.
MESSAGE_VERSION: Final = MessageVersion(4)
