"""Stops stalled runs, and lasting tasks on draining workers, to move them."""

from greengagering.coordination.scheduling._causes import StopCause
from greengagering.coordination.scheduling._leader_core import LeaderCore
from greengagering.coordination.scheduling import _placement
from greengagering.coordination.scheduling import _stalls
from greengagering.coordination.workers import QUARANTINE_STREAK
from greengagering.coordination.workers import RunPhase
from greengagering.coordination.workers import RunView
from greengagering.coordination.workers import WorkerView

MAX_TRIED_WORKERS = 2
"""Number of workers on which a task has failed or stalled from which a stalled
run of it is left running, as it may stall on every worker."""


class RunRelocator:
    """Stops runs that should start again on another worker."""

    def __init__(self, core: LeaderCore) -> None:
        self._core = core

    def stop_stalled_runs(self, now_s: float) -> None:
        """Stop stalled runs that can start again on another worker."""
        for view in self._core.workers.values():
            if not view.runs or view.suspect_since_s is not None:
                continue
            if _stalls.needs_lists(view, now_s):
                view.is_list_due = True
                self._core.poll_candidates.add(view.key)
            for run in _stalls.find_stalled(view, self._core.index):
                if self._has_other_place(view, run):
                    self._stop_stalled(view, run, now_s)

    def _stop_stalled(
        self, view: WorkerView, run: RunView, now_s: float
    ) -> None:
        self._core.log_decision(
            'run_stalled',
            run=run.key.name,
            life=view.key,
            ran_s=round(view.ran_s(run) or 0.0, 3),
            estimate_s=run.step.estimate_s,
        )
        view.record_failure(now_s, QUARANTINE_STREAK)
        work = self._core.index.find(run.key)
        if work is not None:
            index = int(run.key.task.rpartition('.')[2])
            work.failed_at.setdefault(index, set()).add(view.key)
        self._core.stop_run(view, run, now_s, StopCause.STALLED)

    def _has_other_place(self, view: WorkerView, run: RunView) -> bool:
        work = self._core.index.find(run.key)
        if work is None or run.step.is_gang:
            return False
        index = int(run.key.task.rpartition('.')[2])
        tried = work.failed_at.get(index, set())
        if len(tried) >= MAX_TRIED_WORKERS:
            return False
        others = [
            worker
            for worker in self._core.usable_workers(work.job)
            if worker is not view and not worker.is_failing
        ]
        return self._may_restart(run) and _placement.has_place(work, others)

    def _may_restart(self, run: RunView) -> bool:
        """Tell whether a run's task may start again once it is stopped.

        Its room is free then, but a customer above its limit starts nothing.
        """
        return not self._core.limits.is_exceeded(run.customer)

    def move_lasting_tasks(self, now_s: float) -> None:
        """Stop lasting tasks on draining workers if others have room.

        They end with the worker in any case; stopped now, they start again
        elsewhere sooner.
        """
        for view in self._core.workers.values():
            if not view.is_draining or view.suspect_since_s is not None:
                continue
            for run in list(view.runs.values()):
                is_movable = run.phase is RunPhase.RUNNING
                if not (run.step.is_lasting and is_movable):
                    continue
                work = self._core.index.find(run.key)
                if work is None:
                    continue
                workers = self._core.usable_workers(work.job)
                if self._may_restart(run) and _placement.has_place(
                    work, workers
                ):
                    self._core.stop_run(view, run, now_s, StopCause.DRAINING)
