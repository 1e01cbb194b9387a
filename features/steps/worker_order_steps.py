"""Steps about sendings of orders to workers that break connections."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
from typing import Any
from unittest import mock

from behave import given
from behave import then
from behave import when

from features.search import job_search
from features.search import worker_fakes
from greengagering import coordination
from greengagering.platform import _worker_calls
from greengagering import state
from greengagering.transport._agent_client import AgentClient
from greengagering.transport._agent_runner import AgentRunner

NOTICE_ITERATIONS = 10
"""Iterations of the event loop within which a client notices that an idle
connection was closed."""

LARGE_FLEET = 272
"""Workers of a fleet that is large enough for orders through agents."""

LONG_S = 60.0
NOW_S = 100.0
KEY = state.RunKey('job1', '0.0.0', 1)

DONE = b'200 OK\r\n', b'{"wallClockMs":1000}'
NO_ROOM = b'409 Conflict\r\n', b'{"wallClockMs":1000,"reason":"room"}'

Handler = Callable[[int], tuple[bytes, bytes] | None]


class SocketWorker:
    """A worker that answers as a handler says, and may break connections.

    Attributes:
        requests: bodies of the requests, in the order of their arrival.
        connections: number of connections opened.
        closed: number of connections closed.
    """

    def __init__(
        self,
        handler: Handler,
        *,
        closes_idle: bool = False,
        has_ended: bool = False,
    ) -> None:
        self.requests: list[bytes] = []
        self.connections = 0
        self.closed = 0
        self._handler = handler
        self._closes_idle = closes_idle
        self._has_ended = has_ended

    def run(self, use: Callable[[state.WorkerFacts], Awaitable[None]]) -> None:
        """Listen while a function uses the worker.

        Timeouts are so long that a busy machine reaches none.
        """
        with (
            mock.patch.object(_worker_calls, 'ORDER_TIMEOUT_S', LONG_S),
            mock.patch.object(_worker_calls, 'CONNECT_TIMEOUT_S', LONG_S),
            mock.patch('greengagering.clock.steady_s', lambda: NOW_S),
        ):
            asyncio.run(self._listen(use))

    async def _listen(
        self, use: Callable[[state.WorkerFacts], Awaitable[None]]
    ) -> None:
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        if self._has_ended:
            server.close()
            await server.wait_closed()
        try:
            await use(create_facts(f'127.0.0.1:{port}'))
        finally:
            server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        try:
            while await self._answer(reader, writer):
                pass
        finally:
            writer.close()
            await writer.wait_closed()
            self.closed += 1

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a request; return whether the connection stays open."""
        try:
            head = await reader.readuntil(b'\r\n\r\n')
        except asyncio.IncompleteReadError:
            # The client has closed the connection.
            return False
        length = 0
        for line in head.lower().split(b'\r\n'):
            if line.startswith(b'content-length:'):
                length = int(line.partition(b':')[2])
        self.requests.append(await reader.readexactly(length))
        response = self._handler(len(self.requests))
        if response is None:
            return False
        status, body = response
        writer.write(
            b'HTTP/1.1 ' + status + b'Content-Type: application/json\r\n'
            b'Content-Length: %d\r\n\r\n' % len(body) + body
        )
        await writer.drain()
        return not self._closes_idle


def create_facts(address: str) -> state.WorkerFacts:
    """Return what a worker at an address reports about itself."""
    return state.WorkerFacts(
        'worker-0', 1, 'service-a', address, 'dc-1', 'r', (), worker_fakes.ROOM
    )


def create_scheduler(facts: state.WorkerFacts) -> coordination.JobScheduler:
    """Return the scheduler of a leader that has polled a worker.

    One job with one lasting task waits.
    """
    jobs = state.JobsState()
    step = state.StepSpec(1, state.Room(1000, 100), is_lasting=True)
    spec = state.JobSpec(KEY.job_id, 'text', (step,))
    record = state.JobAccepted(spec, job_search.QUEUE, 0)
    state.apply_to_jobs(jobs, record)
    state.apply_to_jobs(jobs, state.LifeSeen(facts))
    scheduler = coordination.JobScheduler(jobs)
    scheduler.start_leading(1, 0.0, 0)
    report = coordination.WorkerReport(facts, 1, 900, is_draining=False)
    scheduler.handle_report(report, 0.0)
    poll = scheduler.next_poll(facts.key, 0.0)
    assert poll is not None
    lists = coordination.LookAnswer(
        coordination.OrderOutcome.DONE, 900, facts.born_ms
    )
    scheduler.handle_poll_answer(poll, 0, lists, 0.0, 0.0)
    return scheduler


def commit(
    scheduler: coordination.JobScheduler, now_s: float
) -> list[state.JobRecord]:
    """Run a step, commit its proposals and return them."""
    records = scheduler.step(now_s, 0)
    records += scheduler.take_proposals()
    for record in records:
        state.apply_to_jobs(scheduler.jobs, record)
        scheduler.handle_applied(record, now_s, 0)
    return records


