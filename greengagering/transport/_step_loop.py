"""Runs a core's step after new inputs and at regular intervals."""

import asyncio
from collections.abc import Callable
import time
import traceback

import aioprometheus

from greengagering import logs

TICK_S = 0.04
"""Time between two periodic steps."""

MAX_PAUSE_S = 0.01
"""Longest pause after a step; as long as a caller's round trip."""

METRICS_INTERVAL_S = 1.0

LATE_WARNING_S = 0.1
"""A tick that is at least this late is logged, because inputs may have waited
as long."""


class StepLoop:
    """Processes all inputs of one event loop iteration in one step.

    After a step, inputs are collected for as long as the step took, up to
    MAX_PAUSE_S, so that steps that take no longer use about half of the loop's
    time at most, and the rest is left to I/O. Periodic steps don't wait for
    the pause. An overloaded loop is late at its ticks, which is logged and
    counted in a metric.
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
        self._max_late_s = 0.0
        self._step_count = 0
        self._steps_s = 0.0
        self._longest_step_s = 0.0
        self._is_due = False
        self._earliest_step_s = float('-inf')
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start the periodic steps and reports."""
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._tick()),
            loop.create_task(self._report()),
        ]

    async def stop(self) -> None:
        """Stop the periodic steps and reports."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def schedule(self) -> None:
        """Run a step in the next loop iteration, or once the pause is over."""
        if self._is_due:
            return
        self._is_due = True
        loop = asyncio.get_running_loop()
        pause_s = self._earliest_step_s - loop.time()
        if pause_s > 0:
            loop.call_later(pause_s, self._run)
        else:
            loop.call_soon(self._run)

    def _run(self) -> None:
        self._is_due = False
        started_s = time.monotonic()
        try:
            self._step()
        except Exception as error:
            # Elections, leases and orders depend on the next step, so an error
            # in this one is logged and doesn't stop the loop.
            logs.error(
                'step_failed',
                cause=repr(error),
                where=traceback.format_exc(limit=-3).replace('\n', ' | '),
            )
        spent_s = time.monotonic() - started_s
        self._step_count += 1
        self._steps_s += spent_s
        self._longest_step_s = max(self._longest_step_s, spent_s)
        pause_s = min(spent_s, MAX_PAUSE_S)
        self._earliest_step_s = asyncio.get_running_loop().time() + pause_s

    async def _tick(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + self._tick_s
            self._run()
            await asyncio.sleep(self._tick_s)
            late_s = max(loop.time() - due_s, 0.0)
            self._late_seconds.observe({}, late_s)
            self._max_late_s = max(self._max_late_s, late_s)

    async def _report(self) -> None:
        while True:
            self._set_metrics()
            if self._max_late_s >= LATE_WARNING_S:
                logs.warning(
                    'loop_late',
                    late_s=round(self._max_late_s, 3),
                    steps=self._step_count,
                    steps_s=round(self._steps_s, 3),
                    longest_step_s=round(self._longest_step_s, 3),
                )
            self._max_late_s = 0.0
            self._step_count = 0
            self._steps_s = 0.0
            self._longest_step_s = 0.0
            await asyncio.sleep(METRICS_INTERVAL_S)
