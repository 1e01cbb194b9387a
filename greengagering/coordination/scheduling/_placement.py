"""Chooses workers for the waiting tasks of one step."""

import dataclasses
import math

from greengagering.coordination.jobs import StepWork
from greengagering.coordination.workers import counted_cpu
from greengagering.coordination.workers import SLOW_RATIO
from greengagering.coordination.workers import WorkerView
from greengagering import state


LASTING_PER_WORKER = 3
"""Lasting tasks of one small step that are put on the same worker. A step of a
few tasks then uses two workers of an idle pool, and doesn't lose all of its
tasks with one of them."""

LASTING_SPREAD = 4
"""Workers over which a larger step of lasting tasks is spread, so that
the loss of one worker costs a quarter of them."""


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """A task's index and the worker chosen for it."""

    index: int
    worker: WorkerView


def place_step(
    work: StepWork,
    workers: list[WorkerView],
    now_s: float,
    startable: int,
    indexes: list[int],
    worker_limit: int | None = None,
) -> list[Placement]:
    """Choose workers for as many tasks as there is room for.

    Args:
        work: the step.
        workers: usable workers of the queue's service.
        now_s: the leader's clock.
        startable: largest number of tasks to place.
        indexes: tasks to place, those of a gang whole.
        worker_limit: largest number of workers to choose; None is no limit.

    Returns:
        Placements; for a gang those of all its tasks, or none. The caller
        reserves the room.
    """
    step = work.step
    labelled = _labelled(workers, step)
    has_healthy = any(
        not worker.is_failing and _is_large_enough(worker, step)
        for worker in labelled
    )
    # Not WorkerView.fits: this runs for each usable worker and waiting step.
    cpu, memory = counted_cpu(step), step.room.memory_mb
    gpu = step.room.gpu_count
    candidates = [
        worker
        for worker in labelled
        if cpu <= worker.free_cpu
        and memory <= worker.free_memory
        and gpu <= worker.free_gpu
    ]
    if has_healthy and any(worker.is_failing for worker in candidates):
        healthy = [w for w in candidates if not w.is_failing]
        is_needed = not _has_room_for(work, healthy)
        candidates = healthy + [
            w
            for w in candidates
            if w.is_failing and w.may_probe(now_s, is_needed=is_needed)
        ]
    if not candidates:
        return []
    step_room = _StepRoom(
        work, candidates, now_s, worker_limit, has_healthy=has_healthy
    )
    chosen: list[Placement] = []
    for index in indexes:
        if len(chosen) >= startable:
            break
        worker = step_room.choose(index)
        if worker is None:
            if step.is_gang:
                return []
            if not work.failed_at:
                break
            continue
        chosen.append(Placement(index, worker))
    if step.is_gang and len(chosen) < step.task_count:
        return []
    return chosen


class PoolRoom:
    """Usable workers of a service, and the largest free room of any worker.

    With that, most waiting steps are skipped in a full pool without a search
    of all workers.
    """

    def __init__(self, workers: list[WorkerView]) -> None:
        self.workers = workers
        self.measure()

    def measure(self) -> None:
        """Update the largest free room after runs were added."""
        self._cpu = max(w.free_cpu for w in self.workers)
        self._memory = max(w.free_memory for w in self.workers)
        self._gpu = max(w.free_gpu for w in self.workers)

    def may_fit(self, step: state.StepSpec) -> bool:
        """Tell whether a task may fit; False if it fits on no worker."""
        return (
            counted_cpu(step) <= self._cpu
            and step.room.memory_mb <= self._memory
            and step.room.gpu_count <= self._gpu
        )


def _labelled(
    workers: list[WorkerView], step: state.StepSpec
) -> list[WorkerView]:
    """Return the workers that have the label that a step requires."""
    if not step.required_label:
        return workers
    return [w for w in workers if step.required_label in w.facts.labels]


def _has_room_for(work: StepWork, workers: list[WorkerView]) -> bool:
    """Tell whether a task, or a gang, can start on some of the workers now."""
    if not work.step.is_gang:
        return any(can_start(work, worker) for worker in workers)
    room = sum(_count_places(work.step, worker) for worker in workers)
    return room >= work.step.task_count


