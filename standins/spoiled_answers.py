"""Ways in which a stand-in target spoils its answers."""

from weakref import WeakKeyDictionary

from aiohttp import web


class SpoiledAnswers:
    """Faults of a target's answers that tests inject."""

    def __init__(self) -> None:
        """Start without faults."""
        #: Write the last refusal of a connection once more when the next
        #: request arrives on it.
        self.repeats_refusals = False
        #: Number of answers to break off within their head.
        self.cut_heads_left = 0
        #: The last request that was refused on each connection.
        self._refused_by_connection: WeakKeyDictionary[object, str] = (
            WeakKeyDictionary()
        )
        #: Write the last answer to a call about keys once more when the next
        #: call arrives on its connection.
        self.repeats_call_answers = False
        self._call_answer_by_connection: WeakKeyDictionary[object, bytes] = (
            WeakKeyDictionary()
        )
        #: How long after their arrival releases are answered, in seconds.
        self.release_time: float = 0
        #: Refuse calls about keys that name another target without saying
        #: which target this one is.
        self.hides_id = False

    def note_refused(self, request: web.Request, request_id: str) -> None:
        """Remember a request that is refused on its connection."""
        if request.transport is not None:
            self._refused_by_connection[request.transport] = request_id

    def repeat_refusal(self, request: web.Request) -> None:
        """Write an earlier refusal once more, if the faults say so."""
        transport = request.transport
        if transport is None or not self.repeats_refusals:
            return
        refused_id = self._refused_by_connection.get(transport)
        if refused_id is not None:
            transport.write(
                f'HTTP/1.1 503 Busy\r\nAttempt-Id: {refused_id}\r\n'
                'Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'.encode(),
            )

    def note_call_answer(
        self, request: web.Request, response: web.Response
    ) -> None:
        """Remember the answer to a call about keys on its connection."""
        if request.transport is None:
            return
        lines = [f'HTTP/1.1 {response.status} Copied', 'Content-Length: 0']
        lines.extend(
            f'{name}: {text}' for name, text in response.headers.items()
        )
        self._call_answer_by_connection[request.transport] = '\r\n'.join(
            [*lines, '\r\n']
        ).encode()

    def repeat_call_answer(self, request: web.Request) -> None:
        """Write an earlier answer once more, if the faults say so."""
        transport = request.transport
        if transport is None or not self.repeats_call_answers:
            return
        transport.write(self._call_answer_by_connection.get(transport, b''))

    def cuts_head(self, request: web.Request, request_id: str) -> bool:
        """Break an answer off within its head, if one is to be."""
        if request.transport is None or not self.cut_heads_left:
            return False
        self.cut_heads_left -= 1
        request.transport.write(
            f'HTTP/1.1 200 OK\r\nAttempt-Id: {request_id}\r\n'.encode(),
        )
        request.transport.close()
        return True
