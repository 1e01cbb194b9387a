"""Polls workers for their lists of runs and ends, and handles the lists.

Messages and log events call a poll a look (LookOrder, LookAnswer, `looks=`).
"""

import heapq

from greengagering.coordination.scheduling._causes import StopCause
from greengagering.coordination.scheduling._causes import VoidCause
from greengagering.coordination.scheduling import _incarnations
from greengagering.coordination.scheduling._leader_core import LeaderCore
from greengagering.coordination.scheduling._leader_core import to_ms
from greengagering.coordination.scheduling._wait_ledger import WaitLedger
from greengagering.coordination.workers import find_paces
from greengagering.coordination.workers import GRANT_INTERVAL_S
from greengagering.coordination.workers import is_shared
from greengagering.coordination.workers import LEASE_S
from greengagering.coordination.workers import ListedRun
from greengagering.coordination.workers import LookAnswer
from greengagering.coordination.workers import LookOrder
from greengagering.coordination.workers import OrderOutcome
from greengagering.coordination.workers import POLL_WAIT_S
from greengagering.coordination.workers import RunPhase
from greengagering.coordination.workers import RunView
from greengagering.coordination.workers import SHARED_POLL_WAIT_S
from greengagering.coordination.workers import StopOrder
from greengagering.coordination.workers import WorkerView
from greengagering import state

EARLY_FAILURE_S = 1.0
"""Run time of a lasting task below which its failure is counted against the
worker."""

POLL_SPACING_S = 0.08
"""Delay of the next poll after a worker has listed a run's end while no task
waits for room in its pool, so that one poll fetches ends that are close
together."""

LOSSY_POLL_WAIT_S = 0.3
"""POLL_WAIT_S while answers are lost. A lost poll is found and repeated after
its wait, in which ended runs hold their room."""

LOSSY_GRANT_INTERVAL_S = 0.6
"""GRANT_INTERVAL_S while answers are lost, so that the lease is renewed in
time though several grants in a row are lost."""

MAX_END_GAP = 1_000_000
"""Largest step from the number of a noted end to that of a new one. With the
number of an end that is further off, later ends would not be noted."""

STOP_GRACE_S = 1.0
"""Time after which a stopped run must have ended; workers take 0.9 s at
most."""


