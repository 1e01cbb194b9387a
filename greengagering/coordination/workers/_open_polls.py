"""Polls that have no answer yet, and how often answers stayed away lately."""

import dataclasses
import math

from greengagering.coordination.workers import _orders

OVERDUE_S = 0.1
"""Time without an answer to a lease grant after which another is due if the
last one with an answer is old enough; some round trips."""

MAX_OPEN_POLLS = 4
"""Polls of one worker without an answer at the same time; the other
connections to it are for orders."""

LOSS_MEMORY_S = 4.0
"""Time after a lost answer in which polls of that worker wait shortly, and
time constant of the share of lost answers in the fleet."""

MIN_LOSS_SHARE = 0.03
"""Share of lost answers from which polls of all workers wait shortly. One
worker alone can't reach it in a fleet of some size."""

MIN_LOSSES = 3.0
"""Lost answers below which their share says nothing."""


@dataclasses.dataclass(slots=True)
class OpenPoll:
    """A poll without an answer.

    Attributes:
        order: the poll.
        sent_at_s: when it was sent.
        overdue_at_s: when its answer is overdue.
        is_lost: whether a poll that was sent later has been answered since
            this one was overdue.
    """

    order: _orders.LookOrder
    sent_at_s: float
    overdue_at_s: float
    is_lost: bool = False


class OpenPolls:
    """The polls of one worker's incarnation that have no answer yet.

    Attributes:
        repetitions: polls sent since an answer was overdue or missing; an
            answer ends it.
        answered_sent_at_s: when the latest answered poll was sent.
        lossy_until_s: time until which lost answers are expected.
    """

    def __init__(self) -> None:
        self.repetitions = 0
        self.answered_sent_at_s = -math.inf
        self.lossy_until_s = -math.inf
        self._open: list[OpenPoll] = []
        # Polls that have failed since the last one that was answered.
        self._failures = 0

    def add(
        self, order: _orders.LookOrder, now_s: float, overdue_s: float
    ) -> OpenPoll:
        """Add a poll that is about to be sent.

        Args:
            order: the poll.
            now_s: the leader's clock.
            overdue_s: time from the end of its wait after which its answer is
                overdue.
        """
        is_repetition = self.is_missing(now_s)
        poll = OpenPoll(order, now_s, now_s + order.wait_ms / 1000 + overdue_s)
        self.repetitions += is_repetition
        self._open.append(poll)
        return poll

    def remove(self, order: _orders.LookOrder, sent_at_s: float) -> None:
        """Remove a poll that is answered or has failed."""
        self._open = [
            poll
            for poll in self._open
            if poll.sent_at_s != sent_at_s or poll.order != order
        ]

    @property
    def has_open(self) -> bool:
        """Whether a poll may still be answered."""
        return any(not poll.is_lost for poll in self._open)

    def is_missing(self, now_s: float) -> bool:
        """Tell whether the newest polls have failed or are overdue."""
        return self.repetitions > 0 or any(
            now_s >= poll.overdue_at_s and not poll.is_lost
            for poll in self._open
        )

    def may_send(self, now_s: float, *, is_long: bool) -> bool:
        """Tell whether a poll may be sent beside those without an answer.

        A long poll waits for the answers of all others, a short one for those
        of short ones, unless they are overdue.
        """
        if len(self._open) >= MAX_OPEN_POLLS:
            return False
        return not any(
            now_s < poll.overdue_at_s and (is_long or not poll.order.wait_ms)
            for poll in self._open
        )

    def mark_failed(self, sent_at_s: float) -> bool:
        """Note that a poll has failed; return whether it says anything.

        It says nothing about the worker if a poll that was sent later, or at
        the same time, has been answered.
        """
        if sent_at_s <= self.answered_sent_at_s:
            return False
        self.repetitions = max(self.repetitions, 1)
        self._failures += 1
        return True

    def find_lost(self, sent_at_s: float, now_s: float) -> list[OpenPoll]:
        """Return the earlier polls that an answer shows to be lost."""
        return [
            poll
            for poll in self._open
            if poll.sent_at_s < sent_at_s
            and now_s >= poll.overdue_at_s
            and not poll.is_lost
        ]

    def mark_answered(self, sent_at_s: float, now_s: float) -> int:
        """Note that a poll was answered.

        Answers that are only late come in the order of their polls, so they
        don't count as lost.

        Returns:
            The number of earlier polls that are found lost by that.
        """
        lost = self.find_lost(sent_at_s, now_s)
        self.answered_sent_at_s = max(self.answered_sent_at_s, sent_at_s)
        for poll in lost:
            poll.is_lost = True
        count = len(lost) + self._failures
        if count:
            self.lossy_until_s = now_s + LOSS_MEMORY_S
        self.repetitions = 0
        self._failures = 0
        return count


class LossMeter:
    """The share of polls of the whole fleet whose answers were lost lately."""

    def __init__(self) -> None:
        self._lost = 0.0
        self._answered = 0.0
        self._noted_at_s = 0.0

    def note(self, lost: int, now_s: float) -> None:
        """Add an answered poll, and the lost ones that it reveals."""
        age_s = max(now_s - self._noted_at_s, 0.0)
        factor = math.exp(-age_s / LOSS_MEMORY_S)
        self._lost = self._lost * factor + lost
        self._answered = self._answered * factor + 1
        self._noted_at_s = now_s

    def is_lossy(self, now_s: float) -> bool:
        """Tell whether lost answers are to be expected of any worker."""
        age_s = max(now_s - self._noted_at_s, 0.0)
        lost = self._lost * math.exp(-age_s / LOSS_MEMORY_S)
        total = self._lost + self._answered
        return lost >= MIN_LOSSES and self._lost >= MIN_LOSS_SHARE * total
