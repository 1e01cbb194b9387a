"""Interface of the adviser's client, and the runner of its requests."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from greengagering import clock
from greengagering import coordination


class AdviserClient(Protocol):
    """Asks the adviser which workers may run a step, in bounded time."""

    async def ask(
        self, question: coordination.Question
    ) -> coordination.Advice | None:
        """Return the adviser's answer, or None if there is none."""
        ...

    async def close(self) -> None:
        """Close every connection."""
        ...


class AdviceRunner:
    """Sends the job scheduler's questions to the adviser, one at a time."""

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
        """Send the next question unless one is open."""
        if self._task is not None and not self._task.done():
            return
        question = self._scheduler.adviser.take_question()
        if question is not None:
            self._task = asyncio.ensure_future(self._request_advice(question))

    async def close(self) -> None:
        """Cancel an open question and close every connection."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._client.close()

    async def _request_advice(self, question: coordination.Question) -> None:
        advice = await self._client.ask(question)
        self._scheduler.note_advice(question, advice, clock.steady_s())
        self._schedule_step()
