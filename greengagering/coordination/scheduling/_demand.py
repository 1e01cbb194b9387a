"""Tracks the rate of new work per service, and predicts its bursts."""

from collections.abc import Mapping
import dataclasses
import math
import types

from greengagering import state

RATE_WINDOW_S = 2.0
"""Smoothing time of the rate of new work. A burst lasts seconds; over a much
shorter time a single job would look like one."""

ONSET_WINDOW_S = 0.4
"""Smoothing time of a second rate, used only while many jobs arrive. It shows
the onset of a burst early enough to bring machines."""

MIN_ONSET_JOBS = 8.0
"""Number of jobs within that time from which the onset rate is used."""

BURST_RATIO = 2.0
"""Ratio of the rate to its long-term mean from which a service counts as
bursting."""

MEAN_WINDOW_S = 12.0
"""Smoothing time of the long-term mean; it covers bursts of several
services."""

MIN_BURST_CORES = 32.0
"""Rate below which a rise isn't taken for a burst; the work of one machine."""

MIN_BURST_JOBS = 3.0
"""Number of jobs within RATE_WINDOW_S below which a rise isn't taken for a
burst; it may be a single wide job."""

BURST_OF_PEAK = 0.25
"""Share of the highest peak of all services below which a rise isn't taken for
a burst; in a large fleet a few jobs between bursts exceed one machine's
work."""

BURST_TIME_TOLERANCE_S = 1.5
"""Largest deviation of the time between two bursts from the learned interval
for which the interval is smoothed instead of replaced."""

MIN_CUSTOMER_JOBS = 0.001
"""Number of jobs within RATE_WINDOW_S below which a customer's own rate is
forgotten, so that there is none for customers that send nothing."""

NO_LIMITS: Mapping[str, state.Room] = types.MappingProxyType({})

MAX_PAUSE_S = 5.0
"""Longest time without new work, before the start of a term, that counts as
time without a leader; a return of the whole system takes 3 s. In a longer time
without work, rates decay."""


@dataclasses.dataclass(slots=True)
class _Rate:
    """Exponentially smoothed rate of submitted work.

    Attributes:
        window_s: smoothing time.
        cores: core-seconds of new work per second, that is, the cores that
            it keeps busy.
        memory_mb: memory that work at this rate keeps in use.
        jobs: number of jobs within the smoothing time.
    """

    window_s: float
    cores: float = 0.0
    memory_mb: float = 0.0
    jobs: float = 0.0

    def add(self, core_s: float, memory_mb_s: float) -> None:
        """Add the work of one job."""
        self.cores += core_s / self.window_s
        self.memory_mb += memory_mb_s / self.window_s
        self.jobs += 1

    def decay(self, elapsed_s: float) -> None:
        """Decay the rate over a time without new work."""
        left = math.exp(-elapsed_s / self.window_s)
        self.cores *= left
        self.memory_mb *= left
        self.jobs *= left


@dataclasses.dataclass(slots=True)
class _CustomerLoad:
    """Rates of new work that one customer sends to one service."""

    at_s: float
    recent: _Rate = dataclasses.field(
        default_factory=lambda: _Rate(RATE_WINDOW_S)
    )
    onset: _Rate = dataclasses.field(
        default_factory=lambda: _Rate(ONSET_WINDOW_S)
    )

    @property
    def rates(self) -> tuple[_Rate, ...]:
        """All rates."""
        return self.recent, self.onset


