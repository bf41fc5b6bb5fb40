"""Bound what a peer may send before the body of its answer.

aiohttp parses all bytes that a read returns at once, and bounds single lines
and the number of fields of one head. It bounds neither a head as a whole nor
the heads of interim answers (1xx).
"""

from http import HTTPStatus
from typing import Any, Final

from aiohttp.client_proto import ResponseHandler
from aiohttp.http import HttpProcessingError

#: Bytes of all heads of an answer, those of interim answers included. It is as
#: much as aiohttp holds of a body that nothing reads.
MAX_HEAD_BYTES: Final = 65_536
#: Interim answers before an answer; the platform's pages name none at all.
MAX_INTERIM_ANSWERS: Final = 8
#: The statuses of HTTP; the parser takes any of three digits.
FIRST_STATUS: Final = 100
LAST_STATUS: Final = 599
#: Bytes of a head that are parsed before the limits are checked again.
HEAD_SLICE_BYTES: Final = 1024


class BoundedResponseHandler(ResponseHandler):
    """A client's end of a connection, which is closed beyond the limits.

    The request in progress fails as by an answer that can't be parsed.
    """

    def __init__(self, *arguments: Any, **options: Any) -> None:
        """Start without a request."""
        super().__init__(*arguments, **options)
        self._awaits_head = False
        self._head_bytes = 0
        self._interim_answers = 0
        self._fault = ''

    def set_response_params(self, **options: Any) -> None:
        """Await the answer to a request."""
        self._awaits_head = True
        self._head_bytes = 0
        self._interim_answers = 0
        super().set_response_params(**options)

    def data_received(self, data: bytes) -> None:
        """Parse what was received, in slices until the head is complete."""
        position = 0
        while self._awaits_head and position < len(data):
            part = data[position : position + HEAD_SLICE_BYTES]
            position += len(part)
            self._receive_head(part)
            if self._is_ended():
                return
        if position == 0 or position < len(data):
            self._receive_body(data[position:])

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Pass on an answer that was parsed, unless it is beyond a limit."""
        message = data[0]
        self._check(message.code, is_upgrade=message.upgrade)
        if not self._fault:
            super().feed_data(data, size)

    def _check(self, status: int, *, is_upgrade: bool) -> None:
        if not self._awaits_head:
            self._fault = 'an answer without a request'
            return
        if not FIRST_STATUS <= status <= LAST_STATUS:
            self._fault = f'an answer of status {status:03}'
            return
        if status == HTTPStatus.SWITCHING_PROTOCOLS or is_upgrade:
            self._fault = 'an answer that switches protocols'
            return
        self._awaits_head = status < HTTPStatus.OK
        self._interim_answers += self._awaits_head
        if self._interim_answers > MAX_INTERIM_ANSWERS:
            self._fault = 'too many interim answers'

    def _receive_head(self, part: bytes) -> None:
        super().data_received(part)  # noqa: WPS613
        self._head_bytes += len(part)
        if self._awaits_head and self._head_bytes > MAX_HEAD_BYTES:
            self._fault = self._fault or 'the head of an answer is too long'
        if self._fault:
            self._reject()

    def _receive_body(self, data: bytes) -> None:
        super().data_received(data)  # noqa: WPS613
        if self._fault:
            self._reject()

    def _is_ended(self) -> bool:
        """Return whether nothing more of this connection is to be parsed."""
        transport = self.transport
        return transport is None or transport.is_closing()

    def _reject(self) -> None:
        """Close the connection; an answer that was passed on is kept."""
        if self.transport is not None:
            self.transport.close()
        self.set_exception(HttpProcessingError(message=self._fault))
