"""Orders to workers, polls of workers, their answers and their reports."""

import dataclasses
import enum

from greengagering.coordination.workers import _fences
from greengagering import state


NOTED_END_VALIDITY_S = 0.25
"""Age of a poll from which it is sent without the number of a noted end. It is
less than a worker takes to crash, start again under its name, get a run and
end it, and far more than a poll takes to an agent."""


class OrderOutcome(enum.StrEnum):
    """Outcome of an order to a worker.

    NO_ANSWER: it may have been carried out, or may still be.
    NOT_SENT: it was never sent to the worker.
    FENCED: the worker has accepted an order of a newer leader, or one that
        was meant for a later incarnation.
    OLD_RUN: this run, or a later one, has ended or was stopped there.
    LATE: the lease in the order has expired already.
    NO_ROOM: the worker enforces its capacity, which is used up.
    NO_PERMIT: the adviser's permit is missing or has expired.
    UNHEALTHY: the worker refused the order and has not carried it out.
    OTHER_LIFE: another incarnation of a worker answers at this address.
    INVALID: the worker can't parse the order.
    """

    DONE = 'done'
    NO_ANSWER = 'no_answer'
    NOT_SENT = 'not_sent'
    FENCED = 'fenced'
    OLD_RUN = 'old_run'
    LATE = 'late'
    NO_ROOM = 'no_room'
    NO_PERMIT = 'no_permit'
    UNHEALTHY = 'unhealthy'
    OTHER_LIFE = 'other_life'
    INVALID = 'invalid'


class _FencedOrder:
    """An order that its worker refuses if it has seen a higher fence."""

    __slots__ = ()

    fence: int

    @property
    def term(self) -> int:
        """Term of the leader that gives the order."""
        return _fences.term_of(self.fence)


@dataclasses.dataclass(frozen=True, slots=True)
class StartOrder(_FencedOrder):
    """An order to start a run.

    Attributes:
        life: incarnation of the worker that gets the order.
        key: the run.
        text: the job's text.
        until_ms: end of the worker's lease, on the worker's clock.
        fence: fence of the orders to this incarnation.
        saved: saved progress to resume from, or ''.
        permit: the adviser's permit, or ''.
    """

    life: state.WorkerFacts
    key: state.RunKey
    text: str
    until_ms: int
    fence: int
    saved: str
    permit: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class StopOrder(_FencedOrder):
    """An order to stop a run, or to refuse it if its start arrives later."""

    life: state.WorkerFacts
    key: state.RunKey
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class PaceOrder(_FencedOrder):
    """An order to run at a percentage of full speed."""

    life: state.WorkerFacts
    key: state.RunKey
    percent: int
    fence: int


Order = StartOrder | StopOrder | PaceOrder


@dataclasses.dataclass(frozen=True, slots=True)
class LookOrder(_FencedOrder):
    """A long poll for a worker's lists, which may extend its lease.

    Attributes:
        life: incarnation of the worker that gets the order.
        fence: fence of the orders to this incarnation.
        noted_end: the worker may drop run ends up to this number.
        until_ms: end of the lease on the worker's clock, or 0 for no change.
        wait_ms: how long the worker may wait for a run to end before it
            answers.
    """

    life: state.WorkerFacts
    fence: int
    noted_end: int
    until_ms: int
    wait_ms: int


def bound_poll(poll: LookOrder, age_s: float) -> LookOrder:
    """Return a poll as it may be sent some time after it was due.

    A later incarnation under the worker's name would drop its own ends up to
    the number of the noted end before anybody has read them.

    Args:
        poll: the poll.
        age_s: time since the leader decided to send it.
    """
    if age_s < NOTED_END_VALIDITY_S:
        return poll
    return dataclasses.replace(poll, noted_end=0)


@dataclasses.dataclass(frozen=True, slots=True)
class OrderAnswer:
    """A worker's answer to an order.

    Attributes:
        outcome: outcome of the order.
        clock_ms: the worker's clock, or None if not reported.
        queued_s: how long the order waited for a slot where it was sent, or
            0 if unknown.
        called_s: how long the call to the worker took, or 0 if unknown. The
            rest of the time until the answer was spent between the leader
            and its agent, and in their loops.
    """

    outcome: OrderOutcome
    clock_ms: int | None = None
    queued_s: float = 0.0
    called_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ListedRun:
    """A run that a worker lists as running.

    Attributes:
        key: the run.
        saved: its newest saved progress, or ''.
        percent: percentage of full speed at which it runs.
        figure: tail latency in milliseconds of a serving task, processor use
            in millicores of another, or None if not reported.
    """

    key: state.RunKey
    saved: str
    percent: int
    figure: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class LookAnswer:
    """A worker's answer to a poll, with its lists of runs and run ends.

    Attributes:
        outcome: DONE, or why there are no lists.
        clock_ms: the worker's clock, or None if not reported.
        born_ms: start of the incarnation that answers, or None.
        running: the runs in progress.
        ended: run ends that were not dropped yet, oldest first.
        is_complete: whether ended holds all of them.
        is_refused: whether the worker's address refused the connection, so
            that no process listens there; False if unknown.
    """

    outcome: OrderOutcome
    clock_ms: int | None = None
    born_ms: int | None = None
    running: tuple[ListedRun, ...] = ()
    ended: tuple[state.RunEnd, ...] = ()
    is_complete: bool = True
    is_refused: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerReport:
    """A worker's periodic report of its state.

    Attributes:
        facts: properties that are constant within an incarnation.
        sequence: number of the report within the incarnation.
        clock_ms: the worker's clock, or None if not reported.
        is_draining: whether the worker will leave and takes no new run.
    """

    facts: state.WorkerFacts
    sequence: int
    clock_ms: int | None
    is_draining: bool
