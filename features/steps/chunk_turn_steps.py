"""Steps that pass bytes to connections and count the event loop's turns."""

import asyncio
from typing import Any

from behave import given
from behave import then
from behave import when

from greengagering.transport import _client_connection
from greengagering.transport import _connection_table
from greengagering.transport import _http_server
from greengagering.transport import _refusals

HEAD = b'POST /x HTTP/1.1\r\nHost: h\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
ORDINARY = HEAD + b'Content-Length: 2\r\n\r\n{}'


class _Transport(asyncio.Transport):
    """A transport that goes nowhere."""

    def __init__(self) -> None:
        super().__init__()
        self.is_paused = False

    def pause_reading(self) -> None:
        self.is_paused = True

    def resume_reading(self) -> None:
        self.is_paused = False

    def write(self, data: Any) -> None:
        """Drop what is written."""

    def writelines(self, list_of_data: Any) -> None:
        """Drop what is written."""

    def is_closing(self) -> bool:
        return False


class _Handler(asyncio.Protocol):
    """A handler that keeps the requests that it gets."""

    def __init__(self, requests: list[bytes]) -> None:
        self._requests = requests

    def data_received(self, data: bytes) -> None:
        self._requests.append(data)

    def pause_writing(self) -> None:
        """Do nothing."""

    def resume_writing(self) -> None:
        """Do nothing."""


class _Server:
    """Connections that share a table, on an event loop run by steps."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.requests: list[bytes] = []
        self.connections: list[_client_connection.ClientConnection] = []
        limits = _http_server.FixedLimits()
        self._context = _client_connection.ConnectionContext(
            'address',
            _connection_table.ConnectionTable(limits, 100, 10**9),
            limits,
            1,
            lambda: _Handler(self.requests),
            {},
            _refusals.page_refusal,
            _client_connection.ChunkQueue(),
            None,
        )

    def send(self, data: bytes) -> None:
        """Pass data to a new connection."""

        async def connect() -> None:
            connection = _client_connection.ClientConnection(self._context)
            connection.connection_made(_Transport())
            connection.data_received(data)
            self.connections.append(connection)

        self._run(connect())

    def turn(self, count: int) -> None:
        """Run some iterations of the event loop."""

        async def wait() -> None:
            for _ in range(count):
                await asyncio.sleep(0)

        self._run(wait())

    def _run(self, coroutine: Any) -> None:
        self.loop.run_until_complete(coroutine)


@given(
    '{count:d} connections that have each sent a body of {chunks:d} chunks of '
    'one byte'
)
def send_chunks(context: Any, count: int, chunks: int) -> None:
    context.server = _Server()
    context.add_cleanup(context.server.loop.close)
    for _ in range(count):
        context.server.send(CHUNKED + b'1\r\nx\r\n' * chunks + b'0\r\n\r\n')


@when('an ordinary request comes on another connection')
def send_ordinary(context: Any) -> None:
    context.server.send(ORDINARY)


@when('the first {count:d} of them close')
def close_first(context: Any, count: int) -> None:
    for connection in context.server.connections[:count]:
        connection.connection_lost(None)


@then('its handler has it at once')
def check_ordinary(context: Any) -> None:
    sizes = [len(request) for request in context.server.requests]
    assert context.server.requests == [ORDINARY], sizes


def _bodies(context: Any) -> list[int]:
    """Return the size of each body in chunks that a handler has got."""
    return [
        request.count(b'x', len(CHUNKED))
        for request in context.server.requests
        if request != ORDINARY
    ]


@then('no body is whole after {turns:d} iterations of the event loop')
def check_none(context: Any, turns: int) -> None:
    context.server.turn(turns)
    assert _bodies(context) == [], _bodies(context)


@then(
    'all {count:d} bodies are whole after {turns:d} iterations, with {size:d} '
    'bytes each'
)
def check_all(context: Any, count: int, turns: int, size: int) -> None:
    context.server.turn(turns)
    assert _bodies(context) == [size] * count, _bodies(context)


@then('1 body is whole after {turns:d} iterations, with {size:d} bytes')
def check_one(context: Any, turns: int, size: int) -> None:
    context.server.turn(turns)
    assert _bodies(context) == [size], _bodies(context)


@given('a connection whose handler has its first request')
def run_first(context: Any) -> None:
    context.server = _Server()
    context.add_cleanup(context.server.loop.close)
    context.server.send(ORDINARY)


@when('the handler has its response')
def respond(context: Any) -> None:
    context.server.connections[0].end_request(is_response_large=False)


@when('the handler has a large response')
def respond_large(context: Any) -> None:
    context.server.connections[0].end_request(is_response_large=True)


@when('the client stops to read')
def stop_reading(context: Any) -> None:
    context.server.connections[0].pause_writing()
    context.server.turn(2)


@when('the client has read its response')
def read_on(context: Any) -> None:
    context.server.connections[0].resume_writing()
    context.server.turn(2)


@when('another request comes')
def send_another(context: Any) -> None:
    context.server.connections[0].data_received(ORDINARY)
    context.server.turn(2)


@then('the handler has {count:d} request')
@then('the handler has {count:d} requests')
def check_count(context: Any, count: int) -> None:
    assert len(context.server.requests) == count, len(context.server.requests)
