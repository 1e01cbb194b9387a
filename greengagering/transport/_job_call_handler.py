"""Handles callers' calls about jobs at the leader."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from result import Err
from result import Result

from greengagering import clock
from greengagering import coordination
from greengagering.coordination import errors as coordination_errors
from greengagering import logs
from greengagering import state
from greengagering.transport import _metrics

RETRY_AFTER_S = 0.5
"""Time after which a caller may retry while no plan is accepted yet."""

CommitResult = Result[None, coordination_errors.CoordinationError]
Commit = Callable[[state.JobRecord], Awaitable[CommitResult]]


class JobCallHandler:
    """Reads and changes jobs; a change is committed before it is answered."""

    def __init__(
        self,
        core: coordination.ControlCore,
        commit: Commit,
        now_ms: Callable[[], int],
        metrics: _metrics.ControlMetrics,
    ) -> None:
        self._core = core
        self._commit = commit
        self._now_ms = now_ms
        self._metrics = metrics
        self._submitting: dict[str, asyncio.Task[CommitResult]] = {}

    async def answer(
        self, call: coordination.JobCall
    ) -> coordination.JobAnswer:
        """Handle a call; the replica must have the leader's lease."""
        started_s = clock.steady_s()
        answer = await self._answer(call)
        if call.kind is coordination.CallKind.SUBMIT:
            self._metrics.jobs.inc({'outcome': str(answer.outcome)})
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
        routed = coordination.find_queue(jobs.plan, call.host, call.path)
        if routed is None:
            return coordination.JobAnswer(call.call_id, outcomes.NO_QUEUE)
        match call.kind:
            case coordination.CallKind.COUNT:
                return coordination.JobAnswer(
                    call.call_id,
                    outcomes.DONE,
                    pending_count=self._core.jobs.count_pending(routed.queue),
                )
            case coordination.CallKind.SUBMIT:
                return await self._submit(call, routed.queue)
            case coordination.CallKind.CANCEL:
                return await self._cancel(call, routed.rest)
            case _:
                return self._show(call, routed.rest)

    async def _submit(
        self, call: coordination.JobCall, queue: state.Queue
    ) -> coordination.JobAnswer:
        spec = call.spec
        assert spec is not None
        if spec.job_id in self._core.state.jobs.jobs:
            # The job is stored already; a repeated submission has no effect.
            return _done(call)
        task = self._submitting.get(spec.job_id)
        if task is None:
            record = state.JobAccepted(spec, queue, self._now_ms())
            task = asyncio.ensure_future(_await(self._commit(record)))
            self._submitting[spec.job_id] = task
            task.add_done_callback(
                lambda _: self._submitting.pop(spec.job_id, None)
            )
        result = await asyncio.shield(task)
        if isinstance(result, Err):
            return _unavailable(call)
        logs.info(
            'job_accepted',
            job=spec.job_id,
            queue=queue.name,
            steps=len(spec.steps),
            tasks=sum(step.task_count for step in spec.steps),
            lasting=sum(s.task_count for s in spec.steps if s.is_lasting),
            filling=sum(s.task_count for s in spec.steps if s.fills),
            occurrences=spec.occurrence_count,
        )
        return _done(call)

    async def _cancel(
        self, call: coordination.JobCall, job_id: str
    ) -> coordination.JobAnswer:
        job = self._core.state.jobs.jobs.get(job_id)
        if job is None:
            return _no_job(call)
        if job.status is not state.JobStatus.ACTIVE:
            return _done(call)
        result = await self._commit(state.JobCancelled(job_id))
        if isinstance(result, Err):
            return _unavailable(call)
        logs.info('job_cancelled', job=job_id)
        return _done(call)

    def _show(
        self, call: coordination.JobCall, job_id: str
    ) -> coordination.JobAnswer:
        job = self._core.state.jobs.jobs.get(job_id)
        if job is None:
            return _no_job(call)
        job_state = str(job.status)
        if job.status is state.JobStatus.ACTIVE:
            job_state = 'running' if job.has_started else 'queued'
        return coordination.JobAnswer(
            call.call_id,
            coordination.JobOutcome.DONE,
            job_state=job_state,
        )


async def _await(awaitable: Awaitable[CommitResult]) -> CommitResult:
    """Wrap an awaitable in a coroutine."""
    return await awaitable


def _done(call: coordination.JobCall) -> coordination.JobAnswer:
    return coordination.JobAnswer(call.call_id, coordination.JobOutcome.DONE)


def _no_job(call: coordination.JobCall) -> coordination.JobAnswer:
    return coordination.JobAnswer(call.call_id, coordination.JobOutcome.NO_JOB)


def _unavailable(call: coordination.JobCall) -> coordination.JobAnswer:
    return coordination.JobAnswer(
        call.call_id, coordination.JobOutcome.UNAVAILABLE
    )
