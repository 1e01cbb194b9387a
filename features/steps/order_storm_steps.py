"""Steps about orders of a whole fleet whose answers are late or lost."""

import asyncio
import dataclasses
import heapq
import itertools
import random
from typing import Any

from behave import given
from behave import then
from behave import when

from features.search import job_search
from features.steps import agent_rule_steps
from features.steps import worker_order_steps
from greengagering import coordination
from greengagering.coordination import workers
from greengagering import state
from greengagering.transport import _limited_client

STEP_S = 0.02
ORDER_TIMEOUT_S = 0.5
ANSWER_S = 0.005
ROOM = state.Room(16_000, 65_536)
TASK = state.Room(1000, 100)

_outcomes = coordination.OrderOutcome


@dataclasses.dataclass(frozen=True)
class Sending:
    """One sending of an order.

    Attributes:
        order: the order.
        grant: its lease grant.
        sent_at_s: when it was sent.
    """

    order: Any
    grant: int
    sent_at_s: float


class Fleet:
    """The scheduler of a leader, and workers that it orders to start runs.

    Attributes:
        scheduler: the scheduler.
        early_count: orders sent while an earlier sending was under way.
        confirmed_s: time from the first sending of each start until it was
            confirmed, by run.
        sent: times at which the orders of each run were sent.
        now_s: time of the newest step.
    """

    def __init__(
        self,
        count: int,
        orders_per_s: float = float('inf'),
        answer_s: float = ANSWER_S,
        lost_share: float = 0.0,
    ) -> None:
        self.early_count = 0
        self.confirmed_s: dict[str, float] = {}
        self.sent: dict[str, list[float]] = {}
        self.now_s = 0.0
        self.lost_share = lost_share
        self._service_s = 1 / orders_per_s
        self._answer_s = answer_s
        self._busy_until_s = 0.0
        self._rng = random.Random(1)  # noqa: S311
        self._numbers = itertools.count()
        self._answers: list[tuple[float, int, Sending, Any]] = []
        self._open: dict[str, int] = {}
        # When each start was carried out, at which worker.
        self._begun: list[tuple[float, str, state.RunKey]] = []
        jobs = state.JobsState()
        self._facts = [self._create_facts(number) for number in range(count)]
        for facts in self._facts:
            state.apply_to_jobs(jobs, state.LifeSeen(facts))
        self.scheduler = coordination.JobScheduler(jobs)
        self.scheduler.start_leading(1, 0.0, 0)
        for facts in self._facts:
            self._read(facts)

    def _create_facts(self, number: int) -> state.WorkerFacts:
        return state.WorkerFacts(
            f'worker-{number}',
            1,
            'service-a',
            f'worker-{number}:80',
            'dc-1',
            'r',
            (),
            ROOM,
        )

    def _read(self, facts: state.WorkerFacts) -> None:
        """Let a worker report, and answer a poll with what runs there."""
        report = coordination.WorkerReport(facts, 1, 900, is_draining=False)
        self.scheduler.handle_report(report, self.now_s)
        poll = self.scheduler.next_poll(facts.key, self.now_s)
        assert poll is not None
        running = tuple(
            coordination.ListedRun(key, '', 100, None)
            for at_s, worker_key, key in self._begun
            if worker_key == facts.key and at_s <= self.now_s
        )
        lists = coordination.LookAnswer(
            _outcomes.DONE,
            900 + int(self.now_s * 1000),
            facts.born_ms,
            running,
        )
        self.scheduler.handle_poll_answer(
            poll, 0, lists, self.now_s, self.now_s
        )

    def join(self) -> state.WorkerFacts:
        """Add a worker, and read its lists."""
        facts = self._create_facts(len(self._facts))
        self._facts.append(facts)
        record = state.LifeSeen(facts)
        state.apply_to_jobs(self.scheduler.jobs, record)
        self.scheduler.handle_applied(record, self.now_s, 0)
        self._read(facts)
        return facts

    def limit_rate(self, orders_per_s: float) -> None:
        """Set how many orders a second the workers carry out in all."""
        self._service_s = 1 / orders_per_s

    def submit(self, job_id: str, count: int) -> None:
        """Submit a job of lasting tasks."""
        step = state.StepSpec(count, TASK, is_lasting=True)
        spec = state.JobSpec(job_id, 'text', (step,))
        record = state.JobAccepted(spec, job_search.QUEUE, 0)
        state.apply_to_jobs(self.scheduler.jobs, record)
        self.scheduler.handle_applied(record, self.now_s, 0)

    def advance(self, seconds: float) -> None:
        """Run the steps of some time, and carry the orders out."""
        ends_s = self.now_s + seconds
        while self.now_s < ends_s - STEP_S / 2:
            self.now_s = round(self.now_s + STEP_S, 3)
            while self._answers and self._answers[0][0] <= self.now_s:
                at_s, _, sending, outcome = heapq.heappop(self._answers)
                self._handle(sending, outcome, at_s)
            worker_order_steps.commit(self.scheduler, self.now_s)
            for order in self.scheduler.take_orders():
                self._send(order)
            for view in list(self.scheduler.workers.values()):
                if view.suspect_since_s is not None:
                    self._read(view.facts)

    def _send(self, order: Any) -> None:
        name = order.key.name
        assert isinstance(order, coordination.StartOrder), order
        self.early_count += self._open.get(name, 0) > 0
        self._open[name] = self._open.get(name, 0) + 1
        self.sent.setdefault(name, []).append(self.now_s)
        grant = self.scheduler.open_start_grant(order, self.now_s)
        begins_s = max(self.now_s, self._busy_until_s)
        self._busy_until_s = begins_s + self._service_s
        at_s = self._busy_until_s + self._answer_s
        self._begun.append((at_s, order.life.key, order.key))
        outcome = _outcomes.DONE
        timeout_s = self.now_s + ORDER_TIMEOUT_S
        if at_s >= timeout_s or self._rng.random() < self.lost_share:
            at_s, outcome = timeout_s, _outcomes.NO_ANSWER
        sending = Sending(order, grant, self.now_s)
        heapq.heappush(
            self._answers, (at_s, next(self._numbers), sending, outcome)
        )

    def _handle(self, sending: Sending, outcome: Any, at_s: float) -> None:
        name = sending.order.key.name
        self._open[name] -= 1
        if outcome is _outcomes.DONE:
            waited_s = at_s - self.sent[name][0]
            self.confirmed_s.setdefault(name, waited_s)
        answer = coordination.OrderAnswer(outcome, 900 + int(at_s * 1000))
        self.scheduler.handle_order_answer(
            sending.order, sending.grant, answer, at_s, sending.sent_at_s
        )


