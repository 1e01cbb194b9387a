"""Steps in which replies come after their receiver or its peer has changed."""

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

from greengagering import coordination
from greengagering import state
from greengagering.transport._agent_client import AgentClient
from greengagering.transport._agent_runner import AgentRunner
from greengagering.transport import _claim_desk
from greengagering.transport._job_desk import JobDesk
from greengagering.transport import _metrics

NOW_S = 100.0
DEADLINE_S = 103.0
WORKER_COUNT = 272
"""Workers of a fleet whose leader gives orders to agents."""

TURNS = 20
GATHER_S = 0.03
"""Time in which an agent has sent the answers that it gathered."""

QUEUE = state.Queue('queue', 'host', '/a/', 'service-a')
KEY = 'key-1'


def _leader_answer(call: coordination.JobCall) -> coordination.JobAnswer:
    """Return what a leader's desk answers to a call."""
    plan = state.RoutePlan(1, (QUEUE,), (), 1000, b'')
    jobs = types.SimpleNamespace(plan=plan, jobs={})
    core = types.SimpleNamespace(state=types.SimpleNamespace(jobs=jobs))

    async def commit(record: state.JobRecord) -> Any:
        return Ok(None)

    desk = JobDesk(
        core,  # type: ignore[arg-type]
        commit,
        lambda: 0,
        _metrics.create_control_metrics(),
    )
    return asyncio.run(desk.answer(call))


def _pass_on(boot_id: str, job_id: str) -> Any:
    """Start an entry that passes a job on; return it and the call."""
    gateway = coordination.JobGateway(
        'entry-1', 'entry-1', ('control-1',), boot_id, 'dc-1'
    )
    gateway.receive(
        'control-1',
        coordination.ControlStatus(
            replica_id='control-1',
            address='control-1',
            leader_id='control-1',
            leader_address='control-1',
            is_leader=True,
            members=(),
            max_body_bytes=1000,
            number=0,
        ),
        NOW_S,
    )
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


@given('an entry that has passed job {job_id} on to the leader')
def first_process(context: Any, job_id: str) -> None:
    _, context.first_call = _pass_on('boot-1', job_id)


@when('the entry restarts and passes job {job_id} on')
def second_process(context: Any, job_id: str) -> None:
    context.gateway, context.second_call = _pass_on('boot-2', job_id)


@when("the leader's answer to the {which} comes")
def leader_answers(context: Any, which: str) -> None:
    calls = {'first': context.first_call, 'second': context.second_call}
    answer = _leader_answer(calls[which])
    context.gateway.receive('control-1', answer, NOW_S)


@then('the second has no answer yet')
def check_open(context: Any) -> None:
    assert not context.gateway.take_answers()
    assert len(context.gateway.open_calls) == 1


@then('the second is told done')
def check_done(context: Any) -> None:
    (answer,) = context.gateway.take_answers()
    assert answer.outcome is coordination.JobOutcome.DONE, answer


class HeldWorkers:
    """Answers each order to start only when it is told to."""

    def __init__(self) -> None:
        self.taken: list[asyncio.Future[coordination.OrderAnswer]] = []

    async def start(
        self, order: coordination.StartOrder
    ) -> coordination.OrderAnswer:
        """Take an order, and wait."""
        future = asyncio.get_running_loop().create_future()
        self.taken.append(future)
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

    async def look(
        self, order: coordination.LookOrder
    ) -> coordination.LookAnswer:
        """Not used here."""
        raise NotImplementedError

    async def close(self) -> None:
        """Nothing is open."""


class AgentPair:
    """One agent, and the leader's process that gives it orders."""

    def __init__(self) -> None:
        self.workers = HeldWorkers()
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
        """Let a new process of the leader take the earlier one's place."""
        self.client = AgentClient(
            HeldWorkers(),
            coordination.AgentRoster(),
            lambda: WORKER_COUNT,
            lambda: self.now_s + 1,
            lambda agent, batch: self.runner.receive(batch),
            'control-1',
        )
        offer = coordination.AgentOffer('boot-1', 'dc-1', self.now_s)
        self.client.note_offer('entry-1', 'entry-1', offer, self.now_s)

    def order(self, number: int, term: int) -> asyncio.Future[Any]:
        """Give an order of its own to a worker of its own."""
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
        order = coordination.StartOrder(life, key, 'text', 5000, term, '')
        return asyncio.ensure_future(self.client.start(order))


async def _turns() -> None:
    for _ in range(TURNS):
        await asyncio.sleep(0)


def _add(
    context: Any,
    action: Callable[[AgentPair, dict[str, Any]], Awaitable[None]],
) -> None:
    context.actions = [*getattr(context, 'actions', []), action]


