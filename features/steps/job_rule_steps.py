"""Steps that submit jobs to a leader with fake workers."""

import collections
from typing import Any
from unittest import mock

from behave import given
from behave import then
from behave import when
from result import Err

from features.search import job_search
from features.search import worker_fakes
from features.support import job_world
from greengagering import coordination
from greengagering.coordination import errors
from greengagering.coordination import workers
from greengagering import state

SMALL = state.Room(1000, 100)
_STOPPED = state.RunEnding.STOPPED


def world_of(context: Any) -> job_world.JobWorld:
    """Return the scenario's simulation."""
    return context.world


def submit_job(context: Any, *steps: state.StepSpec, **fields: Any) -> None:
    """Submit the scenario's next job."""
    number = len(context.jobs)
    context.job_id = f'job{number}'
    context.jobs.append(context.job_id)
    context.submitted_at_s = world_of(context).now_s
    world_of(context).submit(context.job_id, *steps, **fields)


def starts_of(context: Any, job_id: str) -> list[tuple[float, str, str, int]]:
    """Return the starts of a job's tasks in order of time."""
    started = world_of(context).started
    return [item for item in started if item[1].startswith(f'{job_id}.')]


@given('a leader that has polled 4 workers')
def start_world(context: Any) -> None:
    context.world = job_world.started_world()
    context.jobs = []
    for worker in context.world.workers.values():
        worker.fail_ratio = 0.0


@given('runs take {seconds:g} s')
def set_run_time(context: Any, seconds: float) -> None:
    for worker in world_of(context).workers.values():
        worker.run_s = seconds


@given('every worker fails what it starts')
def fail_everywhere(context: Any) -> None:
    for worker in world_of(context).workers.values():
        worker.fails_all = True


@given('{name} fails what it starts')
def fail_on_worker(context: Any, name: str) -> None:
    world_of(context).workers[name].fails_all = True


@given('tasks on {name} stall')
def stall_on_worker(context: Any, name: str) -> None:
    world_of(context).workers[name].is_stalled = True


@given('{name} has restarted with the label {label}')
def label_worker(context: Any, name: str, label: str) -> None:
    world = world_of(context)
    worker = world.workers[name]
    worker.crash()
    worker.labels = (label,)
    worker.start_process(world.now_s)
    world.advance(4)


@when('a job with {first:d} tasks and then {second:d} tasks is submitted')
def two_steps(context: Any, first: int, second: int) -> None:
    submit_job(
        context,
        state.StepSpec(first, SMALL, 0.6),
        state.StepSpec(second, SMALL, 0.6, after=(0,)),
    )


@when('a job with {count:d} lasting tasks is submitted')
def lasting_job(context: Any, count: int) -> None:
    context.task_count = count
    submit_job(context, state.StepSpec(count, SMALL, is_lasting=True))


@when(
    'a job with {count:d} lasting tasks of which {out:d} may be out is '
    'submitted'
)
def lasting_job_with_budget(context: Any, count: int, out: int) -> None:
    step = state.StepSpec(count, SMALL, is_lasting=True, may_miss=out)
    submit_job(context, step)


@when(
    'a job with {count:d} lasting tasks, {limit:d} at most on a worker, is '
    'submitted'
)
def limited_job(context: Any, count: int, limit: int) -> None:
    step = state.StepSpec(count, SMALL, is_lasting=True, max_per_worker=limit)
    submit_job(context, step)


@when('a gang of {count:d} tasks of {cpu:d} millicores is submitted')
def gang_job(context: Any, count: int, cpu: int) -> None:
    room = state.Room(cpu, 100)
    submit_job(context, state.StepSpec(count, room, 0.6, is_gang=True))


@when('a job with {count:d} tasks that require the label {label} is submitted')
def labelled_job(context: Any, count: int, label: str) -> None:
    submit_job(
        context, state.StepSpec(count, SMALL, 0.6, required_label=label)
    )


@when(
    'a job with {count:d} tasks of an estimate of {seconds:g} s is submitted'
)
def estimated_job(context: Any, count: int, seconds: float) -> None:
    submit_job(context, state.StepSpec(count, SMALL, seconds))


