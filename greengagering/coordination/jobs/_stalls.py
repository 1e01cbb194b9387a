"""Tells runs that stand still because of their worker from long ones."""

import statistics

from greengagering.coordination.jobs._work_index import WorkIndex
from greengagering.coordination.jobs._worker_view import RunPhase
from greengagering.coordination.jobs._worker_view import RunView
from greengagering.coordination.jobs._worker_view import WorkerView

STALL_RATIO = 2.5
"""Run time over the expected one from which a run may stand still; distant
data doubles it at most, and estimates are off by a fifth."""

LONE_STALL_RATIO = 8.0
"""The same where nothing else shows that the worker is at fault: some jobs
take several times their estimate on every worker."""

STALL_SLACK_S = 0.3
"""Run time added to that, for the start and for short estimates."""

STALLED_JOBS = 2
"""Jobs with overdue runs on one worker that show that it is at fault."""


def needs_lists(view: WorkerView, now_s: float) -> bool:
    """Tell whether a run may stand still, and the lists are too old to say."""
    return any(
        _is_overdue(run, now_s - run.started_at_s, STALL_RATIO)
        and not _is_overdue(run, view.ran_s(run), STALL_RATIO)
        for run in view.runs.values()
    )


def find_stalled(view: WorkerView, index: WorkIndex) -> list[RunView]:
    """Return the finite runs that stand still because of their worker.

    A run that is overdue may only be longer than estimated. Its worker is at
    fault if the other tasks of its step were done in time elsewhere, or if
    runs of several jobs are overdue there. The worker's own lists tell how
    long it has run: one that is only read late stands nothing still.
    """
    overdue = [
        run
        for run in view.runs.values()
        if _is_overdue(run, view.ran_s(run), STALL_RATIO)
    ]
    jobs = {run.key.job_id for run in overdue}
    return [
        run
        for run in overdue
        if len(jobs) >= STALLED_JOBS
        or _is_behind_siblings(run, index, view.ran_s(run))
        or _is_overdue(run, view.ran_s(run), LONE_STALL_RATIO)
    ]


def _is_overdue(run: RunView, ran_s: float | None, ratio: float) -> bool:
    is_finite = not run.step.is_lasting and run.step.estimate_s > 0
    if run.phase is not RunPhase.RUNNING or not is_finite or ran_s is None:
        return False
    return ran_s >= ratio * run.step.estimate_s + STALL_SLACK_S


def _is_behind_siblings(
    run: RunView, index: WorkIndex, ran_s: float | None
) -> bool:
    work = index.find(run.key)
    if work is None or ran_s is None:
        return False
    if 2 * len(work.run_times_s) < work.step.task_count:
        return False
    usual_s = statistics.median(work.run_times_s)
    return ran_s >= STALL_RATIO * usual_s + STALL_SLACK_S
