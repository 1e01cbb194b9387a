"""Steps about starts that are carried out late."""

import asyncio
import dataclasses
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


@when("its run has left the leader's view: {way}")
def leave_view(context: Any, way: str) -> None:
    worker = context.worker
    if way.startswith('over for '):
        worker.advance(0.2)
        worker.scheduler.declare_over(
            worker.view, way.removeprefix('over for '), is_crash=True
        )
        worker.step(0.22)
    else:
        _WAYS[way](context)
    assert not any(
        context.worker.starts[0].key.name in view.runs
        for view in worker.scheduler.workers.values()
    )
    worker.stops.clear()


def void_answered_run(context: Any) -> None:
    """Void a run after each sending of its start was refused."""
    worker = context.worker
    worker.answer(0, 0.12, _outcomes.UNHEALTHY)
    worker.step(0.14)
    assert has_voided(worker)


def leave(context: Any) -> None:
    """Let the worker drain, give notice and end."""
    worker = context.worker
    apply(worker, state.LifeDraining(worker.facts.key), 0.2)
    worker.scheduler.handle_leave(worker.facts.worker_id, 0.3)
    worker.advance(1.4)
    worker.leave_poll_unanswered(1.4, is_refused=True)
    worker.advance(1.8)
    check_over(worker, 'left')


def reuse_address(context: Any) -> None:
    """Let a younger worker answer at the worker's address."""
    worker = context.worker
    other = dataclasses.replace(worker.facts, worker_id='worker-1', born_ms=9)
    apply(worker, state.LifeSeen(other), 0.2)
    answer_poll_of(worker, other, 0.3)
    worker.step(0.32)
    check_over(worker, 'address reused')


def lapse(context: Any) -> None:
    """Leave everything unanswered until the lease has lapsed."""
    worker = context.worker
    while worker.facts.key in worker.scheduler.workers:
        worker.step(round(worker.now_s + 0.3, 3))
        poll = worker.scheduler.next_poll(worker.facts.key, worker.now_s)
        if poll is not None:
            worker.leave_poll_unanswered(worker.now_s)
        assert worker.now_s < 39, 'the lease has not lapsed'
    check_over(worker, state.LEASE_LAPSED)


def restart_once(context: Any) -> None:
    """Restart the worker; the new process confirms that it refuses the run."""
    worker = context.worker
    facts = return_as(context, 1, 1.0)
    for now_s in (1.7, 2.0, 2.3, 2.6):
        confirm_stops(worker, now_s)
        if worker.scheduler.next_poll(facts.key, now_s) is not None:
            answer_poll_of(worker, facts, now_s)
        worker.step(now_s)
    check_over(worker, 'reborn')


def leave_unsent(context: Any) -> None:
    """End the incarnation after its starts were found not sent."""
    worker = context.worker
    worker.answer(0, 0.12, _outcomes.NOT_SENT)
    worker.scheduler.declare_over(worker.view, 'move')
    worker.step(0.14)


_WAYS = {
    'voided after a stop': void_run,
    'voided after an answer to each': void_answered_run,
    'its worker left': leave,
    "its address is another worker's": reuse_address,
    'lease lapsed': lapse,
    'lost by a restart': restart_once,
    'not sent, then over for move': leave_unsent,
}


def apply(
    worker: unanswered_order_steps.OrderedWorker,
    record: state.JobRecord,
    now_s: float,
) -> None:
    """Commit a record."""
    state.apply_to_jobs(worker.scheduler.jobs, record)
    worker.scheduler.handle_applied(record, now_s, 0)


def answer_poll_of(
    worker: unanswered_order_steps.OrderedWorker,
    facts: state.WorkerFacts,
    now_s: float,
) -> None:
    """Let a process that runs nothing answer a poll."""
    poll = worker.scheduler.next_poll(facts.key, now_s)
    assert poll is not None
    grant = worker.scheduler.open_poll_grant(poll, now_s)
    lists = coordination.LookAnswer(
        _outcomes.DONE, clock_ms(now_s), facts.born_ms
    )
    worker.scheduler.handle_poll_answer(poll, grant, lists, now_s, now_s)


def confirm_stops(
    worker: unanswered_order_steps.OrderedWorker, now_s: float
) -> None:
    """Let the stops that were taken be carried out."""
    answer = coordination.OrderAnswer(_outcomes.DONE, clock_ms(now_s))
    for order in worker.stops:
        worker.scheduler.handle_order_answer(order, 0, answer, now_s, now_s)
    worker.stops.clear()


def check_over(
    worker: unanswered_order_steps.OrderedWorker, cause: str
) -> None:
    """Check why the worker's first incarnation is over."""
    causes = [
        record.cause
        for record in worker.records
        if isinstance(record, state.LifeOver)
        and record.life_key == worker.facts.key
    ]
    assert causes == [cause], causes


