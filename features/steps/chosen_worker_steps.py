"""Steps with tasks that only some of the workers can run."""

import dataclasses
from typing import Any

from behave import given
from behave import then
from behave import when

from features.search import worker_fakes
from features.steps import advice_rule_steps
from features.steps import customer_limit_steps
from features.steps.job_rule_steps import SMALL
from features.steps.job_rule_steps import starts_of
from features.steps.job_rule_steps import submit_job
from features.steps.job_rule_steps import world_of
from greengagering import state

LABEL = 'fast'
RUN_S = 1.0
LARGE_ROOM = state.Room(16_000, 32_000)
LARGE_SHARE = state.Room(6000, 100)
SMALL_SHARE = state.Room(3000, 100)


@given('only {name} has the label fast')
def label_one(context: Any, name: str) -> None:
    label_workers(context, name)
    context.step = _labelled_step(SMALL)


@given('only {first}, {second} and {third} have the label fast')
def label_three(context: Any, first: str, second: str, third: str) -> None:
    label_workers(context, first, second, third)


def _labelled_step(room: state.Room, run_s: float = RUN_S) -> state.StepSpec:
    return state.StepSpec(1, room, run_s, required_label=LABEL)


def label_workers(context: Any, *names: str) -> None:
    """Restart workers with the label."""
    for name in names:
        _restart(context, name, labels=(LABEL,))
    world_of(context).advance(4.0)


@given('only {name} has room for large tasks')
def enlarge_one(context: Any, name: str) -> None:
    _restart(context, name, room=LARGE_ROOM)
    world_of(context).advance(4.0)
    large = state.Room(worker_fakes.ROOM.cpu_millicores + 1, 100)
    context.step = state.StepSpec(1, large, RUN_S)


def _restart(context: Any, name: str, **changes: Any) -> None:
    world = world_of(context)
    worker = world.workers[name]
    for field, value in changes.items():
        setattr(worker, field, value)
    if worker.is_up:
        worker.crash()
    worker.start_process(world.now_s)
    worker.fail_ratio, worker.run_s = 0.0, RUN_S


@when('{name} crashes 0.5 s after it has started a job that only it can run')
def crash_under_job(context: Any, name: str) -> None:
    submit_job(context, context.step)
    _crash_under(context, context.job_id, name)
    world_of(context).advance(1.0)
    _restart(context, name)


def _crash_under(context: Any, job_id: str, name: str) -> None:
    world = world_of(context)
    world.advance_until(lambda: bool(starts_of(context, job_id)), 2.0)
    ((_, _, worker_id, _),) = starts_of(context, job_id)
    assert worker_id == name, worker_id
    world.advance(0.5)
    world.workers[name].crash()


@then('the job succeeds within {seconds:g} s after {name} is back')
@then('it is done within {seconds:g} s')
def check_done(context: Any, seconds: float, name: str = '') -> None:
    world = world_of(context)
    job_id = context.jobs[-1]
    succeeded = state.JobStatus.SUCCEEDED
    world.advance_until(lambda: world.job(job_id).status is succeeded, seconds)
    assert not name or starts_of(context, job_id)[-1][2] == name


@when('another job that only {name} can run is submitted')
def submit_later(context: Any, name: str) -> None:
    submit_job(context, context.step)


@given('a lasting task fills {name}')
def fill_worker(context: Any, name: str) -> None:
    world = world_of(context)
    worker = world.workers[name]
    worker.lasting_run_s = 1000.0
    others = [w for w in world.workers.values() if w.labels and w != worker]
    for other in others:
        other.crash()
    world.advance(6.0)
    filling = state.StepSpec(
        1, worker_fakes.ROOM, is_lasting=True, required_label=LABEL
    )
    submit_job(context, filling)
    world.advance(6.0)
    for other in others:
        _restart(context, other.worker_id)
    world.advance(4.0)


@when(
    '{name} crashes under a task with that label, and is back without the '
    'label, while {spare} has other tasks'
)
def crash_beside_others(context: Any, name: str, spare: str) -> None:
    world = world_of(context)
    # Tasks go to the worker that has the least room for them.
    _restart(context, spare, room=LARGE_ROOM)
    world.advance(4.0)
    world.workers[name].run_s = 100.0
    submit_job(context, _labelled_step(LARGE_SHARE, 100.0))
    context.suspected = context.job_id
    submit_stream(context, 2.0)
    assert starts_of(context, context.suspected)[0][2] == name
    _restart(context, name, labels=())


@when('a task with that label is submitted each 0.3 s for {seconds:g} s')
def submit_stream(context: Any, seconds: float) -> None:
    world = world_of(context)
    ends_s = world.now_s + seconds
    while world.now_s < ends_s:
        # They don't fit beside the suspected task.
        submit_job(context, _labelled_step(SMALL_SHARE))
        world.advance(0.3)


@then('the suspected task has started on {name} within that time')
def check_suspected(context: Any, name: str) -> None:
    (_, *later) = starts_of(context, context.suspected)
    assert later and later[0][2] == name, later


@when(
    '{name} crashes 0.5 s after it has started a task of {customer}, whose '
    'limit becomes {cpu:d} millicores'
)
def crash_under_customer(
    context: Any, name: str, customer: str, cpu: int
) -> None:
    job_id = customer_limit_steps.submit_job(context, customer, context.step)
    _crash_under(context, job_id, name)
    customer_limit_steps.change_limit(context, customer, cpu)
    _restart(context, name)
    # The crash is known by then, and the task waits.
    world_of(context).advance(4.0)


@given('worker-3 drains at first')
def drain_worker(context: Any) -> None:
    view = context.scheduler.newest_incarnation('worker-3')
    view.is_draining = True


@when('worker-3 drains no longer')
def end_drain(context: Any) -> None:
    view = context.scheduler.newest_incarnation('worker-3')
    view.is_draining = False


@when(
    'a job that requires a label of worker-3 is submitted to the queue with '
    'advice'
)
def submit_labelled(context: Any) -> None:
    view = context.scheduler.newest_incarnation('worker-3')
    view.facts = dataclasses.replace(view.facts, labels=(LABEL,))
    advice_rule_steps.submit_step(
        context, state.StepSpec(1, SMALL, 0.6, required_label=LABEL), 'job'
    )


@when(
    'a job of 4 tasks, one at most on a worker is submitted to the queue with '
    'advice'
)
def submit_spread(context: Any) -> None:
    advice_rule_steps.submit_step(
        context, state.StepSpec(4, SMALL, 0.6, max_per_worker=1), 'job'
    )


@when('the adviser permits every worker that it is asked about')
def permit_all(context: Any) -> None:
    _permit_asked(context, 2.0)


def _permit_asked(context: Any, seconds: float) -> list[str]:
    """Permit what is asked for a while; return the workers asked about."""
    asked = []
    ends_s = context.now_s + seconds
    while context.now_s < ends_s:
        advice_rule_steps.step(context)
        request = context.scheduler.permits.take_advice_request(context.now_s)
        if request is not None:
            asked += request.life_keys
            context.request = request
            advice_rule_steps.answer(
                context, {name: f'of {name}' for name in request.life_keys}
            )
    return asked


@then(
    "the adviser is asked about worker-3, and the job's last task starts there"
)
def check_asked(context: Any) -> None:
    assert 'worker-3' in _permit_asked(context, 3.0)
    assert context.orders[-1].life.worker_id == 'worker-3', context.orders


@then('the adviser is asked about worker-3 only')
def check_asked_only(context: Any) -> None:
    request = advice_rule_steps.take_advice_request(context)
    assert set(request.life_keys) == {'worker-3'}, request
