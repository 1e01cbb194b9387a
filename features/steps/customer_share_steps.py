"""Steps on shares of customers, and on jobs beyond their customers' rates."""

import asyncio
from collections.abc import Callable
import dataclasses
import random
import types
from typing import Any
from unittest import mock

from behave import given
from behave import then
from behave import when
from result import Ok

from features.support import demand_world
from greengagering import coordination
from greengagering.coordination.jobs import StepWork
from greengagering.coordination.scheduling import _admission
from greengagering.coordination.scheduling import _leader_core
from greengagering.coordination.scheduling import _shares
from greengagering.platform import _caller_app
from greengagering import state
from greengagering.transport._job_call_handler import JobCallHandler
from greengagering.transport import _metrics

FLOOD_AT_S = demand_world.WARM_UP_S + demand_world.FLOODS[0][1]
SMALLEST = f'customer-{demand_world.CUSTOMER_COUNT}'
SECOND = 'customer-2'
WEIGHT = 2.0
KEY_DIGEST = 'digest'
NOW_S = 100.0
NOW_MS = 100_000
QUEUE = state.Queue('queue', 'host', '/queue/', 'pool', target_s=0.6)
SHORT_STEP = state.StepSpec(1, state.Room(1000, 100), 1.0)

Prepare = Callable[[demand_world.DemandWorld], None]


def _simulate(context: Any, prepare: Prepare) -> Any:
    results = []
    for seed in context.seeds:
        world = demand_world.DemandWorld(context.pattern, seed)
        prepare(world)
        results.append(world.simulate())
    return results


def _keep(_world: demand_world.DemandWorld) -> None:
    """Leave a day as it is drawn."""


def _days(context: Any) -> Any:
    """Simulate the days once for all steps of a scenario."""
    if not hasattr(context, 'days'):
        context.days = _simulate(context, _keep)
    return context.days


def _days_without_excess(context: Any) -> Any:
    if not hasattr(context, 'days_without_excess'):
        context.days_without_excess = _simulate(
            context, demand_world.DemandWorld.drop_unowed
        )
    return context.days_without_excess


@given(
    '{count:d} random days on which the largest customer floods a shared queue'
)
def draw_floods(context: Any, count: int) -> None:
    context.pattern = demand_world.FLOODED
    context.seeds = range(1, count + 1)


@given(
    '{count:d} random days on which it floods two queues while two bursts '
    'overlap'
)
def draw_overlaps(context: Any, count: int) -> None:
    context.pattern = demand_world.FLOODED_OVERLAP
    context.seeds = range(1, count + 1)


@given('a random day on which the largest customer floods a shared queue')
def draw_flood(context: Any) -> None:
    draw_floods(context, 1)
    context.world = demand_world.DemandWorld(context.pattern, seed=1)


@given('all jobs of the second largest customer want the same rack')
def want_rack(context: Any) -> None:
    context.world.keep_to_rack(SECOND, 'rack-1')


@then('the other customers earn {share:g} of the value owed to them')
def check_others(context: Any, share: float) -> None:
    for day in _days(context):
        assert day.others_share >= share, day


@then(
    'they earn {share:g} of what they earn if nobody sends more than is owed'
)
def check_excess(context: Any, share: float) -> None:
    pairs = zip(_days(context), _days_without_excess(context), strict=True)
    for day, calm in pairs:
        assert day.others_share >= share * calm.others_share, (day, calm)


@then(
    'the other customers earn {share:g} of what they earn if nobody sends '
    'more than is owed'
)
def check_others_excess(context: Any, share: float) -> None:
    check_excess(context, share)


@then('more is earned of what is owed than by the order without customers')
def check_baseline(context: Any) -> None:
    with mock.patch.object(_leader_core.LeaderCore, 'weights', {}):
        baseline = _simulate(context, _keep)
    for day, before in zip(_days(context), baseline, strict=True):
        assert day.owed_share > before.owed_share, (day, before)


@then(
    'the customer with the least weight earns {share:g} of the value owed '
    'to it'
)
def check_smallest(context: Any, share: float) -> None:
    for day in _days(context):
        assert day.by_customer.get(SMALLEST, 1.0) >= share, day


@then('the second largest customer earns {share:g} of the value owed to it')
def check_second(context: Any, share: float) -> None:
    day = context.world.simulate()
    assert day.by_customer[SECOND] >= share, day


