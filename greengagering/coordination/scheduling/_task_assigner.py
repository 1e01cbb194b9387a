"""Assigns waiting tasks to workers with free room."""

import dataclasses

from greengagering.coordination.jobs import StepWork
from greengagering.coordination.scheduling import _admission
from greengagering.coordination.scheduling import _customer_limits
from greengagering.coordination.scheduling import _isolation
from greengagering.coordination.scheduling._leader_core import LeaderCore
from greengagering.coordination.scheduling import _placement
from greengagering.coordination.scheduling import _shares
from greengagering.coordination.workers import RunPhase
from greengagering.coordination.workers import RunView
from greengagering.coordination.workers import WaitTimes
from greengagering.coordination.workers import WorkerView
from greengagering import state

MAX_RUNS_PER_RECORD = 400
"""Largest number of runs in one record; it limits the duration of a write."""


@dataclasses.dataclass(slots=True)
class _Batch:
    """What one plan of tasks assigns.

    Attributes:
        vacant: vacant workers that are left.
        runs: runs to propose.
        life_keys: for each run, the key of its worker's incarnation.
    """

    vacant: _placement.VacantWorkers
    runs: list[state.RunKey] = dataclasses.field(default_factory=list)
    life_keys: list[str] = dataclasses.field(default_factory=list)


