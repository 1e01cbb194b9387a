"""What the leader knows of one life of a worker."""

import dataclasses
import enum

from greengagering import state

LEASE_S = 4.0
"""Lease that an order grants: outlasts an election and the rereading of all
workers (under 2 s), and bounds how long the tasks of a lost worker wait."""

GRANT_INTERVAL_S = 1.2
"""Age of the newest grant after which a look grants again; with a long look
in between, at least a third of a lease is left whenever the leader stops."""

LOOK_WAIT_S = 1.5
"""How long a look waits for an end; the worker allows at most 2 s."""

LONGEST_LEASE_S = 10.0
"""Longest lease that a worker grants, whatever an order asks for; one that
was meant for an earlier life may ask for more than its clock can tell."""

CLOCK_SLACK_MS = 1000
"""Difference from the expected clock from which another life answers: a new
life's clock starts anew."""

LATE_ORDER_S = 12.0
"""Longest time after which an unanswered order may still be carried out, by
the users' list of disturbances."""

ORDER_HOLD_S = 1.5
"""Longest time from a decision to send an order until it is sent, by the
leader or by an agent; later ones are not sent at all."""

WORKER_CLOCK_RATIO = 0.98
"""A worker's clock runs at this speed at least, by the worker's interface."""

SILENCE_S = 4.0
"""Time without a word after which a worker gets no new run: two missed
reports."""

QUARANTINE_STREAK = 2
"""Failures in a row from which a worker gets only single runs, as probes."""

QUARANTINE_MIN_S = 1.0
"""First time without runs for such a worker: about one run time."""

QUARANTINE_MAX_S = 16.0
"""Longest such time; it doubles with each further failure."""

SLOW_RATIO = 1.8
"""Run time over estimate from which a worker counts as slow; estimates are
off by half at most."""

SLOW_SMOOTHING = 0.4
"""Weight of the newest run in a worker's ratio of run time to estimate."""


class RunPhase(enum.Enum):
    """How far the order to start a run has come."""

    ORDERED = enum.auto()
    UNCERTAIN = enum.auto()
    RUNNING = enum.auto()
    STOPPING = enum.auto()
    STOPPED = enum.auto()


@dataclasses.dataclass(slots=True)
class RunView:
    """One run at a worker.

    Attributes:
        key: the run.
        step: its step.
        phase: how far its order has come.
        phase_at_s: when the phase began.
        started_at_s: when the worker confirmed the start, or 0.
        started_clock_ms: the worker's clock in that answer, or None.
        is_listed: whether the worker has listed it as running.
        percent: share of full speed that it works at, as listed.
        ordered_percent: share that was last ordered, or None.
        figure: newest figure that the worker listed for it.
        saved: newest progress that the worker listed.
        tries: orders to start it that got no answer.
    """

    key: state.RunKey
    step: state.StepSpec
    phase: RunPhase
    phase_at_s: float
    started_at_s: float = 0.0
    started_clock_ms: int | None = None
    is_listed: bool = False
    percent: int = 100
    ordered_percent: int | None = None
    figure: int | None = None
    saved: str = ''
    tries: int = 0


