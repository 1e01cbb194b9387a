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
    context.connection_table = _connection_table.ConnectionTable(
        _http_server.FixedLimits(), count
    )
    context.connections = {}
    context.shown = set()


@given('connection {name} has been {stage} since {at_s:g} s')
def add_in_stage(context: Any, name: str, stage: str, at_s: float) -> None:
    _add(context, name, at_s)
    context.connection_table.move(
        context.connections[name],
        _connection_table.Stage(STAGES.get(stage, stage)),
        at_s,
    )


@when('connection {name} arrives at {at_s:g} s')
def arrive(context: Any, name: str, at_s: float) -> None:
    _add(context, name, at_s)


@when('it is {now_s:g} s')
def pass_time(context: Any, now_s: float) -> None:
    context.connection_table.close_overdue(now_s)


@when('bytes of {name} come at {now_s:g} s')
def receive(context: Any, name: str, now_s: float) -> None:
    context.connection_table.note_progress(context.connections[name])


@then('{name} is given up as {cause}')
def check_given_up(context: Any, name: str, cause: str) -> None:
    assert _given_up(context) == {name: cause}


@then('nobody is given up')
def check_nobody(context: Any) -> None:
    assert _given_up(context) == {}


@then('there is no room for {name}')
def check_no_room(context: Any, name: str) -> None:
    assert not context.has_room
