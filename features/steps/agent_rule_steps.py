"""Steps that run a leader and its agents without a network."""

import asyncio
import collections
from collections.abc import Iterator
import contextlib
from typing import Any

from behave import given
from behave import then
from behave import when

from greengagering import clock
from greengagering import coordination
from greengagering.coordination import workers
from greengagering import state
from greengagering.transport._agent_client import AgentClient
from greengagering.transport._agent_runner import AgentRunner

START_S = 100.0
AGENT_CLOCK_S = 7000.0
"""Difference between an agent's clock and the leader's."""

LEASE_S = 0.4
AGENTS = 8
TERM = 3
LARGE_FLEET = 272
NOTED_END = 7
DONE = coordination.OrderAnswer(coordination.OrderOutcome.DONE, 1000)


def _life(number: int, data_centre: str = 'dc-1') -> state.WorkerFacts:
    return state.WorkerFacts(
        f'w{number}',
        1,
        'service-a',
        f'10.0.0.1:{number}',
        data_centre,
        f'rack-{number // 8}',
        (),
        state.Room(32_000, 65_536),
    )


def _start(
    number: int, data_centre: str = 'dc-1', term: int = TERM
) -> coordination.StartOrder:
    key = state.RunKey(f'job-{number}', '0.0.0', 1)
    life = _life(number, data_centre)
    fence = workers.create_fence(term, 1)
    return coordination.StartOrder(life, key, 'text', 5000, fence, '')


class Workers:
    """Replaces the client of the workers, and records the orders sent."""

    def __init__(self, answer_after_s: float = 0.0) -> None:
        self.taken: list[coordination.Order] = []
        self.polls: list[coordination.LookOrder] = []
        self._answer_after_s = answer_after_s

    async def start(
        self, order: coordination.StartOrder
    ) -> coordination.OrderAnswer:
        """Record an order to start."""
        self.taken.append(order)
        if self._answer_after_s:
            await asyncio.sleep(0)
            VirtualClock.now_s += self._answer_after_s
        return DONE

    async def stop(
        self, order: coordination.StopOrder
    ) -> coordination.OrderAnswer:
        """Record an order to stop."""
        self.taken.append(order)
        return DONE

    async def pace(
        self, order: coordination.PaceOrder
    ) -> coordination.OrderAnswer:
        """Record an order to change the pace."""
        self.taken.append(order)
        return DONE

    async def poll(
        self, order: coordination.LookOrder
    ) -> coordination.LookAnswer:
        """Record a poll, and answer it with empty lists."""
        self.polls.append(order)
        return coordination.LookAnswer(coordination.OrderOutcome.DONE)

    async def close(self) -> None:
        """Do nothing, as no connection is open."""


class VirtualClock:
    """The clock that the code under test reads, in seconds."""

    now_s = START_S


@contextlib.contextmanager
def virtual_clock() -> Iterator[None]:
    """Replace the steady clock of the code under test by VirtualClock."""
    steady_s = clock.steady_s
    clock.steady_s = lambda: VirtualClock.now_s
    VirtualClock.now_s = START_S
    try:
        yield
    finally:
        clock.steady_s = steady_s


async def _run_loop(count: int = 12) -> None:
    for _ in range(count):
        await asyncio.sleep(0)


class Leader:
    """A leader's client with its agents, and the messages it sent."""

    def __init__(self, worker_count: int) -> None:
        self.direct = Workers()
        self.registry = coordination.AgentRegistry()
        self.sent: dict[str, list[coordination.AgentOrders]] = (
            collections.defaultdict(list)
        )
        self.lease_end_s = START_S + LEASE_S
        self.client = AgentClient(
            self.direct,
            self.registry,
            lambda: worker_count,
            lambda: self.lease_end_s,
            lambda agent, batch: self.sent[agent.agent_id].append(batch),
            'leader:1',
        )
        for number in range(AGENTS):
            self.offer(f'entry-{number}', 'boot-1')

    def offer(self, name: str, boot_id: str) -> None:
        """Send an entry's offer to carry orders."""
        sent_at_s = VirtualClock.now_s + AGENT_CLOCK_S
        offer = coordination.AgentOffer(boot_id, 'dc-1', sent_at_s)
        self.client.receive_offer(name, name, offer, VirtualClock.now_s)

    def agent_of(self, number: int) -> str:
        """Return the agent that carries a worker's orders, or ''."""
        agent = self.registry.choose(_life(number), 272, VirtualClock.now_s)
        return agent.agent_id if agent is not None else ''


