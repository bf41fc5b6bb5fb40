"""A stand-in for the platform's list of instances."""

import msgspec
from aiohttp import web

from cassialever.instances import INSTANCES_PATH, Instance
from cassialever.misc import ServerSite
from cassialever.types import InstanceId


class InstanceListServer:
    """Serve a list that the test or demo edits by hand."""

    def __init__(self) -> None:
        """Start with an empty list."""
        self.instance_by_id: dict[InstanceId, Instance] = {}
        app = web.Application()
        app.router.add_get(INSTANCES_PATH, self._list)
        self.site = ServerSite(app)

    async def start(self, port: int = 0) -> str:
        """Listen and return the base URL."""
        return await self.site.start('127.0.0.1', port)

    async def stop(self) -> None:
        """Stop listening."""
        await self.site.stop()

    async def _list(self, request: web.Request) -> web.Response:
        instances = list(self.instance_by_id.values())
        return web.Response(body=msgspec.json.encode(instances))
