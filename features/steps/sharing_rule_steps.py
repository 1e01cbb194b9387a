"""Steps about pacing filling tasks beside serving ones, and the due clock."""

from typing import Any

from behave import given
from behave import then
from behave import when

from features.search import job_search
from features.search import worker_fakes
from greengagering import coordination
from greengagering.coordination.jobs import DueClock
from greengagering import state

SERVING = state.RunKey('serving', '0.0.0', 1)
FILLING = state.RunKey('filling', '0.0.0', 1)
FACTS = state.WorkerFacts(
    'worker-0', 1, 'service-a', 'w:80', 'dc-1', 'r', (), worker_fakes.ROOM
)


@given(
    'a worker with a serving task of target {target:d} ms and a filling task'
)
def start(context: Any, target: int) -> None:
    jobs = state.JobsState()
    room = state.Room(1000, 100)
    serving = state.StepSpec(1, room, is_lasting=True, tail_target_ms=target)
    filling = state.StepSpec(1, room, is_lasting=True, fills=True)
    for key, step in ((SERVING, serving), (FILLING, filling)):
        spec = state.JobSpec(key.job_id, 'text', (step,))
        record = state.JobAccepted(spec, job_search.QUEUE, 0)
        state.apply_to_jobs(jobs, record)
    state.apply_to_jobs(jobs, state.LifeSeen(FACTS))
    state.apply_to_jobs(
        jobs, state.RunsAllotted((SERVING, FILLING), (FACTS.key, FACTS.key))
    )
    context.scheduler = coordination.JobScheduler(jobs)
    context.scheduler.start_leading(1, 0.0, 0)
    context.now_s = 0.0
    context.running = (SERVING, FILLING)
    context.pace = None
    context.paces = []


def poll(context: Any, tail_ms: int) -> None:
    """Poll the worker once, and keep the order to pace that follows."""
    scheduler = context.scheduler
    poll_order = scheduler.next_poll(FACTS.key, context.now_s)
    assert poll_order is not None
    listed = tuple(
        coordination.ListedRun(key, '', 100, tail_ms)
        for key in context.running
    )
    answer = coordination.LookAnswer(
        coordination.OrderOutcome.DONE,
        int(context.now_s * 1000),
        FACTS.born_ms,
        listed,
        getattr(context, 'ended', ()),
    )
    sent_s, context.now_s = context.now_s, context.now_s + 0.4
    scheduler.handle_poll_answer(poll_order, 0, answer, sent_s, context.now_s)
    for order in scheduler.take_orders():
        if isinstance(order, coordination.PaceOrder):
            assert order.key == FILLING
            context.pace = order
            context.paces.append(order)


@when("the serving task's tail latency is reported as {tail:d} ms")
def poll_once(context: Any, tail: int) -> None:
    context.pace = None
    poll(context, tail)


@when(
    "the serving task's tail latency is reported as {tail:d} ms, "
    '{count:d} times'
)
def poll_often(context: Any, tail: int, count: int) -> None:
    for _ in range(count):
        poll(context, tail)


@when('the order to pace gets no answer')
def lose_order(context: Any) -> None:
    none = coordination.OrderAnswer(coordination.OrderOutcome.NO_ANSWER)
    context.scheduler.handle_order_answer(context.pace, 0, none, context.now_s)


@when('the orders to pace are answered, the newest first')
def answer_newest_first(context: Any) -> None:
    clock_ms = int(context.now_s * 1000)
    done = coordination.OrderAnswer(coordination.OrderOutcome.DONE, clock_ms)
    for order in reversed(context.paces):
        context.scheduler.handle_order_answer(order, 0, done, context.now_s)


@when('the serving task has ended')
def end_serving(context: Any) -> None:
    context.running = (FILLING,)
    ending = state.RunEnding.FAILED
    context.ended = (state.RunEnd(1, SERVING, ending, ''),)
    poll(context, 0)


@then('the filling task is paced to {percent:d} percent')
def check_pace(context: Any, percent: int) -> None:
    assert context.pace is not None
    assert context.pace.percent == percent, context.pace


@then("the filling task's pace is not ordered")
def check_no_pace(context: Any) -> None:
    assert context.pace is None, context.pace


@given('a clock that follows the time of day')
def new_clock(context: Any) -> None:
    context.clock = DueClock()
    context.clock_s = 0.0
    context.jump_ms = 0
    run_clock(context, 5.0)


def run_clock(context: Any, seconds: float) -> None:
    """Read the clock every 0.1 s for some time."""
    ends_s = context.clock_s + seconds
    while context.clock_s < ends_s:
        context.clock_s += 0.1
        unix_ms = int(context.clock_s * 1000) + context.jump_ms
        context.read_ms = context.clock.read_ms(context.clock_s, unix_ms)


@when('the time of day jumps ahead by {jump:d} ms for {seconds:g} s')
def jump_clock(context: Any, jump: int, seconds: float) -> None:
    context.jump_ms = jump
    run_clock(context, seconds)
    context.last_ms = context.read_ms
    context.last_s = context.clock_s
    context.jump_ms = 0
    run_clock(context, 1.0)


@then('the time read has not jumped')
def check_no_jump(context: Any) -> None:
    assert abs(context.last_ms - context.last_s * 1000) <= 2, context.last_ms


@then('the time read has jumped by {jump:d} ms')
def check_jump(context: Any, jump: int) -> None:
    read_ms = context.last_ms - context.last_s * 1000
    assert abs(read_ms - jump) <= 2, read_ms
