"""Limits the concurrent calls to workers."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
from typing import TypeVar

from greengagering import clock
from greengagering import coordination
from greengagering import logs
from greengagering.transport._worker_client import WorkerClient

MAX_ORDERS_PER_WORKER = 4
"""Concurrent orders to one worker; limits the connections to it."""

MAX_ORDERS_IN_FLIGHT = 96
"""Concurrent orders of this process. Each takes about a millisecond of its
time, so an answer is read well before the call's timeout of 0.5 s."""

MAX_WAIT_S = 0.4
"""Longest time that an order waits for a slot; after a longer wait it is not
sent, and its answer is NOT_SENT. The leader's MAX_SEND_DELAY_S, after which it
assumes that an order is no longer sent, includes this wait."""

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
        if not self._may_send(order.fence):
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
        received_at_s = clock.steady_s()
        async with self._worker_slot(order.life.key), self._total_limit:
            if clock.steady_s() > received_at_s + MAX_WAIT_S:
                return _NOT_SENT
            # The permission may have expired while the order waited.
            if not self._may_send(order.fence):
                return _NOT_SENT
            try:
                return await call(order)
            except Exception as error:
                _log_failure(order, error)
                return _NO_ANSWER

    @contextlib.asynccontextmanager
    async def _worker_slot(self, key: str) -> AsyncIterator[None]:
        worker_limit = self._worker_limits.setdefault(
            key, asyncio.Semaphore(MAX_ORDERS_PER_WORKER)
        )
        self._order_counts[key] = self._order_counts.get(key, 0) + 1
        try:
            async with worker_limit:
                yield
        finally:
            self._order_counts[key] -= 1
            if not self._order_counts[key]:
                del self._order_counts[key]
                del self._worker_limits[key]


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
