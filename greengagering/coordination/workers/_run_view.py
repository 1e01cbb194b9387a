"""The leader's view of one run on a worker."""

import dataclasses
import enum
from typing import Protocol

from greengagering.coordination.workers._wait_times import WaitTimes
from greengagering import state


class RunPhase(enum.Enum):
    """State of a run, from the order to start it.

    ORDERED: it is proposed, or the order has no answer yet.
    UNCERTAIN: the worker may run it or not: the order stayed without an
        answer, or an earlier leader gave it.
    RUNNING: the worker has confirmed the start, or lists the run.
    STOPPING: it is ordered to stop.
    STOPPED: the worker has stopped or refused it, or it is to be voided.
    """

    ORDERED = enum.auto()
    UNCERTAIN = enum.auto()
    RUNNING = enum.auto()
    STOPPING = enum.auto()
    STOPPED = enum.auto()


@dataclasses.dataclass(slots=True)
class RunView:
    """The leader's view of one run at a worker.

    Attributes:
        key: the run.
        step: its step.
        phase: its state.
        phase_at_s: when the phase began.
        started_at_s: when the worker confirmed the start, or 0.
        started_clock_ms: the worker's clock in that answer, or None.
        has_begun: whether the worker has confirmed a start of it.
        is_listed: whether the worker has listed it as running.
        percent: share of full speed at which it works, as listed.
        ordered_percent: share that was ordered last, or None.
        pace_due_until_s: time until which each poll orders the pace again, as
            an earlier order may still be carried out, or None.
        figure: newest measurement that the worker listed for it; see
            ListedRun.
        saved: newest saved progress that the worker listed.
        unresolved_starts: number of start orders that had no answer, came
            too late, or were answered with another incarnation's clock.
        starts_under_way: number of start orders that are queued or sent, and
            not answered yet.
        sendings: number of times that its newest order, a start or the stop,
            was sent.
        sent_at_s: when it was last sent, or minus infinity.
        customer: customer that its job belongs to, or ''.
        isolated_s: run time until which nothing else starts on its worker.
        room_waits: what its task waited for before it had a worker, or None.
        waits: what it has waited for since.
    """

    key: state.RunKey
    step: state.StepSpec
    phase: RunPhase
    phase_at_s: float
    started_at_s: float = 0.0
    started_clock_ms: int | None = None
    has_begun: bool = False
    is_listed: bool = False
    percent: int = 100
    ordered_percent: int | None = None
    pace_due_until_s: float | None = None
    figure: int | None = None
    saved: str = ''
    unresolved_starts: int = 0
    starts_under_way: int = 0
    sendings: int = 0
    sent_at_s: float = float('-inf')
    customer: str = ''
    isolated_s: float = 0.0
    room_waits: WaitTimes | None = None
    waits: WaitTimes = dataclasses.field(default_factory=WaitTimes)

    @property
    def is_stopping(self) -> bool:
        """Whether it is ordered to stop, stopped, refused or to be voided."""
        return self.phase in (RunPhase.STOPPING, RunPhase.STOPPED)

    @property
    def is_start_open(self) -> bool:
        """Whether an order to start it may still be carried out.

        That holds for a run that is confirmed, stopped or refused as well, if
        another order was sent.
        """
        is_unknown = self.phase in (RunPhase.ORDERED, RunPhase.UNCERTAIN)
        return is_unknown or self.unresolved_starts + self.starts_under_way > 0


class RunObserver(Protocol):
    """Learns of every run that any view gets or no longer has."""

    def add_run(self, run: RunView) -> None:
        """Handle a run that a view has got."""

    def remove_run(self, run: RunView) -> None:
        """Handle a run that a view no longer has."""


def counted_cpu(step: state.StepSpec) -> int:
    """Return the millicores that a task takes of a worker's room.

    Tasks that fill idle time take none.
    """
    return 0 if step.fills else step.room.cpu_millicores