@then('it succeeds within {seconds:g} s after {count:d} starts')
def check_starts(context: Any, seconds: float, count: int) -> None:
    world = world_of(context)
    world.advance_until(
        lambda: world.job(context.job_id).status is state.JobStatus.SUCCEEDED,
        seconds,
    )
    assert len(starts_of(context, context.job_id)) == count


@when('a job with 1 task is submitted')
def single_job(context: Any) -> None:
    submit_job(context, state.StepSpec(1, SMALL, 0.6))


@when(
    '{count:d} jobs with {tasks:d} tasks each are submitted, one every '
    '{pause:g} s'
)
def several_jobs(context: Any, count: int, tasks: int, pause: float) -> None:
    for _ in range(count):
        submit_job(context, state.StepSpec(tasks, SMALL, 0.6))
        world_of(context).advance(pause)


@when(
    'a job with {count:d} occurrences of 1 task, {gap:d} s apart from '
    '{ahead:d} s ahead, is submitted'
)
def timed_job(context: Any, count: int, gap: int, ahead: int) -> None:
    first_ms = int((world_of(context).now_s + ahead) * 1000)
    submit_job(
        context,
        state.StepSpec(1, SMALL, 0.6),
        occurrence_count=count,
        first_due_ms=first_ms,
        interval_ms=gap * 1000,
    )


@when('it runs for {seconds:g} s and is cancelled')
def cancel_job(context: Any, seconds: float) -> None:
    world = world_of(context)
    world.advance(seconds)
    world.commit(state.JobCancelled(context.job_id))


@when('it runs for {seconds:g} s and {name} is disconnected')
def disconnect_worker(context: Any, seconds: float, name: str) -> None:
    world = world_of(context)
    world.advance(seconds)
    context.tasks = [
        task
        for task, worker in world.running(context.job_id).items()
        if worker == name
    ]
    assert context.tasks, world.running(context.job_id)
    world.disconnected_until_s[name] = world.now_s + 60
    context.disconnected_at_s = world.now_s


@when('it runs for {seconds:g} s and {name} crashes and restarts')
def restart_worker(context: Any, seconds: float, name: str) -> None:
    world = world_of(context)
    world.advance(seconds)
    assert name in world.running(context.job_id).values()
    world.workers[name].crash()
    world.down_until_s[name] = world.now_s + 0.1


@when('it runs for {seconds:g} s and the leader is lost')
def lose_leader(context: Any, seconds: float) -> None:
    world = world_of(context)
    world.advance(seconds)
    context.start_count = world.ledger.start_count
    assert context.start_count == context.task_count
    world._stop_control(world.leader_node())


@when('it runs for {seconds:g} s and {name} reports that it drains')
def drain_later(context: Any, seconds: float, name: str) -> None:
    world = world_of(context)
    world.advance(seconds)
    assert name in world.running(context.job_id).values()
    world.workers[name].is_draining = True


@when(
    'it runs for {seconds:g} s and {name} drains, says that it leaves, and '
    'ends'
)
def leave_later(context: Any, seconds: float, name: str) -> None:
    world = world_of(context)
    world.advance(seconds)
    assert name in world.running(context.job_id).values()
    view = world.leader().jobs.newest_incarnation(name)
    assert view is not None
    view.is_draining = True
    now_s = world.leader_node().clock.read(world.now_s)
    world.leader().jobs.handle_leave(name, now_s)
    world.workers[name].crash()
    world.refusing.add(name)


@when('it runs for {seconds:g} s and a late notice says that {name} leaves')
def late_notice(context: Any, seconds: float, name: str) -> None:
    world = world_of(context)
    world.advance(seconds)
    context.start_count = world.ledger.start_count
    now_s = world.leader_node().clock.read(world.now_s)
    world.leader().jobs.handle_leave(name, now_s)


@then('all {count:d} tasks run elsewhere than on {name} within {seconds:g} s')
def check_elsewhere(
    context: Any, count: int, name: str, seconds: float
) -> None:
    world = world_of(context)

    def is_elsewhere() -> bool:
        placed = list(world.running(context.job_id).values())
        return len(placed) == count and name not in placed

    world.advance_until(is_elsewhere, seconds)


@then('nothing of it starts again within {seconds:g} s')
def check_no_restart(context: Any, seconds: float) -> None:
    world = world_of(context)
    world.advance(seconds)
    assert world.ledger.start_count == context.start_count