def _play(context: Any) -> None:
    """Run what the steps so far have asked for, from the start."""

    async def run() -> None:
        pair = AgentPair()
        orders: dict[str, Any] = {}
        for action in context.actions:
            await action(pair, orders)
        await pair.runner.close()

    with mock.patch('greengagering.clock.steady_s', lambda: NOW_S):
        asyncio.run(run())


@given(
    "an agent that carries an order of a leader to a worker that doesn't "
    'answer yet'
)
def carry_first(context: Any) -> None:
    async def act(pair: AgentPair, orders: dict[str, Any]) -> None:
        pair.start_leader()
        orders['first'] = pair.order(1, term=3)
        await _turns()
        assert len(pair.workers.taken) == 1

    _add(context, act)


@when('the leader restarts and gives the agent another order')
def carry_second(context: Any) -> None:
    async def act(pair: AgentPair, orders: dict[str, Any]) -> None:
        pair.start_leader()
        orders['second'] = pair.order(2, term=4)
        await _turns()
        assert len(pair.workers.taken) == 2

    _add(context, act)


@when('the worker answers the {which} one')
def worker_answers(context: Any, which: str) -> None:
    position = ('first', 'second').index(which)
    done = coordination.OrderAnswer(coordination.OrderOutcome.DONE, 1000)

    async def act(pair: AgentPair, orders: dict[str, Any]) -> None:
        pair.workers.taken[position].set_result(done)
        await asyncio.sleep(GATHER_S)
        await _turns()

    _add(context, act)


@then('the second order has no answer yet')
def check_unanswered(context: Any) -> None:
    async def act(pair: AgentPair, orders: dict[str, Any]) -> None:
        assert not orders['second'].done(), orders['second']

    _add(context, act)
    _play(context)


@then('the second order counts as done')
def check_answered(context: Any) -> None:
    async def act(pair: AgentPair, orders: dict[str, Any]) -> None:
        answer = orders['second'].result()
        assert answer.outcome is coordination.OrderOutcome.DONE, answer

    _add(context, act)
    _play(context)


def _held_book(boot_id: str) -> coordination.ClaimBook:
    """Return the book of a process that holds the key's claim, not run."""
    book = coordination.ClaimBook(boot_id)
    book.ask(state.ClaimAsk(KEY, 'digest', 0))
    granted = state.ClaimAnswer(KEY, state.ClaimVerdict.GRANTED)
    assert book.note_answer(granted, NOW_S)
    return book


def _word_of(
    book: coordination.ClaimBook, boot_id: str
) -> coordination.OutcomeResponse:
    """Ask a holder for its outcome, and return its response."""
    request = coordination.OutcomeRequest('entry-3', 'entry-3', boot_id, KEY)
    book.note_outcome_request(request)
    (outcome,) = book.take_outcomes()
    return outcome.response


@given('keyed work that entry-1 has given up and entry-2 runs')
def two_holders(context: Any) -> None:
    context.first_book = _held_book('boot-1')
    _word_of(context.first_book, 'boot-1')
    context.second_book = _held_book('boot-2')
    assert context.second_book.begin(KEY)


@when(
    'entry-3 asks entry-2 for its outcome, and a word of entry-1 comes again'
)
def late_word(context: Any) -> None:
    context.own_book = coordination.ClaimBook('boot-3')
    context.outcome = None

    def ask_outcome(holder: state.Claim, key_id: str) -> bool:
        request = coordination.OutcomeRequest(
            'entry-3', 'entry-3', holder.boot_id, key_id
        )
        context.second_book.note_outcome_request(request)
        return True

    core = types.SimpleNamespace(
        identity=types.SimpleNamespace(boot_id='boot-3'),
        claims=context.own_book,
        ask_outcome=ask_outcome,
    )

    async def run() -> None:
        desk = _claim_desk.ClaimDesk(
            core,  # type: ignore[arg-type]
            lambda: None,
        )
        loop = asyncio.get_running_loop()
        work = _claim_desk.KeyedWork(KEY, 'digest', 0, loop.time() + 5)
        task = asyncio.ensure_future(desk.settle(work))
        await _turns()
        holder = state.Claim('digest', 'entry-2', 'boot-2', 0)
        context.own_book.take_due_asks(NOW_S)
        held = state.ClaimAnswer(KEY, state.ClaimVerdict.HELD, holder)
        desk.note_response(coordination.ClaimResponse('boot-3', (held,)))
        await _turns()
        desk.note_outcome(_word_of(context.first_book, 'boot-1'))
        await _turns()
        context.asks = context.own_book.take_due_asks(NOW_S)
        if not context.asks:
            context.second_book.end(
                KEY,
                coordination.WorkState.ANSWERED,
                coordination.KeptAnswer(200, (), b'whole'),
            )
            for outcome in context.second_book.take_outcomes():
                desk.note_outcome(outcome.response)
            context.outcome = await task
        task.cancel()

    asyncio.run(run())


