"""The protocol of a client of the adviser, and the runner of its questions."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from greengagering import clock
from greengagering import coordination


class AdviserClient(Protocol):
    """Asks which workers may run a step; answers in bounded time."""

    async def ask(
        self, question: coordination.Question
    ) -> coordination.Advice | None:
        """Return the answer, or None where there is none."""
        ...

    async def close(self) -> None:
        """Close every connection."""
        ...


class AdviceRunner:
    """Asks the director's questions, one at a time."""

    def __init__(
        self,
        director: coordination.JobDirector,
        client: AdviserClient,
        schedule: Callable[[], None],
    ) -> None:
        self._director = director
        self._client = client
        self._schedule = schedule
        self._task: asyncio.Task[None] | None = None

    def step(self) -> None:
        """Ask what is to be asked now."""
        if self._task is not None and not self._task.done():
            return
        question = self._director.adviser.take_question()
        if question is not None:
            self._task = asyncio.ensure_future(self._ask(question))

    async def close(self) -> None:
        """Give up an open question."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._client.close()

    async def _ask(self, question: coordination.Question) -> None:
        advice = await self._client.ask(question)
        self._director.note_advice(question, advice, clock.steady_s())
        self._schedule()
