"""Decides whose jobs go first while room is short."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import itertools

from greengagering.coordination.jobs import StepWork
from greengagering.coordination.scheduling._placement import PoolRoom
from greengagering.coordination.workers import WorkerView
from greengagering import state

RATE_BURST_S = 1.0
"""Time over which a customer's jobs may bunch up and still be within its
rate. The weight is a number of jobs a second, so this is one second; a caller
that keeps to it sees each job served, whatever the calls' delays."""

MIN_BURST_JOBS = 1.0
"""Smallest number of jobs that may come at once; a customer whose weight is
below one still gets a job through."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Bucket:
    """Jobs that a customer may still submit within its rate.

    Attributes:
        jobs: number of jobs at at_ms.
        at_ms: when its newest job was accepted, by the wall clock.
    """

    jobs: float
    at_ms: int


class JobRates:
    """Marks each accepted job as within its customer's rate or beyond it.

    A customer may submit up to its weight of jobs a second. Marks depend on
    nothing but the committed jobs, their order and the plan's weights, so a
    new leader that replays the jobs it knows comes to the same marks. Lasting
    and scheduled jobs are neither counted nor marked.
    """

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}
        self._beyond: set[str] = set()

    def add(self, job: state.Job, weight: float | None) -> None:
        """Mark a job that was accepted after all others.

        Args:
            job: the job.
            weight: weight of its customer, None if the plan has none such.
        """
        if weight is None or not counts(job.spec):
            return
        left = self._count_left(job.customer, weight, job.accepted_at_ms)
        if left >= 1:
            left -= 1
        else:
            self._beyond.add(job.spec.job_id)
        # A new leader's clock may be behind; its times count from then on.
        self._buckets[job.customer] = _Bucket(left, job.accepted_at_ms)

    def forget(self, job_id: str) -> None:
        """Remove the mark of a job."""
        self._beyond.discard(job_id)

    def is_beyond(self, job_id: str) -> bool:
        """Tell whether a job is beyond its customer's rate."""
        return job_id in self._beyond

    def has_left(self, customer: str, weight: float, now_ms: int) -> bool:
        """Tell whether one more job is within a customer's rate."""
        return self._count_left(customer, weight, now_ms) >= 1

    def _count_left(self, customer: str, weight: float, now_ms: int) -> float:
        most = max(weight * RATE_BURST_S, MIN_BURST_JOBS)
        bucket = self._buckets.get(customer)
        if bucket is None:
            return most
        elapsed_s = max(now_ms - bucket.at_ms, 0) / 1000
        return min(bucket.jobs + elapsed_s * weight, most)


def counts(spec: state.JobSpec) -> bool:
    """Tell whether a job counts against its customer's rate."""
    if spec.first_due_ms:
        return False
    return not any(step.is_lasting for step in spec.steps)


