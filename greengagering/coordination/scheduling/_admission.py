"""Refuses jobs beyond a customer's rate whose turn comes too late."""

import bisect
from collections.abc import Iterable
import dataclasses
import hashlib
import itertools
import math

from greengagering.coordination.jobs import CHAIN_TIME_FACTOR
from greengagering.coordination.jobs import find_chain_s
from greengagering.coordination.jobs import find_objective_s
from greengagering.coordination.jobs import StepWork
from greengagering.coordination.jobs import WORTHLESS_RATIO
from greengagering.coordination.scheduling._shares import JobRates
from greengagering.coordination.workers import WorkerView
from greengagering import state

MIN_RETRY_S = 1.0
"""Shortest Retry-After; a shorter one costs calls and frees no room."""

MAX_RETRY_S = 30.0
"""Longest Retry-After; a backlog that takes longer can't be foreseen, and a
caller that is told more goes away."""

RETURN_SHARE = 0.5
"""Part of a customer's weight at which its refused callers come back; the rest
is for its new jobs, which would be beyond the rate otherwise."""

RETRY_SPREAD = 0.5
"""Part of the longest Retry-After over which callers that get about that much
are spread, by the job's id, so that they don't come back together."""


class PoolBacklog:
    """Work that waits in a pool, and what the pool has for it.

    Attributes:
        cores: cores of the pool's workers, and those that the workers of
            other pools have free, as their machines may move.
        memory_mb: memory of these.
    """

    def __init__(self, cores: float = 0.0, memory_mb: float = 0.0) -> None:
        self.cores = cores
        self.memory_mb = memory_mb
        self._within_s = 0.0
        self._beyond: list[tuple[float, float]] = []
        self._starts: list[float] = []
        self._sums_s: list[float] = []

    def add_within(self, core_s: float, memory_mb_s: float) -> None:
        """Add work within its customers' rates."""
        self._within_s += self._time(core_s, memory_mb_s)

    def add_beyond(
        self, core_s: float, memory_mb_s: float, latest_start_s: float
    ) -> None:
        """Add work beyond them, with the latest start that is in time."""
        time_s = self._time(core_s, memory_mb_s)
        self._beyond.append((latest_start_s, time_s))

    def sum_up(self) -> None:
        """Prepare find_wait_s after all work was added."""
        self._beyond.sort()
        self._starts = [start_s for start_s, _ in self._beyond]
        self._sums_s = list(
            itertools.accumulate((time_s for _, time_s in self._beyond))
        )

    def find_wait_s(self, latest_start_s: float) -> float:
        """Return the least time until a job beyond its rate has its turn."""
        count = bisect.bisect(self._starts, latest_start_s)
        beyond_s = self._sums_s[count - 1] if count else 0.0
        return self._within_s + beyond_s

    def _time(self, core_s: float, memory_mb_s: float) -> float:
        if not self.cores or not self.memory_mb:
            return math.inf
        return max(core_s / self.cores, memory_mb_s / self.memory_mb)


def measure_backlogs(
    works: Iterable[tuple[StepWork, str]],
    usable: dict[str, list[WorkerView]],
    rates: JobRates,
    now_s: float,
) -> dict[str, PoolBacklog]:
    """Return what waits in each pool.

    Args:
        works: steps with waiting tasks, and their pools.
        usable: usable workers by pool.
        rates: marks of jobs; of those beyond their rates, late ones wait
            behind a new job.
        now_s: the leader's clock.
    """
    backlogs = {service: PoolBacklog() for service in usable}
    free_cpu = free_memory = 0
    for service, workers in usable.items():
        backlog = backlogs[service]
        for worker in workers:
            free_cpu += worker.free_cpu
            free_memory += worker.free_memory
            room = worker.room
            backlog.cores += (room.cpu_millicores - worker.free_cpu) / 1000
            backlog.memory_mb += room.memory_mb - worker.free_memory
    for backlog in backlogs.values():
        backlog.cores += free_cpu / 1000
        backlog.memory_mb += free_memory
    for work, service in works:
        pool = backlogs.get(service)
        if pool is None or not work.waiting or work.step.is_lasting:
            continue
        if now_s >= work.worthless_at_s:
            continue
        room = work.step.room
        run_s = work.step.estimate_s * len(work.waiting)
        core_s = room.cpu_millicores / 1000 * run_s
        if not rates.is_beyond(work.job.spec.job_id):
            pool.add_within(core_s, room.memory_mb * run_s)
        elif not work.is_late(now_s):
            latest_start_s = work.objective_end_s - work.remaining_s
            pool.add_beyond(core_s, room.memory_mb * run_s, latest_start_s)
    for backlog in backlogs.values():
        backlog.sum_up()
    return backlogs


