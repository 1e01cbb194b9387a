"""Assignment of workers to agents, the entries that carry orders to them."""

import dataclasses

from greengagering.coordination.entries import _ownership
from greengagering.coordination.workers import _agent_messages as messages
from greengagering import state

DIRECT_WORKERS = 64
"""Largest fleet whose workers the leader calls directly; the calls of a larger
fleet would take most of its processor time."""

OFFER_VALIDITY_S = 1.6
"""Time after its newest offer in which an entry gets orders: three offers."""

AGENT_PAUSE_S = 3.0
"""Time in which an agent that left an order unanswered gets no further ones;
perhaps only its workers were slow, so it is used again afterwards."""

MAX_PERMIT_S = 1.0
"""Longest time for which an agent may hold back an order that it received; the
leader's conclusion that a run is over relies on this bound."""

AGENTS_PER_WORKER = 3
"""Agents among which the orders to a worker are spread. More would open more
connections to it and balance little better."""

MAX_PENDING_BYTES = 8192
"""Orders without an answer from which a worker's usual agent gets no more
while another one has fewer: a start carries up to 4 KB of its job's text twice
over the agent's link, which may be slow."""


@dataclasses.dataclass(slots=True)
class Agent:
    """An entry that carries orders.

    Attributes:
        agent_id: the entry.
        address: where it listens, as host:port.
        offer: its newest offer.
        heard_at_s: when that offer arrived, on the leader's clock.
        paused_until_s: time until which it gets no orders.
        pending_bytes: size of the orders that it was sent and has not
            answered yet, without polls.
    """

    agent_id: str
    address: str
    offer: messages.AgentOffer
    heard_at_s: float
    paused_until_s: float = float('-inf')
    pending_bytes: int = 0

    def is_live(self, now_s: float) -> bool:
        """Tell whether the agent may get orders."""
        return (
            now_s < self.heard_at_s + OFFER_VALIDITY_S
            and now_s >= self.paused_until_s
        )

    def permit_s(self, lease_end_s: float, now_s: float) -> float:
        """Return the time after its newest offer in which the agent may send.

        The agent made the offer before the leader received it. So this time,
        counted on the agent's clock from when it made the offer, ends before
        the same time counted on the leader's clock from the receipt.
        """
        ends_s = min(lease_end_s, now_s + MAX_PERMIT_S)
        return ends_s - self.heard_at_s


class AgentRegistry:
    """Assigns the workers of a large fleet to live agents near them.

    An agent and its workers are in the same data centre.
    """

    def __init__(self) -> None:
        self.agents: dict[str, Agent] = {}
        # The agents of each worker, the one that usually carries its orders
        # first.
        self._agents_by_worker: dict[str, list[Agent]] = {}

    def clear(self) -> None:
        """Forget every agent, as another leader may have sent them orders."""
        self.agents.clear()
        self._agents_by_worker.clear()

    def update_offer(
        self,
        agent_id: str,
        address: str,
        offer: messages.AgentOffer | None,
        now_s: float,
    ) -> str:
        """Update an agent from its offer, or remove it on its withdrawal.

        Returns:
            The boot id of the agent's earlier process if the offer shows that
            it has ended, or ''.
        """
        known = self.agents.get(agent_id)
        if offer is None:
            if known is None:
                return ''
            del self.agents[agent_id]
            self._agents_by_worker.clear()
            # Its process goes on and answers the orders it has received.
            return ''
        if known is None or known.offer.boot_id != offer.boot_id:
            self.agents[agent_id] = Agent(agent_id, address, offer, now_s)
            self._agents_by_worker.clear()
            return known.offer.boot_id if known is not None else ''
        if not known.is_live(now_s):
            self._agents_by_worker.clear()
        if offer.sent_at_s >= known.offer.sent_at_s:
            known.address = address
            known.offer = offer
            known.heard_at_s = now_s
        return ''

    def choose(
        self, life: state.WorkerFacts, worker_count: int, now_s: float
    ) -> Agent | None:
        """Choose the agent that carries orders to a worker.

        Args:
            life: the worker.
            worker_count: number of workers in the fleet.
            now_s: the leader's clock.

        Returns:
            The agent, or None where the leader calls the worker itself.
        """
        if worker_count <= DIRECT_WORKERS:
            return None
        assigned = self._agents_by_worker.get(life.worker_id, [])
        if not assigned or not assigned[0].is_live(now_s):
            assigned = self._assign(life, now_s)
            self._agents_by_worker[life.worker_id] = assigned
        if not assigned:
            return None
        if assigned[0].pending_bytes < MAX_PENDING_BYTES:
            return assigned[0]
        live = [agent for agent in assigned if agent.is_live(now_s)]
        return min(live, key=lambda agent: agent.pending_bytes)

    def _assign(self, life: state.WorkerFacts, now_s: float) -> list[Agent]:
        """Return the agents of a worker, of those that are live now."""
        nearby_ids = [
            agent_id
            for agent_id, agent in self.agents.items()
            if agent.offer.data_centre == life.data_centre
            and agent.is_live(now_s)
        ]
        ranked = _ownership.rank_owners(
            life.worker_id, nearby_ids, AGENTS_PER_WORKER
        )
        return [self.agents[agent_id] for agent_id in ranked]

    def pause_agent(self, agent_id: str, now_s: float) -> bool:
        """Pause an agent that left an order unanswered.

        Returns:
            Whether the agent is known and wasn't paused already.
        """
        agent = self.agents.get(agent_id)
        if agent is None or now_s < agent.paused_until_s:
            return False
        agent.paused_until_s = now_s + AGENT_PAUSE_S
        return True

    def pause_late_agent(self, agent_id: str, now_s: float) -> bool:
        """Pause an agent that gets orders when its permission has ended.

        Its orders are repeated, which keeps a slow link to it full; other
        agents carry them meanwhile. Nothing is done unless most of the agents
        can carry orders, as the cause is then another one.

        Returns:
            Whether the agent was paused.
        """
        if 2 * self.count_live(now_s) <= len(self.agents) + 1:
            return False
        return self.pause_agent(agent_id, now_s)

    def count_live(self, now_s: float) -> int:
        """Return the number of agents that may get orders."""
        return sum(agent.is_live(now_s) for agent in self.agents.values())


class AgentPermit:
    """An agent's permission to send the orders of the newest leader.

    It has nothing to do with an adviser's permits (see PermitTable).

    Times are those of the agent's own clock, which also advances while its
    machine is suspended.
    """

    def __init__(self) -> None:
        self.term = 0
        self.ends_s = float('-inf')

    def renew(self, batch: messages.AgentOrders) -> None:
        """Update the permission from the one that came with orders."""
        ends_s = batch.offered_at_s + batch.permit_s
        if batch.term > self.term:
            self.term = batch.term
            self.ends_s = ends_s
        elif batch.term == self.term:
            self.ends_s = max(self.ends_s, ends_s)

    def allows(self, term: int, now_s: float) -> bool:
        """Tell whether an order of a leader's term may be sent now."""
        return term == self.term and now_s < self.ends_s