@given(
    'a worker that closes the connection of the first order and refuses the '
    'next ones for lack of room'
)
def breaking_worker(context: Any) -> None:
    context.worker = SocketWorker(
        lambda number: None if number == 1 else NO_ROOM
    )


@given('a worker that responds with status {status}')
def responding_worker(context: Any, status: str) -> None:
    head = status.encode() + b'\r\nLocation: /run-start\r\n'
    body = b'{"wallClockMs":1000}'
    context.worker = SocketWorker(lambda number: (head, body))


@given('a worker that closes each connection after its answer')
def closing_worker(context: Any) -> None:
    context.worker = SocketWorker(lambda number: DONE, closes_idle=True)


@given('a worker whose process has ended')
def ended_worker(context: Any) -> None:
    context.worker = SocketWorker(lambda number: DONE, has_ended=True)


def begin_start(
    context: Any, facts: state.WorkerFacts
) -> tuple[coordination.StartOrder, int]:
    """Return the order to start the run that is assigned, and its grant."""
    context.scheduler = create_scheduler(facts)
    commit(context.scheduler, 0.1)
    (order,) = context.scheduler.take_orders()
    assert isinstance(order, coordination.StartOrder)
    context.sent_at_s = 0.1
    grant = context.scheduler.open_start_grant(order, context.sent_at_s)
    return order, grant


def settle_start(
    context: Any,
    order: coordination.StartOrder,
    grant: int,
    answer: coordination.OrderAnswer,
) -> None:
    """Let the leader handle the answer to a start."""
    scheduler = context.scheduler
    scheduler.handle_order_answer(order, grant, answer, 0.2)
    context.view = scheduler.workers[order.life.key]
    context.records = commit(scheduler, 0.2)


@when('the leader orders a start')
def order_start(context: Any) -> None:
    async def use(facts: state.WorkerFacts) -> None:
        order, grant = begin_start(context, facts)
        client = _worker_calls.WorkerCalls()
        answer = await client.start(order)
        await client.close()
        settle_start(context, order, grant, answer)

    context.worker.run(use)


@then('the worker has received the order once')
def check_received(context: Any) -> None:
    count = len(context.worker.requests)
    assert count == 1, f'received {count} times'


@when('the leader orders a start through an agent')
def order_through_agent(context: Any) -> None:
    offer = coordination.AgentOffer('boot-1', 'dc-1', NOW_S)

    async def use(facts: state.WorkerFacts) -> None:
        order, grant = begin_start(context, facts)
        runner = AgentRunner(
            'entry-1',
            'boot-1',
            _worker_calls.WorkerCalls(),
            lambda address, answers: client.receive(answers),
        )
        client = AgentClient(
            _worker_calls.WorkerCalls(),
            coordination.AgentRegistry(),
            lambda: LARGE_FLEET,
            lambda: NOW_S + 1,
            lambda agent, batch: runner.receive(batch),
            'control-1',
        )
        client.receive_offer('entry-1', 'entry-1', offer, NOW_S)
        answer = await client.start(order)
        await runner.close()
        await client.close()
        settle_start(context, order, grant, answer)

    context.worker.run(use)


@then('the run is voided')
def check_voided(context: Any) -> None:
    assert state.RunsVoided((KEY,)) in context.records, context.records


@then('the run is not voided')
def check_not_voided(context: Any) -> None:
    voided = state.RunsVoided((KEY,))
    assert voided not in context.records, context.records
    assert KEY.name in context.view.runs


@then("the worker's lease counts as possibly held for {seconds:g} s")
def check_lease(context: Any, seconds: float) -> None:
    held_s = context.view.lease_ends_at_s() - context.sent_at_s
    assert held_s >= seconds, held_s


@when('the leader polls it')
def poll_worker(context: Any) -> None:
    async def use(facts: state.WorkerFacts) -> None:
        client = _worker_calls.WorkerCalls()
        context.answer = await client.poll(
            coordination.LookOrder(facts, 1, 7, 0, 0)
        )
        await client.close()

    context.worker.run(use)


@then('the poll counts as unanswered')
def check_unanswered_poll(context: Any) -> None:
    outcome = context.answer.outcome
    assert outcome is coordination.OrderOutcome.NO_ANSWER, outcome


@then("its connection doesn't count as refused")
def check_not_refused(context: Any) -> None:
    assert not context.answer.is_refused


@then('its connection counts as refused')
def check_refused(context: Any) -> None:
    assert context.answer.is_refused


