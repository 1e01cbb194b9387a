"""Runs many schedules of a fault search in several processes."""

from collections.abc import Callable
import concurrent.futures
import dataclasses
import functools
import sys
import traceback
from typing import Any, TypeVar

import fire

from features.search import control_search
from features.search import job_search
from features.search import late_start_search
from features.search import leave_search
from features.search import machine_search
from features.search import recut_search
from features.search import replica_search
from features.search import reply_search
from features.search import restart_search

PROCESSES = 4

Result = TypeVar('Result')


@dataclasses.dataclass(frozen=True)
class SeedFailure:
    """A seed whose schedule failed."""

    seed: int
    message: str


def catch_failure(
    run_seed: Callable[[int], Result],
) -> Callable[[int], Result | SeedFailure]:
    """Make a function that runs a schedule return its failure."""

    @functools.wraps(run_seed)
    def run(seed: int) -> Result | SeedFailure:
        try:
            return run_seed(seed)
        except Exception as error:
            lines = traceback.format_exception(error)[-3:]
            return SeedFailure(seed, ''.join(lines))

    return run


@catch_failure
def run_replica_seed(seed: int) -> replica_search.SearchResult:
    """Run one schedule over the consensus of control replicas."""
    return replica_search.ReplicaSearch(seed).run()


@catch_failure
def run_syncing_seed(seed: int) -> replica_search.SearchResult:
    """Run one schedule over the consensus with background syncs."""
    return replica_search.ReplicaSearch(seed, syncs_in_background=True).run()


@catch_failure
def run_control_seed(seed: int) -> control_search.ControlResult:
    """Run one schedule over tickets, leases and waves."""
    return control_search.ControlSearch(seed).run()


@catch_failure
def run_job_seed(seed: int) -> job_search.JobResult:
    """Run one schedule over jobs, runs and worker leases."""
    return job_search.JobSearch(seed).run()


@catch_failure
def run_agent_seed(seed: int) -> job_search.JobResult:
    """Run one schedule over jobs whose orders go through agents."""
    return job_search.JobSearch(seed, has_agents=True).run()


@catch_failure
def run_limit_seed(seed: int) -> job_search.JobResult:
    """Run one schedule over jobs of customers whose limits change."""
    return job_search.JobSearch(
        seed, has_agents=seed % 2 == 1, has_customers=True
    ).run()


@catch_failure
def run_crash_seed(seed: int) -> job_search.JobResult:
    """Run one schedule with tasks that crash workers, and changing rooms."""
    return job_search.JobSearch(
        seed, has_agents=seed % 2 == 1, has_deadly_tasks=True
    ).run()


@catch_failure
def run_machine_seed(seed: int) -> job_search.JobResult:
    """Run one schedule over machines that move and go down."""
    return machine_search.MachineSearch(seed).run()


@catch_failure
def run_sending_seed(seed: int) -> job_search.JobResult:
    """Run one schedule with broken connections and refused repetitions."""
    return job_search.JobSearch(
        seed, has_agents=seed % 2 == 1, breaks_connections=True
    ).run()


@catch_failure
def run_leave_seed(seed: int) -> job_search.JobResult:
    """Run one schedule over workers that drain, leave and come back."""
    return leave_search.LeaveSearch(seed).run()


@catch_failure
def run_restart_seed(seed: int) -> job_search.JobResult:
    """Run one schedule over workers that often restart at once."""
    return restart_search.RestartSearch(seed).run()


@catch_failure
def run_late_start_seed(seed: int) -> late_start_search.LateStartResult:
    """Run one schedule over starts that are late, through several agents."""
    return late_start_search.LateStartSearch(seed).run()


@catch_failure
def run_recut_seed(seed: int) -> recut_search.RecutResult:
    """Run one schedule over workers that restart and are cut off."""
    search = recut_search.RecutSearch(seed)
    search.run()
    return search.result


@catch_failure
def run_reply_seed(seed: int) -> reply_search.ReplyResult:
    """Run one schedule over entries' job calls and their answers."""
    return reply_search.ReplySearch(seed).run()


SEARCHES: dict[str, Any] = {
    'replica': run_replica_seed,
    'syncing': run_syncing_seed,
    'control': run_control_seed,
    'job': run_job_seed,
    'agent': run_agent_seed,
    'limit': run_limit_seed,
    'crash': run_crash_seed,
    'machine': run_machine_seed,
    'sending': run_sending_seed,
    'leave': run_leave_seed,
    'restart': run_restart_seed,
    'late_start': run_late_start_seed,
    'recut': run_recut_seed,
    'reply': run_reply_seed,
}
TOTALS: dict[str, Any] = {
    'replica': replica_search.SearchResult,
    'syncing': replica_search.SearchResult,
    'control': control_search.ControlResult,
    'job': job_search.JobResult,
    'agent': job_search.JobResult,
    'limit': job_search.JobResult,
    'crash': job_search.JobResult,
    'machine': job_search.JobResult,
    'sending': job_search.JobResult,
    'leave': job_search.JobResult,
    'restart': job_search.JobResult,
    'late_start': late_start_search.LateStartResult,
    'recut': recut_search.RecutResult,
    'reply': reply_search.ReplyResult,
}


def run_search(
    name: str, first_seed: int, count: int
) -> tuple[Any, list[SeedFailure]]:
    """Run consecutive seeds of a search.

    Returns:
        The summed counts and the seeds that failed.
    """
    total = TOTALS[name]()
    failures = []
    seeds = range(first_seed, first_seed + count)
    with concurrent.futures.ProcessPoolExecutor(PROCESSES) as pool:
        for outcome in pool.map(SEARCHES[name], seeds, chunksize=4):
            if isinstance(outcome, SeedFailure):
                failures.append(outcome)
            else:
                total.add(outcome)
    return total, failures


def search(name: str, first_seed: int = 0, count: int = 2000) -> None:
    """Run a search and print its counts and failures.

    Args:
        name: replica, syncing, control, job, agent, limit, crash, machine,
            sending, leave, restart, late_start, recut or reply.
        first_seed: first seed.
        count: number of schedules.
    """
    total, failures = run_search(name, first_seed, count)
    print(f'{name}: seeds {first_seed} to {first_seed + count - 1}: {total}')
    for failure in failures[:5]:
        print(f'seed {failure.seed}: {failure.message}')
    print(f'{count - len(failures)} passed, {len(failures)} failed')
    sys.exit(1 if failures else 0)


if __name__ == '__main__':
    fire.Fire(search)
