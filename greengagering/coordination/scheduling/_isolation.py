"""Decides which tasks run alone, as workers have crashed under them."""

from collections.abc import Iterable
import dataclasses

from greengagering.coordination.jobs import StepWork
from greengagering.coordination.workers import SETTLED_S
from greengagering.coordination.workers import WorkerView
from greengagering import state

SUSPECTED_LIMIT = 2
"""Crashes as a suspect from which a task runs alone. After the first one,
which another task or none may have caused, it only avoids other tasks."""

UNSUSPECTED_LIMIT = 3
"""Crashes from which it runs alone although it had run for long each time."""

MAX_ISOLATION_S = 20.0
"""Longest time for which a run keeps other tasks from its worker."""

POOL_SHARE = 1 / 3
"""Largest share of a pool's workers that is kept for isolated tasks while
other tasks wait."""

QUEUE_MEMORY_S = 30.0
"""Time for which the new jobs of a queue start apart from others, after one of
its jobs was alone on a worker that crashed. Such jobs come in numbers, and
each would take along what runs beside it."""


def isolation_s(task: state.Task | None) -> float:
    """Return how long a task's next run needs a worker of its own.

    The time doubles with each further crash, so that a task that takes longer
    to crash its worker than assumed is alone when it does.
    """
    if task is None or not _is_isolated(task):
        return 0.0
    crashes = task.crashes
    total = crashes.total if crashes is not None else 0
    doublings = max(total - SUSPECTED_LIMIT, 0)
    return min(SETTLED_S * 2**doublings, MAX_ISOLATION_S)


def _is_isolated(task: state.Task) -> bool:
    crashes = task.crashes
    return crashes is not None and (
        crashes.suspected >= SUSPECTED_LIMIT
        or crashes.total >= UNSUSPECTED_LIMIT
        or crashes.alone > 0
    )


@dataclasses.dataclass(slots=True)
class StepIsolation:
    """The waiting tasks of a step, by where they may start.

    The tasks of a step stay together: they run the same, and their job fails
    with any of them. Lasting tasks stay apart from each other as well.

    Attributes:
        isolated: groups of tasks that start on workers of their own.
        apart: groups that start on workers without other suspects, if there
            are any.
        others: tasks that start anywhere.
    """

    isolated: list[list[int]] = dataclasses.field(default_factory=list)
    apart: list[list[int]] = dataclasses.field(default_factory=list)
    others: list[int] = dataclasses.field(default_factory=list)


def isolate_step(
    work: StepWork, *, is_queue_suspect: bool = False
) -> StepIsolation:
    """Decide where the waiting tasks of a step may start.

    Args:
        work: the step.
        is_queue_suspect: whether other jobs of its queue crash workers.
    """
    waiting = sorted(work.waiting)
    isolated = [i for i in sorted(work.suspects) if _isolation_of(work, i)]
    if not work.step.is_lasting or work.step.is_gang:
        if isolated:
            return StepIsolation(isolated=[waiting])
        if work.suspects or (is_queue_suspect and not work.step.is_lasting):
            return StepIsolation(apart=[waiting])
        return StepIsolation(others=waiting)
    return StepIsolation(
        isolated=[[index] for index in isolated],
        apart=[[i] for i in sorted(work.suspects.difference(isolated))],
        others=[i for i in waiting if i not in work.suspects],
    )


def group_isolation_s(work: StepWork, group: list[int]) -> float:
    """Return how long a group needs workers of its own; see isolation_s."""
    return max(_isolation_of(work, index) for index in group)


def _isolation_of(work: StepWork, index: int) -> float:
    return isolation_s(work.job.tasks.get(f'{work.step_key}.{index}'))


def isolated_views(
    workers: Iterable[WorkerView],
) -> dict[str, list[WorkerView]]:
    """Return the workers that are kept for a run, by pool."""
    views: dict[str, list[WorkerView]] = {}
    for view in workers:
        if view.is_isolated:
            views.setdefault(view.facts.service, []).append(view)
    return views


def count_keepable(worker_count: int, isolated_count: int) -> int:
    """Return how many more workers a pool may keep for isolated tasks."""
    return max(int(POOL_SHARE * worker_count), 1) - isolated_count
