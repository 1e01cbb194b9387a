"""Steps with tasks that crash the workers that start them."""

from typing import Any

from behave import given
from behave import then
from behave import when

from features.steps import job_rule_steps
from features.steps.job_rule_steps import SMALL
from features.steps.job_rule_steps import world_of
from features.support import job_world
from greengagering import state

EXTRA_WORKERS = 4


@given('a leader that has polled 8 workers, which run tasks for 1 s')
def start_world(context: Any) -> None:
    world = job_world.started_world()
    world.add_workers(EXTRA_WORKERS)
    world.advance(4.0)
    for worker in world.workers.values():
        worker.fail_ratio = 0.0
        worker.run_s = 1.0
    context.world = world
    context.jobs = []


@given('task {task} of {job} crashes its worker {seconds:g} s after its start')
def make_deadly(context: Any, task: str, job: str, seconds: float) -> None:
    world_of(context).ledger.deadly[f'{job}.{task}'] = seconds


@given(
    'the first task of each of job0 to job{last:d} crashes its worker '
    '{seconds:g} s after its start'
)
def make_jobs_deadly(context: Any, last: int, seconds: float) -> None:
    for number in range(last + 1):
        make_deadly(context, '0.0.0', f'job{number}', seconds)


@given(
    'each of the {count:d} tasks of {job} crashes its worker {seconds:g} s '
    'after its start'
)
def make_all_deadly(
    context: Any, count: int, job: str, seconds: float
) -> None:
    for index in range(count):
        make_deadly(context, f'0.0.{index}', job, seconds)


@given('lasting tasks run on')
def let_lasting_run(context: Any) -> None:
    for worker in world_of(context).workers.values():
        worker.lasting_run_s = 1000.0


@when('a job of {count:d} tasks is submitted')
def submit_job(context: Any, count: int) -> None:
    submit_jobs(context, 1, count)


@when('{count:d} jobs with {tasks:d} tasks each are submitted at once')
def submit_jobs(context: Any, count: int, tasks: int) -> None:
    for _ in range(count):
        step = state.StepSpec(tasks, SMALL, 1.0)
        job_rule_steps.submit_job(context, step)


@when(
    '1 s later {count:d} jobs with {tasks:d} tasks each are submitted, one '
    'every {gap:g} s'
)
def submit_later(context: Any, count: int, tasks: int, gap: float) -> None:
    world = world_of(context)
    world.advance(1.0)
    context.later_jobs = {}
    context.assigned_after_s = {}
    for _ in range(count):
        submit_jobs(context, 1, tasks)
        context.later_jobs[context.job_id] = world.now_s
        ends_s = world.now_s + gap
        while world.now_s < ends_s:
            world.advance(0.1)
            _note_assigned(context)


def _note_assigned(context: Any) -> None:
    world = world_of(context)
    for job_id, submitted_at_s in context.later_jobs.items():
        if world.job(job_id).has_started:
            waited_s = world.now_s - submitted_at_s
            context.assigned_after_s.setdefault(job_id, waited_s)


@when('the leader is lost after each crash, and its log is compacted')
def lose_leaders(context: Any) -> None:
    world = world_of(context)
    for count in (1, 2):
        _await_crashes(world, count)
        # Time for the worker to be back, which shows that it has crashed.
        world.advance(6.0)
        for node in world.controls.values():
            assert node.core is not None
            node.core.compact(node.clock.read(world.now_s))
        node = world.leader_node()
        world.stop_control(node)
        world.advance(1.0)
        world.start_control(node)
        world.advance_until(world.has_leader, 5.0)


def _await_crashes(world: job_world.JobWorld, count: int) -> None:
    world.advance_until(
        lambda: sum(world.ledger.crashes.values()) >= count, 20.0
    )


@when(
    'its worker leaves {leaves:d} times, and is cut off {cuts:d} times for '
    '{seconds:g} s'
)
def lose_workers(context: Any, leaves: int, cuts: int, seconds: float) -> None:
    world = world_of(context)
    for number in range(leaves + cuts):
        world.advance_until(lambda: bool(world.running(context.job_id)), 20.0)
        world.advance(1.0)
        worker_id = next(iter(world.running(context.job_id).values()))
        if number >= leaves:
            world.disconnected_until_s[worker_id] = world.now_s + seconds
            world.advance(seconds + 2.0)
            continue
        worker = world.workers[worker_id]
        worker.is_draining = True
        world.advance(2.0)
        world.leader().jobs.handle_leave(
            worker_id, world.leader_node().clock.read(world.now_s)
        )
        worker.crash()
        worker.is_draining = False
        world.down_until_s[worker_id] = world.now_s + 3.0
        world.advance(4.0)


