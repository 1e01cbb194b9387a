"""State that the components of the job scheduler on the leader share."""

from collections.abc import Callable
import dataclasses
import math
import traceback
from typing import ParamSpec

from greengagering.coordination.jobs import WorkIndex
from greengagering.coordination.scheduling._admission import Admission
from greengagering.coordination.scheduling._advice import PermitTable
from greengagering.coordination.scheduling._causes import StopCause
from greengagering.coordination.scheduling._causes import VoidCause
from greengagering.coordination.scheduling import _customer_limits
from greengagering.coordination.scheduling._isolation import QUEUE_MEMORY_S
from greengagering.coordination.scheduling._shares import JobRates
from greengagering.coordination.workers import FleetAnswerTimes
from greengagering.coordination.workers import IncarnationTable
from greengagering.coordination.workers import LookOrder
from greengagering.coordination.workers import LossMeter
from greengagering.coordination.workers import Order
from greengagering.coordination.workers import RecentItems
from greengagering.coordination.workers import RunPhase
from greengagering.coordination.workers import RunView
from greengagering.coordination.workers import SentOrders
from greengagering.coordination.workers import StartOrder
from greengagering.coordination.workers import StopOrder
from greengagering.coordination.workers import WorkerView
from greengagering import state

Arguments = ParamSpec('Arguments')