class WorkerPoller:
    """Decides when to poll a worker, and handles its lists.

    Attributes:
        ending_counts: number of run ends, by RunEnding value.
    """

    def __init__(
        self,
        core: LeaderCore,
        tracker: _incarnations.IncarnationTracker,
        waits: WaitLedger,
    ) -> None:
        self.ending_counts: dict[str, int] = {}
        self._core = core
        self._tracker = tracker
        self._waits = waits
        self._delayed_polls: dict[str, float] = {}
        # When the answers of sent polls are overdue, soonest first.
        self._overdue: list[tuple[float, str]] = []

    def clear(self) -> None:
        """Discard all delays of polls."""
        self._delayed_polls.clear()
        self._overdue.clear()

    def next_poll(self, life_key: str, now_s: float) -> LookOrder | None:
        """Return the next poll of a worker, or None while none is due.

        A long poll renews no lease: while it is unanswered, the leader would
        not know when the worker's lease ends.
        """
        view = self._core.workers.get(life_key)
        life = self._core.jobs.lives.get(life_key)
        if view is None or life is None or not self._core.is_leading:
            return None
        if view.successor or view.is_over:
            return None
        if not view.is_read and now_s < view.paused_until_s:
            return self._next_fence_poll(view, now_s)
        if view.proposed_end > life.noted_end:
            return None
        if now_s < self._delayed_polls.get(life_key, now_s):
            return None
        is_idle = not (view.runs or view.unassigned or view.may_stop_unlisted)
        if view.is_read and is_idle and view.suspect_since_s is None:
            return None
        order = self._create_poll(view, life, now_s)
        is_long = order.wait_ms > 0
        return order if view.polls.may_send(now_s, is_long=is_long) else None

    def _next_fence_poll(
        self, view: WorkerView, now_s: float
    ) -> LookOrder | None:
        """Return a poll that gives a restarted worker its fence, if due.

        Without that it carries out what was sent to earlier processes under
        its name, by former leaders too. It is too early for its lists to
        count.
        """
        if view.has_fence:
            return None
        if not view.polls.may_send(now_s, is_long=False):
            return None
        return LookOrder(view.facts, view.fence, 0, 0, 0)

    def _create_poll(
        self, view: WorkerView, life: state.WorkerLife, now_s: float
    ) -> LookOrder:
        """Return the poll that is due.

        While its answers are overdue, a worker is polled without waiting, and
        gets no lease, which would delay its end if it has crashed. If answers
        of responsive workers are lost, that alone says nothing about it.
        """
        is_lossy = self._core.expects_losses(view, now_s)
        is_missing = view.polls.is_missing(now_s)
        is_responsive = (
            view.is_read
            and view.suspect_since_s is None
            and (is_lossy or not is_missing)
        )
        until_ms = 0
        clock_ms = view.clock_ms(now_s)
        interval_s = LOSSY_GRANT_INTERVAL_S if is_lossy else GRANT_INTERVAL_S
        # A grant to a worker that is down keeps its runs from other workers
        # for MAX_ORDER_DELAY_S, and an open poll doesn't tell yet.
        is_grant_due = view.is_grant_due(now_s, interval_s) and (
            is_lossy or not view.polls.has_open
        )
        if is_responsive and is_grant_due and clock_ms is not None:
            until_ms = clock_ms + to_ms(LEASE_S)
        wait_ms = 0
        is_list_due = view.is_list_due or is_missing
        if is_responsive and not (until_ms or is_list_due):
            wait_s = LOSSY_POLL_WAIT_S if is_lossy else POLL_WAIT_S
            if is_shared(view):
                wait_s = min(wait_s, SHARED_POLL_WAIT_S)
            wait_ms = to_ms(wait_s)
        # A later incarnation under the same name would drop its own ends up
        # to this number, so it is sent only while this one answers.
        noted_end = 0
        if is_responsive and not is_missing:
            noted_end = view.last_end_to_drop(life.noted_end, now_s)
        return LookOrder(view.facts, view.fence, noted_end, until_ms, wait_ms)

    def open_poll_grant(self, order: LookOrder, now_s: float) -> int:
        """Register a poll about to be sent; return its grant's number or 0."""
        if order.until_ms:
            self._core.sent_grants.note(order, now_s)
        view = self._core.workers.get(order.life.key)
        if view is None:
            return 0
        # The worker may be down, so that few calls are to be made in vain.
        overdue_s = self._core.repeat_after_s(
            view, view.polls.repetitions, now_s
        )
        poll = view.polls.add(order, now_s, overdue_s)
        heapq.heappush(self._overdue, (poll.overdue_at_s, view.key))
        return view.open_grant(now_s) if order.until_ms else 0

    def handle_poll_answer(
        self,
        order: LookOrder,
        grant: int,
        answer: LookAnswer,
        sent_at_s: float,
        now_s: float,
    ) -> None:
        """Handle a worker's answer to a poll, or a missing answer.

        Args:
            order: the poll.
            grant: number of its lease grant, or 0.
            answer: the lists, or why there are none.
            sent_at_s: when the poll was sent, on the leader's clock.
            now_s: the leader's clock.
        """
        if answer.outcome is not OrderOutcome.NO_ANSWER or answer.is_refused:
            self._core.sent_grants.close(order)
        is_other = answer.born_ms not in (None, order.life.born_ms)
        if is_other and order.until_ms:
            self._core.note_mixed_grant(order.life.worker_id, now_s)
        view = self._core.workers.get(order.life.key)
        if view is None or order.term != self._core.fence:
            return
        view.polls.remove(order, sent_at_s)
        if answer.outcome is OrderOutcome.NOT_SENT:
            view.withdraw_grant(grant)
            return
        if not view.is_read and sent_at_s < view.paused_until_s:
            view.has_fence |= answer.outcome is OrderOutcome.DONE
            self._delayed_polls[view.key] = view.paused_until_s
            return
        is_read = answer.outcome is OrderOutcome.DONE
        if grant and answer.outcome is not OrderOutcome.NO_ANSWER:
            view.close_grant(grant, now_s, is_taken=is_read)
        if not is_read:
            if answer.is_refused:
                view.refused_at_s = max(view.refused_at_s, sent_at_s)
            view.note_lost_poll(sent_at_s)
            self._handle_failed_poll(view, answer, sent_at_s, now_s)
            return
        if is_other:
            self._tracker.handle_other_incarnation(view, now_s)
            return
        self._handle_lists(view, answer, sent_at_s, now_s)

    def _handle_lists(
        self,
        view: WorkerView,
        answer: LookAnswer,
        sent_at_s: float,
        now_s: float,
    ) -> None:
        """Handle lists, which may arrive after newer ones."""
        if view.suspect_since_s is not None:
            self._core.log_decision(
                'worker_regained',
                life=view.key,
                silent_s=round(now_s - view.suspect_since_s, 3),
            )
        if view.left_at_s < sent_at_s:
            # It answers a poll that was sent after the notice to leave, so
            # the notice was an earlier incarnation's.
            view.left_at_s = float('inf')
            self._core.log_decision('leave_outdated', life=view.key)
        is_first = not view.is_read
        is_newest = view.is_newer_list(answer.clock_ms, sent_at_s)
        view.is_list_due = False
        if is_newest:
            view.listed_clock_ms = answer.clock_ms
            view.listed_at_s = now_s
            view.listed_poll_at_s = max(view.listed_poll_at_s, sent_at_s)
        for poll in view.polls.find_lost(sent_at_s, now_s):
            view.note_lost_poll(poll.sent_at_s)
        lost_count = view.polls.mark_answered(sent_at_s, now_s)
        self._core.poll_losses.note(lost_count, now_s)
        view.update_clock(answer.clock_ms, now_s)
        view.mark_read(now_s)
        if is_first:
            lease_end_s, lease_source = view.find_lease_end()
            self._core.log_decision(
                'worker_read',
                life=view.key,
                service=view.facts.service,
                running=len(answer.running),
                ended=len(answer.ended),
                clock_ms=answer.clock_ms,
                lease_s=round(lease_end_s - now_s, 3),
                lease_source=lease_source,
            )
            self._tracker.end_displaced(view)
        self._delay_next_poll(view, answer, now_s)
        self._record_ends(view, answer, now_s)
        view.poll_lost_at_s = None
        # Ends are numbered, so an older list repeats only known ones. Its runs
        # may have ended since, or have started since without being listed.
        if is_newest:
            self._reconcile_runs(view, answer, sent_at_s, now_s)
            self._core.orders += find_paces(view, now_s)
        self._core.is_plan_due = True

    def _delay_next_poll(
        self, view: WorkerView, answer: LookAnswer, now_s: float
    ) -> None:
        """Delay the next poll unless tasks wait for room in the pool.

        While ends are held, the worker lists them again at once.
        """
        is_room_short = view.facts.service in self._core.short_services
        is_repeated = view.has_held_ends(now_s)
        if answer.ended and (is_repeated or not is_room_short):
            self._delayed_polls[view.key] = now_s + POLL_SPACING_S

    def release_delayed_polls(self, now_s: float) -> None:
        """Make polls whose delay has passed candidates again."""
        due = [k for k, at_s in self._delayed_polls.items() if at_s <= now_s]
        for key in due:
            del self._delayed_polls[key]
            self._core.poll_candidates.add(key)
        while self._overdue and self._overdue[0][0] <= now_s:
            _, key = heapq.heappop(self._overdue)
            view = self._core.workers.get(key)
            if view is not None and view.polls.is_missing(now_s):
                self._core.poll_candidates.add(key)

    def _handle_failed_poll(
        self,
        view: WorkerView,
        answer: LookAnswer,
        sent_at_s: float,
        now_s: float,
    ) -> None:
        kinds = OrderOutcome
        if answer.outcome is kinds.OTHER_LIFE:
            self._tracker.handle_other_incarnation(view, now_s)
        elif answer.outcome is kinds.FENCED:
            self._core.log_decision('fenced', life=view.key, fence=view.fence)
            view.mark_suspect(now_s)
        elif answer.outcome is kinds.NO_ANSWER:
            if not view.polls.mark_failed(sent_at_s):
                return
            view.unanswered_polls += 1
            if answer.is_refused:
                self._core.mark_suspect(view, now_s, 'look')
            else:
                self._core.handle_no_answer(view, now_s, 'look')
        else:
            self._core.mark_suspect(view, now_s, 'look')

    def _record_ends(
        self, view: WorkerView, answer: LookAnswer, now_s: float
    ) -> None:
        highest = view.proposed_end + MAX_END_GAP
        new_ends = [e for e in answer.ended if e.number > view.proposed_end]
        odd_ends = [e for e in new_ends if e.number > highest]
        if odd_ends:
            self._core.log_decision(
                'ends_implausible',
                life=view.key,
                count=len(odd_ends),
                number=odd_ends[-1].number,
                highest=highest,
            )
            new_ends = [e for e in new_ends if e.number <= highest]
        if not new_ends:
            return
        view.proposed_end = max(e.number for e in new_ends)
        self._core.proposals.append(state.EndsNoted(view.key, tuple(new_ends)))
        for end in new_ends:
            # The worker lists an end only after its room has become free.
            run = view.remove_run(end.key.name)
            self._core.removed_runs.note(end.key.name, f'ended {end.ending}')
            if run is not None and run.is_start_open:
                view.hold_end(end.number, now_s)
            self._record_ending(view, run, end, now_s)

    def _record_ending(
        self,
        view: WorkerView,
        run: RunView | None,
        end: state.RunEnd,
        now_s: float,
    ) -> None:
        ending = str(end.ending)
        self.ending_counts[ending] = self.ending_counts.get(ending, 0) + 1
        ran_s = view.ran_s(run) if run is not None else None
        if run is not None:
            self._waits.note_ended(view, run, now_s)
        if end.ending is state.RunEnding.DONE:
            view.record_success(_run_ratio(run, ran_s))
            work = self._core.index.find(end.key)
            if work is not None and ran_s is not None:
                work.run_times_s.append(ran_s)
            return
        self._core.log_decision(
            'run_ended',
            run=end.key.name,
            life=view.key,
            ending=str(end.ending),
            ran_s=round(ran_s, 3) if ran_s is not None else None,
        )
        if end.ending is state.RunEnding.FAILED:
            is_early = ran_s is None or ran_s < EARLY_FAILURE_S
            if run is None or is_early or not run.step.is_lasting:
                view.record_failure(now_s)
            work = self._core.index.find(end.key)
            if work is not None:
                index = int(end.key.task.rpartition('.')[2])
                work.failed_at.setdefault(index, set()).add(view.key)

    def _reconcile_runs(
        self,
        view: WorkerView,
        answer: LookAnswer,
        sent_at_s: float,
        now_s: float,
    ) -> None:
        """Reconcile the listed runs with the assigned ones."""
        listed = {item.key.name: item for item in answer.running}
        view.unassigned = frozenset(listed.keys() - view.runs.keys())
        for name, item in listed.items():
            run = view.runs.get(name)
            if run is None:
                self._stop_unassigned(view, item)
                continue
            if not run.is_listed:
                run.is_listed = True
                self._core.note_begun(run.key.job_id)
            run.percent = item.percent
            run.figure = item.figure
            run.saved = item.saved
            if run.phase in (RunPhase.ORDERED, RunPhase.UNCERTAIN):
                run.phase = RunPhase.RUNNING
                run.phase_at_s = now_s
                run.started_at_s = now_s
                run.started_clock_ms = answer.clock_ms
                self._waits.note_started(view, run, now_s)
                self._stop_if_unwanted(view, run, now_s)
        if not answer.is_complete:
            return
        for run in list(view.runs.values()):
            grace_s = STOP_GRACE_S if run.phase is RunPhase.STOPPED else 0.0
            if run.key.name in listed or run.phase_at_s + grace_s >= sent_at_s:
                continue
            is_confirmed = run.phase in (RunPhase.RUNNING, RunPhase.STOPPED)
            is_from_earlier_leader = (
                run.phase is RunPhase.UNCERTAIN and run.unresolved_starts == 0
            )
            if is_confirmed or is_from_earlier_leader:
                # It neither runs nor has ended, and can't start any more.
                self._core.log_decision(
                    'run_absent',
                    run=run.key.name,
                    life=view.key,
                    look_sent_s_ago=round(now_s - sent_at_s, 3),
                    phase_s=round(now_s - run.phase_at_s, 3),
                )
                self._core.propose_void(view, run, VoidCause.ABSENT)

    def _stop_unassigned(self, view: WorkerView, item: ListedRun) -> None:
        self._core.log_decision(
            'run_stray',
            run=item.key.name,
            life=view.key,
            left=self._core.removed_runs.find(item.key.name),
        )
        self._core.orders.append(StopOrder(view.facts, item.key, view.fence))

    def _stop_if_unwanted(
        self, view: WorkerView, run: RunView, now_s: float
    ) -> None:
        job = self._core.jobs.jobs.get(run.key.job_id)
        if job is None or job.status is not state.JobStatus.ACTIVE:
            self._core.stop_run(view, run, now_s, StopCause.JOB_FINISHED)


def _run_ratio(run: RunView | None, ran_s: float | None) -> float | None:
    """Return the ratio of run time to estimate, or None if unknown.

    A repeated run may resume from saved progress, so its time says nothing.
    """
    if run is None or ran_s is None or run.step.is_lasting:
        return None
    if run.step.estimate_s <= 0 or run.key.run > 1:
        return None
    return ran_s / run.step.estimate_s
