"""Steps that drive a table of connections with a clock of their own."""

from typing import Any

from behave import given
from behave import then
from behave import when

from greengagering.transport import _connection_table
from greengagering.transport import _http_server

STAGES = {
    'in its head': 'head',
    'in its body': 'body',
    'idle after a request': 'idle',
}


class _Connection:
    """A connection that notes why it was given up, and then goes."""

    def __init__(
        self, name: str, table: _connection_table.ConnectionTable
    ) -> None:
        self.name = name
        self.cause = ''
        self._table = table

    def give_up(self, cause: _connection_table.CloseCause) -> None:
        """Note the cause."""
        self.cause = str(cause)
        self._table.remove(self)


def _create(context: Any, connections: int, held_bytes: int) -> None:
    context.connection_table = _connection_table.ConnectionTable(
        _http_server.FixedLimits(), connections, held_bytes
    )
    context.connections = {}
    context.shown = set()


def _add(context: Any, name: str, at_s: float) -> None:
    connection = _Connection(name, context.connection_table)
    context.connections[name] = connection
    context.has_room = context.connection_table.add(connection, at_s)


def _given_up(context: Any) -> dict[str, str]:
    """Return the cause of each connection given up since the last question."""
    found = {
        name: connection.cause
        for name, connection in context.connections.items()
        if connection.cause and name not in context.shown
    }
    context.shown.update(found)
    return found


@given('a server of at most {count:d} connections')
def create_small(context: Any, count: int) -> None:
    _create(context, count, 10**9)


@given('a server whose requests may hold {size:d} bytes')
def create_narrow(context: Any, size: int) -> None:
    _create(context, 100, size)


@given('connection {name} has been {stage} since {at_s:g} s')
def add_in_stage(context: Any, name: str, stage: str, at_s: float) -> None:
    _add(context, name, at_s)
    context.connection_table.move(
        context.connections[name],
        _connection_table.Stage(STAGES.get(stage, stage)),
        at_s,
    )


@given('connections a, b and c receive bodies of {size:d} bytes since 0 s')
def add_bodies(context: Any, size: int) -> None:
    for name in ('a', 'b', 'c'):
        _add(context, name, 0)
        connection = context.connections[name]
        context.connection_table.move(
            connection, _connection_table.Stage.BODY, 0
        )
        assert context.connection_table.reserve(connection, size, 0)


@given('connection {name} has come to be unread at {at_s:g} s')
def stop_reading(context: Any, name: str, at_s: float) -> None:
    context.connection_table.move(
        context.connections[name], _connection_table.Stage.UNREAD, at_s
    )


@when('connection {name} arrives at {at_s:g} s')
def arrive(context: Any, name: str, at_s: float) -> None:
    _add(context, name, at_s)


@when('it is {now_s:g} s')
def pass_time(context: Any, now_s: float) -> None:
    context.connection_table.close_overdue(now_s)


@when('bytes of {name} come at {now_s:g} s')
def receive(context: Any, name: str, now_s: float) -> None:
    context.connection_table.note_progress(context.connections[name], now_s)


@when('connection {name} is gone')
def lose(context: Any, name: str) -> None:
    context.connection_table.remove(context.connections[name])


@when('the request of {name} ends')
def end_request(context: Any, name: str) -> None:
    context.connection_table.release(context.connections[name])


@then('{name} is given up as {cause}')
def check_given_up(context: Any, name: str, cause: str) -> None:
    assert _given_up(context) == {name: cause}


@then('nobody is given up')
def check_nobody(context: Any) -> None:
    assert _given_up(context) == {}


@then('there is no room for {name}')
def check_no_room(context: Any, name: str) -> None:
    assert not context.has_room


def _reserve(context: Any, name: str, size: int, at_s: float) -> bool:
    if name not in context.connections:
        _add(context, name, at_s)
        connection = context.connections[name]
        context.connection_table.move(
            connection, _connection_table.Stage.BODY, at_s
        )
    connection = context.connections[name]
    return bool(context.connection_table.reserve(connection, size, at_s))


@then('{name} has room for a body of {size:d} bytes at {at_s:g} s')
def check_room(context: Any, name: str, size: int, at_s: float) -> None:
    assert _reserve(context, name, size, at_s)


@then('{name} has no room for a body of {size:d} bytes at {at_s:g} s')
def check_body_refused(
    context: Any, name: str, size: int, at_s: float
) -> None:
    assert not _reserve(context, name, size, at_s)


@then('the requests hold {size:d} bytes')
def check_held(context: Any, size: int) -> None:
    assert context.connection_table.held_bytes == size, (
        context.connection_table.held_bytes
    )
