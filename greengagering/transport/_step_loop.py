"""Calls a core's step once per turn of the loop, and now and then."""

import asyncio
from collections.abc import Callable
import time
import traceback

from greengagering import logs

TICK_S = 0.04
MAX_GAP_S = 0.01
"""Longest pause after a step; a callers' round trip takes as long."""

METRICS_INTERVAL_S = 1.0


class StepLoop:
    """Folds all inputs of one turn of the loop into one step.

    After a step that took long, inputs gather for as long, so that steps
    leave half of the loop's time to what they wait for.
    """

    def __init__(
        self,
        step: Callable[[], None],
        set_metrics: Callable[[], None],
        tick_s: float = TICK_S,
    ) -> None:
        self._step = step
        self._tick_s = tick_s
        self._set_metrics = set_metrics
        self._is_due = False
        self._next_s = float('-inf')
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Begin to tick."""
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(_repeat(self._run, self._tick_s)),
            loop.create_task(_repeat(self._set_metrics, METRICS_INTERVAL_S)),
        ]

    async def stop(self) -> None:
        """Tick no more."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def schedule(self) -> None:
        """Step at the end of this turn of the loop, or after the pause."""
        if self._is_due:
            return
        self._is_due = True
        loop = asyncio.get_running_loop()
        gap_s = self._next_s - loop.time()
        if gap_s > 0:
            loop.call_later(gap_s, self._run)
        else:
            loop.call_soon(self._run)

    def _run(self) -> None:
        self._is_due = False
        started_s = time.monotonic()
        try:
            self._step()
        except Exception as error:
            # Without the next step elections, leases and orders would stand
            # still, so an error in this one is told and outlived.
            logs.error(
                'step_failed',
                cause=repr(error),
                where=traceback.format_exc(limit=-3).replace('\n', ' | '),
            )
        ended_s = time.monotonic()
        gap_s = min(ended_s - started_s, MAX_GAP_S)
        self._next_s = asyncio.get_running_loop().time() + gap_s


async def _repeat(action: Callable[[], None], interval_s: float) -> None:
    while True:
        action()
        await asyncio.sleep(interval_s)
