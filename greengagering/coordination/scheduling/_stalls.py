"""Finds runs that are stalled by their worker, as opposed to long ones."""

import statistics

from greengagering.coordination.jobs import WorkIndex
from greengagering.coordination.workers import RunPhase
from greengagering.coordination.workers import RunView
from greengagering.coordination.workers import WorkerView

STALL_RATIO = 2.5
"""Ratio of run time to the expected one from which a run counts as overdue.
Distant data doubles the run time at most, and estimates are off by a fifth."""

LONE_STALL_RATIO = 8.0
"""Ratio from which a run counts as stalled without any other sign that its
worker is at fault; some jobs take several times their estimate on every
worker."""

STALL_SLACK_S = 0.3
"""Time added to both limits, for the start and for short estimates."""

STALLED_JOBS = 2
"""Number of jobs with overdue runs on one worker from which the worker counts
as at fault."""


def needs_lists(view: WorkerView, now_s: float) -> bool:
    """Tell whether a run may be overdue, but the lists are too old to show it.

    By the leader's clock it is overdue; by the worker's newest lists it isn't
    yet.
    """
    return any(
        _is_overdue(run, now_s - run.started_at_s, STALL_RATIO)
        and not _is_overdue(run, view.ran_s(run), STALL_RATIO)
        for run in view.runs.values()
    )


def find_stalled(view: WorkerView, index: WorkIndex) -> list[RunView]:
    """Return the finite runs that are stalled by their worker.

    An overdue run may merely be longer than estimated. The worker counts as
    at fault if at least half of the step's tasks have finished, and much
    faster, if runs of several jobs are overdue on it, or if the run takes a
    large multiple of its estimate. Run times are taken from the worker's
    lists, so that a delay in reading them doesn't count as a stall.
    """
    overdue = [
        run
        for run in view.runs.values()
        if _is_overdue(run, view.ran_s(run), STALL_RATIO)
    ]
    if not overdue:
        return []
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
