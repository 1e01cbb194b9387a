"""Steps about orders and polls of which some get no answer."""

import asyncio
import dataclasses
from typing import Any
from unittest import mock

from behave import given
from behave import then
from behave import when

from features.search import job_search
from features.steps import worker_order_steps
from greengagering import coordination
from greengagering import state
from greengagering.transport import _limited_client

STEP_S = 0.02
ORDER_TIMEOUT_S = 0.5
PATIENCE_S = 10.0
"""Real time for an order that must be sent; a busy machine needs less."""

CLOCK_MS = 900
"""The worker's clock at time 0."""

_outcomes = coordination.OrderOutcome


class OrderedWorker:
    """The scheduler of a leader with one worker.

    Attributes:
        scheduler: the scheduler.
        facts: the worker.
        starts: start orders taken from the scheduler, in their order.
        stops: stop orders taken from it.
        sent: times at which each of the starts was taken.
        records: records that steps have proposed.
        restarted: what its newest process reported.
        now_s: time of the newest step.
    """

    def __init__(self, task_count: int) -> None:
        self.facts = worker_order_steps.create_facts('w:80')
        self.scheduler = worker_order_steps.create_scheduler(self.facts)
        self.starts: list[coordination.StartOrder] = []
        self.stops: list[coordination.StopOrder] = []
        self.sent: list[float] = []
        self.records: list[state.JobRecord] = []
        self.restarted = self.facts
        self.now_s = 0.0
        self._grants: list[int] = []
        step = state.StepSpec(
            task_count - 1, state.Room(100, 10), is_lasting=True
        )
        if task_count == 1:
            # The scheduler has one task already.
            return
        spec = state.JobSpec('job2', 'text', (step,))
        record = state.JobAccepted(spec, job_search.QUEUE, 0)
        state.apply_to_jobs(self.scheduler.jobs, record)
        self.scheduler.handle_applied(record, 0.0, 0)

    @property
    def view(self) -> Any:
        """The leader's view of the worker."""
        return self.scheduler.workers[self.facts.key]

    def step(self, now_s: float) -> None:
        """Run a step, and take its orders."""
        self.now_s = now_s
        self.records += worker_order_steps.commit(self.scheduler, now_s)
        for order in self.scheduler.take_orders():
            if isinstance(order, coordination.StartOrder):
                self.starts.append(order)
                self.sent.append(now_s)
                self._grants.append(
                    self.scheduler.open_start_grant(order, now_s)
                )
            elif isinstance(order, coordination.StopOrder):
                self.stops.append(order)

    def advance(self, until_s: float) -> None:
        """Run the steps until a time."""
        while self.now_s + STEP_S <= until_s + STEP_S / 2:
            self.step(round(self.now_s + STEP_S, 3))

    def answer(
        self,
        number: int,
        now_s: float,
        outcome: coordination.OrderOutcome = _outcomes.DONE,
        clock_ms: int | None = None,
    ) -> None:
        """Let the scheduler handle the answer to a start."""
        if clock_ms is None and outcome is not _outcomes.NO_ANSWER:
            clock_ms = CLOCK_MS + int(now_s * 1000)
        answer = coordination.OrderAnswer(outcome, clock_ms)
        self.scheduler.handle_order_answer(
            self.starts[number],
            self._grants[number],
            answer,
            now_s,
            self.sent[number],
        )

    def answer_poll(self, now_s: float) -> None:
        """Let the worker answer a poll, if one is due: it runs nothing."""
        poll = self.scheduler.next_poll(self.facts.key, now_s)
        if poll is None:
            return
        grant = self.scheduler.open_poll_grant(poll, now_s)
        answer = coordination.LookAnswer(
            _outcomes.DONE, CLOCK_MS + int(now_s * 1000), self.facts.born_ms
        )
        self.scheduler.handle_poll_answer(poll, grant, answer, now_s, now_s)

    def leave_poll_unanswered(
        self, now_s: float, *, is_refused: bool = False
    ) -> None:
        """Let a poll of the worker fail."""
        poll = self.scheduler.next_poll(self.facts.key, now_s)
        assert poll is not None
        grant = self.scheduler.open_poll_grant(poll, now_s)
        answer = coordination.LookAnswer(
            _outcomes.NO_ANSWER, is_refused=is_refused
        )
        self.scheduler.handle_poll_answer(poll, grant, answer, now_s, now_s)


