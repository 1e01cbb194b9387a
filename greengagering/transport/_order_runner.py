"""Carries the director's orders and looks to workers."""

import asyncio
from collections.abc import Callable

from greengagering import clock
from greengagering import coordination
from greengagering import logs
from greengagering.transport import _metrics
from greengagering.transport._worker_client import WorkerClient

LOOK_PAUSE_S = 0.3
"""Pause after a look without an answer; a few round trips."""

IDLE_CHECK_S = 1.0
"""Longest time between two questions to the director whether a look is due."""


class OrderRunner:
    """Runs one session of looks for each worker, and single orders."""

    def __init__(
        self,
        director: coordination.JobDirector,
        client: WorkerClient,
        may_order: Callable[[], bool],
        schedule: Callable[[], None],
        metrics: _metrics.ControlMetrics,
    ) -> None:
        self._director = director
        self._client = client
        self._may_order = may_order
        self._schedule = schedule
        self._metrics = metrics
        self._sessions: dict[str, asyncio.Task[None]] = {}
        self._wakeups: dict[str, asyncio.Event] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def step(self) -> None:
        """Begin what the director decided since the last step."""
        wanted = self._director.workers
        for key in [key for key in self._sessions if key not in wanted]:
            self._sessions.pop(key).cancel()
            del self._wakeups[key]
        for key in wanted:
            if key not in self._sessions:
                self._wakeups[key] = asyncio.Event()
                self._sessions[key] = asyncio.ensure_future(
                    self._watch_worker(key)
                )
        for key in self._director.take_woken():
            if key in self._wakeups:
                self._wakeups[key].set()
        if not self._may_order():
            # Another replica may lead; if none does, they go out later.
            return
        for order in self._director.take_orders():
            task = asyncio.ensure_future(self._carry_out(order))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Give up what is on its way."""
        tasks = [*self._sessions.values(), *self._tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._client.close()

    async def _carry_out(self, order: coordination.Order) -> None:
        # Without a lease another replica may lead already.
        if not self._may_order():
            self._director.note_unsent(order, clock.steady_s())
            return
        grant = 0
        sent_at_s = clock.steady_s()
        if isinstance(order, coordination.StartOrder):
            grant = self._director.begin_start(order, sent_at_s)
            answer = await self._client.start(order)
        elif isinstance(order, coordination.StopOrder):
            answer = await self._client.stop(order)
        else:
            answer = await self._client.pace(order)
        answered_s = clock.steady_s()
        self._director.note_order(order, grant, answer, answered_s)
        kind = type(order).__name__
        self._metrics.orders.inc(
            {'kind': kind, 'outcome': str(answer.outcome)}
        )
        self._metrics.order_seconds.observe(
            {'kind': kind}, answered_s - sent_at_s
        )
        logs.debug(
            'order_answered',
            order=kind,
            run=order.key.name,
            life=order.life.key,
            outcome=answer.outcome,
        )
        self._schedule()

    async def _watch_worker(self, key: str) -> None:
        wakeup = self._wakeups[key]
        while True:
            wakeup.clear()
            order = None
            if self._may_order():
                order = self._director.next_look(key, clock.steady_s())
            if order is None:
                await _wait(wakeup, IDLE_CHECK_S)
                continue
            if order.wait_ms:
                await self._look_long(order, wakeup)
            elif not await self._look(order):
                await asyncio.sleep(LOOK_PAUSE_S)

    async def _look_long(
        self, order: coordination.LookOrder, wakeup: asyncio.Event
    ) -> None:
        """Look and wait for an end, with short looks when one is needed."""
        long_look = asyncio.ensure_future(self._look(order))
        try:
            while not long_look.done():
                waked = asyncio.ensure_future(wakeup.wait())
                await asyncio.wait(
                    {long_look, waked}, return_when=asyncio.FIRST_COMPLETED
                )
                waked.cancel()
                wakeup.clear()
                if long_look.done() or not self._may_order():
                    continue
                short = self._director.next_look(
                    order.life.key, clock.steady_s()
                )
                if short is not None and not short.wait_ms:
                    await self._look(short)
        finally:
            if not long_look.done():
                long_look.cancel()

    async def _look(self, order: coordination.LookOrder) -> bool:
        sent_at_s = clock.steady_s()
        grant = self._director.begin_look(order, sent_at_s)
        answer = await self._client.look(order)
        self._director.note_look(
            order, grant, answer, sent_at_s, clock.steady_s()
        )
        self._schedule()
        return answer.outcome is coordination.OrderOutcome.DONE


async def _wait(event: asyncio.Event, timeout_s: float) -> None:
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return
