"""A request at the daemon that sends it over a link."""

import asyncio
from collections.abc import AsyncIterator

from cassialever import codec
from cassialever.errors import ErrorKind, Failure
from cassialever.exceptions import CodecError, LinkClosedError
from cassialever.frames import Frame, FrameType, decode_credit, encode_credit
from cassialever.links import Link
from cassialever.messages import HolderAnswer, RequestHead
from cassialever.streams import BodyReader, BodySender, cut
from cassialever.wire import AnswerHead, decode_failure


class Call:
    """The dialler's end of one stream."""

    def __init__(self, link: Link, head: bytes) -> None:
        """Send the head."""
        loop = asyncio.get_running_loop()
        self._link = link
        self._answer: asyncio.Future[HolderAnswer | Failure]
        self._answer = loop.create_future()
        self._reader = BodyReader(
            link.settings.window_bytes,
            self._give_credit,
            self.cancel,
        )
        self._upload: asyncio.Task[None] | None = None
        self._stream_id = link.open_stream(self, head)
        self._sender = BodySender(link, self._stream_id)

    async def answer(
        self,
        body: AsyncIterator[bytes] | None,
    ) -> HolderAnswer | Failure:
        """Return the answer's head; being cancelled gives the call up."""
        if body is not None:
            upload = self._send_body(body)
            self._upload = asyncio.create_task(upload)
        try:
            return await self._answer
        except asyncio.CancelledError:
            self.cancel()
            raise

    def cancel(self) -> None:
        """Ask the peer to give the request up."""
        self._link.write(FrameType.cancel, self._stream_id)
        self._close()

    def receive(self, frame: Frame) -> None:
        """Take a frame of the answer."""
        match frame.frame_type:
            case FrameType.answer:
                self._receive_answer(frame.payload)
            case FrameType.body if self._answer.done():
                self._reader.feed(frame.payload)
            case FrameType.end if self._answer.done():
                self._reader.finish()
                self._close()
            case FrameType.failure:
                self._fail(decode_failure(frame.payload))
            case FrameType.window:
                self._sender.credit.add(decode_credit(frame.payload))
            case _:
                raise CodecError('a frame has no place in an answer')

    def link_lost(self, reason: str, *, head_left: bool) -> None:
        """Fail, saying truly whether the peer can have seen the request."""
        if self._answer.done():
            self._fail(cut(reason))
            return
        kind = ErrorKind.peer_unreachable
        if head_left:
            kind = ErrorKind.outcome_unknown
        self._fail(Failure(kind, reason))

    def _receive_answer(self, payload: bytes) -> None:
        if self._answer.done():
            raise CodecError('a second answer came on one stream')
        head = codec.decode_as(AnswerHead, payload)
        self._answer.set_result(
            HolderAnswer(head.status, head.headers, head.load, self._reader),
        )

    def _fail(self, failure: Failure) -> None:
        if self._answer.done():
            self._reader.finish(failure)
        else:
            self._answer.set_result(failure)
        self._close()

    def _close(self) -> None:
        self._sender.credit.close()
        if self._upload:
            self._upload.cancel()
        self._link.forget_stream(self._stream_id)

    def _give_credit(self, credit: int) -> None:
        payload = encode_credit(credit)
        self._link.write(FrameType.window, self._stream_id, payload)

    async def _send_body(self, body: AsyncIterator[bytes]) -> None:
        try:
            async for chunk in body:
                await self._sender.send(chunk)
        except LinkClosedError:
            return
        except Exception as error:
            self._break_off(error)
            return
        self._link.write(FrameType.end, self._stream_id)

    def _break_off(self, error: Exception) -> None:
        """Give up a request whose body broke off at its source."""
        self._link.write(FrameType.cancel, self._stream_id)
        self._fail(Failure(ErrorKind.outcome_unknown, f'no body: {error!r}'))


def start_call(link: Link, head: RequestHead) -> Call | Failure:
    """Send a request's head, if the peer takes one of its size."""
    encoded = codec.encode(head)
    if len(encoded) > link.proved_peer().frame_bytes:
        return Failure(ErrorKind.bad_request, 'the head is over the limit')
    return Call(link, encoded)
