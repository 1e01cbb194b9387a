"""Steps that call an entry and a leader about jobs whose routes change."""

import asyncio
import dataclasses
import types
from typing import Any
from unittest import mock

import aiohttp
from aiohttp import test_utils
from aiohttp import web
from behave import given
from behave import then
from behave import when
import msgspec
from result import Err
from result import Ok

from features.steps import gateway_steps
from greengagering import coordination
from greengagering.coordination import errors
from greengagering.platform import _caller_app
from greengagering import state
from greengagering.transport._job_call_handler import JobCallHandler
from greengagering.transport import _metrics

HOST = 'queue.example'
JOB_ID = '5c0e7a21d94b36f8'
BODY = msgspec.json.encode({'spec': 'text', 'steps': [{'count': 1}]})


class Entry:
    """An entry that passes each call to a leader's call handler at once."""

    def __init__(self, handler: JobCallHandler) -> None:
        self.open_requests = 0
        self.is_stopping = False
        self.core = types.SimpleNamespace(max_body_bytes=0)
        self.settings = types.SimpleNamespace(
            default_deadline_s=3.0,
            max_deadline_s=10.0,
            max_body_bytes=2**18,
            body_timeout_s=1.0,
        )
        self.drops_job_id = False
        self._handler = handler
        self._gateway = coordination.JobGateway(
            'entry-1', 'entry-1', ('control-1',), 'boot-1', 'dc-1'
        )
        leading = gateway_steps.status('control-1', 'control-1')
        self._gateway.receive('control-1', leading, 0.0)

    async def call(
        self,
        kind: coordination.CallKind,
        host: str,
        path: str,
        deadline_s: float,
        job_id: str,
        spec: state.JobSpec | None = None,
        key_digest: str = '',
    ) -> coordination.JobAnswer:
        """Forward a call as GatewayNode does."""
        self._gateway.submit(
            kind, host, path, spec, deadline_s, 0.0, key_digest, job_id
        )
        (outgoing,) = self._gateway.take_outbox()
        call = outgoing.message
        assert isinstance(call, coordination.JobCall)
        if self.drops_job_id:
            call = dataclasses.replace(call, job_id='')
        return await self._handler.answer(call)


def routes_of(text: str) -> tuple[state.Queue, ...]:
    """Return the queues of the routes that a step names."""
    return tuple(
        state.Queue(f'queue-{number}', HOST, prefix, 'service-a')
        for number, prefix in enumerate(text.split(' and '))
    )


def put_routes(context: Any, text: str) -> None:
    """Put a plan with these routes in force."""
    jobs = context.jobs_state
    number = jobs.plan.number + 1 if jobs.plan is not None else 1
    plan = state.RoutePlan(number, routes_of(text), (), 2**18, b'{}')
    state.apply_to_jobs(jobs, state.PlanReplaced(plan))


@given('a leader with the routes {routes}')
def start_leader(context: Any, routes: str) -> None:
    context.jobs_state = state.JobsState()
    context.stored = []

    context.commits_after_s = 0.0
    context.commit_fails = False

    async def commit(record: state.JobRecord) -> Any:
        await asyncio.sleep(context.commits_after_s)
        if context.commit_fails:
            return Err(errors.NotLeaderError('control-2'))
        context.stored.append(record)
        state.apply_to_jobs(context.jobs_state, record)
        return Ok(None)

    core = types.SimpleNamespace(
        state=types.SimpleNamespace(jobs=context.jobs_state),
        jobs=types.SimpleNamespace(
            submissions=types.SimpleNamespace(judge=lambda *arguments: None),
            has_begun=lambda job: job.has_started,
        ),
    )
    handler = JobCallHandler(
        core,  # type: ignore[arg-type]
        commit,
        lambda: 0,
        _metrics.create_control_metrics(),
    )
    context.entry = Entry(handler)
    context.app = _caller_app.CallerApp(context.entry)
    context.path = f'/a/{JOB_ID}'
    put_routes(context, routes)


async def handle(context: Any, method: str) -> tuple[int, Any]:
    """Handle a caller's request; return the status and the body."""
    loop = asyncio.get_running_loop()
    payload = aiohttp.StreamReader(mock.Mock(), 2**16, loop=loop)
    if method == 'POST':
        payload.feed_data(BODY)
    payload.feed_eof()
    response = await context.app.handle(
        test_utils.make_mocked_request(
            method, context.path, {'Host': HOST}, payload=payload
        )
    )
    assert isinstance(response, web.Response)
    assert isinstance(response.body, bytes)
    return response.status, msgspec.json.decode(response.body)


def request(context: Any, method: str) -> tuple[int, Any]:
    """Send a caller's request; return the status and the body."""
    return asyncio.run(handle(context, method))


@when('a caller submits a job at {prefix}')
def submit(context: Any, prefix: str) -> None:
    context.path = f'{prefix}{JOB_ID}'
    assert request(context, 'POST')[0] == 200


@when('the routes change to {routes}')
def change_routes(context: Any, routes: str) -> None:
    put_routes(context, routes)


@then('the job is shown there as {name}')
def check_shown(context: Any, name: str) -> None:
    assert request(context, 'GET') == (200, {'state': name})


@then('submitted again there it is acknowledged and stored once')
def check_stored_once(context: Any) -> None:
    assert request(context, 'POST')[0] == 200
    assert [type(record) for record in context.stored] == [state.JobAccepted]


@then('it is cancelled there, and shown as cancelled')
def check_cancelled(context: Any) -> None:
    assert request(context, 'DELETE')[0] == 200
    assert context.stored[-1] == state.JobCancelled(JOB_ID)
    check_shown(context, 'cancelled')


@then('a call without its id shows it as queued')
def check_former_call(context: Any) -> None:
    context.entry.drops_job_id = True
    check_shown(context, 'queued')


@then('a caller is told that there is no such job at {prefix}')
def check_unknown(context: Any, prefix: str) -> None:
    context.path = f'{prefix}{JOB_ID}'
    assert request(context, 'GET')[0] == 410
    assert request(context, 'DELETE')[0] == 410


def cancel_while_storing(context: Any) -> None:
    """Submit a job, and cancel it before it is stored."""
    context.commits_after_s = 0.05

    async def send() -> None:
        submit = asyncio.ensure_future(handle(context, 'POST'))
        await asyncio.sleep(context.commits_after_s / 5)
        context.cancelled = await handle(context, 'DELETE')
        await submit

    asyncio.run(send())


@when('a caller cancels a job while it is being stored')
def cancel_early(context: Any) -> None:
    cancel_while_storing(context)


@when('a caller cancels a job while its storing fails')
def cancel_failed(context: Any) -> None:
    context.commit_fails = True
    cancel_while_storing(context)


@then('the cancel is acknowledged, and the job is shown as cancelled')
def check_early_cancel(context: Any) -> None:
    assert context.cancelled[0] == 200, context.cancelled
    check_shown(context, 'cancelled')


@then('the cancel is answered with {status:d}')
def check_cancel_status(context: Any, status: int) -> None:
    assert context.cancelled[0] == status, context.cancelled