@when('the worker {name} reports that it drains')
def drain_worker(context: Any, name: str) -> None:
    world = world_of(context)
    world.workers[name].is_draining = True
    world.advance(2)


@when('a run that has saved progress {saved} ends as stopped')
def save_progress(context: Any, saved: str) -> None:
    step = state.StepSpec(1, SMALL, 0.6, saves_progress=True)
    context.jobs_state = state.JobsState()
    spec = state.JobSpec('job0', 'text', (step,))
    facts = world_of(context).workers['worker-0'].facts()
    key = state.RunKey('job0', '0.0.0', 1)
    end = state.RunEnd(1, key, state.RunEnding.STOPPED, saved)
    for record in (
        state.JobAccepted(spec, job_search.QUEUE, 0),
        state.LifeSeen(facts),
        state.RunsAllotted((key,), (facts.key,)),
        state.EndsNoted(facts.key, (end,)),
    ):
        state.apply_to_jobs(context.jobs_state, record)


@then('its next start carries {saved}')
def check_saved(context: Any, saved: str) -> None:
    scheduler = coordination.JobScheduler(context.jobs_state)
    scheduler.start_leading(1, 0.0, 0)
    (life,) = context.jobs_state.lives
    poll = scheduler.next_poll(life, 0.0)
    assert poll is not None
    answer = coordination.LookAnswer(
        coordination.OrderOutcome.DONE, 5000, poll.life.born_ms
    )
    scheduler.handle_poll_answer(poll, 0, answer, 0.0, 0.1)
    (assigned,) = scheduler.step(0.2, 200)
    assert isinstance(assigned, state.RunsAllotted)
    assert assigned.runs[0].run == 2
    state.apply_to_jobs(context.jobs_state, assigned)
    scheduler.handle_applied(assigned, 0.3, 300)
    (order,) = scheduler.take_orders()
    assert isinstance(order, coordination.StartOrder)
    assert order.saved == saved, order


@then(
    'it succeeds within {seconds:g} s, and no task of the second step '
    'started before the first step was done'
)
def check_order(context: Any, seconds: float) -> None:
    # The ledger raises an error when a task starts too early.
    world = world_of(context)
    world.advance_until(
        lambda: world.job(context.job_id).status is state.JobStatus.SUCCEEDED,
        seconds,
    )
    assert len(starts_of(context, context.job_id)) == 5


@then('every task of it has been started {count:d} times within {seconds:g} s')
def check_restarts(context: Any, count: int, seconds: float) -> None:
    world_of(context).advance(seconds)
    by_task: dict[str, int] = {}
    for _, task, _, _ in starts_of(context, context.job_id):
        by_task[task] = by_task.get(task, 0) + 1
    assert len(by_task) == 3
    assert min(by_task.values()) >= count, by_task


@then('the job is still active')
def check_active(context: Any) -> None:
    job = world_of(context).job(context.job_id)
    assert job.status is state.JobStatus.ACTIVE


@then(
    'all {count:d} tasks start with the same run number within {seconds:g} s'
)
def check_gang(context: Any, count: int, seconds: float) -> None:
    world_of(context).advance(seconds)
    started = starts_of(context, context.job_id)
    assert len(started) == count, started
    assert len({run for *_, run in started}) == 1, started


@then('no task of it starts within {seconds:g} s')
def check_no_start(context: Any, seconds: float) -> None:
    world_of(context).advance(seconds)
    assert not starts_of(context, context.job_id)


@then('each of the 4 workers runs {count:d} of its tasks within {seconds:g} s')
def check_spread(context: Any, count: int, seconds: float) -> None:
    world = world_of(context)
    world.advance(seconds)
    placed = list(world.running(context.job_id).values())
    counts = {name: placed.count(name) for name in world.workers}
    assert set(counts.values()) == {count}, counts


@then('its tasks start on {name} only')
def check_workers(context: Any, name: str) -> None:
    world_of(context).advance(3)
    started = starts_of(context, context.job_id)
    assert len(started) == 4
    assert {worker for _, _, worker, _ in started} == {name}, started


