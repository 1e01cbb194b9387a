"""Where orders to workers spent their time, summed for the log."""

import dataclasses

from greengagering.coordination.workers import _orders

REPORT_INTERVAL_S = 1.0
"""Length of an interval, and so the least time between two lines."""

SLOW_S = 0.1
"""Longest time until an answer, within an interval, from which the interval is
logged although every order was answered."""


@dataclasses.dataclass(slots=True)
class OrderTimes:
    """Orders that were answered or given up since the last report.

    Attributes:
        repeated: orders that were sent beside an earlier sending.
        held_back: repetitions that were put off.
        unsent: orders that were dropped before they were sent.
        unanswered: sendings without an answer.
        answered: sendings with an answer.
        took_s: seconds from the leader's order to the answers, summed.
        queued_s: of these, in queues for a slot.
        called_s: of these, in calls to workers.
        longest_s: longest time until an answer.
        began_at_s: when the interval began, on the leader's clock.
    """

    repeated: int = 0
    held_back: int = 0
    unsent: int = 0
    unanswered: int = 0
    answered: int = 0
    took_s: float = 0.0
    queued_s: float = 0.0
    called_s: float = 0.0
    longest_s: float = 0.0
    began_at_s: float = 0.0

    def add(self, answer: _orders.OrderAnswer, took_s: float) -> None:
        """Add the answer to a sending, or the lack of one."""
        if answer.outcome is _orders.OrderOutcome.NOT_SENT:
            self.unsent += 1
        elif answer.outcome is _orders.OrderOutcome.NO_ANSWER:
            self.unanswered += 1
        else:
            self.answered += 1
            self.took_s += took_s
            self.queued_s += answer.queued_s
            self.called_s += answer.called_s
            self.longest_s = max(self.longest_s, took_s)

    def is_over(self, now_s: float) -> bool:
        """Tell whether the interval is over."""
        return now_s >= self.began_at_s + REPORT_INTERVAL_S

    @property
    def is_notable(self) -> bool:
        """Whether any order was not answered soon."""
        not_answered = self.repeated + self.unsent + self.unanswered
        return not_answered > 0 or self.longest_s >= SLOW_S

    def fields(self) -> dict[str, object]:
        """Return the fields of the line, with means in milliseconds."""
        count = max(self.answered, 1)
        return {
            'answered': self.answered,
            'unanswered': self.unanswered,
            'unsent': self.unsent,
            'repeated': self.repeated,
            'held_back': self.held_back,
            'took_ms': round(self.took_s / count * 1000, 1),
            'queued_ms': round(self.queued_s / count * 1000, 1),
            'called_ms': round(self.called_s / count * 1000, 1),
            'longest_ms': round(self.longest_s * 1000),
        }
