"""One connection between two daemons: framed, proved, watched for silence."""

import asyncio
import enum
import math

from msgspec.structs import astuple

from cassialever.events import Event, record
from cassialever.exceptions import CodecError
from cassialever.frames import (
    LINK_STREAM,
    Frame,
    FrameDecoder,
    FrameType,
    encode_frame,
)
from cassialever.handshake import HANDSHAKE_BYTES, Handshake, Hello, Role
from cassialever.outputs import Output
from cassialever.settings import LinkSettings


class ChannelState(enum.Enum):
    """How far a connection has come."""

    opening = 'opening'
    ready = 'ready'
    draining = 'draining'
    closed = 'closed'


class Channel(Output):
    """The connection below a link."""

    def __init__(self, settings: LinkSettings, handshake: Handshake) -> None:
        """Wait for a connection; nothing counts before the handshake."""
        super().__init__()
        self.settings = settings
        self.state = ChannelState.opening
        self.peer: Hello | None = None
        self._handshake = handshake
        self._decoder = FrameDecoder(HANDSHAKE_BYTES)
        self._heard = False
        self._quiet_ticks = 0

    # What a link adds.

    def ready(self) -> None:
        """Begin: the peer has proved itself."""
        raise NotImplementedError

    def receive(self, frame: Frame) -> None:
        """Take a frame of a proved peer; raise `CodecError` if rubbish."""
        raise NotImplementedError

    def ended(self, reason: str) -> None:
        """Clean up; called once."""
        raise NotImplementedError

    # What asyncio calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin; the dialler says hello first."""
        super().connection_made(transport)
        if self._handshake.role is Role.dialler:
            self.write(*astuple(self._handshake.hello))

    def data_received(self, chunk: bytes) -> None:
        """Take bytes; drop the connection if they are rubbish."""
        self._heard = True
        try:
            for frame in self._decoder.feed(chunk):
                self._receive(frame)
        except CodecError as error:
            event = Event.link_rubbish
            if self.state is ChannelState.opening:
                event = Event.link_refused
            self.close(str(error), event)

    def connection_lost(self, error: Exception | None) -> None:
        """Take note that the connection is no more."""
        why = error or 'closed by the peer'
        self.close(f'the connection ended: {why}')

    # What a link calls.

    def write(
        self,
        frame_type: FrameType,
        stream_id: int = LINK_STREAM,
        payload: bytes = b'',
    ) -> None:
        """Queue a frame; one on a closed connection is dropped."""
        if self.state is not ChannelState.closed:
            self.queue(encode_frame(frame_type, stream_id, payload))

    def tick(self) -> None:
        """Take note that a ping interval has passed.

        Silence is counted in ticks, not in time, so that a pause of this
        process is not taken for silence of its peers.
        """
        if self._heard and self.state is not ChannelState.opening:
            self._quiet_ticks = 0
        else:
            self._quiet_ticks += 1
        self._heard = False
        longest = self.settings.silent_after / self.settings.ping_interval
        if self._quiet_ticks >= math.ceil(longest):
            self.close('the peer went silent', Event.link_silent)
            return
        if self.state is not ChannelState.opening:
            self.write(FrameType.ping)

    def close(self, reason: str, event: Event = Event.link_lost) -> None:
        """End the connection at once; what has not left never will."""
        if self.state is ChannelState.closed:
            return
        record(event, peer=self.peer and self.peer.instance, reason=reason)
        self.ended(reason)
        self.state = ChannelState.closed
        self.abort_output()

    def finish(self) -> None:
        """End the connection once all that is queued has left."""
        if self.state is ChannelState.closed:
            return
        self.ended('the link was closed')
        self.state = ChannelState.closed
        self.finish_output()

    def _receive(self, frame: Frame) -> None:
        if self.state is ChannelState.closed:
            return
        if self.state is not ChannelState.opening:
            self.receive(frame)
            return
        greeting = self._handshake.receive(frame)
        for reply in greeting.replies:
            self.write(*astuple(reply))
        if greeting.peer:
            self.peer = greeting.peer
            self._decoder.limit = self.settings.frame_bytes
            self.state = ChannelState.ready
            self.ready()
