"""Steps that ask a store for room for jobs, by a clock of their own."""

from typing import Any

from behave import given
from behave import then
from behave import when

from greengagering import coordination
from greengagering import state

TASKS = 10
QUEUE = state.Queue('quick', 'jobs.example', '/quick/', 'alpha')


def _spec(job_id: str, steps: int) -> state.JobSpec:
    step = state.StepSpec(TASKS, state.Room(500, 100, 0))
    return state.JobSpec(job_id, 'x', (step,) * steps)


@given('a store of {size:d} bytes that holds {count:d} job of {steps:d} steps')
@given(
    'a store of {size:d} bytes that holds {count:d} jobs of {steps:d} steps'
)
def create_store(context: Any, size: int, count: int, steps: int) -> None:
    context.store = coordination.StoredJobs(size)
    context.jobs = {
        f'{number:016x}': state.Job(_spec(f'{number:016x}', steps), QUEUE, 0)
        for number in range(count)
    }


def _has_room(context: Any, steps: int, at_s: float) -> bool:
    spec = _spec('f' * 16, steps)
    return bool(context.store.has_room(spec, context.jobs, at_s))


@when('that job succeeds')
def succeed(context: Any) -> None:
    for job in context.jobs.values():
        job.status = state.JobStatus.SUCCEEDED


@when('a job of {steps:d} steps is about to be stored')
def add(context: Any, steps: int) -> None:
    context.store.add(_spec('e' * 16, steps))


@then('the store has room for a job of {steps:d} steps at {at_s:g} s')
def check_room(context: Any, steps: int, at_s: float) -> None:
    assert _has_room(context, steps, at_s), context.store.stored_bytes


@then('the store has no room for a job of {steps:d} steps at {at_s:g} s')
def check_full(context: Any, steps: int, at_s: float) -> None:
    assert not _has_room(context, steps, at_s), context.store.stored_bytes