@then(
    "{share:g} as many of the others' largest jobs are in time as if "
    'nobody sends more than is owed'
)
def check_largest(context: Any, share: float) -> None:
    days, calm = _days(context), _days_without_excess(context)
    in_time = sum(day.largest_in_time for day in days)
    in_time_before = sum(day.largest_in_time for day in calm)
    assert in_time >= share * in_time_before, (in_time, in_time_before)


@when(
    'the smallest customer submits its only job, of {count:d} tasks, '
    '{after_s:d} s into the flood'
)
def submit_wide(context: Any, count: int, after_s: int) -> None:
    context.world.drop_jobs(SMALLEST)
    context.world.simulate_until(FLOOD_AT_S + after_s)
    context.world.submit_step('wide', count, 3000, 1.0, SMALLEST)


@then('that job is in time')
def check_wide(context: Any) -> None:
    context.world.simulate_until(context.world.now_s + 10)
    assert context.world.is_in_time('wide'), context.world.took_s('wide')


@when('another leader takes over {after_s:d} s into the flood')
def change_leader(context: Any, after_s: int) -> None:
    world = context.world
    world.simulate_until(FLOOD_AT_S + after_s)
    context.other = coordination.JobScheduler(world.jobs_state)
    context.other.start_leading(2, world.now_s, int(world.now_s * 1000))


@then('it marks the same active jobs as its predecessor did')
def check_marks(context: Any) -> None:
    jobs = context.world.jobs_state.jobs
    active = [n for n, j in jobs.items() if j.status is state.JobStatus.ACTIVE]
    marked, marked_before = (
        [n for n in active if scheduler._core.job_rates.is_beyond(n)]
        for scheduler in (context.other, context.world.scheduler)
    )
    assert marked == marked_before, (marked, marked_before)
    assert marked, 'no job was beyond its rate'


@then('some jobs are refused')
def check_some_refused(context: Any) -> None:
    for day in _days(context):
        assert day.refused, day


@then('more than half of the calls that return are accepted')
def check_returns(context: Any) -> None:
    for day in _days(context):
        assert day.returns_accepted > day.returns / 2, day


@then('no refused job would have been in time without its refusal')
def check_refused(context: Any) -> None:
    refused = [day.refused for day in _days(context)]
    with mock.patch.object(
        _admission.Admission, 'judge', lambda *_arguments: None
    ):
        for seed, job_ids in zip(context.seeds, refused, strict=True):
            world = demand_world.DemandWorld(context.pattern, seed)
            world.simulate()
            in_time = [name for name in job_ids if world.is_in_time(name)]
            assert not in_time, (seed, len(in_time), len(job_ids), in_time)


def _create_scheduler(context: Any) -> None:
    customer = state.Customer('customer', (KEY_DIGEST,), WEIGHT)
    plan = state.RoutePlan(
        1,
        (QUEUE,),
        (state.WorkerService('pool'),),
        1000,
        b'',
        customers=(customer,),
    )
    jobs = state.JobsState()
    state.apply_to_jobs(jobs, state.PlanReplaced(plan))
    context.scheduler = coordination.JobScheduler(jobs)
    context.scheduler.start_leading(1, NOW_S, NOW_MS)


@given('a pool with {wait_s:d} s of waiting work')
def fill_pool(context: Any, wait_s: int) -> None:
    _create_scheduler(context)
    backlog = _admission.PoolBacklog(1.0, 1.0)
    backlog.add_within(wait_s, wait_s)
    context.scheduler._core.admission.backlogs = {'pool': backlog}


def _judge(
    context: Any, spec: state.JobSpec, at_ms: int = NOW_MS
) -> _admission.RateRefusal | None:
    """Submit a job of the customer, and store it if it isn't refused."""
    scheduler = context.scheduler
    now_s = at_ms / 1000
    refusal: _admission.RateRefusal | None = scheduler.submissions.judge(
        spec, QUEUE, 'customer', now_s, at_ms
    )
    if refusal is None:
        record = state.JobAccepted(spec, QUEUE, at_ms, 'customer')
        state.apply_to_jobs(scheduler.jobs, record)
        scheduler.handle_applied(record, now_s, at_ms)
    return refusal


def _spec(name: str, **fields: Any) -> state.JobSpec:
    return state.JobSpec(name, 'text', (SHORT_STEP,), **fields)


@given('a customer of weight 2 that has submitted {count:d} jobs')
@then('a customer of weight 2 may submit {count:d} jobs at once')
def submit_within(context: Any, count: int) -> None:
    for number in range(count):
        assert _judge(context, _spec(f'job-{number}')) is None, number