ORDER_RETRY_S = 0.3
"""Delay before an order is sent again that was not sent, or that can't be
repeated yet; a few round trips. AnswerTimes gives the delay of the others."""


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Log event of a decision, with its fields."""

    event: str
    fields: dict[str, object]


class LeaderCore:
    """State of one leader, and actions that several components take.

    Attributes:
        jobs: the committed state.
        fence: the leader's term, or 0 while this replica does not lead. Orders
            to workers have the fence of their view.
        leading_since_s: when this term began.
        now_s: time of the current step.
        now_ms: wall-clock time of the current step.
        index: steps of jobs that are ready to run.
        limits: how much of its limit each customer uses.
        incarnations: views of workers' incarnations.
        permits: permits of queues with advice.
        job_rates: which jobs are beyond their customers' rates.
        admission: decisions about jobs that are beyond these rates.
        orders: orders to send.
        proposals: records to propose.
        decisions: decisions to log.
        poll_losses: share of polls whose answers were lost lately.
        fleet_answer_times: how long workers took to answer orders lately.
        poll_candidates: keys of incarnations whose next poll may be due now.
        pending_voids: workers of runs whose RunsVoided record is proposed
            and not applied yet, by run name.
        reserved_workers: ids of the workers whose machines are being emptied.
        begun_jobs: ids of the active jobs of which a run has begun, as its
            worker has confirmed or listed. For jobs that were assigned before
            this term that isn't known; they count as begun.
        suspect_queues: time until which the new jobs of a queue start apart,
            by host and path prefix.
        short_services: services with tasks that found no room when tasks
            were last assigned.
        logged_once: events of log_once in this term.
        lost_run_counts: runs lost with their worker, by the cause in
            LifeOver.
        stop_counts: runs ordered to stop, by cause.
        sent_starts: starts that may still be carried out.
        sent_grants: polls that may still be carried out and grant a lease.
        mixed_grants: when an order that grants a lease was last answered by
            another process of its worker than it was meant for, by the
            worker's id.
        ended_lives: cause and time of the end of the incarnations that this
            leader declared over last.
        removed_runs: how the runs that left a view last did so, by run name.
        is_plan_due: whether something has changed since tasks were last
            assigned, so that the next step assigns them again.
    """

    def __init__(self, jobs: state.JobsState) -> None:
        self.jobs = jobs
        self.fence = 0
        self.leading_since_s = 0.0
        self.now_s = 0.0
        self.now_ms = 0
        self.index = WorkIndex()
        self.limits = _customer_limits.CustomerLimits()
        self.incarnations = IncarnationTable(self.limits.usage)
        self.permits = PermitTable()
        self.job_rates = JobRates()
        self.admission = Admission()
        self.orders: list[Order] = []
        self.proposals: list[state.JobRecord] = []
        self.decisions: list[Decision] = []
        self.poll_losses = LossMeter()
        self.fleet_answer_times = FleetAnswerTimes()
        self.poll_candidates: set[str] = set()
        self.pending_voids: dict[str, WorkerView] = {}
        self.reserved_workers: set[str] = set()
        self.begun_jobs: set[str] = set()
        self.suspect_queues: dict[tuple[str, str], float] = {}
        self.short_services: set[str] = set()
        self.logged_once: set[str] = set()
        self.lost_run_counts: dict[str, int] = {}
        self.stop_counts: dict[str, int] = {}
        self.sent_starts: SentOrders[StartOrder] = SentOrders()
        self.sent_grants: SentOrders[LookOrder] = SentOrders()
        self.mixed_grants: RecentItems[float] = RecentItems()
        self.ended_lives: RecentItems[tuple[str, float]] = RecentItems()
        self.removed_runs: RecentItems[str] = RecentItems()
        self.is_plan_due = False
        self._routed_plan: state.RoutePlan | None = None
        self._services: dict[tuple[str, str], str] = {}
        self._weights: dict[str, float] = {}

    def stop_leading(self) -> None:
        """Discard all state that only a leader may act on."""
        self.fence = 0
        self.incarnations.clear()
        self.limits.forget_held()
        self.index = WorkIndex()
        self.permits = PermitTable()
        self.job_rates = JobRates()
        self.admission = Admission()
        self.poll_losses = LossMeter()
        self.fleet_answer_times = FleetAnswerTimes()
        self.orders.clear()
        self.proposals.clear()
        self.pending_voids.clear()
        self.reserved_workers.clear()
        self.begun_jobs.clear()
        self.suspect_queues.clear()
        self.short_services.clear()
        self.logged_once.clear()
        # What this term sent is refused under a later one's fence.
        self.sent_starts.clear()
        self.sent_grants.clear()
        self.mixed_grants.clear()
        self.ended_lives.clear()
        self.removed_runs.clear()

    @property
    def workers(self) -> dict[str, WorkerView]:
        """Every incarnation that may still run something, by key."""
        return self.incarnations.views

    @property
    def is_leading(self) -> bool:
        """Whether this replica is the leader and may send orders."""
        return self.fence > 0

    def newest_incarnation(self, worker_id: str) -> WorkerView | None:
        """Return a worker's latest incarnation, or None if it is over."""
        view = self.incarnations.newest(worker_id)
        return view if view is not None and not view.is_over else None

    def usable_workers(self, job: state.Job) -> list[WorkerView]:
        """Return the workers that a job's tasks may be assigned to."""
        service = self.service_of(job)
        return [
            view
            for view in self.workers.values()
            if view.facts.service == service and view.is_usable(self.now_s)
        ]

    def service_of(self, job: state.Job) -> str:
        """Return the service that runs a job under the current plan.

        A queue that the plan no longer has keeps its service.
        """
        self._read_plan()
        queue_address = (job.queue.host, job.queue.path_prefix)
        return self._services.get(queue_address, job.queue.service)

    @property
    def weights(self) -> dict[str, float]:
        """Weights of the current plan's customers, by name."""
        self._read_plan()
        return self._weights

    def _read_plan(self) -> None:
        plan = self.jobs.plan
        if plan is self._routed_plan:
            return
        self._routed_plan = plan
        queues = plan.queues if plan is not None else ()
        self._services = {
            (queue.host, queue.path_prefix): queue.service for queue in queues
        }
        customers = plan.customers if plan is not None else ()
        self._weights = {c.name: c.weight for c in customers}

    def stop_run(
        self, view: WorkerView, run: RunView, now_s: float, cause: StopCause
    ) -> None:
        """Order a run to stop, unless that was ordered already."""
        if run.is_stopping:
            return
        self.stop_counts[cause] = self.stop_counts.get(cause, 0) + 1
        self.log_decision(
            'run_stopping',
            run=run.key.name,
            life=view.key,
            cause=str(cause),
            phase=run.phase.name.lower(),
            phase_s=round(now_s - run.phase_at_s, 3),
        )
        run.phase = RunPhase.STOPPING
        run.phase_at_s = now_s
        run.sendings = 0
        self.order_stop(view, run)

    def order_stop(self, view: WorkerView, run: RunView) -> None:
        """Queue an order to stop a run."""
        self.orders.append(StopOrder(view.facts, run.key, view.fence))

    def find_withdrawal(self, view: WorkerView, run: RunView) -> str:
        """Return why a run's start must not be sent, or not again, or ''.

        A first start that was decided before the worker's machine is emptied
        delays that by no more than a run that began before.
        """
        if view.is_draining:
            return 'draining'
        if view.is_reserved and run.sendings:
            return 'emptying'
        if self.limits.is_exceeded(run.customer):
            return 'customer_limit'
        if view.is_overcommitted:
            return 'worker_room'
        return ''

    def withdraw_start(
        self, view: WorkerView, run: RunView, now_s: float
    ) -> bool:
        """Withdraw a run's start if it must not be sent.

        Its task starts elsewhere: at once if no order was sent, else once the
        worker has confirmed that it has stopped or refused the run.

        Returns:
            Whether it is withdrawn.
        """
        reason = self.find_withdrawal(view, run)
        if not reason:
            return False
        self.log_decision(
            'start_withdrawn',
            run=run.key.name,
            life=view.key,
            reason=reason,
            sendings=run.sendings,
            customer=run.customer,
            free_millicores=view.free_cpu,
            free_mb=view.free_memory,
        )
        if run.sendings:
            self.stop_run(view, run, now_s, StopCause.WITHDRAWN)
        else:
            self.propose_void(view, run, VoidCause.NOT_ORDERED)
        return True

    def propose_void(
        self, view: WorkerView, run: RunView, cause: VoidCause
    ) -> None:
        """Propose to void a run that neither runs nor can start any more."""
        self.log_decision(
            'run_voided',
            run=run.key.name,
            life=view.key,
            cause=str(cause),
            phase=run.phase.name.lower(),
            unresolved_starts=run.unresolved_starts,
            starts_under_way=run.starts_under_way,
            sendings=run.sendings,
        )
        self.removed_runs.note(run.key.name, f'voided as {cause}')
        self.pending_voids[run.key.name] = view
        self.proposals.append(state.RunsVoided((run.key,)))
        run.phase = RunPhase.STOPPED
        # Lists are compared with the time of the phase; with infinity, none
        # causes the run to be voided again.
        run.phase_at_s = math.inf

    def note_mixed_grant(self, worker_id: str, now_s: float) -> None:
        """Note that a lease was granted to a process that it isn't meant for.

        The order gives the lease's end on the clock of the process that it
        was meant for, so the lease may be the longest that a worker takes.
        """
        self.mixed_grants.note(worker_id, now_s)
        for view in self.incarnations.of_worker(worker_id):
            view.raise_lease_end(now_s)
        self.log_decision('lease_mixed_up', worker=worker_id)

    def expects_losses(self, view: WorkerView, now_s: float) -> bool:
        """Tell whether answers of a responsive worker are expected lost."""
        return now_s < view.polls.lossy_until_s or self.poll_losses.is_lossy(
            now_s
        )

    def repeat_after_s(
        self, view: WorkerView, doublings: int, now_s: float
    ) -> float:
        """Return the time until an order or poll of a worker is sent again.

        Args:
            view: the worker.
            doublings: how often the time is doubled, unless answers are
                expected to be lost. That is no sign of an overload.
            now_s: the leader's clock.
        """
        if self.expects_losses(view, now_s):
            doublings = 0
        return view.answer_times.repeat_after_s(
            doublings, self.fleet_answer_times.expected_s(now_s)
        )

    def handle_no_answer(
        self, view: WorkerView, now_s: float, cause: str
    ) -> None:
        """Poll a worker that left an order or poll unanswered, or suspect it.

        Args:
            view: the worker's incarnation.
            now_s: the leader's clock.
            cause: see mark_suspect.
        """
        if view.is_silent(now_s):
            self.mark_suspect(view, now_s, cause)
            return
        view.is_list_due = True
        self.poll_candidates.add(view.key)

    def mark_suspect(self, view: WorkerView, now_s: float, cause: str) -> None:
        """Treat a worker as suspect until it answers again.

        The log event for it is called worker_silent.

        Args:
            view: the worker's incarnation.
            now_s: the leader's clock.
            cause: logged reason: 'order' or 'look' for an order or a poll that
                failed, 'other life' for an answer of another incarnation.
        """
        if view.suspect_since_s is None:
            self.log_decision(
                'worker_silent',
                life=view.key,
                cause=cause,
                runs=len(view.runs),
                heard_s_ago=round(now_s - view.heard_at_s, 3),
            )
        view.mark_suspect(now_s)
        self.poll_candidates.add(view.key)

    def declare_over(
        self, view: WorkerView, cause: str, *, is_crash: bool = False
    ) -> None:
        """Propose that an incarnation is over.

        Args:
            view: an incarnation of which nothing can run any more.
            cause: the reason, which is stored.
            is_crash: whether its process has ended without a notice or an
                order, which a run may have caused.
        """
        if view.is_over:
            return
        is_crash = is_crash and not view.is_draining
        crashed = list(view.runs.values()) if is_crash else []
        suspects = view.unsettled_runs() if is_crash else []
        self.proposals.append(
            state.LifeOver(
                view.key,
                cause,
                tuple(run.key for run in crashed),
                tuple(run.key for run in suspects),
                tuple(run.key for run in suspects if not run.started_at_s),
                self.now_ms,
            )
        )
        view.is_over = True
        lease_end_s, lease_source = view.find_lease_end()
        self.ended_lives.note(view.key, (cause, self.now_s))
        self.log_decision(
            'life_over',
            life=view.key,
            cause=cause,
            is_crash=is_crash,
            runs=len(view.runs),
            suspects=len(suspects),
            address=view.facts.address,
            heard_s_ago=round(self.now_s - view.heard_at_s, 3),
            lease_left_s=_round_lease(lease_end_s - self.now_s),
            lease_source=lease_source,
        )
        for run in view.runs.values():
            self._log_lost_run(view, run, cause)

    def _log_lost_run(
        self, view: WorkerView, run: RunView, cause: str
    ) -> None:
        """Log how long a run had been at work when its worker was last heard.

        Several workers that crash under the same task, or soon after its
        start, point to that task.
        """
        self.lost_run_counts[cause] = self.lost_run_counts.get(cause, 0) + 1
        self.removed_runs.note(run.key.name, f'lost by {cause}')
        ran_s = None
        if run.started_at_s:
            ran_s = round(view.heard_at_s - run.started_at_s, 3)
        self.log_decision(
            'run_lost',
            run=run.key.name,
            life=view.key,
            cause=cause,
            phase=run.phase.name.lower(),
            ran_s=ran_s,
        )

    def note_begun(self, job_id: str) -> None:
        """Note that a run of a job has begun, unless the job has finished."""
        job = self.jobs.jobs.get(job_id)
        if job is not None and job.status is state.JobStatus.ACTIVE:
            self.begun_jobs.add(job_id)

    def suspect_queue(self, job: state.Job, task: state.Task) -> None:
        """Start a queue's new jobs apart if a task of it crashes workers."""
        if task.crashes is not None and task.crashes.alone:
            queue = (job.queue.host, job.queue.path_prefix)
            self.suspect_queues[queue] = self.now_s + QUEUE_MEMORY_S

    def is_queue_suspect(self, queue: state.Queue, now_s: float) -> bool:
        """Tell whether the new jobs of a queue start apart."""
        address = (queue.host, queue.path_prefix)
        return now_s < self.suspect_queues.get(address, now_s)

    def run_part(
        self,
        part: Callable[Arguments, None],
        *arguments: Arguments.args,
        **options: Arguments.kwargs,
    ) -> bool:
        """Run a part of a step; log its error, and let the others go on.

        What the others have decided must be proposed, as a decision is made
        only once in a term.

        Returns:
            Whether the part ended without an error.
        """
        try:
            part(*arguments, **options)
        except Exception as error:
            self.log_decision(
                'step_part_failed',
                part=part.__name__,
                cause=repr(error),
                where=traceback.format_exc(limit=-3).replace('\n', ' | '),
            )
            return False
        return True

    def log_decision(self, event: str, /, **fields: object) -> None:
        """Queue a decision for the log."""
        self.decisions.append(Decision(event, fields))

    def log_once(self, event: str, /, **fields: object) -> None:
        """Queue a decision for the log, once in each term."""
        if event not in self.logged_once:
            self.logged_once.add(event)
            self.log_decision(event, term=self.fence, **fields)


def _round_lease(seconds: float) -> float | None:
    return round(seconds, 3) if math.isfinite(seconds) else None


def to_ms(seconds: float) -> int:
    """Return seconds as whole milliseconds."""
    return round(seconds * 1000)
