"""Steps about sendings of a start that overtake each other."""

from typing import Any

from behave import then
from behave import when

from features.steps import late_start_steps
from features.steps import unanswered_order_steps
from greengagering import coordination

STEP_S = 0.02
_NUMBERS = {'first': 0, 'second': 1, 'third': 2}
_OUTCOMES = {
    'done': coordination.OrderOutcome.DONE,
    'refused': coordination.OrderOutcome.UNHEALTHY,
}


@when('its sendings are answered in this order: {answers}')
def answer_in_order(context: Any, answers: str) -> None:
    worker = context.worker
    assert len(worker.starts) >= len(_NUMBERS), worker.sent
    # Further sendings are under way, too.
    for number in range(len(_NUMBERS), len(worker.starts)):
        worker.answer(number, worker.now_s, coordination.OrderOutcome.NOT_SENT)
    for answer in answers.split(', '):
        now_s = round(worker.now_s + STEP_S, 3)
        subject, _, outcome = answer.partition(' ')
        if subject == 'emptied':
            (run,) = worker.view.runs.values()
            worker.scheduler.empty_run(worker.view, run, now_s)
        elif subject == 'stop':
            confirm_stop(worker, now_s)
        else:
            worker.answer(_NUMBERS[subject], now_s, _OUTCOMES[outcome])
        worker.step(now_s)


def confirm_stop(
    worker: unanswered_order_steps.OrderedWorker, now_s: float
) -> None:
    """Let the worker confirm the order to stop; the run stops later."""
    answer = coordination.OrderAnswer(
        coordination.OrderOutcome.DONE,
        unanswered_order_steps.CLOCK_MS + int(now_s * 1000),
    )
    worker.scheduler.handle_order_answer(
        worker.stops[0], 0, answer, now_s, now_s
    )


@then("its run isn't voided")
def check_not_voided(context: Any) -> None:
    assert not late_start_steps.has_voided(context.worker), (
        context.worker.records
    )


@then('its run is voided as refused')
def check_voided(context: Any) -> None:
    assert late_start_steps.has_voided(context.worker), context.worker.records
