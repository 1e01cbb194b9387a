"""Job scheduler of the leader: runs, worker leases and orders."""

from collections.abc import Callable
from collections.abc import Sequence

from greengagering.coordination.jobs import describe_change
from greengagering.coordination.jobs import WorkIndex
from greengagering.coordination.scheduling._advice import Advice
from greengagering.coordination.scheduling._advice import AdviceRequest
from greengagering.coordination.scheduling._advice import PermitTable
from greengagering.coordination.scheduling._causes import StopCause
from greengagering.coordination.scheduling import _customer_limits
from greengagering.coordination.scheduling._demand import DemandTracker
from greengagering.coordination.scheduling import _incarnations
from greengagering.coordination.scheduling._isolation import isolation_s
from greengagering.coordination.scheduling._late_starts import LateStartGuard
from greengagering.coordination.scheduling._leader_core import Arguments
from greengagering.coordination.scheduling._leader_core import Decision
from greengagering.coordination.scheduling._leader_core import LeaderCore
from greengagering.coordination.scheduling._pool_need import find_needs
from greengagering.coordination.scheduling._pool_need import PoolNeed
from greengagering.coordination.scheduling._run_orders import RunOrders
from greengagering.coordination.scheduling._run_relocator import RunRelocator
from greengagering.coordination.scheduling._submissions import Submissions
from greengagering.coordination.scheduling._task_assigner import TaskAssigner
from greengagering.coordination.scheduling._wait_ledger import WaitLedger
from greengagering.coordination.scheduling._worker_poller import WorkerPoller
from greengagering.coordination.scheduling._worker_reports import WorkerReports
from greengagering.coordination.workers import LookAnswer
from greengagering.coordination.workers import LookOrder
from greengagering.coordination.workers import MAX_ORDER_AGE_S
from greengagering.coordination.workers import Order
from greengagering.coordination.workers import OrderAnswer
from greengagering.coordination.workers import RunPhase
from greengagering.coordination.workers import RunView
from greengagering.coordination.workers import SeenTimes
from greengagering.coordination.workers import StartOrder
from greengagering.coordination.workers import WorkerReport
from greengagering.coordination.workers import WorkerView
from greengagering import state

ASSIGN_INTERVAL_S = 0.25
"""Longest time between two assignments of waiting tasks. One is also due after
each change; this interval serves what only the passing of time changes."""

FINISHED_RETENTION_S = 240.0
"""How long a finished job can be queried; callers may rely on half of it."""

MAX_STEP_WORK_S = 1e13
"""Most work of a step that counts as demand. A former version stored estimates
of any size, and no number of machines is found for an infinite sum."""

STALE_LEADERLESS_S = 2.0
"""Time without a leader from which a new one gives a worker no start before
its next report, as its room may have shrunk. Elections take less. A term that
was too short for every worker to report in it doesn't end that time."""

STALL_CHECK_INTERVAL_S = 0.2
"""Time between two searches for stalled runs."""


