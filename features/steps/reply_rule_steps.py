"""Steps in which a reply arrives after its receiver or sender changed."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import types
from typing import Any
from unittest import mock

from behave import given
from behave import then
from behave import when
from result import Ok

from features.steps import gateway_steps
from greengagering import coordination
from greengagering.coordination import workers
from greengagering import state
from greengagering.transport._agent_client import AgentClient
from greengagering.transport._agent_runner import AgentRunner
from greengagering.transport import _claim_resolver
from greengagering.transport._job_call_handler import JobCallHandler
from greengagering.transport import _metrics

NOW_S = 100.0
DEADLINE_S = 103.0
WORKER_COUNT = 272
"""Workers of a fleet that is large enough for orders through agents."""

LOOP_ITERATIONS = 20
ANSWER_BATCH_WAIT_S = 0.03
"""Time after which an agent has sent the answers that it collected."""

QUEUE = state.Queue('queue', 'host', '/a/', 'service-a')
KEY = 'key-1'


def _leader_answer(call: coordination.JobCall) -> coordination.JobAnswer:
    """Return the answer of a leader's call handler."""
    plan = state.RoutePlan(1, (QUEUE,), (), 1000, b'')
    jobs = types.SimpleNamespace(plan=plan, jobs={})
    submissions = types.SimpleNamespace(judge=lambda *arguments: None)
    core = types.SimpleNamespace(
        state=types.SimpleNamespace(jobs=jobs),
        jobs=types.SimpleNamespace(submissions=submissions),
    )

    async def commit(record: state.JobRecord) -> Any:
        return Ok(None)

    handler = JobCallHandler(
        core,  # type: ignore[arg-type]
        commit,
        lambda: 0,
        _metrics.create_control_metrics(),
    )
    return asyncio.run(handler.answer(call))


def _forward_job(boot_id: str, job_id: str) -> Any:
    """Start an entry that forwards a job; return its gateway and the call."""
    gateway = coordination.JobGateway(
        'entry-1', 'entry-1', ('control-1',), boot_id, 'dc-1'
    )
    leading = gateway_steps.status('control-1', 'control-1')
    gateway.receive('control-1', leading, NOW_S)
    spec = state.JobSpec(
        job_id, 'text', (state.StepSpec(1, state.Room(1, 1)),)
    )
    gateway.submit(
        coordination.CallKind.SUBMIT,
        QUEUE.host,
        f'{QUEUE.path_prefix}{job_id}',
        spec,
        DEADLINE_S,
        NOW_S,
    )
    (call,) = [
        outgoing.message
        for outgoing in gateway.take_outbox()
        if isinstance(outgoing.message, coordination.JobCall)
    ]
    return gateway, call


@given('an entry that has forwarded job {job_id} to the leader')
def first_process(context: Any, job_id: str) -> None:
    _, context.first_call = _forward_job('boot-1', job_id)


@when('the entry restarts and forwards job {job_id}')
def second_process(context: Any, job_id: str) -> None:
    context.gateway, context.second_call = _forward_job('boot-2', job_id)


@when("the leader's answer to the {which} job arrives")
def leader_answers(context: Any, which: str) -> None:
    calls = {'first': context.first_call, 'second': context.second_call}
    answer = _leader_answer(calls[which])
    context.gateway.receive('control-1', answer, NOW_S)


@then('the second job has no answer yet')
def check_open(context: Any) -> None:
    assert not context.gateway.take_answers()
    assert len(context.gateway.open_calls) == 1


@then('the second job is answered as done')
def check_done(context: Any) -> None:
    (answer,) = context.gateway.take_answers()
    assert answer.outcome is coordination.JobOutcome.DONE, answer


class DelayedWorkers:
    """Answers an order to start only when the test sets the answer."""

    def __init__(self) -> None:
        self.received: list[asyncio.Future[coordination.OrderAnswer]] = []

    async def start(
        self, order: coordination.StartOrder
    ) -> coordination.OrderAnswer:
        """Record an order and wait for its answer."""
        future = asyncio.get_running_loop().create_future()
        self.received.append(future)
        return await future

    async def stop(
        self, order: coordination.StopOrder
    ) -> coordination.OrderAnswer:
        """Not used here."""
        raise NotImplementedError

    async def pace(
        self, order: coordination.PaceOrder
    ) -> coordination.OrderAnswer:
        """Not used here."""
        raise NotImplementedError

    async def poll(
        self, order: coordination.LookOrder
    ) -> coordination.LookAnswer:
        """Not used here."""
        raise NotImplementedError

    async def close(self) -> None:
        """Nothing is open."""


