"""The time of day for due times, without its sudden jumps."""

JUMP_MS = 300
"""Change against the steady clock that counts as a jump; clocks that are kept
in step drift less in a day."""

PATIENCE_S = 30.0
"""How long a jumped time of day must stay before it is believed."""


class DueClock:
    """Follows the time of day by the steady clock.

    A jump is believed only after it has lasted, as a wrong time of day often
    jumps back.
    """

    def __init__(self) -> None:
        self._offset_ms: float | None = None
        self._jumped_at_s: float | None = None

    def read_ms(self, now_s: float, unix_ms: int) -> int:
        """Return the Unix time in milliseconds.

        Args:
            now_s: the steady clock.
            unix_ms: the machine's time of day.
        """
        seen_ms = unix_ms - now_s * 1000
        if self._offset_ms is None:
            self._offset_ms = seen_ms
        if abs(seen_ms - self._offset_ms) <= JUMP_MS:
            self._jumped_at_s = None
            self._offset_ms = seen_ms
        elif self._jumped_at_s is None:
            self._jumped_at_s = now_s
        elif now_s >= self._jumped_at_s + PATIENCE_S:
            self._offset_ms = seen_ms
            self._jumped_at_s = None
        return int(self._offset_ms + now_s * 1000)
