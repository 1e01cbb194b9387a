"""Steps about leases that orders to former processes of a worker extend."""

import dataclasses
from typing import Any

from behave import given
from behave import then
from behave import when

from features.steps import late_poll_steps
from features.steps import late_start_steps
from features.steps import unanswered_order_steps
from greengagering import coordination
from greengagering.coordination.workers import _worker_view
from greengagering import state

GRANT_AT_S = 1.4
FORMER_CLOCK_MS = 50_000
CLOCK_START_MS = 11_000
"""Clocks of the former and of the restarted process, in ms."""

TIMEOUT_S = unanswered_order_steps.ORDER_TIMEOUT_S

_outcomes = coordination.OrderOutcome


@given('a worker of which a start at {now_s:g} s gets no answer')
def leave_start(context: Any, now_s: float) -> None:
    context.worker = worker = unanswered_order_steps.OrderedWorker(1)
    context.late_until_s = now_s + _worker_view.MAX_ORDER_DELAY_S
    worker.step(now_s)
    worker.answer(0, now_s + TIMEOUT_S, _outcomes.NO_ANSWER)


@given(
    'a worker of which a poll at {now_s:g} s that grants a lease gets no '
    'answer'
)
def leave_grant(context: Any, now_s: float) -> None:
    context.worker = worker = unanswered_order_steps.OrderedWorker(1)
    context.late_until_s = now_s + _worker_view.MAX_ORDER_DELAY_S
    worker.step(0.1)
    worker.answer(0, 0.12)
    poll = worker.scheduler.next_poll(worker.facts.key, now_s)
    assert poll is not None
    assert poll.until_ms, poll
    grant = worker.scheduler.open_poll_grant(poll, now_s)
    no_answer = coordination.LookAnswer(_outcomes.NO_ANSWER)
    worker.scheduler.handle_poll_answer(
        poll, grant, no_answer, now_s, now_s + TIMEOUT_S
    )


@given(
    'a worker of which a poll that grants a lease is answered by its next '
    'process'
)
def mix_up_poll(context: Any) -> None:
    context.worker = worker = unanswered_order_steps.OrderedWorker(1)
    worker.step(0.1)
    worker.answer(0, 0.12)
    poll = worker.scheduler.next_poll(worker.facts.key, GRANT_AT_S)
    assert poll is not None
    assert poll.until_ms, poll
    grant = worker.scheduler.open_poll_grant(poll, GRANT_AT_S)
    answer = coordination.LookAnswer(
        _outcomes.DONE, CLOCK_START_MS, worker.facts.born_ms + 1
    )
    worker.scheduler.handle_poll_answer(
        poll, grant, answer, GRANT_AT_S, GRANT_AT_S
    )


@given(
    'a worker of which a repeated start, as that of an old run is answered by '
    'its next process'
)
def mix_up_start(context: Any) -> None:
    context.worker = worker = unanswered_order_steps.OrderedWorker(1)
    worker.view.update_clock(FORMER_CLOCK_MS, 0.0)
    worker.step(GRANT_AT_S)
    worker.answer(0, GRANT_AT_S, _outcomes.OLD_RUN, CLOCK_START_MS)


@when(
    "it works on with a clock that doesn't begin at zero until {until_s:g} s"
)
def work_by_clock(context: Any, until_s: float) -> None:
    context.process = late_poll_steps.LaterProcess(
        context.worker.restarted, CLOCK_START_MS
    )
    late_poll_steps.work(context, until_s)


@then("it isn't over before the longest lease since that answer has ended")
def check_mixed_up(context: Any) -> None:
    _check_longest_lease(context, GRANT_AT_S)


@when('a late order extends its lease by 10 s, and it is cut off')
def cut_off_late(context: Any) -> None:
    cut_off(context)
    assert context.cut_at_s < context.late_until_s, context.cut_at_s


@when('it is cut off')
def cut_off(context: Any) -> None:
    """Leave everything unanswered from the next grant on that is answered."""
    worker = context.worker
    key = worker.restarted.key
    granted_at_s = worker.scheduler.workers[key].granted_at_s
    while worker.scheduler.workers[key].granted_at_s == granted_at_s:
        late_poll_steps.work(context, worker.now_s + late_poll_steps.STEP_S)
    context.cut_at_s = worker.now_s
    assert worker.scheduler.workers[key].runs
    context.over_at_s = None
    while context.over_at_s is None:
        worker.step(round(worker.now_s + 0.1, 3))
        now_s = worker.now_s
        for record in worker.records:
            if isinstance(record, state.LifeOver) and record.life_key == key:
                context.over_at_s = now_s
        poll = worker.scheduler.next_poll(key, now_s)
        if poll is not None:
            grant = worker.scheduler.open_poll_grant(poll, now_s)
            no_answer = coordination.LookAnswer(_outcomes.NO_ANSWER)
            worker.scheduler.handle_poll_answer(
                poll, grant, no_answer, now_s, now_s + 0.1
            )
        assert now_s < 60, 'it is never over'


def _check_longest_lease(context: Any, granted_at_s: float) -> None:
    ran_s = context.over_at_s - granted_at_s
    assert ran_s >= _worker_view.MAX_LEASE_S, ran_s


@then("it isn't over before that lease has ended")
def check_over(context: Any) -> None:
    _check_longest_lease(context, context.cut_at_s)


@when('the worker works on until {until_s:g} s')
def work_on(context: Any, until_s: float) -> None:
    context.process = late_poll_steps.LaterProcess(context.worker.restarted)
    late_poll_steps.work(context, until_s)


@given('a worker that works from {now_s:g} s on')
def start_work(context: Any, now_s: float) -> None:
    context.worker = worker = unanswered_order_steps.OrderedWorker(1)
    worker.step(now_s)
    worker.answer(0, now_s + 0.02)


@when('the worker restarts, and the leader knows at {now_s:g} s')
def report_restart(context: Any, now_s: float) -> None:
    worker = context.worker
    worker.now_s = now_s
    worker.restarted = dataclasses.replace(
        worker.facts, born_ms=worker.facts.born_ms + 1
    )
    report = coordination.WorkerReport(
        worker.restarted, 1, CLOCK_START_MS, is_draining=False
    )
    record = worker.scheduler.handle_report(report, now_s)
    assert record is not None
    late_start_steps.apply(worker, record, now_s)


@when('at {now_s:g} s {replica} takes over')
def change_leader(context: Any, now_s: float, replica: str) -> None:
    worker = context.worker
    if replica == 'a replica that has just loaded a snapshot':
        data = state.encode(worker.scheduler.jobs)
        jobs = state.decode(data, state.JobsState)
        worker.scheduler = coordination.JobScheduler(jobs)
    worker.scheduler.start_leading(2, now_s, 0)
    worker.now_s = context.leading_since_s = now_s


@then("it isn't over before the longest lease since then has ended")
def check_longest(context: Any) -> None:
    _check_longest_lease(context, context.leading_since_s)


@then('it is over within {seconds:g} s')
def check_usual(context: Any, seconds: float) -> None:
    ran_s = context.over_at_s - context.cut_at_s
    assert ran_s <= seconds, ran_s
