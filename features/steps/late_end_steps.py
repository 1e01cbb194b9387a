"""Steps about ends of lost runs that are noted late."""

from typing import Any

from behave import given
from behave import then
from behave import when

from features.search import job_search
from features.steps import worker_order_steps
from greengagering import coordination
from greengagering import state

JOB_ID = 'job2'
LOST = state.RunKey(JOB_ID, '0.0.0', 1)


@given('a task whose first run was lost')
def lose_run(context: Any) -> None:
    context.facts = worker_order_steps.create_facts('w:80')
    context.scheduler = worker_order_steps.create_scheduler(context.facts)
    # The job's other task keeps it from being finished.
    step = state.StepSpec(2, state.Room(100, 10))
    record = state.JobAccepted(
        state.JobSpec(JOB_ID, 'text', (step,)), job_search.QUEUE, 0
    )
    jobs = context.scheduler.jobs
    state.apply_to_jobs(jobs, record)
    jobs.jobs[JOB_ID].tasks[LOST.task] = state.Task(run=LOST.run)
    context.scheduler.handle_applied(record, 0.0, 0)


@when(
    'its next run is proposed, and an end done of the first one is committed '
    'before it'
)
def end_late(context: Any) -> None:
    scheduler = context.scheduler
    records = scheduler.step(0.1, 0) + scheduler.take_proposals()
    end = state.RunEnd(1, LOST, state.RunEnding.DONE, '')
    for record in (state.EndsNoted(context.facts.key, (end,)), *records):
        state.apply_to_jobs(scheduler.jobs, record)
        scheduler.handle_applied(record, 0.1, 0)


@then('the next run is voided, and not ordered')
def check_voided(context: Any) -> None:
    records = worker_order_steps.commit(context.scheduler, 0.12)
    started = [
        order.key
        for order in context.scheduler.take_orders()
        if isinstance(order, coordination.StartOrder)
        and order.key.job_id == JOB_ID
    ]
    assert [key.task for key in started] == ['0.0.1'], started
    voided = [
        key
        for record in records
        if isinstance(record, state.RunsVoided)
        for key in record.runs
    ]
    assert voided == [state.RunKey(JOB_ID, LOST.task, 2)], voided
