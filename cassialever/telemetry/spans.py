"""The tracing interface of the request path, and its no-op implementation.

Without an exporter no spans are created: the caller's trace context, if it is
well formed, is passed on unchanged.
"""

import enum
import re
from typing import Final, Protocol

from cassialever.errors import ErrorKind

TRACEPARENT_HEADER: Final = 'traceparent'

_TRACEPARENT: Final = re.compile('00-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}')
_ZERO_ID: Final = re.compile('00-(0{32}|.{32}-0{16})-.*')


class Hop(enum.Enum):
    """A hop of a request; its value names the span."""

    caller = 'caller'
    target = 'target'


class HopSpan(Protocol):
    """The span of one hop; `traceparent` is the context for the next one."""

    traceparent: str

    def end(self, failure: ErrorKind | None = None) -> None:
        """End the span, once."""


class HopTracer(Protocol):
    """Create a span for each hop of a request."""

    def start_span(
        self,
        hop: Hop,
        traceparent: str,
        request_id: str,
        target_id: str = '',
    ) -> HopSpan:
        """Start the span of a hop as a child of the received context."""


class NoopSpan:
    """A span that is not exported."""

    __slots__ = ('traceparent',)

    def __init__(self, traceparent: str) -> None:
        self.traceparent = traceparent

    def end(self, failure: ErrorKind | None = None) -> None:
        """Do nothing."""


class NoopTracer:
    """Create no spans and pass trace contexts on."""

    def start_span(
        self,
        hop: Hop,
        traceparent: str,
        request_id: str,
        target_id: str = '',
    ) -> HopSpan:
        """Return a no-op span with the received context."""
        return NoopSpan(traceparent)


def validated_traceparent(received: str) -> str:
    """Return a received context if it is well formed, else an empty string."""
    if not _TRACEPARENT.fullmatch(received) or _ZERO_ID.fullmatch(received):
        return ''
    return received
