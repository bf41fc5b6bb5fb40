"""A link between two daemons: many streams and messages, one connection.

The dialler opens streams, each for one request. Control messages go both
ways. Stream ids only rise, so a late frame never meets another request.
"""

from typing import Protocol

from cassialever.channels import Channel, ChannelState
from cassialever.events import Event, record
from cassialever.exceptions import CodecError, InvariantError, LinkClosedError
from cassialever.frames import (
    LAST_STREAM,
    LINK_STREAM,
    Frame,
    FrameType,
)
from cassialever.handshake import Handshake, Hello, Role
from cassialever.settings import LinkSettings


class Stream(Protocol):
    """One request on a link, at either end."""

    def receive(self, frame: Frame) -> None:
        """Take a frame; raise `CodecError` if it makes no sense."""

    def link_lost(self, reason: str, *, head_left: bool) -> None:
        """End the stream; `head_left` says that its whole head was sent."""


class LinkOwner(Protocol):
    """Who is told of what happens on a link."""

    def link_ready(self, link: 'Link') -> None:
        """Take note that the peer has proved itself."""

    def link_draining(self, link: 'Link') -> None:
        """Open no more streams on this link."""

    def link_ended(self, link: 'Link', reason: str) -> None:
        """Forget the link."""

    def receive_request(self, link: 'Link', frame: Frame) -> None:
        """Begin to serve a request."""

    def receive_control(self, link: 'Link', payload: bytes) -> None:
        """Take a control message."""


class Link(Channel):
    """One end of a link."""

    def __init__(
        self,
        settings: LinkSettings,
        handshake: Handshake,
        owner: LinkOwner,
    ) -> None:
        """Wait for a connection."""
        super().__init__(settings, handshake)
        self.stream_by_id: dict[int, Stream] = {}
        self._role = handshake.role
        self._owner = owner
        self._last_stream = LINK_STREAM
        self._head_end_by_stream: dict[int, int] = {}
        self._control = bytearray()

    def open_stream(self, stream: Stream, head: bytes) -> int:
        """Send a request's head and return its stream's id."""
        if self.state is not ChannelState.ready:
            raise LinkClosedError('the link takes no more requests')
        self._last_stream += 1
        stream_id = self._last_stream
        self.stream_by_id[stream_id] = stream
        self.write(FrameType.request, stream_id, head)
        self._head_end_by_stream[stream_id] = self.queued
        if stream_id == LAST_STREAM:
            self.drain()
        return stream_id

    def forget_stream(self, stream_id: int) -> None:
        """Drop frames of this stream from now on."""
        self.stream_by_id.pop(stream_id, None)
        self._head_end_by_stream.pop(stream_id, None)
        if self.stream_by_id or self.state is not ChannelState.draining:
            return
        if self._role is Role.dialler:
            self.finish()

    def write_control(self, message: bytes) -> None:
        """Queue a control message, in as many frames as it needs."""
        frame_bytes = self.proved_peer().frame_bytes
        start = 0
        while start + frame_bytes < len(message):
            part = message[start : start + frame_bytes]
            self.write(FrameType.control_part, LINK_STREAM, part)
            start += frame_bytes
        self.write(FrameType.control, LINK_STREAM, message[start:])

    def drain(self) -> None:
        """Open no more streams; a dialler ends the link after the last."""
        if self.state is not ChannelState.ready:
            return
        self.state = ChannelState.draining
        self._owner.link_draining(self)
        if self._role is Role.dialler and not self.stream_by_id:
            self.finish()

    def proved_peer(self) -> Hello:
        """Return who the peer is; only for a link that has been ready."""
        if self.peer is None:
            raise InvariantError('a peer counts before it proved itself')
        return self.peer

    def ready(self) -> None:
        """Tell the owner that streams may be opened."""
        peer = self.proved_peer().instance
        record(Event.link_ready, peer=peer, role=self._role.value)
        self._owner.link_ready(self)

    def ended(self, reason: str) -> None:
        """End every stream, truthful about what has left."""
        left = self.bytes_left()
        for stream_id, stream in list(self.stream_by_id.items()):
            head_end = self._head_end_by_stream.get(stream_id, 0)
            stream.link_lost(reason, head_left=head_end <= left)
        self.stream_by_id.clear()
        self._owner.link_ended(self, reason)

    def receive(self, frame: Frame) -> None:
        """Take a frame of a proved peer."""
        if frame.stream_id == LINK_STREAM:
            self._receive_of_link(frame)
            return
        if frame.frame_type is FrameType.request:
            self._receive_request(frame)
            return
        if frame.stream_id > self._last_stream:
            raise CodecError('a frame is of a stream that was never opened')
        stream = self.stream_by_id.get(frame.stream_id)
        if stream:
            stream.receive(frame)

    def _receive_request(self, frame: Frame) -> None:
        if self._role is Role.dialler or frame.stream_id <= self._last_stream:
            raise CodecError('a request is on a stream that can not be new')
        self._last_stream = frame.stream_id
        self._owner.receive_request(self, frame)

    def _receive_of_link(self, frame: Frame) -> None:
        match frame.frame_type:
            case FrameType.ping:
                self.write(FrameType.pong)
            case FrameType.pong:
                return
            case FrameType.control_part:
                self._add_control(frame.payload)
            case FrameType.control:
                self._add_control(frame.payload)
                message = bytes(self._control)
                self._control.clear()
                self._owner.receive_control(self, message)
            case FrameType.goaway:
                self.drain()
            case _:
                raise CodecError('a frame has no stream')

    def _add_control(self, part: bytes) -> None:
        self._control += part
        if len(self._control) > self.settings.message_bytes:
            raise CodecError('a control message is over the limit')
