"""Sends orders to start and stop runs, and handles workers' answers."""

from greengagering.coordination.entries._retry_budget import RetryBudget
from greengagering.coordination.scheduling._causes import StopCause
from greengagering.coordination.scheduling._causes import VoidCause
from greengagering.coordination.scheduling import _incarnations
from greengagering.coordination.scheduling._late_starts import LateStartGuard
from greengagering.coordination.scheduling._late_starts import LEASE_TAKEN
from greengagering.coordination.scheduling._leader_core import LeaderCore
from greengagering.coordination.scheduling._leader_core import ORDER_RETRY_S
from greengagering.coordination.scheduling._leader_core import to_ms
from greengagering.coordination.scheduling._wait_ledger import WaitLedger
from greengagering.coordination.workers import handle_pace_answer
from greengagering.coordination.workers import LEASE_S
from greengagering.coordination.workers import MAX_LEASE_S
from greengagering.coordination.workers import MAX_REPEAT_S
from greengagering.coordination.workers import Order
from greengagering.coordination.workers import OrderAnswer
from greengagering.coordination.workers import OrderOutcome
from greengagering.coordination.workers import OrderTimes
from greengagering.coordination.workers import PaceOrder
from greengagering.coordination.workers import RunPhase
from greengagering.coordination.workers import RunView
from greengagering.coordination.workers import StartOrder
from greengagering.coordination.workers import StopOrder
from greengagering.coordination.workers import WorkerView
from greengagering import state

_UNSETTLED = (RunPhase.ORDERED, RunPhase.UNCERTAIN, RunPhase.STOPPING)
"""Phases of runs whose newest order may have to be sent again."""

MAX_UNRESOLVED_STARTS = 6
"""Unresolved start orders (see RunView) after which the run is stopped
instead. They take up to 2 s; a run that is stopped starts elsewhere only once
its end is known, which takes about as long, so with fewer a run is given up
where the next sending would mostly be answered."""

REPEAT_SHARE = 0.25
"""Orders that may be sent again while their earlier sending may still be
answered, as a share of first sendings: above the share of lost answers that is
common, and far below what would keep an overload going."""

HOLD_S = 0.1
"""Time after which a repetition that was put off is tried again."""

REFUSAL_PAUSE_S = 0.4
"""Time without new runs for a worker that has refused one for lack of room or
as unhealthy; a third of a usual run time."""

_REFUSALS = (
    OrderOutcome.NO_PERMIT,
    OrderOutcome.NO_ROOM,
    OrderOutcome.UNHEALTHY,
    OrderOutcome.INVALID,
)
"""Outcomes that prove that this start order was not carried out, and by which
the run is voided, or stopped if an earlier order may have started it."""


