"""Steps about workers that fail what they start while they hold tasks."""

from typing import Any

from behave import given
from behave import then
from behave import when

from features.steps import job_rule_steps
from features.steps import worker_order_steps
from features.support import job_world
from greengagering.coordination import workers
from greengagering import state

SMALL = state.Room(1000, 100)
FILLING = state.Room(6000, 100)
HALF_FREE = state.Room(3000, 100)
NEEDED = state.Room(6500, 100)
JOB_INTERVAL_S = 0.5
JOB_ID = 'waiting'


def _lasting(count: int, room: state.Room, **fields: Any) -> state.StepSpec:
    return state.StepSpec(count, room, is_lasting=True, **fields)


def _world(context: Any) -> job_world.JobWorld:
    return job_rule_steps.world_of(context)


@given(
    'two workers are full of lasting tasks, and two hold one small lasting '
    'task each'
)
def fill_workers(context: Any) -> None:
    world = _world(context)
    for worker in world.workers.values():
        worker.run_s = 0.3
        worker.lasting_run_s = 1000.0
    world.submit('small', _lasting(4, SMALL, max_per_worker=1))
    world.advance(1.0)
    world.submit('filling', _lasting(2, FILLING, max_per_worker=1))
    world.advance(1.0)
    full = set(world.running('filling').values())
    assert len(full) == 2, full
    context.with_room = [
        worker for name, worker in world.workers.items() if name not in full
    ]


@given('the two with room fail what they start for {fail_s:g} s, {how}')
def fail_for(context: Any, fail_s: float, how: str) -> None:
    world = _world(context)
    groups = [[worker] for worker in context.with_room]
    if how == 'at once':
        groups = [context.with_room]
    number = 0
    for group in groups:
        for worker in group:
            worker.fails_all = True
        ends_s = world.now_s + fail_s
        while world.now_s < ends_s:
            step = state.StepSpec(4, HALF_FREE, 0.3)
            world.submit(f'short{number}{group[0].worker_id}', step)
            world.advance(JOB_INTERVAL_S)
            number += 1
        for worker in group:
            worker.fails_all = False
        world.advance(1.0)


@given('the one with room goes on failing what it starts')
def go_on_failing(context: Any) -> None:
    context.failing = context.with_room[0]
    context.failing.fails_all = True


@when(
    'nothing happens for {calm_s:g} s, and a {kind} of {count:d} tasks that '
    'only they have room for is submitted'
)
@when(
    'nothing happens for {calm_s:g} s, and a {kind} of {count:d} task that '
    'only they have room for is submitted'
)
def submit_waiting(context: Any, calm_s: float, kind: str, count: int) -> None:
    world = _world(context)
    world.advance(calm_s)
    room = HALF_FREE if kind == 'gang' else NEEDED
    step = state.StepSpec(count, room, 0.3, is_gang=kind == 'gang')
    context.submitted_at_s = world.now_s
    world.submit(JOB_ID, step)


@then('it starts within {limit_s:g} s')
def check_started(context: Any, limit_s: float) -> None:
    world = _world(context)

    def has_started() -> bool:
        return any(task.startswith(JOB_ID) for _, task, _, _ in world.started)

    world.advance_until(
        has_started, context.submitted_at_s + limit_s - world.now_s
    )


@then('the failing worker got between {least:d} and {most:d} of the runs')
def check_failing_share(context: Any, least: int, most: int) -> None:
    name = context.failing.worker_id
    world = _world(context)
    given_runs = [
        start
        for start in world.started
        if start[2] == name and not start[1].startswith(('small', 'filling'))
    ]
    assert least <= len(given_runs) <= most, given_runs


@given(
    'a worker of which {count:d} runs have failed, and a lasting one goes on'
)
def fail_runs(context: Any, count: int) -> None:
    view = workers.WorkerView(worker_order_steps.create_facts('w:80'), 0.0)
    view.add_run(_run('before', 0.0))
    for _ in range(count):
        view.record_failure(10.0)
    context.view = view


@then(
    'it may be tried after {needed_s:g} s if no other worker has room, and '
    'else after {pause_s:g} s'
)
def check_needed(context: Any, needed_s: float, pause_s: float) -> None:
    view = context.view
    assert not view.may_probe(10.0 + needed_s - 0.1, is_needed=True)
    assert view.may_probe(10.0 + needed_s, is_needed=True)
    assert not view.may_probe(10.0 + pause_s - 0.1)
    assert view.may_probe(10.0 + pause_s)


@then('it may be tried with a lasting task after {pause_s:g} s')
def check_first_probe(context: Any, pause_s: float) -> None:
    view = context.view
    assert not view.may_probe(10.0 + pause_s / 2)
    assert view.may_probe(10.0 + pause_s)
    view.add_run(_run('probe', 11.0))


@then('not with another run before that has worked for {worked_s:g} s')
def check_open_probe(context: Any, worked_s: float) -> None:
    context.view.heard_at_s = 11.0 + worked_s / 2
    assert not context.view.may_probe(14.0)


@then('with another run after that')
def check_probe_over(context: Any) -> None:
    context.view.heard_at_s = 12.1
    assert context.view.may_probe(14.0)


def _run(job_id: str, started_at_s: float) -> workers.RunView:
    return workers.RunView(
        state.RunKey(job_id, '0.0.0', 1),
        _lasting(1, SMALL),
        workers.RunPhase.RUNNING,
        started_at_s,
        started_at_s=started_at_s,
    )


@when(
    '{count:d} jobs with {tasks:d} tasks of half its free room are submitted, '
    'one every {pause_s:g} s'
)
def submit_halves(
    context: Any, count: int, tasks: int, pause_s: float
) -> None:
    world = _world(context)
    context.job_ids = [f'half{number}' for number in range(count)]
    for job_id in context.job_ids:
        world.submit(job_id, state.StepSpec(tasks, HALF_FREE, 0.3))
        world.advance(pause_s)


@then('every job of them succeeds within {limit_s:g} s')
def check_all_succeed(context: Any, limit_s: float) -> None:
    world = _world(context)
    world.advance_until(
        lambda: all(
            world.job(job_id).status is state.JobStatus.SUCCEEDED
            for job_id in context.job_ids
        ),
        limit_s,
    )
