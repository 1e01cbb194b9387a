"""Conversion of callers' jobs, and the HTTP statuses of job requests."""

import re

from greengagering import coordination
from greengagering.platform import _formats
from greengagering.protocol import bounds
from greengagering import state

SOURCE = 'job'
MAX_TEXT_BYTES = 4000
MAX_STEPS = 1000
MAX_TASKS = 100_000
MAX_OCCURRENCES = 10_000
MS_PER_S = 1000

_JOB_ID = re.compile(r'[0-9a-fA-F]{16}$')


class _Step(_formats.WireModel):
    """A group of identical tasks of a job; see state.StepSpec.

    Attributes:
        cpu: millicores that each task needs.
        est_ms: the caller's estimate of a task's run time; 0 is none.
        requires: label that the worker must have.
        max_per_server: most tasks of one occurrence on one worker.
        persistent: the tasks run until the job is cancelled; called lasting
            tasks in the code.
        target_ms: upper bound on the tail latency of a serving task.
        fills: the tasks use only spare CPU time, and none is reserved for
            them; called filling tasks in the code.
    """

    count: bounds.Count = 1
    cpu: bounds.Amount = 0
    mem_mb: bounds.Amount = 0
    gpu: bounds.Amount = 0
    est_ms: bounds.DurationMs = 0.0
    after: tuple[int, ...] = ()
    saves_progress: bool = False
    gang: bool = False
    rack_local: bool = False
    requires: str = ''
    data_rack: str = ''
    max_per_server: bounds.Count = 0
    speculative: bool = False
    persistent: bool = False
    image: str = ''
    target_ms: bounds.DurationMs = 0.0
    fills: bool = False
    may_miss: bounds.Count | None = None


class _Job(_formats.WireModel):
    """A job.

    Attributes:
        spec: the caller's text, passed to the workers unchanged.
        times: number of occurrences; 0 means one that is due immediately.
    """

    spec: str
    steps: tuple[_Step, ...]
    times: int = 0
    first_ms: bounds.UnixMsFloat = 0.0
    interval_ms: bounds.DurationMs = 0.0


def find_job_id(path: str) -> str:
    """Return the job id at the end of a path, or an empty string."""
    found = _JOB_ID.search(path)
    return found[0] if found else ''


def parse_job(job_id: str, body: bytes) -> state.JobSpec:
    """Convert a body to a job.

    Raises:
        InvalidInputError: the body is malformed or has an invalid field.
    """
    wire = _formats.read_body(body, _Job, SOURCE)
    _check(wire)
    is_timed = wire.times > 0
    return state.JobSpec(
        job_id=job_id,
        text=wire.spec,
        steps=tuple(_to_step(step) for step in wire.steps),
        occurrence_count=max(wire.times, 1),
        first_due_ms=int(wire.first_ms) if is_timed else 0,
        interval_ms=int(wire.interval_ms) if is_timed else 0,
    )


def parse_task_name(name: str, run: int) -> state.RunKey:
    """Return the key of a run from a worker's task name and run number."""
    job_id, _, task = name.partition('.')
    return state.RunKey(job_id, task, run)


def find_status_code(answer: coordination.JobAnswer) -> int:
    """Return the HTTP status of a call's answer."""
    is_refused = answer.outcome is coordination.JobOutcome.OVERLOADED
    if is_refused and answer.cause is coordination.RefusalCause.UNKNOWN_KEY:
        return UNKNOWN_KEY_STATUS
    if is_refused and answer.cause is coordination.RefusalCause.OVER_RATE:
        return OVER_RATE_STATUS
    return STATUS_CODES[answer.outcome]


def _check(wire: _Job) -> None:
    if len(wire.spec.encode()) > MAX_TEXT_BYTES:
        raise _formats.invalid(
            SOURCE, 'spec', f'at most {MAX_TEXT_BYTES} bytes are allowed'
        )
    if not 1 <= len(wire.steps) <= MAX_STEPS:
        raise _formats.invalid(
            SOURCE, 'steps', f'1 to {MAX_STEPS} steps', len(wire.steps)
        )
    if not 0 <= wire.times <= MAX_OCCURRENCES:
        raise _formats.invalid(
            SOURCE, 'times', f'0 to {MAX_OCCURRENCES}', wire.times
        )
    if sum(step.count for step in wire.steps) > MAX_TASKS:
        raise _formats.invalid(SOURCE, 'steps', f'at most {MAX_TASKS} tasks')
    for number, step in enumerate(wire.steps):
        _check_step(f'steps.{number}', number, step)


def _check_step(field: str, number: int, step: _Step) -> None:
    if step.count < 1:
        raise _formats.invalid(
            SOURCE, f'{field}.count', 'must be positive', step.count
        )
    for earlier in step.after:
        if not 0 <= earlier < number:
            raise _formats.invalid(
                SOURCE, f'{field}.after', 'must name earlier steps', earlier
            )


def _to_step(step: _Step) -> state.StepSpec:
    return state.StepSpec(
        task_count=step.count,
        room=state.Room(step.cpu, step.mem_mb, step.gpu),
        estimate_s=step.est_ms / MS_PER_S,
        after=step.after,
        saves_progress=step.saves_progress,
        is_gang=step.gang,
        is_rack_local=step.rack_local,
        required_label=step.requires,
        data_rack=step.data_rack,
        max_per_worker=step.max_per_server,
        is_speculative=step.speculative,
        is_lasting=step.persistent,
        image=step.image,
        tail_target_ms=int(step.target_ms),
        fills=step.fills,
        may_miss=step.may_miss,
    )


UNKNOWN_KEY_STATUS = 401
OVER_RATE_STATUS = 429

STATUS_CODES = {
    coordination.JobOutcome.DONE: 200,
    coordination.JobOutcome.NO_QUEUE: 404,
    coordination.JobOutcome.NO_JOB: 410,
    coordination.JobOutcome.NEVER_FITS: 429,
    coordination.JobOutcome.OVERLOADED: 503,
    coordination.JobOutcome.UNAVAILABLE: 503,
    coordination.JobOutcome.UNKNOWN: 504,
}
"""HTTP status by outcome. 429 and 503 mean that no task of the job has run or
will run."""