def return_as(context: Any, born_after: int, now_s: float) -> Any:
    """Let a process of the worker be seen; return what it reported."""
    worker = context.worker
    former = worker.facts
    # It listens elsewhere where another worker has its address.
    is_taken = any(
        view.facts.address == former.address
        and view.facts.worker_id != former.worker_id
        for view in worker.scheduler.workers.values()
    )
    facts = dataclasses.replace(
        former,
        born_ms=former.born_ms + born_after,
        address='w:81' if is_taken else former.address,
    )
    worker.now_s = now_s
    apply(worker, state.LifeSeen(facts), now_s)
    for order in worker.scheduler.take_orders():
        assert isinstance(order, coordination.StopOrder), order
        worker.stops.append(order)
    worker.restarted = facts
    return facts


@when('it is back as {process} at {now_s:g} s')
def come_back(context: Any, process: str, now_s: float) -> None:
    if process == 'the same process':
        return_as(context, 0, now_s)
    elif process == 'the second new one':
        return_as(context, 1, now_s - 1)
        context.worker.stops.clear()
        return_as(context, 2, now_s)
    else:
        # Another process may have been there before it.
        return_as(context, 2, now_s)


@then(
    'it is ordered to refuse the first run, and gets no run before it has '
    'confirmed that'
)
def check_refusing(context: Any) -> None:
    worker = context.worker
    key = worker.starts[0].key
    assert key in unanswered_order_steps.refused_runs(context), worker.stops
    facts = worker.restarted
    view = worker.scheduler.workers[facts.key]
    # Past the pause after a restart.
    now_s = worker.now_s + 1
    answer_poll_of(worker, facts, now_s)
    assert view.is_read
    assert not view.is_usable(now_s)
    confirm_stops(worker, now_s)
    answer_poll_of(worker, facts, now_s + 0.1)
    # An earlier process may not be over yet, and doesn't keep this one idle.
    assert view.is_usable(now_s + 0.1)


@then('the order to refuse the first run is repeated until it is confirmed')
def check_repeated(context: Any) -> None:
    worker = context.worker
    for number in (1, 2):
        worker.stops.clear()
        worker.advance(3 + 0.6 * number)
        refused = unanswered_order_steps.refused_runs(context)
        assert worker.starts[0].key in refused, number
    confirm_stops(worker, worker.now_s)
    worker.advance(5)
    assert not worker.stops, worker.stops


@given(
    'a worker with {count:d} starts that wait at {now_s:g} s as the leader '
    'has no lease'
)
def hold_orders(context: Any, count: int, now_s: float) -> None:
    context.worker = unanswered_order_steps.OrderedWorker(count)
    worker = context.worker
    worker_order_steps.commit(worker.scheduler, now_s)
    worker.now_s = now_s


@when('its worker has {event} at {now_s:g} s')
def change_worker(context: Any, event: str, now_s: float) -> None:
    worker = context.worker
    match event:
        case 'been declared over':
            worker.scheduler.declare_over(worker.view, 'move')
        case 'restarted':
            facts = dataclasses.replace(worker.facts, born_ms=5)
            apply(worker, state.LifeSeen(facts), now_s)
        case _:
            (run,) = worker.view.runs.values()
            worker.scheduler.empty_run(worker.view, run, now_s)
    worker_order_steps.commit(worker.scheduler, now_s)


@when('the leader has its lease again')
def send_waiting(context: Any) -> None:
    context.worker.step(0.32)


@then('no start is sent')
def check_no_start(context: Any) -> None:
    assert not context.worker.starts, context.worker.starts


@when('a new leader takes over at {now_s:g} s')
def change_leader(context: Any, now_s: float) -> None:
    worker = context.worker
    worker.scheduler = coordination.JobScheduler(worker.scheduler.jobs)
    worker.scheduler.start_leading(2, now_s, 0)
    worker.now_s = now_s


@when('the worker restarts, and reports at {now_s:g} s')
def restart_later(context: Any, now_s: float) -> None:
    return_as(context, 1, now_s)


@then("a poll with the new term is due at once, and doesn't count as read")
def check_fence_poll(context: Any) -> None:
    worker = context.worker
    key = worker.restarted.key
    view = worker.scheduler.workers[key]
    poll = worker.scheduler.next_poll(key, worker.now_s)
    assert poll is not None
    assert poll.term == worker.scheduler.fence == 2, poll
    former = worker.scheduler.workers.get(worker.facts.key)
    assert former is None or poll.fence > former.fence, (poll, former)
    assert (poll.noted_end, poll.until_ms, poll.wait_ms) == (0, 0, 0), poll
    answer_poll_of(worker, worker.restarted, worker.now_s)
    assert not view.is_read
    # Its answer is enough.
    assert worker.scheduler.next_poll(key, worker.now_s + 0.1) is None


@then('a poll that is due after the pause counts as read')
def check_read(context: Any) -> None:
    worker = context.worker
    answer_poll_of(worker, worker.restarted, worker.now_s + 0.7)
    assert worker.scheduler.workers[worker.restarted.key].is_read