class PoolUse:
    """Room that each customer's jobs have in use in one pool.

    Only what runs now counts: what a customer got before counts against it no
    longer than its tasks run, a few seconds. Its memory is the workers' runs,
    which a new leader knows as well.
    """

    def __init__(
        self,
        workers: Iterable[WorkerView],
        jobs: dict[str, state.Job],
    ) -> None:
        """Count the runs of a pool.

        Args:
            workers: usable workers of the pool.
            jobs: committed jobs by id.
        """
        self._cpu = self._memory = self._gpu = 0
        self._by_customer: dict[str, float] = {}
        self._by_job: dict[str, float] = {}
        # Counted by step first, as most tasks of a step run at once.
        counts: dict[tuple[str, int], int] = {}
        steps: dict[int, state.StepSpec] = {}
        for worker in workers:
            room = worker.room
            self._cpu += room.cpu_millicores
            self._memory += room.memory_mb
            self._gpu += room.gpu_count
            for run in worker.runs.values():
                key = (run.key.job_id, id(run.step))
                counts[key] = counts.get(key, 0) + 1
                steps[key[1]] = run.step
        for (job_id, step_id), count in counts.items():
            job, step = jobs.get(job_id), steps[step_id]
            # Lasting tasks never end, so they would count for ever.
            if job is not None and not step.is_lasting:
                self.add(job, step, count)

    def add(self, job: state.Job, step: state.StepSpec, count: int) -> None:
        """Add tasks of a job."""
        customer, job_id = job.customer, job.spec.job_id
        if not customer:
            return
        share = self._share_of(step) * count
        self._by_customer[customer] = self.of_customer(customer) + share
        self._by_job[job_id] = self._by_job.get(job_id, 0.0) + share

    def _share_of(self, step: state.StepSpec) -> float:
        """Return the largest share of the pool's room that a task takes."""
        cpu = 0 if step.fills else step.room.cpu_millicores
        return max(
            cpu / max(self._cpu, 1),
            step.room.memory_mb / max(self._memory, 1),
            step.room.gpu_count / max(self._gpu, 1),
        )

    def of_customer(self, customer: str) -> float:
        """Return the largest share of the pool's room that it has in use."""
        return self._by_customer.get(customer, 0.0)

    def of_others(self, customer: str, job_id: str) -> float:
        """Return the share that a customer's jobs but this one have."""
        return self.of_customer(customer) - self._by_job.get(job_id, 0.0)

    @property
    def customers(self) -> Iterable[str]:
        """Customers that have something running."""
        return self._by_customer


class ShareOrder:
    """Order in which waiting steps get room.

    Work within its customer's rate comes first, then that beyond it, which
    waits while any pool lacks room for the former; within these, higher
    priority, and work that can be in time. Among that, a customer whose other
    jobs have its share of the pool in use waits behind customers that have
    less; each gets a job through at any time, however large that is. A share
    is the customer's weight over the weights of all customers that have
    something running or waiting in the pool. Else the latest start that meets
    the objective decides.
    """

    def __init__(
        self,
        rates: JobRates,
        weights: dict[str, float],
        pools: dict[str, PoolRoom],
        jobs: dict[str, state.Job],
    ) -> None:
        """Create the order for one assignment of tasks.

        Args:
            rates: the marks of jobs.
            weights: weights of the plan's customers.
            pools: free room by pool.
            jobs: committed jobs by id.
        """
        self._rates = rates
        self._weights = weights
        self._pools = pools
        self._jobs = jobs
        self._uses: dict[str, PoolUse] = {}
        self._totals: dict[str, float] = {}

    def sort(
        self, works: list[tuple[StepWork, str]], now_s: float
    ) -> Iterator[tuple[StepWork, str]]:
        """Return waiting steps with their pools, the most urgent first.

        The caller places each step, and notes that, before it takes the next
        one.
        """
        ranked = [
            (self._rank(work, now_s), work, pool) for work, pool in works
        ]
        ranked.sort(key=lambda item: item[0])
        if self._weights:
            self._sum_weights(works)
        is_room_due: bool | None = None
        for _, group in itertools.groupby(ranked, lambda item: item[0][:-1]):
            deferred = []
            for _, work, pool in group:
                if self._is_beyond(work):
                    if is_room_due is None:
                        is_room_due = self._is_room_due(works, now_s)
                    if is_room_due:
                        continue
                if self._is_over_share(work, pool):
                    deferred.append((work, pool))
                else:
                    yield work, pool
            yield from deferred

    def _is_beyond(self, work: StepWork) -> bool:
        return self._rates.is_beyond(work.job.spec.job_id)

    def _is_room_due(
        self, works: list[tuple[StepWork, str]], now_s: float
    ) -> bool:
        """Tell whether any pool lacks room for work that is due and in time.

        Machines that have nothing to do may move to that pool. Tasks beyond
        a rate would keep them until they end.
        """
        for work, pool in works:
            room = self._pools.get(pool)
            if (
                room is not None
                and work.waiting
                and not work.step.is_lasting
                and not work.is_late(now_s)
                and not self._is_beyond(work)
                and not room.may_fit(work.step)
            ):
                return True
        return False

    def note_placed(self, work: StepWork, pool: str) -> None:
        """Count a task that got room."""
        use = self._uses.get(pool)
        if use is not None:
            use.add(work.job, work.step, 1)

    def _rank(self, work: StepWork, now_s: float) -> tuple[float, ...]:
        return rank(work, now_s, self._is_beyond(work))

    def _sum_weights(self, works: list[tuple[StepWork, str]]) -> None:
        waiting: dict[str, set[str]] = {}
        for work, pool in works:
            room = self._pools.get(pool)
            # The use of a full pool isn't counted, as nothing is placed.
            if room is not None and room.may_fit(work.step):
                waiting.setdefault(pool, set()).add(work.job.customer)
        for pool, names in waiting.items():
            if len(names) < 2:
                continue
            use = PoolUse(self._pools[pool].workers, self._jobs)
            self._uses[pool] = use
            names.update(use.customers)
            self._totals[pool] = sum(
                self._weights.get(name, 0.0) for name in names
            )

    def _is_over_share(self, work: StepWork, pool: str) -> bool:
        customer = work.job.customer
        weight = self._weights.get(customer)
        use = self._uses.get(pool)
        if weight is None or use is None or work.step.is_lasting:
            return False
        others = use.of_others(customer, work.job.spec.job_id)
        return others > weight / self._totals[pool]


