"""Steps about a leader's requests to an adviser."""

from typing import Any

from behave import given
from behave import then
from behave import when

from features.search import worker_fakes
from features.steps.job_rule_steps import SMALL
from features.steps.job_rule_steps import world_of
from greengagering import coordination
from greengagering import state

TICK_S = 0.1
WAIT_S = 3.0
LARGE_JOB = 'large'
SMALL_JOB = 'small'


@given('a queue whose adviser is asked for permits of {seconds:g} s')
def new_scheduler(context: Any, seconds: float) -> None:
    context.queue = state.Queue(
        'queue-b',
        'jobs',
        '/b/',
        'service-a',
        attempt_limit=3,
        advice=state.AdvicePolicy(0.1, 0.01, seconds),
    )
    context.validity_s = seconds
    jobs = state.JobsState()
    context.facts = {
        name: worker.facts()
        for name, worker in world_of(context).workers.items()
    }
    for facts in context.facts.values():
        state.apply_to_jobs(jobs, state.LifeSeen(facts))
    context.scheduler = coordination.JobScheduler(jobs)
    context.scheduler.start_leading(1, 0.0, 0)
    context.now_s = 0.0
    context.orders = []
    # The workers' answer to each order.
    context.outcome = coordination.OrderOutcome.DONE
    for facts in context.facts.values():
        poll_worker(context, facts)


def poll_worker(context: Any, facts: state.WorkerFacts) -> None:
    """Answer a poll of a worker on which nothing runs."""
    poll = context.scheduler.next_poll(facts.key, context.now_s)
    assert poll is not None
    answer = coordination.LookAnswer(
        coordination.OrderOutcome.DONE,
        20_000 + int(context.now_s * 1000),
        facts.born_ms,
    )
    context.scheduler.handle_poll_answer(
        poll, 0, answer, context.now_s, context.now_s
    )


def step(context: Any) -> None:
    """Advance the time by one tick, and commit the proposals."""
    context.now_s += TICK_S
    scheduler = context.scheduler
    now_ms = int(context.now_s * 1000)
    for view in scheduler.workers.values():
        view.heard_at_s = context.now_s
    for record in scheduler.step(context.now_s, now_ms):
        state.apply_to_jobs(scheduler.jobs, record)
        scheduler.handle_applied(record, context.now_s, now_ms)
    for order in scheduler.take_orders():
        context.orders.append(order)
        answer = coordination.OrderAnswer(context.outcome)
        scheduler.handle_order_answer(order, 0, answer, context.now_s)


def take_advice_request(context: Any) -> coordination.AdviceRequest:
    """Advance the time until the next request, and return it."""
    ends_s = context.now_s + WAIT_S
    while context.now_s < ends_s:
        step(context)
        request = context.scheduler.permits.take_advice_request(context.now_s)
        if request is not None:
            return request
    raise AssertionError('nothing was asked')


def answer(context: Any, permits: dict[str, str] | None) -> None:
    """Answer the open request, or fail it where permits is None."""
    advice = None
    if permits is not None:
        advice = coordination.Advice(permits, context.validity_s)
    context.scheduler.handle_advice(context.request, advice, context.now_s)
    step(context)
    step(context)


@when('{count:d} jobs with 1 task are submitted to the queue with advice')
def submit_several(context: Any, count: int) -> None:
    for number in range(count):
        submit_job(context, 1, f'other{number}')


@when('a job with {count:d} tasks is submitted to the queue with advice')
@when('a job with {count:d} task is submitted to the queue with advice')
def submit_job(context: Any, count: int, job_id: str = 'job') -> None:
    submit_step(context, state.StepSpec(count, SMALL, 0.6), job_id)


def submit_step(context: Any, step: state.StepSpec, job_id: str) -> None:
    """Submit a job of one step to the queue with advice."""
    spec = state.JobSpec(job_id, 'text', (step,))
    record = state.JobAccepted(spec, context.queue, 0)
    state.apply_to_jobs(context.scheduler.jobs, record)
    context.scheduler.handle_applied(record, context.now_s, 0)


@when('the adviser permits {first} and {second}')
def permit_two(context: Any, first: str, second: str) -> None:
    context.permits = {first: 'permit-1', second: 'permit-2'}
    answer(context, context.permits)


@when('it permits {name} and {same} drains for {seconds:g} s')
def permit_and_drain(
    context: Any, name: str, same: str, seconds: float
) -> None:
    view = context.scheduler.newest_incarnation(name)
    view.is_draining = True
    answer(context, {name: 'permit-1'})
    context.now_s += seconds
    view.is_draining = False


