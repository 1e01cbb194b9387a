"""Duties of machines that a leader is carrying out."""

import dataclasses
import enum

from greengagering import state

GIVE_UP_PAUSE_MIN_S = 2.0
"""Time without another try for a machine that couldn't be emptied; it doubles
each time, so that the machine is mostly at work."""

GIVE_UP_PAUSE_MAX_S = 16.0
"""Upper limit of that time."""


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


class EmptyingPauses:
    """Pauses of machines that were given up, as they couldn't be emptied."""

    def __init__(self) -> None:
        # The pause after a machine's last try, and when it ends.
        self._pauses: dict[str, tuple[float, float]] = {}

    def begin(self, machine: str, now_s: float) -> float:
        """Begin a machine's pause, and return how long it is."""
        former_s, _ = self._pauses.get(machine, (GIVE_UP_PAUSE_MIN_S / 2, 0.0))
        pause_s = min(former_s * 2, GIVE_UP_PAUSE_MAX_S)
        self._pauses[machine] = (pause_s, now_s + pause_s)
        return pause_s

    def is_paused(self, machine: str, now_s: float) -> bool:
        """Tell whether no duty of a machine may be opened yet."""
        _, until_s = self._pauses.get(machine, (0.0, now_s))
        return now_s < until_s
