"""Steps about starts that are carried out late."""

import asyncio
from typing import Any
from unittest import mock

from behave import given
from behave import then
from behave import when

from features.steps import unanswered_order_steps
from features.steps import worker_order_steps
from greengagering import coordination
from greengagering import state
from greengagering.transport import _limited_client

_outcomes = coordination.OrderOutcome

ANSWERS = {
    'no answer': _outcomes.NO_ANSWER,
    'a refusal': _outcomes.NO_ROOM,
    'done': _outcomes.DONE,
}


class AnsweringClient:
    """A client of a worker that gives one answer, or fails."""

    def __init__(self, outcome: coordination.OrderOutcome | None) -> None:
        self._outcome = outcome

    async def start(
        self, order: coordination.StartOrder
    ) -> coordination.OrderAnswer:
        """Return the answer."""
        if self._outcome is None:
            raise ValueError('broken')
        return coordination.OrderAnswer(self._outcome)


@given('a worker whose answer to a start is {outcome}')
def answering_worker(context: Any, outcome: str) -> None:
    context.outcome = ANSWERS.get(outcome)


@when('the start is sent')
def send_start(context: Any) -> None:
    facts = worker_order_steps.create_facts('w:80')
    order = coordination.StartOrder(
        facts, worker_order_steps.KEY, 'text', 1000, 7, ''
    )

    async def send() -> None:
        client = _limited_client.LimitedClient(
            AnsweringClient(context.outcome),  # type: ignore[arg-type]
            lambda fence: True,
        )
        await client.start(order)

    with mock.patch.object(_limited_client.logs, 'info') as info:
        asyncio.run(send())
    context.order = order
    context.lines = [
        call.kwargs
        for call in info.call_args_list
        if call.args == ('start_unconfirmed',)
    ]


@then(
    "{count:d} lines say that it isn't confirmed, with run, incarnation, "
    'fence and outcome'
)
def check_lines(context: Any, count: int) -> None:
    assert len(context.lines) == count, context.lines
    outcome = context.outcome or _outcomes.NO_ANSWER
    for line in context.lines:
        assert line['run'] == context.order.key.name, line
        assert line['life'] == context.order.life.key, line
        assert line['fence'] == context.order.fence, line
        assert line['outcome'] == str(outcome), line
        assert line.keys() >= {'queued_s', 'called_s'}, line


def find_line(context: Any, event: str) -> dict[str, object]:
    """Return the fields of the only line of an event."""
    (line,) = [
        decision.fields
        for decision in context.worker.scheduler.take_decisions()
        if decision.event == event
    ]
    return line


@when('it is declared over for a move at {now_s:g} s')
def declare_over(context: Any, now_s: float) -> None:
    worker = context.worker
    worker.advance(now_s)
    worker.scheduler.declare_over(worker.view, 'move')
    worker.step(now_s)


@then(
    'a line says that it is seen again {over_s:g} s after its end for a move'
)
def check_seen_again(context: Any, over_s: float) -> None:
    line = find_line(context, 'life_seen_again')
    expected = {
        'life': context.worker.facts.key,
        'cause': 'move',
        'over_s_ago': over_s,
    }
    assert line == expected, line


@when('its run is voided after a refused repetition and a stop')
def void_run(context: Any) -> None:
    """Void a run whose first sending gets no answer."""
    worker = context.worker
    worker.advance(0.24)
    worker.answer(1, 0.26, _outcomes.UNHEALTHY)
    worker.step(0.28)
    order = worker.stops[0]
    answer = coordination.OrderAnswer(_outcomes.DONE, clock_ms(0.3))
    worker.scheduler.handle_order_answer(order, 0, answer, 0.3, 0.28)
    while not has_voided(worker):
        worker.step(round(worker.now_s + 0.1, 3))
        worker.answer_poll(worker.now_s)
        assert worker.now_s < 3, 'the run is not voided'


def has_voided(worker: unanswered_order_steps.OrderedWorker) -> bool:
    """Tell whether a run was voided."""
    return any(isinstance(r, state.RunsVoided) for r in worker.records)


def clock_ms(now_s: float) -> int:
    """Return the worker's clock."""
    return unanswered_order_steps.CLOCK_MS + int(now_s * 1000)


@then('the line of the voided run gives {count:d} start under way')
def check_voided_line(context: Any, count: int) -> None:
    line = find_line(context, 'run_voided')
    assert line['starts_under_way'] == count, line
    assert line['unresolved_starts'] == 0, line
    assert isinstance(line['sendings'], int), line


@when('it lists the voided run as running')
def list_voided(context: Any) -> None:
    worker = context.worker
    now_s = round(worker.now_s + 0.02, 3)
    worker.view.is_list_due = True
    # A worker that runs nothing isn't polled while it is responsive.
    worker.view.mark_suspect(now_s)
    poll = worker.scheduler.next_poll(worker.facts.key, now_s)
    assert poll is not None
    grant = worker.scheduler.open_poll_grant(poll, now_s)
    listed = coordination.ListedRun(worker.starts[0].key, '', 100, None)
    lists = coordination.LookAnswer(
        _outcomes.DONE, clock_ms(now_s), worker.facts.born_ms, (listed,)
    )
    worker.scheduler.handle_poll_answer(poll, grant, lists, now_s, now_s)


@then('the line of the stray run says that it was voided as absent')
def check_stray_line(context: Any) -> None:
    line = find_line(context, 'run_stray')
    assert line['run'] == context.worker.starts[0].key.name, line
    assert line['left'] == 'voided as absent', line