@given(
    'a fleet of {count:d} workers that has just joined, and carries out '
    '{rate:g} orders a second'
)
def slow_fleet(context: Any, count: int, rate: float) -> None:
    context.fleet = Fleet(count, orders_per_s=rate)


@given(
    'a fleet of {count:d} workers of which {share:g} of the answers are lost'
)
def lossy_fleet(context: Any, count: int, share: float) -> None:
    context.fleet = Fleet(count, lost_share=share)


@given(
    'a fleet of {count:d} workers that answers after {answer_s:g} s, and has '
    'answered {starts:d} starts'
)
def late_fleet(context: Any, count: int, answer_s: float, starts: int) -> None:
    fleet = context.fleet = Fleet(count, answer_s=answer_s)
    fleet.submit('first', starts)
    fleet.advance(1.0)
    assert len(fleet.confirmed_s) == starts, fleet.confirmed_s


@when(
    '{starts:d} starts are ordered at once, and the leader works for '
    '{seconds:g} s'
)
def order_all(context: Any, starts: int, seconds: float) -> None:
    context.starts = starts
    context.fleet.submit('job', starts)
    context.fleet.advance(seconds)


@given('a fleet of {count:d} workers that answers after {answer_s:g} s')
def unknown_fleet(context: Any, count: int, answer_s: float) -> None:
    context.fleet = Fleet(count, answer_s=answer_s)


@when(
    'it carries out {rate:d} orders a second, and gets {starts:d} starts at '
    'once'
)
def order_late(context: Any, rate: int, starts: int) -> None:
    context.fleet.early_count = 0
    context.fleet.limit_rate(rate)
    context.starts = len(context.fleet.confirmed_s) + starts
    context.fleet.submit('job', starts)
    context.fleet.advance(3.0)


@when(
    '{share:g} of the answers are lost, and it gets {starts:d} starts twice '
    'within {seconds:g} s'
)
def order_late_and_lost(
    context: Any, share: float, starts: int, seconds: float
) -> None:
    fleet = context.fleet
    fleet.early_count = 0
    fleet.lost_share = share
    context.starts = len(fleet.confirmed_s) + 2 * starts
    for number in range(2):
        fleet.submit(f'job-{number}', starts)
        fleet.advance(seconds / 2)
    fleet.advance(3.0)


@then('no order was sent while an earlier sending was under way')
def check_none_early(context: Any) -> None:
    assert context.fleet.early_count == 0, context.fleet.early_count


@then('some orders were sent while an earlier sending was under way')
def check_some_early(context: Any) -> None:
    assert context.fleet.early_count > 0


@then(
    'at most {count:d} orders were sent while an earlier sending was under way'
)
def check_early(context: Any, count: int) -> None:
    assert context.fleet.early_count <= count, context.fleet.early_count


@then('every start is confirmed')
def check_confirmed(context: Any) -> None:
    phases = [
        run.phase
        for view in context.fleet.scheduler.workers.values()
        for run in view.runs.values()
    ]
    assert phases == [workers.RunPhase.RUNNING] * context.starts, phases


@then('{share:d} of 100 starts are confirmed within {seconds:g} s')
def check_soon(context: Any, share: int, seconds: float) -> None:
    soon = sum(s <= seconds for s in context.fleet.confirmed_s.values())
    assert soon >= context.starts * share / 100, soon


