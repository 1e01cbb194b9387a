"""Messages between the leader and the entries that carry its orders."""

import dataclasses

from greengagering.coordination.jobs import _orders


@dataclasses.dataclass(frozen=True, slots=True)
class AgentOffer:
    """An entry's offer to carry orders, sent with each of its probes.

    Attributes:
        boot_id: this start of the entry's process.
        data_centre: where the entry runs.
        sent_at_s: the entry's own clock, which the leader gives back.
    """

    boot_id: str
    data_centre: str
    sent_at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class AgentOrders:
    """Orders and looks for an agent to carry to workers.

    Attributes:
        address: where the leader hears the answers, as host:port.
        leader_boot_id: the leader's process, which answers name.
        boot_id: the agent's process that they are meant for.
        term: the leader's term.
        offered_at_s: the agent's clock at the offer that this rests on.
        permit_s: time from then on in which the agent may send.
        starts: orders to start, each with its number.
        stops: orders to stop.
        paces: orders to change the pace.
        looks: looks at workers.
    """

    address: str
    leader_boot_id: str
    boot_id: str
    term: int
    offered_at_s: float
    permit_s: float
    starts: tuple[tuple[int, _orders.StartOrder], ...] = ()
    stops: tuple[tuple[int, _orders.StopOrder], ...] = ()
    paces: tuple[tuple[int, _orders.PaceOrder], ...] = ()
    looks: tuple[tuple[int, _orders.LookOrder], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class AgentAnswers:
    """What workers answered to orders that an agent carried.

    Attributes:
        agent_id: the entry.
        boot_id: its process.
        leader_boot_id: the process that gave the orders.
        orders: answers to orders, each with the order's number.
        looks: answers to looks.
    """

    agent_id: str
    boot_id: str
    leader_boot_id: str
    orders: tuple[tuple[int, _orders.OrderAnswer], ...] = ()
    looks: tuple[tuple[int, _orders.LookAnswer], ...] = ()


AgentMessage = AgentOrders | AgentAnswers