@dataclasses.dataclass(slots=True)
class CustomerView:
    """What operators see of a customer.

    Attributes:
        name: its name.
        weight: its weight.
        share_due: its weight over the weights of all customers with work.
        waiting: number of its tasks that wait.
        waiting_beyond: number of these that are beyond its rate.
        oldest_wait_s: longest time that a step of it has waited.
        refused: number of its jobs that this leader has refused.
    """

    name: str
    weight: float
    share_due: float = 0.0
    waiting: int = 0
    waiting_beyond: int = 0
    oldest_wait_s: float = 0.0
    refused: int = 0


def describe_customers(
    works: Iterable[StepWork],
    rates: JobRates,
    weights: dict[str, float],
    refused_counts: dict[str, int],
    now_s: float,
) -> list[CustomerView]:
    """Return what operators see of each customer, in the plan's order.

    Args:
        works: ready steps.
        rates: marks of jobs.
        weights: weights of the plan's customers.
        refused_counts: refused jobs by customer.
        now_s: the leader's clock.
    """
    views = {
        name: CustomerView(name, weight, refused=refused_counts.get(name, 0))
        for name, weight in weights.items()
    }
    active: set[str] = set()
    for work in works:
        view = views.get(work.job.customer)
        if view is None:
            continue
        active.add(view.name)
        if not work.waiting:
            continue
        view.waiting += len(work.waiting)
        if rates.is_beyond(work.job.spec.job_id):
            view.waiting_beyond += len(work.waiting)
        waited_s = now_s - work.ready_since_s
        view.oldest_wait_s = max(view.oldest_wait_s, waited_s)
    total = sum(weights[name] for name in active)
    for name in active:
        views[name].share_due = weights[name] / total
    return list(views.values())


def rank(
    work: StepWork, now_s: float, is_beyond: bool = False
) -> tuple[float, ...]:
    """Return the sort key of a step; the lowest is the most urgent.

    Steps are ordered by the latest start that still meets the objective. A
    job that misses its objective anyway is worth little whenever it finishes,
    so it comes after those of its priority that can still meet theirs. One
    that has lost all its value comes last.
    """
    is_lasting = work.step.is_lasting
    return (
        now_s >= work.worthless_at_s and not is_lasting,
        is_beyond,
        work.job.queue.priority,
        work.is_late(now_s) and not is_lasting,
        work.objective_end_s - work.remaining_s,
    )
