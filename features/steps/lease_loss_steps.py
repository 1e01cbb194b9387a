"""Steps in which a leader loses its lease and stays leader."""

from typing import Any

from behave import given
from behave import then
from behave import when
from result import Err

from features.support import job_world
from greengagering import coordination
from greengagering import state

TICKET = state.Ticket(number=1, author='operator-a', reason='change')


@given('three replicas under one leader')
def start_replicas(context: Any) -> None:
    context.world = job_world.started_world()
    context.node = context.world.leader_node()
    context.term = context.node.core.replica.term


@when('nothing of its followers reaches it for {seconds:g} s')
def cut_answers(context: Any, seconds: float) -> None:
    world = context.world
    leader = context.node.identity.replica_id
    for name in world.controls:
        if name != leader:
            world.network.cut(name, leader)
    world.advance(seconds)


@then('it refuses a ticket as not leader, and still leads the same term')
def check_refused(context: Any) -> None:
    core = context.node.core
    result = _submit(context)
    assert isinstance(result, Err), result
    error = result.err_value
    assert isinstance(error, coordination.errors.NotLeaderError), error
    assert core.replica.is_leader
    assert core.replica.term == context.term


@when('its followers reach it again for {seconds:g} s')
def heal_answers(context: Any, seconds: float) -> None:
    context.world.network.heal()
    context.world.advance(seconds)


@then('it accepts the ticket in the same term')
def check_accepted(context: Any) -> None:
    result = _submit(context)
    assert not isinstance(result, Err), result
    context.world.advance(0.3)
    core = context.node.core
    assert core.replica.term == context.term
    assert TICKET.number in core.state.history


def _submit(context: Any) -> Any:
    world, node = context.world, context.node
    now_s = node.clock.read(world.now_s)
    return node.core.submit(TICKET, int(world.now_s * 1000), now_s)