class AgentPair:
    """One agent, and the leader's process that sends it orders."""

    def __init__(self) -> None:
        self.workers = DelayedWorkers()
        self.client: AgentClient | None = None
        self.runner = AgentRunner(
            'entry-1', 'boot-1', self.workers, self._send_answers
        )
        self.now_s = NOW_S

    def _send_answers(
        self, address: str, answers: coordination.AgentAnswers
    ) -> None:
        assert self.client is not None
        self.client.receive(answers)

    def start_leader(self) -> None:
        """Replace the leader's process by a new one."""
        self.client = AgentClient(
            DelayedWorkers(),
            coordination.AgentRegistry(),
            lambda: WORKER_COUNT,
            lambda: self.now_s + 1,
            lambda agent, batch: self.runner.receive(batch),
            'control-1',
        )
        offer = coordination.AgentOffer('boot-1', 'dc-1', self.now_s)
        self.client.receive_offer('entry-1', 'entry-1', offer, self.now_s)

    def order(self, number: int, term: int) -> asyncio.Future[Any]:
        """Send an order to start a run; each number has its own worker."""
        assert self.client is not None
        life = state.WorkerFacts(
            f'w{number}',
            1,
            'service-a',
            f'10.0.0.1:{number}',
            'dc-1',
            'rack-1',
            (),
            state.Room(1000, 1000),
        )
        key = state.RunKey(f'job-{number}', '0.0.0', 1)
        fence = workers.create_fence(term, 1)
        order = coordination.StartOrder(life, key, 'text', 5000, fence, '')
        return asyncio.ensure_future(self.client.start(order))


async def _run_callbacks() -> None:
    for _ in range(LOOP_ITERATIONS):
        await asyncio.sleep(0)


def _add_action(
    context: Any,
    action: Callable[[AgentPair, dict[str, Any]], Awaitable[None]],
) -> None:
    context.actions = [*getattr(context, 'actions', []), action]


def _run_actions(context: Any) -> None:
    """Run the actions of all steps so far, from the start."""

    async def run() -> None:
        pair = AgentPair()
        orders: dict[str, Any] = {}
        for action in context.actions:
            await action(pair, orders)
        await pair.runner.close()

    with mock.patch('greengagering.clock.steady_s', lambda: NOW_S):
        asyncio.run(run())


@given(
    "an agent that has sent a leader's order to a worker that doesn't answer "
    'yet'
)
def send_first(context: Any) -> None:
    async def act(pair: AgentPair, orders: dict[str, Any]) -> None:
        pair.start_leader()
        orders['first'] = pair.order(1, term=3)
        await _run_callbacks()
        assert len(pair.workers.received) == 1

    _add_action(context, act)


@when('the leader restarts and sends the agent another order')
def send_second(context: Any) -> None:
    async def act(pair: AgentPair, orders: dict[str, Any]) -> None:
        pair.start_leader()
        orders['second'] = pair.order(2, term=4)
        await _run_callbacks()
        assert len(pair.workers.received) == 2

    _add_action(context, act)


@when('the worker answers the {which} order')
def worker_answers(context: Any, which: str) -> None:
    position = ('first', 'second').index(which)
    done = coordination.OrderAnswer(coordination.OrderOutcome.DONE, 1000)

    async def act(pair: AgentPair, orders: dict[str, Any]) -> None:
        pair.workers.received[position].set_result(done)
        await asyncio.sleep(ANSWER_BATCH_WAIT_S)
        await _run_callbacks()

    _add_action(context, act)


@then('the second order has no answer yet')
def check_unanswered(context: Any) -> None:
    async def act(pair: AgentPair, orders: dict[str, Any]) -> None:
        assert not orders['second'].done(), orders['second']

    _add_action(context, act)
    _run_actions(context)


