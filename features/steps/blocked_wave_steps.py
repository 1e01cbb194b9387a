"""Steps about waves whose machines hold tasks that must not be stopped."""

from typing import Any

from behave import given
from behave import then
from behave import when

from features.steps import job_rule_steps
from features.steps import machine_rule_steps
from features.support import job_world
from greengagering import state

LASTING = 'lasting'
ROOM = state.Room(1000, 100)
HALF = state.Room(5000, 100)


def _world(context: Any) -> job_world.JobWorld:
    return job_rule_steps.world_of(context)


@given(
    'a lasting task on each worker that fits nowhere else, of which '
    '{missed:d} may be out'
)
def hold_tasks(context: Any, missed: int) -> None:
    hold_several(context, 1, missed)


@given(
    'two lasting tasks on each worker that fit nowhere else, of which '
    '{missed:d} may be out'
)
def hold_two(context: Any, missed: int) -> None:
    hold_several(context, 2, missed)


def hold_several(context: Any, each: int, missed: int) -> None:
    """Put a number of lasting tasks of one step on each worker."""
    world = _world(context)
    count = each * len(world.workers)
    for worker in world.workers.values():
        worker.lasting_run_s = 1000.0
    step = state.StepSpec(
        count, ROOM, is_lasting=True, max_per_worker=each, may_miss=missed
    )
    world.submit(LASTING, step)
    world.advance(2.0)
    where = list(world.running(LASTING).values())
    assert all(where.count(name) == each for name in world.workers), where
    context.task_count = count
    context.out_counts = []
    context.job_ids = []


@when(
    'a wave over machines {first} and {second}, 2 at once within {within_s:g} '
    's, is accepted'
)
def accept_wave(
    context: Any, first: str, second: str, within_s: float
) -> None:
    machine_rule_steps.accept_wave(context, (first, second), 2, within_s)


@when('before one of them is empty, {name} is cut off for {cut_s:g} s')
def cut_off(context: Any, name: str, cut_s: float) -> None:
    world = _world(context)
    world.advance(0.3)
    assert not world.duties(), world.duties()
    world.disconnected_until_s[name] = world.now_s + cut_s
    # A job that is submitted now may start there.
    world.advance(1.0)


@when(
    'a job of 1 task that needs over half of a worker is submitted each '
    'second, for {for_s:d} s'
)
def submit_jobs(context: Any, for_s: int) -> None:
    world = _world(context)
    for number in range(for_s):
        job_id = f'job{number}'
        context.job_ids.append((world.now_s, job_id))
        world.submit(job_id, state.StepSpec(1, HALF, 0.3))
        ends_s = world.now_s + 1
        while world.now_s < ends_s:
            world.advance(0.1)
            at_work = len(world.running(LASTING))
            context.out_counts.append(context.task_count - at_work)


@when('after {after_s:g} s the job of the lasting tasks is cancelled')
def cancel(context: Any, after_s: float) -> None:
    world = _world(context)
    world.advance(after_s)
    assert not world.duties(), world.duties()
    world.commit(state.JobCancelled(LASTING))


@then('no more than {count:d} of the lasting tasks were out at the same time')
def check_out(context: Any, count: int) -> None:
    assert max(context.out_counts) <= count, context.out_counts


@then('each of these jobs began within {limit_s:g} s')
def check_began(context: Any, limit_s: float) -> None:
    world = _world(context)
    began = {task: at_s for at_s, task, _, run in world.started if run == 1}
    late = {}
    for submitted_s, job_id in context.job_ids:
        at_s = began.get(f'{job_id}.0.0.0', world.now_s)
        if at_s > submitted_s + limit_s:
            late[job_id] = round(at_s - submitted_s, 2)
    assert not late, late


@then('no machine had an upkeep')
def check_no_upkeep(context: Any) -> None:
    assert not _world(context).duties()


@then('the lasting task of each machine is named as what blocks the wave')
def check_blocked(context: Any) -> None:
    world = _world(context)
    core = world.leader()
    blocked = core.machine_manager.find_blocked(core.state.jobs.waves[1])
    where = {name: [task] for task, name in world.running(LASTING).items()}
    assert blocked == where, blocked


@then('{least:d} to {most:d} lines say that the wave is blocked')
def check_lines(context: Any, least: int, most: int) -> None:
    lines = [x for x in _world(context).trace if ' wave_blocked ' in x]
    assert least <= len(lines) <= most, lines
