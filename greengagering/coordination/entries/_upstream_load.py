"""Load, refusals and failures of an upstream, as one entry counts them."""

import dataclasses

FULL_BACKOFF_S = 0.01
FULL_BACKOFF_MAX_S = 0.16
EJECT_AFTER_FAILURES = 5
EJECT_S = 2.0
EJECT_MAX_S = 60.0


@dataclasses.dataclass(slots=True)
class UpstreamLoad:
    """Load and health of one boot of an upstream, as this entry sees it.

    Attributes:
        boot_id: boot that the values are for.
        in_flight_count: calls of this entry that are in flight there.
        failures: consecutive failures.
        full_count: consecutive refusals for lack of a free slot.
        blocked_until_s: entry's clock before which no call is sent there.
        ejections: consecutive ejections, which lengthen the next.
    """

    boot_id: str
    in_flight_count: int = 0
    failures: int = 0
    full_count: int = 0
    blocked_until_s: float = 0.0
    ejections: int = 0

    def is_open(self, slot_count: int, now_s: float) -> bool:
        """Return whether a call may be sent there now."""
        if now_s < self.blocked_until_s:
            return False
        if self.ejections and self.in_flight_count:
            # After an ejection, the upstream gets one call at a time until
            # it has answered one.
            return False
        return self.in_flight_count < slot_count

    def record_answer(self) -> None:
        """Record a complete answer; reset all counts of problems."""
        self.failures = 0
        self.full_count = 0
        self.ejections = 0

    def record_full(self, now_s: float) -> None:
        """Record a refusal for lack of a free slot; back off exponentially."""
        backoff_s = FULL_BACKOFF_S * 2**self.full_count
        self.full_count = min(self.full_count + 1, 10)
        self.blocked_until_s = now_s + min(backoff_s, FULL_BACKOFF_MAX_S)

    def record_failure(self, now_s: float) -> None:
        """Record a failure; eject the upstream after several in a row.

        After an ejection, a failure before the first answer ejects it again,
        for longer.
        """
        self.failures += 1
        if self.failures < EJECT_AFTER_FAILURES and not self.ejections:
            return
        eject_s = min(EJECT_S * 2**self.ejections, EJECT_MAX_S)
        self.ejections = min(self.ejections + 1, 10)
        self.failures = 0
        self.blocked_until_s = now_s + eject_s