@dataclasses.dataclass(slots=True)
class _Load:
    """Rates of new work and bursts of one service.

    Attributes:
        at_s: when the rates were last updated.
        recent: rate over RATE_WINDOW_S, by which bursts are detected.
        onset: rate over ONSET_WINDOW_S, which shows a burst's onset.
        mean: rate over MEAN_WINDOW_S.
        is_bursting: whether a burst is in progress.
        burst_at_s: when the newest burst began.
        peak_cores: highest rate in its bursts, or 0 before the first.
        customers: rates of the work of each customer.
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
    customers: dict[str, _CustomerLoad] = dataclasses.field(
        default_factory=dict
    )

    @property
    def rates(self) -> tuple[_Rate, ...]:
        """All rates."""
        return self.recent, self.onset, self.mean


class DemandTracker:
    """Tracks submitted work by service, and predicts the next burst.

    It assumes that services burst one after the other, at a regular interval.
    The service whose last burst is the longest ago is expected next.
    """

    def __init__(self) -> None:
        self._loads: dict[str, _Load] = {}
        self._last_burst_s = float('-inf')
        self._burst_interval_s: float | None = None
        self._burst_count = 0
        self._first_work_s = math.inf

    def add_work(
        self,
        service: str,
        core_s: float,
        memory_mb_s: float,
        now_s: float,
        customer: str = '',
    ) -> None:
        """Add the work of a submitted job."""
        self._first_work_s = min(self._first_work_s, now_s)
        load = self._loads.setdefault(service, _Load(at_s=now_s))
        _decay(load, now_s)
        for rate in load.rates:
            rate.add(core_s, memory_mb_s)
        if customer:
            own = load.customers.setdefault(customer, _CustomerLoad(now_s))
            _decay(own, now_s)
            for rate in own.rates:
                rate.add(core_s, memory_mb_s)
        self._detect_burst(service, load, now_s)

    def skip_pause(self, last_s: float, now_s: float) -> None:
        """Keep rates as they were before a time without a leader.

        Nothing is accepted without a leader, so the lack of new work doesn't
        show a lack of demand.

        Args:
            last_s: when the newest job was accepted.
            now_s: when the leader's term begins.
        """
        last_s = max(last_s, now_s - MAX_PAUSE_S)
        for load in self._loads.values():
            _decay(load, last_s)
            load.at_s = now_s
            for own in load.customers.values():
                _decay(own, last_s)
                own.at_s = now_s

    def rate(
        self,
        service: str,
        now_s: float,
        limits: Mapping[str, state.Room] = NO_LIMITS,
    ) -> tuple[float, float]:
        """Return the cores and megabytes that new work keeps in use.

        What a customer sends beyond its limit keeps nothing in use.
        """
        load = self._loads.get(service)
        if load is None:
            return 0.0, 0.0
        _decay(load, now_s)
        excesses = _find_excesses(load, limits, now_s)
        recent, onset = (
            (max(rate.cores - cores, 0.0), max(rate.memory_mb - memory, 0.0))
            for rate, (cores, memory) in zip(
                (load.recent, load.onset), excesses, strict=True
            )
        )
        if load.onset.jobs < MIN_ONSET_JOBS:
            return recent
        # A few large jobs at the onset don't show that all will be so large.
        ratio = (load.onset.jobs * RATE_WINDOW_S) / (
            load.recent.jobs * ONSET_WINDOW_S
        )
        return (
            max(recent[0], min(onset[0], recent[0] * ratio)),
            max(recent[1], min(onset[1], recent[1] * ratio)),
        )

    def next_bursts(self) -> tuple[list[str], float] | None:
        """Return which services may burst next and when, or None.

        In the first burst cycle these are the services that have not burst
        yet; later it is the one whose burst is the longest ago. A service
        that has not burst within as many bursts as there are services has a
        steady load.
        """
        if self._burst_interval_s is None:
            return None
        candidates = [
            n
            for n, load in self._loads.items()
            if load.burst_at_s == -math.inf
        ]
        if not candidates or self._burst_count >= len(self._loads):
            seen = [n for n in self._loads if n not in candidates]
            candidates = [min(seen, key=lambda n: self._loads[n].burst_at_s)]
        return candidates, self._last_burst_s + self._burst_interval_s

    def burst_cores(self, service: str) -> float:
        """Return the expected peak rate of a service's burst, in cores.

        It is the highest rate of its own bursts or, before the first, the
        mean of the other services' peaks.
        """
        load = self._loads.get(service)
        if load is not None and load.peak_cores:
            return load.peak_cores
        peaks = [ld.peak_cores for ld in self._loads.values() if ld.peak_cores]
        return sum(peaks) / len(peaks) if peaks else 0.0

    def is_resting(self, service: str, now_s: float) -> bool:
        """Tell whether other services' bursts are due before this one's next.

        Services burst one after the other, so the one whose burst has just
        ended is the last to burst again.
        """
        load = self._loads.get(service)
        if load is None:
            return False
        _decay(load, now_s)
        _end_burst(load)
        if load.is_bursting:
            return False
        interval_s = (
            self._burst_interval_s
            if self._burst_interval_s is not None
            else MEAN_WINDOW_S
        )
        other_bursts = max(len(self._loads) - 1, 1)
        return now_s < load.burst_at_s + other_bursts * interval_s

    def is_unknown(self, service: str, now_s: float) -> bool:
        """Tell whether a service's first burst isn't over yet or may come.

        A service that has not burst within MEAN_WINDOW_S from the first work
        isn't expected to, unless next_bursts names it.
        """
        if now_s >= self._first_work_s + MEAN_WINDOW_S:
            return False
        load = self._loads.get(service)
        return load is None or load.is_bursting or load.burst_at_s == -math.inf

    def is_bursting(self, service: str) -> bool:
        """Tell whether a service's burst has been seen to begin."""
        load = self._loads.get(service)
        return load is not None and load.is_bursting

    def _detect_burst(self, service: str, load: _Load, now_s: float) -> None:
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
        if (
            now_s
            < load.burst_at_s + (self._burst_interval_s or MEAN_WINDOW_S) / 2
        ):
            return
        self._update_interval(now_s)
        self._burst_count += 1
        load.burst_at_s = now_s
        self._last_burst_s = now_s

    def _update_interval(self, now_s: float) -> None:
        interval_s = now_s - self._last_burst_s
        if interval_s > MEAN_WINDOW_S:
            return
        if self._burst_interval_s is not None and (
            abs(interval_s - self._burst_interval_s) <= BURST_TIME_TOLERANCE_S
        ):
            self._burst_interval_s += (interval_s - self._burst_interval_s) / 2
        else:
            self._burst_interval_s = interval_s


