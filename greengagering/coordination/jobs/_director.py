"""The leader's decisions about jobs: runs, worker leases, orders."""

import dataclasses
import math

from greengagering.coordination.jobs._advice import Advice
from greengagering.coordination.jobs._advice import Adviser
from greengagering.coordination.jobs._advice import Question
from greengagering.coordination.jobs._demand import DemandTracker
from greengagering.coordination.jobs._life_book import LifeBook
from greengagering.coordination.jobs import _orders as orders
from greengagering.coordination.jobs import _placement
from greengagering.coordination.jobs._pool_need import PoolNeed
from greengagering.coordination.jobs import _sharing
from greengagering.coordination.jobs import _stalls
from greengagering.coordination.jobs._work_index import StepWork
from greengagering.coordination.jobs._work_index import WorkIndex
from greengagering.coordination.jobs import _worker_view as worker_view
from greengagering.coordination.jobs._worker_view import RunPhase
from greengagering.coordination.jobs._worker_view import RunView
from greengagering.coordination.jobs._worker_view import WorkerView
from greengagering import state

ORDER_RETRY_S = 0.3
"""Pause before an unanswered order is sent again; a few round trips."""

MAX_START_TRIES = 3
"""Unanswered orders to start a run before it is stopped and given up."""

PLAN_INTERVAL_S = 0.25
"""Longest time between two plans, for what time alone changes."""

KEEP_FINISHED_S = 240.0
"""How long a finished job is shown; callers are promised half of it."""

WATCH_INTERVAL_S = 0.2
"""Time between two searches for runs that stand still."""

MAX_STALLS = 2
"""Workers that a task is taken from for standing still; a task that stands
still everywhere is left alone."""

EARLY_FAILURE_S = 1.0
"""Run time of a lasting task below which its failure tells of the worker."""

MAX_RUNS_PER_RECORD = 400
"""Runs in one record, so that one write stays short."""

REBIRTH_PAUSE_S = 0.6
"""Time after which no order that was sent to an earlier life of a worker can
reach the later one; just above the time-out of an order."""

REFUSAL_PAUSE_S = 0.4
"""Time without new runs for a worker that refused one, for want of room or
health; a third of a usual run time."""

LEAVE_GRACE_S = 1.0
"""Time from a worker's notice that it ends now until it has ended."""

LOOK_SPACING_S = 0.08
"""Time from a worker's listed end to the next look at it while nothing waits
for room there, so that ends close together share a look."""

STOP_GRACE_S = 1.0
"""Time in which a stopped run must have ended; workers take 0.9 s at most."""


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """A decision for the log: an event and its fields."""

    event: str
    fields: dict[str, object]


