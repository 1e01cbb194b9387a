"""Duties of machines that a leader is carrying out."""

import dataclasses
import enum

from greengagering import state


class DutyPhase(enum.Enum):
    """Phase of a duty: empty the machine, commit, send, await its return."""

    EMPTYING = enum.auto()
    COMMITTING = enum.auto()
    SENDING = enum.auto()
    RETURNING = enum.auto()


@dataclasses.dataclass(slots=True)
class OpenDuty:
    """A duty that the leader is carrying out.

    Attributes:
        duty: the duty.
        worker_id: the machine's worker by the newest list, or ''; it is
            reserved.
        phase: the current phase.
        phase_at_s: when the phase began.
        is_inherited: whether a former leader may have sent the order.
        ends_life: key of the incarnation that the duty ends, or '' if that
            isn't certain; see _send.
        stuck_since_s: time since which lasting tasks keep its machine from
            being emptied, or None.
        retry_at_s: time before which the order isn't sent again.
        call_number: number of the unanswered call to the platform, or 0.
        sent_count: number of calls to the platform in this term.
        sent_at_s: when the newest of them was made.
    """

    duty: state.Duty
    worker_id: str
    phase: DutyPhase
    phase_at_s: float
    is_inherited: bool = False
    ends_life: str = ''
    stuck_since_s: float | None = None
    retry_at_s: float = float('-inf')
    call_number: int = 0
    sent_count: int = 0
    sent_at_s: float = float('-inf')
