"""Pacing of filling tasks, so that serving tasks on the same worker keep their
tail latency target.
"""

from greengagering.coordination.workers import _orders as orders
from greengagering.coordination.workers._run_view import RunPhase
from greengagering.coordination.workers._run_view import RunView
from greengagering.coordination.workers._worker_view import MAX_ORDER_DELAY_S
from greengagering.coordination.workers._worker_view import MAX_SEND_DELAY_S
from greengagering.coordination.workers._worker_view import WorkerView

FIRST_PERCENT = 30
"""Pace of a filling task until its effect on tail latency is measured."""

STEP_PERCENT = 10
"""Increase of the pace per poll while every tail latency is well below its
target."""

FULL_PERCENT = 100

SLOW_DOWN_SHARE = 0.9
"""Ratio of tail latency to target at which filling tasks are slowed down."""

SPEED_UP_SHARE = 0.7
"""Ratio of tail latency to target below which filling tasks are sped up;
between the two ratios the pace is kept, so that it doesn't oscillate."""

SLOW_DOWN_FACTOR = 0.5
"""Factor applied to the pace when a tail latency comes near its target."""

SHARED_POLL_WAIT_S = 0.4
"""Time between two polls of a worker with both serving and filling tasks; a
reported tail latency covers the last half second."""


def is_shared(view: WorkerView) -> bool:
    """Tell whether a worker runs both filling and serving tasks."""
    has_filling = any(run.step.fills for run in view.runs.values())
    return has_filling and any(
        run.step.tail_target_ms for run in view.runs.values()
    )


def find_paces(view: WorkerView, now_s: float) -> list[orders.PaceOrder]:
    """Return the orders that set the filling tasks to their pace.

    Args:
        view: a worker that was just polled.
        now_s: the leader's clock.
    """
    running = [
        run for run in view.runs.values() if run.phase is RunPhase.RUNNING
    ]
    tail_ratio = max((_tail_ratio(run) for run in running), default=0.0)
    pace_orders = []
    for run in running:
        if not run.step.fills:
            continue
        percent = _next_percent(run, tail_ratio, is_shared=is_shared(view))
        if percent != run.ordered_percent or run.pace_due_until_s is not None:
            run.ordered_percent = percent
            if _is_pace_settled(run, now_s):
                run.pace_due_until_s = None
            pace_orders.append(
                orders.PaceOrder(view.facts, run.key, percent, view.fence)
            )
    return pace_orders


def handle_pace_answer(
    run: RunView,
    order: orders.PaceOrder,
    outcome: orders.OrderOutcome,
    now_s: float,
) -> None:
    """Order the pace again while another one may be, or come, in effect."""
    if outcome is not orders.OrderOutcome.DONE:
        run.ordered_percent = None
        if outcome is orders.OrderOutcome.NO_ANSWER:
            late_s = MAX_SEND_DELAY_S + MAX_ORDER_DELAY_S
            run.pace_due_until_s = now_s + late_s
    elif order.percent != run.ordered_percent and _is_pace_settled(run, now_s):
        # A newer order may have been carried out before this one.
        run.pace_due_until_s = now_s


def _is_pace_settled(run: RunView, now_s: float) -> bool:
    """Tell whether no unanswered order to pace may still take effect."""
    return run.pace_due_until_s is None or now_s >= run.pace_due_until_s


def _tail_ratio(run: RunView) -> float:
    """Return the ratio of a serving task's tail latency to its target."""
    if not run.step.tail_target_ms or run.figure is None:
        return 0.0
    return run.figure / run.step.tail_target_ms


def _next_percent(run: RunView, tail_ratio: float, *, is_shared: bool) -> int:
    if not is_shared:
        return FULL_PERCENT
    if run.ordered_percent is None:
        return FIRST_PERCENT
    if tail_ratio >= 1.0:
        return 0
    if tail_ratio >= SLOW_DOWN_SHARE:
        return int(run.ordered_percent * SLOW_DOWN_FACTOR)
    if tail_ratio < SPEED_UP_SHARE:
        return min(run.ordered_percent + STEP_PERCENT, FULL_PERCENT)
    return run.ordered_percent
