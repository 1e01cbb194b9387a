"""Calls a core's step once per turn of the loop, and now and then."""

import asyncio
from collections.abc import Callable
import time
import traceback

import aioprometheus

from greengagering import logs

TICK_S = 0.04
MAX_GAP_S = 0.01
"""Longest pause after a step; a callers' round trip takes as long."""

METRICS_INTERVAL_S = 1.0

LATE_S = 0.1
"""Lateness of a tick that is logged; every input waits as long meanwhile."""


class StepLoop:
    """Folds all inputs of one turn of the loop into one step.

    After a step that took long, inputs gather for as long, so that steps
    leave half of the loop's time to what they wait for. A loop that has more
    to do than its processor allows is late at its ticks, and says so.
    """

    def __init__(
        self,
        step: Callable[[], None],
        set_metrics: Callable[[], None],
        late_seconds: aioprometheus.Histogram,
        tick_s: float = TICK_S,
    ) -> None:
        self._step = step
        self._tick_s = tick_s
        self._set_metrics = set_metrics
        self._late_seconds = late_seconds
        self._worst_late_s = 0.0
        self._step_count = 0
        self._steps_s = 0.0
        self._longest_step_s = 0.0
        self._is_due = False
        self._next_s = float('-inf')
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Begin to tick."""
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._tick()),
            loop.create_task(self._report()),
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
        spent_s = time.monotonic() - started_s
        self._step_count += 1
        self._steps_s += spent_s
        self._longest_step_s = max(self._longest_step_s, spent_s)
        gap_s = min(spent_s, MAX_GAP_S)
        self._next_s = asyncio.get_running_loop().time() + gap_s

    async def _tick(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + self._tick_s
            self._run()
            await asyncio.sleep(self._tick_s)
            late_s = max(loop.time() - due_s, 0.0)
            self._late_seconds.observe({}, late_s)
            self._worst_late_s = max(self._worst_late_s, late_s)

    async def _report(self) -> None:
        while True:
            self._set_metrics()
            if self._worst_late_s >= LATE_S:
                logs.warning(
                    'loop_late',
                    late_s=round(self._worst_late_s, 3),
                    steps=self._step_count,
                    steps_s=round(self._steps_s, 3),
                    longest_step_s=round(self._longest_step_s, 3),
                )
            self._worst_late_s = 0.0
            self._step_count = 0
            self._steps_s = 0.0
            self._longest_step_s = 0.0
            await asyncio.sleep(METRICS_INTERVAL_S)
