"""A client's connection, whose requests reach the HTTP parser only whole."""

import asyncio
from collections.abc import Callable
from collections import deque
import dataclasses
from typing import Any
from typing import cast

import aioprometheus

from greengagering import logs
from greengagering.protocol import pages
from greengagering.transport._connection_table import CloseCause
from greengagering.transport._connection_table import ConnectionTable
from greengagering.transport._connection_table import Stage
from greengagering.transport import _refusals
from greengagering.transport._refusals import Refusal
from greengagering.transport._request_framer import FramingError
from greengagering.transport._request_framer import Progress
from greengagering.transport._request_framer import RequestFramer
from greengagering.transport._request_framer import RequestLimits

CHUNKS_AT_ONCE = 64
"""Chunks that are parsed as they come; most bodies have no more."""

CHUNKS_PER_TURN = 1000
"""Chunks of all connections that are parsed in one iteration of the event
loop beyond that; it takes about a millisecond."""

MAX_LINGER_BYTES = 4 * 1024 * 1024
"""Bytes that are read and dropped after a refusal."""

RETRY_AFTER_S = 1.0
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'

_QUIET_CAUSES = (CloseCause.IDLE, CloseCause.LINGERED, CloseCause.STOPPING)
"""Ends of connections that are no refusals."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionContext:
    """What the connections of a server share.

    Attributes:
        name: setting that holds the server's address, for logs and metrics.
        table: every connection of the server.
        limits: limits on requests.
        run_memory_ratio: memory that a request takes while it runs, as a
            multiple of its size.
        create_handler: creates the HTTP protocol of a connection.
        handler_connections: connection of each such protocol.
        refuse: creates responses to requests that no handler sees.
        chunk_queue: parses small chunks of all connections by turns.
        refusals: counter of refusals, or None.
    """

    name: str
    table: ConnectionTable
    limits: RequestLimits
    run_memory_ratio: int
    create_handler: Callable[[], asyncio.Protocol]
    handler_connections: dict[Any, 'ClientConnection']
    refuse: _refusals.RefusalFormat
    chunk_queue: 'ChunkQueue'
    refusals: aioprometheus.Counter | None


class ClientConnection(asyncio.Protocol):
    """Reads requests within limits, and passes one at a time to a handler.

    The handler's protocol gets a request once it is complete. So a request
    that is never completed costs what the limits allow and no more, and the
    refusal of one that isn't complete truly says that nothing of it has run.
    """

    def __init__(self, context: ConnectionContext) -> None:
        self._context = context
        self._table = context.table
        self._framer = RequestFramer(context.limits)
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._handler: asyncio.Protocol | None = None
        self._stage = Stage.NEW
        self._is_writing_paused = False
        self._is_reading_paused = False
        self._is_running = False
        self._dropped_bytes = 0
        self._unsent_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to wait for a request, if there is room for the connection."""
        self._transport = cast(asyncio.Transport, transport)
        if not self._table.add(self, self._loop.time()):
            cause = CloseCause.TOO_MANY
            self._refuse(create_refusal(cause), cause)
            self._transport.close()

    def data_received(self, data: bytes) -> None:
        """Add bytes to the request that is being read."""
        if self._stage is Stage.CLOSING:
            self._drop(len(data))
            return
        self._framer.feed(data)
        if self._stage in (Stage.RUNNING, Stage.UNREAD):
            self._hold_back()
            return
        if self._stage is Stage.BODY:
            self._table.note_progress(self, self._loop.time())
        self._read(CHUNKS_AT_ONCE)

    def eof_received(self) -> bool | None:
        """Let the transport close."""
        return None

    def pause_writing(self) -> None:
        """Pass on that the client reads too slowly."""
        self._is_writing_paused = True
        if self._handler is not None:
            self._handler.pause_writing()
        self._move(Stage.UNREAD)

    def resume_writing(self) -> None:
        """Pass on that the client has read."""
        self._is_writing_paused = False
        if self._handler is not None:
            self._handler.resume_writing()
        if self._is_running:
            self._move(Stage.RUNNING)
        else:
            self.finish_request()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
        self._transport = None
        self._move(Stage.CLOSING)
        self._table.remove(self)
        self._framer.clear()
        if self._handler is not None:
            self._context.handler_connections.pop(self._handler, None)
            self._handler.connection_lost(exc)
            self._handler = None

    def end_request(self, *, is_response_large: bool) -> None:
        """Wait for the next request, as the handler has its response.

        Args:
            is_response_large: whether the memory for the response must stay
                reserved until it has been written, which happens in this
                iteration of the event loop.
        """
        self._is_running = False
        if (
            is_response_large
            or self._is_writing_paused
            or self._framer.has_begun
        ):
            self._loop.call_soon(self.finish_request)
        else:
            self._table.release(self)
            self._move(Stage.IDLE)
            self._resume_reading()

    def finish_request(self) -> None:
        """Begin with the next request, if the client has read the response."""
        transport = self._transport
        if self._stage is Stage.CLOSING or transport is None:
            return
        if transport.is_closing() or self._is_writing_paused:
            return
        self._table.release(self)
        self._move(Stage.IDLE)
        self._resume_reading()
        self._read(CHUNKS_AT_ONCE)

    def reserve_response(self, size_bytes: int) -> bool:
        """Reserve memory for a response, and return whether there is room."""
        now_s = self._loop.time()
        return self._table.reserve_more(self, size_bytes, now_s)

    def note_sent(self) -> None:
        """Record whether the client has read more of its response."""
        if self._transport is None:
            return
        former_bytes = self._unsent_bytes
        self._unsent_bytes = self._transport.get_write_buffer_size()
        if self._unsent_bytes < former_bytes:
            self._table.note_progress(self, self._loop.time())

    def give_up(self, cause: CloseCause) -> None:
        """Close the connection; a request that hasn't run is refused."""
        transport = self._transport
        if transport is None:
            self._table.remove(self)
            return
        if self._stage in (Stage.HEAD, Stage.BODY):
            self._refuse(create_refusal(cause), cause)
            if cause is not CloseCause.TOO_MANY:
                return
        elif self._stage is not Stage.CLOSING and cause not in _QUIET_CAUSES:
            self._record(cause)
        self._table.remove(self)
        self._stage = Stage.CLOSING
        if transport.get_write_buffer_size():
            # The client doesn't read, so what is left would never be sent.
            transport.abort()
        else:
            transport.close()

    def read_on(self, max_chunks: int) -> None:
        """Parse chunks in this connection's turn."""
        if self._stage is Stage.BODY:
            self._read(max_chunks)

    def _read(self, max_chunks: int) -> None:
        if not self._framer.has_begun:
            return
        try:
            progress = self._framer.advance(max_chunks)
            if progress is Progress.BODY_BEGINS:
                progress = self._framer.advance(max_chunks)
        except FramingError as error:
            self._refuse(error.refusal, CloseCause.INVALID)
            return
        if progress is Progress.COMPLETE:
            self._run()
        elif not self._framer.has_head:
            self._move(Stage.HEAD)
        else:
            self._wait_for_body(progress)

    def _wait_for_body(self, progress: Progress) -> None:
        """Reserve memory for the body, which may need more than before."""
        if self._stage is not Stage.BODY:
            self._move(Stage.BODY)
            if self._framer.expects_continue and self._transport is not None:
                self._transport.write(CONTINUE)
        if not self._reserve(self._framer.wanted_body_bytes):
            return
        if progress is Progress.UNFINISHED:
            self._pause_reading()
            self._context.chunk_queue.add(self)
        else:
            self._resume_reading()

    def _reserve(self, wanted_bytes: int) -> bool:
        """Reserve memory, or refuse the request if there is none."""
        if self._table.reserve(self, wanted_bytes, self._loop.time()):
            return True
        cause = CloseCause.MEMORY
        self._refuse(create_refusal(cause), cause)
        return False

    def _run(self) -> None:
        """Pass the whole request to the handler's protocol."""
        request = self._framer.take_request()
        if not self._reserve(len(request) * self._context.run_memory_ratio):
            return
        self._move(Stage.RUNNING)
        self._is_running = True
        if self._handler is None:
            assert self._transport is not None
            self._handler = self._context.create_handler()
            self._context.handler_connections[self._handler] = self
            self._handler.connection_made(_WriteTransport(self._transport))
        self._handler.data_received(request)
        self._hold_back()

    def _hold_back(self) -> None:
        """Stop reading while requests wait for the response to a former one.

        One head's worth is read on, so that a client that leaves is noticed.
        What has come beyond that needs memory like a body.
        """
        ahead_bytes = self._framer.held_bytes
        if ahead_bytes <= self._context.limits.max_header_bytes:
            return
        self._pause_reading()
        now_s = self._loop.time()
        if not self._table.reserve_more(self, ahead_bytes, now_s):
            self.give_up(CloseCause.MEMORY)

    def _refuse(self, refusal: Refusal, cause: CloseCause) -> None:
        transport = self._transport
        if self._stage is Stage.CLOSING or transport is None:
            return
        self._record(cause, refusal)
        response = self._context.refuse(refusal)
        transport.write(_refusals.encode_response(response))
        self._framer.clear()
        self._table.release(self)
        self._move(Stage.CLOSING)
        # Closing while the client sends on would drop the response.
        self._resume_reading()

    def _drop(self, size_bytes: int) -> None:
        self._dropped_bytes += size_bytes
        if self._dropped_bytes > MAX_LINGER_BYTES:
            self.give_up(CloseCause.LINGERED)

    def _record(
        self, cause: CloseCause, refusal: Refusal | None = None
    ) -> None:
        server = self._context.name
        if self._context.refusals is not None:
            labels = {'server': server, 'cause': str(cause)}
            self._context.refusals.inc(labels)
        client = ''
        if self._transport is not None:
            peer = self._transport.get_extra_info('peername')
            client = peer[0] if peer else ''
        logs.info(
            'connection_refused',
            server=server,
            cause=cause,
            status=refusal.status if refusal else 0,
            detail=refusal.message if refusal else '',
            client=client,
            stage=self._stage,
            received_bytes=self._framer.held_bytes,
            held_bytes=self._table.held_bytes,
            connections=len(self._table),
        )

    def _move(self, stage: Stage) -> None:
        if self._stage is not Stage.CLOSING:
            self._stage = stage
            self._table.move(self, stage, self._loop.time())

    def _pause_reading(self) -> None:
        if not self._is_reading_paused and self._transport is not None:
            self._is_reading_paused = True
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        if self._is_reading_paused and self._transport is not None:
            self._is_reading_paused = False
            self._transport.resume_reading()


