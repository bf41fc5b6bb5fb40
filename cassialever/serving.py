"""Start and stop an aiohttp application or server."""

from aiohttp import web

from cassialever.listening import stop_sites


class ServerSite:
    """An aiohttp application or server that listens at one address."""

    def __init__(self, app: web.Application | web.Server) -> None:
        """Wrap an application without listening yet."""
        self._app = app
        self._runner: web.BaseRunner | None = None

    async def start(self, address: str, port: int) -> str:
        """Listen at an IP address and return the base URL.

        Port 0 selects any free port.
        """
        runner = self._make_runner()
        await runner.setup()
        site = web.TCPSite(runner, address, port, backlog=1024)
        try:
            await site.start()
        except OSError:
            await runner.cleanup()
            raise
        self._runner = runner
        bound = runner.addresses[0]
        return f'http://{bound[0]}:{bound[1]}'

    async def stop(self) -> None:
        """Stop listening and close every connection."""
        if self._runner is None:
            return
        await stop_sites(self._runner)
        await self._runner.cleanup()
        self._runner = None

    def _make_runner(self) -> web.BaseRunner:
        if isinstance(self._app, web.Application):
            return web.AppRunner(
                self._app,
                access_log=None,
                handler_cancellation=True,
            )
        return web.ServerRunner(self._app, access_log=None)
