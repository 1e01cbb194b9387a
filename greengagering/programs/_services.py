"""Long-running services, made of the parts of the transport layer."""

from typing import Any

import aiomisc

from greengagering import protocol


class ControlService(aiomisc.Service):
    """One control replica and its operators' interface."""

    def __init__(self, settings: protocol.ControlSettings) -> None:
        super().__init__()
        from greengagering.transport import control

        self._node = control.create_control_node(settings)
        app = control.ControlApi(self._node).create_app()
        self._server = control.HttpServer(
            app, settings.http_address, 'http_address'
        )

    async def start(self) -> None:
        """Take part in agreement, then answer operators."""
        await self._node.start()
        await self._server.start()

    async def stop(self, exception: Exception | None = None) -> Any:
        """Hand over the lead, answer who waits, and close."""
        await self._node.stop()
        await self._server.close()


class EntryService(aiomisc.Service):
    """One entry and its interface for callers and upstreams."""

    def __init__(self, settings: protocol.EntrySettings) -> None:
        super().__init__()
        from greengagering.transport import entry

        self._node = entry.EntryNode(settings)
        app = entry.EntryApi(self._node).create_app()
        self._server = entry.HttpServer(
            app, settings.http_address, 'http_address'
        )

    async def start(self) -> None:
        """Follow control, then answer callers and upstreams."""
        await self._node.start()
        await self._server.start()

    async def stop(self, exception: Exception | None = None) -> Any:
        """End the calls in flight, then close."""
        await self._node.drain()
        await self._server.close()
        await self._node.stop()
