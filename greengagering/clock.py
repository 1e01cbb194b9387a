"""The clock that leases, elections and proofs are measured by."""

import time


def steady_s() -> float:
    """Return seconds that also count while the machine is suspended.

    A leader that was suspended must know that its lease has run out, and the
    monotonic clock stands still in the meantime.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_ms() -> int:
    """Return the time of day, which may jump."""
    return time.time_ns() // 1_000_000
