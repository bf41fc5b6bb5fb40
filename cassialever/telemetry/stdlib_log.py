"""Turn what libraries log into numbered events, and count their errors.

The event loop and the HTTP servers catch what a connection's task or a
callback raises, and hand it to the standard library's logging.
"""

import asyncio
import collections
import itertools
import logging
import time
import traceback
from types import CodeType, TracebackType
from typing import Final, TypeAlias

from aiohttp.http import HttpProcessingError

from cassialever.events import Event, record
from cassialever.types import Seconds

#: Shortest time between two events of a kind about the same place.
LOG_INTERVAL: Final[Seconds] = 1.0
#: Places that are told apart; all others share one count.
MAX_PLACES: Final = 64
OTHER_PLACES: Final = 'other places'
#: Innermost frames that name a place.
MAX_FRAMES: Final = 4

#: A place, and whether an error was logged there.
_Kind: TypeAlias = tuple[str, bool]

#: Errors of each place since the process started. Their places are the same
#: as in the events.
errors_by_place: collections.Counter[str] = collections.Counter()


class LibraryLogHandler(logging.Handler):
    """Records warnings and errors of libraries, without blocking."""

    def __init__(self) -> None:
        """Start with nothing recorded; `install` begins to handle."""
        super().__init__(logging.WARNING)
        self._places: set[str] = set()
        self._recorded_at_by_kind: dict[_Kind, Seconds] = {}
        self._skipped_by_kind: collections.Counter[_Kind] = (
            collections.Counter()
        )

    def install(self) -> None:
        """Handle what all libraries log."""
        logging.getLogger().addHandler(self)

    def uninstall(self) -> None:
        """Handle nothing more."""
        logging.getLogger().removeHandler(self)

    def emit(self, library_record: logging.LogRecord) -> None:
        """Count an error, and record an event unless its place had one.

        What a record raises that can't be formatted is for standard error: an
        exception would go to the library that has logged it.
        """
        try:
            self._emit(library_record)
        except Exception:
            self.handleError(library_record)

    def _emit(self, library_record: logging.LogRecord) -> None:
        is_error = is_fault(library_record)
        place = self._place_of(library_record)
        if is_error:
            errors_by_place[place] += 1
        now = time.monotonic()
        # An error is recorded though a warning of its place was.
        kind = (place, is_error)
        recorded_at = self._recorded_at_by_kind.get(kind)
        if recorded_at is not None and now - recorded_at < LOG_INTERVAL:
            self._skipped_by_kind[kind] += 1
            return
        self._recorded_at_by_kind[kind] = now
        record(
            Event.exception_unhandled if is_error else Event.library_warned,
            library=library_record.name,
            reason=_reason_of(library_record),
            place=place,
            skipped=self._skipped_by_kind.pop(kind, 0),
        )

    def _place_of(self, library_record: logging.LogRecord) -> str:
        trace = library_record.exc_info[2] if library_record.exc_info else None
        place = _frames_of(trace) or library_record.name
        if len(self._places) < MAX_PLACES:
            self._places.add(place)
        return place if place in self._places else OTHER_PLACES


def is_fault(library_record: logging.LogRecord) -> bool:
    """Return whether a library logged an error that a program has to handle.

    Streams of Python 3.11 report the task of a connection that is cancelled, as
    at the end of a process, like one that has raised. A callback of this
    program that raises so is at fault. Bytes that are no request are the fault
    of the client that has sent them.
    """
    if library_record.levelno < logging.ERROR:
        return False
    if library_record.exc_info is None:
        return True
    _, error, trace = library_record.exc_info
    if isinstance(error, HttpProcessingError):
        return False
    is_cancelled = isinstance(error, asyncio.CancelledError)
    return not is_cancelled or not _is_by_stream(trace)


def _is_by_stream(trace: TracebackType | None) -> bool:
    """Return whether the event loop has called a stream's callback."""
    frames = itertools.islice(traceback.walk_tb(trace), 2)
    files = [frame.f_code.co_filename for frame, _ in frames]
    return files == [asyncio.events.__file__, asyncio.streams.__file__]


def _frames_of(trace: TracebackType | None) -> str:
    """Return the innermost frames, the innermost one last."""
    # A summary of the standard library reads the lines of source files.
    innermost = collections.deque(traceback.walk_tb(trace), MAX_FRAMES)
    return ' > '.join(_place(frame.f_code, line) for frame, line in innermost)


def _place(code: CodeType, line: int) -> str:
    return f'{code.co_filename.rpartition("/")[2]}:{line} {code.co_name}'


def _reason_of(library_record: logging.LogRecord) -> str:
    """Return the first line of a message, and the error that came with it."""
    message = library_record.getMessage().partition('\n')[0]
    error = library_record.exc_info and library_record.exc_info[1]
    return f'{message}: {error!r}' if error else message