@when('it gets {count:d} orders one after the other')
def send_orders(context: Any, count: int) -> None:
    context.outcomes = []

    async def use(facts: state.WorkerFacts) -> None:
        client = _worker_calls.WorkerCalls()
        for _ in range(count):
            order = coordination.StopOrder(facts, KEY, 1)
            answer = await client.stop(order)
            context.outcomes.append(answer.outcome)
            await _wait_for_notice(context.worker)
        await client.close()

    context.worker.run(use)


async def _wait_for_notice(worker: SocketWorker) -> None:
    """Wait until a worker's connections are closed at both ends."""
    while worker.closed < worker.connections:
        await asyncio.sleep(0)
    for _ in range(NOTICE_ITERATIONS):
        await asyncio.sleep(0)


@then('each of them is answered over a connection of its own')
def check_connections(context: Any) -> None:
    outcomes = context.outcomes
    done = coordination.OrderOutcome.DONE
    assert all(outcome is done for outcome in outcomes), outcomes
    assert context.worker.connections == len(outcomes)


def answer_order(
    scheduler: coordination.JobScheduler,
    order: coordination.Order,
    outcome: coordination.OrderOutcome,
    now_s: float,
) -> None:
    """Let the scheduler handle an answer to an order."""
    grant = 0
    if isinstance(order, coordination.StartOrder):
        grant = scheduler.open_start_grant(order, now_s)
    clock_ms = 900 + int(now_s * 1000)
    if outcome is coordination.OrderOutcome.NO_ANSWER:
        answer = coordination.OrderAnswer(outcome)
    else:
        answer = coordination.OrderAnswer(outcome, clock_ms)
    scheduler.handle_order_answer(order, grant, answer, now_s)


def poll_lists(
    scheduler: coordination.JobScheduler,
    facts: state.WorkerFacts,
    running: tuple[coordination.ListedRun, ...],
    clock_ms: int,
    now_s: float,
) -> None:
    """Let the scheduler poll a worker, and handle its lists."""
    poll = scheduler.next_poll(facts.key, now_s)
    assert poll is not None
    grant = scheduler.open_poll_grant(poll, now_s)
    lists = coordination.LookAnswer(
        coordination.OrderOutcome.DONE, clock_ms, facts.born_ms, running
    )
    scheduler.handle_poll_answer(poll, grant, lists, now_s, now_s)


@given('a worker that left a start unanswered, and {outcome} its repetition')
def repeat_start(context: Any, outcome: str) -> None:
    kinds = coordination.OrderOutcome
    context.facts = create_facts('w:80')
    context.scheduler = scheduler = create_scheduler(context.facts)
    commit(scheduler, 0.1)
    (first,) = scheduler.take_orders()
    answer_order(scheduler, first, kinds.NO_ANSWER, 0.6)
    poll_lists(scheduler, context.facts, (), 1600, 0.7)
    commit(scheduler, 1.0)
    (second,) = scheduler.take_orders()
    assert isinstance(second, coordination.StartOrder)
    kind = kinds.DONE if outcome == 'carried out' else kinds.UNHEALTHY
    answer_order(scheduler, second, kind, 1.1)
    commit(scheduler, 1.1)
    for stop in scheduler.take_orders():
        assert isinstance(stop, coordination.StopOrder)
        answer_order(scheduler, stop, kinds.DONE, 1.2)


@given('a worker that has stopped a run, and has not answered its start')
def stop_unanswered(context: Any) -> None:
    context.facts = create_facts('w:80')
    context.scheduler = scheduler = create_scheduler(context.facts)
    commit(scheduler, 0.1)
    (start,) = scheduler.take_orders()
    assert isinstance(start, coordination.StartOrder)
    view = scheduler.workers[context.facts.key]
    scheduler.empty_run(view, view.runs[KEY.name], 0.2)
    (stop,) = scheduler.take_orders()
    answer_order(scheduler, stop, coordination.OrderOutcome.DONE, 0.3)


@given('a worker that has carried out the start of a run')
def carry_out_start(context: Any) -> None:
    context.facts = create_facts('w:80')
    context.scheduler = scheduler = create_scheduler(context.facts)
    commit(scheduler, 0.1)
    (start,) = scheduler.take_orders()
    answer_order(scheduler, start, coordination.OrderOutcome.DONE, 0.3)


@when('the worker restarts under its name and lists no run')
def restart_worker(context: Any) -> None:
    scheduler = context.scheduler
    context.restarted = dataclasses.replace(context.facts, born_ms=1300)
    report = coordination.WorkerReport(
        context.restarted, 1, 10, is_draining=False
    )
    record = scheduler.handle_report(report, 1.31)
    assert isinstance(record, state.LifeSeen)
    state.apply_to_jobs(scheduler.jobs, record)
    scheduler.handle_applied(record, 1.31, 0)
    # Orders to refuse what may come late are lost, and so repeated later.
    for order in scheduler.take_orders():
        assert isinstance(order, coordination.StopOrder), order
        assert order.life == context.restarted
        assert order.key == KEY
    poll_lists(scheduler, context.restarted, (), 700, 2.0)
    context.records = commit(scheduler, 2.0)