@when(
    'its worker crashes by itself {count:d} times, {seconds:g} s after each '
    'start'
)
def crash_by_itself(context: Any, count: int, seconds: float) -> None:
    world = world_of(context)
    for _ in range(count):
        world.advance_until(lambda: bool(world.running(context.job_id)), 20.0)
        world.advance(seconds)
        worker_id = next(iter(world.running(context.job_id).values()))
        world.workers[worker_id].crash()
        world.down_until_s[worker_id] = world.now_s + 3.0
        world.advance(1.0)


def _status(context: Any, job_id: str) -> state.JobStatus:
    try:
        return world_of(context).job(job_id).status
    except job_world.NobodyLeadsError:
        return state.JobStatus.ACTIVE


@then(
    'the job has failed within {seconds:g} s, with at most {most:d} crashed '
    'workers'
)
def check_failed(context: Any, seconds: float, most: int) -> None:
    world = world_of(context)
    world.advance_until(
        lambda: _status(context, context.job_id) is state.JobStatus.FAILED,
        seconds,
    )
    world.advance(5.0)
    crashed = world.ledger.crashed_workers
    assert 2 <= crashed <= most, f'{crashed} workers crashed'


@then('nothing of the job starts after that')
def check_no_start(context: Any) -> None:
    world = world_of(context)
    count = len(job_rule_steps.starts_of(context, context.job_id))
    world.advance(10.0)
    now = len(job_rule_steps.starts_of(context, context.job_id))
    assert now == count, f'{now - count} starts'


@then(
    'only {job} has failed within {seconds:g} s, and the others have succeeded'
)
def check_only_failed(context: Any, job: str, seconds: float) -> None:
    _check_statuses(context, {job}, seconds)


@then(
    'job0 to job{last:d} have failed within {seconds:g} s, and the others '
    'have succeeded'
)
def check_all_failed(context: Any, last: int, seconds: float) -> None:
    failed = {f'job{number}' for number in range(last + 1)}
    _check_statuses(context, failed, seconds)


def _check_statuses(context: Any, failed: set[str], seconds: float) -> None:
    world = world_of(context)
    active = state.JobStatus.ACTIVE
    ends_s = world.now_s + seconds
    while any(_status(context, j) is active for j in context.jobs):
        assert world.now_s < ends_s, f'not within {seconds:g} s'
        world.advance(0.1)
        if hasattr(context, 'later_jobs'):
            _note_assigned(context)
    for job_id in context.jobs:
        expected = state.JobStatus.SUCCEEDED
        if job_id in failed:
            expected = state.JobStatus.FAILED
        status = _status(context, job_id)
        assert status is expected, f'{job_id} has {status}'


@then('{job} has failed within {seconds:g} s, within the budget of starts')
def check_late_crasher(context: Any, job: str, seconds: float) -> None:
    world = world_of(context)
    world.advance_until(
        lambda: _status(context, job) is state.JobStatus.FAILED, seconds
    )


@then('each of the others was given a worker within {seconds:g} s')
def check_others_assigned(context: Any, seconds: float) -> None:
    for job_id, waited_s in context.assigned_after_s.items():
        assert waited_s <= seconds, f'{job_id} waited {waited_s:.2f} s'
    assert context.assigned_after_s.keys() == context.later_jobs.keys()


@then('the job is still active, and its task runs within {seconds:g} s')
def check_active(context: Any, seconds: float) -> None:
    world = world_of(context)
    world.advance_until(lambda: bool(world.running(context.job_id)), seconds)
    assert _status(context, context.job_id) is state.JobStatus.ACTIVE


@then('its task was never counted as crashing a worker')
def check_not_counted(context: Any) -> None:
    task = world_of(context).job(context.job_id).tasks['0.0.0']
    assert not getattr(task, 'crashes', None), task