@then(
    'its third job is refused, until {most_s:d} s at the most and '
    '{least_s:d} s at the least'
)
def check_third(context: Any, most_s: int, least_s: int) -> None:
    refusal = _judge(context, _spec('third'))
    assert refusal is not None
    assert least_s <= refusal.retry_after_s <= most_s, refusal


@then('{after_s:g} s later it may submit one more')
def check_later(context: Any, after_s: float) -> None:
    at_ms = NOW_MS + int(after_s * 1000)
    assert _judge(context, _spec('fourth'), at_ms) is None
    assert _judge(context, _spec('fifth'), at_ms) is not None


@then('its lasting job and its scheduled job are accepted')
def check_unrated(context: Any) -> None:
    lasting = dataclasses.replace(SHORT_STEP, is_lasting=True)
    job = state.JobSpec('lasting', 'text', (lasting,))
    assert _judge(context, job) is None
    job = _spec('scheduled', occurrence_count=2, first_due_ms=NOW_MS + 5000)
    assert _judge(context, job) is None


@when('{count:d} more of its jobs are refused at once')
def refuse_many(context: Any, count: int) -> None:
    refusals = [_judge(context, _spec(f'more-{n}')) for n in range(count)]
    context.retries_s = [r.retry_after_s for r in refusals if r is not None]
    assert len(context.retries_s) == count


@then('no more than 2 of them return within the same second, but at the bound')
def check_spread(context: Any) -> None:
    bound_s = _admission.MAX_RETRY_S * (1 - _admission.RETRY_SPREAD)
    early = sorted(s for s in context.retries_s if s < bound_s)
    for first, third in zip(early, early[2:], strict=False):
        assert third - first >= 0.5, context.retries_s
    late = [s for s in context.retries_s if s >= bound_s]
    assert len(set(late)) == len(late), late


@when('its caller sends the job {job_id}')
def send_job(context: Any, job_id: str) -> None:
    scheduler = context.scheduler
    context.stored = []

    async def commit(record: state.JobRecord) -> Any:
        context.stored.append(record)
        return Ok(None)

    core: Any = types.SimpleNamespace(
        state=types.SimpleNamespace(jobs=scheduler.jobs), jobs=scheduler
    )
    handler = JobCallHandler(
        core, commit, lambda: NOW_MS, _metrics.create_control_metrics()
    )
    call = coordination.JobCall(
        'call',
        'entry',
        'entry:80',
        coordination.CallKind.SUBMIT,
        QUEUE.host,
        f'{QUEUE.path_prefix}{job_id}',
        _spec(job_id),
        key_digest=KEY_DIGEST,
    )
    answer = asyncio.run(handler.answer(call))
    context.response = _caller_app._create_response(call.kind, answer)


@then(
    'that caller gets 429, to return after {least_s:d} s at the least and '
    '{most_s:d} s at the most'
)
def check_status(context: Any, least_s: int, most_s: int) -> None:
    response = context.response
    assert response.status == 429, response
    retry_s = int(response.headers['Retry-After'])
    assert least_s <= retry_s <= most_s, retry_s


@then('that caller gets 200')
def check_accepted(context: Any) -> None:
    assert context.response.status == 200, context.response


@then('nothing is stored')
def check_not_stored(context: Any) -> None:
    assert not context.stored, context.stored


@given('{count:d} random steps without customers')
def draw_steps(context: Any, count: int) -> None:
    rng = random.Random(1)
    context.works = []
    for number in range(count):
        queue = dataclasses.replace(QUEUE, priority=rng.randrange(2))
        job = state.Job(_spec(f'job-{number}'), queue, 0)
        objective_end_s = NOW_S + rng.uniform(-5, 5)
        work = StepWork(
            job,
            0,
            0,
            {0},
            objective_end_s,
            objective_end_s + 3,
            rng.uniform(0, 3),
            0.0,
        )
        context.works.append((work, 'pool'))


@then('they are served by priority, lateness and latest start alone')
def check_order(context: Any) -> None:
    def former_rank(item: tuple[StepWork, str]) -> tuple[float, ...]:
        work = item[0]
        return (
            work.worthless_at_s <= NOW_S,
            work.job.queue.priority,
            work.is_late(NOW_S),
            work.objective_end_s - work.remaining_s,
        )

    order = _shares.ShareOrder(_shares.JobRates(), {}, {}, {})
    served = list(order.sort(context.works, NOW_S))
    assert served == sorted(context.works, key=former_rank)
