"""Steps that simulate days on which orders get no answer."""

import dataclasses
from typing import Any

from behave import given
from behave import then

from features.support import demand_world
from features.support import unanswered_orders


def _simulate(
    pattern: demand_world.DemandPattern, count: int
) -> list[demand_world.DemandResult]:
    return [
        demand_world.DemandWorld(pattern, seed).simulate()
        for seed in range(1, count + 1)
    ]


def _simulate_losses(
    context: Any, count: int, loss: unanswered_orders.OrderLoss
) -> None:
    context.pattern = demand_world.four_bursting_queues()
    lossy = dataclasses.replace(context.pattern, losses=(loss,))
    context.days = _simulate(lossy, count)


@given('{count:d} random days on which {share:g} of the orders get no answer')
def simulate_order_losses(context: Any, count: int, share: float) -> None:
    _simulate_losses(context, count, unanswered_orders.OrderLoss(share))


@given('{count:d} random days on which {share:g} of the polls get no answer')
def simulate_poll_losses(context: Any, count: int, share: float) -> None:
    loss = unanswered_orders.OrderLoss(share, polls_only=True)
    _simulate_losses(context, count, loss)


@then('each day earns at most {most:g} less than the same day without loss')
def check_cost(context: Any, most: float) -> None:
    usual = _simulate(context.pattern, len(context.days))
    shares = [
        (day.share, other.share)
        for day, other in zip(context.days, usual, strict=True)
    ]
    assert all(share >= other - most for share, other in shares), shares


@then("less than {most:g} of each day's accepted jobs is never served")
def check_served(context: Any, most: float) -> None:
    counts = [
        (day.never_served, day.jobs - day.gave_up) for day in context.days
    ]
    assert all(never < most * jobs for never, jobs in counts), counts


@then('no task has run on two workers at once')
def check_twice(context: Any) -> None:
    counts = [day.twice for day in context.days]
    assert not any(counts), counts


@then("no run ends with its worker's lease")
def check_lapses(context: Any) -> None:
    counts = [day.lapses for day in context.days]
    assert not any(counts), counts


@then('no order is dropped unsent')
def check_sent(context: Any) -> None:
    counts = [day.unsent for day in context.days]
    assert not any(counts), counts
