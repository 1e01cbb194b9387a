"""A gRPC server that bounds connections which aren't known as links yet."""

import asyncio
from collections.abc import Callable
import dataclasses
from typing import Any
from typing import cast

import aioprometheus
from grpclib.protocol import H2Protocol
from grpclib.server import Server

from greengagering import logs
from greengagering.protocol import link_grpc
from greengagering.transport._connection_table import CloseCause
from greengagering.transport._connection_table import ConnectionTable
from greengagering.transport._connection_table import Stage
from greengagering.transport import _overdue_sweep

SERVER_NAME = 'link_address'
FIRST_FRAME_TIMEOUT_S = 10.0
"""Time from connecting to the first whole frame of this system's."""

MAX_BACKLOG = 100


@dataclasses.dataclass(frozen=True, slots=True)
class LinkOptions:
    """What connections to a link server may cost.

    Attributes:
        max_connections: connections that may be open at the same time.
        max_held_bytes: bytes that all connections together may have sent
            before their first frames are whole.
        refusals: counter of refusals by server and cause, or None.
    """

    max_connections: int = 400
    max_held_bytes: int = 24 * 2**20
    refusals: aioprometheus.Counter | None = None


class _LinkTimes:
    """Times until a connection must be known as a link."""

    header_timeout_s = FIRST_FRAME_TIMEOUT_S
    idle_timeout_s = FIRST_FRAME_TIMEOUT_S
    body_timeout_s = FIRST_FRAME_TIMEOUT_S


class LinkServer(Server):
    """Serves links, and closes connections that don't become one.

    A connection counts as a link once a whole frame with this system's
    cluster id has come; it then isn't closed for others.
    """

    def __init__(
        self, service: link_grpc.LinkBase, options: LinkOptions
    ) -> None:
        super().__init__([service])
        self._options = options
        self._table = ConnectionTable(
            _LinkTimes(), options.max_connections, options.max_held_bytes
        )
        self._by_address: dict[Any, _LinkConnection] = {}
        self._sweep: asyncio.Task[None] | None = None

    async def listen(self, host: str, port: int) -> None:
        """Start to listen.

        Raises:
            OSError: the address is taken or isn't this machine's.
        """
        backlog = min(MAX_BACKLOG, max(self._options.max_connections // 2, 1))
        await self.start(host, port, backlog=backlog)
        loop = asyncio.get_running_loop()
        self._sweep = loop.create_task(
            _overdue_sweep.close_overdue(self._table, SERVER_NAME)
        )

    def close(self) -> None:
        """Stop listening and end the streams."""
        if self._sweep is not None:
            self._sweep.cancel()
        super().close()

    def identify(self, address: Any) -> None:
        """Record that the connection from an address is a link."""
        connection = self._by_address.get(address)
        if connection is not None:
            connection.identify()

    def _protocol_factory(self) -> H2Protocol:
        protocol = super()._protocol_factory()
        connection = _LinkConnection(
            protocol, self._table, self._by_address, self._options.refusals
        )
        # The server hands this to the event loop and keeps no reference.
        return cast(H2Protocol, connection)


class _LinkConnection(asyncio.Protocol):
    """A connection, counted until it is known as a link."""

    def __init__(
        self,
        protocol: H2Protocol,
        table: ConnectionTable,
        by_address: dict[Any, '_LinkConnection'],
        refusals: aioprometheus.Counter | None,
    ) -> None:
        self._protocol = protocol
        self._table = table
        self._by_address = by_address
        self._refusals = refusals
        self._now_s: Callable[[], float] = asyncio.get_running_loop().time
        self._transport: asyncio.Transport | None = None
        self._address: Any = None
        self._received_bytes = 0
        self._is_link = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to wait for a frame, if there is room for the connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._address = transport.get_extra_info('peername')
        self._by_address[self._address] = self
        self._protocol.connection_made(transport)
        if not self._table.add(self, self._now_s()):
            self.give_up(CloseCause.TOO_MANY)

    def data_received(self, data: bytes) -> None:
        """Pass bytes on, within the limit until the first frame is whole."""
        if not self._is_link:
            self._received_bytes += len(data)
            now_s = self._now_s()
            self._table.move(self, Stage.BODY, now_s)
            self._table.note_progress(self, now_s)
            if not self._table.reserve(self, self._received_bytes, now_s):
                self.give_up(CloseCause.MEMORY)
                return
        self._protocol.data_received(data)

    def pause_writing(self) -> None:
        """Pass on that the peer reads too slowly."""
        self._protocol.pause_writing()

    def resume_writing(self) -> None:
        """Pass on that the peer has read."""
        self._protocol.resume_writing()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
        self._transport = None
        self._table.remove(self)
        self._by_address.pop(self._address, None)
        self._protocol.connection_lost(exc)

    def identify(self) -> None:
        """Stop counting: the connection is a link."""
        if not self._is_link:
            self._is_link = True
            self._table.release(self)
            self._table.move(self, Stage.RUNNING, self._now_s())

    def give_up(self, cause: CloseCause) -> None:
        """Close the connection, as it hasn't become a link."""
        self._table.remove(self)
        if self._transport is None or self._transport.is_closing():
            return
        if self._refusals is not None:
            labels = {'server': SERVER_NAME, 'cause': str(cause)}
            self._refusals.inc(labels)
        logs.info(
            'connection_refused',
            server=SERVER_NAME,
            cause=cause,
            client=self._address[0] if self._address else '',
            received_bytes=self._received_bytes,
            connections=len(self._table),
        )
        self._transport.abort()
