"""Processes of stand-in targets that end, and what they had read."""

from aiohttp import web

from standins.key_watch import Life
from standins.listening import ListeningProcess


class LivingProcess(ListeningProcess):
    """A process that may end and be followed by one with the same id."""

    def __init__(self, target_id: str, born: int) -> None:
        """Create a stopped server with a start time in milliseconds."""
        super().__init__()
        self.target_id = target_id
        self.born = born

    @property
    def life(self) -> Life:
        """Return which process this is now."""
        return Life(self.target_id, self.born)

    async def read_body(self, request: web.Request) -> bytes:
        """Return the body of a request, unless the process ends before.

        The connection ends then, since a process carries out only what it has
        read itself.
        """
        life = self.life
        body = await request.read()
        if life == self.life and not self._listener.is_aborted:
            return body
        if request.transport is not None:
            request.transport.abort()
        raise web.HTTPServiceUnavailable(reason='the process has ended')