def is_over(context: Any) -> bool:
    """Tell whether the last step declared the earlier incarnation over."""
    return any(
        isinstance(record, state.LifeOver)
        and record.life_key == context.facts.key
        for record in context.records
    )


@then('the earlier incarnation is not over yet')
def check_not_over(context: Any) -> None:
    assert not is_over(context), context.records


@when('the restarted worker confirms that it refuses the run')
def confirm_refusal(context: Any) -> None:
    scheduler = context.scheduler
    (stop,) = scheduler.take_orders()
    assert isinstance(stop, coordination.StopOrder), stop
    assert stop.life == context.restarted
    assert stop.key.name == KEY.name
    done = coordination.OrderAnswer(coordination.OrderOutcome.DONE, 800)
    scheduler.handle_order_answer(stop, 0, done, 2.1)
    context.records = commit(scheduler, 2.4)


@when('the restarted worker lists the run, which it stops')
def list_stopping_run(context: Any) -> None:
    listed = coordination.ListedRun(KEY, '', 100, None)
    poll_lists(context.scheduler, context.restarted, (listed,), 1250, 2.55)
    context.records = commit(context.scheduler, 2.55)


@when('the restarted worker lists no run any more')
def list_no_run(context: Any) -> None:
    poll_lists(context.scheduler, context.restarted, (), 2000, 3.3)
    context.records = commit(context.scheduler, 3.3)


def is_restarted_usable(context: Any) -> bool:
    """Tell whether the restarted worker may get new runs."""
    view = context.scheduler.workers[context.restarted.key]
    return bool(view.is_usable(view.heard_at_s))


@then('the restarted worker gets no new run')
def check_restarted_unusable(context: Any) -> None:
    assert not is_restarted_usable(context)


@then('the restarted worker may get new runs')
def check_restarted_usable(context: Any) -> None:
    assert is_restarted_usable(context)


@when('the restarted worker says that it leaves, and answers nothing')
def leave_unanswered(context: Any) -> None:
    scheduler = context.scheduler
    report = coordination.WorkerReport(
        context.restarted, 2, 800, is_draining=True
    )
    record = scheduler.handle_report(report, 2.1)
    assert isinstance(record, state.LifeDraining)
    state.apply_to_jobs(scheduler.jobs, record)
    scheduler.handle_applied(record, 2.1, 0)
    scheduler.handle_leave(context.restarted.worker_id, 2.2)
    no_answer = coordination.OrderOutcome.NO_ANSWER
    for order in scheduler.take_orders():
        answer_order(scheduler, order, no_answer, 2.6)
    context.records = []
    for now_s in (2.6, 3.3, 3.6):
        fail_poll(context, now_s, coordination.LookAnswer(no_answer))


def fail_poll(
    context: Any, now_s: float, answer: coordination.LookAnswer
) -> None:
    """Let a poll of the restarted worker fail, and run a step."""
    scheduler = context.scheduler
    poll = scheduler.next_poll(context.restarted.key, now_s)
    assert poll is not None
    scheduler.handle_poll_answer(poll, 0, answer, now_s, now_s)
    context.records += commit(scheduler, now_s)


@when("the restarted worker's address refuses a poll")
def refuse_poll(context: Any) -> None:
    no_answer = coordination.OrderOutcome.NO_ANSWER
    refused = coordination.LookAnswer(no_answer, is_refused=True)
    fail_poll(context, 4.0, refused)
    context.records += commit(context.scheduler, 4.3)


@then('the earlier incarnation is over')
def check_over(context: Any) -> None:
    assert is_over(context), context.records


@given(
    'a worker that left a start unanswered, and whose lists show the run '
    'before it refuses the repetition'
)
def refuse_listed_run(context: Any) -> None:
    kinds = coordination.OrderOutcome
    facts = create_facts('w:80')
    context.scheduler = scheduler = create_scheduler(facts)
    commit(scheduler, 0.1)
    (first,) = scheduler.take_orders()
    answer_order(scheduler, first, kinds.NO_ANSWER, 0.6)
    poll_lists(scheduler, facts, (), 1600, 0.7)
    commit(scheduler, 1.0)
    (second,) = scheduler.take_orders()
    assert isinstance(second, coordination.StartOrder)
    listed = coordination.ListedRun(KEY, '', 100, None)
    poll_lists(scheduler, facts, (listed,), 1950, 1.05)
    answer_order(scheduler, second, kinds.UNHEALTHY, 1.1)
    context.records = commit(scheduler, 1.1)


@then('no order to stop the run follows')
def check_no_stop(context: Any) -> None:
    assert not context.scheduler.take_orders()
    assert state.RunsVoided((KEY,)) not in context.records