def _threshold(load: _Load) -> float:
    return max(BURST_RATIO * load.mean.cores, MIN_BURST_CORES)


def _end_burst(load: _Load) -> None:
    if load.recent.cores < _threshold(load) / BURST_RATIO:
        load.is_bursting = False


def _find_excesses(
    load: _Load, limits: Mapping[str, state.Room], now_s: float
) -> list[tuple[float, float]]:
    """Return the cores and megabytes beyond limits, of each window's rate."""
    excesses = [(0.0, 0.0), (0.0, 0.0)]
    if not limits:
        return excesses
    for name, own in list(load.customers.items()):
        _decay(own, now_s)
        if own.recent.jobs < MIN_CUSTOMER_JOBS:
            del load.customers[name]
            continue
        limit = limits.get(name)
        if limit is None:
            continue
        for number, rate in enumerate(own.rates):
            cores, memory = excesses[number]
            share = _find_share_beyond(rate, limit)
            excesses[number] = (
                cores + share * rate.cores,
                memory + share * rate.memory_mb,
            )
    return excesses


def _find_share_beyond(rate: _Rate, limit: state.Room) -> float:
    """Return the share of the work at a rate that exceeds a limit.

    The resource whose limit is met first holds back the whole tasks.
    """
    within = 1.0
    for now, most in (
        (rate.cores, limit.cpu_millicores / 1000),
        (rate.memory_mb, limit.memory_mb),
    ):
        if most and now > most:
            within = min(within, most / now)
    return 1.0 - within


def _decay(load: _Load | _CustomerLoad, now_s: float) -> None:
    elapsed_s = max(now_s - load.at_s, 0.0)
    load.at_s = now_s
    for rate in load.rates:
        rate.decay(elapsed_s)
