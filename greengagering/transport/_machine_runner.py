"""Sends the machine manager's calls to the platform."""

import asyncio
from collections.abc import Callable

from greengagering import clock
from greengagering import coordination
from greengagering import logs
from greengagering import state
from greengagering.transport._machine_client import MachineClient
from greengagering.transport import _metrics

MAX_CALLS_IN_FLIGHT = 8
"""Concurrent calls to the platform; well below its rate limit."""


class MachineRunner:
    """Calls the platform for the machine manager and reports the answers."""

    def __init__(
        self,
        manager: coordination.MachineManager,
        client: MachineClient,
        has_lease: Callable[[], bool],
        propose: Callable[[list[state.JobRecord]], None],
        metrics: _metrics.ControlMetrics,
    ) -> None:
        self._manager = manager
        self._client = client
        self._has_lease = has_lease
        self._propose = propose
        self._metrics = metrics
        self._call_limit = asyncio.Semaphore(MAX_CALLS_IN_FLIGHT)
        self._tasks: set[asyncio.Task[None]] = set()

    def step(self) -> None:
        """Start the calls that the manager has requested."""
        for call in self._manager.take_calls():
            task = asyncio.ensure_future(self._call(call))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Cancel the calls in flight and close every connection."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._client.close()

    async def _call(self, call: coordination.MachineCall) -> None:
        async with self._call_limit:
            if isinstance(call, coordination.ListMachines):
                listed = await self._read_list()
                self._manager.handle_machine_list(
                    call, listed, clock.steady_s()
                )
                return
            # Without the lease the order isn't sent, and counts as one that
            # the platform doesn't accept now.
            outcome = coordination.DutyOutcome.NOT_NOW
            if self._has_lease():
                outcome = await self._carry_out(call)
            self._metrics.duties.inc(
                {'kind': str(call.duty.kind), 'outcome': str(outcome)}
            )
            self._propose(
                self._manager.handle_duty_outcome(
                    call, outcome, clock.steady_s()
                )
            )

    async def _carry_out(
        self, call: coordination.DutyOrder
    ) -> coordination.DutyOutcome:
        try:
            return await self._client.carry_out(call)
        except Exception as error:
            # The manager sends the duty again only after an answer.
            logs.error(
                'duty_failed', machine=call.duty.machine, cause=repr(error)
            )
            return coordination.DutyOutcome.NO_ANSWER

    async def _read_list(self) -> tuple[coordination.Machine, ...] | None:
        try:
            return await self._client.list_machines()
        except Exception as error:
            # The manager requests the next list only after an answer.
            logs.error('machine_list_failed', cause=repr(error))
            return None