def _count_places(step: state.StepSpec, worker: WorkerView) -> int:
    """Return how many tasks of a step that isn't there fit a worker now."""
    count = step.max_per_worker or step.task_count
    for free, needed in (
        (worker.free_cpu, counted_cpu(step)),
        (worker.free_memory, step.room.memory_mb),
        (worker.free_gpu, step.room.gpu_count),
    ):
        if needed:
            count = min(count, max(free, 0) // needed)
    return count


def _is_large_enough(worker: WorkerView, step: state.StepSpec) -> bool:
    """Tell whether a task fits a worker on which nothing else runs."""
    room = worker.room
    return (
        counted_cpu(step) <= room.cpu_millicores
        and step.room.memory_mb <= room.memory_mb
        and step.room.gpu_count <= room.gpu_count
    )


def find_suitable(
    step: state.StepSpec, workers: list[WorkerView]
) -> list[WorkerView]:
    """Return the workers that can run a task of a step if they are empty."""
    return [w for w in _labelled(workers, step) if _is_large_enough(w, step)]


class VacantWorkers:
    """Usable workers without a run that would be suspected of a crash.

    Each pool is searched once in a plan, and only if that is needed.
    """

    def __init__(self, usable: dict[str, list[WorkerView]]) -> None:
        self._usable = usable
        self._by_pool: dict[str, dict[str, WorkerView]] = {}

    def in_pool(self, service: str) -> list[WorkerView]:
        """Return the vacant workers of a pool that are left."""
        vacant = self._by_pool.get(service)
        if vacant is None:
            vacant = self._by_pool[service] = {
                worker.key: worker
                for worker in self._usable.get(service, ())
                if worker.is_vacant
            }
        return list(vacant.values())

    def remove(self, worker: WorkerView) -> None:
        """Remove a worker that gets a run, or is kept for one."""
        self._by_pool.get(worker.facts.service, {}).pop(worker.key, None)


def find_soonest_vacant(
    work: StepWork, workers: list[WorkerView]
) -> WorkerView | None:
    """Return the worker to keep vacant until a task of a step can start there.

    It is the one that may be vacant first, of those that have room for a task
    once all runs but the lasting ones have ended.
    """
    return min(
        (w for w in _labelled(workers, work.step) if _may_start(work, w)),
        key=lambda worker: (worker.is_failing, len(worker.unsettled_runs())),
        default=None,
    )


def _may_start(work: StepWork, worker: WorkerView) -> bool:
    """Tell whether a task fits beside the lasting runs of a worker."""
    step = work.step
    lasting = [run.step for run in worker.runs.values() if run.step.is_lasting]
    room = worker.room
    if (
        counted_cpu(step) + sum(map(counted_cpu, lasting))
        > room.cpu_millicores
        or step.room.memory_mb + sum(s.room.memory_mb for s in lasting)
        > room.memory_mb
        or step.room.gpu_count + sum(s.room.gpu_count for s in lasting)
        > room.gpu_count
    ):
        return False
    # The limit counts lasting tasks; the others end.
    return not step.is_lasting or _is_within_limit(work, worker)


def has_place(work: StepWork, workers: list[WorkerView]) -> bool:
    """Tell whether any of the workers can take one more task of a step."""
    return any(
        can_start(work, worker) for worker in _labelled(workers, work.step)
    )


def can_start(work: StepWork, worker: WorkerView) -> bool:
    """Tell whether a worker has room for one more task of a step.

    Whether it has the label that the step requires isn't looked at.
    """
    return worker.fits(work.step) and _is_within_limit(work, worker)


def _is_within_limit(work: StepWork, worker: WorkerView) -> bool:
    """Tell whether a step's tasks per worker allow one more on a worker."""
    limit = work.step.max_per_worker
    if not limit:
        return True
    job_id = work.job.spec.job_id
    return worker.count_runs_of_step(job_id, work.step_key) < limit


class _StepRoom:
    """Free room of candidates, less what this step's placements use."""

    def __init__(
        self,
        work: StepWork,
        workers: list[WorkerView],
        now_s: float,
        worker_limit: int | None,
        *,
        has_healthy: bool,
    ) -> None:
        self._work = work
        self._now_s = now_s
        self._step = work.step
        self._worker_limit = worker_limit
        self._placed_counts: dict[str, int] = {}
        self._workers = workers
        self._has_healthy = has_healthy
        self._rack_counts: dict[str, int] = {}
        self._run_counts: dict[str, int] = {}
        step = self._step
        self._lasting_share = max(
            LASTING_PER_WORKER, math.ceil(step.task_count / LASTING_SPREAD)
        )
        if step.max_per_worker or step.is_lasting or step.is_rack_local:
            for worker in workers:
                count = worker.count_runs_of_step(
                    work.job.spec.job_id, work.step_key
                )
                if count:
                    self._run_counts[worker.key] = count
                    rack = worker.facts.rack
                    self._rack_counts[rack] = (
                        self._rack_counts.get(rack, 0) + count
                    )
        self._by_rank: list[WorkerView] | None = None
        if not (step.is_lasting or step.is_rack_local or work.failed_at):
            # The worker with the least room is the best, so one that was
            # chosen stays the best until it is full.
            self._by_rank = sorted(
                workers, key=self._rank_unplaced, reverse=True
            )

    def choose(self, index: int) -> WorkerView | None:
        """Reserve room for a task on the best worker, and return that."""
        if self._by_rank is None:
            return self._choose_among_all(index)
        while self._by_rank:
            worker = self._by_rank[-1]
            if self._has_room(worker):
                self._reserve(worker)
                return worker
            self._by_rank.pop()
        return None

    def _choose_among_all(self, index: int) -> WorkerView | None:
        avoided = self._work.failed_at.get(index, ())
        best: WorkerView | None = None
        best_rank: tuple[float, ...] = ()
        for worker in self._workers:
            if not self._has_room(worker):
                continue
            if avoided and self._may_fail_again(worker):
                continue
            rank = self._rank(worker, worker.key in avoided)
            if best is None or rank < best_rank:
                best, best_rank = worker, rank
        if best is not None:
            self._reserve(best)
        return best

    def _may_fail_again(self, worker: WorkerView) -> bool:
        """Tell whether a task that has failed is not to be tried there yet.

        Its attempts are limited, so others are tried on the worker first.
        """
        is_probe = worker.is_failing and self._has_healthy
        return is_probe and not worker.is_calm(self._now_s)

    def _has_room(self, worker: WorkerView) -> bool:
        step = self._step
        task_count = self._placed_counts.get(worker.key, 0) + 1
        if (
            task_count == 1
            and self._worker_limit is not None
            and len(self._placed_counts) >= self._worker_limit
        ):
            return False
        is_single = worker.is_failing and self._has_healthy
        # The tasks of a gang start and fail together, as one probe.
        if is_single and task_count > 1 and not step.is_gang:
            return False
        if not worker.fits(step, task_count):
            return False
        if not step.max_per_worker:
            return True
        return self._run_counts.get(worker.key, 0) < step.max_per_worker

    def _rank(self, worker: WorkerView, is_avoided: bool) -> tuple[float, ...]:
        """Return the sort key of a worker; the lowest is the best.

        Lasting tasks avoid workers that a wave will take down, and share the
        others, a few of a step on each, so that most workers can leave the
        pool when it has little work. Other tasks go where the least room is
        left, which keeps large free rooms for large tasks.
        """
        step = self._step
        doubt_count, is_off_data_rack, room = self._rank_unplaced(worker)
        rack = worker.facts.rack
        room -= step.room.cpu_millicores * self._placed_counts.get(
            worker.key, 0
        )
        if step.is_lasting:
            return (
                is_avoided,
                doubt_count,
                is_off_data_rack,
                worker.is_upkeep_due,
                self._run_counts.get(worker.key, 0) >= self._lasting_share,
                not self._hosts_lasting(worker),
                self._rack_counts.get(rack, 0),
                room,
            )
        rack_rank = 0
        if step.is_rack_local:
            rack_rank = -self._rack_counts.get(rack, 0)
        return (is_avoided, doubt_count, is_off_data_rack, rack_rank, room)

    def _rank_unplaced(self, worker: WorkerView) -> tuple[int, bool, int]:
        """Return what differs in _rank while nothing is placed.

        These are doubts, whether it is off the data's rack, and free room.
        """
        data_rack = self._step.data_rack
        return (
            worker.failure_streak + (worker.slowness >= SLOW_RATIO),
            bool(data_rack) and worker.facts.rack != data_rack,
            worker.free_cpu,
        )

    def _hosts_lasting(self, worker: WorkerView) -> bool:
        return worker.hosts_lasting or bool(
            self._placed_counts.get(worker.key)
        )

    def _reserve(self, worker: WorkerView) -> None:
        key, rack = worker.key, worker.facts.rack
        self._placed_counts[key] = self._placed_counts.get(key, 0) + 1
        self._run_counts[key] = self._run_counts.get(key, 0) + 1
        self._rack_counts[rack] = self._rack_counts.get(rack, 0) + 1
