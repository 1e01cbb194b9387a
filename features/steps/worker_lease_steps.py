"""Steps about the expiry of workers' leases after a change of leader."""

from typing import Any

from behave import given
from behave import then
from behave import when

from greengagering import coordination
from greengagering import state

FACTS = state.WorkerFacts(
    'worker-1',
    1,
    'service-a',
    '10.0.0.1:80',
    'dc-1',
    'rack-1',
    (),
    state.Room(8000, 16_000),
)
CLOCK_MS = 50_000
STEP_S = 0.1


@given(
    'a worker that a new leader polls at {read_s:g} s, and grants nothing yet'
)
def read_worker(context: Any, read_s: float) -> None:
    jobs = state.JobsState()
    plan = state.RoutePlan(
        1, (), (state.WorkerService('service-a'),), 1000, b''
    )
    state.apply_to_jobs(jobs, state.PlanReplaced(plan))
    state.apply_to_jobs(jobs, state.LifeSeen(FACTS))
    scheduler = coordination.JobScheduler(jobs)
    scheduler.start_leading(2, read_s - 0.1, 0)
    poll = scheduler.next_poll(FACTS.key, read_s)
    assert poll is not None and not poll.until_ms, poll
    answer = coordination.LookAnswer(
        coordination.OrderOutcome.DONE, CLOCK_MS, FACTS.born_ms, (), ()
    )
    scheduler.handle_poll_answer(poll, 0, answer, read_s, read_s)
    context.scheduler = scheduler
    context.read_s = read_s


@when('it answers nothing from then on')
def silence_worker(context: Any) -> None:
    stop = coordination.StopOrder(
        FACTS, state.RunKey('job-1', '0.0.0', 1), fence=2
    )
    context.scheduler.handle_order_answer(
        stop,
        0,
        coordination.OrderAnswer(coordination.OrderOutcome.NO_ANSWER),
        context.read_s,
    )


@then('its lease lasts until {first_s:g} s, and has expired by {last_s:g} s')
def check_lease(context: Any, first_s: float, last_s: float) -> None:
    scheduler = context.scheduler
    now_s = context.read_s
    over_at_s = None
    while over_at_s is None and now_s < last_s:
        now_s += STEP_S
        scheduler.step(now_s, int(now_s * 1000))
        if not scheduler.newest_incarnation('worker-1'):
            over_at_s = now_s
    assert over_at_s is not None, 'its lease is never over'
    assert over_at_s >= first_s, over_at_s