@given('a leader with {count:d} workers and agents in dc-1')
def new_leader(context: Any, count: int) -> None:
    context.worker_count = count
    context.outcomes = []


def _run_leader(context: Any, action: Any) -> None:
    """Run an action on a leader, under a virtual clock."""

    async def run() -> None:
        context.leader = Leader(context.worker_count)
        await action(context.leader)
        await context.leader.client.close()

    with virtual_clock():
        asyncio.run(run())


@when('{count:d} orders to workers of {data_centre} are given at once')
def give_orders(context: Any, count: int, data_centre: str) -> None:
    async def act(leader: Leader) -> None:
        tasks = [
            asyncio.ensure_future(leader.client.start(_start(n, data_centre)))
            for n in range(count)
        ]
        await _run_loop()
        context.direct_count = len(leader.direct.taken)
        for task in tasks:
            task.cancel()

    _run_leader(context, act)


@then('each agent gets one message, and they hold {count:d} orders')
def check_batches(context: Any, count: int) -> None:
    sent = context.leader.sent
    assert len(sent) > 1, sent
    assert all(len(batches) == 1 for batches in sent.values()), sent
    assert sum(len(b.starts) for bs in sent.values() for b in bs) == count


@then('no agent gets a message, and {count:d} orders are sent directly')
def check_direct(context: Any, count: int) -> None:
    assert not context.leader.sent, context.leader.sent
    assert context.direct_count == count


@when('one agent goes silent')
def silence_agent(context: Any) -> None:
    async def act(leader: Leader) -> None:
        context.before = {n: leader.agent_of(n) for n in range(200)}
        VirtualClock.now_s += 2.0
        for number in range(1, AGENTS):
            leader.offer(f'entry-{number}', 'boot-1')
        context.after = {n: leader.agent_of(n) for n in range(200)}

    _run_leader(context, act)


@then('only its workers are carried by others')
def check_moved(context: Any) -> None:
    for number, agent_id in context.before.items():
        if agent_id == 'entry-0':
            assert context.after[number] not in ('', 'entry-0')
        else:
            assert context.after[number] == agent_id
    assert 'entry-0' in context.before.values()


async def _start_one(leader: Leader) -> 'asyncio.Task[Any]':
    task = asyncio.ensure_future(leader.client.start(_start(0)))
    await _run_loop()
    return task


@when('an agent leaves an order unanswered')
def leave_unanswered(context: Any) -> None:
    async def act(leader: Leader) -> None:
        context.agent = leader.agent_of(0)
        task = await _start_one(leader)
        VirtualClock.now_s += 1.2
        leader.offer(context.agent, 'boot-1')
        await asyncio.sleep(0.15)
        context.outcome = (await task).outcome
        context.next_agent = leader.agent_of(0)

    _run_leader(context, act)


async def _return_poll(leader: Leader, number: int) -> None:
    """Poll a worker, and let its agent answer that it didn't send it."""
    agent = leader.agent_of(number)
    order = coordination.LookOrder(_life(number), 1, 0, 0, 0)
    task = asyncio.ensure_future(leader.client.poll(order))
    await _run_loop()
    batch = leader.sent[agent][-1]
    answer = coordination.LookAnswer(coordination.OrderOutcome.NOT_SENT)
    leader.client.receive(
        coordination.AgentAnswers(
            agent,
            'boot-1',
            batch.leader_boot_id,
            (),
            ((batch.looks[0][0], answer),),
        )
    )
    assert (await task).outcome is coordination.OrderOutcome.NOT_SENT


