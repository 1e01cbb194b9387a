"""Stops runs that stand still, or whose worker drains, for a better place."""

from greengagering.coordination.jobs._leader_core import LeaderCore
from greengagering.coordination.jobs import _placement
from greengagering.coordination.jobs import _stalls
from greengagering.coordination.jobs import _worker_view as worker_view
from greengagering.coordination.jobs._worker_view import RunPhase
from greengagering.coordination.jobs._worker_view import RunView
from greengagering.coordination.jobs._worker_view import WorkerView

MAX_STALLS = 2
"""Workers that a task is taken from for standing still; a task that stands
still everywhere is left alone."""


class Displacement:
    """Takes runs off workers that do them no good."""

    def __init__(self, core: LeaderCore) -> None:
        self._core = core

    def end_stalls(self, now_s: float) -> None:
        """Stop what stands still, where it has a better place."""
        for view in self._core.workers.values():
            if view.suspect_since_s is not None:
                continue
            if _stalls.needs_lists(view, now_s):
                view.is_list_due = True
                self._core.woken.add(view.key)
            for run in _stalls.find_stalled(view, self._core.index):
                if self._has_better_place(view, run):
                    self._end_stalled(view, run, now_s)

    def _end_stalled(
        self, view: WorkerView, run: RunView, now_s: float
    ) -> None:
        self._core.decide(
            'run_stalled',
            run=run.key.name,
            life=view.key,
            ran_s=round(view.ran_s(run) or 0.0, 3),
            estimate_s=run.step.estimate_s,
        )
        view.note_failure(now_s, worker_view.QUARANTINE_STREAK)
        work = self._core.index.find(run.key)
        if work is not None:
            index = int(run.key.task.rpartition('.')[2])
            work.failed_at.setdefault(index, set()).add(view.key)
        self._core.stop_run(view, run, now_s)

    def _has_better_place(self, view: WorkerView, run: RunView) -> bool:
        work = self._core.index.find(run.key)
        if work is None or run.step.is_gang:
            return False
        index = int(run.key.task.rpartition('.')[2])
        tried = work.failed_at.get(index, set())
        if len(tried) >= MAX_STALLS:
            return False
        others = [
            worker
            for worker in self._core.usable_workers(work.job)
            if worker is not view and not worker.is_failing
        ]
        return _placement.has_place(work, others)

    def move_lasting(self, now_s: float) -> None:
        """Stop lasting tasks on workers that drain, while they have a place.

        They end with the worker in any case, and later than this.
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
                if _placement.has_place(work, workers):
                    self._core.stop_run(view, run, now_s)
