"""Sends the job scheduler's orders to workers and polls the workers."""

import asyncio
from collections.abc import Callable

from greengagering import clock
from greengagering import coordination
from greengagering import logs
from greengagering.transport import _metrics
from greengagering.transport._worker_client import WorkerClient

POLL_RETRY_S = 0.3
"""Time from a poll until the next one if it fails at once, as a connection is
refused; a few round trips."""

IDLE_CHECK_S = 1.0
"""Longest time between two checks whether a poll is due."""


class OrderRunner:
    """Polls each worker in a task of its own, and sends orders."""

    def __init__(
        self,
        scheduler: coordination.JobScheduler,
        client: WorkerClient,
        has_lease: Callable[[], bool],
        schedule_step: Callable[[], None],
        metrics: _metrics.ControlMetrics,
    ) -> None:
        self._scheduler = scheduler
        self._client = client
        self._has_lease = has_lease
        self._schedule_step = schedule_step
        self._metrics = metrics
        self._poll_tasks: dict[str, asyncio.Task[None]] = {}
        self._wakeups: dict[str, asyncio.Event] = {}
        self._paused_until_s: dict[str, float] = {}
        self._order_tasks: set[asyncio.Task[None]] = set()

    def step(self) -> None:
        """Start and stop polling tasks, and send the scheduler's orders."""
        wanted = self._scheduler.workers
        for key in [key for key in self._poll_tasks if key not in wanted]:
            self._poll_tasks.pop(key).cancel()
            del self._wakeups[key]
            self._paused_until_s.pop(key, None)
        for key in wanted:
            if key not in self._poll_tasks:
                self._wakeups[key] = asyncio.Event()
                self._poll_tasks[key] = asyncio.ensure_future(
                    self._poll_worker(key)
                )
        for key in self._scheduler.take_poll_candidates():
            if key in self._wakeups:
                self._wakeups[key].set()
        if not self._has_lease():
            # Another replica may lead. The orders stay queued, and are sent if
            # this replica gets its lease back.
            return
        for order in self._scheduler.take_orders():
            task = asyncio.ensure_future(self._send_order(order))
            self._order_tasks.add(task)
            task.add_done_callback(self._order_tasks.discard)

    async def close(self) -> None:
        """Cancel the orders and polls in flight and close every connection."""
        tasks = [*self._poll_tasks.values(), *self._order_tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._client.close()

    async def _send_order(self, order: coordination.Order) -> None:
        # The lease may have expired since step, so another replica may lead.
        if not self._has_lease():
            self._scheduler.handle_unsent_order(order, clock.steady_s())
            return
        # A start also extends the worker's lease. The grant's number ties the
        # answer to this extension; 0 means none.
        grant = 0
        sent_at_s = clock.steady_s()
        if isinstance(order, coordination.StartOrder):
            grant = self._scheduler.open_start_grant(order, sent_at_s)
            answer = await self._client.start(order)
        elif isinstance(order, coordination.StopOrder):
            answer = await self._client.stop(order)
        else:
            answer = await self._client.pace(order)
        answered_s = clock.steady_s()
        self._scheduler.handle_order_answer(
            order, grant, answer, answered_s, sent_at_s
        )
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
        self._schedule_step()

    async def _poll_worker(self, key: str) -> None:
        """Send the polls that are due; several may have no answer yet."""
        wakeup = self._wakeups[key]
        polls: set[asyncio.Task[None]] = set()
        try:
            while True:
                wakeup.clear()
                order = None
                sent_at_s = clock.steady_s()
                pause_s = self._paused_until_s.get(key, 0.0) - sent_at_s
                if pause_s > 0:
                    await asyncio.sleep(pause_s)
                    continue
                if self._has_lease():
                    order = self._scheduler.next_poll(key, sent_at_s)
                if order is None:
                    await _wait_for_event(wakeup, IDLE_CHECK_S)
                    continue
                # Registered before the next poll is chosen.
                grant = self._scheduler.open_poll_grant(order, sent_at_s)
                poll = asyncio.ensure_future(
                    self._poll(order, grant, sent_at_s, wakeup)
                )
                polls.add(poll)
                poll.add_done_callback(polls.discard)
        finally:
            for poll in polls:
                poll.cancel()

    async def _poll(
        self,
        order: coordination.LookOrder,
        grant: int,
        sent_at_s: float,
        wakeup: asyncio.Event,
    ) -> None:
        key = order.life.key
        answer = await self._client.poll(order)
        try:
            self._scheduler.handle_poll_answer(
                order, grant, answer, sent_at_s, clock.steady_s()
            )
        except Exception as error:
            # The worker must be polled again, or its lease would expire.
            logs.error('poll_failed', life=key, cause=repr(error))
            self._paused_until_s[key] = clock.steady_s() + POLL_RETRY_S
        else:
            self._schedule_step()
            if answer.outcome is not coordination.OrderOutcome.DONE:
                self._paused_until_s[key] = sent_at_s + POLL_RETRY_S
        wakeup.set()


async def _wait_for_event(event: asyncio.Event, timeout_s: float) -> None:
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return