@then('the second order counts as done')
def check_answered(context: Any) -> None:
    async def act(pair: AgentPair, orders: dict[str, Any]) -> None:
        answer = orders['second'].result()
        assert answer.outcome is coordination.OrderOutcome.DONE, answer

    _add_action(context, act)
    _run_actions(context)


def _create_claim_holder(boot_id: str) -> coordination.ClaimTable:
    """Return the claims of a process that holds the key's claim.

    The work has not been run.
    """
    claims = coordination.ClaimTable(boot_id)
    claims.request_claim(state.ClaimAsk(KEY, 'digest', 0))
    granted = state.ClaimAnswer(KEY, state.ClaimVerdict.GRANTED)
    assert claims.record_verdict(granted, NOW_S)
    return claims


def _request_outcome(
    claims: coordination.ClaimTable, boot_id: str
) -> coordination.OutcomeResponse:
    """Request the outcome from a holder and return its response."""
    request = coordination.OutcomeRequest('entry-3', 'entry-3', boot_id, KEY)
    claims.answer_outcome_request(request)
    (outcome,) = claims.take_outcomes()
    return outcome.response


@given('keyed work that entry-1 has given up and entry-2 runs')
def two_holders(context: Any) -> None:
    context.first_claims = _create_claim_holder('boot-1')
    _request_outcome(context.first_claims, 'boot-1')
    context.second_claims = _create_claim_holder('boot-2')
    assert context.second_claims.begin(KEY)


@when(
    'entry-3 requests the outcome from entry-2, and an earlier response of '
    'entry-1 arrives'
)
def receive_late_outcome(context: Any) -> None:
    context.own_claims = coordination.ClaimTable('boot-3')
    context.outcome = None

    def request_outcome(holder: state.Claim, key_id: str) -> bool:
        request = coordination.OutcomeRequest(
            'entry-3', 'entry-3', holder.boot_id, key_id
        )
        context.second_claims.answer_outcome_request(request)
        return True

    core = types.SimpleNamespace(
        identity=types.SimpleNamespace(boot_id='boot-3'),
        claims=context.own_claims,
        request_outcome=request_outcome,
    )

    async def run() -> None:
        resolver = _claim_resolver.ClaimResolver(
            core,  # type: ignore[arg-type]
            lambda: None,
        )
        loop = asyncio.get_running_loop()
        work = _claim_resolver.KeyedWork(KEY, 'digest', 0, loop.time() + 5)
        task = asyncio.ensure_future(resolver.resolve(work))
        await _run_callbacks()
        holder = state.Claim('digest', 'entry-2', 'boot-2', 0)
        context.own_claims.take_due_requests(NOW_S)
        held = state.ClaimAnswer(KEY, state.ClaimVerdict.HELD, holder)
        resolver.receive_verdicts(
            coordination.ClaimResponse('boot-3', (held,))
        )
        await _run_callbacks()
        resolver.receive_outcome(
            _request_outcome(context.first_claims, 'boot-1')
        )
        await _run_callbacks()
        context.claim_requests = context.own_claims.take_due_requests(NOW_S)
        if not context.claim_requests:
            context.second_claims.end(
                KEY,
                coordination.WorkState.ANSWERED,
                coordination.KeptAnswer(200, (), b'whole'),
            )
            for outcome in context.second_claims.take_outcomes():
                resolver.receive_outcome(outcome.response)
            context.outcome = await task
        task.cancel()

    asyncio.run(run())


@then("entry-3 doesn't request the claim of entry-2")
def check_no_claim_request(context: Any) -> None:
    assert not context.claim_requests, context.claim_requests


@then("its caller gets the answer once entry-2's work has ended")
def check_kept_answer(context: Any) -> None:
    assert context.outcome is not None
    assert context.outcome.body == b'whole', context.outcome


class FakeScheduler:
    """The part of a job scheduler that a machine manager uses; one worker."""

    def __init__(self) -> None:
        plan = state.RoutePlan(1, (QUEUE,), (), 1000, b'')
        self.jobs = state.JobsState(plan=plan)
        self.fence = 1
        self.is_leading = True
        self.view = types.SimpleNamespace(
            key='worker-2@1',
            facts=types.SimpleNamespace(
                worker_id='worker-2', service='service-a'
            ),
            suspect_since_s=None,
            seen_at_s=NOW_S,
            runs={'run': None},
        )
        self.workers = {'worker-2@1': self.view}
        self.over_workers: list[str] = []

    def declare_over(
        self, view: Any, cause: str, *, is_crash: bool = False
    ) -> None:
        """Record that a worker's incarnation was declared over."""
        self.over_workers.append(view.facts.worker_id)

    def run_part(self, part: Callable[..., None], *arguments: Any) -> bool:
        """Run a part of the manager's step, with its errors."""
        part(*arguments)
        return True


