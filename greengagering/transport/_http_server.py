"""An HTTP server that reads no more of a request than it serves."""

import asyncio
import dataclasses
from typing import Any

from aiohttp import typedefs
from aiohttp import web

from greengagering.transport import _addresses
from greengagering.transport._client_connection import ClientConnection
from greengagering.transport._client_connection import ConnectionContext
from greengagering.transport._connection_table import CloseCause
from greengagering.transport._connection_table import ConnectionTable
from greengagering.transport._connection_table import Stage
from greengagering.transport import _refusals
from greengagering.transport._request_framer import RequestLimits
from greengagering.transport import errors

CLOSE_TIMEOUT_S = 2.0
BACKLOG = 1024
"""Connections that the kernel accepts ahead of this process."""

PARSER_LIMIT_BYTES = 1024 * 1024
"""Limit of the HTTP parser, which gets heads that are within the limits."""

SMALLEST_FIELD_BYTES = 4
"""Size of a header field with its line end; it bounds how many there are."""


@dataclasses.dataclass(frozen=True, slots=True)
class FixedLimits:
    """Limits that don't change at run time.

    Attributes:
        max_header_bytes: most bytes of a request line, and of all header
            fields together.
        max_body_bytes: size of the largest body.
    """

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 8 * 1024 * 1024

    def find_max_body_bytes(self, path: str) -> int:
        """Return the size of the largest body of a request to a path."""
        return self.max_body_bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ServerOptions:
    """What the clients of a server may send, and how it refuses them.

    Attributes:
        limits: limits on each request.
        refuse: creates responses to requests that no handler sees.
    """

    limits: RequestLimits = FixedLimits()
    refuse: _refusals.RefusalFormat = _refusals.page_refusal


class HttpServer:
    """An aiohttp application that listens on an address."""

    def __init__(
        self,
        app: web.Application,
        address: str,
        name: str,
        options: ServerOptions | None = None,
    ) -> None:
        self._options = options or ServerOptions()
        app.middlewares.append(self._finish_request)
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            max_line_size=PARSER_LIMIT_BYTES,
            max_field_size=PARSER_LIMIT_BYTES,
            max_headers=PARSER_LIMIT_BYTES // SMALLEST_FIELD_BYTES,
            # Its requests are whole, so there is nothing left to wait for.
            lingering_time=0,
            shutdown_timeout=CLOSE_TIMEOUT_S,
        )
        self._address = address
        self._name = name
        self._table = ConnectionTable()
        self._connections: dict[Any, ClientConnection] = {}
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start to listen.

        Raises:
            ListenError: the address is taken or isn't this machine's.
        """
        endpoint = _addresses.parse_address(self._address)
        await self._runner.setup()
        handlers = self._runner.server
        assert handlers is not None
        context = ConnectionContext(
            self._name,
            self._table,
            self._options.limits,
            handlers,
            self._connections,
            self._options.refuse,
        )
        loop = asyncio.get_running_loop()
        try:
            self._server = await loop.create_server(
                lambda: ClientConnection(context),
                endpoint.host,
                endpoint.port,
                backlog=BACKLOG,
            )
        except OSError as error:
            await self._runner.cleanup()
            raise errors.ListenError(
                f'{self._name} {self._address}: {error}'
            ) from error

    async def close(self) -> None:
        """Stop listening, refuse what isn't complete, and end the rest."""
        if self._server is not None:
            self._server.close()
        for connection in self._table.connections(
            Stage.NEW, Stage.HEAD, Stage.BODY
        ):
            connection.give_up(CloseCause.STOPPING)
        await self._runner.cleanup()
        for connection in self._table.connections():
            connection.give_up(CloseCause.STOPPING)

    @web.middleware
    async def _finish_request(
        self, request: web.Request, handler: typedefs.Handler
    ) -> web.StreamResponse:
        """Let a connection read on once its response has been written."""
        connection = self._connections.get(request.protocol)
        try:
            return await handler(request)
        finally:
            if connection is not None:
                # The response is written in this iteration of the loop.
                loop = asyncio.get_running_loop()
                loop.call_soon(connection.finish_request)
