"""Steps about a leader that handles poll answers late, without a network."""

from typing import Any

from behave import given
from behave import then
from behave import when

from greengagering import coordination
from greengagering.coordination import workers
from greengagering import state

TERM = 1
START_S = 20.0
START_CLOCK_MS = 40_000
QUEUE = state.Queue('q', 'host', '/q/', 'service-a', attempt_limit=2)


def _life(name: str) -> state.WorkerFacts:
    return state.WorkerFacts(
        name,
        1,
        'service-a',
        f'{name}:1',
        'dc-1',
        'rack-1',
        (),
        state.Room(32_000, 65_536),
    )


def _apply(context: Any, records: list[state.JobRecord]) -> None:
    scheduler = context.scheduler
    for record in records:
        state.apply_to_jobs(scheduler.jobs, record)
        scheduler.handle_applied(
            record, context.now_s, int(context.now_s * 1000)
        )


def _report(context: Any) -> None:
    context.sequence += 1
    for name in ('w1', 'w2'):
        context.scheduler.handle_report(
            coordination.WorkerReport(
                _life(name), context.sequence, None, False
            ),
            context.now_s,
        )


def _poll(
    context: Any,
    name: str,
    clock_ms: int,
    running: tuple[coordination.ListedRun, ...] = (),
) -> None:
    """Pass a worker's answer to a poll to the leader."""
    fence = workers.create_fence(TERM, 1)
    poll = coordination.LookOrder(_life(name), fence, 0, 0, 0)
    done = coordination.OrderOutcome.DONE
    answer = coordination.LookAnswer(done, clock_ms, 1, running, ())
    context.scheduler.handle_poll_answer(
        poll, 0, answer, context.now_s, context.now_s
    )


def _step(context: Any) -> None:
    """Advance the leader by one step, and record the runs that it stops."""
    scheduler = context.scheduler
    _apply(context, scheduler.step(context.now_s, int(context.now_s * 1000)))
    context.stopped = [
        order.key
        for order in scheduler.take_orders()
        if isinstance(order, coordination.StopOrder)
    ]


@given('a leader with two workers, and a run of 1 s at one of them')
def lead_with_run(context: Any) -> None:
    jobs = state.JobsState()
    context.sequence = 0
    context.now_s = START_S
    context.scheduler = coordination.JobScheduler(jobs)
    plan = state.RoutePlan(
        1, (QUEUE,), (state.WorkerService('service-a'),), 1000, b''
    )
    step = state.StepSpec(1, state.Room(1000, 100), 1.0)
    spec = state.JobSpec('job-0', 'text', (step,))
    for record in (
        state.PlanReplaced(plan),
        state.LifeSeen(_life('w1')),
        state.LifeSeen(_life('w2')),
        state.JobAccepted(spec, QUEUE, int(START_S * 1000)),
    ):
        state.apply_to_jobs(jobs, record)
    scheduler = context.scheduler
    scheduler.start_leading(TERM, START_S, int(START_S * 1000))
    for name in ('w1', 'w2'):
        _poll(context, name, START_CLOCK_MS)
    _apply(context, scheduler.step(START_S, int(START_S * 1000)))
    (order,) = scheduler.take_orders()
    done = coordination.OrderOutcome.DONE
    answer = coordination.OrderAnswer(done, START_CLOCK_MS)
    scheduler.handle_order_answer(order, 0, answer, START_S)
    context.order = order


def _poll_with_run(context: Any, after_s: float, clock_ms: int) -> None:
    """Advance the time, then pass on a poll answer that lists the run."""
    context.now_s += after_s
    _report(context)
    listed = coordination.ListedRun(context.order.key, '', 100, None)
    _poll(context, context.order.life.worker_id, clock_ms, (listed,))
    _step(context)


@when('the leader is busy for 9 s, and its lists are of 0.9 s after the start')
def poll_late(context: Any) -> None:
    _poll_with_run(context, 9.0, START_CLOCK_MS + 900)


@when('the leader is busy for 6 s without any lists')
def poll_nothing(context: Any) -> None:
    context.now_s += 6.0
    _report(context)
    context.scheduler.take_poll_candidates()
    _step(context)


@when('its next lists show the run 9 s after the start')
def poll_current(context: Any) -> None:
    _poll_with_run(context, 3.0, START_CLOCK_MS + 9000)


@then('it stops no run')
def check_none_stopped(context: Any) -> None:
    assert not context.stopped, context.stopped


@then('it stops that run')
def check_stopped(context: Any) -> None:
    assert context.stopped == [context.order.key], context.stopped


@then('it stops no run, and asks that worker for its lists at once')
def check_polled(context: Any) -> None:
    check_none_stopped(context)
    key = context.order.life.key
    assert key in context.scheduler.take_poll_candidates()
    context.now_s += 0.01
    context.scheduler.workers[key].granted_at_s = context.now_s
    poll = context.scheduler.next_poll(key, context.now_s)
    assert poll is not None and not poll.wait_ms, poll
