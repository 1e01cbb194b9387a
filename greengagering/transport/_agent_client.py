"""Sends the leader's orders through agents in the workers' data centres."""

import asyncio
from collections.abc import Callable
import dataclasses
import secrets
from typing import Any

from greengagering import clock
from greengagering import coordination
from greengagering import logs
from greengagering.transport._worker_client import WorkerClient

ANSWER_TIMEOUT_S = 1.1
"""Longest time for an answer through an agent: 0.5 s for the worker's answer,
0.4 s in the agent's queue, and the messages to the agent and back. With less,
the silence of a worker would be taken for the silence of its agent."""

BOOT_ID_BYTES = 8

ORDER_BYTES = 400
"""Size of an order without its job's text: mostly what names the worker."""

TIMEOUT_CHECK_INTERVAL_S = 0.1
"""Time between two checks for orders that have timed out."""

_outcomes = coordination.OrderOutcome


@dataclasses.dataclass(slots=True)
class _PendingOrder:
    """An order sent through an agent and not answered yet."""

    agent: coordination.Agent
    boot_id: str
    size_bytes: int
    ends_s: float
    is_poll: bool
    answer: asyncio.Future[Any]


class AgentClient:
    """Calls workers through agents, or directly where the registry has none.

    See WorkerClient for the methods. Orders to one agent from the same
    iteration of the event loop share a message.
    """

    def __init__(
        self,
        direct: WorkerClient,
        registry: coordination.AgentRegistry,
        count_workers: Callable[[], int],
        lease_end_s: Callable[[], float],
        send: Callable[[coordination.Agent, coordination.AgentOrders], None],
        address: str,
    ) -> None:
        self._direct = direct
        self._registry = registry
        self._count_workers = count_workers
        self._lease_end_s = lease_end_s
        self._send = send
        self._address = address
        # Tells answers to this process from late ones to an earlier process at
        # the same address.
        self._boot_id = secrets.token_hex(BOOT_ID_BYTES)
        self._number = 0
        self._pending: dict[int, _PendingOrder] = {}
        self._outgoing: dict[str, list[tuple[int, Any]]] = {}
        self._timeout_task: asyncio.Task[None] | None = None

    async def start(
        self, order: coordination.StartOrder
    ) -> coordination.OrderAnswer:
        """Start a run."""
        agent = self._choose_agent(order)
        if agent is None:
            return await self._direct.start(order)
        return await self._send_through(agent, order)

    async def stop(
        self, order: coordination.StopOrder
    ) -> coordination.OrderAnswer:
        """Stop a run."""
        agent = self._choose_agent(order)
        if agent is None:
            return await self._direct.stop(order)
        return await self._send_through(agent, order)

    async def pace(
        self, order: coordination.PaceOrder
    ) -> coordination.OrderAnswer:
        """Change the share of full speed at which a run works."""
        agent = self._choose_agent(order)
        if agent is None:
            return await self._direct.pace(order)
        return await self._send_through(agent, order)

    async def poll(
        self, order: coordination.LookOrder
    ) -> coordination.LookAnswer:
        """Return a worker's lists of running and ended runs."""
        agent = self._choose_agent(order)
        if agent is None:
            return await self._direct.poll(order)
        return await self._send_through(agent, order)

    async def close(self) -> None:
        """Fail the orders in flight and close every connection."""
        if self._timeout_task is not None:
            self._timeout_task.cancel()
            await asyncio.gather(self._timeout_task, return_exceptions=True)
        for number in list(self._pending):
            self._fail(number, _outcomes.NO_ANSWER)
        await self._direct.close()

    def receive_offer(
        self,
        agent_id: str,
        address: str,
        offer: coordination.AgentOffer | None,
        now_s: float,
    ) -> None:
        """Process an entry's offer to act as agent, or its withdrawal."""
        is_new = agent_id not in self._registry.agents
        ended = self._registry.update_offer(agent_id, address, offer, now_s)
        if ended:
            logs.info('agent_restarted', agent=agent_id)
            self._fail_orders(agent_id, ended)
        elif offer is not None and is_new:
            logs.info('agent_offered', agent=agent_id, at=offer.data_centre)
        elif offer is None and not is_new:
            logs.info('agent_withdrawn', agent=agent_id)

    def receive(self, message: coordination.AgentAnswers) -> None:
        """Process an agent's answers; those that come late are ignored."""
        if message.leader_boot_id != self._boot_id:
            logs.info(
                'answers_outdated',
                agent=message.agent_id,
                orders=len(message.orders),
                looks=len(message.looks),
            )
            return
        for number, answer in (*message.orders, *message.looks):
            self._complete(number, answer)
        if any(a.outcome is _outcomes.NOT_SENT for _, a in message.looks):
            # Polls wait for no slot at the agent, so they have come late.
            now_s = clock.steady_s()
            if self._registry.pause_late_agent(message.agent_id, now_s):
                logs.warning(
                    'agent_late',
                    agent=message.agent_id,
                    orders=len(message.orders),
                    looks=len(message.looks),
                )

    def _choose_agent(
        self, order: coordination.Order | coordination.LookOrder
    ) -> coordination.Agent | None:
        return self._registry.choose(
            order.life, self._count_workers(), clock.steady_s()
        )

    async def _send_through(
        self, agent: coordination.Agent, order: Any
    ) -> Any:
        """Send an order through an agent and wait for its answer."""
        if self._timeout_task is None:
            self._timeout_task = asyncio.ensure_future(self._expire_orders())
        loop = asyncio.get_running_loop()
        self._number += 1
        wait_s = getattr(order, 'wait_ms', 0) / 1000
        pending = _PendingOrder(
            agent,
            agent.offer.boot_id,
            _find_size_bytes(order),
            clock.steady_s() + ANSWER_TIMEOUT_S + wait_s,
            isinstance(order, coordination.LookOrder),
            loop.create_future(),
        )
        self._pending[self._number] = pending
        agent.pending_bytes += pending.size_bytes
        if not self._outgoing:
            loop.call_soon(self._flush)
        batch = self._outgoing.setdefault(agent.agent_id, [])
        batch.append((self._number, order))
        return await pending.answer

    def _flush(self) -> None:
        """Send the orders collected in this iteration of the event loop."""
        outgoing, self._outgoing = self._outgoing, {}
        now_s = clock.steady_s()
        lease_end_s = self._lease_end_s()
        for agent_id, batch in outgoing.items():
            agent = self._registry.agents.get(agent_id)
            if agent is None or now_s >= lease_end_s:
                for number, _ in batch:
                    self._fail(number, _outcomes.NOT_SENT)
                continue
            permit_s = agent.permit_s(lease_end_s, now_s)
            for term in {order.term for _, order in batch}:
                message = self._create_message(agent, term, permit_s, batch)
                self._send(
                    agent,
                    dataclasses.replace(
                        message, offer_age_s=now_s - agent.heard_at_s
                    ),
                )

    def _create_message(
        self,
        agent: coordination.Agent,
        term: int,
        permit_s: float,
        batch: list[tuple[int, Any]],
    ) -> coordination.AgentOrders:
        kinds: dict[type, list[tuple[int, Any]]] = {}
        for number, order in batch:
            if order.term == term:
                kinds.setdefault(type(order), []).append((number, order))
        starts = tuple(kinds.get(coordination.StartOrder, ()))
        job_starts: tuple[coordination.JobStarts, ...] = ()
        if agent.offer.reads_job_starts:
            starts, job_starts = coordination.group_starts(starts)
        return coordination.AgentOrders(
            address=self._address,
            leader_boot_id=self._boot_id,
            boot_id=agent.offer.boot_id,
            term=term,
            offered_at_s=agent.offer.sent_at_s,
            permit_s=permit_s,
            starts=starts,
            job_starts=job_starts,
            stops=tuple(kinds.get(coordination.StopOrder, ())),
            paces=tuple(kinds.get(coordination.PaceOrder, ())),
            looks=tuple(kinds.get(coordination.LookOrder, ())),
        )

    def _fail_orders(self, agent_id: str, boot_id: str) -> None:
        """Fail the orders of an agent's process that has ended.

        The process may have sent them, so they count as unanswered.
        """
        for number, pending in list(self._pending.items()):
            of_agent = pending.agent.agent_id, pending.boot_id
            if of_agent == (agent_id, boot_id):
                self._fail(number, _outcomes.NO_ANSWER)

    def _fail(self, number: int, outcome: coordination.OrderOutcome) -> None:
        pending = self._pending.get(number)
        if pending is None:
            return
        if pending.is_poll:
            self._complete(number, coordination.LookAnswer(outcome))
        else:
            self._complete(number, coordination.OrderAnswer(outcome))

    def _complete(self, number: int, answer: Any) -> None:
        pending = self._pending.pop(number, None)
        if pending is None:
            return
        pending.agent.pending_bytes -= pending.size_bytes
        if not pending.answer.done():
            pending.answer.set_result(answer)

    async def _expire_orders(self) -> None:
        """Fail orders that have timed out, and pause their agents."""
        while True:
            await asyncio.sleep(TIMEOUT_CHECK_INTERVAL_S)
            now_s = clock.steady_s()
            for number, pending in list(self._pending.items()):
                if now_s < pending.ends_s:
                    continue
                agent_id = pending.agent.agent_id
                if self._registry.pause_agent(agent_id, now_s):
                    logs.warning('agent_silent', agent=agent_id)
                self._fail(number, _outcomes.NO_ANSWER)


def _find_size_bytes(order: Any) -> int:
    """Return the rough size of an order, as an agent gets it.

    An open poll waits at its worker and loads no link.
    """
    if isinstance(order, coordination.LookOrder):
        return 0
    text = order.text if isinstance(order, coordination.StartOrder) else ''
    return ORDER_BYTES + len(text)
