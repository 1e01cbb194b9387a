"""Stops the runs on machines that move or go down for upkeep."""

import math

from greengagering.coordination.capacity import _machines as machines
from greengagering.coordination.capacity._open_duties import OpenDuty
from greengagering.coordination.scheduling import has_place
from greengagering.coordination.scheduling import JobScheduler
from greengagering.coordination.workers import RunPhase
from greengagering.coordination.workers import RunView
from greengagering.coordination.workers import WorkerView
from greengagering import state

FULL_PERCENT = 100

TASK_END_TIMEOUT_S = 2.5
"""Time for finite tasks to end by themselves on a machine that is emptied for
upkeep; then they are stopped."""

PLACE_TIMEOUT_S = 1.5
"""Time for a lasting task to find a place elsewhere. Then it is stopped for an
upkeep without one, if its job may miss it, and starts again after the upkeep
at the latest."""


class MachineEmptier:
    """Stops runs of machines, lasting tasks within what their jobs allow."""

    def __init__(self, scheduler: JobScheduler) -> None:
        self._scheduler = scheduler
        # Tasks that are out, by job and step, in this step of the leader.
        self._out_counts: dict[tuple[str, str], int] = {}

    def begin_step(self) -> None:
        """Count anew which tasks are out."""
        self._out_counts.clear()

    def sort(
        self, candidates: list[machines.Machine], emptied_pools: set[str]
    ) -> list[machines.Machine]:
        """Return machines in the order in which a wave empties them.

        Only a few lasting tasks may move at a time, so emptying their
        machines takes longest: one machine of each pool that hosts lasting
        tasks comes first. The others follow by the cost of emptying them.

        Args:
            candidates: the machines.
            emptied_pools: pools of which the wave empties a machine already.
        """
        candidates = sorted(candidates, key=self._cost)
        pools = set(emptied_pools)
        first = []
        for machine in candidates:
            lasting, _ = self._cost(machine)
            if lasting and machine.pool not in pools:
                pools.add(machine.pool)
                first.append(machine)
        return first + [m for m in candidates if m not in first]

    def _cost(self, machine: machines.Machine) -> tuple[int, int]:
        """Return the number of lasting tasks and of all runs."""
        view = self._scheduler.newest_incarnation(machine.worker_id)
        if view is None:
            return (0, 0)
        lasting = sum(1 for run in view.runs.values() if run.step.is_lasting)
        return (lasting, len(view.runs))

    def empty(self, opened: OpenDuty, now_s: float) -> bool:
        """Stop the runs that may be stopped; tell whether none is left."""
        view = self._scheduler.newest_incarnation(opened.worker_id)
        if view is None:
            return True
        for run in list(view.runs.values()):
            if run.phase is not RunPhase.RUNNING:
                continue
            if run.step.is_lasting:
                if self._may_stop(view, run, opened, now_s):
                    self._stop_lasting(view, run, now_s)
            elif opened.duty.kind is state.DutyKind.UPKEEP and (
                run.step.saves_progress
                or now_s >= opened.phase_at_s + TASK_END_TIMEOUT_S
            ):
                # Finite tasks aren't stopped for a move, as a move gains less
                # than the lost work.
                self._scheduler.empty_run(view, run, now_s)
        return not view.runs

    def find_blocking(self, worker_id: str) -> list[str]:
        """Return the lasting tasks on a worker that must not be stopped now.

        Their jobs allow no more tasks to be out than are.
        """
        view = self._scheduler.newest_incarnation(worker_id)
        if view is None:
            return []
        return [
            run.key.task_name
            for run in view.runs.values()
            if run.step.is_lasting and not self._may_miss(run)
        ]

    def find_stuck(self, worker_id: str) -> list[str]:
        """Return the lasting tasks on a worker that can't leave it for now.

        They have no place elsewhere, and their jobs don't allow all of them
        to be out at once. Others of their steps that are out may have no place
        either.
        """
        view = self._scheduler.newest_incarnation(worker_id)
        if view is None:
            return []
        return [
            run.key.task_name
            for run in view.runs.values()
            if run.step.is_lasting
            and not self._may_miss_all(view, run)
            and not self._has_other_place(run)
        ]

    def _may_stop(
        self, view: WorkerView, run: RunView, opened: OpenDuty, now_s: float
    ) -> bool:
        """Tell whether a lasting task may be stopped for a duty.

        Its machine leaves the pool by a move, and comes back from an upkeep.
        So for an upkeep it needs no place elsewhere, once nothing but lasting
        tasks is left to wait for.
        """
        if not self._may_miss(run):
            return False
        if self._has_other_place(run):
            return True
        return (
            opened.duty.kind is state.DutyKind.UPKEEP
            and now_s >= opened.phase_at_s + PLACE_TIMEOUT_S
            and all(
                other.step.is_lasting and self._may_miss_all(view, other)
                for other in view.runs.values()
            )
        )

    def _stop_lasting(
        self, view: WorkerView, run: RunView, now_s: float
    ) -> None:
        self._scheduler.empty_run(view, run, now_s)
        step_name = (run.key.job_id, run.key.step_key)
        if step_name in self._out_counts:
            self._out_counts[step_name] += 1

    def _may_miss(self, run: RunView) -> bool:
        """Tell whether a lasting task's job allows it to be out now."""
        return self._count_missable(run) > 0

    def _may_miss_all(self, view: WorkerView, run: RunView) -> bool:
        """Tell whether a job allows all of a step's tasks on a worker out."""
        step_name = (run.key.job_id, run.key.step_key)
        at_work = sum(
            (other.key.job_id, other.key.step_key) == step_name
            and not other.is_stopping
            for other in view.runs.values()
        )
        return at_work <= self._count_missable(run)

    def _count_missable(self, run: RunView) -> float:
        """Return how many more tasks of a step its job allows to be out.

        The run itself counts as at work.
        """
        job = self._scheduler.jobs.jobs.get(run.key.job_id)
        if job is None or job.status is not state.JobStatus.ACTIVE:
            return math.inf
        if self._scheduler.limits.is_exceeded(run.customer):
            # A customer above its limit starts nothing.
            return 0
        out_count = self._count_out(job, run)
        if not self._is_fully_running(job, run.key.task):
            out_count -= 1
        allowed = run.step.may_miss
        return (1 if allowed is None else allowed) - out_count

    def _count_out(self, job: state.Job, run: RunView) -> int:
        """Return how many tasks of a run's step are not fully at work."""
        step_name = (run.key.job_id, run.key.step_key)
        out_count = self._out_counts.get(step_name)
        if out_count is None:
            out_count = self._out_counts[step_name] = sum(
                not self._is_fully_running(job, f'{run.key.step_key}.{index}')
                for index in range(run.step.task_count)
            )
        return out_count

    def _has_other_place(self, run: RunView) -> bool:
        """Tell whether another worker has room for a lasting task."""
        job = self._scheduler.jobs.jobs.get(run.key.job_id)
        work = self._scheduler.index.find(run.key)
        if job is None or work is None:
            return True
        return has_place(work, self._scheduler.usable_workers(job))

    def _is_fully_running(self, job: state.Job, task_key: str) -> bool:
        task = job.tasks.get(task_key)
        if task is None:
            return False
        for run_number, life_key in task.live_runs.items():
            view = self._scheduler.workers.get(life_key)
            name = state.RunKey(job.spec.job_id, task_key, run_number).name
            run = view.runs.get(name) if view is not None else None
            if view is None or run is None:
                continue
            is_running = run.phase is RunPhase.RUNNING
            if is_running and view.suspect_since_s is None:
                return run.is_listed and run.percent >= FULL_PERCENT
        return False
