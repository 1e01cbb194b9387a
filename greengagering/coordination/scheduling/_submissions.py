"""What the leader decides about jobs that customers submit."""

from greengagering.coordination.scheduling._admission import RateRefusal
from greengagering.coordination.scheduling._leader_core import LeaderCore
from greengagering.coordination.scheduling import _shares
from greengagering import state


class Submissions:
    """Judges and marks customers' jobs by the rates that are owed to them."""

    def __init__(self, core: LeaderCore) -> None:
        self._core = core

    def judge(
        self,
        spec: state.JobSpec,
        queue: state.Queue,
        customer: str,
        now_s: float,
        now_ms: int,
    ) -> RateRefusal | None:
        """Decide whether to accept a job that isn't stored yet.

        Args:
            spec: the job.
            queue: its queue.
            customer: name of its customer, or ''.
            now_s: the leader's clock.
            now_ms: wall-clock time.

        Returns:
            A refusal if the job is beyond its customer's rate and its turn
            can't come while it is worth anything.
        """
        weight = self._core.weights.get(customer)
        if weight is None or not _shares.counts(spec):
            return None
        if self._core.job_rates.has_left(customer, weight, now_ms):
            return None
        job = state.Job(spec, queue, now_ms, customer=customer)
        refusal = self._core.admission.judge(
            job, weight, self._core.service_of(job), now_s
        )
        if refusal is not None:
            self._core.log_decision(
                'job_refused',
                job=spec.job_id,
                customer=customer,
                weight=weight,
                refused_per_s=round(refusal.rate, 2),
                backlog_s=round(refusal.backlog_s, 2),
                worthless_s=round(refusal.worthless_s, 2),
                retry_after_s=round(refusal.retry_after_s, 2),
            )
        return refusal

    def replay(self) -> None:
        """Mark the committed jobs in the order of the log, as a new leader."""
        for job in self._core.jobs.jobs.values():
            self._mark(job)

    def note_accepted(self, job: state.Job) -> None:
        """Mark a job that was just committed."""
        self._mark(job)
        if self.is_beyond(job):
            self._core.log_decision(
                'job_beyond_rate',
                job=job.spec.job_id,
                customer=job.customer,
                weight=self._core.weights[job.customer],
            )

    def is_beyond(self, job: state.Job) -> bool:
        """Tell whether a job is beyond its customer's rate."""
        return self._core.job_rates.is_beyond(job.spec.job_id)

    def forget(self, job_id: str) -> None:
        """Remove the mark of a job that is finished."""
        self._core.job_rates.forget(job_id)

    def describe_customers(self, now_s: float) -> list[_shares.CustomerView]:
        """Return what operators see of each customer, in the plan's order."""
        works = (
            work
            for steps in self._core.index.steps.values()
            for work in steps.values()
        )
        return _shares.describe_customers(
            works,
            self._core.job_rates,
            self._core.weights,
            self._core.admission.refused_counts,
            now_s,
        )

    def _mark(self, job: state.Job) -> None:
        weight = self._core.weights.get(job.customer)
        self._core.job_rates.add(job, weight)
