"""The time of day by which due times are decided, without sudden jumps."""

JUMP_MS = 300
"""Deviation from the steady clock above which a change counts as a jump;
synchronised clocks drift less than this in a day."""

JUMP_TIMEOUT_S = 30.0
"""Time for which a jump must last before it is accepted as current."""


class DueClock:
    """Derives the time of day from the steady clock and a stored offset.

    A jump of the time of day changes the offset only after it has lasted
    JUMP_TIMEOUT_S, as a wrong time of day often jumps back.
    """

    def __init__(self) -> None:
        self._offset_ms: float | None = None
        self._jumped_at_s: float | None = None

    def read_ms(self, now_s: float, unix_ms: int) -> int:
        """Return the Unix time in milliseconds.

        Args:
            now_s: the steady clock.
            unix_ms: the machine's time of day as Unix time.
        """
        offset_ms = unix_ms - now_s * 1000
        if self._offset_ms is None:
            self._offset_ms = offset_ms
        if abs(offset_ms - self._offset_ms) <= JUMP_MS:
            self._jumped_at_s = None
            self._offset_ms = offset_ms
        elif self._jumped_at_s is None:
            self._jumped_at_s = now_s
        elif now_s >= self._jumped_at_s + JUMP_TIMEOUT_S:
            self._offset_ms = offset_ms
            self._jumped_at_s = None
        return int(self._offset_ms + now_s * 1000)
