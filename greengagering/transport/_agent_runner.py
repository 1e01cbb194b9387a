"""Carries a leader's orders from an entry to workers nearby."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
from typing import Any

from greengagering import clock
from greengagering import coordination
from greengagering import logs
from greengagering.transport._laned_client import LanedClient
from greengagering.transport._worker_client import WorkerClient

GATHER_S = 0.005
"""How long answers are gathered into one message, a fraction of the time
that a start takes: the leader's work grows with messages."""

_outcomes = coordination.OrderOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class _Asker:
    """A leader's process that waits for answers."""

    address: str
    boot_id: str


class AgentRunner:
    """Sends orders while their leader's permission lasts, and answers it."""

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
        self._client = LanedClient(client, self._may_send)
        self._send = send
        self._tasks: set[asyncio.Task[None]] = set()
        self._order_answers: dict[_Asker, list[tuple[int, Any]]] = {}
        self._look_answers: dict[_Asker, list[tuple[int, Any]]] = {}
        self._known_term = 0

    def receive(self, batch: coordination.AgentOrders) -> None:
        """Take orders of a leader."""
        if batch.boot_id != self._boot_id:
            # They were meant for a process that has ended, whose orders the
            # leader takes for sent.
            logs.info('orders_outdated', leader=batch.address)
            return
        self.permit.note(batch)
        if batch.term > self._known_term:
            self._known_term = batch.term
            logs.info('agent_serves', leader=batch.address, term=batch.term)
        asker = _Asker(batch.address, batch.leader_boot_id)
        for number, start in batch.starts:
            self._begin(asker, number, self._client.start, start)
        for number, stop in batch.stops:
            self._begin(asker, number, self._client.stop, stop)
        for number, pace in batch.paces:
            self._begin(asker, number, self._client.pace, pace)
        for number, look in batch.looks:
            self._begin(asker, number, self._client.look, look)

    async def close(self) -> None:
        """Give up what is on its way."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._client.close()

    def _may_send(self, fence: int) -> bool:
        return self.permit.allows(fence, clock.steady_s())

    def _begin(
        self,
        asker: _Asker,
        number: int,
        call: Callable[[Any], Awaitable[Any]],
        order: Any,
    ) -> None:
        task = asyncio.ensure_future(
            self._carry_out(asker, number, call, order)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _carry_out(
        self,
        asker: _Asker,
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
                term=self.permit.term,
                permit_left_s=round(self.permit.ends_s - clock.steady_s(), 3),
            )
        is_look = isinstance(order, coordination.LookOrder)
        answers = self._look_answers if is_look else self._order_answers
        if not (self._look_answers or self._order_answers):
            asyncio.get_running_loop().call_later(GATHER_S, self._flush)
        answers.setdefault(asker, []).append((number, answer))

    def _flush(self) -> None:
        orders, self._order_answers = self._order_answers, {}
        looks, self._look_answers = self._look_answers, {}
        for asker in orders.keys() | looks.keys():
            self._send(
                asker.address,
                coordination.AgentAnswers(
                    agent_id=self._agent_id,
                    boot_id=self._boot_id,
                    leader_boot_id=asker.boot_id,
                    orders=tuple(orders.get(asker, ())),
                    looks=tuple(looks.get(asker, ())),
                ),
            )