@then("entry-3 doesn't ask for the claim of entry-2")
def check_no_ask(context: Any) -> None:
    assert not context.asks, context.asks


@then("its caller gets the answer once entry-2's work has ended")
def check_kept(context: Any) -> None:
    assert context.outcome is not None
    assert context.outcome.body == b'whole', context.outcome


class Director:
    """What a keeper asks of the director, with one worker."""

    def __init__(self) -> None:
        plan = state.RoutePlan(1, (QUEUE,), (), 1000, b'')
        self.jobs = state.JobsState(plan=plan)
        self.fence = 1
        self.is_leading = True
        self.view = types.SimpleNamespace(
            facts=types.SimpleNamespace(worker_id='worker-2'),
            suspect_since_s=None,
            seen_at_s=NOW_S,
            runs={'run': None},
        )
        self.workers = {'worker-2@1': self.view}
        self.ended: list[str] = []

    def end_life(self, view: Any, cause: str) -> None:
        """Note that a life was given up."""
        self.ended.append(view.facts.worker_id)


def _ask_machines(context: Any, now_s: float) -> coordination.ListMachines:
    """Let the keeper step, and return its wish for a list."""
    context.keeper.step(now_s, 0)
    (call,) = context.keeper.take_calls()
    assert isinstance(call, coordination.ListMachines)
    return call


def _tell_machine(
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
    context.keeper.note_machines(call, (machine,), now_s)


@given(
    'a leader that asked for the machines and then lost and regained its lead'
)
def two_leads(context: Any) -> None:
    context.director = Director()
    context.keeper = coordination.MachineKeeper(context.director, 'control-1')
    context.keeper.pool_plan = types.SimpleNamespace(
        find_moves=lambda *arguments: []
    )
    context.first_list = _ask_machines(context, NOW_S)
    context.director.fence = 3


@when('it is told that {worker_id} has machine-1, and {silent} falls silent')
def tell_present(context: Any, worker_id: str, silent: str) -> None:
    call = _ask_machines(context, NOW_S + 0.6)
    _tell_machine(context, call, worker_id, NOW_S + 0.7)
    context.director.view.suspect_since_s = NOW_S + 0.8
    context.second_list = _ask_machines(context, NOW_S + 1.3)


@when('the earlier list comes, in which {worker_id} has machine-1')
def tell_former(context: Any, worker_id: str) -> None:
    _tell_machine(context, context.first_list, worker_id, NOW_S + 1.4)


@when('the list that was asked for since comes, in which machine-1 is down')
def tell_down(context: Any) -> None:
    _tell_machine(
        context,
        context.second_list,
        '',
        NOW_S + 1.5,
        coordination.MachineState.DOWN,
    )


@then('{worker_id} is not given up')
def check_kept_worker(context: Any, worker_id: str) -> None:
    assert worker_id not in context.director.ended


@then('{worker_id} is given up')
def check_ended_worker(context: Any, worker_id: str) -> None:
    assert context.director.ended == [worker_id]


@given("a caller who asked for a claim for a key's first work and has gone")
def first_caller(context: Any) -> None:
    context.own_book = coordination.ClaimBook('boot-3')
    context.own_book.ask(state.ClaimAsk(KEY, 'digest', 0))


@when(
    'another caller waits with other work under that key, and the grant comes'
)
def second_caller(context: Any) -> None:
    core = types.SimpleNamespace(
        identity=types.SimpleNamespace(boot_id='boot-3'),
        claims=context.own_book,
    )

    async def run() -> None:
        desk = _claim_desk.ClaimDesk(
            core,  # type: ignore[arg-type]
            lambda: None,
        )
        loop = asyncio.get_running_loop()
        work = _claim_desk.KeyedWork(KEY, 'other digest', 0, loop.time() + 5)
        task = asyncio.ensure_future(desk.settle(work))
        await _turns()
        granted = state.ClaimAnswer(KEY, state.ClaimVerdict.GRANTED)
        desk.note_response(coordination.ClaimResponse('boot-3', (granted,)))
        context.outcome = await task

    asyncio.run(run())


@then('the other caller is told that the key is used already')
def check_key_reused(context: Any) -> None:
    wanted = coordination.RefusalReason.KEY_REUSED
    assert context.outcome is wanted, context.outcome
