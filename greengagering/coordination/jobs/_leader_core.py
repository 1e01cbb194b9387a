"""What the parts of a leader's decisions share: state, workers, outboxes."""

import dataclasses
import math

from greengagering.coordination.jobs._advice import Adviser
from greengagering.coordination.jobs._life_book import LifeBook
from greengagering.coordination.jobs import _orders as orders
from greengagering.coordination.jobs._work_index import WorkIndex
from greengagering.coordination.jobs._worker_view import RunPhase
from greengagering.coordination.jobs._worker_view import RunView
from greengagering.coordination.jobs._worker_view import WorkerView
from greengagering import state


ORDER_RETRY_S = 0.3
"""Pause before an unanswered order is sent again; a few round trips."""


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """A decision for the log: an event and its fields."""

    event: str
    fields: dict[str, object]


class LeaderCore:
    """State of one leader, and the steps that several parts take.

    Attributes:
        jobs: the committed state.
        fence: the leader's term, or 0 while this replica does not lead.
        now_s: time of the present step.
        index: steps whose turn has come.
        lives: views of workers' lives.
        adviser: permits of queues with advice.
        orders: orders to carry out.
        proposals: records to propose.
        decisions: decisions to log.
        woken: lives whose next look may be due now.
        voiding: workers of runs that are to be voided, by run name.
        short_services: services whose work found too little room.
        is_plan_due: whether something has changed since the last plan.
    """

    def __init__(self, jobs: state.JobsState) -> None:
        self.jobs = jobs
        self.fence = 0
        self.now_s = 0.0
        self.index = WorkIndex()
        self.lives = LifeBook()
        self.adviser = Adviser()
        self.orders: list[orders.Order] = []
        self.proposals: list[state.JobRecord] = []
        self.decisions: list[Decision] = []
        self.woken: set[str] = set()
        self.voiding: dict[str, WorkerView] = {}
        self.short_services: set[str] = set()
        self.is_plan_due = False
        self._routed_plan: state.RoutePlan | None = None
        self._services: dict[tuple[str, str], str] = {}

    def retire(self) -> None:
        """Forget everything that only a leader may act on."""
        self.fence = 0
        self.lives.clear()
        self.index = WorkIndex()
        self.adviser = Adviser()
        self.orders.clear()
        self.proposals.clear()
        self.voiding.clear()
        self.short_services.clear()

    @property
    def workers(self) -> dict[str, WorkerView]:
        """Every life of a worker that may still run something, by key."""
        return self.lives.views

    @property
    def is_leading(self) -> bool:
        """Whether this replica gives orders."""
        return self.fence > 0

    def newest_life(self, worker_id: str) -> WorkerView | None:
        """Return the view of a worker's latest life, or None."""
        view = self.lives.newest(worker_id)
        return view if view is not None and not view.is_over else None

    def usable_workers(self, job: state.Job) -> list[WorkerView]:
        """Return the workers that a job's tasks may be allotted to."""
        service = self.service_of(job)
        return [
            view
            for view in self.workers.values()
            if view.facts.service == service and view.is_usable(self.now_s)
        ]

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

    def stop_run(self, view: WorkerView, run: RunView, now_s: float) -> None:
        """Order a run to stop, unless it was ordered already."""
        if run.phase in (RunPhase.STOPPING, RunPhase.STOPPED):
            return
        run.phase = RunPhase.STOPPING
        run.phase_at_s = now_s
        self.order_stop(view, run)

    def order_stop(self, view: WorkerView, run: RunView) -> None:
        self.orders.append(orders.StopOrder(view.facts, run.key, self.fence))

    def void(self, view: WorkerView, run: RunView) -> None:
        self.voiding[run.key.name] = view
        self.proposals.append(state.RunsVoided((run.key,)))
        run.phase = RunPhase.STOPPED
        run.phase_at_s = math.inf

    def suspect(self, view: WorkerView, now_s: float, cause: str) -> None:
        if view.suspect_since_s is None:
            self.decide(
                'worker_silent',
                life=view.key,
                cause=cause,
                runs=len(view.runs),
                heard_s_ago=round(now_s - view.heard_at_s, 3),
            )
        view.note_missed(now_s)
        self.woken.add(view.key)

    def end_life(self, view: WorkerView, cause: str) -> None:
        """Propose that nothing of a life runs any more, as proved."""
        if view.is_over:
            return
        view.is_over = True
        self.proposals.append(state.LifeOver(view.key, cause))
        self.decide(
            'life_over', life=view.key, cause=cause, runs=len(view.runs)
        )

    def decide(self, event: str, **fields: object) -> None:
        """Note a decision for the log."""
        self.decisions.append(Decision(event, fields))


def to_ms(seconds: float) -> int:
    """Return whole milliseconds."""
    return round(seconds * 1000)
