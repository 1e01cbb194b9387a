"""Handles callers' calls about jobs at the leader."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

from result import Err
from result import Result

from greengagering import clock
from greengagering import coordination
from greengagering.coordination import errors as coordination_errors
from greengagering import logs
from greengagering import state
from greengagering.transport import _metrics

RETRY_AFTER_S = 0.5
"""Time after which a caller may retry while no plan is accepted yet, or if its
entry doesn't pass keys on: a retry reaches another entry."""

STORE_RETRY_AFTER_S = 2.0
"""Time after which a caller may retry for whose job there is no memory."""

DEFAULT_MAX_STORED_BYTES = 128 * 2**20

CommitResult = Result[None, coordination_errors.CoordinationError]
Commit = Callable[[state.JobRecord], Awaitable[CommitResult]]


@dataclasses.dataclass(frozen=True, slots=True)
class _Submission:
    """A job whose record is not committed yet.

    Attributes:
        customer: the customer that hands it in.
        task: commits it; its result is None if the plan changed before the
            record was proposed.
    """

    customer: str
    task: asyncio.Task[CommitResult | None]


class JobCallHandler:
    """Reads and changes jobs; a change is committed before it is answered."""

    def __init__(
        self,
        core: coordination.ControlCore,
        commit: Commit,
        now_ms: Callable[[], int],
        metrics: _metrics.ControlMetrics,
        is_plan_fully_read: Callable[[], bool] = lambda: True,
        max_stored_bytes: int = DEFAULT_MAX_STORED_BYTES,
    ) -> None:
        self._core = core
        self._commit = commit
        self._now_ms = now_ms
        self._metrics = metrics
        self._is_plan_fully_read = is_plan_fully_read
        self._customers = coordination.CustomerTable()
        self._submitting: dict[str, _Submission] = {}
        self._stored = coordination.StoredJobs(max_stored_bytes)

    async def answer(
        self, call: coordination.JobCall
    ) -> coordination.JobAnswer:
        """Handle a call; the replica must have the leader's lease."""
        started_s = clock.steady_s()
        answer = await self._answer(call)
        if call.kind is coordination.CallKind.SUBMIT:
            self._metrics.jobs.inc({'outcome': answer.label})
            waited_s = clock.steady_s() - started_s
            self._metrics.accept_seconds.observe({}, waited_s)
        return answer

    async def _answer(
        self, call: coordination.JobCall
    ) -> coordination.JobAnswer:
        outcomes = coordination.JobOutcome
        jobs = self._core.state.jobs
        if jobs.plan is None:
            return coordination.JobAnswer(
                call.call_id,
                outcomes.OVERLOADED,
                retry_after_s=RETRY_AFTER_S,
                detail='no plan has been accepted yet',
            )
        if not self._is_plan_fully_read():
            # The entry sends the call again until its deadline.
            return _unavailable(call)
        routed = coordination.find_queue(jobs.plan, call.host, call.path)
        if routed is None:
            return coordination.JobAnswer(call.call_id, outcomes.NO_QUEUE)
        customer = self._customers.find_customer(
            jobs.plan, routed.queue, call.key_digest
        )
        if customer is None:
            return self._refuse_key(call, routed)
        match call.kind:
            case coordination.CallKind.COUNT:
                return coordination.JobAnswer(
                    call.call_id,
                    outcomes.DONE,
                    pending_count=self._core.jobs.count_pending(routed.queue),
                )
            case coordination.CallKind.SUBMIT:
                return await self._submit(call, routed, customer)
            case coordination.CallKind.CANCEL:
                return await self._cancel(call, routed, customer)
            case _:
                return self._show(call, routed, customer)

    async def _submit(
        self,
        call: coordination.JobCall,
        routed: coordination.RoutedPath,
        customer: str,
    ) -> coordination.JobAnswer:
        spec = call.spec
        assert spec is not None
        job = self._core.state.jobs.jobs.get(spec.job_id)
        if job is not None:
            # The job is stored already; a repeated submission has no effect.
            refusal = self._check_owner(call, routed, job.customer, customer)
            return refusal or _done(call)
        submission = self._submitting.get(spec.job_id)
        if submission is None:
            refusal = self._find_excess(call, customer) or self._judge_rate(
                call, spec, routed.queue, customer
            )
            refusal = refusal or self._find_memory_refusal(call, spec)
            if refusal is not None:
                return refusal
            self._stored.add(spec)
            submission = self._start_submission(spec, routed.queue, customer)
        else:
            owner = submission.customer
            refusal = self._check_owner(call, routed, owner, customer)
            if refusal is not None:
                return refusal
        result = await asyncio.shield(submission.task)
        if result is None:
            return await self._answer(call)
        if isinstance(result, Err):
            return _unavailable(call)
        fields = {'customer': customer} if customer else {}
        logs.info(
            'job_accepted',
            job=spec.job_id,
            queue=routed.queue.name,
            steps=len(spec.steps),
            tasks=sum(step.task_count for step in spec.steps),
            lasting=sum(s.task_count for s in spec.steps if s.is_lasting),
            filling=sum(s.task_count for s in spec.steps if s.fills),
            occurrences=spec.occurrence_count,
            text_bytes=len(spec.text),
            **fields,
        )
        return _done(call)

    def _judge_rate(
        self,
        call: coordination.JobCall,
        spec: state.JobSpec,
        queue: state.Queue,
        customer: str,
    ) -> coordination.JobAnswer | None:
        """Return the refusal of a job beyond its customer's rate, or None."""
        refusal = self._core.jobs.submissions.judge(
            spec, queue, customer, clock.steady_s(), self._now_ms()
        )
        if refusal is None:
            return None
        self._metrics.refused_rates.inc({'queue': queue.name})
        return coordination.JobAnswer(
            call.call_id,
            coordination.JobOutcome.OVERLOADED,
            retry_after_s=refusal.retry_after_s,
            detail=f'more than {refusal.weight:g} jobs a second, and '
            f'{refusal.backlog_s:.1f} s of work wait',
            cause=coordination.RefusalCause.OVER_RATE,
        )

    def _find_memory_refusal(
        self, call: coordination.JobCall, spec: state.JobSpec
    ) -> coordination.JobAnswer | None:
        """Return the refusal of a job that there is no memory for, or None."""
        jobs = self._core.state.jobs.jobs
        if self._stored.has_room(spec, jobs, clock.steady_s()):
            return None
        logs.info(
            'job_store_full',
            job=spec.job_id,
            steps=len(spec.steps),
            stored_bytes=self._stored.stored_bytes,
            jobs=len(jobs),
        )
        return coordination.JobAnswer(
            call.call_id,
            coordination.JobOutcome.OVERLOADED,
            retry_after_s=STORE_RETRY_AFTER_S,
            detail='there is no memory for another job of this size',
        )

    def _find_excess(
        self, call: coordination.JobCall, customer: str
    ) -> coordination.JobAnswer | None:
        """Return the refusal of a job that exceeds its customer's limit.

        Jobs that are stored already wait instead, as a limit may be raised.
        """
        plan, spec = self._core.state.jobs.plan, call.spec
        assert plan is not None and spec is not None
        found = self._customers.get(plan, customer)
        excess = coordination.find_excess(found, spec) if found else ''
        if not excess:
            return None
        logs.info(
            'job_never_fits', job=spec.job_id, customer=customer, cause=excess
        )
        return coordination.JobAnswer(
            call.call_id, coordination.JobOutcome.NEVER_FITS, detail=excess
        )

    def _start_submission(
        self, spec: state.JobSpec, queue: state.Queue, customer: str
    ) -> _Submission:
        record = state.JobAccepted(spec, queue, self._now_ms(), customer)
        task = asyncio.ensure_future(
            self._store(record, self._core.state.jobs.plan)
        )
        submission = _Submission(customer, task)
        self._submitting[spec.job_id] = submission
        task.add_done_callback(
            lambda _: self._submitting.pop(spec.job_id, None)
        )
        return submission

    async def _store(
        self, record: state.JobAccepted, plan: state.RoutePlan | None
    ) -> CommitResult | None:
        """Commit a job, or return None if the plan isn't in force any more.

        The plan may change until the task runs that calls this method, and
        may then have taken the caller's key away.
        """
        if self._core.state.jobs.plan is not plan:
            return None
        return await self._commit(record)

    async def _cancel(
        self,
        call: coordination.JobCall,
        routed: coordination.RoutedPath,
        customer: str,
    ) -> coordination.JobAnswer:
        submission = self._submitting.get(_find_job_id(call, routed))
        if submission is not None:
            # The job may be stored a moment after it was called unknown, and
            # would run on.
            result = await asyncio.shield(submission.task)
            if isinstance(result, Err):
                return _unavailable(call)
        job = self._find_job(call, routed, customer)
        if isinstance(job, coordination.JobAnswer):
            return job
        if job.status is not state.JobStatus.ACTIVE:
            return _done(call)
        job_id = job.spec.job_id
        committed = await self._commit(state.JobCancelled(job_id))
        if isinstance(committed, Err):
            return _unavailable(call)
        logs.info('job_cancelled', job=job_id)
        return _done(call)

    def _show(
        self,
        call: coordination.JobCall,
        routed: coordination.RoutedPath,
        customer: str,
    ) -> coordination.JobAnswer:
        job = self._find_job(call, routed, customer)
        if isinstance(job, coordination.JobAnswer):
            return job
        job_state = str(job.status)
        if job.status is state.JobStatus.ACTIVE:
            has_begun = self._core.jobs.has_begun(job)
            job_state = 'running' if has_begun else 'queued'
        return coordination.JobAnswer(
            call.call_id,
            coordination.JobOutcome.DONE,
            job_state=job_state,
        )

    def _find_job(
        self,
        call: coordination.JobCall,
        routed: coordination.RoutedPath,
        customer: str,
    ) -> state.Job | coordination.JobAnswer:
        """Return the job that a call names, or the answer that refuses it."""
        job = self._core.state.jobs.jobs.get(_find_job_id(call, routed))
        if job is None:
            return _no_job(call)
        refusal = self._check_owner(call, routed, job.customer, customer)
        return refusal or job

    def _check_owner(
        self,
        call: coordination.JobCall,
        routed: coordination.RoutedPath,
        owner: str,
        customer: str,
    ) -> coordination.JobAnswer | None:
        """Return the refusal of a call about another customer's job, or None.

        A call without a known key gets here at a public queue only. It may
        come from the owner whose key was taken away, to whom it would be
        untrue that there is no such job.
        """
        plan = self._core.state.jobs.plan
        assert plan is not None
        if coordination.may_use(plan, owner, customer):
            return None
        return _no_job(call) if customer else self._refuse_key(call, routed)

    def _refuse_key(
        self, call: coordination.JobCall, routed: coordination.RoutedPath
    ) -> coordination.JobAnswer:
        fault = {None: 'not_passed_on', '': 'none'}.get(
            call.key_digest, 'unknown'
        )
        self._metrics.refused_keys.inc(
            {'kind': str(call.kind), 'fault': fault}
        )
        logs.info(
            'key_refused',
            job=_find_job_id(call, routed),
            kind=call.kind,
            queue=routed.queue.name,
            entry_id=call.entry_id,
            fault=fault,
        )
        if call.key_digest is not None:
            return coordination.JobAnswer(
                call.call_id,
                coordination.JobOutcome.OVERLOADED,
                detail='no key' if fault == 'none' else 'unknown key',
                cause=coordination.RefusalCause.UNKNOWN_KEY,
            )
        spec = call.spec
        # The caller's key isn't known, so neither is whether an earlier call
        # with it, through an entry that passes keys on, stored the job.
        is_known = spec is not None and (
            spec.job_id in self._core.state.jobs.jobs
            or spec.job_id in self._submitting
        )
        return coordination.JobAnswer(
            call.call_id,
            coordination.JobOutcome.UNKNOWN
            if is_known
            else coordination.JobOutcome.OVERLOADED,
            retry_after_s=RETRY_AFTER_S,
            detail='the entry passes no keys on',
        )


def _find_job_id(
    call: coordination.JobCall, routed: coordination.RoutedPath
) -> str:
    """Return the id of the job that a call's path names.

    It is the one that the job was stored by, whichever queue the path leads
    to now: routes may have gone since, and the rest of the path is longer
    behind a shorter prefix.
    """
    return call.job_id or routed.rest


def _done(call: coordination.JobCall) -> coordination.JobAnswer:
    return coordination.JobAnswer(call.call_id, coordination.JobOutcome.DONE)


def _no_job(call: coordination.JobCall) -> coordination.JobAnswer:
    return coordination.JobAnswer(call.call_id, coordination.JobOutcome.NO_JOB)


def _unavailable(call: coordination.JobCall) -> coordination.JobAnswer:
    return coordination.JobAnswer(
        call.call_id, coordination.JobOutcome.UNAVAILABLE
    )
