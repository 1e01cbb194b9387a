"""Steps about a leader's answer to an entry's report."""

from typing import Any

from behave import given
from behave import then
from behave import when

from features.search import fakes
from greengagering import coordination
from greengagering import state

TICK_S = 0.05


def step(context: Any, seconds: float) -> None:
    """Advance the leader's time."""
    ends_s = context.now_s + seconds
    while context.now_s < ends_s:
        context.now_s += TICK_S
        context.core.step(context.now_s, int(context.now_s * 1000))


@given('a leader without any ticket for {seconds:g} s')
def lead_alone(context: Any, seconds: float) -> None:
    context.core = fakes.lone_control()
    context.now_s = 0.0
    step(context, seconds + 1.0)
    assert context.core.confirmed_revision > 0


@when('a ticket is accepted')
def accept_ticket(context: Any) -> None:
    ticket = state.Ticket(
        1, 'operator', 'set up', (state.Pool('pool-a', 'service-a'),)
    )
    context.core.submit(ticket, 1000, context.now_s)
    step(context, 0.2)


@when('an entry that has applied nothing reports')
def report(context: Any) -> None:
    context.core.take_entry_outbox()
    context.core.handle_entry_report(
        coordination.EntryReport('entry-1', 'boot', 'entry-1', 0, 1.0, (), ()),
        context.now_s,
    )
    context.sent = [
        outgoing.message for outgoing in context.core.take_entry_outbox()
    ]


@then('it is granted a lease')
def check_lease(context: Any) -> None:
    kinds = [type(message) for message in context.sent]
    assert kinds == [coordination.LeaseGrant], context.sent


@then('it is sent the feed and granted no lease')
def check_feed(context: Any) -> None:
    kinds = [type(message) for message in context.sent]
    assert kinds == [coordination.FeedDelta], context.sent