@then('nothing of it runs after {seconds:g} s')
def check_nothing_runs(context: Any, seconds: float) -> None:
    world = world_of(context)
    world.advance(seconds)
    before = world.ledger.start_count
    assert not world.running(context.job_id)
    world.advance(5)
    assert world.ledger.start_count == before


@then('the job has failed within {seconds:g} s after {count:d} starts')
def check_failed(context: Any, seconds: float, count: int) -> None:
    world = world_of(context)
    world.advance_until(
        lambda: world.job(context.job_id).status is state.JobStatus.FAILED,
        seconds,
    )
    assert len(starts_of(context, context.job_id)) == count


@then('{name} was given at most {count:d} of the runs')
def check_share(context: Any, name: str, count: int) -> None:
    given_runs = [s for s in world_of(context).started if s[2] == name]
    assert len(given_runs) <= count, given_runs


@then('every job succeeds within {seconds:g} s')
def check_all_succeed(context: Any, seconds: float) -> None:
    world = world_of(context)
    world.advance_until(
        lambda: all(
            world.job(job_id).status is state.JobStatus.SUCCEEDED
            for job_id in context.jobs
        ),
        seconds,
    )


@then(
    'its tasks run on other workers within {latest:g} s, and no sooner than '
    '{earliest:g} s'
)
def check_moved(context: Any, latest: float, earliest: float) -> None:
    world = world_of(context)
    world.advance_until(
        lambda: all(
            world.running(context.job_id).get(task) not in (None, 'worker-3')
            for task in context.tasks
        ),
        latest,
    )
    again = [
        at_s
        for at_s, task, _, run in starts_of(context, context.job_id)
        if task in context.tasks
        and run > 1
        and at_s > context.disconnected_at_s
    ]
    assert min(again) >= context.disconnected_at_s + earliest, (
        again,
        context.disconnected_at_s,
    )


@then('all {count:d} tasks run within {seconds:g} s')
def check_all_run(context: Any, count: int, seconds: float) -> None:
    world = world_of(context)
    world.advance_until(
        lambda: len(world.running(context.job_id)) == count, seconds
    )


@then(
    'another leads within {seconds:g} s, and no task was started again after '
    '{more:g} s more'
)
def check_takeover(context: Any, seconds: float, more: float) -> None:
    world = world_of(context)
    world.advance_until(
        lambda: any(
            node.core is not None and node.core.jobs.is_leading
            for node in world._running()
        ),
        seconds,
    )
    world.advance(more)
    assert world.ledger.start_count == context.start_count
    assert len(world.running(context.job_id)) == context.task_count


@then(
    'its first start is {first:g} s after it was submitted, and the next '
    '{gap:g} s later'
)
def check_times(context: Any, first: float, gap: float) -> None:
    world_of(context).advance(first + gap + 1)
    times = [item[0] for item in starts_of(context, context.job_id)]
    assert len(times) == 2, times
    wanted = (
        context.submitted_at_s + first,
        context.submitted_at_s + first + gap,
    )
    for at_s, wanted_s in zip(times, wanted, strict=True):
        assert -0.05 <= at_s - wanted_s <= 0.6, (times, wanted)


@when('it runs for {seconds:g} s and the log refuses proposals for a moment')
def refuse_proposals(context: Any, seconds: float) -> None:
    world = world_of(context)
    world.advance(seconds)
    core = world.leader()
    context.term = core.jobs.fence
    context.former = core
    overloaded = Err(errors.OverloadedError('10000 proposals wait already'))
    now_s = world.leader_node().clock.read(world.now_s)
    with mock.patch.object(core.replica, 'propose', return_value=overloaded):
        # This decision needs a proposal, which is refused.
        view = core.jobs.newest_incarnation('worker-1')
        assert view is not None
        core.jobs.declare_over(view, 'a decision')
        core.step(now_s, int(world.now_s * 1000))


@then('nobody gives orders under that term any more')
def check_no_orders(context: Any) -> None:
    fence = context.former.jobs.fence
    assert fence != context.term, fence
    assert not context.former.jobs.take_orders()