class MuteClient:
    """A client of a worker that answers only some orders."""

    def __init__(self, period: int) -> None:
        self._period = period
        self._count = 0

    async def stop(
        self, order: coordination.StopOrder
    ) -> coordination.OrderAnswer:
        """Answer every period-th order; the others wait for ever."""
        self._count += 1
        if self._count % self._period:
            await asyncio.Event().wait()
        return coordination.OrderAnswer(_outcomes.DONE)


@given('a worker that was ordered {count:d} starts at {now_s:g} s')
def order_starts(context: Any, count: int, now_s: float) -> None:
    context.worker = OrderedWorker(count)
    context.worker.step(now_s)
    assert len(context.worker.starts) == count, context.worker.starts


@given('a worker that has taken {answer_s:g} s for each of {count:d} answers')
def take_time(context: Any, answer_s: float, count: int) -> None:
    context.worker = OrderedWorker(1)
    for _ in range(count):
        context.worker.view.answer_times.add(answer_s)


@given('it was ordered {count:d} starts at {now_s:g} s')
def order_more_starts(context: Any, count: int, now_s: float) -> None:
    context.worker.step(now_s)
    assert len(context.worker.starts) == count, context.worker.starts


@when('it answers the first start at {now_s:g} s')
def answer_first(context: Any, now_s: float) -> None:
    context.worker.answer(0, now_s)


@when('it answers the second start at {now_s:g} s')
def answer_second(context: Any, now_s: float) -> None:
    context.worker.answer(1, now_s)


@when('the first start counts as unanswered at {now_s:g} s')
def leave_first_unanswered(context: Any, now_s: float) -> None:
    context.worker.answer(0, now_s, _outcomes.NO_ANSWER)
    context.now_s = now_s


@when(
    'a poll of it shows at {now_s:g} s that the answer to an earlier one was '
    'lost'
)
def show_loss(context: Any, now_s: float) -> None:
    context.worker.leave_poll_unanswered(now_s)
    context.worker.answer_poll(now_s)


@when('it refuses the second start at {now_s:g} s')
def refuse_second(context: Any, now_s: float) -> None:
    context.worker.answer(1, now_s, _outcomes.UNHEALTHY)


@when('the run is stopped at {now_s:g} s')
def stop_run(context: Any, now_s: float) -> None:
    worker = context.worker
    (run,) = worker.view.runs.values()
    worker.scheduler.empty_run(worker.view, run, now_s)
    worker.step(now_s)


@when('the leader works until {until_s:g} s')
def work(context: Any, until_s: float) -> None:
    context.worker.advance(until_s)


@when('it reports at {now_s:g} s')
def report(context: Any, now_s: float) -> None:
    worker = context.worker
    message = coordination.WorkerReport(
        worker.facts, 2, CLOCK_MS + int(now_s * 1000), is_draining=False
    )
    worker.scheduler.handle_report(message, now_s)


@when('{count:d} polls of it count as unanswered at {now_s:g} s')
def leave_polls_unanswered(context: Any, count: int, now_s: float) -> None:
    for _ in range(count):
        context.worker.leave_poll_unanswered(now_s)
    context.now_s = now_s


@when('its lists at {now_s:g} s show that the first run has ended')
def list_end(context: Any, now_s: float) -> None:
    worker = context.worker
    first, second = (order.key for order in worker.starts[:2])
    poll = worker.scheduler.next_poll(worker.facts.key, now_s)
    assert poll is not None
    grant = worker.scheduler.open_poll_grant(poll, now_s)
    lists = coordination.LookAnswer(
        _outcomes.DONE,
        CLOCK_MS + int(now_s * 1000),
        worker.facts.born_ms,
        (coordination.ListedRun(second, '', 100, None),),
        (state.RunEnd(1, first, state.RunEnding.STOPPED, ''),),
    )
    worker.scheduler.handle_poll_answer(poll, grant, lists, now_s, now_s)
    worker.step(now_s)


@when('its polls until {until_s:g} s have no answer')
def leave_later_polls_unanswered(context: Any, until_s: float) -> None:
    worker = context.worker
    context.polls = []
    while worker.now_s < until_s:
        worker.advance(worker.now_s + STEP_S)
        poll = worker.scheduler.next_poll(worker.facts.key, worker.now_s)
        if poll is not None:
            worker.scheduler.open_poll_grant(poll, worker.now_s)
            context.polls.append((worker.now_s, poll.noted_end))


