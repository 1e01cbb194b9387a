"""Steps about errors in the parts of a leader's step."""

import asyncio
from collections.abc import Callable
from typing import Any
from unittest import mock

from behave import given
from behave import then
from behave import when

from features.search import job_search
from features.steps import job_rule_steps
from features.steps.job_rule_steps import SMALL
from features.steps.job_rule_steps import world_of
from features.support import job_world
from greengagering import coordination
from greengagering import state
from greengagering.transport import _adviser_client
from greengagering.transport import _machine_runner

STEP_COUNT = 8
TASK_COUNT = 2
RUN_S = 0.3
ERROR = ValueError('injected')


def fail_while(
    holder: Any, name: str, is_due: Callable[[], bool], *, after: bool = False
) -> None:
    """Let a method raise an error while a condition holds.

    Args:
        holder: the object that has the method.
        name: the method's name.
        is_due: tells whether the next call fails.
        after: whether it fails only after it has done its work.
    """
    method = getattr(holder, name)

    def fail(*arguments: Any, **options: Any) -> Any:
        if not is_due():
            return method(*arguments, **options)
        if after:
            method(*arguments, **options)
        raise ERROR

    fail.__name__ = name
    setattr(holder, name, fail)


def put_services(context: Any, *names: str) -> None:
    """Commit a plan with these services; service-a has the jobs' queue."""
    world = world_of(context)
    plan = world.leader().state.jobs.plan
    number = plan.number + 1 if plan is not None else 1
    queues = (job_search.QUEUE,) if 'service-a' in names else ()
    services = tuple(state.WorkerService(name) for name in names)
    record = state.RoutePlan(number, queues, services, 2**18, b'{}')
    world.commit(state.PlanReplaced(record))


@when('{count:d} jobs of 8 steps are submitted')
def submit_chains(context: Any, count: int) -> None:
    for worker in world_of(context).workers.values():
        worker.run_s = RUN_S
    steps = [
        state.StepSpec(
            TASK_COUNT, SMALL, RUN_S, after=(number - 1,) if number else ()
        )
        for number in range(STEP_COUNT)
    ]
    for _ in range(count):
        job_rule_steps.submit_job(context, *steps)


@when('their service is away for {seconds:g} s, {times:d} times')
def take_service_away(context: Any, seconds: float, times: int) -> None:
    for _ in range(times):
        put_services(context)
        world_of(context).advance(seconds)
        put_services(context, 'service-a')
        world_of(context).advance(0.5)


@given('a plan with a service named {name} besides')
def name_service(context: Any, name: str) -> None:
    put_services(context, 'service-a', name)


@then('no part of a step has failed')
def check_no_error(context: Any) -> None:
    failed = [line for line in world_of(context).trace if '_failed' in line]
    assert not failed, failed


@given('{part} fails at each step for {seconds:g} s')
def fail_part(context: Any, part: str, seconds: float) -> None:
    world = world_of(context)
    world.injects_errors = True
    core = world.leader()
    ends_s = world.now_s + seconds
    holder, name = {
        "the machines' step": (core.machine_manager, 'step'),
        'the plan of moves': (core.machine_manager, '_plan_moves'),
        'the move of lasting tasks': (
            core.jobs._relocator,
            'move_lasting_tasks',
        ),
        'the last part of an assignment': (
            core.jobs.assigner,
            '_log_cleared_backlog',
        ),
        'the repetition of orders': (core.jobs.run_orders, 'retry_due'),
        'the accounting of waits': (core.jobs.waits, 'observe'),
    }[part]
    fail_while(holder, name, lambda: world.now_s < ends_s)


@when(
    "a record that can't be encoded is proposed each {pause:g} s for "
    '{seconds:g} s'
)
def propose_odd_record(context: Any, pause: float, seconds: float) -> None:
    world = world_of(context)
    world.injects_errors = True
    ends_s = world.now_s + seconds
    while world.now_s < ends_s:
        odd = state.JobsForgotten((b'\xff' * 3, object()))  # type: ignore
        world.leader().jobs._core.proposals.insert(0, odd)
        world.advance(pause)


@when('the order of an assigned run fails {often}')
def fail_order(context: Any, often: str) -> None:
    world = world_of(context)
    world.injects_errors = True
    failed: list[float] = []

    def is_due() -> bool:
        if often == 'once' and failed:
            return False
        failed.append(world.now_s)
        return True

    for node in world.controls.values():
        assert node.core is not None
        fail_while(node.core.jobs.run_orders, 'order_assigned', is_due)


@then('every job succeeds within {seconds:g} s, whoever leads')
def check_all_succeed(context: Any, seconds: float) -> None:
    world = world_of(context)

    def have_succeeded() -> bool:
        try:
            jobs = [world.job(job_id) for job_id in context.jobs]
        except job_world.NobodyLeadsError:
            return False
        return all(j.status is state.JobStatus.SUCCEEDED for j in jobs)

    world.advance_until(have_succeeded, seconds)


def count_error_terms(context: Any) -> int:
    """Return how many terms a leader has ended after an error."""
    lines = world_of(context).trace
    return sum('lead_resigned' in line for line in lines)


@then('one term was ended by an error')
def check_one_term(context: Any) -> None:
    assert count_error_terms(context) == 1, count_error_terms(context)


@when('the leaders meet it for {seconds:g} s')
def wait_with_errors(context: Any, seconds: float) -> None:
    world_of(context).advance(seconds)


@then('at most {count:d} terms were ended by an error')
def check_few_terms(context: Any, count: int) -> None:
    assert 1 <= count_error_terms(context) <= count


@given("an adviser's client that fails with ValueError")
def odd_adviser(context: Any) -> None:
    context.client = mock.AsyncMock()
    context.client.request_advice.side_effect = ERROR
    context.scheduler = mock.Mock()
    context.request = coordination.AdviceRequest('job.0.0', {})
    permits = context.scheduler.permits
    permits.take_advice_request.return_value = context.request


@when('a request for advice is sent')
def send_request(context: Any) -> None:
    async def send() -> None:
        runner = _adviser_client.AdviceRunner(
            context.scheduler, context.client, mock.Mock()
        )
        runner.step()
        assert runner._task is not None
        await asyncio.gather(runner._task, return_exceptions=True)

    asyncio.run(send())


@then('the next request can be sent')
def check_request_closed(context: Any) -> None:
    (call,) = context.scheduler.handle_advice.call_args_list
    assert call.args[:2] == (context.request, None), call


@given("a platform's client that fails with ValueError")
def odd_platform(context: Any) -> None:
    context.client = mock.AsyncMock()
    context.client.carry_out.side_effect = ERROR
    context.manager = mock.Mock()
    duty = state.Duty('machine-1', state.DutyKind.MOVE, 'service-a')
    context.duty_order = coordination.DutyOrder(duty, 'replica', 1, 1)
    context.manager.take_calls.return_value = [context.duty_order]


@when('a duty is sent')
def send_duty(context: Any) -> None:
    async def send() -> None:
        runner = _machine_runner.MachineRunner(
            context.manager,
            context.client,
            lambda: True,
            mock.Mock(),
            mock.MagicMock(),
        )
        runner.step()
        await asyncio.gather(*runner._tasks, return_exceptions=True)

    asyncio.run(send())


@then('it is counted as unanswered')
def check_unanswered(context: Any) -> None:
    (call,) = context.manager.handle_duty_outcome.call_args_list
    outcome = coordination.DutyOutcome.NO_ANSWER
    assert call.args[:2] == (context.duty_order, outcome), call