class JobDirector:
    """Decides what runs where, while its replica leads.

    The caller passes in records after their fold, workers' reports and
    answers, and time; it collects records to propose, orders to carry out,
    and decisions to log.
    """

    def __init__(self, jobs: state.JobsState) -> None:
        self.jobs = jobs
        self.fence = 0
        self._lives = LifeBook()
        self.index = WorkIndex()
        self.demand = DemandTracker()
        self.adviser = Adviser()
        self._orders: list[orders.Order] = []
        self._proposals: list[state.JobRecord] = []
        self._decisions: list[Decision] = []
        self.ending_counts: dict[str, int] = {}
        self._start_waits_s: list[float] = []
        self._voiding: dict[str, WorkerView] = {}
        self._woken: set[str] = set()
        self._spaced_looks: dict[str, float] = {}
        self._short_services: set[str] = set()
        self._is_plan_due = False
        self._planned_at_s = float('-inf')
        self._watched_at_s = float('-inf')
        self._finished_at_s: dict[str, float] = {}
        self._retries: list[tuple[float, RunView, WorkerView]] = []
        self._now_s = 0.0
        self._routed_plan: state.RoutePlan | None = None
        self._services: dict[tuple[str, str], str] = {}

    @property
    def workers(self) -> dict[str, WorkerView]:
        """Every life of a worker that may still run something, by key."""
        return self._lives.views

    @property
    def is_leading(self) -> bool:
        """Whether this replica gives orders."""
        return self.fence > 0

    def lead(self, term: int, now_s: float, now_ms: int) -> None:
        """Start from the committed state, without any knowledge of workers."""
        self.retire()
        self.fence = term
        for life in self.jobs.lives.values():
            self._add_worker(life, now_s)
        for job in self.jobs.jobs.values():
            if job.status is state.JobStatus.ACTIVE:
                self.index.add_job(job, now_s, now_ms)
            else:
                self._finished_at_s[job.spec.job_id] = now_s
        self._recall_demand(now_s, now_ms)
        self._is_plan_due = True

    def _recall_demand(self, now_s: float, now_ms: int) -> None:
        """Learn from the jobs at hand in which turns work has come."""
        self.demand = DemandTracker()
        by_age = sorted(
            self.jobs.jobs.values(),
            key=lambda job: job.accepted_at_ms,
        )
        for job in by_age:
            age_s = max(now_ms - job.accepted_at_ms, 0) / 1000
            self._note_demand(job, now_s - age_s)

    def retire(self) -> None:
        """Forget everything that only a leader may act on."""
        self.fence = 0
        self._lives.clear()
        self.index = WorkIndex()
        self.adviser = Adviser()
        self._orders.clear()
        self._proposals.clear()
        self._finished_at_s.clear()
        self._retries.clear()
        self._voiding.clear()
        self._spaced_looks.clear()
        self._short_services.clear()

    def step(self, now_s: float, now_ms: int) -> list[state.JobRecord]:
        """Do what is due, and return the records to propose."""
        self._now_s = now_s
        if not self.is_leading:
            return []
        if self.index.add_due(self.jobs.jobs, now_s, now_ms):
            self._is_plan_due = True
        self._retry_orders(now_s)
        self._wake_spaced(now_s)
        if now_s >= self._watched_at_s + WATCH_INTERVAL_S:
            self._watched_at_s = now_s
            self._end_stalls(now_s)
        if self._is_plan_due or now_s >= self._planned_at_s + PLAN_INTERVAL_S:
            self._is_plan_due = False
            self._planned_at_s = now_s
            self._find_lapsed(now_s)
            self._move_lasting(now_s)
            self._forget_finished(now_s)
            self._plan(now_s)
        return self.take_proposals()

    def take_proposals(self) -> list[state.JobRecord]:
        """Return the records to propose, once."""
        proposals = self._proposals
        self._proposals = []
        return proposals

    def take_orders(self) -> list[orders.Order]:
        """Return the orders to carry out, once."""
        taken = self._orders
        self._orders = []
        return taken

    def take_decisions(self) -> list[Decision]:
        """Return the decisions to log, once."""
        taken = self._decisions
        self._decisions = []
        return taken

    def take_start_waits(self) -> list[float]:
        """Return how long started tasks had waited, in seconds, once."""
        taken = self._start_waits_s
        self._start_waits_s = []
        return taken

    def count_usable(self, now_s: float) -> int:
        """Return how many workers may get runs."""
        return sum(view.is_usable(now_s) for view in self.workers.values())

    def count_waiting(self) -> int:
        """Return how many tasks wait for a worker."""
        return sum(
            len(work.waiting)
            for steps in self.index.steps.values()
            for work in steps.values()
        )

    def take_woken(self) -> set[str]:
        """Return the lives whose next look may be due now, once."""
        taken = self._woken
        self._woken = set()
        return taken

    def note_applied(
        self, record: state.JobRecord, now_s: float, now_ms: int
    ) -> None:
        """Follow a record that was folded into the state just now."""
        if not self.is_leading:
            return
        self._is_plan_due = True
        match record:
            case state.JobAccepted():
                job = self.jobs.jobs[record.spec.job_id]
                if record.spec.job_id not in self.index.steps:
                    self.index.add_job(job, now_s, now_ms)
                    self._note_demand(job, now_s)
            case state.JobCancelled():
                self._note_finished(record.job_id, now_s)
            case state.LifeSeen():
                life = self.jobs.lives.get(record.facts.key)
                if life is not None and record.facts.key not in self.workers:
                    self._add_worker(life, now_s)
            case state.LifeDraining():
                view = self.workers.get(record.life_key)
                if view is not None:
                    view.is_draining = True
            case _:
                self._note_runs_applied(record, now_s)

    def note_report(
        self, report: orders.WorkerReport, now_s: float
    ) -> state.JobRecord | None:
        """Take a worker's report.

        Returns:
            A record to commit before the report is acknowledged, or None.
        """
        key = report.facts.key
        view = self.workers.get(key)
        if view is None:
            if self._lives.is_outdated(report.facts):
                return None
            return state.LifeSeen(report.facts)
        if report.sequence <= view.sequence:
            return None
        view.sequence = report.sequence
        view.note_clock(report.clock_ms, now_s)
        view.heard_at_s = now_s
        if view.suspect_since_s is not None:
            self._woken.add(key)
        if report.is_draining and not self.jobs.lives[key].is_draining:
            view.is_draining = True
            return state.LifeDraining(key)
        return None

    def note_left(self, worker_id: str, now_s: float) -> None:
        """A worker ends now, with everything that runs on it.

        Its notice has no birth, so it holds only for a life that had said
        that it drains: a late one may come after the next life's birth.
        """
        view = self.newest_life(worker_id)
        if view is None or not view.is_draining:
            return
        view.left_at_s = now_s
        self.decide('worker_left', life=view.key, runs=len(view.runs))

    def next_look(
        self, life_key: str, now_s: float
    ) -> orders.LookOrder | None:
        """Return the next look at a worker, or None while none is needed.

        A look that waits grants nothing: unanswered, it would leave open
        until when the worker may go on.
        """
        view = self.workers.get(life_key)
        life = self.jobs.lives.get(life_key)
        if view is None or life is None or not self.is_leading:
            return None
        if view.successor or view.is_over:
            return None
        if not view.is_read and now_s < view.blocked_until_s:
            return None
        if view.proposed_end > life.noted_end:
            return None
        if now_s < self._spaced_looks.get(life_key, now_s):
            return None
        is_idle = not (view.runs or view.strays)
        if view.is_read and is_idle and view.suspect_since_s is None:
            return None
        until_ms = 0
        clock_ms = view.clock_ms(now_s)
        is_sound = view.is_read and view.suspect_since_s is None
        is_grant_due = (
            now_s >= view.granted_at_s + worker_view.GRANT_INTERVAL_S
        )
        if is_sound and is_grant_due and clock_ms is not None:
            until_ms = clock_ms + _to_ms(worker_view.LEASE_S)
        wait_ms = 0
        if is_sound and not (until_ms or view.is_list_due):
            wait_s = worker_view.LOOK_WAIT_S
            if _sharing.is_shared(view):
                wait_s = _sharing.LOOK_S
            wait_ms = _to_ms(wait_s)
        # A later life under the same name would take the number for one of
        # its own ends, so it is sent only while this life answers.
        noted_end = life.noted_end if is_sound else 0
        return orders.LookOrder(
            view.facts, self.fence, noted_end, until_ms, wait_ms
        )

    def begin_look(self, order: orders.LookOrder, now_s: float) -> int:
        """Note that a look is on its way; return the number of its grant."""
        view = self.workers.get(order.life.key)
        if view is None or not order.until_ms:
            return 0
        return view.begin_grant(now_s)

    def note_look(
        self,
        order: orders.LookOrder,
        grant: int,
        answer: orders.LookAnswer,
        sent_at_s: float,
        now_s: float,
    ) -> None:
        """Take a worker's lists, or the lack of them."""
        view = self.workers.get(order.life.key)
        if view is None or order.fence != self.fence:
            return
        if answer.outcome is orders.OrderOutcome.NOT_SENT:
            view.withdraw_grant(grant)
            return
        is_read = answer.outcome is orders.OrderOutcome.DONE
        if grant and answer.outcome is not orders.OrderOutcome.NO_ANSWER:
            view.settle_grant(grant, now_s, is_carried_out=is_read)
        if not is_read:
            self._note_unread(view, answer, now_s)
            return
        if answer.born_ms not in (None, view.facts.born_ms):
            self._note_other_life(view, now_s)
            return
        if view.suspect_since_s is not None:
            self.decide('worker_regained', life=view.key)
        is_first = not view.is_read
        view.is_list_due = False
        view.listed_clock_ms = answer.clock_ms
        view.note_clock(answer.clock_ms, now_s)
        view.note_read(now_s)
        if is_first:
            self.decide(
                'worker_read',
                life=view.key,
                service=view.facts.service,
                running=len(answer.running),
                ended=len(answer.ended),
            )
        self._space_looks(view, answer, now_s)
        self._take_ends(view, answer, now_s)
        self._match_runs(view, answer, sent_at_s, now_s)
        self._orders += _sharing.find_paces(view, self.fence)
        self._is_plan_due = True

    def _space_looks(
        self, view: WorkerView, answer: orders.LookAnswer, now_s: float
    ) -> None:
        """Put the next look off, unless room that it finds is waited for."""
        is_waited_for = view.facts.service in self._short_services
        if answer.ended and not is_waited_for:
            self._spaced_looks[view.key] = now_s + LOOK_SPACING_S

    def _wake_spaced(self, now_s: float) -> None:
        due = [k for k, at_s in self._spaced_looks.items() if at_s <= now_s]
        for key in due:
            del self._spaced_looks[key]
            self._woken.add(key)

    def note_order(
        self,
        order: orders.Order,
        grant: int,
        answer: orders.OrderAnswer,
        now_s: float,
    ) -> None:
        """Take a worker's answer to an order, or the lack of one."""
        view = self.workers.get(order.life.key)
        if view is None or order.fence != self.fence:
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
            self._note_other_life(view, now_s)
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
            self._suspect(view, now_s, 'order')

    def note_unsent(self, order: orders.Order, now_s: float) -> None:
        """An order was not sent, as the lease was lost before.

        This replica may have its lease again in the same term, and then
        nobody else decides on the run.
        """
        view = self.workers.get(order.life.key)
        run = view.runs.get(order.key.name) if view is not None else None
        if view is None or run is None or order.fence != self.fence:
            return
        self.decide('order_unsent', run=run.key.name, life=view.key)
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
            self._woken.add(view.key)
        else:
            self._retry_later(view, run, now_s)

    def begin_start(self, order: orders.StartOrder, now_s: float) -> int:
        """Note that an order to start is on its way."""
        view = self.workers.get(order.life.key)
        if view is None:
            return 0
        return view.begin_grant(now_s, worker_view.LONGEST_LEASE_S)

    def is_wave_done(self, wave: state.WaveState) -> bool:
        """Tell whether every machine of a wave has begun its upkeep."""
        return set(wave.begun) >= set(wave.wave.machines)

    def note_advice(
        self, question: Question, advice: Advice | None, now_s: float
    ) -> None:
        """Take the adviser's answer, or the lack of one."""
        self.adviser.note_advice(question, advice, now_s)
        self.decide(
            'advice_taken',
            step=question.step_name,
            asked=len(question.life_keys),
            allowed=len(advice.permits) if advice is not None else None,
        )
        self._is_plan_due = True

    def newest_life(self, worker_id: str) -> WorkerView | None:
        """Return the view of a worker's latest life, or None."""
        view = self._lives.newest(worker_id)
        return view if view is not None and not view.is_over else None

    def usable_workers(self, job: state.Job) -> list[WorkerView]:
        """Return the workers that a job's tasks may be allotted to."""
        service = self.service_of(job)
        return [
            view
            for view in self.workers.values()
            if view.facts.service == service and view.is_usable(self._now_s)
        ]

    def find_needs(self, now_s: float) -> dict[str, PoolNeed]:
        """Return what the work at hand of each service needs."""
        needs: dict[str, PoolNeed] = {}
        for steps in self.index.steps.values():
            for work in steps.values():
                if work.waiting:
                    service = self.service_of(work.job)
                    need = needs.setdefault(service, PoolNeed())
                    need.add(
                        work.step,
                        len(work.waiting),
                        is_late=work.is_late(now_s),
                    )
        for view in self.workers.values():
            need = needs.setdefault(view.facts.service, PoolNeed())
            for run in view.runs.values():
                its_work = self.index.find(run.key)
                begun_at_s = run.started_at_s or now_s
                is_late = its_work is not None and its_work.is_late(begun_at_s)
                need.add(run.step, 1, is_late=is_late)
        return needs

    def count_pending(self, queue: state.Queue) -> int:
        """Return how many accepted jobs of a queue have not begun."""
        return sum(
            1
            for job in self.jobs.jobs.values()
            if job.status is state.JobStatus.ACTIVE
            and not job.has_started
            and job.queue.host == queue.host
            and job.queue.path_prefix == queue.path_prefix
        )

    def service_of(self, job: state.Job) -> str:
        """Return the service that runs a job by the plan in force."""
        plan = self.jobs.plan
        if plan is not self._routed_plan:
            self._routed_plan = plan
            queues = plan.queues if plan is not None else ()
            self._services = {
                (queue.host, queue.path_prefix): queue.service
                for queue in queues
            }
        place = (job.queue.host, job.queue.path_prefix)
        return self._services.get(place, job.queue.service)

    def _add_worker(self, life: state.WorkerLife, now_s: float) -> None:
        view = WorkerView(life.facts, now_s)
        view.is_draining = life.is_draining
        view.proposed_end = life.noted_end
        self._lives.add(view)
        self._woken.add(view.key)
        for key in life.runs.values():
            step = self._step_of(key)
            if step is not None:
                view.add_run(RunView(key, step, RunPhase.UNCERTAIN, now_s))
        for other in self._lives.related(view.facts):
            if not (other.successor or other.is_over):
                self._succeed(view, other, now_s)

    def _succeed(
        self, view: WorkerView, other: WorkerView, now_s: float
    ) -> None:
        """Settle which of two lives at one name or address is the later."""
        older, newer = sorted((other, view), key=lambda v: v.facts.born_ms)
        older.successor = newer.key
        if older.facts.worker_id != newer.facts.worker_id:
            # Orders name the worker, and the newer one refuses them.
            self.end_life(older, 'address reused')
        elif not newer.is_read:
            newer.blocked_until_s = now_s + REBIRTH_PAUSE_S

    def _step_of(self, key: state.RunKey) -> state.StepSpec | None:
        job = self.jobs.jobs.get(key.job_id)
        return job.spec.steps[key.step_number] if job is not None else None

    def _note_finished(self, job_id: str, now_s: float) -> None:
        """Stop what still runs for a job that has ended."""
        job = self.jobs.jobs.get(job_id)
        if job is None or job.status is state.JobStatus.ACTIVE:
            return
        if job_id in self._finished_at_s:
            return
        self._finished_at_s[job_id] = now_s
        self.index.remove_job(job_id)
        self.adviser.forget_job(job_id)
        self.decide('job_finished', job=job_id, status=str(job.status))
        for task in job.tasks.values():
            for life_key in task.live_runs.values():
                view = self.workers.get(life_key)
                if view is None:
                    continue
                for run in view.runs.values():
                    if run.key.job_id == job_id:
                        self.stop_run(view, run, now_s)

    def _note_demand(self, job: state.Job, now_s: float) -> None:
        core_s = 0.0
        memory_mb_s = 0.0
        for step in job.spec.steps:
            if step.is_lasting or job.spec.first_due_ms:
                continue
            work_s = step.estimate_s * step.task_count
            core_s += step.room.cpu_millicores / 1000 * work_s
            memory_mb_s += step.room.memory_mb * work_s
        if core_s:
            service = self.service_of(job)
            self.demand.note_work(service, core_s, memory_mb_s, now_s)

    def _note_runs_applied(
        self, record: state.JobRecord, now_s: float
    ) -> None:
        match record:
            case state.RunsAllotted():
                for key, life_key in zip(
                    record.runs, record.life_keys, strict=True
                ):
                    self._note_allotted(key, life_key, now_s)
            case state.RunsVoided():
                for key in record.runs:
                    self._drop_run(key)
            case state.EndsNoted():
                for end in record.ends:
                    self._note_end_applied(end, now_s)
                self._woken.add(record.life_key)
            case state.LifeOver():
                view = self._lives.remove(record.life_key)
                if view is not None:
                    for run in view.runs.values():
                        self.index.note_task(run.key)

    def _note_allotted(
        self, key: state.RunKey, life_key: str, now_s: float
    ) -> None:
        """Send the order for a run that is committed now."""
        self.index.note_allotted(key)
        view = self.workers.get(life_key)
        job = self.jobs.jobs.get(key.job_id)
        run = view.runs.get(key.name) if view is not None else None
        if view is None or run is None or job is None:
            return
        if run.phase is not RunPhase.ORDERED:
            return
        if job.status is not state.JobStatus.ACTIVE:
            self._void(view, run)
            return
        self._order_start(view, run, now_s)

    def _order_start(
        self, view: WorkerView, run: RunView, now_s: float
    ) -> None:
        job = self.jobs.jobs[run.key.job_id]
        clock_ms = view.clock_ms(now_s)
        if view.successor:
            return
        if clock_ms is None:
            self._retry_later(view, run, now_s)
            return
        task = job.tasks[run.key.task]
        work = self.index.find(run.key)
        permit = ''
        if work is not None and job.queue.advice is not None:
            permit = self.adviser.permit(work, view.key)
        self._orders.append(
            orders.StartOrder(
                life=view.facts,
                key=run.key,
                text=job.spec.text,
                until_ms=clock_ms + _to_ms(worker_view.LEASE_S),
                fence=self.fence,
                saved=task.saved if run.step.saves_progress else '',
                permit=permit,
            )
        )
        self._woken.add(view.key)

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
                work = self.index.find(run.key)
                if work is not None and run.key.run == 1:
                    self._start_waits_s.append(now_s - work.since_s)
            view.note_heard(now_s)
            return
        self.decide(
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
            self._woken.add(view.key)
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
        """The worker has done nothing; the run number is not used again."""
        if outcome is orders.OrderOutcome.NO_PERMIT:
            work = self.index.find(run.key)
            if work is not None:
                self.adviser.drop_permit(work, view.key)
        else:
            view.note_failure(now_s)
            view.blocked_until_s = now_s + REFUSAL_PAUSE_S
        self._void(view, run)

    def _retry_later(
        self, view: WorkerView, run: RunView, now_s: float
    ) -> None:
        self._retries.append((now_s + ORDER_RETRY_S, run, view))

    def _retry_orders(self, now_s: float) -> None:
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
            self._order_stop(view, run)
        elif run.phase in (RunPhase.ORDERED, RunPhase.UNCERTAIN):
            job = self.jobs.jobs.get(run.key.job_id)
            is_active = (
                job is not None and job.status is state.JobStatus.ACTIVE
            )
            if not is_active or run.tries >= MAX_START_TRIES:
                self.stop_run(view, run, now_s)
            else:
                self._order_start(view, run, now_s)

    def stop_run(self, view: WorkerView, run: RunView, now_s: float) -> None:
        """Order a run to stop, unless it was ordered already."""
        if run.phase in (RunPhase.STOPPING, RunPhase.STOPPED):
            return
        run.phase = RunPhase.STOPPING
        run.phase_at_s = now_s
        self._order_stop(view, run)

    def _order_stop(self, view: WorkerView, run: RunView) -> None:
        self._orders.append(orders.StopOrder(view.facts, run.key, self.fence))

    def _void(self, view: WorkerView, run: RunView) -> None:
        self._voiding[run.key.name] = view
        self._proposals.append(state.RunsVoided((run.key,)))
        run.phase = RunPhase.STOPPED
        run.phase_at_s = math.inf

    def _drop_run(self, key: state.RunKey) -> None:
        view = self._voiding.pop(key.name, None)
        if view is not None:
            view.remove_run(key.name)
        self.index.note_task(key)

    def _note_end_applied(self, end: state.RunEnd, now_s: float) -> None:
        self.index.note_task(end.key)
        job = self.jobs.jobs.get(end.key.job_id)
        if job is None:
            return
        if job.status is not state.JobStatus.ACTIVE:
            self._note_finished(end.key.job_id, now_s)
        elif end.ending is state.RunEnding.DONE:
            step = job.spec.steps[end.key.step_number]
            if step.is_gang:
                for index in range(step.task_count):
                    task = f'{end.key.step_key}.{index}'
                    self.index.note_task(
                        dataclasses.replace(end.key, task=task)
                    )
            self.index.note_progress(end.key, now_s)

    def _note_unread(
        self, view: WorkerView, answer: orders.LookAnswer, now_s: float
    ) -> None:
        kinds = orders.OrderOutcome
        if answer.outcome is kinds.OTHER_LIFE:
            self._note_other_life(view, now_s)
        elif answer.outcome is kinds.FENCED:
            self.decide('fenced', life=view.key, fence=self.fence)
            view.note_missed(now_s)
        else:
            self._suspect(view, now_s, 'look')

    def _suspect(self, view: WorkerView, now_s: float, cause: str) -> None:
        if view.suspect_since_s is None:
            self.decide(
                'worker_silent',
                life=view.key,
                cause=cause,
                runs=len(view.runs),
                heard_s_ago=round(now_s - view.heard_at_s, 3),
            )
        view.note_missed(now_s)
        self._woken.add(view.key)

    def _note_other_life(self, view: WorkerView, now_s: float) -> None:
        """Another life answers where this one was."""
        self._suspect(view, now_s, 'other life')
        successor = self.workers.get(view.successor)
        if successor is not None:
            self._end_after(view, successor, now_s)

    def _end_replaced(self, view: WorkerView, now_s: float) -> None:
        successor = self.workers.get(view.successor)
        if successor is None or successor.is_over:
            newest = self._lives.newest(view.facts.worker_id)
            if newest is None or newest is view or newest.is_over:
                # Nothing of the successor runs any more either.
                self.end_life(view, 'reborn')
                return
            view.successor = newest.key
            view.is_poisoned = False
            successor = newest
        self._end_after(view, successor, now_s)

    def _end_after(
        self, view: WorkerView, successor: WorkerView, now_s: float
    ) -> None:
        """End a life once its successor holds none of its runs.

        Orders name the worker, and a later life under the same name may take
        them, so the later one must have been read, and have refused the runs
        whose orders are still open.
        """
        if not successor.is_read:
            return
        if not view.is_poisoned:
            view.is_poisoned = True
            for run in view.runs.values():
                if run.phase in (RunPhase.ORDERED, RunPhase.UNCERTAIN):
                    successor.poisons[run.key.name] = run.key
        if successor.poisons.keys() & view.runs.keys():
            self._order_poisons(successor, now_s)
        elif not successor.strays & view.runs.keys():
            self.end_life(view, 'reborn')

    def _order_poisons(self, successor: WorkerView, now_s: float) -> None:
        if now_s < successor.poisoned_at_s + ORDER_RETRY_S:
            return
        successor.poisoned_at_s = now_s
        for key in successor.poisons.values():
            self._orders.append(
                orders.StopOrder(successor.facts, key, self.fence)
            )

    def end_life(self, view: WorkerView, cause: str) -> None:
        """Propose that nothing of a life runs any more, as proved."""
        if view.is_over:
            return
        view.is_over = True
        self._proposals.append(state.LifeOver(view.key, cause))
        self.decide(
            'life_over', life=view.key, cause=cause, runs=len(view.runs)
        )

    def _find_lapsed(self, now_s: float) -> None:
        for view in list(self.workers.values()):
            if view.is_over:
                continue
            if view.successor:
                self._end_replaced(view, now_s)
                continue
            if now_s >= view.left_at_s + LEAVE_GRACE_S:
                self.end_life(view, 'left')
                continue
            is_silent = view.suspect_since_s is not None or (
                now_s >= view.heard_at_s + worker_view.SILENCE_S
            )
            if not is_silent:
                continue
            if view.suspect_since_s is None and view.runs:
                continue
            if now_s >= view.lapse_at_s():
                self.end_life(view, 'lease lapsed')

    def _take_ends(
        self, view: WorkerView, answer: orders.LookAnswer, now_s: float
    ) -> None:
        fresh = [e for e in answer.ended if e.number > view.proposed_end]
        if not fresh:
            return
        view.proposed_end = fresh[-1].number
        self._proposals.append(state.EndsNoted(view.key, tuple(fresh)))
        for end in fresh:
            # The worker lists an end once its room is free.
            run = view.remove_run(end.key.name)
            self._note_ending(view, run, end, now_s)

    def _note_ending(
        self,
        view: WorkerView,
        run: RunView | None,
        end: state.RunEnd,
        now_s: float,
    ) -> None:
        ending = str(end.ending)
        self.ending_counts[ending] = self.ending_counts.get(ending, 0) + 1
        ran_s = view.ran_s(run) if run is not None else None
        if end.ending is state.RunEnding.DONE:
            view.note_success(_run_ratio(run, ran_s))
            work = self.index.find(end.key)
            if work is not None and ran_s is not None:
                work.run_times_s.append(ran_s)
            return
        self.decide(
            'run_ended',
            run=end.key.name,
            life=view.key,
            ending=str(end.ending),
            ran_s=round(ran_s, 3) if ran_s is not None else None,
        )
        if end.ending is state.RunEnding.FAILED:
            is_early = ran_s is None or ran_s < EARLY_FAILURE_S
            if run is None or is_early or not run.step.is_lasting:
                view.note_failure(now_s)
            work = self.index.find(end.key)
            if work is not None:
                index = int(end.key.task.rpartition('.')[2])
                work.failed_at.setdefault(index, set()).add(view.key)

    def _match_runs(
        self,
        view: WorkerView,
        answer: orders.LookAnswer,
        sent_at_s: float,
        now_s: float,
    ) -> None:
        """Compare what runs with what was allotted."""
        listed = {item.key.name: item for item in answer.running}
        view.strays = frozenset(listed.keys() - view.runs.keys())
        for name, item in listed.items():
            run = view.runs.get(name)
            if run is None:
                self._stop_stray(view, item)
                continue
            run.is_listed = True
            run.percent = item.percent
            run.figure = item.figure
            run.saved = item.saved
            if run.phase in (RunPhase.ORDERED, RunPhase.UNCERTAIN):
                run.phase = RunPhase.RUNNING
                run.phase_at_s = now_s
                run.started_at_s = now_s
                run.started_clock_ms = answer.clock_ms
                self._stop_if_unwanted(view, run, now_s)
        if not answer.is_complete:
            return
        for run in list(view.runs.values()):
            grace_s = STOP_GRACE_S if run.phase is RunPhase.STOPPED else 0.0
            if run.key.name in listed or run.phase_at_s + grace_s >= sent_at_s:
                continue
            is_settled = run.phase in (RunPhase.RUNNING, RunPhase.STOPPED)
            is_of_former_leader = (
                run.phase is RunPhase.UNCERTAIN and run.tries == 0
            )
            if is_settled or is_of_former_leader:
                # Neither runs nor ended, and can't begin any more.
                self.decide('run_absent', run=run.key.name, life=view.key)
                self._void(view, run)

    def _stop_stray(self, view: WorkerView, item: orders.ListedRun) -> None:
        self.decide('run_stray', run=item.key.name, life=view.key)
        self._orders.append(orders.StopOrder(view.facts, item.key, self.fence))

    def _stop_if_unwanted(
        self, view: WorkerView, run: RunView, now_s: float
    ) -> None:
        job = self.jobs.jobs.get(run.key.job_id)
        if job is None or job.status is not state.JobStatus.ACTIVE:
            self.stop_run(view, run, now_s)

    def _end_stalls(self, now_s: float) -> None:
        """Stop what stands still, where it has a better place."""
        for view in self.workers.values():
            if view.suspect_since_s is not None:
                continue
            if _stalls.needs_lists(view, now_s):
                view.is_list_due = True
                self._woken.add(view.key)
            for run in _stalls.find_stalled(view, self.index):
                if self._has_better_place(view, run):
                    self._end_stalled(view, run, now_s)

    def _end_stalled(
        self, view: WorkerView, run: RunView, now_s: float
    ) -> None:
        self.decide(
            'run_stalled',
            run=run.key.name,
            life=view.key,
            ran_s=round(view.ran_s(run) or 0.0, 3),
            estimate_s=run.step.estimate_s,
        )
        view.note_failure(now_s, worker_view.QUARANTINE_STREAK)
        work = self.index.find(run.key)
        if work is not None:
            index = int(run.key.task.rpartition('.')[2])
            work.failed_at.setdefault(index, set()).add(view.key)
        self.stop_run(view, run, now_s)

    def _has_better_place(self, view: WorkerView, run: RunView) -> bool:
        work = self.index.find(run.key)
        if work is None or run.step.is_gang:
            return False
        index = int(run.key.task.rpartition('.')[2])
        tried = work.failed_at.get(index, set())
        if len(tried) >= MAX_STALLS:
            return False
        others = [
            worker
            for worker in self.usable_workers(work.job)
            if worker is not view and not worker.is_failing
        ]
        return _placement.has_place(work, others)

    def _move_lasting(self, now_s: float) -> None:
        """Stop lasting tasks on workers that drain, while they have a place.

        They end with the worker in any case, and later than this.
        """
        for view in self.workers.values():
            if not view.is_draining or view.suspect_since_s is not None:
                continue
            for run in list(view.runs.values()):
                is_movable = run.phase is RunPhase.RUNNING
                if not (run.step.is_lasting and is_movable):
                    continue
                work = self.index.find(run.key)
                if work is None:
                    continue
                workers = self.usable_workers(work.job)
                if _placement.has_place(work, workers):
                    self.stop_run(view, run, now_s)

    def _forget_finished(self, now_s: float) -> None:
        old = [
            job_id
            for job_id, at_s in self._finished_at_s.items()
            if now_s >= at_s + KEEP_FINISHED_S
        ]
        if old:
            for job_id in old:
                del self._finished_at_s[job_id]
            self._proposals.append(state.JobsForgotten(tuple(old)))

    def _plan(self, now_s: float) -> None:
        """Allot waiting tasks to workers with room."""
        usable: dict[str, list[WorkerView]] = {}
        for view in self.workers.values():
            if view.is_usable(now_s):
                usable.setdefault(view.facts.service, []).append(view)
        if not usable:
            return
        pools = {
            service: _placement.PoolRoom(workers)
            for service, workers in usable.items()
        }
        works = [
            work
            for steps in self.index.steps.values()
            for work in steps.values()
            if work.waiting
        ]
        works.sort(key=lambda work: _rank(work, now_s))
        runs: list[state.RunKey] = []
        life_keys: list[str] = []
        for work in works:
            pool = pools.get(self.service_of(work.job))
            if pool is None or not pool.may_fit(work.step):
                continue
            workers = pool.workers
            if work.job.queue.advice is not None:
                workers = self.adviser.allowed(work, workers, now_s)
            for placement in _placement.place_step(work, workers, now_s):
                key = self._reserve(work, placement, now_s)
                runs.append(key)
                life_keys.append(placement.worker.key)
            if work.waiting:
                pool.measure()
        self._short_services = {
            self.service_of(work.job) for work in works if work.waiting
        }
        for first in range(0, len(runs), MAX_RUNS_PER_RECORD):
            last = first + MAX_RUNS_PER_RECORD
            self._proposals.append(
                state.RunsAllotted(
                    tuple(runs[first:last]), tuple(life_keys[first:last])
                )
            )

    def _reserve(
        self, work: StepWork, placement: _placement.Placement, now_s: float
    ) -> state.RunKey:
        job = work.job
        task_key = f'{work.step_key}.{placement.index}'
        run_number = _next_run(work, placement.index)
        key = state.RunKey(job.spec.job_id, task_key, run_number)
        self.index.note_proposed(key)
        placement.worker.add_run(
            RunView(key, work.step, RunPhase.ORDERED, now_s)
        )
        return key

    def decide(self, event: str, **fields: object) -> None:
        """Note a decision for the log."""
        self._decisions.append(Decision(event, fields))


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


def _next_run(work: StepWork, index: int) -> int:
    """Return a run number above all of the task's; one for a whole gang."""
    indexes = [index]
    if work.step.is_gang:
        indexes = list(range(work.step.task_count))
    runs = [0]
    for member in indexes:
        task = work.job.tasks.get(f'{work.step_key}.{member}')
        if task is not None:
            runs.append(task.run)
    return max(runs) + 1


def _rank(work: StepWork, now_s: float) -> tuple[float, ...]:
    """Order steps: what must begin first to be in time comes first.

    A job that is late already earns little whenever it is done, so it makes
    way for those of its priority that can still be in time.
    """
    is_lasting = work.step.is_lasting
    return (
        now_s >= work.worthless_at_s and not is_lasting,
        work.job.queue.priority,
        work.is_late(now_s) and not is_lasting,
        work.due_at_s - work.rest_s,
    )


def _run_ratio(run: RunView | None, ran_s: float | None) -> float | None:
    """Return run time over estimate; saved progress hides the rest."""
    if run is None or ran_s is None or run.step.is_lasting:
        return None
    if run.step.estimate_s <= 0 or run.key.run > 1:
        return None
    return ran_s / run.step.estimate_s


def _to_ms(seconds: float) -> int:
    return round(seconds * 1000)
