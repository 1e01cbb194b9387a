"""Carries the keeper's calls to the platform."""

import asyncio
from collections.abc import Callable

from greengagering import clock
from greengagering import coordination
from greengagering import state
from greengagering.transport._machine_client import MachineClient
from greengagering.transport import _metrics

DUTIES_AT_ONCE = 8
"""Calls to the platform on their way at once, well under its rate limit."""


class MachineRunner:
    """Calls the platform for the keeper, and passes back the answers."""

    def __init__(
        self,
        keeper: coordination.MachineKeeper,
        client: MachineClient,
        may_order: Callable[[], bool],
        propose: Callable[[list[state.JobRecord]], None],
        metrics: _metrics.ControlMetrics,
    ) -> None:
        self._keeper = keeper
        self._client = client
        self._may_order = may_order
        self._propose = propose
        self._metrics = metrics
        self._lane = asyncio.Semaphore(DUTIES_AT_ONCE)
        self._tasks: set[asyncio.Task[None]] = set()

    def step(self) -> None:
        """Begin the calls that the keeper asked for."""
        for call in self._keeper.take_calls():
            task = asyncio.ensure_future(self._call(call))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Give up what is on its way."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._client.close()

    async def _call(self, call: coordination.MachineCall) -> None:
        async with self._lane:
            if isinstance(call, coordination.ListMachines):
                listed = await self._client.list_machines()
                self._keeper.note_machines(call, listed, clock.steady_s())
                return
            outcome = coordination.DutyOutcome.NOT_NOW
            if self._may_order():
                outcome = await self._client.carry_out(call)
            self._metrics.duties.inc(
                {'kind': str(call.duty.kind), 'outcome': str(outcome)}
            )
            self._propose(
                self._keeper.note_duty(call, outcome, clock.steady_s())
            )