class RunOrders:
    """Queues orders for committed runs, and repeats them.

    An order is sent again soon, while the earlier sending may still be
    answered: an answer that is only slow still counts, and a lost one costs
    no more than the time that answers take. Each sending has its own grant
    and its own answer.
    """

    def __init__(
        self,
        core: LeaderCore,
        tracker: _incarnations.IncarnationTracker,
        late_starts: LateStartGuard,
        waits: WaitLedger,
    ) -> None:
        self._core = core
        self._tracker = tracker
        self._late_starts = late_starts
        self._waits = waits
        # When the order of a run is sent again, by the run's name.
        self._retries: dict[str, tuple[float, RunView, WorkerView]] = {}
        self._start_waits_s: list[float] = []
        self._times = OrderTimes()
        self._repeat_budget = RetryBudget(REPEAT_SHARE)

    def clear(self) -> None:
        """Discard all retries."""
        self._retries.clear()
        self._times = OrderTimes()
        self._repeat_budget = RetryBudget(REPEAT_SHARE)

    def report_times(self, now_s: float) -> None:
        """Log where the orders of the last second spent their time.

        An interval in which every order was answered soon isn't logged.
        """
        if self._times.is_over(now_s):
            if self._times.is_notable:
                self._core.log_decision('orders_timed', **self._times.fields())
            self._times = OrderTimes(began_at_s=now_s)

    def take_start_waits(self) -> list[float]:
        """Return and clear the waiting times of started tasks."""
        taken = self._start_waits_s
        self._start_waits_s = []
        return taken

    def schedule_repetitions(self, orders: list[Order], now_s: float) -> None:
        """Schedule the repetition of orders that are about to be sent."""
        for order in orders:
            view = self._core.workers.get(order.life.key)
            run = view.runs.get(order.key.name) if view is not None else None
            if view is None or run is None or isinstance(order, PaceOrder):
                continue
            if run.sendings:
                self._times.repeated += 1
            else:
                self._repeat_budget.earn()
            repeat_s = self._core.repeat_after_s(view, run.sendings, now_s)
            run.sendings += 1
            run.sent_at_s = now_s
            self._retries[run.key.name] = (now_s + repeat_s, run, view)

    def open_start_grant(self, order: StartOrder, now_s: float) -> int:
        """Register the lease grant of a start order about to be sent.

        Returns:
            The number of the grant, or 0 if the incarnation is over.
        """
        self._core.sent_starts.note(order, now_s)
        view = self._core.workers.get(order.life.key)
        if view is None:
            return 0
        return view.open_grant(now_s, MAX_LEASE_S)

    def handle_order_answer(
        self,
        order: Order,
        grant: int,
        answer: OrderAnswer,
        now_s: float,
        sent_at_s: float | None = None,
    ) -> None:
        """Handle a worker's answer to an order, or a missing answer.

        Args:
            order: the order.
            grant: number of its lease grant, or 0.
            answer: the outcome, which may be NO_ANSWER or NOT_SENT.
            now_s: the leader's clock.
            sent_at_s: when this sending began, or None if unknown.
        """
        view = self._core.workers.get(order.life.key)
        self._late_starts.close_answered(order, answer, view, now_s)
        if view is None or order.term != self._core.fence:
            return
        if sent_at_s is not None:
            self._times.add(answer, now_s - sent_at_s)
        if answer.outcome is OrderOutcome.NOT_SENT:
            view.withdraw_grant(grant)
            self.handle_unsent_order(order, now_s)
            return
        if (
            sent_at_s is not None
            and answer.outcome is not OrderOutcome.NO_ANSWER
        ):
            view.answer_times.add(now_s - sent_at_s)
            self._core.fleet_answer_times.add(now_s - sent_at_s, now_s)
        self._handle_answer(view, order, grant, answer, now_s)

    def _handle_answer(
        self,
        view: WorkerView,
        order: Order,
        grant: int,
        answer: OrderAnswer,
        now_s: float,
    ) -> None:
        outcome = answer.outcome
        run = view.runs.get(order.key.name)
        _note_start_answered(order, run)
        if view.is_clock_foreign(answer.clock_ms, now_s):
            self._handle_foreign_answer(view, order, run, now_s)
            return
        if outcome is not OrderOutcome.NO_ANSWER:
            view.update_clock(answer.clock_ms, now_s)
            view.answered_at_s = max(view.answered_at_s, now_s)
        match order:
            case StartOrder():
                self._handle_start_answer(view, run, grant, answer, now_s)
            case PaceOrder():
                if run is not None:
                    handle_pace_answer(run, order, outcome, now_s)
            case StopOrder():
                self._handle_stop_answer(view, order, run, outcome, now_s)
        if outcome is OrderOutcome.NO_ANSWER:
            self._core.handle_no_answer(view, now_s, 'order')

    def _handle_foreign_answer(
        self,
        view: WorkerView,
        order: Order,
        run: RunView | None,
        now_s: float,
    ) -> None:
        """Handle an answer with the clock of another incarnation.

        The incarnation may be the same, and its answer delayed.
        """
        view.raise_lease_end(now_s)
        if run is not None and isinstance(order, StartOrder):
            run.unresolved_starts += 1
            if run.phase is RunPhase.ORDERED:
                run.phase = RunPhase.UNCERTAIN
                run.phase_at_s = now_s
        self._tracker.handle_other_incarnation(view, now_s)
        if run is not None:
            self._schedule_retry(view, run, now_s)

    def handle_unsent_order(self, order: Order, now_s: float) -> None:
        """Retry an order that was dropped as the leader's lease had expired.

        This replica may regain its lease in the same term, and then no other
        replica takes care of the run.
        """
        self._late_starts.close(order)
        view = self._core.workers.get(order.life.key)
        run = view.runs.get(order.key.name) if view is not None else None
        if view is None or run is None or order.term != self._core.fence:
            return
        _note_start_answered(order, run)
        self._core.log_decision(
            'order_unsent', run=run.key.name, life=view.key
        )
        if isinstance(order, PaceOrder):
            run.ordered_percent = None
        else:
            self._waits.note_unsent(run, now_s)
            self._schedule_retry(view, run, now_s)

    def _handle_start_answer(
        self,
        view: WorkerView,
        run: RunView | None,
        grant: int,
        answer: OrderAnswer,
        now_s: float,
    ) -> None:
        outcome = answer.outcome
        if grant and outcome is not OrderOutcome.NO_ANSWER:
            is_taken = outcome in LEASE_TAKEN
            view.close_grant(grant, now_s, is_taken=is_taken)
        if run is not None:
            self._apply_start_outcome(view, run, answer, now_s)

    def _handle_stop_answer(
        self,
        view: WorkerView,
        order: StopOrder,
        run: RunView | None,
        outcome: OrderOutcome,
        now_s: float,
    ) -> None:
        is_done = outcome is OrderOutcome.DONE
        if is_done and order.key.name in view.blocked_runs:
            del view.blocked_runs[order.key.name]
            view.blocked_at_s = now_s
            view.is_list_due = True
            self._core.poll_candidates.add(view.key)
        if run is None:
            return
        if is_done:
            run.phase = RunPhase.STOPPED
            run.phase_at_s = now_s
            self._core.poll_candidates.add(view.key)
        else:
            self._schedule_retry(view, run, now_s)

    def _order_start(
        self, view: WorkerView, run: RunView, now_s: float
    ) -> None:
        job = self._core.jobs.jobs[run.key.job_id]
        clock_ms = view.clock_ms(now_s)
        if view.successor:
            return
        if clock_ms is None or view.is_leaving:
            self._schedule_retry(view, run, now_s)
            return
        task = job.tasks[run.key.task]
        work = self._core.index.find(run.key)
        permit = ''
        if work is not None and job.queue.advice is not None:
            permit = self._core.permits.permit(work, view.key)
        run.starts_under_way += 1
        self._waits.note_ordered(view, run, now_s)
        self._core.orders.append(
            StartOrder(
                life=view.facts,
                key=run.key,
                text=job.spec.text,
                until_ms=clock_ms + to_ms(LEASE_S),
                fence=view.fence,
                saved=task.saved if run.step.saves_progress else '',
                permit=permit,
            )
        )
        self._core.poll_candidates.add(view.key)

    def _apply_start_outcome(
        self,
        view: WorkerView,
        run: RunView,
        answer: OrderAnswer,
        now_s: float,
    ) -> None:
        kinds = OrderOutcome
        outcome, clock_ms = answer.outcome, answer.clock_ms
        if outcome is kinds.DONE:
            run.has_begun = True
            self._core.note_begun(run.key.job_id)
            if run.phase in (RunPhase.ORDERED, RunPhase.UNCERTAIN):
                run.phase = RunPhase.RUNNING
                run.phase_at_s = now_s
                run.started_at_s = now_s
                run.started_clock_ms = clock_ms
                self._waits.note_started(view, run, now_s)
                self._core.log_once('first_run_started', run=run.key.name)
                work = self._core.index.find(run.key)
                if work is not None and run.key.run == 1:
                    self._start_waits_s.append(now_s - work.ready_since_s)
            view.mark_responsive(now_s)
            return
        # Logged for every outcome but DONE, also where the worker has refused
        # nothing; `outcome` says what happened.
        self._core.log_decision(
            'start_refused',
            run=run.key.name,
            life=view.key,
            outcome=str(outcome),
        )
        if outcome in _REFUSALS:
            self._handle_refusal(view, run, outcome, now_s)
        elif outcome in (kinds.OLD_RUN, kinds.OTHER_LIFE):
            run.phase = RunPhase.STOPPED
            run.phase_at_s = now_s
            self._core.poll_candidates.add(view.key)
        elif outcome is not kinds.FENCED:
            run.unresolved_starts += 1
            if run.phase is RunPhase.ORDERED:
                run.phase = RunPhase.UNCERTAIN
                run.phase_at_s = now_s
            self._schedule_retry(view, run, now_s)

    def _handle_refusal(
        self,
        view: WorkerView,
        run: RunView,
        outcome: OrderOutcome,
        now_s: float,
    ) -> None:
        """Void a refused run, or stop it if an earlier order may take effect.

        A refusal proves only that this order was not carried out. Another
        sending without an answer may have started the run, or may still do so
        until the run is stopped at the worker. If the worker has confirmed or
        listed the run meanwhile, it goes on, or stops: its lists tell when it
        has ended.
        """
        if outcome is OrderOutcome.NO_PERMIT:
            work = self._core.index.find(run.key)
            if work is not None:
                self._core.permits.drop_permit(work, view.key)
        else:
            view.record_failure(now_s)
            view.paused_until_s = now_s + REFUSAL_PAUSE_S
        if run.has_begun or run.is_listed:
            return
        if run.unresolved_starts or run.starts_under_way:
            self._core.stop_run(view, run, now_s, StopCause.UNRESOLVED)
        else:
            self._core.propose_void(view, run, VoidCause.REFUSED)

    def _schedule_retry(
        self, view: WorkerView, run: RunView, now_s: float
    ) -> None:
        """Schedule a run's order, unless its repetition is scheduled."""
        scheduled = self._retries.get(run.key.name)
        if scheduled is None or scheduled[1] is not run:
            due_s = now_s + ORDER_RETRY_S
            self._retries[run.key.name] = (due_s, run, view)

    def retry_due(self, now_s: float) -> None:
        """Send the orders again whose retry delay has passed."""
        due = [key for key, item in self._retries.items() if item[0] <= now_s]
        for key in due:
            _, run, view = self._retries.pop(key)
            if view.runs.get(run.key.name) is not run:
                continue
            if run.phase not in _UNSETTLED:
                continue
            if (
                view.suspect_since_s is not None
                or view.is_room_stale
                or view.is_leaving
            ):
                self._waits.note_suspect(run, now_s)
                self._schedule_retry(view, run, now_s)
                continue
            if not self._may_repeat(run, now_s):
                due_s = min(now_s + HOLD_S, run.sent_at_s + MAX_REPEAT_S)
                self._retries[key] = (due_s, run, view)
                continue
            try:
                self._retry_order(view, run, now_s)
            except Exception:
                self._schedule_retry(view, run, now_s)
                raise

    def _may_repeat(self, run: RunView, now_s: float) -> bool:
        """Tell whether a run's order may be sent again.

        While an earlier sending may still be answered, that takes of the
        budget: under a load that delays answers, repetitions add to it. If
        all other answers come soon, the missing one is lost and not late.
        """
        if now_s >= run.sent_at_s + MAX_REPEAT_S:
            return True
        if self._core.fleet_answer_times.are_soon(now_s):
            return True
        if self._repeat_budget.spend():
            return True
        self._times.held_back += 1
        return False

    def _retry_order(
        self, view: WorkerView, run: RunView, now_s: float
    ) -> None:
        if run.phase is RunPhase.STOPPING:
            self._core.order_stop(view, run)
        elif run.phase in (RunPhase.ORDERED, RunPhase.UNCERTAIN):
            job = self._core.jobs.jobs.get(run.key.job_id)
            is_wanted = job is not None and _is_wanted(job, run.key)
            if run.starts_under_way and self._core.find_withdrawal(view, run):
                # It is withdrawn only if no answer comes.
                self._schedule_retry(view, run, now_s)
            elif not is_wanted:
                self._core.stop_run(view, run, now_s, StopCause.JOB_FINISHED)
            elif self._core.withdraw_start(view, run, now_s):
                return
            elif run.unresolved_starts >= MAX_UNRESOLVED_STARTS:
                self._core.stop_run(view, run, now_s, StopCause.UNRESOLVED)
            else:
                self._order_start(view, run, now_s)

    def order_assigned(
        self, key: state.RunKey, life_key: str, now_s: float
    ) -> None:
        """Order the start of a run whose assignment is committed."""
        self._core.index.mark_committed(key)
        view = self._core.workers.get(life_key)
        job = self._core.jobs.jobs.get(key.job_id)
        run = view.runs.get(key.name) if view is not None else None
        if view is None or run is None or job is None:
            return
        if run.phase is not RunPhase.ORDERED:
            return
        if not _is_wanted(job, key):
            self._core.propose_void(view, run, VoidCause.NOT_ORDERED)
            return
        # The worker or the limit may have changed after it was proposed.
        if not self._core.withdraw_start(view, run, now_s):
            self._order_start(view, run, now_s)


def _is_wanted(job: state.Job, key: state.RunKey) -> bool:
    """Tell whether a run's start may be ordered, or ordered again.

    Its task may be done by the end of an earlier run, which counted as lost.
    """
    task = job.tasks.get(key.task)
    is_done = task is not None and task.is_done
    return job.status is state.JobStatus.ACTIVE and not is_done


def _note_start_answered(order: Order, run: RunView | None) -> None:
    """Count a start order that is answered, unanswered for good or unsent."""
    if run is not None and isinstance(order, StartOrder):
        run.starts_under_way -= 1