@when('its polls until {until_s:g} s are answered')
def answer_polls(context: Any, until_s: float) -> None:
    worker = context.worker
    first, second = (order.key for order in worker.starts[:2])
    end = state.RunEnd(1, first, state.RunEnding.STOPPED, '')
    context.polls = []
    while worker.now_s < until_s:
        worker.advance(worker.now_s + STEP_S)
        now_s = worker.now_s
        poll = worker.scheduler.next_poll(worker.facts.key, now_s)
        if poll is None:
            continue
        grant = worker.scheduler.open_poll_grant(poll, now_s)
        context.polls.append((now_s, poll.noted_end))
        lists = coordination.LookAnswer(
            _outcomes.DONE,
            CLOCK_MS + int(now_s * 1000),
            worker.facts.born_ms,
            (coordination.ListedRun(second, '', 100, None),),
            () if poll.noted_end else (end,),
        )
        worker.scheduler.handle_poll_answer(poll, grant, lists, now_s, now_s)


@then(
    'a poll with the number of the noted end was sent, and none until '
    '{until_s:g} s'
)
def check_held_number(context: Any, until_s: float) -> None:
    sent_s = [at_s for at_s, number in context.polls if number]
    assert sent_s, context.polls
    assert min(sent_s) >= until_s, context.polls


@when('its address refuses a poll at {now_s:g} s')
def refuse_poll(context: Any, now_s: float) -> None:
    context.worker.leave_poll_unanswered(now_s, is_refused=True)
    context.now_s = now_s


@then('the worker may get new runs')
def check_usable(context: Any) -> None:
    assert context.worker.view.is_usable(context.now_s)


@then('the worker gets no new run')
def check_unusable(context: Any) -> None:
    assert not context.worker.view.is_usable(context.now_s)


@then("the next poll of it doesn't wait for a run to end")
def check_short_poll(context: Any) -> None:
    worker = context.worker
    poll = worker.scheduler.next_poll(worker.facts.key, context.now_s)
    assert poll is not None
    assert poll.wait_ms == 0, poll


@then('starts were sent at {times}')
def check_times(context: Any, times: str) -> None:
    sent = [f'{at_s:.2f} s' for at_s in context.worker.sent]
    assert sent == times.replace(' and ', ', ').split(', '), sent


@then('the stop was sent {count:d} times')
def check_stops(context: Any, count: int) -> None:
    assert len(context.worker.stops) == count, context.worker.stops


@then('no run is voided')
def check_no_void(context: Any) -> None:
    records = context.worker.records
    assert not any(isinstance(r, state.RunsVoided) for r in records), records


@then('the run is ordered to stop')
def check_stop(context: Any) -> None:
    assert context.worker.stops


@given('a worker of which four of five orders get no answer')
def mute_worker(context: Any) -> None:
    context.client = MuteClient(5)


@when('it is sent {count:d} orders at once')
def send_orders(context: Any, count: int) -> None:
    facts = worker_order_steps.create_facts('w:80')

    async def send() -> set[asyncio.Task[coordination.OrderAnswer]]:
        client = _limited_client.LimitedClient(context.client, lambda _: True)
        orders = [
            coordination.StopOrder(
                facts, state.RunKey('job1', f'0.0.{number}', 1), 1
            )
            for number in range(count)
        ]
        tasks = [asyncio.ensure_future(client.stop(o)) for o in orders]
        done, pending = await asyncio.wait(
            tasks,
            timeout=PATIENCE_S,
            return_when=asyncio.FIRST_COMPLETED,
        )
        for task in pending:
            task.cancel()
        await asyncio.gather(*pending, return_exceptions=True)
        return done

    with mock.patch.object(_limited_client, 'MAX_WAIT_S', PATIENCE_S):
        context.answered = asyncio.run(send())


@then('the fifth order is answered')
def check_answered(context: Any) -> None:
    (task,) = context.answered
    assert task.result().outcome is _outcomes.DONE, task.result()


@when('it answers polls but no start until {until_s:g} s')
def answer_polls_only(context: Any, until_s: float) -> None:
    worker = context.worker
    timed_out = 0
    while worker.now_s < until_s:
        now_s = round(worker.now_s + STEP_S, 3)
        worker.answer_poll(now_s)
        while (
            timed_out < len(worker.sent)
            and now_s >= worker.sent[timed_out] + ORDER_TIMEOUT_S
        ):
            worker.answer(timed_out, now_s, _outcomes.NO_ANSWER)
            timed_out += 1
        worker.step(now_s)


@then('at least {count:d} starts were sent')
def check_start_count(context: Any, count: int) -> None:
    assert len(context.worker.starts) >= count, context.worker.sent