@when('an agent could not send a poll in time')
def return_poll(context: Any) -> None:
    async def act(leader: Leader) -> None:
        context.agent = leader.agent_of(0)
        await _return_poll(leader, 0)
        context.next_agent = leader.agent_of(0)

    _run_leader(context, act)


@when('all agents could not send their polls in time')
def return_all_polls(context: Any) -> None:
    async def act(leader: Leader) -> None:
        for number in range(200):
            await _return_poll(leader, number)
        context.live = leader.registry.count_live(VirtualClock.now_s)

    _run_leader(context, act)


@then('at least half of the agents still carry orders')
def check_most_live(context: Any) -> None:
    assert 2 * context.live >= AGENTS, context.live


@when('an agent restarts with an order on its way')
def restart_agent(context: Any) -> None:
    async def act(leader: Leader) -> None:
        context.agent = leader.agent_of(0)
        task = await _start_one(leader)
        leader.offer(context.agent, 'boot-2')
        await _run_loop()
        assert task.done()
        context.outcome = task.result().outcome

    _run_leader(context, act)


@when('an agent withdraws with an order on its way and answers it')
def withdraw_agent(context: Any) -> None:
    async def act(leader: Leader) -> None:
        context.agent = leader.agent_of(0)
        task = await _start_one(leader)
        now_s = VirtualClock.now_s
        leader.client.receive_offer(context.agent, context.agent, None, now_s)
        batch = leader.sent[context.agent][0]
        number = batch.starts[0][0]
        leader.client.receive(
            coordination.AgentAnswers(
                context.agent,
                'boot-1',
                batch.leader_boot_id,
                ((number, DONE),),
            )
        )
        context.outcome = (await task).outcome
        context.next_agent = leader.agent_of(0)

    _run_leader(context, act)


@when("the leader's lease ends and an order is given")
def end_lease(context: Any) -> None:
    async def act(leader: Leader) -> None:
        VirtualClock.now_s = leader.lease_end_s
        context.outcome = (await leader.client.start(_start(0))).outcome

    _run_leader(context, act)


@then('no agent gets a message, and the order counts as not sent')
def check_unsent(context: Any) -> None:
    assert not context.leader.sent, context.leader.sent
    assert context.outcome is coordination.OrderOutcome.NOT_SENT


@then('that order counts as possibly sent')
def check_uncertain(context: Any) -> None:
    assert context.outcome is coordination.OrderOutcome.NO_ANSWER


@then('that order counts as done')
def check_done(context: Any) -> None:
    assert context.outcome is coordination.OrderOutcome.DONE


@then("the next order to that worker doesn't go through that agent")
def check_other_way(context: Any) -> None:
    assert context.next_agent != context.agent


@given('an agent with permission for {permit_s:g} s')
def new_agent(context: Any, permit_s: float) -> None:
    context.permit_s = permit_s


def _batch(
    context: Any,
    *starts: coordination.StartOrder,
    term: int = TERM,
    boot_id: str = 'boot-1',
) -> coordination.AgentOrders:
    return coordination.AgentOrders(
        address='leader:1',
        leader_boot_id='leader-boot-1',
        boot_id=boot_id,
        term=term,
        offered_at_s=START_S,
        permit_s=context.permit_s,
        starts=tuple(enumerate(starts)),
    )


def _run_agent(context: Any, action: Any, answer_after_s: float = 0) -> None:
    """Run an action on an agent, and record its orders and answers."""
    context.workers = Workers(answer_after_s)
    context.answers = []

    def send(address: str, answers: coordination.AgentAnswers) -> None:
        context.answers += answers.orders

    async def run() -> None:
        runner = AgentRunner('entry-0', 'boot-1', context.workers, send)
        await action(runner)
        await asyncio.sleep(0.05)
        await runner.close()

    with virtual_clock():
        asyncio.run(run())


