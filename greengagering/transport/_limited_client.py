"""Limits the concurrent calls to workers."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
from typing import TypeVar

from greengagering import clock
from greengagering import coordination
from greengagering import logs
from greengagering.transport._worker_client import WorkerClient

MAX_ORDERS_PER_WORKER = 4
"""Orders to one worker that hold a slot; limits the connections to it."""

MAX_ORDERS_IN_FLIGHT = 96
"""Orders of this process that hold a slot. Each takes about a millisecond of
its time, so an answer is read well before the call's timeout of 0.5 s."""

SLOT_HOLD_S = 0.05
"""Longest time for which an order holds its slots; some round trips. Its
answer may be lost; the call goes on until its own timeout, and others are sent
meanwhile."""

MAX_WAIT_S = 0.4
"""Longest time that an order waits for a slot; after a longer wait it is not
sent, and its answer is NOT_SENT. The leader's MAX_SEND_DELAY_S, after which it
assumes that an order is no longer sent, includes this wait."""

_OrderName = tuple[type, str, str, int, int | None]
"""Kind of an order, its worker's incarnation, its run, its fence, and for a
pace its percentage."""

OrderType = TypeVar('OrderType', bound=coordination.Order)

_NOT_SENT = coordination.OrderAnswer(coordination.OrderOutcome.NOT_SENT)
_NO_ANSWER = coordination.OrderAnswer(coordination.OrderOutcome.NO_ANSWER)


class LimitedClient:
    """Queues orders beyond the limits, and sends none without permission.

    See WorkerClient for the methods.
    """

    def __init__(
        self, client: WorkerClient, may_send: Callable[[int], bool]
    ) -> None:
        self._client = client
        self._may_send = may_send
        self._worker_limits: dict[str, asyncio.Semaphore] = {}
        # Orders to each worker that hold a slot or wait for one; a limit that
        # no order uses is dropped.
        self._order_counts: dict[str, int] = {}
        self._waiting: set[_OrderName] = set()
        self._total_limit = asyncio.Semaphore(MAX_ORDERS_IN_FLIGHT)

    async def start(
        self, order: coordination.StartOrder
    ) -> coordination.OrderAnswer:
        """Start a run."""
        return await self._send(order, self._client.start)

    async def stop(
        self, order: coordination.StopOrder
    ) -> coordination.OrderAnswer:
        """Stop a run."""
        return await self._send(order, self._client.stop)

    async def pace(
        self, order: coordination.PaceOrder
    ) -> coordination.OrderAnswer:
        """Change the share of full speed at which a run works."""
        return await self._send(order, self._client.pace)

    async def poll(
        self, order: coordination.LookOrder
    ) -> coordination.LookAnswer:
        """Return a worker's lists of running and ended runs."""
        if not self._may_send(order.term):
            return coordination.LookAnswer(coordination.OrderOutcome.NOT_SENT)
        try:
            return await self._client.poll(order)
        except Exception as error:
            _log_failure(order, error)
            return coordination.LookAnswer(coordination.OrderOutcome.NO_ANSWER)

    async def close(self) -> None:
        """Close every connection."""
        await self._client.close()

    async def _send(
        self,
        order: OrderType,
        call: Callable[[OrderType], Awaitable[coordination.OrderAnswer]],
    ) -> coordination.OrderAnswer:
        name = (
            type(order),
            order.life.key,
            order.key.name,
            order.fence,
            getattr(order, 'percent', None),
        )
        if name in self._waiting:
            # An order that it repeats waits for a slot, and it would be sent
            # right after that.
            return _NOT_SENT
        received_at_s = clock.steady_s()
        async with self._slots(name):
            called_at_s = clock.steady_s()
            queued_s = called_at_s - received_at_s
            if queued_s > MAX_WAIT_S:
                return dataclasses.replace(_NOT_SENT, queued_s=queued_s)
            # The permission may have expired while the order waited.
            if not self._may_send(order.term):
                return dataclasses.replace(_NOT_SENT, queued_s=queued_s)
            try:
                answer = await call(order)
            except Exception as error:
                _log_failure(order, error)
                answer = _NO_ANSWER
            called_s = clock.steady_s() - called_at_s
            timed = dataclasses.replace(
                answer, queued_s=queued_s, called_s=called_s
            )
            if isinstance(order, coordination.StartOrder):
                _log_unconfirmed(order, timed)
            return timed

    @contextlib.asynccontextmanager
    async def _slots(self, name: _OrderName) -> AsyncIterator[None]:
        """Wait for a slot of an order's worker and one of this process."""
        key = name[1]
        worker_limit = self._worker_limits.setdefault(
            key, asyncio.Semaphore(MAX_ORDERS_PER_WORKER)
        )
        self._order_counts[key] = self._order_counts.get(key, 0) + 1
        slots = _HeldSlots()
        try:
            self._waiting.add(name)
            try:
                await slots.acquire(worker_limit)
                await slots.acquire(self._total_limit)
            finally:
                self._waiting.discard(name)
            slots.release_later()
            yield
        finally:
            slots.release()
            self._order_counts[key] -= 1
            if not self._order_counts[key]:
                del self._order_counts[key]
                del self._worker_limits[key]


class _HeldSlots:
    """Slots that an order holds until its answer, or for SLOT_HOLD_S."""

    def __init__(self) -> None:
        self._limits: list[asyncio.Semaphore] = []
        self._timer: asyncio.TimerHandle | None = None

    async def acquire(self, limit: asyncio.Semaphore) -> None:
        """Wait for a slot of a limit."""
        await limit.acquire()
        self._limits.append(limit)

    def release_later(self) -> None:
        """Release the slots after SLOT_HOLD_S at the latest."""
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(SLOT_HOLD_S, self.release)

    def release(self) -> None:
        """Release the slots that are still held."""
        if self._timer is not None:
            self._timer.cancel()
        while self._limits:
            self._limits.pop().release()


def _log_unconfirmed(
    order: coordination.StartOrder, answer: coordination.OrderAnswer
) -> None:
    """Log a start that was sent, and that its worker has not confirmed."""
    if answer.outcome is not coordination.OrderOutcome.DONE:
        logs.info(
            'start_unconfirmed',
            run=order.key.name,
            life=order.life.key,
            fence=order.fence,
            outcome=str(answer.outcome),
            queued_s=round(answer.queued_s, 3),
            called_s=round(answer.called_s, 3),
        )


def _log_failure(
    order: coordination.Order | coordination.LookOrder, error: Exception
) -> None:
    """Log a call that failed in a way that the client doesn't expect.

    An address that a former version stored may be one that the HTTP client
    can't use. The worker then counts as silent; without any answer it would
    never be polled again, or be taken for the silence of an agent.
    """
    logs.error(
        'worker_call_failed',
        life=order.life.key,
        order=type(order).__name__,
        cause=repr(error),
    )
