"""How much work each service is handed, and when its next burst is due."""

import dataclasses
import math

RATE_WINDOW_S = 2.0
"""Time over which the rate of new work is smoothed; a burst lasts seconds,
and one job alone must not look like one."""

ONSET_WINDOW_S = 0.4
"""Time over which the rate is taken as well where many jobs come, so that a
burst's onset is seen while there is time to bring machines."""

MIN_ONSET_JOBS = 8.0
"""Jobs within that time from which its rate is believed."""

BURST_RATIO = 2.0
"""Rate over its long-term mean from which a service counts as bursting."""

MEAN_WINDOW_S = 12.0
"""Time over which the long-term mean is taken; some turns of demand."""

MIN_BURST_CORES = 32.0
"""Rate below which a rise counts as no burst: a machine's worth of work."""

MIN_BURST_JOBS = 3.0
"""Jobs within the rate's window below which a rise counts as no burst; one
wide job is none."""

BURST_OF_PEAK = 0.25
"""Share of the highest peak of all services below which a rise counts as no
burst: in a large fleet a few jobs at rest are more than a machine's worth."""

TURN_TOLERANCE_S = 1.5
"""Difference from its predicted time with which a burst still confirms it."""


@dataclasses.dataclass(slots=True)
class _Rate:
    """Work that was handed in, smoothed over a time.

    Attributes:
        window_s: the time.
        cores: rate of new work, in cores.
        memory_mb: memory that this rate of work keeps in use.
        jobs: jobs within the time.
    """

    window_s: float
    cores: float = 0.0
    memory_mb: float = 0.0
    jobs: float = 0.0

    def add(self, core_s: float, memory_mb_s: float) -> None:
        """Add a job."""
        self.cores += core_s / self.window_s
        self.memory_mb += memory_mb_s / self.window_s
        self.jobs += 1

    def decay(self, elapsed_s: float) -> None:
        """Let time pass."""
        left = math.exp(-elapsed_s / self.window_s)
        self.cores *= left
        self.memory_mb *= left
        self.jobs *= left


@dataclasses.dataclass(slots=True)
class _Load:
    """Work that one service is handed.

    Attributes:
        at_s: when the rates were last brought up to date.
        recent: over a time in which one job alone is no burst.
        onset: over a time in which a burst's beginning shows.
        mean: over some turns of demand.
        is_bursting: whether a burst is on.
        burst_at_s: when the newest burst began.
        peak_cores: highest rate in its bursts, or 0 before the first.
    """

    at_s: float
    recent: _Rate = dataclasses.field(
        default_factory=lambda: _Rate(RATE_WINDOW_S)
    )
    onset: _Rate = dataclasses.field(
        default_factory=lambda: _Rate(ONSET_WINDOW_S)
    )
    mean: _Rate = dataclasses.field(
        default_factory=lambda: _Rate(MEAN_WINDOW_S)
    )
    is_bursting: bool = False
    burst_at_s: float = float('-inf')
    peak_cores: float = 0.0

    @property
    def rates(self) -> tuple[_Rate, ...]:
        """Every rate."""
        return self.recent, self.onset, self.mean


class DemandTracker:
    """Follows the work handed in, and learns in which turns it comes.

    Queues that burst one after the other are recognised by the time between
    two bursts; the service whose last burst is the longest ago is next.
    """

    def __init__(self) -> None:
        self._loads: dict[str, _Load] = {}
        self._last_burst_s = float('-inf')
        self._gap_s: float | None = None
        self._burst_count = 0

    def note_work(
        self, service: str, core_s: float, memory_mb_s: float, now_s: float
    ) -> None:
        """Add the work of a job that was handed in."""
        load = self._loads.setdefault(service, _Load(at_s=now_s))
        _decay(load, now_s)
        for rate in load.rates:
            rate.add(core_s, memory_mb_s)
        self._watch_burst(service, load, now_s)

    def rate(self, service: str, now_s: float) -> tuple[float, float]:
        """Return the cores and megabytes that new work needs."""
        load = self._loads.get(service)
        if load is None:
            return 0.0, 0.0
        _decay(load, now_s)
        recent, onset = load.recent, load.onset
        if onset.jobs < MIN_ONSET_JOBS:
            return recent.cores, recent.memory_mb
        return (
            max(recent.cores, onset.cores),
            max(recent.memory_mb, onset.memory_mb),
        )

    def next_bursts(self) -> tuple[list[str], float] | None:
        """Return which services may burst next and when, or None.

        Services that have not burst yet come first, as each has its turn;
        then the one whose burst is the longest ago. A service that has not
        burst in as many turns as there are services has a steady load.
        """
        if self._gap_s is None:
            return None
        fresh = [
            n
            for n, load in self._loads.items()
            if load.burst_at_s == -math.inf
        ]
        if not fresh or self._burst_count >= len(self._loads):
            seen = [n for n in self._loads if n not in fresh]
            fresh = [min(seen, key=lambda n: self._loads[n].burst_at_s)]
        return fresh, self._last_burst_s + self._gap_s

    def burst_cores(self, service: str) -> float:
        """Return the rate that a service's burst reaches, in cores.

        By its own bursts, or by the others' before its first.
        """
        load = self._loads.get(service)
        if load is not None and load.peak_cores:
            return load.peak_cores
        peaks = [ld.peak_cores for ld in self._loads.values() if ld.peak_cores]
        return sum(peaks) / len(peaks) if peaks else 0.0

    def is_resting(self, service: str, now_s: float) -> bool:
        """Tell whether a service has had its burst, and others are due first.

        Services take turns, so the one whose burst has just ended is the
        last to have another.
        """
        load = self._loads.get(service)
        if load is None:
            return False
        _decay(load, now_s)
        _end_burst(load)
        if load.is_bursting:
            return False
        gap_s = self._gap_s if self._gap_s is not None else MEAN_WINDOW_S
        turns = max(len(self._loads) - 1, 1)
        return now_s < load.burst_at_s + turns * gap_s

    def _watch_burst(self, service: str, load: _Load, now_s: float) -> None:
        _end_burst(load)
        recent = load.recent
        if load.is_bursting:
            load.peak_cores = max(load.peak_cores, recent.cores)
        highest = max(ld.peak_cores for ld in self._loads.values())
        is_high = (
            recent.cores >= max(_threshold(load), BURST_OF_PEAK * highest)
            and recent.jobs >= MIN_BURST_JOBS
        )
        if load.is_bursting or not is_high:
            return
        load.is_bursting = True
        if now_s < load.burst_at_s + (self._gap_s or MEAN_WINDOW_S) / 2:
            return
        self._learn_turn(now_s)
        self._burst_count += 1
        load.burst_at_s = now_s
        self._last_burst_s = now_s

    def _learn_turn(self, now_s: float) -> None:
        gap_s = now_s - self._last_burst_s
        if gap_s > MEAN_WINDOW_S:
            return
        if self._gap_s is not None and (
            abs(gap_s - self._gap_s) <= TURN_TOLERANCE_S
        ):
            self._gap_s += (gap_s - self._gap_s) / 2
        else:
            self._gap_s = gap_s


def _threshold(load: _Load) -> float:
    return max(BURST_RATIO * load.mean.cores, MIN_BURST_CORES)


def _end_burst(load: _Load) -> None:
    if load.recent.cores < _threshold(load) / BURST_RATIO:
        load.is_bursting = False


def _decay(load: _Load, now_s: float) -> None:
    elapsed_s = max(now_s - load.at_s, 0.0)
    load.at_s = now_s
    for rate in load.rates:
        rate.decay(elapsed_s)
