"""Forwards a leader's orders from an entry to workers in its data centre."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
from typing import Any

from greengagering import clock
from greengagering import coordination
from greengagering import logs
from greengagering.transport._limited_client import LimitedClient
from greengagering.transport._worker_client import WorkerClient

ANSWER_BATCH_S = 0.005
"""Time for which answers are collected into one message, because each message
costs the leader work; a small part of the time that a start takes."""

_outcomes = coordination.OrderOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class _Requester:
    """Process of a leader that waits for answers."""

    address: str
    boot_id: str


class AgentRunner:
    """Sends a leader's orders while its permit is valid; returns answers."""

    def __init__(
        self,
        agent_id: str,
        boot_id: str,
        client: WorkerClient,
        send: Callable[[str, coordination.AgentAnswers], None],
    ) -> None:
        self.permit = coordination.AgentPermit()
        self._agent_id = agent_id
        self._boot_id = boot_id
        self._client = LimitedClient(client, self._may_send)
        self._send = send
        self._tasks: set[asyncio.Task[None]] = set()
        self._order_answers: dict[_Requester, list[tuple[int, Any]]] = {}
        self._poll_answers: dict[_Requester, list[tuple[int, Any]]] = {}
        self._logged_term = 0

    def receive(self, batch: coordination.AgentOrders) -> None:
        """Send a leader's orders to their workers."""
        if batch.boot_id != self._boot_id:
            # The orders were meant for an earlier process of this entry; the
            # leader assumes that they were sent.
            logs.info('orders_outdated', leader=batch.address)
            return
        self.permit.renew(batch)
        if batch.term > self._logged_term:
            self._logged_term = batch.term
            logs.info('agent_serves', leader=batch.address, term=batch.term)
        requester = _Requester(batch.address, batch.leader_boot_id)
        for number, start in batch.all_starts():
            self._begin(requester, number, self._client.start, start)
        for number, stop in batch.stops:
            self._begin(requester, number, self._client.stop, stop)
        for number, pace in batch.paces:
            self._begin(requester, number, self._client.pace, pace)
        for number, poll in batch.looks:
            self._begin(requester, number, self._poll_in_time(batch), poll)

    async def close(self) -> None:
        """Cancel the orders in flight and close every connection."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._client.close()

    def _may_send(self, term: int) -> bool:
        return self.permit.allows(term, clock.steady_s())

    def _poll_in_time(
        self, batch: coordination.AgentOrders
    ) -> Callable[[coordination.LookOrder], Awaitable[Any]]:
        """Return the call for polls of a batch, whose numbers become old."""

        def poll(order: coordination.LookOrder) -> Awaitable[Any]:
            age_s = batch.age_s(clock.steady_s())
            bounded = coordination.bound_poll(order, age_s)
            if bounded.noted_end != order.noted_end:
                logs.info(
                    'noted_end_outdated',
                    life=order.life.key,
                    noted_end=order.noted_end,
                    age_s=round(age_s, 3),
                )
            return self._client.poll(bounded)

        return poll

    def _begin(
        self,
        requester: _Requester,
        number: int,
        call: Callable[[Any], Awaitable[Any]],
        order: Any,
    ) -> None:
        task = asyncio.ensure_future(
            self._execute(requester, number, call, order)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _execute(
        self,
        requester: _Requester,
        number: int,
        call: Callable[[Any], Awaitable[Any]],
        order: Any,
    ) -> None:
        answer = await call(order)
        if answer.outcome is _outcomes.NOT_SENT:
            logs.info(
                'order_not_sent',
                life=order.life.key,
                fence=order.fence,
                term=order.term,
                permit_term=self.permit.term,
                permit_left_s=round(self.permit.ends_s - clock.steady_s(), 3),
            )
        is_poll = isinstance(order, coordination.LookOrder)
        answers = self._poll_answers if is_poll else self._order_answers
        if not (self._poll_answers or self._order_answers):
            asyncio.get_running_loop().call_later(ANSWER_BATCH_S, self._flush)
        answers.setdefault(requester, []).append((number, answer))

    def _flush(self) -> None:
        orders, self._order_answers = self._order_answers, {}
        polls, self._poll_answers = self._poll_answers, {}
        for requester in orders.keys() | polls.keys():
            self._send(
                requester.address,
                coordination.AgentAnswers(
                    agent_id=self._agent_id,
                    boot_id=self._boot_id,
                    leader_boot_id=requester.boot_id,
                    orders=tuple(orders.get(requester, ())),
                    looks=tuple(polls.get(requester, ())),
                ),
            )