@then('no order to stop the run was given')
def check_no_stop(context: Any) -> None:
    assert not context.worker.stops, context.worker.stops


@given('end {number:d} of it was noted')
def note_end(context: Any, number: int) -> None:
    worker = context.worker
    worker.scheduler.jobs.lives[worker.facts.key].noted_end = number
    worker.view.proposed_end = number
    context.now_s = 0.2


@then('the next poll of it takes the number {number:d}')
def check_noted_end(context: Any, number: int) -> None:
    worker = context.worker
    poll = worker.scheduler.next_poll(worker.facts.key, context.now_s)
    assert poll is not None
    assert poll.noted_end == number, poll


@then(
    'a poll of it with the number of the noted end was sent until {until_s:g} '
    's'
)
def check_number(context: Any, until_s: float) -> None:
    context.numbered_until_s = until_s
    sent = [number for at_s, number in context.polls if at_s <= until_s]
    assert 1 in sent, context.polls


@then('several were sent after that, all without the number')
def check_no_number(context: Any) -> None:
    until_s = context.numbered_until_s
    sent = [number for at_s, number in context.polls if at_s > until_s]
    assert len(sent) > 1, context.polls
    assert not any(sent), context.polls


@when(
    'the first start is answered at {now_s:g} s, after {queued_s:g} s in a '
    'queue and a call of {called_s:g} s'
)
def answer_with_times(
    context: Any, now_s: float, queued_s: float, called_s: float
) -> None:
    context.now_s = now_s
    answer_start(
        context,
        0,
        coordination.OrderAnswer(
            _outcomes.DONE,
            CLOCK_MS + int(now_s * 1000),
            queued_s=queued_s,
            called_s=called_s,
        ),
    )


@when('the second start counts as unanswered, and the third as unsent')
def answer_others(context: Any) -> None:
    for number, outcome in (
        (1, _outcomes.NO_ANSWER),
        (2, _outcomes.NOT_SENT),
    ):
        answer_start(context, number, coordination.OrderAnswer(outcome))


def answer_start(
    context: Any, number: int, answer: coordination.OrderAnswer
) -> None:
    """Let the scheduler handle an answer to a start."""
    worker = context.worker
    worker.scheduler.handle_order_answer(
        worker.starts[number],
        0,
        answer,
        context.now_s,
        worker.sent[number],
    )


def order_lines(context: Any) -> list[dict[str, object]]:
    """Return the lines that tell where orders stood."""
    return [
        decision.fields
        for decision in context.worker.scheduler.take_decisions()
        if decision.event == 'orders_timed'
    ]


@then(
    'one line says that of 3 orders 1 was answered after {took_ms:g} ms, '
    '{queued_ms:g} ms in queues and {called_ms:g} ms in calls'
)
def check_line(
    context: Any, took_ms: float, queued_ms: float, called_ms: float
) -> None:
    line = order_lines(context)[0]
    counts = [line[name] for name in ('answered', 'unanswered', 'unsent')]
    assert counts == [1, 1, 1], line
    times = [line[f'{name}_ms'] for name in ('took', 'queued', 'called')]
    assert times == [took_ms, queued_ms, called_ms], line


@then('no line tells where orders stood')
def check_no_line(context: Any) -> None:
    assert not order_lines(context)


@when('it restarts {times:d} times, and reports at {now_s:g} s')
def restart_worker(context: Any, times: int, now_s: float) -> None:
    worker = context.worker
    worker.now_s = now_s
    worker.stops.clear()
    for number in range(times):
        facts = dataclasses.replace(
            worker.facts, born_ms=worker.facts.born_ms + number + 1
        )
        record = state.LifeSeen(facts)
        state.apply_to_jobs(worker.scheduler.jobs, record)
        worker.scheduler.handle_applied(record, now_s, 0)
    worker.restarted = facts
    for order in worker.scheduler.take_orders():
        if isinstance(order, coordination.StopOrder):
            worker.stops.append(order)


def refused_runs(context: Any) -> list[state.RunKey]:
    """Return the runs that the restarted worker is ordered to refuse."""
    worker = context.worker
    return [o.key for o in worker.stops if o.life == worker.restarted]


@then('it is ordered to refuse the first run')
def check_refused(context: Any) -> None:
    assert context.worker.starts[0].key in refused_runs(context)


@then('it gets no order about the first run')
def check_not_refused(context: Any) -> None:
    assert not refused_runs(context)