class WorkerView:
    """Room, clock, leases and runs of one life, as far as the leader knows.

    Attributes:
        facts: what the worker said of itself.
        runs: runs allotted to it, by run name.
        free_cpu: millicores that no run holds.
        free_memory: megabytes that no run holds.
        free_gpu: accelerators that no run holds.
        is_read: its lists were read under this leader's fence.
        is_draining: it takes no new run.
        is_reserved: its machine is being emptied for upkeep or a move.
        is_upkeep_due: a wave will take its machine down.
        seen_at_s: when the leader first knew of it.
        heard_at_s: when it last answered or reported.
        suspect_since_s: when it first failed to answer, or None.
        sequence: number of its newest report.
        successor: key of a later life under the same name, or ''.
        proposed_end: highest number of its ends that was proposed.
        granted_at_s: when the newest grant was sent.
        is_over: its end was proposed.
        blocked_until_s: it gets no new run before, after a refusal.
        left_at_s: when it said that it ends now, or infinity.
        strays: runs that it lists and that were not allotted to it.
        failure_streak: failures since the last success.
        quarantined_until_s: a failing worker is not probed before.
        slowness: smoothed run time over estimate.
        poisons: runs of its predecessor that it must refuse from now on,
            and has not confirmed yet, by run name.
        is_poisoned: its successor was told which runs to refuse.
        poisoned_at_s: when this life was last told to refuse runs.
        listed_clock_ms: its clock in its newest lists, or None.
        is_list_due: its lists are wanted without a wait for an end.
    """

    def __init__(self, facts: state.WorkerFacts, now_s: float) -> None:
        self.facts = facts
        self.runs: dict[str, RunView] = {}
        self.free_cpu = facts.room.cpu_millicores
        self.free_memory = facts.room.memory_mb
        self.free_gpu = facts.room.gpu_count
        self.is_read = False
        self.is_draining = False
        self.is_reserved = False
        self.is_upkeep_due = False
        self.seen_at_s = now_s
        self.heard_at_s = now_s
        self.suspect_since_s: float | None = None
        self.sequence = -1
        self.successor = ''
        self.proposed_end = 0
        self.granted_at_s = float('-inf')
        self.is_over = False
        self.blocked_until_s = float('-inf')
        self.left_at_s = float('inf')
        self.strays: frozenset[str] = frozenset()
        self.poisons: dict[str, state.RunKey] = {}
        self.is_poisoned = False
        self.poisoned_at_s = float('-inf')
        self.listed_clock_ms: int | None = None
        self.is_list_due = False
        self._grant_number = 0
        self._open_grants: dict[int, float] = {}
        self._settled_at_s = float('-inf')
        self._mixed_lapse_s = float('-inf')
        # Grants of earlier leaders may be on their way since just now.
        self._unknown_since_s: float | None = now_s
        self._clock_offset_ms: float | None = None
        self.failure_streak = 0
        self.quarantined_until_s = float('-inf')
        self.slowness = 1.0

    @property
    def key(self) -> str:
        """Name of this life."""
        return self.facts.key

    def is_usable(self, now_s: float) -> bool:
        """Tell whether new runs may be allotted here."""
        return (
            self.is_read
            and not self.is_draining
            and not self.is_reserved
            and not self.is_over
            and self.suspect_since_s is None
            and not self.successor
            and not self.strays
            and now_s < self.heard_at_s + SILENCE_S
            and now_s >= self.blocked_until_s
        )

    def fits(self, step: state.StepSpec, task_count: int = 1) -> bool:
        """Tell whether tasks of a step have room together."""
        return (
            counted_cpu(step) * task_count <= self.free_cpu
            and step.room.memory_mb * task_count <= self.free_memory
            and step.room.gpu_count * task_count <= self.free_gpu
        )

    def add_run(self, run: RunView) -> None:
        """Take room for a run."""
        if run.key.name not in self.runs:
            self.runs[run.key.name] = run
            self._take(run.step, 1)

    def remove_run(self, name: str) -> RunView | None:
        """Give a run's room back."""
        run = self.runs.pop(name, None)
        if run is not None:
            self._take(run.step, -1)
        return run

    def ran_s(self, run: RunView) -> float | None:
        """Return how long a run had gone on at the newest lists.

        By the worker's own clock, so that lists which come late, or are read
        late, make no run look longer than it is.
        """
        if run.started_clock_ms is None or self.listed_clock_ms is None:
            return None
        return (self.listed_clock_ms - run.started_clock_ms) / 1000

    def note_clock(self, clock_ms: int | None, received_at_s: float) -> None:
        """Take a reading of the worker's clock.

        The reading is older than its receipt, so the estimate is never ahead
        of the worker by more than the clocks drift apart.
        """
        if clock_ms is not None:
            self._clock_offset_ms = clock_ms - received_at_s * 1000

    def clock_ms(self, now_s: float) -> int | None:
        """Return the worker's clock, or None before its first reading."""
        if self._clock_offset_ms is None:
            return None
        return int(now_s * 1000 + self._clock_offset_ms)

    def is_clock_of_other(self, clock_ms: int | None, now_s: float) -> bool:
        """Tell whether a clock reading can't be of this life."""
        expected_ms = self.clock_ms(now_s)
        if clock_ms is None or expected_ms is None:
            return False
        return clock_ms < expected_ms - CLOCK_SLACK_MS

    def begin_grant(self, now_s: float, lease_s: float = LEASE_S) -> int:
        """Note that a grant is on its way; return its number.

        Args:
            now_s: the leader's clock.
            lease_s: lease that the order may get at most.
        """
        self.granted_at_s = now_s
        self._grant_number += 1
        late_s = ORDER_HOLD_S + LATE_ORDER_S
        lapse_s = now_s + late_s + lease_s / WORKER_CLOCK_RATIO
        self._open_grants[self._grant_number] = lapse_s
        return self._grant_number

    def note_other_life(self, now_s: float) -> None:
        """Another life took an order that was meant for this one."""
        lapse_s = now_s + LONGEST_LEASE_S / WORKER_CLOCK_RATIO
        self._mixed_lapse_s = max(self._mixed_lapse_s, lapse_s)

    def settle_grant(
        self, number: int, now_s: float, *, is_carried_out: bool
    ) -> None:
        """Take the answer to a grant."""
        if self._open_grants.pop(number, None) is None:
            return
        if is_carried_out:
            self._settled_at_s = now_s

    def withdraw_grant(self, number: int) -> None:
        """A grant was never sent, so the next one is due now."""
        if self._open_grants.pop(number, None) is not None:
            self.granted_at_s = float('-inf')

    def note_read(self, now_s: float) -> None:
        """Take lists that were read under the leader's own fence.

        From now on the worker refuses whatever an earlier leader still has
        on its way, but it keeps the lease that it was granted until now. A
        young life may have taken a lease by an order that was meant for an
        earlier one under its name.
        """
        if self._unknown_since_s is not None:
            self._settled_at_s = max(self._settled_at_s, now_s)
        clock_ms = self.clock_ms(now_s)
        is_young = clock_ms is None or clock_ms < LONGEST_LEASE_S * 1000
        if not self.is_read and is_young:
            self.note_other_life(now_s)
        self.is_read = True
        self._unknown_since_s = None
        self.note_heard(now_s)

    def lapse_at_s(self) -> float:
        """Return when the lease of this life has run out for certain."""
        lease_s = LEASE_S / WORKER_CLOCK_RATIO
        ends = [self._settled_at_s + lease_s, self._mixed_lapse_s]
        ends += self._open_grants.values()
        if self._unknown_since_s is not None:
            late_s = ORDER_HOLD_S + LATE_ORDER_S
            ends.append(self._unknown_since_s + late_s + lease_s)
        return max(ends)

    def note_heard(self, now_s: float) -> None:
        """The worker answered or reported."""
        self.heard_at_s = max(self.heard_at_s, now_s)
        self.suspect_since_s = None

    def note_missed(self, now_s: float) -> None:
        """The worker did not answer."""
        if self.suspect_since_s is None:
            self.suspect_since_s = now_s

    def note_failure(self, now_s: float, weight: int = 1) -> None:
        """A run failed here, or stood still."""
        self.failure_streak += weight
        excess = self.failure_streak - QUARANTINE_STREAK
        if excess >= 0:
            pause_s = min(QUARANTINE_MIN_S * 2**excess, QUARANTINE_MAX_S)
            self.quarantined_until_s = now_s + pause_s

    def note_success(self, run_ratio: float | None) -> None:
        """A run succeeded here.

        Args:
            run_ratio: its run time over its estimate, if that is known.
        """
        self.failure_streak = 0
        if run_ratio is not None:
            change = SLOW_SMOOTHING * (run_ratio - self.slowness)
            self.slowness += change

    @property
    def is_failing(self) -> bool:
        """Tell whether only probes may run here."""
        return self.failure_streak >= QUARANTINE_STREAK

    def may_probe(self, now_s: float) -> bool:
        """Tell whether a failing worker may be tried with one run."""
        return now_s >= self.quarantined_until_s and not self.runs

    def count_step(self, job_id: str, step_key: str) -> int:
        """Return how many runs of a step are here."""
        return sum(
            1
            for run in self.runs.values()
            if run.key.job_id == job_id and run.key.step_key == step_key
        )

    def _take(self, step: state.StepSpec, sign: int) -> None:
        self.free_cpu -= sign * counted_cpu(step)
        self.free_memory -= sign * step.room.memory_mb
        self.free_gpu -= sign * step.room.gpu_count


def counted_cpu(step: state.StepSpec) -> int:
    """Return the millicores of a task that count against a worker's room."""
    return 0 if step.fills else step.room.cpu_millicores
