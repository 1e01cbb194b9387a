"""Steps with jobs of many steps or tasks, and the leader's work for them."""

from collections.abc import Callable
from typing import Any

from behave import given
from behave import then
from behave import when

from features.support import job_life
from greengagering.coordination import jobs
from greengagering.coordination.jobs import _due_occurrences
from greengagering import state

SMALL_COUNT = 60
LARGE_COUNT = 240
EDGED_LARGE_COUNT = 120
"""Steps of the shape whose size grows with the square of its steps."""

ROOM = state.Room(10, 10)
NOW_S = 1.0
NOW_MS = 1_000_000
"""Times at which all due times of the jobs here have passed."""


def _step(
    task_count: int = 1, after: tuple[int, ...] = (), **fields: Any
) -> state.StepSpec:
    return state.StepSpec(task_count, ROOM, 1.0, after, **fields)


def _create_chain(count: int) -> list[state.StepSpec]:
    return [_step(), *(_step(after=(n,)) for n in range(count - 1))]


def _create_halves(count: int) -> list[state.StepSpec]:
    half = count // 2
    behind = _step(after=tuple(range(half)))
    return [_step() for _ in range(half)] + [behind] * half


def _repeat(**fields: Any) -> Callable[[int], list[state.StepSpec]]:
    """Return a function that creates a number of equal steps."""
    return lambda count: [_step(**fields) for _ in range(count)]


SHAPES: dict[str, Callable[[int], list[state.StepSpec]]] = {
    'steps that are all ready at once': _repeat(),
    'a chain of steps': _create_chain,
    'half of the steps behind the other half': _create_halves,
    'a last step behind all others': lambda count: [
        *_repeat()(count),
        _step(after=tuple(range(count))),
    ],
    'all steps behind the first one': lambda count: [
        _step(),
        *_repeat(after=(0,))(count),
    ],
    'steps of two tasks': _repeat(task_count=2),
    'one step of many tasks': lambda count: [_step(count)],
    'one gang': lambda count: [_step(count, is_gang=True)],
    'one gang that saves its progress': lambda count: [
        _step(count, is_gang=True, saves_progress=True)
    ],
    'many occurrences': lambda _: [_step(2)],
    'many lasting steps': _repeat(is_lasting=True),
    'steps that may have one task on a worker': _repeat(
        task_count=2, max_per_worker=1
    ),
    'steps that are slower across racks': _repeat(
        task_count=2, is_rack_local=True
    ),
}
"""Steps of a job by its shape; the argument sets how many, or how wide."""


def _create(shape: str, count: int) -> state.JobSpec:
    """Return a job of a shape, whose size grows with `count`."""
    occurrences = count if shape == 'many occurrences' else 1
    steps = tuple(SHAPES[shape](count))
    return state.JobSpec('job', 'text', steps, occurrences)


def _find_size(spec: state.JobSpec) -> int:
    """Return the number of a job's steps, tasks and dependencies."""
    return spec.occurrence_count * sum(
        1 + step.task_count + len(step.after) for step in spec.steps
    )


@when(
    'jobs with {shape} are played, one about four times as large as the other'
)
def play_jobs(context: Any, shape: str) -> None:
    large_count = LARGE_COUNT
    if shape == 'half of the steps behind the other half':
        large_count = EDGED_LARGE_COUNT
    context.plays = []
    for count in (SMALL_COUNT, large_count):
        spec = _create(shape, count)
        life = job_life.JobLife(spec)
        life.play()
        assert life.status in (
            state.JobStatus.SUCCEEDED,
            state.JobStatus.CANCELLED,
        ), life.status
        context.plays.append((_find_size(spec), life.work))


@then(
    "each part of the leader's work grows at most {limit:g} times as fast as "
    'the job'
)
def check_growth(context: Any, limit: float) -> None:
    (small_size, small), (large_size, large) = context.plays
    assert large_size > 3 * small_size, context.plays
    growth = large_size / small_size
    beyond = {
        part: (small[part], count)
        for part, count in large.items()
        if count > limit * growth * small[part]
    }
    assert not beyond, f'the job grew {growth:.2f} times, its work {beyond}'


def _create_due(job_id: str, times: int, step_count: int) -> state.JobSpec:
    """Return a job of single tasks, all times of which are due."""
    steps = (_step(),) * step_count
    return state.JobSpec(job_id, 'text', steps, times, 1, 1)


@when(
    'jobs with {count:d} due times of {steps:d} steps and with ten times as '
    'many are played'
)
def play_due_jobs(context: Any, count: int, steps: int) -> None:
    context.plays = []
    for times in (count, 10 * count):
        life = job_life.JobLife(_create_due('job', times, steps))
        life.play()
        context.plays.append(life.work)


