"""Estimates after which time an order is sent again."""

import math

MIN_REPEAT_S = 0.1
"""Least time after which an order without an answer is sent again; some round
trips, so that an answer that is only slow costs no second call."""

MAX_REPEAT_S = 0.5
"""Most time between two sendings; the timeout of an order."""

SMOOTHING = 0.125
"""Weight of the newest answer time in the smoothed one (RFC 6298)."""

VARIATION_SMOOTHING = 0.25
"""Weight of its difference from that in the smoothed variation (RFC 6298)."""

VARIATION_FACTOR = 4.0
"""Variations beyond the smoothed time after which an answer counts as missing
(RFC 6298)."""

FLEET_MEMORY_S = 1.0
"""Time constant of the fleet's answer time. A burst lasts for several; on many
answers a second, smoothing over a number of answers would follow the last few
milliseconds."""

FLEET_DEVIATIONS = 3.0
"""Standard deviations beyond the mean within which nearly all answers come."""

MIN_FLEET_ANSWERS = 5.0
"""Answers within FLEET_MEMORY_S below which they say nothing of the fleet."""


class AnswerTimes:
    """Smoothed answer time of one worker, with its variation.

    Times include the wait in queues before the order is sent, so a busy
    leader or agent doesn't send twice what is only queued.
    """

    def __init__(self) -> None:
        self._smoothed_s: float | None = None
        self._variation_s = 0.0

    def add(self, answer_s: float) -> None:
        """Add the time from the order to its answer."""
        if self._smoothed_s is None:
            self._smoothed_s = answer_s
            self._variation_s = answer_s / 2
            return
        difference_s = abs(answer_s - self._smoothed_s)
        self._variation_s += VARIATION_SMOOTHING * (
            difference_s - self._variation_s
        )
        self._smoothed_s += SMOOTHING * (answer_s - self._smoothed_s)

    def repeat_after_s(
        self, doublings: int, fleet_expected_s: float = 0.0
    ) -> float:
        """Return the time until an order is sent again.

        Args:
            doublings: how often the time is doubled.
            fleet_expected_s: time within which the fleet answers just now.
        """
        time_s = max(MIN_REPEAT_S, fleet_expected_s)
        if self._smoothed_s is not None:
            expected_s = (
                self._smoothed_s + VARIATION_FACTOR * self._variation_s
            )
            time_s = max(time_s, expected_s)
        # The exponent is bounded, as a power beyond the floats is an error.
        return min(time_s * 2 ** min(doublings, 10), MAX_REPEAT_S)


class FleetAnswerTimes:
    """Answer time of all workers lately, with its spread.

    What delays answers under load is shared by all workers: the leader, its
    agents, their links. A worker that has just joined has no answers of its
    own yet.
    """

    def __init__(self) -> None:
        self._count = 0.0
        self._sum_s = 0.0
        self._square_sum = 0.0
        self._noted_at_s = 0.0

    def add(self, answer_s: float, now_s: float) -> None:
        """Add the time from an order to its answer."""
        factor = self._decay(now_s)
        self._count = self._count * factor + 1
        self._sum_s = self._sum_s * factor + answer_s
        self._square_sum = self._square_sum * factor + answer_s**2
        self._noted_at_s = now_s

    def expected_s(self, now_s: float) -> float:
        """Return the time within which nearly all orders are answered.

        It is 0 while too few answers are known.
        """
        if not self._is_known(now_s):
            return 0.0
        mean_s = self._sum_s / self._count
        variance = max(self._square_sum / self._count - mean_s**2, 0.0)
        return mean_s + FLEET_DEVIATIONS * math.sqrt(variance)

    def are_soon(self, now_s: float) -> bool:
        """Tell whether orders are known to be answered soon, if at all."""
        return self._is_known(now_s) and self.expected_s(now_s) <= MIN_REPEAT_S

    def _is_known(self, now_s: float) -> bool:
        return self._count * self._decay(now_s) >= MIN_FLEET_ANSWERS

    def _decay(self, now_s: float) -> float:
        age_s = max(now_s - self._noted_at_s, 0.0)
        return math.exp(-age_s / FLEET_MEMORY_S)
