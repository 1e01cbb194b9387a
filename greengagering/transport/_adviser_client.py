"""Interface of the adviser's client, and the runner of its requests."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from greengagering import clock
from greengagering import coordination
from greengagering import logs


class AdviserClient(Protocol):
    """Asks the adviser which workers may run a step, in bounded time."""

    async def request_advice(
        self, request: coordination.AdviceRequest
    ) -> coordination.Advice | None:
        """Return the adviser's answer, or None if there is none."""
        ...

    async def close(self) -> None:
        """Close every connection."""
        ...


class AdviceRunner:
    """Sends the job scheduler's requests to the adviser, one at a time."""

    def __init__(
        self,
        scheduler: coordination.JobScheduler,
        client: AdviserClient,
        schedule_step: Callable[[], None],
    ) -> None:
        self._scheduler = scheduler
        self._client = client
        self._schedule_step = schedule_step
        self._task: asyncio.Task[None] | None = None

    def step(self) -> None:
        """Send the next request unless one is open."""
        if self._task is not None and not self._task.done():
            return
        request = self._scheduler.permits.take_advice_request(clock.steady_s())
        if request is not None:
            self._task = asyncio.ensure_future(self._request_advice(request))

    async def close(self) -> None:
        """Cancel an open request and close every connection."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._client.close()

    async def _request_advice(
        self, request: coordination.AdviceRequest
    ) -> None:
        try:
            advice = await self._client.request_advice(request)
        except Exception as error:
            # Without any answer the request would stay open, and no other
            # would be sent.
            logs.error(
                'advice_failed', step=request.step_name, cause=repr(error)
            )
            advice = None
        self._scheduler.handle_advice(request, advice, clock.steady_s())
        self._schedule_step()
