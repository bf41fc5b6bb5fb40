"""The state of a daemon's tables, for its lines about requests."""

from typing import Any

import msgspec

from cassialever.types import Seconds


class TablesState(msgspec.Struct, frozen=True):
    """What a daemon knew at one moment.

    `age` is the time since its tables were last known to be complete.
    """

    #: The version of the configuration in force.
    configuration: int = 0
    age: Seconds = 0
    #: Where the rows that changed last came from.
    newest_from: str = ''
    #: The time since the daemon lost its leader; 0 with a leader.
    without_leader: Seconds = 0

    def fields(self) -> dict[str, Any]:
        """Return the fields of a line about a request."""
        return {
            'configuration': self.configuration,
            'tables_age': round(self.age, 3),
            'tables_from': self.newest_from,
            'without_leader': round(self.without_leader, 3),
        }
