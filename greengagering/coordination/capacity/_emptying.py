"""Stops the runs on machines that move or go down for upkeep."""

from greengagering.coordination.capacity import _machines as machines
from greengagering.coordination.capacity._open_duties import OpenDuty
from greengagering.coordination.scheduling import has_place
from greengagering.coordination.scheduling import JobScheduler
from greengagering.coordination.workers import RunPhase
from greengagering.coordination.workers import RunView
from greengagering import state

FULL_PERCENT = 100

TASK_END_TIMEOUT_S = 2.5
"""Time for finite tasks to end by themselves on a machine that is emptied for
upkeep; then they are stopped."""


class MachineEmptier:
    """Stops runs of machines, lasting tasks within what their jobs allow."""

    def __init__(self, scheduler: JobScheduler) -> None:
        self._scheduler = scheduler

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
                if self._may_stop(run):
                    self._scheduler.empty_run(view, run, now_s)
            elif opened.duty.kind is state.DutyKind.UPKEEP and (
                run.step.saves_progress
                or now_s >= opened.phase_at_s + TASK_END_TIMEOUT_S
            ):
                # Finite tasks aren't stopped for a move, as a move gains less
                # than the lost work.
                self._scheduler.empty_run(view, run, now_s)
        return not view.runs

    def _may_stop(self, run: RunView) -> bool:
        """Tell whether a lasting task may be stopped and fits elsewhere."""
        job = self._scheduler.jobs.jobs.get(run.key.job_id)
        if job is None or job.status is not state.JobStatus.ACTIVE:
            return True
        out_count = 0
        for index in range(run.step.task_count):
            task_key = f'{run.key.step_key}.{index}'
            if task_key != run.key.task and not self._is_fully_running(
                job, task_key
            ):
                out_count += 1
        if run.step.may_miss is not None and out_count >= run.step.may_miss:
            return False
        if run.step.may_miss is None and out_count:
            return False
        work = self._scheduler.index.find(run.key)
        if work is None:
            return True
        if self._scheduler.limits.is_exceeded(run.customer):
            # A customer above its limit starts nothing.
            return False
        workers = self._scheduler.usable_workers(job)
        return has_place(work, workers)

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
