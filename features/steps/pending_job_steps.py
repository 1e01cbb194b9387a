"""Steps about the jobs of a queue that have not begun."""

from typing import Any

from behave import then
from behave import when

from features.search import job_search
from features.steps import late_start_steps
from greengagering import coordination
from greengagering import state

DONE = coordination.OrderOutcome.DONE


@when('the first start stays without an answer until {until_s:g} s')
def leave_unanswered(context: Any, until_s: float) -> None:
    worker = context.worker
    worker.advance(0.6)
    worker.answer(0, worker.now_s, coordination.OrderOutcome.NO_ANSWER)
    worker.advance(until_s)


@when('its run {way}')
def begin(context: Any, way: str) -> None:
    worker = context.worker
    if way == 'is confirmed':
        worker.answer(0, 0.2)
        return
    key = worker.starts[0].key
    running: tuple[coordination.ListedRun, ...] = ()
    ended: tuple[state.RunEnd, ...] = ()
    if way == 'is listed':
        running = (coordination.ListedRun(key, '', 100, None),)
    else:
        ended = (state.RunEnd(1, key, state.RunEnding.FAILED, ''),)
    poll = worker.scheduler.next_poll(worker.facts.key, 0.2)
    assert poll is not None
    lists = coordination.LookAnswer(
        DONE,
        late_start_steps.clock_ms(0.2),
        worker.facts.born_ms,
        running,
        ended,
    )
    grant = worker.scheduler.open_poll_grant(poll, 0.2)
    worker.scheduler.handle_poll_answer(poll, grant, lists, 0.2, 0.2)
    worker.step(0.22)


def count_pending(context: Any) -> int:
    """Return how many jobs of the queue are pending."""
    return int(context.worker.scheduler.count_pending(job_search.QUEUE))


@then('its job is pending')
def check_pending(context: Any) -> None:
    assert count_pending(context) == 1


@then("its job isn't pending")
def check_begun(context: Any) -> None:
    assert count_pending(context) == 0
