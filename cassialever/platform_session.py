"""The HTTP session to one of the platform's services."""

import aiohttp

from cassialever.types import Seconds


class PlatformSession:
    """A session with a base URL, opened and closed with its owner."""

    def __init__(self, url: str, timeout: Seconds) -> None:
        """Take the service's base URL and the longest wait for an answer."""
        self._url = url
        self._timeout = timeout
        self.session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the session."""
        self.session = aiohttp.ClientSession(
            self._url,
            timeout=aiohttp.ClientTimeout(total=self._timeout),
        )

    async def stop(self) -> None:
        """Close the session."""
        if self.session:
            await self.session.close()
            self.session = None