class JobScheduler:
    """Schedules the runs of all jobs while its replica leads.

    The caller passes in applied records, workers' reports and answers, and
    the time. It collects records to propose, orders to send and decisions to
    log. The components share a LeaderCore.
    """

    def __init__(self, jobs: state.JobsState) -> None:
        self.demand = DemandTracker()
        self._core = LeaderCore(jobs)
        self._late_starts = LateStartGuard(self._core)
        self._tracker = _incarnations.IncarnationTracker(self._core)
        self.waits = WaitLedger(self._core)
        self.run_orders = RunOrders(
            self._core, self._tracker, self._late_starts, self.waits
        )
        self.poller = WorkerPoller(self._core, self._tracker, self.waits)
        self._relocator = RunRelocator(self._core)
        self.assigner = TaskAssigner(self._core)
        self.submissions = Submissions(self._core)
        self._reports = WorkerReports(self._core)
        self._planned_at_s = float('-inf')
        self._stalls_checked_at_s = float('-inf')
        self._finished_at_s: dict[str, float] = {}
        self._logged_plan: state.RoutePlan | None = None
        self._seen_times = SeenTimes()

    @property
    def jobs(self) -> state.JobsState:
        """Committed state."""
        return self._core.jobs

    @jobs.setter
    def jobs(self, jobs: state.JobsState) -> None:
        self._core.jobs = jobs
        self._seen_times.mark_unloaded()

    @property
    def fence(self) -> int:
        """The leader's term, or 0 while this replica does not lead."""
        return self._core.fence

    @property
    def index(self) -> WorkIndex:
        """Steps of jobs that are ready to run."""
        return self._core.index

    @property
    def limits(self) -> _customer_limits.CustomerLimits:
        """Limits of customers, and how much of them is used."""
        return self._core.limits

    @property
    def permits(self) -> PermitTable:
        """Permits of queues with advice."""
        return self._core.permits

    @property
    def workers(self) -> dict[str, WorkerView]:
        """Every incarnation that may still run something, by key."""
        return self._core.workers

    @property
    def is_leading(self) -> bool:
        """Whether this replica is the leader and may send orders."""
        return self._core.is_leading

    def stop_leading(self) -> None:
        """Discard all state that only a leader may act on."""
        self._core.stop_leading()
        self.run_orders.clear()
        self.poller.clear()
        self.waits.clear()
        self._finished_at_s.clear()

    @property
    def ending_counts(self) -> dict[str, int]:
        """Number of run ends, by RunEnding value."""
        return self.poller.ending_counts

    @property
    def stop_counts(self) -> dict[str, int]:
        """Number of runs ordered to stop, by cause."""
        return self._core.stop_counts

    @property
    def lost_run_counts(self) -> dict[str, int]:
        """Number of runs lost with their worker, by cause of its end."""
        return self._core.lost_run_counts

    def next_poll(self, life_key: str, now_s: float) -> LookOrder | None:
        """Return the next poll of a worker; see WorkerPoller."""
        return self.poller.next_poll(life_key, now_s)

    def open_poll_grant(self, order: LookOrder, now_s: float) -> int:
        """Register a poll about to be sent; see WorkerPoller."""
        return self.poller.open_poll_grant(order, now_s)

    def handle_poll_answer(
        self,
        order: LookOrder,
        grant: int,
        answer: LookAnswer,
        sent_at_s: float,
        now_s: float,
    ) -> None:
        """Handle an answer to a poll, or its lack; see WorkerPoller."""
        self.poller.handle_poll_answer(order, grant, answer, sent_at_s, now_s)

    def open_start_grant(self, order: StartOrder, now_s: float) -> int:
        """Register a start order about to be sent; see RunOrders."""
        return self.run_orders.open_start_grant(order, now_s)

    def handle_order_answer(
        self,
        order: Order,
        grant: int,
        answer: OrderAnswer,
        now_s: float,
        sent_at_s: float | None = None,
    ) -> None:
        """Handle an answer to an order, or its lack; see RunOrders."""
        self.run_orders.handle_order_answer(
            order, grant, answer, now_s, sent_at_s
        )

    def handle_unsent_order(self, order: Order, now_s: float) -> None:
        """Retry an order that was not sent; see RunOrders."""
        self.run_orders.handle_unsent_order(order, now_s)

    def take_start_waits(self) -> list[float]:
        """Return and clear the waiting times of started tasks."""
        return self.run_orders.take_start_waits()

    def newest_incarnation(self, worker_id: str) -> WorkerView | None:
        """Return a worker's latest incarnation, or None if it is over."""
        return self._core.newest_incarnation(worker_id)

    def usable_workers(self, job: state.Job) -> list[WorkerView]:
        """Return the workers that a job's tasks may be assigned to."""
        return self._core.usable_workers(job)

    def reserve_worker(self, worker_id: str) -> None:
        """Give a worker no new runs, as its machine is being emptied.

        That holds for incarnations that are not known yet as well.
        """
        self._core.reserved_workers.add(worker_id)
        self._set_reserved(worker_id, is_reserved=True)

    def release_worker(self, worker_id: str) -> None:
        """Give a worker new runs again."""
        self._core.reserved_workers.discard(worker_id)
        self._set_reserved(worker_id, is_reserved=False)

    def abandon_worker(self, worker_id: str) -> None:
        """End the reservation of a worker that has left its machine.

        Its known incarnation gets no runs, as nothing of it can run any more.
        """
        self._core.reserved_workers.discard(worker_id)

    def _set_reserved(self, worker_id: str, *, is_reserved: bool) -> None:
        view = self.newest_incarnation(worker_id)
        if view is not None:
            view.is_reserved = is_reserved

    def empty_run(self, view: WorkerView, run: RunView, now_s: float) -> None:
        """Order a run to stop, as its machine is emptied."""
        self._core.stop_run(view, run, now_s, StopCause.EMPTYING)

    def declare_over(
        self, view: WorkerView, cause: str, *, is_crash: bool = False
    ) -> None:
        """Propose that an incarnation is over; see LeaderCore."""
        self._core.declare_over(view, cause, is_crash=is_crash)

    def log_decision(self, event: str, /, **fields: object) -> None:
        """Queue a decision for the log."""
        self._core.log_decision(event, **fields)

    def run_part(
        self,
        part: Callable[Arguments, None],
        *arguments: Arguments.args,
        **options: Arguments.kwargs,
    ) -> bool:
        """Run a part of a step, and log its error; see LeaderCore."""
        return self._core.run_part(part, *arguments, **options)

    def start_leading(
        self,
        term: int,
        now_s: float,
        now_ms: int,
        *,
        leaderless_s: float = 0.0,
    ) -> None:
        """Start leading from the committed state alone.

        Workers get no runs before their lists have been read.

        Args:
            term: the leader's term.
            now_s: the leader's clock.
            now_ms: wall-clock time.
            leaderless_s: how long nobody may have led for long enough, so
                that reports may not have been stored.
        """
        self.stop_leading()
        self._core.fence = term
        self._core.leading_since_s = now_s
        self._core.now_ms = now_ms
        self._core.limits.follow_plan(self.jobs.plan)
        self._logged_plan = self.jobs.plan
        for life in sorted(
            self.jobs.lives.values(), key=lambda life: life.facts.born_ms
        ):
            self._add_worker(life, now_s)
        for view in self.workers.values():
            # This leader has no report of it yet.
            view.reported_at_s = float('-inf')
            view.is_room_stale = leaderless_s >= STALE_LEADERLESS_S
        for job in self.jobs.jobs.values():
            for task in job.tasks.values():
                self._core.suspect_queue(job, task)
            if job.has_started:
                self._core.note_begun(job.spec.job_id)
            if job.status is state.JobStatus.ACTIVE:
                self._core.index.add_job(job, now_s, now_ms)
            else:
                self._finished_at_s[job.spec.job_id] = now_s
        self.submissions.replay()
        self._rebuild_demand(now_s, now_ms)
        for job_id in self._finished_at_s:
            self.submissions.forget(job_id)
        self._core.is_plan_due = True
        self._core.log_decision(
            'lead_begun',
            term=term,
            workers=len(self.workers),
            runs=sum(len(view.runs) for view in self.workers.values()),
            steps=sum(map(len, self._core.index.steps.values())),
        )

    def _rebuild_demand(self, now_s: float, now_ms: int) -> None:
        """Rebuild the burst cycle from the committed jobs."""
        self.demand = DemandTracker()
        by_age = sorted(
            self.jobs.jobs.values(),
            key=lambda job: job.accepted_at_ms,
        )
        age_s = 0.0
        for job in by_age:
            age_s = max(now_ms - job.accepted_at_ms, 0) / 1000
            self._record_demand(job, now_s - age_s)
        self.demand.skip_pause(now_s - age_s, now_s)

    def step(self, now_s: float, now_ms: int) -> list[state.JobRecord]:
        """Run the work that is due, and return the records to propose."""
        self._core.now_s = now_s
        self._core.now_ms = now_ms
        if not self._core.is_leading:
            return []
        parts = [
            self._add_due,
            self.run_orders.retry_due,
            self.run_orders.report_times,
            self.poller.release_delayed_polls,
        ]
        if now_s >= self._stalls_checked_at_s + STALL_CHECK_INTERVAL_S:
            self._stalls_checked_at_s = now_s
            parts.append(self._relocator.stop_stalled_runs)
        self._run_parts(parts, now_s)
        if (
            self._core.is_plan_due
            or now_s >= self._planned_at_s + ASSIGN_INTERVAL_S
        ):
            self._core.is_plan_due = False
            self._planned_at_s = now_s
            parts = [
                self._tracker.end_incarnations,
                self._late_starts.repeat_blocks,
                self._relocator.move_lasting_tasks,
                self._forget_finished,
                self.assigner.assign,
                self.waits.observe,
            ]
            self._run_parts(parts, now_s)
        return self.take_proposals()

    def _add_due(self, now_s: float) -> None:
        now_ms = self._core.now_ms
        if self._core.index.add_due(now_s, now_ms):
            self._core.is_plan_due = True

    def _run_parts(
        self, parts: Sequence[Callable[[float], None]], now_s: float
    ) -> None:
        for part in parts:
            self.run_part(part, now_s)

    def take_proposals(self) -> list[state.JobRecord]:
        """Return and clear the records to propose."""
        proposals = self._core.proposals
        self._core.proposals = []
        return proposals

    def take_orders(self) -> list[Order]:
        """Return and clear the orders to send."""
        queued = self._core.orders
        self._core.orders = []
        taken = self._late_starts.take_sendable(queued, self._core.now_s)
        self.run_orders.schedule_repetitions(taken, self._core.now_s)
        return taken

    def take_decisions(self) -> list[Decision]:
        """Return and clear the decisions to log."""
        taken = self._core.decisions
        self._core.decisions = []
        return taken

    def count_usable(self, now_s: float) -> int:
        """Return how many workers may get new runs."""
        return sum(view.is_usable(now_s) for view in self.workers.values())

    def count_waiting(self) -> int:
        """Return how many tasks wait for a worker."""
        return sum(
            len(work.waiting)
            for steps in self._core.index.steps.values()
            for work in steps.values()
        )

    def take_poll_candidates(self) -> set[str]:
        """Return and clear the keys of incarnations to poll if it is due."""
        taken = self._core.poll_candidates
        self._core.poll_candidates = set()
        return taken

    def handle_applied(
        self, record: state.JobRecord, now_s: float, now_ms: int
    ) -> None:
        """Update the leader's state after a record was applied."""
        self._follow_lives(record, now_s)
        if not self._core.is_leading:
            return
        self._core.is_plan_due = True
        match record:
            case state.PlanReplaced():
                self._core.limits.follow_plan(self.jobs.plan)
                self._log_customers()
            case state.JobAccepted():
                job = self.jobs.jobs[record.spec.job_id]
                if record.spec.job_id not in self._core.index.steps:
                    self._core.index.add_job(job, now_s, now_ms)
                    self.submissions.note_accepted(job)
                    self._record_demand(job, now_s)
            case state.JobCancelled():
                self._handle_finished(record.job_id, now_s)
            case state.LifeSeen():
                life = self.jobs.lives.get(record.facts.key)
                if life is not None and record.facts.key not in self.workers:
                    self._add_worker(life, now_s)
            case state.LifeDraining():
                view = self.workers.get(record.life_key)
                if view is not None:
                    view.is_draining = True
            case _:
                self._apply_run_record(record, now_s)

    def _follow_lives(self, record: state.JobRecord, now_s: float) -> None:
        """Note, on every replica, when incarnations are known and over."""
        self._seen_times.mark_loaded(now_s)
        if isinstance(record, state.LifeSeen):
            self._seen_times.note(record.facts.key, now_s)
        elif isinstance(record, state.LifeOver):
            self._seen_times.forget(record.life_key)

    def find_report_fault(self, report: WorkerReport, now_s: float) -> str:
        """Return why a report must not be used, or ''; see WorkerReports."""
        return self._reports.find_fault(report, now_s)

    def handle_report(
        self, report: WorkerReport, now_s: float
    ) -> state.JobRecord | None:
        """Handle a worker's report; see WorkerReports."""
        return self._reports.handle_report(report, now_s)

    def handle_leave(self, worker_id: str, now_s: float) -> None:
        """Handle a worker's notice to leave; see WorkerReports."""
        self._reports.handle_leave(worker_id, now_s)

    def is_wave_done(self, wave: state.WaveState) -> bool:
        """Tell whether the upkeep of all of a wave's machines has begun."""
        return set(wave.begun) >= set(wave.wave.machines)

    def handle_advice(
        self, request: AdviceRequest, advice: Advice | None, now_s: float
    ) -> None:
        """Handle the adviser's answer, or None where there was none."""
        self._core.permits.handle_advice(request, advice, now_s)
        self._core.log_decision(
            'advice_taken',
            step=request.step_name,
            asked=len(request.life_keys),
            allowed=len(advice.permits) if advice is not None else None,
        )
        self._core.is_plan_due = True

    def find_needs(self, now_s: float) -> dict[str, PoolNeed]:
        """Return the room that running and waiting tasks need, by service.

        Waiting tasks that their customer's limit holds back need none.
        """
        return find_needs(self._core, now_s)

    def count_pending(self, queue: state.Queue) -> int:
        """Return how many active jobs of a queue have not begun."""
        return sum(
            1
            for job in self.jobs.jobs.values()
            if job.status is state.JobStatus.ACTIVE
            and not self.has_begun(job)
            and job.queue.host == queue.host
            and job.queue.path_prefix == queue.path_prefix
        )

    def has_begun(self, job: state.Job) -> bool:
        """Tell whether a run of a job has begun; it may be assigned before."""
        return job.spec.job_id in self._core.begun_jobs

    def _log_customers(self) -> None:
        """Log how the plan in force changed the customers."""
        former, self._logged_plan = self._logged_plan, self.jobs.plan
        if self.jobs.plan is not None:
            change = describe_change(former, self.jobs.plan)
            if change:
                self._core.log_decision('customers_changed', **change)

    def _add_worker(self, life: state.WorkerLife, now_s: float) -> None:
        view = WorkerView(life.facts, now_s)
        view.is_draining = life.is_draining
        view.is_reserved = life.facts.worker_id in self._core.reserved_workers
        view.proposed_end = life.noted_end
        if life.is_restarted:
            # Leaders stopped sending to the earlier incarnation when this one
            # was known to them, and former ones when this term began.
            stopped_at_s = min(
                self._core.leading_since_s,
                self._seen_times.find_latest_s(view.key, now_s),
            )
            view.former_orders_until_s = stopped_at_s + MAX_ORDER_AGE_S
        self._core.incarnations.add(view, self._core.fence)
        self._core.poll_candidates.add(view.key)
        for key in life.runs.values():
            job = self.jobs.jobs.get(key.job_id)
            if job is not None:
                view.add_run(
                    RunView(
                        key,
                        job.spec.steps[key.step_number],
                        RunPhase.UNCERTAIN,
                        now_s,
                        customer=job.customer,
                        isolated_s=isolation_s(self.jobs.find_task(key)),
                    )
                )
        for other in self._core.incarnations.related(view.facts):
            if not (other.successor or other.is_over):
                self._tracker.mark_replaced(view, other, now_s)
        self._late_starts.refuse_late_starts(view, now_s)

    def _handle_finished(self, job_id: str, now_s: float) -> None:
        """Remove a finished job's work, and stop what still runs of it."""
        job = self.jobs.jobs.get(job_id)
        if job is None or job.status is state.JobStatus.ACTIVE:
            return
        if job_id in self._finished_at_s:
            return
        self._finished_at_s[job_id] = now_s
        self._core.begun_jobs.discard(job_id)
        if job.status is state.JobStatus.SUCCEEDED:
            steps = self._core.index.steps.get(job_id, {})
            self.waits.note_finished(steps.values(), now_s)
        self._core.index.remove_job(job_id)
        self.submissions.forget(job_id)
        self._core.permits.forget_job(job_id)
        self._core.log_decision(
            'job_finished', job=job_id, status=str(job.status)
        )
        self._stop_runs(job, now_s)

    def _stop_runs(self, job: state.Job, now_s: float) -> None:
        """Stop what still runs of a finished job."""
        life_keys = {
            life_key: None
            for task in job.tasks.values()
            for life_key in task.live_runs.values()
        }
        for life_key in life_keys:
            view = self.workers.get(life_key)
            if view is None:
                continue
            for run in view.runs.values():
                if run.key.job_id == job.spec.job_id:
                    self._core.stop_run(
                        view, run, now_s, StopCause.JOB_FINISHED
                    )

    def _record_demand(self, job: state.Job, now_s: float) -> None:
        # Machines are asked for only by work within its customer's rate.
        if self.submissions.is_beyond(job):
            return
        core_s = 0.0
        memory_mb_s = 0.0
        for step in job.spec.steps:
            if step.is_lasting or job.spec.first_due_ms:
                continue
            work_s = min(step.estimate_s * step.task_count, MAX_STEP_WORK_S)
            core_s += step.room.cpu_millicores / 1000 * work_s
            memory_mb_s += step.room.memory_mb * work_s
        if core_s:
            service = self._core.service_of(job)
            self.demand.add_work(
                service, core_s, memory_mb_s, now_s, job.customer
            )

    def _apply_run_record(self, record: state.JobRecord, now_s: float) -> None:
        match record:
            case state.RunsAllotted():
                for key, life_key in zip(
                    record.runs, record.life_keys, strict=True
                ):
                    self.run_orders.order_assigned(key, life_key, now_s)
            case state.RunsVoided():
                for key in record.runs:
                    self._remove_voided_run(key)
            case state.EndsNoted():
                for end in record.ends:
                    self._handle_committed_end(end, now_s)
                self._core.poll_candidates.add(record.life_key)
            case state.LifeOver():
                view = self._core.incarnations.remove(record.life_key)
                if view is not None:
                    for run in view.runs.values():
                        self._core.index.refresh_task(run.key)
                self._handle_crash(record, now_s)

    def _handle_crash(self, record: state.LifeOver, now_s: float) -> None:
        """Log whom a crash makes suspect, and stop jobs that it fails."""
        for key in record.suspects:
            task = self.jobs.find_task(key)
            if task is None or task.crashes is None:
                continue
            self._core.log_decision(
                'task_suspected',
                task=key.task_name,
                life=record.life_key,
                crashes=task.crashes.total,
                suspected=task.crashes.suspected,
                alone=task.crashes.alone,
                isolated_s=isolation_s(task),
            )
            self._core.suspect_queue(self.jobs.jobs[key.job_id], task)
            self._handle_finished(key.job_id, now_s)

    def _remove_voided_run(self, key: state.RunKey) -> None:
        view = self._core.pending_voids.pop(key.name, None)
        if view is not None:
            view.remove_run(key.name)
        self._core.index.refresh_task(key)

    def _handle_committed_end(self, end: state.RunEnd, now_s: float) -> None:
        self._core.index.refresh_task(end.key)
        job = self.jobs.jobs.get(end.key.job_id)
        if job is None:
            return
        self._core.note_begun(end.key.job_id)
        if job.status is not state.JobStatus.ACTIVE:
            self._handle_finished(end.key.job_id, now_s)
        elif end.ending is state.RunEnding.DONE:
            self._core.index.finish_step(end.key, now_s)

    def _forget_finished(self, now_s: float) -> None:
        old = [
            job_id
            for job_id, at_s in self._finished_at_s.items()
            if now_s >= at_s + FINISHED_RETENTION_S
        ]
        if old:
            for job_id in old:
                del self._finished_at_s[job_id]
            self._core.proposals.append(state.JobsForgotten(tuple(old)))
