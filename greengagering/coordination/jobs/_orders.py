"""Orders to workers, what they answer, and what they say of themselves."""

import dataclasses
import enum

from greengagering import state


class OrderOutcome(enum.StrEnum):
    """What became of an order to a worker.

    NO_ANSWER: it may have been carried out, or may still be.
    NOT_SENT: it was never sent to the worker.
    FENCED: the worker obeys a newer leader.
    OLD_RUN: this run, or a later one, has ended or was stopped there.
    LATE: the lease that the order asks for has passed already.
    NO_ROOM: the worker guards its capacity.
    NO_PERMIT: the adviser's permit is missing or has run out.
    UNHEALTHY: the worker refused and has done nothing.
    OTHER_LIFE: another life of a worker answers at this address.
    INVALID: the worker can't read the order.
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


@dataclasses.dataclass(frozen=True, slots=True)
class StartOrder:
    """Start a run.

    Attributes:
        life: worker that gets the order.
        key: the run.
        text: the job's text.
        until_ms: end of the lease on the worker's clock.
        fence: number of the leader's term.
        saved: progress to resume from, or ''.
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
class StopOrder:
    """Stop a run; one that has not arrived yet is refused from then on."""

    life: state.WorkerFacts
    key: state.RunKey
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class PaceOrder:
    """Let a run work at a share of its full speed, in percent."""

    life: state.WorkerFacts
    key: state.RunKey
    percent: int
    fence: int


Order = StartOrder | StopOrder | PaceOrder


@dataclasses.dataclass(frozen=True, slots=True)
class LookOrder:
    """Ask for a worker's lists, and perhaps extend its lease.

    Attributes:
        life: worker that gets the order.
        fence: number of the leader's term.
        noted_end: ends up to this number may be forgotten.
        until_ms: end of the lease on the worker's clock, or 0 for no change.
        wait_ms: how long the answer may wait for an end.
    """

    life: state.WorkerFacts
    fence: int
    noted_end: int
    until_ms: int
    wait_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class OrderAnswer:
    """A worker's answer to an order.

    Attributes:
        outcome: what became of the order.
        clock_ms: the worker's clock, or None where it isn't said.
    """

    outcome: OrderOutcome
    clock_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ListedRun:
    """A run that a worker lists as running.

    Attributes:
        key: the run.
        saved: its newest saved progress, or ''.
        percent: share of full speed at which it works.
        figure: tail in milliseconds of a serving task, processor use in
            millicores of another, or None where it isn't said.
    """

    key: state.RunKey
    saved: str
    percent: int
    figure: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class LookAnswer:
    """A worker's lists.

    Attributes:
        outcome: DONE, or why there are no lists.
        clock_ms: the worker's clock.
        born_ms: start of the life that answers, or None.
        running: what runs.
        ended: ends that were not forgotten, oldest first.
        is_complete: whether the list of ends holds all of them.
    """

    outcome: OrderOutcome
    clock_ms: int | None = None
    born_ms: int | None = None
    running: tuple[ListedRun, ...] = ()
    ended: tuple[state.RunEnd, ...] = ()
    is_complete: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerReport:
    """What a worker says of itself now and then.

    Attributes:
        facts: what stays the same in this life.
        sequence: number of the report in this life.
        clock_ms: the worker's clock, or None.
        is_draining: it leaves soon and takes no new run.
    """

    facts: state.WorkerFacts
    sequence: int
    clock_ms: int | None
    is_draining: bool
