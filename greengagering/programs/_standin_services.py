"""Services that run the stand-ins."""

from typing import Any

import aiomisc

from greengagering import standins


class PlatformService(aiomisc.Service):
    """The stand-in platform."""

    def __init__(self, address: str) -> None:
        super().__init__()
        self._platform = standins.PlatformStandin(address)

    async def start(self) -> None:
        """Start listening."""
        await self._platform.start()

    async def stop(self, exception: Exception | None = None) -> Any:
        """Stop listening."""
        await self._platform.close()


class UpstreamService(aiomisc.Service):
    """One stand-in upstream."""

    def __init__(self, options: standins.UpstreamOptions) -> None:
        super().__init__()
        self._upstream = standins.UpstreamStandin(options)

    async def start(self) -> None:
        """Start to serve calls and to send announcements."""
        await self._upstream.start()

    async def stop(self, exception: Exception | None = None) -> Any:
        """Announce the shutdown, finish the calls in flight, and close."""
        await self._upstream.leave()
        await self._upstream.close()
