"""The leader's view of one incarnation of a worker.

An incarnation is one start of a worker's process; stored records and log
events call it a life (LifeSeen, `life_key`, `life=`).
"""

from greengagering.coordination.workers import _answer_times
from greengagering.coordination.workers import _open_polls
from greengagering.coordination.workers._run_view import counted_cpu
from greengagering.coordination.workers._run_view import RunObserver
from greengagering.coordination.workers._run_view import RunPhase
from greengagering.coordination.workers._run_view import RunView
from greengagering import state

LEASE_S = 4.0
"""Duration of the lease that an order grants. It must outlast an election and
the first poll of all workers by the new leader (under 2 s); a longer one
delays the restart of a lost worker's tasks."""

GRANT_INTERVAL_S = 1.2
"""Age of the newest grant from which a poll renews the lease. Even with a long
poll in between, at least a third of the lease is left whenever the leader
stops."""

POLL_WAIT_S = 1.5
"""How long a poll waits at the worker for a run to end; the worker allows 2 s
at most."""

MAX_LEASE_S = 10.0
"""Longest lease that a worker takes, whatever an order asks for. An order that
was meant for an earlier incarnation gives its end on that one's clock, and so
may ask a later incarnation for a much longer lease."""

CLOCK_TOLERANCE_MS = 1000
"""Lag behind the expected clock above which a reading is taken for another
incarnation's; the clock of a restarted worker starts anew, at any value."""

MAX_ORDER_DELAY_S = 12.0
"""Longest time after which an unanswered order may still be carried out, by
the faults that the system is required to tolerate."""

MAX_SEND_DELAY_S = 1.5
"""Longest time from the decision to send an order until the leader or an agent
sends it; orders that are delayed further are dropped."""

WORKER_CLOCK_RATIO = 0.98
"""Lowest rate of a worker's clock relative to real time, as specified by the
worker's interface."""

SILENCE_S = 4.0
"""Time without an answer or report after which a worker gets no new run; two
missed reports."""

STALE_SILENCE_S = 1.5
"""Time without an answer from which a worker that has not reported either gets
no start before its next report. Its room may have shrunk meanwhile."""

UNANSWERED_S = 0.5
"""Time without any answer from which an unanswered order or poll makes the
worker suspect. It is the timeout of an order, so a worker that falls silent is
suspect as soon as the first order after that has timed out."""

MAX_UNANSWERED_POLLS = 3
"""Unanswered polls in a row that make a worker suspect though it answers
orders; ended runs hold their room until a poll is answered."""

QUARANTINE_STREAK = 2
"""Failures in a row from which a worker is quarantined: it gets single runs
only, as probes."""

QUARANTINE_MIN_S = 1.0
"""Time without runs at the start of a quarantine; about one run time."""

QUARANTINE_MAX_S = 16.0
"""Upper limit of that time, which doubles with each further failure."""

NEEDED_QUARANTINE_S = 4.0
"""Time since the last failure after which a worker may be tried with a task
that finds no other room, or that has failed before. With the full pause such
a task would wait beside free room."""

PROBE_S = 1.0
"""Run time after which a lasting task no longer counts as a probe. It never
ends done, so it can't end a quarantine; one that fails does so sooner."""

SLOW_RATIO = 1.8
"""Ratio of run time to estimate from which a worker counts as slow; estimates
are off by half at most."""

SLOW_SMOOTHING = 0.4
"""Weight of the newest run in a worker's ratio of run time to estimate."""


SETTLED_S = 5.0
"""Run time from which a run isn't suspected if its worker crashes: a task that
crashes its workers does so soon after its start."""


