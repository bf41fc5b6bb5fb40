"""A request at the daemon that receives it over a link."""

import asyncio
from collections.abc import AsyncIterator

from cassialever import codec
from cassialever.errors import ErrorKind, Failure
from cassialever.events import Event, record
from cassialever.exceptions import CodecError, LinkClosedError
from cassialever.frames import Frame, FrameType, decode_credit, encode_credit
from cassialever.links import Link
from cassialever.messages import HolderAnswer, RequestHandler, RequestHead
from cassialever.misc import close_body
from cassialever.streams import (
    BodyReader,
    BodySender,
    cut,
    request_body,
)
from cassialever.wire import AnswerHead


class ServedRequest:
    """The acceptor's end of one stream."""

    def __init__(
        self,
        link: Link,
        stream_id: int,
        head: RequestHead,
    ) -> None:
        """Take the stream; `run` serves it."""
        self._link = link
        self._stream_id = stream_id
        self._head = head
        self._sender = BodySender(link, stream_id)
        self._reader = BodyReader(
            link.settings.window_bytes,
            self._give_credit,
            self._ignore,
        )
        self._task: asyncio.Task[None] | None = None
        link.stream_by_id[stream_id] = self

    def start(self, request_handler: RequestHandler) -> asyncio.Task[None]:
        """Serve the request in a task of its own and return the task."""
        task = asyncio.create_task(self._run(request_handler))
        self._task = task
        return task

    def receive(self, frame: Frame) -> None:
        """Take a frame of the request."""
        match frame.frame_type:
            case FrameType.body if self._head.has_body:
                self._reader.feed(frame.payload)
            case FrameType.end if self._head.has_body:
                self._reader.finish()
            case FrameType.window:
                self._sender.credit.add(decode_credit(frame.payload))
            case FrameType.cancel:
                self._stop('the caller gave up')
            case _:
                raise CodecError('a frame has no place in a request')

    def link_lost(self, reason: str, *, head_left: bool) -> None:
        """Give up what is repeatable; the rest runs on.

        The outcome of the rest is kept under the request's id, where the
        caller's second try finds it.
        """
        self._sender.credit.close()
        self._reader.finish(cut(reason))
        if self._task and self._head.repeatable:
            self._task.cancel()

    def _stop(self, reason: str) -> None:
        self._sender.credit.close()
        self._reader.finish(cut(reason))
        self._link.forget_stream(self._stream_id)
        if self._task:
            self._task.cancel()

    async def _run(self, request_handler: RequestHandler) -> None:
        body = request_body(self._reader) if self._head.has_body else None
        try:
            await self._answer(request_handler, body)
        except LinkClosedError:
            return
        except Exception as error:
            record(Event.task_failed, task='served request', error=repr(error))
            self._write_failure(
                Failure(ErrorKind.internal, 'the handler has a fault'),
            )
        finally:
            self._link.forget_stream(self._stream_id)

    async def _answer(
        self,
        request_handler: RequestHandler,
        body: AsyncIterator[bytes] | None,
    ) -> None:
        answer = await request_handler.handle(self._head, body)
        if isinstance(answer, Failure):
            self._write_failure(answer)
            return
        try:
            await self._send(answer)
        finally:
            await close_body(answer.body)

    async def _send(self, answer: HolderAnswer) -> None:
        head = codec.encode(
            AnswerHead(answer.status, answer.headers, answer.load),
        )
        if len(head) > self._link.proved_peer().frame_bytes:
            self._write_failure(
                Failure(ErrorKind.target_failed, 'the answer head is too long'),
            )
            return
        self._link.write(FrameType.answer, self._stream_id, head)
        async for part in answer.body:
            if isinstance(part, Failure):
                self._write_failure(part)
                return
            await self._sender.send(part)
        self._link.write(FrameType.end, self._stream_id)

    def _write_failure(self, failure: Failure) -> None:
        self._link.write(
            FrameType.failure,
            self._stream_id,
            codec.encode(failure),
        )

    def _give_credit(self, credit: int) -> None:
        payload = encode_credit(credit)
        self._link.write(FrameType.window, self._stream_id, payload)

    def _ignore(self) -> None:
        """Let the rest of the body be dropped when it comes."""