class ChunkQueue:
    """Connections whose chunks are parsed by turns: all at once take long."""

    def __init__(self) -> None:
        self._waiting: deque[ClientConnection] = deque()
        self._is_scheduled = False

    def add(self, connection: ClientConnection) -> None:
        """Let a connection take its next turn."""
        self._waiting.append(connection)
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._take_turn)

    def _take_turn(self) -> None:
        self._is_scheduled = False
        if not self._waiting:
            return
        connection = self._waiting.popleft()
        connection.read_on(CHUNKS_PER_TURN)
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._take_turn)


class _WriteTransport(asyncio.Transport):
    """A transport whose reading isn't the handler's to pause."""

    def __init__(self, transport: asyncio.Transport) -> None:
        super().__init__()
        self._transport = transport
        # The handler writes often, so these aren't wrapped.
        self.write = transport.write  # type: ignore[method-assign]
        self.writelines = transport.writelines  # type: ignore[method-assign]
        self.is_closing = transport.is_closing  # type: ignore[method-assign]

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return information on the connection."""
        return self._transport.get_extra_info(name, default)

    def pause_reading(self) -> None:
        """Do nothing: the handler gets no more than one request."""

    def resume_reading(self) -> None:
        """Do nothing."""

    def get_write_buffer_size(self) -> int:
        """Return the number of bytes that the client hasn't read."""
        return self._transport.get_write_buffer_size()

    def close(self) -> None:
        """Close the connection once the response is sent."""
        self._transport.close()

    def abort(self) -> None:
        """Close the connection at once."""
        self._transport.abort()


def create_refusal(cause: CloseCause) -> Refusal:
    """Return the refusal of a request that a server gives up."""
    if cause is CloseCause.SLOW_HEAD:
        return Refusal(
            408, pages.ErrorKind.TOO_SLOW, 'the head did not come in time'
        )
    if cause is CloseCause.SLOW_BODY:
        return Refusal(
            408, pages.ErrorKind.TOO_SLOW, 'the body did not come in time'
        )
    message = {
        CloseCause.TOO_MANY: 'too many connections are open',
        CloseCause.MEMORY: 'too many large requests are under way',
        CloseCause.STOPPING: 'this process stops',
    }[cause]
    return Refusal(
        503,
        pages.ErrorKind.OVERLOADED,
        message,
        retry_after_s=RETRY_AFTER_S,
    )
