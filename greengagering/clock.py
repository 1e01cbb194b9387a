"""Clocks: a steady one for durations such as leases, and the time of day."""

import time


def steady_s() -> float:
    """Return a steady time in seconds that includes time spent suspended.

    A leader that was suspended must see that its lease has expired, but
    CLOCK_MONOTONIC does not advance during a suspension.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_ms() -> int:
    """Return the Unix time in milliseconds, which may jump."""
    return time.time_ns() // 1_000_000


PROCESS_STARTED_AT_S = steady_s()
"""Steady time at which this module was imported. Programs import it before
anything slow, so it is about the start of the process."""