@when('it is suspended for {seconds:g} s with an order that it received')
def suspend_agent(context: Any, seconds: float) -> None:
    async def act(runner: AgentRunner) -> None:
        runner.receive(_batch(context, _start(0)))
        # Its clock counts the time of the suspension.
        VirtualClock.now_s += seconds
        await _run_loop()

    _run_agent(context, act)


@given(
    'an offer that took {offer_s:g} s to a leader that sends a poll with a '
    'noted end {later_s:g} s later'
)
def send_noted_end(context: Any, offer_s: float, later_s: float) -> None:
    context.worker_count = LARGE_FLEET
    context.permit_s = 1.0

    async def act(leader: Leader) -> None:
        name = leader.agent_of(0)
        made_at_s = VirtualClock.now_s + AGENT_CLOCK_S
        VirtualClock.now_s += offer_s
        offer = coordination.AgentOffer('boot-1', 'dc-1', made_at_s)
        leader.client.receive_offer(name, name, offer, VirtualClock.now_s)
        VirtualClock.now_s += later_s
        leader.lease_end_s = VirtualClock.now_s + context.permit_s
        fence = workers.create_fence(TERM, 1)
        order = coordination.LookOrder(_life(0), fence, NOTED_END, 0, 0)
        poll = asyncio.ensure_future(leader.client.poll(order))
        await _run_loop()
        (context.batch,) = leader.sent[name]
        context.sent_at_s = VirtualClock.now_s
        poll.cancel()

    _run_leader(context, act)


@when(
    'the poll takes {poll_s:g} s to the agent, which is suspended for '
    '{suspended_s:g} s then'
)
def delay_poll(context: Any, poll_s: float, suspended_s: float) -> None:
    async def act(runner: AgentRunner) -> None:
        VirtualClock.now_s = context.sent_at_s + AGENT_CLOCK_S + poll_s
        runner.receive(context.batch)
        VirtualClock.now_s += suspended_s
        await _run_loop()

    _run_agent(context, act)


@then('the worker gets the poll {number} the number of that end')
def check_noted_end(context: Any, number: str) -> None:
    (poll,) = context.workers.polls
    assert poll.noted_end == (NOTED_END if number == 'with' else 0), poll


@when("a newer leader's orders arrive before an older one's")
def replace_leader(context: Any) -> None:
    async def act(runner: AgentRunner) -> None:
        newer = _start(1, term=TERM + 1)
        runner.receive(_batch(context, newer, term=TERM + 1))
        runner.receive(_batch(context, _start(0)))
        await _run_loop()

    _run_agent(context, act)


@then("the older leader's order is not sent, and the leader is notified")
def check_older(context: Any) -> None:
    assert [o.term for o in context.workers.taken] == [TERM + 1]
    outcomes = [answer.outcome for _, answer in context.answers]
    assert coordination.OrderOutcome.NOT_SENT in outcomes


@then('the order is not sent, and the leader is notified')
def check_not_sent(context: Any) -> None:
    assert not context.workers.taken
    outcomes = [answer.outcome for _, answer in context.answers]
    assert outcomes == [coordination.OrderOutcome.NOT_SENT], outcomes


@when('orders for its earlier process arrive')
def send_to_earlier(context: Any) -> None:
    async def act(runner: AgentRunner) -> None:
        runner.receive(_batch(context, _start(0), boot_id='boot-0'))
        await _run_loop()

    _run_agent(context, act)


@then('nothing is sent and nothing is answered')
def check_dropped(context: Any) -> None:
    assert not context.workers.taken
    assert not context.answers


@when('more orders come for one worker than it takes in 0.4 s')
def crowd_worker(context: Any) -> None:
    async def act(runner: AgentRunner) -> None:
        starts = [_start(0)] * 20
        runner.receive(_batch(context, *starts))
        await _run_loop(200)

    _run_agent(context, act, answer_after_s=0.05)


@then('the orders that waited longer are not sent, and the leader is notified')
def check_waited(context: Any) -> None:
    sent = len(context.workers.taken)
    unsent = [
        answer
        for _, answer in context.answers
        if answer.outcome is coordination.OrderOutcome.NOT_SENT
    ]
    assert 4 <= sent <= 13, sent
    assert sent + len(unsent) == 20, (sent, len(unsent))


