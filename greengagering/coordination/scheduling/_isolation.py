"""Decides which tasks run alone, as workers have crashed under them."""

from collections.abc import Iterable

from greengagering.coordination.jobs import StepWork
from greengagering.coordination.workers import SETTLED_S
from greengagering.coordination.workers import WorkerView
from greengagering import state

SUSPECTED_LIMIT = 2
"""Crashes as a suspect from which a task runs alone. After the first one,
which another task or none may have caused, it only avoids other tasks."""

CRASH_LIMIT = 3
"""Crashes from which it runs alone although it had run for long each time."""

MAX_ISOLATION_S = 40.0
"""Longest time for which a run keeps other tasks from its worker."""

POOL_SHARE = 1 / 3
"""Largest share of a pool's workers that is kept for isolated tasks."""

STEP_LIMIT = 2
"""Tasks of one step that run in isolation at the same time. If one of them
crashes its worker, the others may do the same."""


def isolation_s(task: state.Task | None) -> float:
    """Return how long a task's next run needs a worker of its own.

    The time doubles with each crash, so that a task that takes longer to crash
    its worker than assumed is alone when it does.
    """
    if task is None or not _is_isolated(task):
        return 0.0
    crashes = task.crashes
    total = crashes.total if crashes is not None else 0
    return min(SETTLED_S * 2 ** (total - 1), MAX_ISOLATION_S)


def _is_isolated(task: state.Task) -> bool:
    crashes = task.crashes
    return crashes is not None and (
        crashes.suspected >= SUSPECTED_LIMIT
        or crashes.total >= CRASH_LIMIT
        or crashes.alone > 0
    )


def step_isolation_s(work: StepWork, index: int) -> float:
    """Return how long a task needs a worker of its own; see isolation_s.

    The members of a gang share the longest time that any of them needs.
    """
    indexes = range(work.step.task_count) if work.step.is_gang else (index,)
    return max(isolation_s(_task(work, member)) for member in indexes)


class StepIsolation:
    """The waiting tasks of a step, by whether they may start beside others.

    While a task that was the only suspect of a crash waits or runs in
    isolation, the other tasks of its step wait: they run the same, and the
    job fails with any of them.

    Attributes:
        isolated: tasks that may start now, on a worker of their own.
        apart: tasks that should start on a worker without other suspects.
        others: tasks that may start anywhere.
    """

    def __init__(
        self, work: StepWork, isolated_views: list[WorkerView]
    ) -> None:
        isolated = [
            index
            for index in sorted(work.waiting)
            if work.suspects and step_isolation_s(work, index)
        ]
        running = [
            run
            for view in isolated_views
            for run in view.runs.values()
            if run.isolated_s
            and run.key.job_id == work.job.spec.job_id
            and run.key.step_key == work.step_key
        ]
        on_trial = [index for index in isolated if _was_alone(work, index)]
        is_on_trial = bool(on_trial) or any(
            _was_alone(work, int(run.key.task.rpartition('.')[2]))
            for run in running
        )
        self.isolated: list[int] = isolated
        self.apart: list[int] = []
        self.others: list[int] = []
        if work.step.is_gang:
            if not isolated:
                self.others = sorted(work.waiting)
        elif is_on_trial:
            self.isolated = [] if running else on_trial[:1]
        else:
            self.isolated = isolated[: max(STEP_LIMIT - len(running), 0)]
            self.apart = sorted(work.suspects.difference(isolated))
            self.others = sorted(work.waiting - work.suspects)


def _task(work: StepWork, index: int) -> state.Task | None:
    return work.job.tasks.get(f'{work.step_key}.{index}')


def _was_alone(work: StepWork, index: int) -> bool:
    task = _task(work, index)
    return (
        task is not None
        and task.crashes is not None
        and (task.crashes.alone > 0)
    )


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
