"""What a daemon does about the leadership, as it says to its peers."""

import enum


class Activity(enum.Enum):
    """What a daemon was doing when it sent a farewell."""

    #: A build without this field, or a later one with other values.
    unknown = ''
    seeking = 'seeking'
    following = 'following'
    #: It holds the lease; such a peer was asked for its tables only, or has a
    #: term though it takes no followers.
    leading = 'leading'
    #: Its term has just ended.
    deposed = 'deposed'
    #: It leaves the leadership to daemons that reach more targets.
    yielding = 'yielding'
    stopping = 'stopping'

    @classmethod
    def _missing_(cls, value: object) -> 'Activity':  # noqa: WPS120
        """Take a value of a later build for an unknown activity."""
        return cls.unknown


def unknown_activity() -> Activity:
    """Return that the activity is not known; the default of a relay."""
    return Activity.unknown
