"""Which entries carry the leader's orders, and to which workers."""

import dataclasses

from greengagering.coordination.entries import _homes
from greengagering.coordination.jobs import _agent_messages as messages
from greengagering import state

DIRECT_WORKERS = 64
"""Workers that a leader calls by itself; a larger fleet's calls would take
most of its processor."""

OFFER_LIFE_S = 1.6
"""Age of an offer up to which its entry gets orders: three offers."""

AGENT_PAUSE_S = 3.0
"""Time without orders for an agent that left one unanswered; its workers may
be slow, so it is tried again."""

MAX_PERMIT_S = 1.0
"""Longest time that an agent may hold an order back; the proofs that a run is
over count on it."""


@dataclasses.dataclass(slots=True)
class Agent:
    """An entry that carries orders.

    Attributes:
        agent_id: the entry.
        address: where it listens, as host:port.
        offer: its newest offer.
        heard_at_s: when that came, on the leader's clock.
        paused_until_s: it gets no orders before.
    """

    agent_id: str
    address: str
    offer: messages.AgentOffer
    heard_at_s: float
    paused_until_s: float = float('-inf')

    def is_live(self, now_s: float) -> bool:
        """Tell whether it may get orders."""
        return (
            now_s < self.heard_at_s + OFFER_LIFE_S
            and now_s >= self.paused_until_s
        )

    def permit_s(self, lease_end_s: float, now_s: float) -> float:
        """Return the time from its offer on in which it may send.

        The offer was made before it was heard, so a time counted from the
        offer on the agent's clock ends before the same time counted from
        the hearing on the leader's.
        """
        ends_s = min(lease_end_s, now_s + MAX_PERMIT_S)
        return ends_s - self.heard_at_s


class AgentRoster:
    """Assigns each worker of a large fleet to a live agent nearby."""

    def __init__(self) -> None:
        self.agents: dict[str, Agent] = {}
        self._homes: dict[str, Agent] = {}

    def clear(self) -> None:
        """Forget every agent; another leader may have sent them orders."""
        self.agents.clear()
        self._homes.clear()

    def note_offer(
        self,
        agent_id: str,
        address: str,
        offer: messages.AgentOffer | None,
        now_s: float,
    ) -> str:
        """Take an entry's offer, or its withdrawal.

        Returns:
            The boot id of the agent's process that has ended or withdrawn
            with this, or ''.
        """
        known = self.agents.get(agent_id)
        if offer is None:
            if known is None:
                return ''
            del self.agents[agent_id]
            self._homes.clear()
            # What it carries already is still answered.
            return ''
        if known is None or known.offer.boot_id != offer.boot_id:
            self.agents[agent_id] = Agent(agent_id, address, offer, now_s)
            self._homes.clear()
            return known.offer.boot_id if known is not None else ''
        if not known.is_live(now_s):
            self._homes.clear()
        if offer.sent_at_s >= known.offer.sent_at_s:
            known.address = address
            known.offer = offer
            known.heard_at_s = now_s
        return ''

    def choose(
        self, life: state.WorkerFacts, worker_count: int, now_s: float
    ) -> Agent | None:
        """Return the agent that carries orders to a worker.

        Args:
            life: the worker.
            worker_count: workers of the fleet.
            now_s: the leader's clock.

        Returns:
            The agent, or None where the leader calls the worker itself.
        """
        if worker_count <= DIRECT_WORKERS:
            return None
        home = self._homes.get(life.worker_id)
        if home is not None and home.is_live(now_s):
            return home
        near = [
            agent_id
            for agent_id, agent in self.agents.items()
            if agent.offer.data_centre == life.data_centre
            and agent.is_live(now_s)
        ]
        if not near:
            return None
        home = self.agents[_homes.home_of(life.worker_id, near)]
        self._homes[life.worker_id] = home
        return home

    def note_missed(self, agent_id: str, now_s: float) -> bool:
        """An agent left an order unanswered; tell whether that is news."""
        agent = self.agents.get(agent_id)
        if agent is None or now_s < agent.paused_until_s:
            return False
        agent.paused_until_s = now_s + AGENT_PAUSE_S
        return True

    def count_live(self, now_s: float) -> int:
        """Return how many agents may get orders."""
        return sum(agent.is_live(now_s) for agent in self.agents.values())


class AgentPermit:
    """What a leader allows an agent to send, and until when.

    Times are of the agent's own clock, which also counts while its machine
    is suspended.
    """

    def __init__(self) -> None:
        self.term = 0
        self.ends_s = float('-inf')

    def note(self, batch: messages.AgentOrders) -> None:
        """Take the permission that comes with orders."""
        ends_s = batch.offered_at_s + batch.permit_s
        if batch.term > self.term:
            self.term = batch.term
            self.ends_s = ends_s
        elif batch.term == self.term:
            self.ends_s = max(self.ends_s, ends_s)

    def allows(self, fence: int, now_s: float) -> bool:
        """Tell whether an order of a leader may be sent now."""
        return fence == self.term and now_s < self.ends_s
