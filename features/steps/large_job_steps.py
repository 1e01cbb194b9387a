"""Steps with jobs of many steps or tasks, and the leader's work for them."""

from collections.abc import Callable
from typing import Any

from behave import then
from behave import when

from features.support import job_life
from greengagering import state

SMALL_COUNT = 60
LARGE_COUNT = 240
EDGED_LARGE_COUNT = 120
"""Steps of the shape whose size grows with the square of its steps."""

ROOM = state.Room(10, 10)


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