def _request_machines(context: Any, now_s: float) -> coordination.ListMachines:
    """Let the manager step and return its request for a list."""
    context.manager.step(now_s, 0)
    (call,) = context.manager.take_calls()
    assert isinstance(call, coordination.ListMachines)
    return call


def _deliver_machine_list(
    context: Any,
    call: coordination.ListMachines,
    worker_id: str,
    now_s: float,
    status: coordination.MachineState = coordination.MachineState.UP,
) -> None:
    machine = coordination.Machine(
        'machine-1',
        'service-a',
        status,
        worker_id,
        'rack-1',
        state.Room(1000, 1000),
    )
    context.manager.handle_machine_list(call, (machine,), now_s)


@given(
    'a leader that requested the machines and then lost and regained '
    'leadership'
)
def regain_leadership(context: Any) -> None:
    context.scheduler = FakeScheduler()
    context.manager = coordination.MachineManager(
        context.scheduler, 'control-1'
    )
    context.manager.pool_planner = types.SimpleNamespace(
        find_moves=lambda *arguments: [], start_term=lambda now_s: None
    )
    context.first_list = _request_machines(context, NOW_S)
    context.scheduler.fence = 3


@when('a new list shows {worker_id} on machine-1, and {silent} becomes silent')
def deliver_new_list(context: Any, worker_id: str, silent: str) -> None:
    call = _request_machines(context, NOW_S + 0.6)
    _deliver_machine_list(context, call, worker_id, NOW_S + 0.7)
    context.scheduler.view.suspect_since_s = NOW_S + 0.8
    context.second_list = _request_machines(context, NOW_S + 1.3)


@when('the earlier list arrives, with {worker_id} on machine-1')
def deliver_earlier_list(context: Any, worker_id: str) -> None:
    _deliver_machine_list(context, context.first_list, worker_id, NOW_S + 1.4)


@when('the list requested since then arrives, with machine-1 down')
def deliver_requested_list(context: Any) -> None:
    _deliver_machine_list(
        context,
        context.second_list,
        '',
        NOW_S + 1.5,
        coordination.MachineState.DOWN,
    )


@then('{worker_id} is not declared over')
def check_kept_worker(context: Any, worker_id: str) -> None:
    assert worker_id not in context.scheduler.over_workers


@then('{worker_id} is declared over')
def check_ended_worker(context: Any, worker_id: str) -> None:
    assert context.scheduler.over_workers == [worker_id]


@given("a caller that requested a claim for a key's work and disconnected")
def first_caller(context: Any) -> None:
    context.own_claims = coordination.ClaimTable('boot-3')
    context.own_claims.request_claim(state.ClaimAsk(KEY, 'digest', 0))


@when(
    'another caller waits with other work under that key, and the claim is '
    'granted'
)
def second_caller(context: Any) -> None:
    core = types.SimpleNamespace(
        identity=types.SimpleNamespace(boot_id='boot-3'),
        claims=context.own_claims,
    )

    async def run() -> None:
        resolver = _claim_resolver.ClaimResolver(
            core,  # type: ignore[arg-type]
            lambda: None,
        )
        loop = asyncio.get_running_loop()
        work = _claim_resolver.KeyedWork(
            KEY, 'other digest', 0, loop.time() + 5
        )
        task = asyncio.ensure_future(resolver.resolve(work))
        await _run_callbacks()
        granted = state.ClaimAnswer(KEY, state.ClaimVerdict.GRANTED)
        resolver.receive_verdicts(
            coordination.ClaimResponse('boot-3', (granted,))
        )
        context.outcome = await task

    asyncio.run(run())


@then('the other caller is refused because the key is used already')
def check_key_reused(context: Any) -> None:
    wanted = coordination.RefusalReason.KEY_REUSED
    assert context.outcome is wanted, context.outcome
