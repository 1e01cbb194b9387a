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
from greengagering.coordination.workers import WorkerView
from greengagering import state

MAX_RUNS_PER_RECORD = 400
"""Largest number of runs in one record; it limits the duration of a write."""


@dataclasses.dataclass(slots=True)
class _Batch:
    """Runs to propose, and for each the key of its worker's incarnation."""

    runs: list[state.RunKey] = dataclasses.field(default_factory=list)
    life_keys: list[str] = dataclasses.field(default_factory=list)


class TaskAssigner:
    """Assigns waiting tasks to workers, the most urgent first."""

    def __init__(self, core: LeaderCore) -> None:
        self._core = core

    def assign(self, now_s: float) -> None:
        """Assign waiting tasks to usable workers, and propose the runs."""
        usable = self._find_usable(now_s)
        if not usable:
            return
        works = [
            (work, self._core.service_of(work.job))
            for steps in self._core.index.steps.values()
            for work in steps.values()
            if work.waiting
        ]
        limits = self._core.limits
        limits.follow_plan(self._core.jobs.plan)
        limits.begin_plan()
        batch = _Batch()
        isolations = self._start_isolated(works, usable, batch, now_s)
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
            startable = self._count_startable(work)
            if not startable:
                continue
            pool = pools.get(service)
            if pool is None or not pool.may_fit(work.step):
                continue
            isolation = isolations.get(id(work))
            indexes = sorted(work.waiting)
            if isolation is not None:
                indexes = isolation.others + self._place_apart(
                    work, pool.workers, isolation.apart, batch, now_s
                )
            for placement in _placement.place_step(
                work,
                self._permitted(work, pool.workers, now_s),
                now_s,
                startable,
                indexes,
            ):
                self._reserve(work, placement, batch, now_s)
                order.note_placed(work, service)
            if work.waiting:
                pool.measure()
        self._log_limits(now_s)
        self._core.short_services = {
            service for work, service in works if work.waiting
        }
        if self._core.weights:
            self._core.admission.backlogs = _admission.measure_backlogs(
                works, usable, self._core.job_rates, now_s
            )
        self._log_cleared_backlog(works, now_s)
        self._propose(batch.runs, batch.life_keys)

    def _permitted(
        self, work: StepWork, workers: list[WorkerView], now_s: float
    ) -> list[WorkerView]:
        """Return the workers that the queue's adviser, if any, permits."""
        if work.job.queue.advice is None:
            return workers
        return self._core.permits.permitted_workers(work, workers, now_s)

    def _start_isolated(
        self,
        works: list[tuple[StepWork, str]],
        usable: dict[str, list[WorkerView]],
        batch: '_Batch',
        now_s: float,
    ) -> dict[int, _isolation.StepIsolation]:
        """Start the tasks that run alone, or keep workers until they can.

        Args:
            works: steps with waiting tasks, and their pools.
            usable: usable workers by pool; loses those that are kept.
            batch: collects the runs.
            now_s: the leader's clock.

        Returns:
            How the tasks of each step may start, by the step's identity, for
            the steps of pools with suspects.
        """
        isolated_views = _isolation.isolated_views(self._core.workers.values())
        isolations: dict[int, _isolation.StepIsolation] = {}
        for work, service in works:
            views = isolated_views.get(service, [])
            if not (views or work.suspects):
                continue
            isolation = _isolation.StepIsolation(work, views)
            isolations[id(work)] = isolation
            workers = usable.get(service)
            if not (isolation.isolated and workers):
                continue
            units = [[index] for index in isolation.isolated]
            if work.step.is_gang:
                units = [isolation.isolated]
            for unit in units:
                kept = _isolation.count_keepable(
                    len(workers) + len(views), len(views)
                )
                if kept > 0:
                    views += self._start_alone(
                        work, workers, unit, batch, now_s
                    )
                    isolated_views[service] = views
        return isolations

    def _start_alone(
        self,
        work: StepWork,
        workers: list[WorkerView],
        indexes: list[int],
        batch: '_Batch',
        now_s: float,
    ) -> list[WorkerView]:
        """Start a task or a gang on vacant workers, or keep one for it.

        Returns:
            The workers that it uses, which are removed from `workers`.
        """
        if self._count_startable(work) < len(indexes):
            return []
        vacant = _placement.find_vacant(workers)
        placements = _placement.place_step(
            work,
            self._permitted(work, vacant, now_s),
            now_s,
            len(indexes),
            indexes,
        )
        used = {p.worker.key: p.worker for p in placements}
        for placement in placements:
            needed_s = _isolation.step_isolation_s(work, placement.index)
            key = self._reserve(work, placement, batch, now_s, needed_s)
            self._core.log_decision(
                'task_isolated',
                run=key.name,
                life=placement.worker.key,
                isolated_s=needed_s,
            )
        if not used:
            kept = _placement.find_soonest_vacant(workers, work.step)
            if kept is not None:
                used[kept.key] = kept
        workers[:] = [w for w in workers if w.key not in used]
        return list(used.values())

    def _place_apart(
        self,
        work: StepWork,
        workers: list[WorkerView],
        indexes: list[int],
        batch: '_Batch',
        now_s: float,
    ) -> list[int]:
        """Start a step's suspects on two vacant workers.

        The first has a worker of its own. The others share one, so that a
        step whose tasks all crash their workers takes no more than two.

        Returns:
            Those that found no room there.
        """
        left = []
        for group in (indexes[:1], indexes[1:]):
            placements = []
            if group:
                vacant = _placement.find_vacant(workers)
                placements = _placement.place_step(
                    work,
                    self._permitted(work, vacant, now_s),
                    now_s,
                    min(self._count_startable(work), len(group)),
                    group,
                )
            for placement in placements:
                self._reserve(work, placement, batch, now_s)
            placed = {placement.index for placement in placements}
            left += [index for index in group if index not in placed]
        return left

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

    def _count_startable(self, work: StepWork) -> int:
        """Return how many waiting tasks their customer's limit lets start."""
        waiting = len(work.waiting)
        limits, customer = self._core.limits, work.job.customer
        startable = limits.count_startable(customer, work.step, waiting)
        if startable < waiting:
            limits.note_held(customer, waiting - startable)
        return startable

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
        placement: _placement.Placement,
        batch: '_Batch',
        now_s: float,
        isolated_s: float = 0.0,
    ) -> state.RunKey:
        """Reserve a placement's room, and add its run to the batch."""
        job = work.job
        task_key = f'{work.step_key}.{placement.index}'
        run_number = _next_run_number(work, placement.index)
        key = state.RunKey(job.spec.job_id, task_key, run_number)
        self._core.index.mark_proposed(key)
        placement.worker.add_run(
            RunView(
                key,
                work.step,
                RunPhase.ORDERED,
                now_s,
                customer=job.customer,
                isolated_s=isolated_s,
            )
        )
        batch.runs.append(key)
        batch.life_keys.append(placement.worker.key)
        return key


def _next_run_number(work: StepWork, index: int) -> int:
    """Return the task's next run number; a gang's tasks share one."""
    indexes = [index]
    if work.step.is_gang:
        indexes = list(range(work.step.task_count))
    runs = [0]
    for member in indexes:
        task = work.job.tasks.get(f'{work.step_key}.{member}')
        if task is not None:
            runs.append(task.run)
    return max(runs) + 1
