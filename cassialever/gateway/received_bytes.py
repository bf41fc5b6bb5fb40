"""Keep the bytes of a caller unparsed until they can be parsed cheaply.

A head that is parsed as it arrives takes far more memory than its bytes, for
as long as its caller leaves it unfinished. It is parsed once it is there
whole, and so are the requests behind one that is being answered.
"""

from typing import Final

#: What the head of a request ends with.
HEAD_END: Final = b'\r\n\r\n'
#: Bytes that are parsed at once of a body in chunks, of which it is not known
#: where it ends: a part of the next head may be among them.
CHUNKED_PART_BYTES: Final = 4096
_LINE_END: Final = b'\n'


class ReceivedBytes:
    """The bytes of one connection that are not parsed yet."""

    def __init__(self) -> None:
        self._pending = bytearray()
        #: Where the search for the end of a head goes on.
        self._searched = 0
        #: Bytes that are left of the body that is being parsed, None if it is
        #: in chunks.
        self.body_left: int | None = 0

    def __len__(self) -> int:
        """Return the number of bytes."""
        return len(self._pending)

    @property
    def has_begun(self) -> bool:
        """Return whether a part of a request is there; blank lines are none."""
        return bool(self._pending.strip())

    def add(self, data: bytes) -> None:
        """Add received bytes."""
        self._pending += data

    def clear(self) -> None:
        """Drop all bytes."""
        self._pending.clear()
        self._searched = 0

    def head_size(self) -> int:
        """Return the size of the head that is there whole, 0 if none is."""
        place = self._pending.find(HEAD_END, self._searched)
        if place < 0:
            self._searched = max(len(self._pending) - len(HEAD_END) + 1, 0)
            return 0
        return place + len(HEAD_END)

    def count_fields(self, size: int) -> int:
        """Return the number of lines in a head."""
        return self._pending.count(_LINE_END, 0, size)

    def take_head(self, size: int) -> bytes:
        """Remove and return a head."""
        self._searched = 0
        return self._take(size)

    def take_body(self) -> bytes:
        """Remove and return bytes of the body that is being parsed."""
        if self.body_left is None:
            return self._take(CHUNKED_PART_BYTES)
        part = self._take(self.body_left)
        self.body_left -= len(part)
        return part

    def take_all(self) -> bytes:
        """Remove and return all bytes."""
        return self._take(len(self._pending))

    def _take(self, size: int) -> bytes:
        part = bytes(self._pending[:size])
        self._pending = self._pending[size:]
        return part