@given(
    'an offer that took {delay_s:g} s to a leader whose lease has 0.4 s left'
)
def late_offer(context: Any, delay_s: float) -> None:
    offer = coordination.AgentOffer('boot-1', 'dc-1', AGENT_CLOCK_S)
    heard_at_s = START_S + delay_s
    agent = coordination.Agent('entry-0', 'entry-0', offer, heard_at_s)
    context.lease_end_s = heard_at_s + 0.4
    context.permit = coordination.AgentPermit()
    context.permit.renew(
        coordination.AgentOrders(
            'leader:1',
            'leader-boot-1',
            'boot-1',
            TERM,
            offer.sent_at_s,
            agent.permit_s(context.lease_end_s, heard_at_s),
        )
    )


@then("the agent's permission has ended when that lease ends")
def check_permit(context: Any) -> None:
    # The offer was sent at START_S on the leader's clock.
    lease_end_s = context.lease_end_s - START_S + AGENT_CLOCK_S
    assert not context.permit.allows(TERM, lease_end_s)
    assert context.permit.allows(TERM, AGENT_CLOCK_S + 0.3)


@given('a single leader that has polled one worker')
def lead_alone(context: Any) -> None:
    jobs = state.JobsState()
    queue = state.Queue('q', 'host', '/q/', 'service-a', attempt_limit=2)
    plan = state.RoutePlan(
        1, (queue,), (state.WorkerService('service-a'),), 1000, b''
    )
    step = state.StepSpec(1, state.Room(1000, 100), 1.0)
    spec = state.JobSpec('job-0', 'text', (step,))
    for record in (
        state.PlanReplaced(plan),
        state.LifeSeen(_life(0)),
        state.JobAccepted(spec, queue, 0),
    ):
        state.apply_to_jobs(jobs, record)
    scheduler = coordination.JobScheduler(jobs)
    scheduler.start_leading(TERM, 0.0, 0)
    poll = scheduler.next_poll(_life(0).key, 0.1)
    assert poll is not None
    scheduler.handle_poll_answer(
        poll,
        0,
        coordination.LookAnswer(
            coordination.OrderOutcome.DONE, 20_000, 1, (), ()
        ),
        0.1,
        0.1,
    )
    context.scheduler = scheduler
    context.now_s = 30.0
    report = coordination.WorkerReport(_life(0), 1, 50_000, False)
    scheduler.handle_report(report, context.now_s)


@when('a start is not sent')
def fail_to_send(context: Any) -> None:
    scheduler = context.scheduler
    view = scheduler.workers[_life(0).key]
    context.lease_ends_at_s = view.lease_ends_at_s()
    for record in scheduler.step(context.now_s, 30_000):
        state.apply_to_jobs(scheduler.jobs, record)
        scheduler.handle_applied(record, context.now_s, 30_000)
    orders = scheduler.take_orders()
    assert len(orders) == 1, orders
    grant = scheduler.open_start_grant(orders[0], context.now_s)
    assert view.lease_ends_at_s() > context.lease_ends_at_s
    answer = coordination.OrderAnswer(coordination.OrderOutcome.NOT_SENT)
    scheduler.handle_order_answer(orders[0], grant, answer, context.now_s)


@then("the worker's lease ends no later than before")
def check_lapse(context: Any) -> None:
    view = context.scheduler.workers[_life(0).key]
    assert view.lease_ends_at_s() == context.lease_ends_at_s
    assert view.suspect_since_s is None


@then('the next poll grants a lease')
def check_grant(context: Any) -> None:
    poll = context.scheduler.next_poll(_life(0).key, context.now_s + 0.1)
    assert poll is not None and poll.until_ms


@then('the start is ordered again')
def check_again(context: Any) -> None:
    scheduler = context.scheduler
    scheduler.step(context.now_s + 0.5, 30_500)
    orders = scheduler.take_orders()
    assert [type(o) for o in orders] == [coordination.StartOrder], orders