@then('within {seconds:g} s a leader of a later term has polled every worker')
def check_later_leader(context: Any, seconds: float) -> None:
    world = world_of(context)

    def has_read_all() -> bool:
        try:
            jobs = world.leader().jobs
        except job_world.NobodyLeadsError:
            return False
        is_later = jobs.fence > context.term
        views = jobs.workers.values()
        return is_later and bool(views) and all(v.is_read for v in views)

    world.advance_until(has_read_all, seconds)


@when(
    'it runs for {seconds:g} s and an earlier notice to leave comes once '
    '{name} drains'
)
def notice_while_draining(context: Any, seconds: float, name: str) -> None:
    world = world_of(context)
    world.advance(seconds)
    world.workers[name].is_draining = True
    scheduler = world.leader().jobs
    view = scheduler.newest_incarnation(name)
    assert view is not None
    view.is_draining = True
    node = world.leader_node()
    scheduler.handle_leave(name, node.clock.read(world.now_s))


@when(
    'it runs for {seconds:g} s and {name} says that it leaves, goes on, and '
    'is cut off for {cut_s:g} s'
)
def notice_before_cut(
    context: Any, seconds: float, name: str, cut_s: float
) -> None:
    world = world_of(context)
    notice_while_draining(context, seconds, name)
    world.disconnected_until_s[name] = world.now_s + cut_s


@when('a job with {count:d} tasks of {millicores:d} millicores is submitted')
def sized_job(context: Any, count: int, millicores: int) -> None:
    step = state.StepSpec(count, state.Room(millicores, 100), 100.0)
    submit_job(context, step)


@when(
    'it runs for {seconds:g} s and {name} says that it leaves, goes on, and a '
    'poll waits there'
)
def notice_during_poll(context: Any, seconds: float, name: str) -> None:
    world = world_of(context)
    world.advance(seconds)
    assert name in world.running(context.job_id).values()
    world.waiting_workers.add(name)
    world.advance_until(lambda: bool(world.held_polls), 4.0)
    notice_while_draining(context, 0.0, name)


@when(
    'a job with {count:d} tasks of {millicores:d} millicores is submitted '
    "while {name} doesn't answer"
)
def unanswered_job(
    context: Any, count: int, millicores: int, name: str
) -> None:
    world = world_of(context)
    world.disconnected_until_s[name] = world.now_s + 0.6
    sized_job(context, count, millicores)


@when(
    '{name} answers again, says that it leaves, and is back before its starts '
    'are repeated'
)
def leave_before_retry(context: Any, name: str) -> None:
    world = world_of(context)
    view = world.leader().jobs.newest_incarnation(name)
    assert view is not None

    def may_repeat() -> bool:
        phases = {run.phase for run in view.runs.values()}
        is_open = workers.RunPhase.UNCERTAIN in phases
        return is_open and view.suspect_since_s is None

    world.advance_until(may_repeat, 4.0)
    notice_while_draining(context, 0.0, name)
    worker = world.workers[name]
    worker.crash()
    worker.is_draining = False
    # The next poll is sent at once, and fails.
    world.advance(0.1)
    worker.start_process(world.now_s)
    worker.run_s = 100.0
    world._reports_s[name] = world.now_s + job_search.REPORT_INTERVAL_S


@when('{name} ends after a second notice')
def end_after_notice(context: Any, name: str) -> None:
    world = world_of(context)
    scheduler = world.leader().jobs
    scheduler.handle_leave(name, world.leader_node().clock.read(world.now_s))
    world.workers[name].crash()
    world.refusing.add(name)


@then('{name} is declared over within {seconds:g} s')
def check_over(context: Any, name: str, seconds: float) -> None:
    world = world_of(context)
    world.advance_until(
        lambda: world.leader().jobs.newest_incarnation(name) is None, seconds
    )


@then('{name} is not declared over within {seconds:g} s')
def check_not_over(context: Any, name: str, seconds: float) -> None:
    world = world_of(context)
    before = world.leader().jobs.newest_incarnation(name)
    assert before is not None
    world.advance(seconds)
    assert world.leader().jobs.newest_incarnation(name) is before


@given(
    'workers that refuse the second order for a run and carry out the first '
    '{seconds:g} s late'
)
def refuse_second(context: Any, seconds: float) -> None:
    for worker in world_of(context).workers.values():
        _refuse_second(worker, seconds)


