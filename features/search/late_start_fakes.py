"""Agents with queues, and the ledger, of the late start search."""

import dataclasses
import enum
from typing import Any, Protocol

from features.search import job_search
from features.search import worker_fakes
from greengagering import coordination
from greengagering import state


class Stage(enum.Enum):
    """How far an order is.

    ARRIVES: it is on its way to an agent.
    LEAVES: it waits at the agent.
    SENT: the agent has sent it.
    """

    ARRIVES = enum.auto()
    LEAVES = enum.auto()
    SENT = enum.auto()


@dataclasses.dataclass(eq=False)
class FakeAgent:
    """An agent with a queue for each worker.

    Attributes:
        number: which agent it is.
        boot: number of its process.
        term: newest term that it was given.
        stuck_until_s: when the slots of a worker are free, by its name.
        waiting: names of the orders in its queues.
    """

    number: int
    boot: int = 0
    term: int = 0
    stuck_until_s: dict[str, float] = dataclasses.field(default_factory=dict)
    waiting: set[tuple[Any, ...]] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(eq=False)
class Sending:
    """One sending of an order, until the leader has its answer or gives up.

    Attributes:
        agent: the agent that carries it.
        boot: number of the agent's process.
        fence: the leader's term.
        number: number of the sending; later ones are higher.
        sent_at_s: when the leader sent it.
        waits_since_s: when the agent received it.
        is_settled: the leader has an answer, or has given it up.
        is_under_way: it may still reach the worker.
    """

    agent: FakeAgent
    boot: int
    fence: int
    number: int
    sent_at_s: float
    waits_since_s: float = 0.0
    is_settled: bool = False
    is_under_way: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True)
class AgentTransit(job_search.Transit):
    """An order that an agent carries, or its answer.

    Attributes:
        sending: the sending that it belongs to.
        stage: how far it is.
    """

    sending: Sending
    stage: Stage


class Knowledge(Protocol):
    """What the leaders of a schedule can know, and its trace."""

    def was_unknown(self, life_key: str, key: state.RunKey) -> bool:
        """Tell whether a run was first ordered before a process was known."""

    def lacks_refusal(
        self, order: coordination.StartOrder, life_key: str
    ) -> bool:
        """Tell whether a process may not have been told to refuse a start."""

    def add_trace(self, event: str, **fields: Any) -> None:
        """Add a line to the trace."""


class LateStartLedger(worker_fakes.Ledger):
    """A ledger that allows the late starts that can't be prevented.

    A start of run R that process P of a worker carries out may conflict with
    another start of the task, or with its stored success, only if all of this
    holds:

    - its order was given up without an answer, and was meant for an earlier
      process under the worker's name;
    - the run that it conflicts with was first ordered before any leader knew
      of P. Later on a leader can wait until P has refused R;
    - no present leader has known of P for REFUSAL_S, or one has ordered P in
      the last REFUSAL_VALIDITY_S to refuse R, or polled it in a later term
      than R's order, and that is on its way or lost. If R came first, this
      doesn't matter.

    Attributes:
        late_order: the order that is being delivered, if it is such a one.
        unpreventable: number of starts that were allowed so.
    """

    def __init__(self, knowledge: Knowledge) -> None:
        super().__init__()
        self.late_order: coordination.StartOrder | None = None
        self.unpreventable = 0
        self._knowledge = knowledge
        # The newest run of each task that was not started late.
        self._newest_runs: dict[str, state.RunKey] = {}
        # Late starts that conflicted with nothing when they were carried out:
        # the run and the process, by task.
        self._late_runs: dict[str, tuple[state.RunKey, str]] = {}

    def record_start(
        self, worker: worker_fakes.FakeWorker, key: state.RunKey, now_s: float
    ) -> None:
        """Record a start, and check that it is allowed."""
        name = key.task_name
        life_key = worker.facts().key
        other = self.running.get(name)
        if self.late_order is not None:
            newest = self._newest_runs.get(name)
            if (
                newest is not None
                and (other is not None or name in self.committed_done_s)
                and self._knowledge.was_unknown(life_key, newest)
                and self._knowledge.lacks_refusal(self.late_order, life_key)
            ):
                self._allow(key, life_key)
                return
            self._late_runs[name] = (key, life_key)
        else:
            late = self._late_runs.get(name)
            if (
                late is not None
                and other is not None
                and other.facts().key == late[1]
                and self._knowledge.was_unknown(late[1], key)
            ):
                self._allow(*late)
                del self.running[name]
            self._newest_runs[name] = key
        super().record_start(worker, key, now_s)

    def _allow(self, key: state.RunKey, life_key: str) -> None:
        self.unpreventable += 1
        self.start_count += 1
        self._knowledge.add_trace(
            'start_unpreventable', run=key.name, life=life_key
        )
