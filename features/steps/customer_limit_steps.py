"""Steps about customers' limits, with a leader and fake workers."""

import asyncio
import dataclasses
from typing import Any

from behave import given
from behave import then
from behave import when
from result import Ok

from features.search import customer_limits
from features.search import job_search
from features.search import worker_fakes
from features.steps.job_rule_steps import world_of
from greengagering import coordination
from greengagering import state
from greengagering.transport import _control_pages
from greengagering.transport._job_call_handler import JobCallHandler
from greengagering.transport import _metrics

TASK_MB = 100
ESTIMATE_S = 100.0
"""The run time in most scenarios; with a shorter one the runs would count as
stalled."""


@given('every start is checked against the limits of customers')
def check_every_start(context: Any) -> None:
    world = world_of(context)
    context.customers = {}
    context.customer_jobs = {}
    context.decisions = []
    context.limits = customer_limits.LimitLedger()
    # Every start counts against the limits in force when its step began, or
    # newer higher ones.
    record_start = world.ledger.record_start

    def check(
        worker: worker_fakes.FakeWorker, key: state.RunKey, now_s: float
    ) -> None:
        record_start(worker, key, now_s)
        if key.job_id in context.limits.customers:
            context.limits.check_start(
                world.ledger, key, context.limits.newest_number
            )

    world.ledger.record_start = check  # type: ignore[method-assign]
    step = world._step

    def step_and_check(node: job_search.ControlNode) -> None:
        step(node)
        if node.core is not None and node.core.jobs.is_leading:
            customer_limits.check_usage(node.core.jobs)

    world._step = step_and_check  # type: ignore[method-assign]
    add_trace = world.add_trace

    def add_decision(event: str, **fields: Any) -> None:
        context.decisions.append((event, fields))
        add_trace(event, **fields)

    world.add_trace = add_decision  # type: ignore[method-assign]


def _create_plan(context: Any) -> state.RoutePlan:
    plan = world_of(context).leader().state.jobs.plan
    assert plan is not None
    return dataclasses.replace(
        plan,
        number=plan.number + 1,
        customers=tuple(context.customers.values()),
    )


def _digest(name: str) -> str:
    """Return the digest of a customer's key; any text serves."""
    return f'digest of {name}'


def _set_limit(context: Any, name: str, limit: state.Room) -> None:
    context.customers[name] = state.Customer(
        name, (_digest(name),), limit=limit
    )
    plan = _create_plan(context)
    world_of(context).commit(state.PlanReplaced(plan))
    context.limits.add_plan(plan)


@given('customer {name} may run {cpu:d} millicores')
def limit_cores(context: Any, name: str, cpu: int) -> None:
    _set_limit(context, name, state.Room(cpu))


@given('customer {name} may run {memory_mb:d} megabytes')
def limit_memory(context: Any, name: str, memory_mb: int) -> None:
    _set_limit(context, name, state.Room(0, memory_mb))


@given('customer {name} has no limit')
def limit_nothing(context: Any, name: str) -> None:
    _set_limit(context, name, state.Room())


@when('the limit of {name} becomes {cpu:d} millicores')
def change_limit(context: Any, name: str, cpu: int) -> None:
    _set_limit(context, name, state.Room(cpu))


def _accept(
    context: Any, name: str, *steps: state.StepSpec
) -> state.JobAccepted:
    world = world_of(context)
    jobs = context.customer_jobs.setdefault(name, [])
    spec = state.JobSpec(f'{name}-{len(jobs)}', 'text', steps)
    jobs.append(spec.job_id)
    world.ledger.specs[spec.job_id] = spec
    context.limits.customers[spec.job_id] = name
    return state.JobAccepted(
        spec, job_search.QUEUE, int(world.now_s * 1000), customer=name
    )


def _submit(context: Any, name: str, *steps: state.StepSpec) -> None:
    world_of(context).commit(_accept(context, name, *steps))


def submit_job(context: Any, name: str, *steps: state.StepSpec) -> str:
    """Submit a job of a customer, and return its id."""
    _submit(context, name, *steps)
    return str(context.customer_jobs[name][-1])


def _step(count: int, cpu: int, **fields: Any) -> state.StepSpec:
    return state.StepSpec(
        count, state.Room(cpu, TASK_MB), ESTIMATE_S, **fields
    )


@when('{name} submits a job with {count:d} task of {cpu:d} millicores')
@when('{name} submits a job with {count:d} tasks of {cpu:d} millicores')
def submit(context: Any, name: str, count: int, cpu: int) -> None:
    _submit(context, name, _step(count, cpu))


@when('{name} submits a job with {count:d} tasks of {memory_mb:d} megabytes')
def submit_memory(context: Any, name: str, count: int, memory_mb: int) -> None:
    room = state.Room(250, memory_mb)
    _submit(context, name, state.StepSpec(count, room, ESTIMATE_S))


