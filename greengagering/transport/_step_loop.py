"""Calls a core's step once per turn of the loop, and now and then."""

import asyncio
from collections.abc import Callable
import traceback

from greengagering import logs

TICK_S = 0.04
METRICS_INTERVAL_S = 1.0


class StepLoop:
    """Folds all inputs of one turn of the loop into one step."""

    def __init__(
        self, step: Callable[[], None], set_metrics: Callable[[], None]
    ) -> None:
        self._step = step
        self._set_metrics = set_metrics
        self._is_due = False
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Begin to tick."""
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(_repeat(self._run, TICK_S)),
            loop.create_task(_repeat(self._set_metrics, METRICS_INTERVAL_S)),
        ]

    async def stop(self) -> None:
        """Tick no more."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def schedule(self) -> None:
        """Step at the end of this turn of the loop."""
        if not self._is_due:
            self._is_due = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        self._is_due = False
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


async def _repeat(action: Callable[[], None], interval_s: float) -> None:
    while True:
        action()
        await asyncio.sleep(interval_s)
