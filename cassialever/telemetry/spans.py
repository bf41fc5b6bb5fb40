"""What the request path needs of traces, without any exporter.

With no exporter set, no span is made: the caller's own context, if it is
well formed, is handed on as it came, and nothing else is done.
"""

import enum
import re
from typing import Final, Protocol

from cassialever.errors import ErrorKind

TRACEPARENT_HEADER: Final = 'traceparent'

_TRACEPARENT: Final = re.compile('00-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}')
_ZERO_ID: Final = re.compile('00-(0{32}|.{32}-0{16})-.*')


class Hop(enum.Enum):
    """The hops of a request."""

    caller = 'caller'
    target = 'target'


class HopSpan(Protocol):
    """The span of one hop; `traceparent` goes with the request from here."""

    traceparent: str

    def end(self, failure: ErrorKind | None = None) -> None:
        """End the span, once."""


class HopTracer(Protocol):
    """Starts the span of each hop."""

    def start_span(
        self,
        hop: Hop,
        traceparent: str,
        request_id: str,
        target_id: str = '',
    ) -> HopSpan:
        """Start the span of a hop, under the context that came with it."""


class NoopSpan:
    """Stand for a span where there is no exporter."""

    __slots__ = ('traceparent',)

    def __init__(self, traceparent: str) -> None:
        """Take the context that came with the request."""
        self.traceparent = traceparent

    def end(self, failure: ErrorKind | None = None) -> None:
        """Do nothing."""


class NoopTracer:
    """Make no spans."""

    def start_span(
        self,
        hop: Hop,
        traceparent: str,
        request_id: str,
        target_id: str = '',
    ) -> HopSpan:
        """Hand the context on."""
        return NoopSpan(traceparent)


def validated_traceparent(given: str) -> str:
    """Return a context from outside if it is well formed, else nothing."""
    if not _TRACEPARENT.fullmatch(given) or _ZERO_ID.fullmatch(given):
        return ''
    return given
