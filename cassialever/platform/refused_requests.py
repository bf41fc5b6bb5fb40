"""Know which requests were refused on which connection.

A target may write a refusal once more on the same connection. While another try
of the same request is open there, the copy looks like its answer, so that no
connection gets a request which was refused on it before.
"""

from typing import Final, TypeAlias
from weakref import WeakKeyDictionary

#: Refusals after which a connection is not used again, since the ids of the
#: refused requests are kept with it.
MAX_REFUSED_IDS: Final = 64

_IdsByConnection: TypeAlias = WeakKeyDictionary[object, set[str]]


class RefusedRequests:
    """The ids of the requests that were refused on each open connection."""

    def __init__(self) -> None:
        """Start without refusals; closed connections are forgotten."""
        self._ids_by_connection: _IdsByConnection = WeakKeyDictionary()

    def add(self, connection: object, request_id: str) -> bool:
        """Note a refusal; return whether the connection is still of use."""
        ids = self._ids_by_connection.setdefault(connection, set())
        ids.add(request_id)
        return len(ids) < MAX_REFUSED_IDS

    def may_send(self, connection: object, request_id: str) -> bool:
        """Return whether a request was not refused on a connection yet."""
        return request_id not in self._ids_by_connection.get(connection, ())
