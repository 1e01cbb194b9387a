"""Paces filling tasks so that serving tasks beside them keep their target."""

from greengagering.coordination.jobs import _orders as orders
from greengagering.coordination.jobs._worker_view import RunPhase
from greengagering.coordination.jobs._worker_view import RunView
from greengagering.coordination.jobs._worker_view import WorkerView

FIRST_PERCENT = 30
"""Pace at which a filling task begins, until its effect is seen."""

STEP_PERCENT = 10
"""Rise of the pace while every tail is well below its target."""

FULL_PERCENT = 100

PRESSED_SHARE = 0.9
"""Share of the target from which filling tasks are slowed down."""

EASY_SHARE = 0.7
"""Share of the target below which they may work more; between the two the
pace is kept, so that it doesn't swing."""

SLOW_DOWN = 0.5
"""Factor by which the pace falls when a tail comes near its target."""

LOOK_S = 0.4
"""Time between two readings of tails beside filling tasks; the tail is that of
the last half second."""


def is_shared(view: WorkerView) -> bool:
    """Tell whether filling and serving tasks run side by side."""
    has_filling = any(run.step.fills for run in view.runs.values())
    return has_filling and any(
        run.step.tail_target_ms for run in view.runs.values()
    )


def find_paces(view: WorkerView, fence: int) -> list[orders.PaceOrder]:
    """Return the orders that bring the filling tasks to their pace.

    Args:
        view: a worker whose lists were read just now.
        fence: number of the leader's term.
    """
    running = [
        run for run in view.runs.values() if run.phase is RunPhase.RUNNING
    ]
    pressure = max((_pressure(run) for run in running), default=0.0)
    paced = []
    for run in running:
        if not run.step.fills:
            continue
        percent = _next_percent(run, pressure, is_shared=is_shared(view))
        if percent != run.ordered_percent:
            run.ordered_percent = percent
            paced.append(orders.PaceOrder(view.facts, run.key, percent, fence))
    return paced


def _pressure(run: RunView) -> float:
    """Return a serving task's tail as a share of its target."""
    if not run.step.tail_target_ms or run.figure is None:
        return 0.0
    return run.figure / run.step.tail_target_ms


def _next_percent(run: RunView, pressure: float, *, is_shared: bool) -> int:
    if not is_shared:
        return FULL_PERCENT
    if run.ordered_percent is None:
        return FIRST_PERCENT
    if pressure >= 1.0:
        return 0
    if pressure >= PRESSED_SHARE:
        return int(run.ordered_percent * SLOW_DOWN)
    if pressure < EASY_SHARE:
        return min(run.ordered_percent + STEP_PERCENT, FULL_PERCENT)
    return run.ordered_percent