@then("each part of the leader's work grows at most {limit:g} times")
def check_bounded(context: Any, limit: float) -> None:
    small, large = context.plays
    beyond = {
        part: (small[part], count)
        for part, count in large.items()
        if count > limit * small[part]
    }
    assert not beyond, beyond


@when(
    'a job with {times:d} due times of {steps:d} steps is played, and another '
    'replica leads after {after_s:g} s'
)
def play_over_change(
    context: Any, times: int, steps: int, after_s: float
) -> None:
    context.spec = _create_due('job', times, steps)
    context.life = job_life.JobLife(context.spec)
    context.life.play(leader_change_s=after_s)


@when('a job with {times:d} due times of a gang of {count:d} tasks is played')
def play_gang(context: Any, times: int, count: int) -> None:
    step = _step(count, is_gang=True, saves_progress=True)
    spec = state.JobSpec('job', 'text', (step,), times, 1, 1)
    context.life = job_life.JobLife(spec)
    context.life.play()


@then('each of its tasks was started once, and the longest due first')
def check_started_once(context: Any) -> None:
    started = [key.task for key in context.life.started]
    spec = context.spec
    assert len(started) == spec.occurrence_count * len(spec.steps)
    assert len(set(started)) == len(started)
    occurrences = [key.occurrence for key in context.life.started]
    # Those that are open at the same time start in any order.
    out_of_order = max(
        first - later
        for first, later in zip(occurrences, occurrences[1:], strict=False)
    )
    assert out_of_order <= _due_occurrences.MAX_OPEN_STEPS, out_of_order


@then('nothing is stored of its tasks')
def check_compacted(context: Any) -> None:
    job = context.life.job
    assert job.status is state.JobStatus.SUCCEEDED
    stored = (job.tasks, job.done_counts, job.done_later)
    assert not any(stored), stored


@given(
    'a job with {times:d} due times of {steps:d} steps, of which time '
    '{occurrence:d} is done'
)
def finish_occurrence(
    context: Any, times: int, steps: int, occurrence: int
) -> None:
    context.jobs = state.JobsState()
    facts = state.WorkerFacts('w', 1, 's', 'w:80', 'dc', '', (), ROOM)
    context.life_key = facts.key
    _apply(context, state.LifeSeen(facts))
    spec = _create_due('job', times, steps)
    queue = state.Queue('q', 'host', '/q/', 's')
    _apply(context, state.JobAccepted(spec, queue, 1))
    _run(context, f'{occurrence}.0.0', 1)
    assert not context.jobs.jobs['job'].tasks


@when('another run of time {occurrence:d} is assigned')
def assign_again(context: Any, occurrence: int) -> None:
    context.key = state.RunKey('job', f'{occurrence}.0.0', 2)
    _apply(context, state.RunsAllotted((context.key,), (context.life_key,)))


@then("its task counts as done, and isn't stored after the end of that run")
def check_done(context: Any) -> None:
    job = context.jobs.jobs['job']
    assert job.tasks[context.key.task].is_done
    end = state.RunEnd(2, context.key, state.RunEnding.DONE, '')
    _apply(context, state.EndsNoted(context.life_key, (end,)))
    assert job.done_step_count == 1, job.done_step_count
    assert job.is_occurrence_done(context.key.occurrence)
    assert not job.tasks, job.tasks
    assert job.status is state.JobStatus.ACTIVE


def _run(context: Any, task: str, number: int) -> None:
    """Assign a run of a task, and note that it is done."""
    key = state.RunKey('job', task, number)
    _apply(context, state.RunsAllotted((key,), (context.life_key,)))
    end = state.RunEnd(number, key, state.RunEnding.DONE, '')
    _apply(context, state.EndsNoted(context.life_key, (end,)))


def _apply(context: Any, record: state.JobRecord) -> None:
    state.apply_to_jobs(context.jobs, record)


@given('{count:d} jobs with {times:d} due times each')
def add_backlog(context: Any, count: int, times: int) -> None:
    context.index = jobs.WorkIndex()
    for number in range(count):
        _add_due_job(context, _create_due(f'job{number}', times, 4))


@when('a job with one due time is added after them')
def add_late_job(context: Any) -> None:
    _add_due_job(context, _create_due('late', 1, 1))


@then(
    'its due time is open within {limit_s:g} s, and at most {most:d} steps are'
)
def check_open(context: Any, limit_s: float, most: int) -> None:
    # The leader steps at least ten times a second.
    for number in range(int(10 * limit_s)):
        context.index.add_due(NOW_S + number / 10, NOW_MS)
    assert context.index.steps['late'], 'no step is open'
    open_steps = sum(map(len, context.index.steps.values()))
    assert open_steps <= most, open_steps


def _add_due_job(context: Any, spec: state.JobSpec) -> None:
    queue = state.Queue('q', 'host', '/q/', 's')
    context.index.add_job(state.Job(spec, queue, 1), NOW_S, NOW_MS)