class TaskAssigner:
    """Assigns waiting tasks to workers, the most urgent first."""

    def __init__(self, core: LeaderCore) -> None:
        self._core = core

    def assign(self, now_s: float) -> None:
        """Assign waiting tasks to usable workers, and propose the runs."""
        self._core.permits.begin_plan()
        usable = self._find_usable(now_s)
        if not usable:
            return
        works = [
            (work, self._core.service_of(work.job))
            for steps in self._core.index.steps.values()
            for work in steps.values()
            if work.waiting
        ]
        batch = _Batch(_placement.VacantWorkers(usable))
        try:
            self._place(works, usable, batch, now_s)
        finally:
            # The room of these runs is reserved, and their tasks don't wait
            # any more.
            self._propose(batch.runs, batch.life_keys)

    def _place(
        self,
        works: list[tuple[StepWork, str]],
        usable: dict[str, list[WorkerView]],
        batch: '_Batch',
        now_s: float,
    ) -> None:
        """Place waiting tasks, and add their runs to the batch."""
        limits = self._core.limits
        limits.follow_plan(self._core.jobs.plan)
        limits.begin_plan()
        isolations = self._isolate(works, now_s)
        # Finite tasks go first, as they free their workers sooner.
        isolated = sorted(
            (item for item in works if id(item[0]) in isolations),
            key=lambda item: item[0].step.is_lasting,
        )
        self._start_isolated(isolated, isolations, usable, batch, now_s)
        pools = {
            service: _placement.PoolRoom(workers)
            for service, workers in usable.items()
            if workers
        }
        order = _shares.ShareOrder(
            self._core.job_rates,
            self._core.weights,
            pools,
            self._core.jobs.jobs,
        )
        for work, service in order.sort(works, now_s):
            startable = self._count_startable(work, len(work.waiting))
            if startable < len(work.waiting):
                limits.note_held(
                    work.job.customer, len(work.waiting) - startable
                )
            if not startable:
                continue
            pool = pools.get(service)
            if pool is None or not pool.may_fit(work.step):
                continue
            isolation = isolations.get(id(work))
            if isolation is None:
                indexes = sorted(work.waiting)
            else:
                indexes = isolation.others + self._start_apart(
                    work, service, isolation.apart, batch, now_s
                )
                startable = self._count_startable(work, len(indexes))
            placements = _placement.place_step(
                work,
                self._permitted(work, pool.workers, now_s),
                now_s,
                startable,
                indexes,
            )
            self._reserve(work, placements, batch, now_s)
            for _ in placements:
                order.note_placed(work, service)
            if work.waiting:
                pool.measure()
        self._fill_with_isolated(isolated, isolations, usable, batch, now_s)
        self._log_limits(now_s)
        self._core.short_services = {
            service for work, service in works if work.waiting
        }
        if self._core.weights:
            self._core.admission.backlogs = _admission.measure_backlogs(
                works, usable, self._core.job_rates, now_s
            )
        self._log_cleared_backlog(works, now_s)

    def _permitted(
        self, work: StepWork, workers: list[WorkerView], now_s: float
    ) -> list[WorkerView]:
        """Return the workers that the queue's adviser, if any, permits."""
        if work.job.queue.advice is None:
            return workers
        return self._core.permits.permitted_workers(work, workers, now_s)

    def _isolate(
        self, works: list[tuple[StepWork, str]], now_s: float
    ) -> dict[int, _isolation.StepIsolation]:
        """Return where tasks may start, by the identity of their step.

        Steps whose tasks may start anywhere are left out.
        """
        isolations = {}
        for work, _ in works:
            queue = work.job.queue
            is_queue_suspect = self._core.is_queue_suspect(queue, now_s)
            if work.suspects or is_queue_suspect:
                isolations[id(work)] = _isolation.isolate_step(
                    work, is_queue_suspect=is_queue_suspect
                )
        return isolations

    def _start_isolated(
        self,
        works: list[tuple[StepWork, str]],
        isolations: dict[int, _isolation.StepIsolation],
        usable: dict[str, list[WorkerView]],
        batch: '_Batch',
        now_s: float,
    ) -> None:
        """Start tasks on workers of their own, or keep workers for them.

        Args:
            works: steps with isolations, and their pools.
            isolations: where tasks may start, by the identity of their step.
            usable: usable workers by pool; loses those that are kept.
            batch: collects the runs.
            now_s: the leader's clock.
        """
        if not any(item.isolated for item in isolations.values()):
            return
        isolated_views = _isolation.isolated_views(self._core.workers.values())
        for work, service in works:
            workers = usable.get(service)
            if not workers:
                continue
            # No worker is kept for tasks that a customer's limit holds back.
            needed = work.step.task_count if work.step.is_gang else 1
            if self._count_startable(work, needed) < needed:
                continue
            isolation = isolations[id(work)]
            views = isolated_views.setdefault(service, [])
            for group in isolation.isolated:
                keepable = _isolation.count_keepable(
                    len(workers) + len(views), len(views)
                )
                if keepable <= 0:
                    break
                used = self._start_alone(
                    work, service, group, keepable, batch, now_s
                )
                if not used:
                    kept = _placement.find_soonest_vacant(
                        work, self._permitted(work, workers, now_s)
                    )
                    if kept is None:
                        # The other groups need the same room.
                        break
                    batch.vacant.remove(kept)
                    used = [kept]
                views += used
                workers[:] = [w for w in workers if w not in used]

    def _fill_with_isolated(
        self,
        works: list[tuple[StepWork, str]],
        isolations: dict[int, _isolation.StepIsolation],
        usable: dict[str, list[WorkerView]],
        batch: '_Batch',
        now_s: float,
    ) -> None:
        """Start tasks alone on the workers that no other task has taken."""
        for work, service in works:
            if not (work.waiting and usable.get(service)):
                continue
            for group in isolations[id(work)].isolated:
                left = [index for index in group if index in work.waiting]
                if left:
                    limit = len(usable[service])
                    self._start_alone(work, service, left, limit, batch, now_s)

    def _start_alone(
        self,
        work: StepWork,
        service: str,
        group: list[int],
        worker_limit: int,
        batch: '_Batch',
        now_s: float,
    ) -> list[WorkerView]:
        """Start a group on vacant workers, which nothing else then uses.

        Returns:
            The workers that it uses.
        """
        isolated_s = _isolation.group_isolation_s(work, group)
        placements = self._start_on_vacant(
            work, service, group, batch, now_s, worker_limit, isolated_s
        )
        for placement in placements:
            self._core.log_decision(
                'task_isolated',
                task=f'{work.job.spec.job_id}.{work.step_key}.{placement.index}',
                life=placement.worker.key,
                isolated_s=isolated_s,
            )
        return list({p.worker.key: p.worker for p in placements}.values())

    def _start_apart(
        self,
        work: StepWork,
        service: str,
        groups: list[list[int]],
        batch: '_Batch',
        now_s: float,
    ) -> list[int]:
        """Start groups on vacant workers; return the tasks left over."""
        left = []
        for group in groups:
            placements = self._start_on_vacant(
                work, service, group, batch, now_s
            )
            placed = {placement.index for placement in placements}
            left += [index for index in group if index not in placed]
        return left

    def _start_on_vacant(
        self,
        work: StepWork,
        service: str,
        group: list[int],
        batch: '_Batch',
        now_s: float,
        worker_limit: int | None = None,
        isolated_s: float = 0.0,
    ) -> list[_placement.Placement]:
        vacant = batch.vacant.in_pool(service)
        placements = _placement.place_step(
            work,
            self._permitted(work, vacant, now_s),
            now_s,
            self._count_startable(work, len(group)),
            group,
            None if work.step.is_gang else worker_limit,
        )
        self._reserve(work, placements, batch, now_s, isolated_s)
        return placements

    def _propose(self, runs: list[state.RunKey], life_keys: list[str]) -> None:
        for first in range(0, len(runs), MAX_RUNS_PER_RECORD):
            last = first + MAX_RUNS_PER_RECORD
            self._core.proposals.append(
                state.RunsAllotted(
                    tuple(runs[first:last]), tuple(life_keys[first:last])
                )
            )

    def _find_usable(self, now_s: float) -> dict[str, list[WorkerView]]:
        """Return the workers that may get new runs, by service."""
        usable: dict[str, list[WorkerView]] = {}
        for view in self._core.workers.values():
            if view.is_usable(now_s):
                usable.setdefault(view.facts.service, []).append(view)
        return usable

    def _count_startable(self, work: StepWork, count: int) -> int:
        """Return how many tasks of a step a customer's limit lets start."""
        return self._core.limits.count_startable(
            work.job.customer, work.step, count
        )

    def _log_limits(self, now_s: float) -> None:
        for change in self._core.limits.end_plan(now_s):
            event = (
                'customer_limit_met'
                if change.is_met
                else 'customer_limit_left'
            )
            self._core.log_decision(
                event,
                customer=change.customer,
                limit=_customer_limits.format_room(change.limit),
                running=_customer_limits.format_room(change.used),
                waiting=change.waiting,
                held_s=round(change.held_s, 3),
            )

    def _log_cleared_backlog(
        self, works: list[tuple[StepWork, str]], now_s: float
    ) -> None:
        """Log the first time in a term at which no work in time waits."""
        if not any(w.waiting and not w.is_late(now_s) for w, _ in works):
            self._core.log_once('backlog_cleared', steps=len(works))

    def _reserve(
        self,
        work: StepWork,
        placements: list[_placement.Placement],
        batch: '_Batch',
        now_s: float,
        isolated_s: float = 0.0,
    ) -> None:
        """Reserve the room of a step's placements, and add their runs."""
        job = work.job
        # Found once, as it takes a look at every task of a gang.
        gang_run = _next_gang_run(work) if work.step.is_gang else None
        for placement in placements:
            task_key = f'{work.step_key}.{placement.index}'
            run_number = gang_run or _next_run(job, task_key)
            key = state.RunKey(job.spec.job_id, task_key, run_number)
            self._core.index.mark_proposed(key)
            run = RunView(
                key,
                work.step,
                RunPhase.ORDERED,
                now_s,
                customer=job.customer,
                isolated_s=isolated_s,
            )
            if work.waits.seconds:
                run.room_waits = WaitTimes()
                run.room_waits.add_all(work.waits)
            placement.worker.add_run(run)
            batch.vacant.remove(placement.worker)
            batch.runs.append(key)
            batch.life_keys.append(placement.worker.key)


def _next_run(job: state.Job, task_key: str) -> int:
    """Return the number of a task's next run."""
    task = job.tasks.get(task_key)
    return 1 if task is None else task.run + 1


def _next_gang_run(work: StepWork) -> int:
    """Return the number of a gang's next run, which its tasks share."""
    return max(
        _next_run(work.job, f'{work.step_key}.{index}')
        for index in range(work.step.task_count)
    )