@when('a worker joins and gets {count:d} starts')
def join_and_order(context: Any, count: int) -> None:
    fleet = context.fleet
    before = set(fleet.sent)
    facts = fleet.join()
    # The others have room as well, so the job fills all of them.
    for worker in fleet.scheduler.workers.values():
        worker.is_reserved = worker.key != facts.key
    fleet.submit('next', count)
    fleet.advance(0.28)
    context.names = set(fleet.sent) - before
    assert len(context.names) == count, context.names


@then('none of them is sent again within {seconds:g} s')
def check_sent_once(context: Any, seconds: float) -> None:
    sent = {name: context.fleet.sent[name] for name in context.names}
    assert all(len(times) == 1 for times in sent.values()), sent


class SilentClient:
    """A client of a worker that answers no order."""

    def __init__(self) -> None:
        self.runs: list[str] = []

    async def start(
        self, order: coordination.StartOrder
    ) -> coordination.OrderAnswer:
        """Record an order, and never answer it."""
        self.runs.append(order.key.name)
        await asyncio.Event().wait()
        raise AssertionError('unreachable')


def create_start(index: int, text: str = 'text') -> coordination.StartOrder:
    """Return an order to start a run at the same worker as the others."""
    start = agent_rule_steps._start(0)
    key = state.RunKey('job', f'0.0.{index}', 1)
    return dataclasses.replace(start, key=key, text=text)


@given('a worker whose slots are held by {count:d} orders without an answer')
def hold_slots(context: Any, count: int) -> None:
    assert count == _limited_client.MAX_ORDERS_PER_WORKER
    context.holders = [create_start(number) for number in range(count)]


@when('a start is sent to it twice')
def send_twice(context: Any) -> None:
    context.client = SilentClient()

    async def send() -> list[asyncio.Task[coordination.OrderAnswer]]:
        client = _limited_client.LimitedClient(
            context.client,
            lambda _: True,
        )
        order = create_start(len(context.holders))
        tasks = [
            asyncio.ensure_future(client.start(item))
            for item in (*context.holders, order, order)
        ]
        second = tasks[-1]
        await asyncio.wait({second}, timeout=_limited_client.SLOT_HOLD_S / 2)
        context.second = second.result() if second.done() else None
        while order.key.name not in context.client.runs:
            await asyncio.sleep(_limited_client.SLOT_HOLD_S)
        await asyncio.sleep(2 * _limited_client.SLOT_HOLD_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return tasks

    asyncio.run(send())
    context.name = create_start(len(context.holders)).key.name


@then('the second one counts as unsent at once')
def check_unsent(context: Any) -> None:
    assert context.second is not None, 'it has no outcome'
    assert context.second.outcome is _outcomes.NOT_SENT, context.second


@then('the worker gets the start once')
def check_got_once(context: Any) -> None:
    assert context.client.runs.count(context.name) == 1, context.client.runs


@given('a worker with {count:d} agents in its data centre')
def new_agents(context: Any, count: int) -> None:
    context.agents = count


@when('{count:d} starts of {size:d} bytes are sent to it at once')
def send_large(context: Any, count: int, size: int) -> None:
    async def act() -> None:
        leader = context.leader = agent_rule_steps.Leader(
            agent_rule_steps.LARGE_FLEET
        )
        for number in range(context.agents, agent_rule_steps.AGENTS):
            leader.client.receive_offer(f'entry-{number}', '', None, 0.0)
        context.usual = leader.agent_of(0)
        tasks = [
            asyncio.ensure_future(
                leader.client.start(create_start(number, 'x' * size))
            )
            for number in range(count)
        ]
        await agent_rule_steps._run_loop()
        context.got = count_starts(leader)
        for agent_id, batches in leader.sent.items():
            for number, _ in batches[0].starts:
                answer = agent_rule_steps.DONE
                leader.client.receive(
                    coordination.AgentAnswers(
                        agent_id,
                        'boot-1',
                        batches[0].leader_boot_id,
                        ((number, answer),),
                    )
                )
        await asyncio.gather(*tasks)
        leader.sent.clear()
        last = asyncio.ensure_future(
            leader.client.start(create_start(count, 'x' * size))
        )
        await agent_rule_steps._run_loop()
        context.got_later = count_starts(leader)
        last.cancel()
        await asyncio.gather(last, return_exceptions=True)
        await leader.client.close()

    with agent_rule_steps.virtual_clock():
        asyncio.run(act())


def count_starts(leader: agent_rule_steps.Leader) -> dict[str, int]:
    """Return how many starts each agent was sent."""
    return {
        agent_id: sum(len(batch.starts) for batch in batches)
        for agent_id, batches in leader.sent.items()
    }


@then('its usual agent gets {count:d} of them, and two others the rest')
def check_spread(context: Any, count: int) -> None:
    assert context.got[context.usual] >= count, context.got
    assert len(context.got) == 3, context.got
    assert max(context.got.values()) <= 6, context.got


@when('they are answered and another one is sent')
def sent_later(context: Any) -> None:
    assert context.got_later, 'nothing was sent'


@then('its usual agent gets that one')
def check_usual(context: Any) -> None:
    assert context.got_later == {context.usual: 1}, context.got_later
