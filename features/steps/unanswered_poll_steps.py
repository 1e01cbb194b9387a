"""Steps about polls of a worker of which some get no answer."""

from typing import Any

from behave import given
from behave import then
from behave import when

from features.steps import worker_order_steps
from greengagering import coordination
from greengagering import state

CLOCK_MS = 900
"""The worker's clock at time 0."""

LOST_SENT_S = 1.0
STEP_S = 0.02
_outcomes = coordination.OrderOutcome


class PolledWorker:
    """The scheduler of a leader with one worker that has a lasting run."""

    def __init__(self) -> None:
        self.facts = worker_order_steps.create_facts('w:80')
        self.scheduler = worker_order_steps.create_scheduler(self.facts)
        self.key = worker_order_steps.KEY
        worker_order_steps.commit(self.scheduler, 0.1)
        (start,) = self.scheduler.take_orders()
        assert isinstance(start, coordination.StartOrder)
        grant = self.scheduler.open_start_grant(start, 0.9)
        self.key = start.key
        answer = coordination.OrderAnswer(_outcomes.DONE, CLOCK_MS + 900)
        self.scheduler.handle_order_answer(start, grant, answer, 0.9)

    @property
    def view(self) -> Any:
        """The leader's view of the worker."""
        return self.scheduler.workers[self.facts.key]

    def next_poll(self, now_s: float) -> coordination.LookOrder | None:
        """Return the poll that is due."""
        self.scheduler.step(now_s, 0)
        return self.scheduler.next_poll(self.facts.key, now_s)

    def send_poll(self, now_s: float) -> tuple[coordination.LookOrder, int]:
        """Send the poll that is due; return it and its grant."""
        poll = self.next_poll(now_s)
        assert poll is not None, now_s
        return poll, self.scheduler.open_poll_grant(poll, now_s)

    def answer(
        self,
        poll: coordination.LookOrder,
        grant: int,
        sent_s: float,
        now_s: float,
        *,
        clock_s: float | None = None,
        ended: tuple[state.RunEnd, ...] = (),
    ) -> None:
        """Answer a poll with the run, or with its end."""
        run = coordination.ListedRun(self.key, '', 100, None)
        listed_s = now_s if clock_s is None else clock_s
        lists = coordination.LookAnswer(
            _outcomes.DONE,
            CLOCK_MS + int(listed_s * 1000),
            self.facts.born_ms,
            () if ended else (run,),
            ended,
        )
        self.scheduler.handle_poll_answer(poll, grant, lists, sent_s, now_s)


@given('a worker with a run, whose poll at 1 s waits until 2.5 s and is lost')
def lose_poll(context: Any) -> None:
    context.worker = PolledWorker()
    poll, grant = context.worker.send_poll(LOST_SENT_S)
    assert poll.wait_ms == 1500 and not grant, poll
    context.lost = poll


@given('of which an end is noted')
def note_end(context: Any) -> None:
    worker = context.worker
    worker.scheduler.jobs.lives[worker.facts.key].noted_end = 7
    worker.view.proposed_end = 7


@when('a poll at {now_s:g} s is answered')
def answer_poll(context: Any, now_s: float) -> None:
    poll, grant = context.worker.send_poll(now_s)
    context.worker.answer(poll, grant, now_s, now_s + 0.01)


@when('a poll at {now_s:g} s is answered with the end of the run')
def answer_with_end(context: Any, now_s: float) -> None:
    worker = context.worker
    poll, grant = worker.send_poll(now_s)
    end = state.RunEnd(1, worker.key, state.RunEnding.DONE, '')
    worker.answer(poll, grant, now_s, now_s + 0.01, ended=(end,))
    context.now_s = now_s + 0.01


@when('the lost poll times out at {now_s:g} s')
def time_out(context: Any, now_s: float) -> None:
    context.worker.scheduler.handle_poll_answer(
        context.lost,
        0,
        coordination.LookAnswer(_outcomes.NO_ANSWER),
        LOST_SENT_S,
        now_s,
    )


@when('the poll that grants a lease at {now_s:g} s is lost')
def lose_grant(context: Any, now_s: float) -> None:
    poll, grant = context.worker.send_poll(now_s)
    assert grant, poll


@when('the first poll is answered after all with the run, as of {at_s:g} s')
def answer_late(context: Any, at_s: float) -> None:
    worker = context.worker
    worker.scheduler.take_orders()
    worker.answer(
        context.lost, 0, LOST_SENT_S, context.now_s + 0.1, clock_s=at_s
    )


@then("the worker isn't to be polled at {now_s:g} s")
def check_none(context: Any, now_s: float) -> None:
    scheduler = context.worker.scheduler
    scheduler.take_poll_candidates()
    scheduler.step(now_s, 0)
    assert not scheduler.take_poll_candidates()


@then("a poll that doesn't wait and grants no lease is due at {now_s:g} s")
def check_repeated(context: Any, now_s: float) -> None:
    poll = context.worker.next_poll(now_s)
    assert context.worker.scheduler.take_poll_candidates()
    assert poll is not None and not poll.wait_ms, poll
    assert not poll.until_ms, poll


@then('the worker is not suspect')
def check_not_suspect(context: Any) -> None:
    assert context.worker.view.suspect_since_s is None


@then('the polls from {first_s:g} s on wait {wait_s:g} s')
def check_waits(context: Any, first_s: float, wait_s: float) -> None:
    worker, now_s = context.worker, first_s
    while True:
        poll, grant = worker.send_poll(now_s)
        worker.answer(poll, grant, now_s, now_s + 0.01)
        if poll.wait_ms:
            break
        now_s += 0.02
    assert poll.wait_ms == int(wait_s * 1000), poll


@then('a poll that grants a lease is due at {now_s:g} s')
def check_grant(context: Any, now_s: float) -> None:
    poll = context.worker.next_poll(now_s)
    assert poll is not None and poll.until_ms, poll


@then('the poll at {now_s:g} s drops no ends')
def check_noted(context: Any, now_s: float) -> None:
    poll = context.worker.next_poll(now_s)
    assert poll is not None and not poll.noted_end, poll


@then("the run isn't stopped as one that nobody has assigned")
def check_no_stop(context: Any) -> None:
    orders = context.worker.scheduler.take_orders()
    stops = [o for o in orders if isinstance(o, coordination.StopOrder)]
    assert not stops, stops


@then('the worker may get other runs')
def check_usable(context: Any) -> None:
    worker = context.worker
    assert worker.view.is_usable(context.now_s + 0.1)
    assert not worker.view.unassigned


@then(
    '{count:d} more polls are sent until {end_s:g} s if none is answered or '
    'times out'
)
def check_count(context: Any, count: int, end_s: float) -> None:
    worker, now_s, sent = context.worker, LOST_SENT_S, 0
    while now_s < end_s:
        now_s += STEP_S
        poll = worker.next_poll(now_s)
        if poll is not None:
            worker.scheduler.open_poll_grant(poll, now_s)
            sent += 1
    assert sent == count, sent