@when(
    '{name} submits a job with {count:d} filling tasks of {cpu:d} millicores'
)
def submit_filling(context: Any, name: str, count: int, cpu: int) -> None:
    world = world_of(context)
    send = world._send

    def send_no_pace(transit: job_search.Transit) -> None:
        # The fake workers know no pace.
        if not isinstance(transit.order, coordination.PaceOrder):
            send(transit)

    world._send = send_no_pace  # type: ignore[method-assign]
    _submit(context, name, _step(count, cpu, fills=True))


@when('{name} submits a gang of {count:d} tasks of {cpu:d} millicores')
def submit_gang(context: Any, name: str, count: int, cpu: int) -> None:
    _submit(context, name, _step(count, cpu, is_gang=True))


@when(
    '{name} submits {jobs:d} jobs with {count:d} tasks of {cpu:d} millicores '
    'each'
)
def submit_several(
    context: Any, name: str, jobs: int, count: int, cpu: int
) -> None:
    context.submitted_at_s = world_of(context).now_s
    for _ in range(jobs):
        _submit(context, name, _step(count, cpu))


@when(
    '{name} submits {jobs:d} jobs with {count:d} lasting tasks of {cpu:d} '
    'millicores each'
)
def submit_lasting(
    context: Any, name: str, jobs: int, count: int, cpu: int
) -> None:
    for _ in range(jobs):
        _submit(context, name, _step(count, cpu, is_lasting=True))


@when('the first job of {name} is cancelled')
def cancel_first(context: Any, name: str) -> None:
    world = world_of(context)
    job_id = context.customer_jobs[name][0]
    world.advance_until(lambda: bool(_leaders(context)), 4.0)
    world.commit(state.JobCancelled(job_id))


def _leaders(context: Any) -> list[coordination.ControlCore]:
    return [
        node.core
        for node in world_of(context)._running()
        if node.core is not None and node.core.jobs.is_leading
    ]


def _count_running(context: Any, name: str) -> int:
    jobs = context.customer_jobs[name]
    running = world_of(context).ledger.running
    return sum(task.split('.')[0] in jobs for task in running)


@then('{name} runs {count:d} task within {seconds:g} s')
@then('{name} runs {count:d} tasks within {seconds:g} s')
def check_running(context: Any, name: str, count: int, seconds: float) -> None:
    world_of(context).advance_until(
        lambda: _count_running(context, name) == count, seconds
    )


@then("no more of {name}'s start within {seconds:g} s")
def check_no_start(context: Any, name: str, seconds: float) -> None:
    world = world_of(context)
    count = len(world.started)
    world.advance(seconds)
    started = [
        item
        for item in world.started[count:]
        if name in ('anybody', context.limits.customers[item[1].split('.')[0]])
    ]
    assert not started, started


@when(
    '{name} submits a job with {count:d} tasks, and its limit becomes {cpu:d} '
    'before their runs are committed'
)
def lower_early(context: Any, name: str, count: int, cpu: int) -> None:
    world = world_of(context)
    node = world.leader_node()
    core = node.core
    assert core is not None
    context.customers[name] = state.Customer(name, (), limit=state.Room(cpu))
    plan = _create_plan(context)
    context.is_plan_first = False
    take_proposals = core.jobs.take_proposals

    def take_after_plan() -> list[state.JobRecord]:
        records = take_proposals()
        is_due = any(isinstance(r, state.RunsAllotted) for r in records)
        if is_due and not context.is_plan_first:
            # The new plan comes before them in the log.
            now_s = node.clock.read(world.now_s)
            core.propose_job_record(state.PlanReplaced(plan), now_s)
            context.limits.add_plan(plan)
            context.is_plan_first = True
        return records

    core.jobs.take_proposals = take_after_plan  # type: ignore[method-assign]
    _submit(context, name, _step(count, 1000))


@then('no order goes out for more than {count:d} of them within {seconds:g} s')
def check_withdrawn(context: Any, count: int, seconds: float) -> None:
    world = world_of(context)
    world.advance(seconds)
    assert context.is_plan_first
    assert len(world.started) == count, world.started
    assert any(event == 'start_withdrawn' for event, _ in context.decisions)


@given('start orders take {seconds:g} s and have no answer')
def delay_starts(context: Any, seconds: float) -> None:
    world = world_of(context)
    context.delay_s = seconds
    send = world._send

    def send_late(transit: job_search.Transit) -> None:
        is_start = isinstance(transit.order, coordination.StartOrder)
        if not (is_start and context.delay_s):
            send(transit)
            return
        late = dataclasses.replace(transit, is_answer_lost=True)
        world._push(world.now_s + context.delay_s, late)
        no_answer = dataclasses.replace(transit, is_answer=True)
        world._push(world.now_s + job_search.ANSWER_TIMEOUT_S, no_answer)

    world._send = send_late  # type: ignore[method-assign]


@when('the leader is lost {seconds:g} s later')
def lose_leader_later(context: Any, seconds: float) -> None:
    world = world_of(context)
    world.advance(seconds)
    world._stop_control(world.leader_node())
    context.delay_s = 0.0


@when('the leader is lost')
def lose_leader(context: Any) -> None:
    world = world_of(context)
    world._stop_control(world.leader_node())


