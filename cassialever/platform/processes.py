"""Tell which connections reach the same process of a target."""

import itertools
import math
from collections.abc import Iterable
from typing import Final
from weakref import WeakKeyDictionary, WeakSet

import msgspec

from cassialever.types import Seconds

_numbers: Final = itertools.count(1)


class TargetProcess:
    """A process of a target, known by the connections that reach it.

    It may turn out to be one that is known already. Both objects then share
    their connections and number.
    """

    def __init__(self, connection: object) -> None:
        """Start with one connection."""
        self._connections: WeakSet[object] = WeakSet([connection])
        self._number = next(_numbers)
        self._found_to_be: TargetProcess | None = None

    @property
    def connections(self) -> WeakSet[object]:
        """Return the connections that reach it."""
        return self.found()._connections

    @property
    def number(self) -> int:
        """Return what names it in the log of this daemon."""
        return self.found()._number

    def is_same(self, other: 'TargetProcess') -> bool:
        """Return whether a connection is known to reach both."""
        return not self.connections.isdisjoint(other.connections)

    def join(self, other: 'TargetProcess') -> None:
        """Note that another one is the same as this one."""
        found = other.found()
        if found is self.found():
            return
        self.connections.update(found.connections)
        found._found_to_be = self.found()

    def found(self) -> 'TargetProcess':
        """Return the process that this one was found to be."""
        found = self
        while found._found_to_be is not None:
            found = found._found_to_be
        return found


class _Connection(msgspec.Struct, eq=False):
    """When a connection was made, and when it had its first answer."""

    process: TargetProcess
    made_at: Seconds = -math.inf
    answered_at: Seconds = math.inf
    #: The status of the last answer.
    status: int | None = None


class TargetProcesses:
    """The processes that a client's connections to targets reach.

    A connection stays with one process. A second one reaches the same if the
    process has answered on the first before the second was made, and again
    after an answer on the second: no other process had its address in between.
    That a connection is made shows nothing, as a proxy on the way may accept
    it before it has reached the target. Nor does an answer that may be the copy
    of an earlier one, which may come after its process has ended.
    """

    def __init__(self) -> None:
        """Start without connections."""
        self._known: WeakKeyDictionary[object, _Connection] = (
            WeakKeyDictionary()
        )

    def record_made(self, connection: object, now: Seconds) -> None:
        """Note a connection on which nothing was sent yet."""
        self._known[connection] = _Connection(
            TargetProcess(connection), made_at=now
        )

    def has_answered(self, connection: object) -> bool:
        """Return whether an answer came on a connection before."""
        known = self._known.get(connection)
        return known is not None and known.answered_at < math.inf

    def has_unproven(
        self, process: TargetProcess, others: Iterable[object]
    ) -> bool:
        """Return whether an answer of a process may prove that others reach it.

        They are the idle connections to its address.
        """
        answering = [self._known[one] for one in process.connections]
        for other in others:
            known = self._known.get(other)
            if known is None or known.answered_at == math.inf:
                continue
            is_proven = known.process.is_same(process)
            sent_at = known.answered_at
            if not is_proven and any(
                _reaches_same(one, known, sent_at) for one in answering
            ):
                return True
        return False

    def record_status(self, connection: object, status: int) -> bool:
        """Note the status of an answer; return whether it can't be a copy.

        A copy comes where the next answer is expected, so that it has the
        status of the answer before it.
        """
        known = self._known.setdefault(
            connection, _Connection(TargetProcess(connection))
        )
        is_copy = known.status == status
        known.status = status
        return not is_copy

    def record_answer(
        self,
        connection: object,
        sent_at: Seconds,
        now: Seconds,
        others: Iterable[object],
    ) -> TargetProcess:
        """Note an answer; return the process that gave it.

        `others` are the idle connections to the same address, if the answer
        can't be a copy.
        """
        answering = self._known.get(connection)
        if answering is None:
            answering = _Connection(TargetProcess(connection))
            self._known[connection] = answering
        for other in others:
            known = self._known.get(other)
            if known is not None and _reaches_same(answering, known, sent_at):
                answering.process.join(known.process)
        answering.answered_at = min(answering.answered_at, now)
        return answering.process.found()


def _reaches_same(
    answering: _Connection, other: _Connection, sent_at: Seconds
) -> bool:
    return answering.answered_at < other.made_at and (
        other.answered_at <= sent_at
    )