class WorkerView:
    """Free room, clock, leases and runs of one incarnation of a worker.

    Attributes:
        facts: what the worker reported about itself.
        room: its capacity, which may change while it runs; facts has the one
            that it had when it was first seen.
        proposed_room: the room in the newest record of it that was proposed.
        runs: runs assigned to it, by run name.
        free_cpu: millicores that no run uses.
        free_memory: megabytes that no run uses.
        free_gpu: accelerators that no run uses.
        is_read: its lists were read under this leader's fence.
        fence: fence of the orders to it.
        has_fence: it is known to refuse orders with a lower fence, though it
            may not be read yet.
        is_draining: it takes no new run.
        is_reserved: its machine is being emptied for upkeep or a move.
        is_upkeep_due: a wave will take its machine down.
        seen_at_s: when this leader first knew of it.
        heard_at_s: when it last answered or reported.
        answered_at_s: when it last answered an order or a poll. Reports don't
            count: a worker that can't be reached may still report.
        answer_times: how long it takes to answer orders.
        unanswered_polls: polls without an answer since the last one with one.
        suspect_since_s: when it was found not to answer, or None.
        poll_lost_at_s: time since which its lists may lack an end, as the
            answer to a poll was lost, or None.
        sequence: number of its newest report.
        reported_at_s: when that arrived, or -infinity before a leader's
            first one.
        is_room_stale: whether its room may have changed while it was silent.
        successor: key of a later incarnation at the same name or address,
            or ''.
        proposed_end: highest number of its run ends that was proposed.
        granted_at_s: when the newest lease grant was sent.
        is_over: a record that declares it over was proposed.
        paused_until_s: time before which it gets no new run, after a refusal
            or a restart.
        left_at_s: when it announced that it ends now, or infinity.
        refused_at_s: when the newest poll was sent whose connection its
            address refused, or -infinity.
        unassigned: names of runs that it lists and that are not assigned to
            it.
        failure_streak: failures since the last success.
        failed_at_s: when the newest of them was counted.
        quarantined_until_s: time before which a failing worker gets no probe.
        slowness: smoothed ratio of run time to estimate.
        blocked_runs: runs of which a start may come late that it must refuse
            and has not confirmed yet, by run name.
        blocks_sent_at_s: when the orders for blocked_runs were last sent.
        blocked_at_s: when it last confirmed one of blocked_runs, or None.
        listed_clock_ms: its clock in its newest lists, or None.
        listed_at_s: when its newest lists were received.
        listed_poll_at_s: when the latest poll for such lists was sent.
        is_list_due: the next poll must not wait for a run to end.
        polls: its polls without an answer.
        former_orders_until_s: time until which it may carry out what earlier
            leaders have ordered of an earlier incarnation, or -infinity.
        observer: learns of its runs while this incarnation may run something;
            set by the IncarnationTable.
    """

    def __init__(self, facts: state.WorkerFacts, now_s: float) -> None:
        self.facts = facts
        self.room = facts.room
        self.proposed_room = facts.room
        self.runs: dict[str, RunView] = {}
        self.free_cpu = facts.room.cpu_millicores
        self.free_memory = facts.room.memory_mb
        self.free_gpu = facts.room.gpu_count
        self.is_read = False
        self.fence = 0
        self.has_fence = False
        self.is_draining = False
        self.is_reserved = False
        self.is_upkeep_due = False
        self.seen_at_s = now_s
        self.heard_at_s = now_s
        self.answered_at_s = float('-inf')
        self.answer_times = _answer_times.AnswerTimes()
        self.unanswered_polls = 0
        self.suspect_since_s: float | None = None
        self.poll_lost_at_s: float | None = None
        self.sequence = -1
        self.reported_at_s = now_s
        self.is_room_stale = False
        self.successor = ''
        self.proposed_end = 0
        self.granted_at_s = float('-inf')
        self.is_over = False
        self.paused_until_s = float('-inf')
        self.left_at_s = float('inf')
        self.refused_at_s = float('-inf')
        self.unassigned: frozenset[str] = frozenset()
        self.blocked_runs: dict[str, state.RunKey] = {}
        self.blocks_sent_at_s = float('-inf')
        self.blocked_at_s: float | None = None
        self.listed_clock_ms: int | None = None
        self.listed_at_s = float('-inf')
        self.listed_poll_at_s = float('-inf')
        self.is_list_due = False
        self.polls = _open_polls.OpenPolls()
        self.former_orders_until_s = float('-inf')
        self._grant_number = 0
        self._open_grants: dict[int, float] = {}
        self._lease_taken_at_s = float('-inf')
        self._mix_up_lease_end_s = float('-inf')
        # Until the first lists are read, grants that earlier leaders sent
        # up to this time may still take effect.
        self._unread_since_s: float | None = now_s
        self._clock_offset_ms: float | None = None
        self.failure_streak = 0
        self.failed_at_s = float('-inf')
        self.quarantined_until_s = float('-inf')
        self.slowness = 1.0
        # Runs that were assigned while it is failing.
        self._probes: dict[str, RunView] = {}
        self.observer: RunObserver | None = None
        self._isolated: dict[str, RunView] = {}
        # Placement asks for these counts for each worker and waiting step.
        self._step_counts: dict[tuple[str, str], int] = {}
        self._lasting_count = 0
        # When each held end may be dropped, by its number.
        self._held_ends: dict[int, float] = {}

    @property
    def key(self) -> str:
        """Key of this incarnation, stored as `life_key`."""
        return self.facts.key

    def is_usable(self, now_s: float) -> bool:
        """Tell whether new runs may be assigned to this worker."""
        return (
            self.is_read
            and not self.is_draining
            and not self.is_reserved
            and not self.is_over
            and self.suspect_since_s is None
            and not self.successor
            and not self.unassigned
            # One of them may still start here, and take room.
            and not self.blocked_runs
            and not self.may_stop_unlisted
            and now_s < self.heard_at_s + SILENCE_S
            and now_s >= self.paused_until_s
            and not self.is_isolated
            and not self.is_room_stale
        )

    @property
    def is_leaving(self) -> bool:
        """Whether it announced that it ends now.

        Orders name the worker, so a later incarnation under its name would
        carry out a start that is sent after that.
        """
        return self.left_at_s < float('inf')

    @property
    def is_gone(self) -> bool:
        """Whether nobody listens at its address since it said that it leaves.

        Without an acknowledgement it goes on for some seconds, so a poll that
        fails in any other way may mean that it is cut off.
        """
        return self.refused_at_s > self.left_at_s

    @property
    def may_stop_unlisted(self) -> bool:
        """Whether a blocked run may be stopping there without being listed.

        It may have begun after the newest lists, and before the order to
        refuse it, which stops it then.
        """
        blocked_at_s = self.blocked_at_s
        return (
            blocked_at_s is not None and blocked_at_s >= self.listed_poll_at_s
        )

    @property
    def is_isolated(self) -> bool:
        """Whether it is kept for a run that may crash it."""
        return any(
            self.survived_s(run) < run.isolated_s
            for run in self._isolated.values()
        )

    def survived_s(self, run: RunView) -> float:
        """Return how long the worker is known to have survived a run."""
        if run.phase is not RunPhase.RUNNING or not run.started_at_s:
            return 0.0
        return self.heard_at_s - run.started_at_s

    @property
    def is_vacant(self) -> bool:
        """Whether no run would be suspected if it crashed now."""
        return not any(map(self._is_unsettled, self.runs.values()))

    def unsettled_runs(self) -> list[RunView]:
        """Return the runs that are suspected if the worker crashes now."""
        return [run for run in self.runs.values() if self._is_unsettled(run)]

    def _is_unsettled(self, run: RunView) -> bool:
        return self.survived_s(run) < max(SETTLED_S, run.isolated_s)

    def fits(self, step: state.StepSpec, task_count: int = 1) -> bool:
        """Tell whether a number of tasks of a step fit at the same time."""
        return (
            counted_cpu(step) * task_count <= self.free_cpu
            and step.room.memory_mb * task_count <= self.free_memory
            and step.room.gpu_count * task_count <= self.free_gpu
        )

    def change_room(self, room: state.Room) -> None:
        """Follow a change of its capacity; free room may become negative."""
        former, self.room = self.room, room
        self.free_cpu += room.cpu_millicores - former.cpu_millicores
        self.free_memory += room.memory_mb - former.memory_mb
        self.free_gpu += room.gpu_count - former.gpu_count

    @property
    def is_overcommitted(self) -> bool:
        """Whether its runs need more than its capacity, which has shrunk."""
        return min(self.free_cpu, self.free_memory, self.free_gpu) < 0

    def add_run(self, run: RunView) -> None:
        """Add a run and reserve its room."""
        if run.key.name not in self.runs:
            self.runs[run.key.name] = run
            if run.isolated_s:
                self._isolated[run.key.name] = run
            if self.is_failing:
                self._probes[run.key.name] = run
            self._change_use(run, 1)
            if self.observer is not None:
                self.observer.add_run(run)

    def remove_run(self, name: str) -> RunView | None:
        """Remove a run and free its room."""
        run = self.runs.pop(name, None)
        if run is not None:
            self._isolated.pop(name, None)
            self._probes.pop(name, None)
            self._change_use(run, -1)
            if self.observer is not None:
                self.observer.remove_run(run)
        return run

    def ran_s(self, run: RunView) -> float | None:
        """Return a run's run time at the newest lists, or None if unknown.

        It is measured on the worker's own clock, so lists that arrive or are
        processed late don't make a run look longer than it is.
        """
        if run.started_clock_ms is None or self.listed_clock_ms is None:
            return None
        return (self.listed_clock_ms - run.started_clock_ms) / 1000

    def hold_end(self, number: int, now_s: float) -> None:
        """Keep an end at the worker while a start of its run may be sent.

        If the worker restarts under its name, it may carry out that start. A
        run must not begin after its end was dropped.
        """
        self._held_ends[number] = now_s + MAX_SEND_DELAY_S

    def has_held_ends(self, now_s: float) -> bool:
        """Tell whether ends are held, and forget those that no longer are."""
        self._held_ends = {
            number: until_s
            for number, until_s in self._held_ends.items()
            if now_s < until_s
        }
        return bool(self._held_ends)

    def last_end_to_drop(self, noted_end: int, now_s: float) -> int:
        """Return the number up to which the worker may drop its ends.

        Args:
            noted_end: highest number of an end that is committed.
            now_s: the leader's clock.
        """
        if not self.has_held_ends(now_s):
            return noted_end
        return min(noted_end, min(self._held_ends) - 1)

    def is_newer_list(self, clock_ms: int | None, sent_at_s: float) -> bool:
        """Tell whether lists are newer than the newest ones so far.

        Answers to polls that overlap may overtake each other. Lists are newer
        if the worker's clock in them is later, or if their poll was sent
        after the newest lists were received.
        """
        if sent_at_s >= self.listed_at_s:
            return True
        if clock_ms is None or self.listed_clock_ms is None:
            return False
        return clock_ms > self.listed_clock_ms

    def is_grant_due(self, now_s: float, interval_s: float) -> bool:
        """Tell whether a poll should renew the lease.

        That is so as well if the newest grant has no answer, and the last one
        that has is old enough.
        """
        if now_s >= self.granted_at_s + interval_s:
            return True
        return (
            now_s >= self._lease_taken_at_s + interval_s
            and now_s >= self.granted_at_s + _open_polls.OVERDUE_S
        )

    def update_clock(self, clock_ms: int | None, received_at_s: float) -> None:
        """Estimate the worker's clock from a reading of it, if there is one.

        The reading is older than its receipt, so the estimate is ahead of the
        worker's clock by no more than the drift between the clocks.
        """
        if clock_ms is not None:
            self._clock_offset_ms = clock_ms - received_at_s * 1000

    def clock_ms(self, now_s: float) -> int | None:
        """Return the worker's estimated clock, or None before a reading."""
        if self._clock_offset_ms is None:
            return None
        return int(now_s * 1000 + self._clock_offset_ms)

    def is_clock_foreign(self, clock_ms: int | None, now_s: float) -> bool:
        """Tell whether a reading must be from another incarnation's clock."""
        expected_ms = self.clock_ms(now_s)
        if clock_ms is None or expected_ms is None:
            return False
        return clock_ms < expected_ms - CLOCK_TOLERANCE_MS

    def open_grant(self, now_s: float, lease_s: float = LEASE_S) -> int:
        """Register a lease grant that is about to be sent.

        Args:
            now_s: the leader's clock.
            lease_s: longest lease that the worker may take from the order.

        Returns:
            The number of the grant.
        """
        self.granted_at_s = now_s
        self._grant_number += 1
        late_s = MAX_SEND_DELAY_S + MAX_ORDER_DELAY_S
        end_s = now_s + late_s + lease_s / WORKER_CLOCK_RATIO
        self._open_grants[self._grant_number] = end_s
        return self._grant_number

    def raise_lease_end(self, now_s: float) -> None:
        """Raise the assumed lease end after a possible mix-up of incarnations.

        An order may have reached another incarnation than it was meant for,
        and have granted it up to the longest lease.
        """
        end_s = now_s + MAX_LEASE_S / WORKER_CLOCK_RATIO
        self._mix_up_lease_end_s = max(self._mix_up_lease_end_s, end_s)

    def close_grant(
        self, number: int, now_s: float, *, is_taken: bool
    ) -> None:
        """Close an answered grant.

        Args:
            number: number of the grant.
            now_s: the leader's clock.
            is_taken: whether the worker took the lease.
        """
        if self._open_grants.pop(number, None) is None:
            return
        if is_taken:
            self._lease_taken_at_s = now_s

    def withdraw_grant(self, number: int) -> None:
        """Drop a grant that was not sent, so that the next is due at once."""
        if self._open_grants.pop(number, None) is not None:
            self.granted_at_s = float('-inf')

    def mark_read(self, now_s: float) -> None:
        """Record that the lists were read under this leader's fence.

        From now on the worker refuses delayed orders of earlier leaders, but
        it keeps any lease granted before. One that was meant for an earlier
        incarnation may be the longest; this leader doesn't know of it.
        """
        if self._unread_since_s is not None:
            self._lease_taken_at_s = max(self._lease_taken_at_s, now_s)
        if not self.is_read:
            self.raise_lease_end(min(now_s, self.former_orders_until_s))
        self.is_read = True
        self.unanswered_polls = 0
        self._unread_since_s = None
        self.mark_responsive(now_s)

    def lease_ends_at_s(self) -> float:
        """Return the time from which the lease has certainly expired."""
        return self.find_lease_end()[0]

    def find_lease_end(self) -> tuple[float, str]:
        """Return when the lease has certainly expired, and what decides that.

        That is 'taken' for the newest grant that was answered, 'open_grant'
        for one that was not, 'mix_up' for one that another incarnation may
        have taken, or 'unread' for one of an earlier leader.
        """
        lease_s = LEASE_S / WORKER_CLOCK_RATIO
        ends = [
            (self._lease_taken_at_s + lease_s, 'taken'),
            (self._mix_up_lease_end_s, 'mix_up'),
        ]
        ends += [(end_s, 'open_grant') for end_s in self._open_grants.values()]
        if self._unread_since_s is not None:
            late_s = MAX_SEND_DELAY_S + MAX_ORDER_DELAY_S
            ends.append((self._unread_since_s + late_s + lease_s, 'unread'))
        return max(ends)

    def mark_responsive(self, now_s: float) -> None:
        """Record an answer of the worker, which is suspect no longer."""
        self.heard_at_s = max(self.heard_at_s, now_s)
        self.answered_at_s = max(self.answered_at_s, now_s)
        if self.suspect_since_s is not None:
            silent_s = now_s - self.suspect_since_s
            is_new = self.reported_at_s == float('-inf')
            if is_new or (
                silent_s >= STALE_SILENCE_S
                and now_s >= self.reported_at_s + SILENCE_S
            ):
                self.is_room_stale = True
        self.suspect_since_s = None

    def mark_reported(self, sequence: int, now_s: float) -> None:
        """Record a report, which tells the room that it has now."""
        self.sequence = sequence
        self.reported_at_s = self.heard_at_s = now_s
        self.is_room_stale = False

    def is_silent(self, now_s: float) -> bool:
        """Tell whether an unanswered order or poll makes the worker suspect.

        One alone may be lost while the worker answers others.
        """
        return (
            now_s >= self.answered_at_s + UNANSWERED_S
            or self.unanswered_polls >= MAX_UNANSWERED_POLLS
        )

    def note_lost_poll(self, sent_at_s: float) -> None:
        """Record that the answer to a poll is lost, and when it was sent.

        Ends before the poll of the newest lists have been noted already.
        """
        if sent_at_s > self.polls.answered_sent_at_s:
            since_s = self.poll_lost_at_s
            if since_s is None or sent_at_s < since_s:
                self.poll_lost_at_s = sent_at_s

    def mark_suspect(self, now_s: float) -> None:
        """Mark the worker as suspect after a failed order or poll."""
        if self.suspect_since_s is None:
            self.suspect_since_s = now_s

    def record_failure(self, now_s: float, weight: int = 1) -> None:
        """Count a failed or stalled run, and extend the quarantine."""
        self.failure_streak += weight
        self.failed_at_s = now_s
        excess = self.failure_streak - QUARANTINE_STREAK
        if excess >= 0:
            pause_s = min(QUARANTINE_MIN_S * 2**excess, QUARANTINE_MAX_S)
            self.quarantined_until_s = now_s + pause_s

    def record_success(self, run_ratio: float | None) -> None:
        """Count a successful run, which ends a quarantine.

        Args:
            run_ratio: ratio of its run time to its estimate, or None.
        """
        self.failure_streak = 0
        self._probes.clear()
        if run_ratio is not None:
            change = SLOW_SMOOTHING * (run_ratio - self.slowness)
            self.slowness += change

    @property
    def is_failing(self) -> bool:
        """Whether the worker may get single runs only, as probes."""
        return self.failure_streak >= QUARANTINE_STREAK

    def may_probe(self, now_s: float, *, is_needed: bool = False) -> bool:
        """Tell whether a failing worker may get one run as a probe.

        Runs that it had before it failed are no probes: a lasting one would
        keep it from being tried for good, and a long one for its run time.

        Args:
            now_s: the leader's clock.
            is_needed: whether the run finds no room on other workers.
        """
        is_over = now_s >= self.quarantined_until_s
        if not (is_over or (is_needed and self.is_calm(now_s))):
            return False
        return not any(map(self._is_open_probe, self._probes.values()))

    def is_calm(self, now_s: float) -> bool:
        """Tell whether nothing has failed there for a while."""
        return now_s >= self.failed_at_s + NEEDED_QUARANTINE_S

    def _is_open_probe(self, run: RunView) -> bool:
        return not run.step.is_lasting or self.survived_s(run) < PROBE_S

    def count_runs_of_step(self, job_id: str, step_key: str) -> int:
        """Return how many runs of a step are assigned to this worker."""
        return self._step_counts.get((job_id, step_key), 0)

    @property
    def hosts_lasting(self) -> bool:
        """Whether a lasting task is assigned to this worker."""
        return self._lasting_count > 0

    def _change_use(self, run: RunView, sign: int) -> None:
        """Count a run in the use of the worker's room, or no longer."""
        step = run.step
        self.free_cpu -= sign * counted_cpu(step)
        self.free_memory -= sign * step.room.memory_mb
        self.free_gpu -= sign * step.room.gpu_count
        self._lasting_count += sign * step.is_lasting
        step_name = (run.key.job_id, run.key.step_key)
        count = self._step_counts.get(step_name, 0) + sign
        if count:
            self._step_counts[step_name] = count
        else:
            del self._step_counts[step_name]
