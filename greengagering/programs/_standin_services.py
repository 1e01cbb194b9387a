"""The stand-ins as services."""

from typing import Any

import aiomisc

from greengagering import standins


class PlatformService(aiomisc.Service):
    """The stand-in platform."""

    def __init__(self, address: str) -> None:
        super().__init__()
        self._platform = standins.PlatformStandin(address)

    async def start(self) -> None:
        """Listen."""
        await self._platform.start()

    async def stop(self, exception: Exception | None = None) -> Any:
        """Close."""
        await self._platform.close()


class UpstreamService(aiomisc.Service):
    """One stand-in upstream."""

    def __init__(self, options: standins.UpstreamOptions) -> None:
        super().__init__()
        self._upstream = standins.UpstreamStandin(options)

    async def start(self) -> None:
        """Serve and announce."""
        await self._upstream.start()

    async def stop(self, exception: Exception | None = None) -> Any:
        """Announce the end, finish the running calls, and close."""
        await self._upstream.leave()
        await self._upstream.close()