def _worker_of(context: Any, name: str) -> worker_fakes.FakeWorker:
    """Return a worker that runs tasks of a customer."""
    jobs = context.customer_jobs[name]
    running = world_of(context).ledger.running
    return next(
        worker
        for task, worker in running.items()
        if task.split('.')[0] in jobs
    )


@when('a worker with tasks of {name} is disconnected')
def disconnect(context: Any, name: str) -> None:
    world = world_of(context)
    worker = _worker_of(context, name)
    world.disconnected_until_s[worker.worker_id] = world.now_s + 60


@when('a worker with tasks of {name} reports that it drains')
def drain(context: Any, name: str) -> None:
    context.worker = _worker_of(context, name)
    context.worker.is_draining = True


@then("{name}'s runs all go on for {seconds:g} s")
def check_going_on(context: Any, name: str, seconds: float) -> None:
    world = world_of(context)
    before = dict(world.ledger.running)
    world.advance(seconds)
    assert world.ledger.running == before, world.ledger.running


@then('nothing of {name} runs on that worker within {seconds:g} s')
def check_moved(context: Any, name: str, seconds: float) -> None:
    world = world_of(context)
    world.advance_until(lambda: not context.worker.runs, seconds)


@then('{service} needs {cores:d} cores in {seconds:g} s')
def check_need(context: Any, service: str, cores: int, seconds: float) -> None:
    world = world_of(context)
    world.advance(seconds)
    now_s = world.leader_node().clock.read(world.now_s)
    need = world.leader().jobs.find_needs(now_s)[service]
    assert need.finite_cores + need.late_cores == cores, need


@then('no machine is ordered to {service} within {seconds:g} s')
def check_no_move(context: Any, service: str, seconds: float) -> None:
    world = world_of(context)
    world.advance(seconds)
    moved = [
        duty
        for at_s, duty in world.duties()
        if duty.duty.pool == service and at_s >= context.submitted_at_s
    ]
    assert not moved, moved


@then('the leader has logged {event} once for {name} within {seconds:g} s')
def check_logged(context: Any, event: str, name: str, seconds: float) -> None:
    world = world_of(context)

    def count() -> int:
        return sum(
            logged == event and fields['customer'] == name
            for logged, fields in context.decisions
        )

    ends_s = world.now_s + seconds
    world.advance_until(lambda: count() == 1, seconds)
    world.advance(ends_s - world.now_s)
    assert count() == 1, context.decisions


def _call(context: Any, name: str, spec: state.JobSpec) -> None:
    """Hand a job in as a caller, and keep the answer and what is stored."""
    core = world_of(context).leader()
    context.stored = []

    async def commit(record: state.JobRecord) -> Any:
        context.stored.append(record)
        return Ok(None)

    handler = JobCallHandler(
        core, commit, lambda: 0, _metrics.create_control_metrics()
    )
    queue = job_search.QUEUE
    call = coordination.JobCall(
        'call',
        'entry',
        'entry:80',
        coordination.CallKind.SUBMIT,
        queue.host,
        f'{queue.path_prefix}{spec.job_id}',
        spec,
        key_digest=_digest(name),
    )
    context.answer = asyncio.run(handler.answer(call))


@when('{name} calls with a {kind} of {count:d} task of {cpu:d} millicores')
@when('{name} calls with a {kind} of {count:d} tasks of {cpu:d} millicores')
def call_with_job(
    context: Any, name: str, kind: str, count: int, cpu: int
) -> None:
    step = _step(count, cpu, is_gang=kind == 'gang')
    _call(context, name, state.JobSpec('called', 'text', (step,)))


@when('{name} calls with its newest job again')
def call_again(context: Any, name: str) -> None:
    job_id = context.customer_jobs[name][-1]
    _call(context, name, world_of(context).ledger.specs[job_id])


@then('the job that it hands in is stored')
def check_stored(context: Any) -> None:
    outcome = context.answer.outcome
    assert outcome is coordination.JobOutcome.DONE, context.answer


@then(
    'the job that it hands in is refused for ever, naming {name} and {limit}'
)
def check_refused(context: Any, name: str, limit: str) -> None:
    answer = context.answer
    assert answer.outcome is coordination.JobOutcome.NEVER_FITS, answer
    assert name in answer.detail, answer
    assert f'{limit} millicores' in answer.detail, answer
    assert not context.stored, context.stored


@then(
    'the dump shows {name} with {used:d} of {limit:d} millicores, '
    '{waiting:d} tasks waiting, {place} its limit'
)
def check_dump(
    context: Any, name: str, used: int, limit: int, waiting: int, place: str
) -> None:
    world = world_of(context)
    lines = _control_pages.customer_lines(world.leader().jobs, world.now_s)
    (line,) = [line for line in lines if line.customer == name]
    assert line.running.cpu_millicores == used, line
    assert line.limit.cpu_millicores == limit, line
    assert line.waiting_tasks == waiting, line
    assert line.is_at_limit == (place == 'at'), line
