"""Orders to start and stop runs, and workers' answers to them."""

from greengagering.coordination.jobs._leader_core import LeaderCore
from greengagering.coordination.jobs._leader_core import ORDER_RETRY_S
from greengagering.coordination.jobs._leader_core import to_ms
from greengagering.coordination.jobs import _orders as orders
from greengagering.coordination.jobs._successions import Successions
from greengagering.coordination.jobs import _worker_view as worker_view
from greengagering.coordination.jobs._worker_view import RunPhase
from greengagering.coordination.jobs._worker_view import RunView
from greengagering.coordination.jobs._worker_view import WorkerView
from greengagering import state

MAX_START_TRIES = 3
"""Unanswered orders to start a run before it is stopped and given up."""

REFUSAL_PAUSE_S = 0.4
"""Time without new runs for a worker that refused one, for want of room or
health; a third of a usual run time."""

_REFUSALS = (
    orders.OrderOutcome.NO_PERMIT,
    orders.OrderOutcome.NO_ROOM,
    orders.OrderOutcome.UNHEALTHY,
    orders.OrderOutcome.INVALID,
)
"""Answers of a worker that has not started a run and never will."""

_GRANTING = (
    orders.OrderOutcome.DONE,
    orders.OrderOutcome.OLD_RUN,
    orders.OrderOutcome.NO_ROOM,
)
"""Answers of a worker that took the lease of an order to start."""


