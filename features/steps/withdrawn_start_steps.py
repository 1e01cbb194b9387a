"""Steps with starts that are due after their worker takes no new run."""

import dataclasses
from typing import Any

from behave import given
from behave import then
from behave import when

from features.steps import late_start_steps
from features.steps import unanswered_order_steps
from features.steps import worker_order_steps
from greengagering import coordination
from greengagering import state

NO_ANSWER = coordination.OrderOutcome.NO_ANSWER
DONE = coordination.OrderOutcome.DONE
OTHER = 'other:80'
UNDER_WAY_S = 0.45
"""Time for which the first start is under way; shorter than an order's
timeout, and longer than the time until its first repetition."""


def _change(context: Any, event: str) -> None:
    """Let the worker drain, or its machine be emptied."""
    worker = context.worker
    if event == 'drains':
        record = state.LifeDraining(worker.facts.key)
        state.apply_to_jobs(worker.scheduler.jobs, record)
        worker.scheduler.handle_applied(record, worker.now_s, 0)
    else:
        worker.scheduler.reserve_worker(worker.facts.worker_id)


@when('its worker {event}, and the first start stays without an answer')
def leave_unanswered(context: Any, event: str) -> None:
    worker = context.worker
    _change(context, event)
    worker.advance(0.6)
    context.start_count = len(worker.starts)
    assert len(worker.starts) == 1, worker.sent
    worker.answer(0, 0.6, NO_ANSWER)
    worker.answer_poll(0.65)
    worker.advance(1.2)


@then('its run is stopped, and no start is sent to it any more')
def check_stopped(context: Any) -> None:
    worker = context.worker
    assert len(worker.starts) == 1, worker.sent
    assert worker.stops, 'no order to stop the run'


@then('once the worker has confirmed that, the task starts on another worker')
def check_restart(context: Any) -> None:
    worker = context.worker
    answer = coordination.OrderAnswer(DONE, 10_000)
    worker.scheduler.handle_order_answer(
        worker.stops[-1], 0, answer, worker.now_s, worker.now_s
    )
    for _ in range(3):
        worker.advance(worker.now_s + 1.2)
        worker.answer_poll(worker.now_s)
    _check_elsewhere(context)


def _check_elsewhere(context: Any) -> None:
    """Add a worker, and check that the task starts there."""
    worker = context.worker
    facts = dataclasses.replace(
        worker_order_steps.create_facts(OTHER), worker_id='other'
    )
    late_start_steps.apply(worker, state.LifeSeen(facts), worker.now_s)
    late_start_steps.answer_poll_of(worker, facts, worker.now_s)
    worker.advance(worker.now_s + 0.5)
    lives = {order.life.worker_id for order in worker.starts}
    assert 'other' in lives, worker.starts


@when(
    'its worker {event}, and the first start is answered as its repetition '
    'is due'
)
def answer_late(context: Any, event: str) -> None:
    worker = context.worker
    _change(context, event)
    worker.advance(UNDER_WAY_S)
    worker.answer(0, UNDER_WAY_S)
    worker.advance(2.0)


@then('its run is neither stopped nor sent again')
def check_goes_on(context: Any) -> None:
    worker = context.worker
    assert len(worker.starts) == 1, worker.sent
    assert not worker.stops, worker.stops


@given("a worker whose first start isn't committed")
def hold_record(context: Any) -> None:
    context.worker = unanswered_order_steps.OrderedWorker(1)
    context.records = context.worker.scheduler.step(0.1, 0)
    context.worker.now_s = 0.1
    assert context.records


@given('a worker whose first start waits for a lease')
def hold_order(context: Any) -> None:
    context.worker = unanswered_order_steps.OrderedWorker(1)
    worker_order_steps.commit(context.worker.scheduler, 0.1)
    context.worker.now_s = 0.1
    context.records = []


@when('its worker {event}, and the start may be sent')
def release_start(context: Any, event: str) -> None:
    worker = context.worker
    _change(context, event)
    for record in context.records:
        state.apply_to_jobs(worker.scheduler.jobs, record)
        worker.scheduler.handle_applied(record, 0.2, 0)
    worker.advance(0.6)


@when('its worker drains, and a new leader reads it')
def change_leader(context: Any) -> None:
    worker = context.worker
    _change(context, 'drains')
    worker.starts.clear()
    worker.scheduler.start_leading(2, 1.0, 0)
    worker.now_s = 1.0
    worker.answer_poll(1.1)
    worker.advance(2.0)


@then('the start is sent to it')
def check_sent(context: Any) -> None:
    (start, *_) = context.worker.starts
    assert start.life == context.worker.facts, start


@then('no start is sent to it, and the task starts on another worker')
def check_withdrawn(context: Any) -> None:
    assert not context.worker.starts, context.worker.starts
    _check_elsewhere(context)
