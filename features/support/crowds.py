"""Crowds of clients that send what a server must bound, and stay connected."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses

CONNECT_TIMEOUT_S = 5.0
SENDING_TIMEOUT_S = 60.0
"""Time after which clients that a server doesn't read from count as done."""

PIECE_BYTES = 64 * 1024

Pieces = Callable[[], Iterator[bytes]]
"""Creates what one client sends, in the pieces that it sends it in."""


@dataclasses.dataclass(frozen=True)
class Crowd:
    """Clients that all send the same.

    Attributes:
        count: number of clients, each with one connection.
        pieces: what each client sends.
        reads: whether the clients read what the server answers.
    """

    count: int
    pieces: Pieces
    reads: bool = True


class _Client(asyncio.Protocol):
    """A connection that sends its pieces as the server takes them."""

    def __init__(self, crowd: Crowd) -> None:
        self.transport: asyncio.Transport | None = None
        self.answers = bytearray()
        self.is_done = asyncio.Event()
        self._pieces = crowd.pieces()
        self._reads = crowd.reads
        self._is_paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to send."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(PIECE_BYTES)
        if not self._reads:
            transport.pause_reading()
        self._send_next()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop sending."""
        self.transport = None
        self.is_done.set()

    def pause_writing(self) -> None:
        """Wait until the server has taken what was sent."""
        self._is_paused = True

    def resume_writing(self) -> None:
        """Send on."""
        self._is_paused = False
        self._send_next()

    def data_received(self, data: bytes) -> None:
        """Keep the start of what the server answers."""
        if len(self.answers) < PIECE_BYTES:
            self.answers += data

    def _send_next(self) -> None:
        if self.transport is None or self._is_paused:
            return
        piece = next(self._pieces, None)
        if piece is None:
            self.is_done.set()
            return
        self.transport.write(piece)
        # One piece at a time for each client, so that all send at once.
        asyncio.get_running_loop().call_soon(self._send_next)


class OpenCrowd:
    """A crowd whose clients have sent, and stay connected until closed."""

    def __init__(self, clients: list[_Client]) -> None:
        self._clients = clients

    @property
    def answers(self) -> list[bytes]:
        """What the server has answered each connected client."""
        return [bytes(client.answers) for client in self._clients]

    def count_open(self) -> int:
        """Return the number of connections that the server hasn't closed."""
        return sum(client.transport is not None for client in self._clients)

    async def close(self) -> None:
        """Close the connections that are open."""
        for client in self._clients:
            if client.transport is not None:
                client.transport.abort()


async def send_crowd(crowd: Crowd, host: str, port: int) -> OpenCrowd:
    """Connect all clients of a crowd, and send until all are done."""
    clients: list[_Client] = []
    open_crowd = OpenCrowd(clients)
    try:
        await asyncio.gather(
            *(_connect(crowd, host, port, clients) for _ in range(crowd.count))
        )
        done = asyncio.gather(*(client.is_done.wait() for client in clients))
        # The server may not read from some clients.
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(done, SENDING_TIMEOUT_S)
    except asyncio.CancelledError:
        await open_crowd.close()
        raise
    return open_crowd


async def _connect(
    crowd: Crowd, host: str, port: int, clients: list[_Client]
) -> None:
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, client = await loop.create_connection(
                lambda: _Client(crowd), host, port
            )
    except (OSError, TimeoutError):
        # A server may refuse a connection.
        return
    clients.append(client)


def repeat(
    start: bytes, unit: bytes, total_bytes: int, end: bytes = b''
) -> Pieces:
    """Return pieces that begin with start and repeat unit.

    Args:
        start: bytes sent first, with the first piece.
        unit: bytes repeated after it.
        total_bytes: number of repeated bytes at most, in whole units.
        end: bytes sent last.
    """
    in_piece = max(PIECE_BYTES // len(unit), 1)

    def pieces() -> Iterator[bytes]:
        left = total_bytes // len(unit)
        head = start
        while left > 0:
            count = min(in_piece, left)
            left -= count
            yield head + unit * count + (end if left == 0 else b'')
            head = b''
        if head:
            yield head + end

    return pieces


def cut(content: bytes, piece_bytes: int) -> Pieces:
    """Return pieces of a fixed size that make up the content."""

    def pieces() -> Iterator[bytes]:
        for first in range(0, len(content), piece_bytes):
            yield content[first : first + piece_bytes]

    return pieces
