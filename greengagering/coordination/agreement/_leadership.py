"""A replica's record of when somebody has led for long enough."""

import math


class LeadershipRecord:
    """Tells how long ago a leader last led for long enough.

    The leader of a short term may not have committed what it received, and
    others may not have found it. So a short term doesn't end the time without
    a leader.
    """

    def __init__(self, steady_s: float, max_gap_s: float) -> None:
        """Create a record without any leader.

        Args:
            steady_s: time from which a leader has led for long enough.
            max_gap_s: longest time between two signs of a leader.
        """
        self._steady_s = steady_s
        self._max_gap_s = max_gap_s
        self._term = 0
        self._since_s = math.inf
        self._seen_s = -math.inf
        self._steady_at_s = -math.inf

    def note(
        self, term: int, now_s: float, leaderless_s: float = math.inf
    ) -> None:
        """Note a sign of a term's leader.

        Args:
            term: the leader's term.
            now_s: when the sign was handled.
            leaderless_s: what the leader's own record told when it sent the
                sign, or infinity if unknown.
        """
        if term != self._term or now_s > self._seen_s + self._max_gap_s:
            self._term = term
            self._since_s = now_s
        self._seen_s = now_s
        led_s = now_s - self._since_s
        if led_s >= self._steady_s:
            self._steady_at_s = now_s
        elif led_s >= self._max_gap_s:
            # Signs that this process or a link has held back arrive at once,
            # so what the first ones tell may be out of date.
            self._steady_at_s = max(self._steady_at_s, now_s - leaderless_s)

    def leaderless_s(self, now_s: float) -> float:
        """Return the time since then; infinity if no such leader is known."""
        return now_s - self._steady_at_s
