"""Seconds that tasks waited, by what they waited for."""

import enum


class WaitCause(enum.StrEnum):
    """What a task waits for.

    ROOM: room that confirmed runs of its pool use.
    SUSPECT: free room of a worker that left an order or a poll unanswered,
        or that worker's answer before its start is ordered again.
    UNRESOLVED: room that is held for starts without an answer.
    ARRIVING: room of a machine that moves to its pool.
    UNUSABLE: free room of a worker that gets no run for another reason.
    ORDER: the answer to the order to start it, pauses before it is sent again
        included.
    SLOT: an order to start it that could not be sent.
    POLL: a list of its ends, after a poll without an answer.
    """

    ROOM = 'room'
    SUSPECT = 'suspect'
    UNRESOLVED = 'unresolved'
    ARRIVING = 'arriving'
    UNUSABLE = 'unusable'
    ORDER = 'order'
    SLOT = 'slot'
    POLL = 'poll'


class WaitTimes:
    """Seconds that one task or many waited, by cause.

    Attributes:
        seconds: seconds by cause.
        sent_count: number of orders to start a run that were given.
    """

    __slots__ = ('_cause', '_since_s', 'seconds', 'sent_count')

    def __init__(self) -> None:
        self.seconds: dict[WaitCause, float] = {}
        self.sent_count = 0
        self._cause: WaitCause | None = None
        self._since_s = 0.0

    @property
    def total_s(self) -> float:
        """Seconds of all causes."""
        return sum(self.seconds.values())

    def add(self, cause: WaitCause, seconds: float) -> None:
        """Add seconds of one cause."""
        if seconds > 0:
            self.seconds[cause] = self.seconds.get(cause, 0.0) + seconds

    def add_all(self, other: 'WaitTimes') -> None:
        """Add the seconds of another."""
        for cause, seconds in other.seconds.items():
            self.add(cause, seconds)

    def begin(self, cause: WaitCause, now_s: float) -> None:
        """Begin to wait for something, and no longer for what was before."""
        self.end(now_s)
        self._cause = cause
        self._since_s = now_s

    def end(self, now_s: float, cause: WaitCause | None = None) -> None:
        """End the wait that was begun.

        Args:
            now_s: the leader's clock.
            cause: what it is known now to have waited for, or None.
        """
        if self._cause is not None:
            self.add(cause or self._cause, now_s - self._since_s)
        self._cause = None

    def fields(self) -> dict[str, float]:
        """Return log fields, such as order_s, for the causes that occurred."""
        return {
            f'{cause}_s': round(seconds, 3)
            for cause, seconds in self.seconds.items()
        }
