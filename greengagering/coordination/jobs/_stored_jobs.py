"""Estimates the memory of stored jobs, and refuses those without room."""

from collections.abc import Mapping

from greengagering import state

JOB_BYTES = 1_500
ACTIVE_STEP_BYTES = 6_000
"""Memory of a step of an active job, with what the leader knows of it."""

STORED_STEP_BYTES = 500
"""Memory of a step of a job that has ended."""

EARLIER_STEP_BYTES = 36
"""Memory of an earlier step's number that a step names."""

TASK_BYTES = 400
LARGE_JOB_BYTES = 100_000
"""Size from which a job counts as large."""

SMALL_SHARE = 0.25
"""Share of the memory that large jobs leave to the others."""

RECOUNT_INTERVAL_S = 2.0
"""Time between two counts of all jobs; jobs that end in between count on."""


class StoredJobs:
    """Decides whether there is memory for another job.

    Every replica holds every job until some time after its end, so jobs that
    are accepted faster than they end would fill the memory of all of them.
    """

    def __init__(self, max_bytes: int) -> None:
        self.stored_bytes = 0
        self._max_bytes = max_bytes
        self._counted_at_s = float('-inf')

    def has_room(
        self, spec: state.JobSpec, jobs: Mapping[str, state.Job], now_s: float
    ) -> bool:
        """Return whether a job may be stored; one that is alone always may.

        Args:
            spec: the job.
            jobs: the jobs that are stored.
            now_s: steady time.
        """
        if now_s >= self._counted_at_s + RECOUNT_INTERVAL_S:
            self._counted_at_s = now_s
            self.stored_bytes = sum(map(_estimate_job, jobs.values()))
        wanted_bytes = estimate_spec(spec, is_active=True)
        limit = self._max_bytes
        if wanted_bytes >= LARGE_JOB_BYTES:
            limit = int(limit * (1 - SMALL_SHARE))
        return (
            not self.stored_bytes or self.stored_bytes + wanted_bytes <= limit
        )

    def add(self, spec: state.JobSpec) -> None:
        """Count a job that is about to be stored."""
        self.stored_bytes += estimate_spec(spec, is_active=True)


def estimate_spec(spec: state.JobSpec, *, is_active: bool) -> int:
    """Return the estimated memory of a job, in bytes."""
    step_bytes = ACTIVE_STEP_BYTES if is_active else STORED_STEP_BYTES
    return (
        JOB_BYTES
        + len(spec.text)
        + sum(
            step_bytes
            + EARLIER_STEP_BYTES * len(step.after)
            + TASK_BYTES * step.task_count
            for step in spec.steps
        )
    )


def _estimate_job(job: state.Job) -> int:
    is_active = job.status is state.JobStatus.ACTIVE
    return estimate_spec(job.spec, is_active=is_active)