@dataclasses.dataclass(frozen=True, slots=True)
class RateRefusal:
    """Why a job is refused, and when to submit it again.

    Attributes:
        customer: its customer.
        weight: the customer's weight, in jobs a second.
        rate: jobs a second that the customer submits beyond its weight.
        backlog_s: estimated time until the job's turn.
        worthless_s: time after which the job is worth nothing.
        retry_after_s: time after which to submit it again.
    """

    customer: str
    weight: float
    rate: float
    backlog_s: float
    worthless_s: float
    retry_after_s: float


@dataclasses.dataclass(slots=True)
class _Returns:
    """Refused jobs of a customer that may come back.

    Attributes:
        jobs: their number, less those that should have come back since.
        rate: jobs refused a second, smoothed over RATE_WINDOW_S.
        at_s: when these were last updated.
    """

    jobs: float = 0.0
    rate: float = 0.0
    at_s: float = 0.0


RATE_WINDOW_S = 2.0
"""Smoothing time of the rate of refusals, which operators see."""


class Admission:
    """Decides about jobs that are beyond their customers' rates.

    It remembers refused jobs as a count that falls at the rate at which the
    customer's callers are told to come back.
    """

    def __init__(self) -> None:
        self.backlogs: dict[str, PoolBacklog] = {}
        self.refused_counts: dict[str, int] = {}
        self._returns: dict[str, _Returns] = {}

    def judge(
        self,
        job: state.Job,
        weight: float,
        service: str,
        now_s: float,
    ) -> RateRefusal | None:
        """Decide about a job beyond its customer's rate.

        Args:
            job: the job, not stored yet.
            weight: its customer's weight.
            service: the pool that would run it.
            now_s: the leader's clock.

        Returns:
            A refusal if the job's turn can't come while it is worth anything.
        """
        objective_s = find_objective_s(job)
        chain_s = find_chain_s(job.spec)
        worthless_s = WORTHLESS_RATIO * objective_s
        backlog = self.backlogs.get(service, PoolBacklog())
        wait_s = backlog.find_wait_s(now_s + objective_s - chain_s)
        if wait_s + CHAIN_TIME_FACTOR * chain_s <= worthless_s:
            return None
        returns = self._update(job.customer, weight, now_s)
        drained_s = wait_s + CHAIN_TIME_FACTOR * chain_s - objective_s
        retry_s = _find_retry_s(
            max(drained_s, MIN_RETRY_S), returns, weight, job.spec.job_id
        )
        returns.jobs += 1
        returns.rate += 1 / RATE_WINDOW_S
        self.refused_counts[job.customer] = (
            self.refused_counts.get(job.customer, 0) + 1
        )
        return RateRefusal(
            job.customer,
            weight,
            returns.rate,
            wait_s,
            worthless_s,
            retry_s,
        )

    def _update(self, customer: str, weight: float, now_s: float) -> _Returns:
        returns = self._returns.setdefault(customer, _Returns(at_s=now_s))
        elapsed_s = max(now_s - returns.at_s, 0.0)
        returned = elapsed_s * weight * RETURN_SHARE
        returns.jobs = max(returns.jobs - returned, 0.0)
        returns.rate *= math.exp(-elapsed_s / RATE_WINDOW_S)
        returns.at_s = now_s
        return returns


def _find_retry_s(
    drained_s: float, returns: _Returns, weight: float, job_id: str
) -> float:
    """Return when to submit a refused job again.

    Its turn is after the backlog and after those that were refused before it.
    """
    spread = _spread(job_id)
    retry_s = drained_s + (returns.jobs + spread) / (weight * RETURN_SHARE)
    if retry_s > MAX_RETRY_S:
        return MAX_RETRY_S * (1 - RETRY_SPREAD * spread)
    return retry_s


def _spread(job_id: str) -> float:
    """Return a number from 0 to 1 that depends only on the job's id."""
    digest = hashlib.blake2b(job_id.encode(), digest_size=4).digest()
    return int.from_bytes(digest, 'big') / 0xFFFFFFFF