class RunOrders:
    """Gives orders for committed runs, and gives them again where due."""

    def __init__(self, core: LeaderCore, successions: Successions) -> None:
        self._core = core
        self._successions = successions
        self._retries: list[tuple[float, RunView, WorkerView]] = []
        self._start_waits_s: list[float] = []

    def clear(self) -> None:
        """Forget what was to be ordered again."""
        self._retries.clear()

    def take_start_waits(self) -> list[float]:
        """Return how long started tasks had waited, in seconds, once."""
        taken = self._start_waits_s
        self._start_waits_s = []
        return taken

    def begin_start(self, order: orders.StartOrder, now_s: float) -> int:
        """Note that an order to start is on its way."""
        view = self._core.workers.get(order.life.key)
        if view is None:
            return 0
        return view.begin_grant(now_s, worker_view.LONGEST_LEASE_S)

    def note_order(
        self,
        order: orders.Order,
        grant: int,
        answer: orders.OrderAnswer,
        now_s: float,
    ) -> None:
        """Take a worker's answer to an order, or the lack of one."""
        view = self._core.workers.get(order.life.key)
        if view is None or order.fence != self._core.fence:
            return
        if answer.outcome is orders.OrderOutcome.NOT_SENT:
            view.withdraw_grant(grant)
            self.note_unsent(order, now_s)
        else:
            self._take_answer(view, order, grant, answer, now_s)

    def _take_answer(
        self,
        view: WorkerView,
        order: orders.Order,
        grant: int,
        answer: orders.OrderAnswer,
        now_s: float,
    ) -> None:
        outcome = answer.outcome
        run = view.runs.get(order.key.name)
        if view.is_clock_of_other(answer.clock_ms, now_s):
            view.note_other_life(now_s)
            if run is not None and run.phase is RunPhase.ORDERED:
                run.phase = RunPhase.UNCERTAIN
                run.phase_at_s = now_s
                run.tries += 1
            self._successions.note_other_life(view, now_s)
            if run is not None:
                # The life may be the same, and its answer only late.
                self._retry_later(view, run, now_s)
            return
        if outcome is not orders.OrderOutcome.NO_ANSWER:
            view.note_clock(answer.clock_ms, now_s)
        match order:
            case orders.StartOrder():
                self._settle_start(view, run, grant, answer, now_s)
            case orders.PaceOrder():
                if outcome is not orders.OrderOutcome.DONE and run is not None:
                    # The next reading of the lists orders it again.
                    run.ordered_percent = None
            case orders.StopOrder():
                self._note_stop(view, order, run, outcome, now_s)
        if outcome is orders.OrderOutcome.NO_ANSWER:
            self._core.suspect(view, now_s, 'order')

    def note_unsent(self, order: orders.Order, now_s: float) -> None:
        """An order was not sent, as the lease was lost before.

        This replica may have its lease again in the same term, and then
        nobody else decides on the run.
        """
        view = self._core.workers.get(order.life.key)
        run = view.runs.get(order.key.name) if view is not None else None
        if view is None or run is None or order.fence != self._core.fence:
            return
        self._core.decide('order_unsent', run=run.key.name, life=view.key)
        if isinstance(order, orders.PaceOrder):
            run.ordered_percent = None
        else:
            self._retry_later(view, run, now_s)

    def _settle_start(
        self,
        view: WorkerView,
        run: RunView | None,
        grant: int,
        answer: orders.OrderAnswer,
        now_s: float,
    ) -> None:
        outcome = answer.outcome
        if grant and outcome is not orders.OrderOutcome.NO_ANSWER:
            is_granted = outcome in _GRANTING
            view.settle_grant(grant, now_s, is_carried_out=is_granted)
        if run is not None:
            self._note_start(view, run, answer, now_s)

    def _note_stop(
        self,
        view: WorkerView,
        order: orders.StopOrder,
        run: RunView | None,
        outcome: orders.OrderOutcome,
        now_s: float,
    ) -> None:
        is_done = outcome is orders.OrderOutcome.DONE
        if is_done:
            view.poisons.pop(order.key.name, None)
        if run is None:
            return
        if is_done:
            run.phase = RunPhase.STOPPED
            run.phase_at_s = now_s
            self._core.woken.add(view.key)
        else:
            self._retry_later(view, run, now_s)

    def _order_start(
        self, view: WorkerView, run: RunView, now_s: float
    ) -> None:
        job = self._core.jobs.jobs[run.key.job_id]
        clock_ms = view.clock_ms(now_s)
        if view.successor:
            return
        if clock_ms is None:
            self._retry_later(view, run, now_s)
            return
        task = job.tasks[run.key.task]
        work = self._core.index.find(run.key)
        permit = ''
        if work is not None and job.queue.advice is not None:
            permit = self._core.adviser.permit(work, view.key)
        self._core.orders.append(
            orders.StartOrder(
                life=view.facts,
                key=run.key,
                text=job.spec.text,
                until_ms=clock_ms + to_ms(worker_view.LEASE_S),
                fence=self._core.fence,
                saved=task.saved if run.step.saves_progress else '',
                permit=permit,
            )
        )
        self._core.woken.add(view.key)

    def _note_start(
        self,
        view: WorkerView,
        run: RunView,
        answer: orders.OrderAnswer,
        now_s: float,
    ) -> None:
        kinds = orders.OrderOutcome
        outcome, clock_ms = answer.outcome, answer.clock_ms
        if outcome is kinds.DONE:
            if run.phase in (RunPhase.ORDERED, RunPhase.UNCERTAIN):
                run.phase = RunPhase.RUNNING
                run.phase_at_s = now_s
                run.started_at_s = now_s
                run.started_clock_ms = clock_ms
                work = self._core.index.find(run.key)
                if work is not None and run.key.run == 1:
                    self._start_waits_s.append(now_s - work.since_s)
            view.note_heard(now_s)
            return
        self._core.decide(
            'start_refused',
            run=run.key.name,
            life=view.key,
            outcome=str(outcome),
        )
        if outcome in _REFUSALS:
            self._note_refusal(view, run, outcome, now_s)
        elif outcome in (kinds.OLD_RUN, kinds.OTHER_LIFE):
            run.phase = RunPhase.STOPPED
            run.phase_at_s = now_s
            self._core.woken.add(view.key)
        elif outcome is not kinds.FENCED:
            run.tries += 1
            if run.phase is RunPhase.ORDERED:
                run.phase = RunPhase.UNCERTAIN
                run.phase_at_s = now_s
            self._retry_later(view, run, now_s)

    def _note_refusal(
        self,
        view: WorkerView,
        run: RunView,
        outcome: orders.OrderOutcome,
        now_s: float,
    ) -> None:
        """The worker has done nothing; the run number is not used again.

        That holds for this order: an earlier one without an answer may have
        been carried out, or may be yet, until the run is stopped there.
        """
        if outcome is orders.OrderOutcome.NO_PERMIT:
            work = self._core.index.find(run.key)
            if work is not None:
                self._core.adviser.drop_permit(work, view.key)
        else:
            view.note_failure(now_s)
            view.blocked_until_s = now_s + REFUSAL_PAUSE_S
        if run.tries:
            self._core.stop_run(view, run, now_s)
        else:
            self._core.void(view, run)

    def _retry_later(
        self, view: WorkerView, run: RunView, now_s: float
    ) -> None:
        self._retries.append((now_s + ORDER_RETRY_S, run, view))

    def retry_due(self, now_s: float) -> None:
        if not self._retries:
            return
        due = [item for item in self._retries if item[0] <= now_s]
        self._retries = [item for item in self._retries if item[0] > now_s]
        for _, run, view in due:
            if view.runs.get(run.key.name) is not run:
                continue
            if view.suspect_since_s is not None:
                self._retry_later(view, run, now_s)
                continue
            self._retry_order(view, run, now_s)

    def _retry_order(
        self, view: WorkerView, run: RunView, now_s: float
    ) -> None:
        if run.phase is RunPhase.STOPPING:
            self._core.order_stop(view, run)
        elif run.phase in (RunPhase.ORDERED, RunPhase.UNCERTAIN):
            job = self._core.jobs.jobs.get(run.key.job_id)
            is_active = (
                job is not None and job.status is state.JobStatus.ACTIVE
            )
            if not is_active or run.tries >= MAX_START_TRIES:
                self._core.stop_run(view, run, now_s)
            else:
                self._order_start(view, run, now_s)

    def note_allotted(
        self, key: state.RunKey, life_key: str, now_s: float
    ) -> None:
        """Send the order for a run that is committed now."""
        self._core.index.note_allotted(key)
        view = self._core.workers.get(life_key)
        job = self._core.jobs.jobs.get(key.job_id)
        run = view.runs.get(key.name) if view is not None else None
        if view is None or run is None or job is None:
            return
        if run.phase is not RunPhase.ORDERED:
            return
        if job.status is not state.JobStatus.ACTIVE:
            self._core.void(view, run)
            return
        self._order_start(view, run, now_s)