def _refuse_second(worker: worker_fakes.FakeWorker, late_s: float) -> None:
    """Make a worker treat the first run of each task that way.

    The first start order gets no answer and takes effect late; the second is
    refused.
    """
    outcomes = coordination.OrderOutcome
    order_counts: dict[str, int] = collections.Counter()
    late_orders: list[tuple[float, coordination.StartOrder]] = []
    start, advance = worker.start, worker.advance

    def start_with_refusal(
        order: coordination.StartOrder, now_s: float, extra_ms: float
    ) -> coordination.OrderAnswer:
        order_counts[order.key.name] += 1
        if order.key.run > 1 or order_counts[order.key.name] > 2:
            return start(order, now_s, extra_ms)
        if order_counts[order.key.name] == 1:
            late_orders.append((now_s + late_s, order))
            return coordination.OrderAnswer(outcomes.NO_ANSWER)
        clock_ms = int(worker.clock_ms(now_s))
        return coordination.OrderAnswer(outcomes.UNHEALTHY, clock_ms)

    def advance_with_late(now_s: float) -> None:
        advance(now_s)
        while late_orders and late_orders[0][0] <= now_s:
            start(late_orders.pop(0)[1], now_s, 0.0)

    worker.start = start_with_refusal  # type: ignore[method-assign]
    worker.advance = advance_with_late  # type: ignore[method-assign]


@then(
    'no task runs twice at once, and all {count:d} tasks run within '
    '{seconds:g} s'
)
def check_once(context: Any, count: int, seconds: float) -> None:
    # The ledger raises an error when a task starts while a run of it goes on.
    world = world_of(context)
    world.advance_until(
        lambda: len(world.running(context.job_id)) == count, seconds
    )
    world.advance(seconds)
    assert len(world.running(context.job_id)) == count


@when(
    'its first run fails, and the worker of it is cut off {count:d} times for '
    '{seconds:g} s'
)
def cut_after_failure(context: Any, count: int, seconds: float) -> None:
    world = world_of(context)
    name = fail_first_run(context)
    for _ in range(count):
        world.disconnected_until_s[name] = world.now_s + seconds
        world.advance(seconds + 4.0)


def fail_first_run(context: Any) -> str:
    """Wait until the first run has failed; return the name of its worker."""
    world = world_of(context)
    task = f'{context.job_id}.0.0.0'
    world.advance_until(lambda: task in world.ledger.failed_ends, 4.0)
    for worker in world.workers.values():
        worker.fails_all = False
        worker.run_s = 100.0
    # The end is committed soon, and the worker forgets it only when it is
    # polled for its next run.
    world.advance(2.0)
    name = next(n for n, worker in world.workers.items() if worker.ended)
    assert name not in world.running(context.job_id).values()
    return name


@when(
    'its first run fails, and the worker of it says {count:d} times that it '
    'leaves, and goes on'
)
def notices_after_failure(context: Any, count: int) -> None:
    name = fail_first_run(context)
    for _ in range(count):
        notice_while_draining(context, 0.0, name)
        world_of(context).advance(6.0)


@then('the job is still active after {count:d} failed run')
def check_failed_runs(context: Any, count: int) -> None:
    world = world_of(context)
    job = world.job(context.job_id)
    assert job.status is state.JobStatus.ACTIVE, job
    assert job.tasks['0.0.0'].failed_runs == count, job.tasks


@when('{count:d} workers list an end each, and their leases expire')
def expire_leases(context: Any, count: int) -> None:
    context.state = state.JobsState()
    end = state.RunEnd(1, state.RunKey('job', '0.0.0', 1), _STOPPED, '')
    for number in range(count):
        facts = state.WorkerFacts(
            f'w-{number}', 1, 'service-a', 'a:80', 'dc-1', '', (), state.Room()
        )
        for record in (
            state.LifeSeen(facts),
            state.EndsNoted(facts.key, (end,)),
            state.LifeOver(facts.key, state.LEASE_LAPSED),
        ):
            state.apply_to_jobs(context.state, record)
    context.last_worker = f'w-{count - 1}'


@then('the state remembers {count:d} of them, the last one among them')
def check_remembered(context: Any, count: int) -> None:
    assert len(context.state.lapsed) == count
    assert context.last_worker in context.state.lapsed
