"""Long downloads that go on where they broke off, or break visibly.

An answer to a GET that breaks off is taken up again by byte range, as long
as the target proves by a strong validator that it is still the same body.
"""

import re
from collections.abc import AsyncIterator, Awaitable, Callable
from http import HTTPStatus
from typing import Final, Protocol

from cassialever.errors import Failure
from cassialever.misc import close_body
from cassialever.types import Headers

_CONTENT_RANGE: Final = re.compile(r'bytes (\d+)-(\d+)/(\d+)')


class Answer(Protocol):
    """An answer of a target or of a leaseholder."""

    status: int
    headers: Headers
    body: AsyncIterator[bytes | Failure]


#: Send the request once more with further headers, within the retry budget.
Fetch = Callable[[Headers], Awaitable[Answer | Failure]]


def resumable_body(
    method: str,
    request_headers: Headers,
    answer: Answer,
    fetch: Fetch,
) -> AsyncIterator[bytes | Failure]:
    """Return the answer's body, which goes on by itself where it can."""
    etag = header(answer.headers, 'etag')
    length = header(answer.headers, 'content-length')
    whole = answer.status == HTTPStatus.OK and method == 'GET'
    ranged = header(request_headers, 'range') is not None
    if not whole or ranged or not is_strong(etag) or length is None:
        return answer.body
    return ResumableBody(answer, etag or '', int(length), fetch)


class ResumableBody:
    """The body of a download."""

    def __init__(
        self,
        answer: Answer,
        etag: str,
        length: int,
        fetch: Fetch,
    ) -> None:
        """Begin with the first answer; `length` is in bytes."""
        self._body = answer.body
        self._etag = etag
        self._length = length
        self._fetch = fetch
        self._received = 0

    def __aiter__(self) -> AsyncIterator[bytes | Failure]:
        """Read this body; it can be read once."""
        return self

    async def __anext__(self) -> bytes | Failure:
        """Return the next chunk; a `Failure` is the last."""
        while True:
            chunk = await anext(self._body)
            if isinstance(chunk, bytes):
                self._received += len(chunk)
                return chunk
            if not await self._resume():
                return chunk

    async def aclose(self) -> None:
        """Give up what is left."""
        await close_body(self._body)

    async def _resume(self) -> bool:
        """Take the body up where it broke off; say whether that worked."""
        answer = await self._fetch(
            (
                ('Range', f'bytes={self._received}-'),
                ('If-Range', self._etag),
            )
        )
        if isinstance(answer, Failure):
            return False
        if not self._goes_on(answer):
            await close_body(answer.body)
            return False
        self._body = answer.body
        return True

    def _goes_on(self, answer: Answer) -> bool:
        same = header(answer.headers, 'etag') == self._etag
        return same and (self._is_rest(answer) or self._is_whole(answer))

    def _is_whole(self, answer: Answer) -> bool:
        """Say whether it is all of the body, of which nothing has come."""
        length = header(answer.headers, 'content-length')
        is_all = answer.status == HTTPStatus.OK and length == str(self._length)
        return is_all and not self._received

    def _is_rest(self, answer: Answer) -> bool:
        span = header(answer.headers, 'content-range') or ''
        match = _CONTENT_RANGE.fullmatch(span)
        if match is None or answer.status != HTTPStatus.PARTIAL_CONTENT:
            return False
        wanted = (self._received, self._length - 1, self._length)
        return tuple(map(int, match.groups())) == wanted


def header(headers: Headers, wanted: str) -> str | None:
    """Return the first value of a header whose lower-case name is given."""
    for name, value in headers:
        if name.lower() == wanted:
            return value
    return None


def is_strong(etag: str | None) -> bool:
    """Say whether a validator promises the same bytes."""
    return etag is not None and etag.startswith('"')
