"""Clients send a repeatable request behind another one, each with a body."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from rig_2 import (  # noqa: E402
    BROKEN,
    HELD,
    HOST,
    Answer,
    Rig,
    Target,
    configuration,
    head,
    play,
    read_answer,
    route,
    service,
)

#: Of the route, and what a final answer may be later by the rule.
TIMEOUT_S = 1.0
LATE_S = 0.5
#: Requests that may have no final answer by then.
MAX_UNANSWERED = 7
#: How long a client waits for its answers, in milliseconds and seconds.
DEADLINE_MS = 4000
DEADLINE_S = DEADLINE_MS / 1000
CLIENTS = 30
PAIRS = 2
FIRST_BODY = b'a' * 300
SECOND_BODY = b'b' * 1800


class Pair:
    """Two requests on one connection, the second sent before the answer."""

    def __init__(self, rig: Rig, number: int) -> None:
        """Name the attempts."""
        self.rig = rig
        self.ids = (f'{number}.first', f'{number}.second')
        #: Seconds from the last byte to the answer; infinite without one.
        self.answered_after = [float('inf'), float('inf')]
        self.came = ['nothing', 'nothing']

    def first(self) -> bytes:
        """Return the bytes of the first request."""
        if not self.rig.has_trouble:
            framing = f'Content-Length: {len(FIRST_BODY)}'
            return self._head(0, framing) + FIRST_BODY
        chunk = b'%x\r\n%s\r\n0\r\n\r\n' % (len(FIRST_BODY), FIRST_BODY)
        return self._head(0, 'Transfer-Encoding: chunked') + chunk

    async def send(self) -> None:
        """Send both, the body of the second in a write of its own."""
        reader, writer = await asyncio.open_connection(HOST, self.port)
        writer.write(
            self.first() + self._head(1, f'Content-Length: {len(SECOND_BODY)}')
        )
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.write(SECOND_BODY)
        await writer.drain()
        sent_at = time.monotonic()
        self.rig.record.note('client has sent', *self.ids)
        try:
            async with asyncio.timeout(DEADLINE_S):
                await self._read(reader, sent_at)
        except TimeoutError:
            pass
        finally:
            writer.close()
        for number in range(2):
            self.rig.record.note(
                'client got',
                self.ids[number],
                self.came[number],
                f'after {self.answered_after[number]:.3f} s',
            )

    @property
    def port(self) -> int:
        """Return the port for callers."""
        return self.rig.daemons[0].ports[0]

    async def _read(self, reader: asyncio.StreamReader, sent_at: float) -> None:
        for number in range(2):
            answer = await read_answer(reader)
            if not isinstance(answer, Answer):
                self.came[number] = 'the end of the connection'
                return
            self.came[number] = str(answer.status)
            self.answered_after[number] = time.monotonic() - sent_at

    def _head(self, number: int, framing: str) -> bytes:
        return head(
            'POST',
            f'/find/{number}',
            self.ids[number],
            framing,
            deadline_ms=DEADLINE_MS,
        )


async def main(rig: Rig) -> int:
    """Play the case."""
    targets = [Target(f'w{number}', 'audit', rig.record) for number in range(4)]
    find = route(
        'find',
        'audit',
        'safe',
        timeout_ms=int(TIMEOUT_S * 1000),
        target_latency_ms=500,
    )
    await rig.start(
        configuration({'r-find': find}, {'audit': service()}), targets
    )
    pairs = [Pair(rig, number) for number in range(CLIENTS * PAIRS)]
    for start in range(0, len(pairs), CLIENTS):
        await asyncio.gather(
            *(pair.send() for pair in pairs[start : start + CLIENTS])
        )
    times = [after for pair in pairs for after in pair.answered_after]
    late = [after for after in times if after > TIMEOUT_S]
    unanswered = [after for after in late if after > TIMEOUT_S + LATE_S]
    ran = {attempt_id for one in targets for attempt_id, _, _ in one.ran}
    rig.record.note(
        len(times),
        'requests,',
        len(late),
        'lasted longer than the timeout of their route,',
        len(unanswered),
        'of them had no final answer half a second later;',
        len(ran),
        'ran',
    )
    is_broken = (
        len(unanswered) > MAX_UNANSWERED and len(unanswered) > len(late) / 2
    )
    return BROKEN if is_broken else HELD


if __name__ == '__main__':
    sys.exit(asyncio.run(play(__file__, main, 60)))