@when('it permits {name} and {same} refuses the permit')
def permit_and_refuse(context: Any, name: str, same: str) -> None:
    context.outcome = coordination.OrderOutcome.NO_PERMIT
    answer(context, {name: 'permit-1'})
    (order,) = context.orders
    assert order.permit == 'permit-1'


@when('it gives no answer')
def no_answer(context: Any) -> None:
    answer(context, None)


@then('the adviser is asked about its step')
def check_question(context: Any) -> None:
    context.request = take_advice_request(context)
    assert context.request.step_name == 'job.0.0', context.request
    assert set(context.request.life_keys) <= set(context.facts)


@then('the 4 tasks start on {first} and {second} with their permits')
def check_permits(context: Any, first: str, second: str) -> None:
    assert len(context.orders) == 4, context.orders
    for order in context.orders:
        worker_id = order.life.worker_id
        assert worker_id in (first, second)
        assert order.permit == context.permits[worker_id]


@then('no order to start was given')
def check_no_order(context: Any) -> None:
    assert not context.orders


@then('only one request is open')
def check_single(context: Any) -> None:
    take_advice_request(context)
    for _ in range(20):
        step(context)
        permits = context.scheduler.permits
        assert permits.take_advice_request(context.now_s) is None


@given(
    'the adviser permits worker-1 for large jobs, and the others for small '
    'ones'
)
def permit_by_size(context: Any) -> None:
    context.large_validity_s = context.validity_s


@given("the adviser's permits for large jobs expire at once")
def expire_at_once(context: Any) -> None:
    context.large_validity_s = 0.0


def advise(context: Any, request: coordination.AdviceRequest) -> None:
    """Answer a request as an adviser that permits workers by a job's size."""
    is_large = request.step_name.startswith(LARGE_JOB)
    permits = {
        name: f'permit of {name}'
        for name in request.life_keys
        if (name == 'worker-1') == is_large
    }
    validity_s = context.large_validity_s if is_large else context.validity_s
    context.scheduler.handle_advice(
        request, coordination.Advice(permits, validity_s), context.now_s
    )


def advance_with_adviser(context: Any, seconds: float) -> None:
    """Advance the time, with an adviser that answers after one tick."""
    ends_s = context.now_s + seconds
    while context.now_s < ends_s:
        step(context)
        if context.request is not None:
            advise(context, context.request)
        context.request = context.scheduler.permits.take_advice_request(
            context.now_s
        )
        if context.request is not None:
            context.asked.append(context.request.step_name)


def started_jobs(context: Any) -> set[str]:
    """Return the jobs of which a start was ordered."""
    return {order.key.job_id for order in context.orders}


@when(
    '{large:d} large jobs and then {small:d} small jobs are submitted to the '
    'queue with advice'
)
def submit_by_size(context: Any, large: int, small: int) -> None:
    context.asked = []
    context.request = None
    context.small_jobs = {f'{SMALL_JOB}{number}' for number in range(small)}
    # Lasting tasks never become late, so they stay the most urgent ones.
    lasting = state.StepSpec(1, worker_fakes.ROOM, 0.6, is_lasting=True)
    for number in range(large):
        submit_step(context, lasting, f'{LARGE_JOB}{number}')
    advance_with_adviser(context, 2.0)
    for job_id in sorted(context.small_jobs):
        submit_job(context, 1, job_id)


@then('the small jobs run within {seconds:g} s')
def check_small_run(context: Any, seconds: float) -> None:
    advance_with_adviser(context, seconds)
    assert context.small_jobs <= started_jobs(context), context.asked


@then('the adviser is asked once about each large job')
def check_asked_once(context: Any) -> None:
    asked = [name for name in context.asked if name.startswith(LARGE_JOB)]
    assert len(asked) == len(set(asked)) == 4, asked


@when('{seconds:g} s pass and the first large job is cancelled')
def cancel_first(context: Any, seconds: float) -> None:
    advance_with_adviser(context, seconds)
    (job_id,) = started_jobs(context)
    record = state.JobCancelled(job_id)
    scheduler = context.scheduler
    state.apply_to_jobs(scheduler.jobs, record)
    scheduler.handle_applied(record, context.now_s, 0)
    for view in scheduler.workers.values():
        for name in list(view.runs):
            view.remove_run(name)


@then('the second large job runs within {seconds:g} s')
def check_second_runs(context: Any, seconds: float) -> None:
    advance_with_adviser(context, seconds)
    assert len(started_jobs(context)) == 2, context.asked
