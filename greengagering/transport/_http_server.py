"""An HTTP server that bounds what its clients may cost."""

import asyncio
import dataclasses
from typing import Any
from typing import cast
from typing import Protocol

from aiohttp import typedefs
from aiohttp import web
import aioprometheus

from greengagering import logs
from greengagering.protocol import headers
from greengagering.transport import _addresses
from greengagering.transport._client_connection import ChunkQueue
from greengagering.transport._client_connection import ClientConnection
from greengagering.transport._client_connection import ConnectionContext
from greengagering.transport._client_connection import create_refusal
from greengagering.transport._connection_table import CloseCause
from greengagering.transport._connection_table import ConnectionTable
from greengagering.transport._connection_table import Stage
from greengagering.transport._connection_table import TimeLimits
from greengagering.transport import _overdue_sweep
from greengagering.transport import _refusals
from greengagering.transport._request_framer import RequestLimits
from greengagering.transport import errors

CLOSE_TIMEOUT_S = 2.0
MAX_BACKLOG = 1024
"""Connections that the kernel accepts ahead of this process. They are taken
over all at once, so a server with few connections has a smaller backlog."""

MAX_CHECK_CONNECTIONS = 64
"""Connections to a server that few clients use: balancers, metrics."""

MAX_CHECK_BYTES = 16 * 1024
"""Largest body there; none is expected."""

PARSER_LIMIT_BYTES = 1024 * 1024
"""Limit of the HTTP parser, which gets heads that are within the limits."""

SMALL_RESPONSE_BYTES = 16 * 1024
"""Size up to which a response needs no reservation."""

SAFE_METHODS = ('GET', 'HEAD')
"""Methods of requests that change nothing."""

SMALLEST_FIELD_BYTES = 4
"""Size of a header field with its line end; it bounds how many there are."""


class HttpLimits(RequestLimits, TimeLimits, Protocol):
    """Limits on what a client sends, and on the time that it takes."""


@dataclasses.dataclass(frozen=True, slots=True)
class FixedLimits:
    """Limits that don't change at run time.

    Attributes:
        max_header_bytes: most bytes of a request line, and of all header
            fields together.
        max_body_bytes: size of the largest body.
        header_timeout_s: time from the first byte of a head to its last.
        idle_timeout_s: time between two requests, and before the first.
        body_timeout_s: time from the end of a head to the end of its body.
    """

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 8 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
    body_timeout_s: float = 10.0

    def find_max_body_bytes(self, path: str) -> int:
        """Return the size of the largest body of a request to a path."""
        return self.max_body_bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ServerOptions:
    """What the clients of a server may cost, and how it refuses them.

    Attributes:
        limits: limits on each request.
        max_connections: connections that may be open at the same time.
        max_held_bytes: bytes that all bodies together may hold, whether they
            are still coming or their requests run.
        run_memory_ratio: memory that a request takes while it runs, as a
            multiple of its size: its parsed form is larger.
        refuse: creates responses to requests that no handler sees.
        refusals: counter of refusals by server and cause, or None.
    """

    limits: HttpLimits = FixedLimits()
    max_connections: int = 1024
    max_held_bytes: int = 64 * 1024 * 1024
    run_memory_ratio: int = 1
    refuse: _refusals.RefusalFormat = _refusals.page_refusal
    refusals: aioprometheus.Counter | None = None


def create_check_options(
    refusals: aioprometheus.Counter | None,
) -> ServerOptions:
    """Return the options of a server for readiness checks or metrics."""
    return ServerOptions(
        FixedLimits(max_body_bytes=MAX_CHECK_BYTES),
        MAX_CHECK_CONNECTIONS,
        MAX_CHECK_CONNECTIONS * MAX_CHECK_BYTES,
        refusals=refusals,
    )


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
        app.middlewares.append(self._track_request)
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
        self._table = ConnectionTable(
            self._options.limits,
            self._options.max_connections,
            self._options.max_held_bytes,
        )
        self._connections: dict[Any, ClientConnection] = {}
        self._server: asyncio.Server | None = None
        self._sweep: asyncio.Task[None] | None = None

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
            self._options.run_memory_ratio,
            handlers,
            self._connections,
            self._options.refuse,
            ChunkQueue(),
            self._options.refusals,
        )
        loop = asyncio.get_running_loop()
        backlog = min(MAX_BACKLOG, max(self._options.max_connections // 2, 1))
        try:
            self._server = await loop.create_server(
                lambda: ClientConnection(context),
                endpoint.host,
                endpoint.port,
                backlog=backlog,
            )
        except OSError as error:
            await self._runner.cleanup()
            raise errors.ListenError(
                f'{self._name} {self._address}: {error}'
            ) from error
        self._sweep = loop.create_task(
            _overdue_sweep.close_overdue(
                self._table, self._name, self._note_sent
            )
        )

    async def close(self) -> None:
        """Stop listening, refuse what isn't complete, and end the rest."""
        if self._server is not None:
            self._server.close()
        if self._sweep is not None:
            self._sweep.cancel()
        for connection in self._table.connections(
            Stage.NEW, Stage.HEAD, Stage.BODY
        ):
            connection.give_up(CloseCause.STOPPING)
        await self._runner.cleanup()
        for connection in self._table.connections():
            connection.give_up(CloseCause.STOPPING)

    @web.middleware
    async def _track_request(
        self, request: web.Request, handler: typedefs.Handler
    ) -> web.StreamResponse:
        """Let a connection read on once its response has been written."""
        connection = self._connections.get(request.protocol)
        is_large = False
        try:
            response = await handler(request)
            body = getattr(response, 'body', None)
            is_large = (
                isinstance(body, bytes) and len(body) > SMALL_RESPONSE_BYTES
            )
            if is_large and connection is not None:
                return self._check_response(request, response, connection)
            return response
        finally:
            if connection is not None:
                connection.end_request(is_response_large=is_large)

    def _check_response(
        self,
        request: web.Request,
        response: web.StreamResponse,
        connection: ClientConnection,
    ) -> web.StreamResponse:
        """Return a large response, or a refusal if there is no memory for it.

        Only a question is refused: the answer to anything else may be the
        only word on what has run.
        """
        body = cast(web.Response, response).body
        assert isinstance(body, bytes)
        has_room = connection.reserve_response(len(body))
        tells_outcome = (
            request.method not in SAFE_METHODS
            or headers.OUTCOME in response.headers
        )
        if has_room or tells_outcome:
            return response
        refusal = create_refusal(CloseCause.MEMORY)
        logs.info(
            'response_refused', server=self._name, response_bytes=len(body)
        )
        return self._options.refuse(refusal)

    def _note_sent(self) -> None:
        for connection in self._connections.values():
            connection.note_sent()
