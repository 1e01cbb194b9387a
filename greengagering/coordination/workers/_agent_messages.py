"""Messages between the leader and the entries that carry its orders."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from greengagering.coordination.workers import _orders


@dataclasses.dataclass(frozen=True, slots=True)
class AgentOffer:
    """An entry's offer to carry orders as an agent, sent with each probe.

    Attributes:
        boot_id: identifies the current start of the entry's process.
        data_centre: where the entry runs.
        sent_at_s: the entry's own clock, which the leader echoes.
        reads_job_starts: whether it reads AgentOrders.job_starts, which
            former versions ignore.
    """

    boot_id: str
    data_centre: str
    sent_at_s: float
    reads_job_starts: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class JobStarts:
    """Orders to start runs of one job, whose text is sent once.

    Attributes:
        text: the job's text.
        starts: the orders, each with its number, without their text.
    """

    text: str
    starts: tuple[tuple[int, _orders.StartOrder], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AgentOrders:
    """Orders and polls for an agent to carry to workers.

    Each order and each poll has a number, which its answer repeats.

    Attributes:
        address: where the leader receives the answers, as host:port.
        leader_boot_id: the leader's process, which the answers repeat.
        boot_id: the agent's process to which this is addressed.
        term: the leader's term.
        offered_at_s: sent_at_s of the offer from which permit_s counts.
        permit_s: time after that offer in which the agent may send.
        starts: orders to start a run.
        stops: orders to stop a run.
        paces: orders to change the pace of a run.
        looks: polls of workers.
        offer_age_s: time from the receipt of that offer until the orders were
            sent, on the leader's clock, or None if unknown.
        job_starts: further orders to start a run, by job.
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
    offer_age_s: float | None = None
    job_starts: tuple[JobStarts, ...] = ()

    def all_starts(self) -> Iterator[tuple[int, _orders.StartOrder]]:
        """Yield all orders to start a run with their numbers and texts."""
        yield from self.starts
        for job in self.job_starts:
            for number, start in job.starts:
                yield number, dataclasses.replace(start, text=job.text)

    def age_s(self, now_s: float) -> float:
        """Return the most time for which the orders can have been under way.

        The agent made the offer before the leader received it, so the result
        is too large by the time that the offer was under way.

        Args:
            now_s: the agent's clock.
        """
        if self.offer_age_s is None:
            return 0.0
        return now_s - self.offered_at_s - self.offer_age_s


@dataclasses.dataclass(frozen=True, slots=True)
class AgentAnswers:
    """Workers' answers to the orders and polls that an agent carried.

    Attributes:
        agent_id: the entry.
        boot_id: the entry's process.
        leader_boot_id: the leader's process that sent the orders.
        orders: answers to orders, each with the order's number.
        looks: answers to polls, each with the poll's number.
    """

    agent_id: str
    boot_id: str
    leader_boot_id: str
    orders: tuple[tuple[int, _orders.OrderAnswer], ...] = ()
    looks: tuple[tuple[int, _orders.LookAnswer], ...] = ()


def group_starts(
    starts: Iterable[tuple[int, _orders.StartOrder]],
) -> tuple[tuple[tuple[int, _orders.StartOrder], ...], tuple[JobStarts, ...]]:
    """Take the text out of starts that share it.

    Returns:
        The starts that share no text, and the others by text.
    """
    by_text: dict[str, list[tuple[int, _orders.StartOrder]]] = {}
    for number, start in starts:
        by_text.setdefault(start.text, []).append((number, start))
    single = []
    grouped = []
    for text, members in by_text.items():
        if len(members) == 1:
            single += members
            continue
        bare = tuple((n, dataclasses.replace(s, text='')) for n, s in members)
        grouped.append(JobStarts(text, bare))
    return tuple(single), tuple(grouped)


AgentMessage = AgentOrders | AgentAnswers
