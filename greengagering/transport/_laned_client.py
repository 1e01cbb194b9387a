"""Bounds the calls to workers that are on their way at once."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
from typing import TypeVar

from greengagering import clock
from greengagering import coordination
from greengagering.transport._worker_client import WorkerClient

ORDERS_AT_ONCE = 4
"""Orders on their way to one worker, which bounds the connections to it."""

CALLS_AT_ONCE = 96
"""Orders on their way from this process: at a millisecond of its time each,
an answer is read well before the call's time-out of half a second."""

LONGEST_WAIT_S = 0.4
"""Longest time that an order waits here; the proofs that a run is over count
on it, and the leader sends it another way meanwhile."""

Sent = TypeVar('Sent', bound=coordination.Order)

_NOT_SENT = coordination.OrderAnswer(coordination.OrderOutcome.NOT_SENT)


class LanedClient:
    """Lets orders wait for their turn, and sends none without permission.

    See WorkerClient for the methods.
    """

    def __init__(
        self, client: WorkerClient, may_send: Callable[[int], bool]
    ) -> None:
        self._client = client
        self._may_send = may_send
        self._lanes: dict[str, asyncio.Semaphore] = {}
        self._users: dict[str, int] = {}
        self._turns = asyncio.Semaphore(CALLS_AT_ONCE)

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

    async def look(
        self, order: coordination.LookOrder
    ) -> coordination.LookAnswer:
        """Return a worker's lists."""
        if not self._may_send(order.fence):
            return coordination.LookAnswer(coordination.OrderOutcome.NOT_SENT)
        return await self._client.look(order)

    async def close(self) -> None:
        """Close every connection."""
        await self._client.close()

    async def _send(
        self,
        order: Sent,
        call: Callable[[Sent], Awaitable[coordination.OrderAnswer]],
    ) -> coordination.OrderAnswer:
        came_at_s = clock.steady_s()
        async with self._lane(order.life.key), self._turns:
            if clock.steady_s() > came_at_s + LONGEST_WAIT_S:
                return _NOT_SENT
            # The permission may have run out while the order waited.
            if not self._may_send(order.fence):
                return _NOT_SENT
            return await call(order)

    @contextlib.asynccontextmanager
    async def _lane(self, key: str) -> AsyncIterator[None]:
        lane = self._lanes.setdefault(key, asyncio.Semaphore(ORDERS_AT_ONCE))
        self._users[key] = self._users.get(key, 0) + 1
        try:
            async with lane:
                yield
        finally:
            self._users[key] -= 1
            if not self._users[key]:
                del self._users[key]
                del self._lanes[key]
