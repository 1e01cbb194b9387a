"""Long-running services that combine the parts of the transport layer."""

from typing import Any

import aiomisc

from greengagering import protocol


class ControlService(aiomisc.Service):
    """A control replica with its HTTP interface for operators."""

    def __init__(self, settings: protocol.ControlSettings) -> None:
        super().__init__()
        from greengagering.transport import control

        self._node = control.create_control_node(settings)
        app = control.ControlApi(self._node).create_app()
        self._server = control.HttpServer(
            app,
            settings.http_address,
            'http_address',
            control.ServerOptions(
                control.FixedLimits(
                    max_body_bytes=control.MAX_TICKET_BYTES,
                    body_timeout_s=control.TICKET_TIMEOUT_S,
                ),
                settings.max_connections,
                settings.max_held_bytes,
                refusals=self._node.metrics.refused_connections,
            ),
        )

    async def start(self) -> None:
        """Start the replica, then serve HTTP requests."""
        await self._node.start()
        await self._server.start()

    async def stop(self, exception: Exception | None = None) -> Any:
        """Transfer leadership, answer waiting requests, and close."""
        await self._node.stop()
        await self._server.close()


class EntryService(aiomisc.Service):
    """An entry with its HTTP interface for callers and upstreams."""

    def __init__(self, settings: protocol.EntrySettings) -> None:
        super().__init__()
        from greengagering.transport import entry

        self._node = entry.EntryNode(settings)
        app = entry.EntryApi(self._node).create_app()
        limits = entry.FixedLimits(
            settings.max_header_bytes,
            settings.max_body_bytes,
            settings.header_timeout_s,
            settings.idle_timeout_s,
            settings.body_timeout_s,
        )
        self._server = entry.HttpServer(
            app,
            settings.http_address,
            'http_address',
            entry.ServerOptions(
                limits,
                settings.max_connections,
                settings.max_held_bytes,
                refusals=self._node.metrics.refused_connections,
            ),
        )

    async def start(self) -> None:
        """Start the node, then serve HTTP requests."""
        await self._node.start()
        await self._server.start()

    async def stop(self, exception: Exception | None = None) -> Any:
        """Wait for the calls in flight, then close."""
        await self._node.drain()
        await self._server.close()
        await self._node.stop()
