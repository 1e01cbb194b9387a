"""Plays one job's whole life at a leader whose workers answer at once."""

from collections.abc import Iterable
from collections.abc import Sequence
import math

from features.support import work_counter
from greengagering import coordination
from greengagering import state

WORKER_COUNT = 10
ROOM = state.Room(10**8, 10**8)
ROUND_S = 0.3
"""Time between two plans; above the longest time between two of a leader."""

_QUEUE = state.Queue('queue', 'host', '/queue/', 'service', attempt_limit=2)


class JobLife:
    """A leader, its workers, and the work that each part of it does.

    Attributes:
        work: executed instructions by part.
        started: the runs that were ordered to start.
    """

    def __init__(self, spec: state.JobSpec) -> None:
        self.work: dict[str, int] = {}
        self.started: list[state.RunKey] = []
        self._spec = spec
        self._now_s = 1.0
        self._state = state.JobsState()
        plan = state.RoutePlan(
            1, (_QUEUE,), (state.WorkerService('service'),), 1000, b''
        )
        self._apply([state.PlanReplaced(plan)])
        self._apply(
            state.LifeSeen(
                state.WorkerFacts(
                    f'worker-{number}',
                    1,
                    'service',
                    f'10.0.0.1:{number + 1}',
                    'dc',
                    f'rack-{number % 4}',
                    (),
                    ROOM,
                )
            )
            for number in range(WORKER_COUNT)
        )
        self._scheduler = coordination.JobScheduler(self._state)
        self._scheduler.start_leading(1, self._now_s, self._now_ms)
        for key in list(self._scheduler.workers):
            self._poll(key, (), ())

    @property
    def _now_ms(self) -> int:
        return int(self._now_s * 1000)

    @property
    def status(self) -> state.JobStatus:
        """Status of the job."""
        return self.job.status

    @property
    def job(self) -> state.Job:
        """The job as it is stored."""
        return self._state.jobs[self._spec.job_id]

    def play(self, leader_change_s: float = math.inf) -> None:
        """Accept the job, and run it until it ends or is cancelled.

        Args:
            leader_change_s: time after which another replica leads.
        """
        accepted = state.JobAccepted(self._spec, _QUEUE, self._now_ms)
        self._commit('accept', [accepted])
        self._start_later_leader('lead before the first run')
        while self.status is state.JobStatus.ACTIVE:
            self._now_s += ROUND_S
            if self._now_s >= leader_change_s:
                leader_change_s = math.inf
                self._change_leader()
            self._start_runs()
            self._start_later_leader('lead')
            if any(step.is_lasting for step in self._spec.steps):
                self._commit('cancel', [state.JobCancelled(self._spec.job_id)])
            else:
                self._end_runs()

    def _start_runs(self) -> None:
        with work_counter.count_work() as work:
            records = self._scheduler.step(self._now_s, self._now_ms)
        self._add('plan', work)
        self._commit('starts', records)
        with work_counter.count_work() as work:
            for order in self._scheduler.take_orders():
                if isinstance(order, coordination.StartOrder):
                    self.started.append(order.key)
                answer = coordination.OrderAnswer(
                    coordination.OrderOutcome.DONE, self._now_ms
                )
                self._scheduler.handle_order_answer(
                    order, 0, answer, self._now_s
                )
            self._scheduler.find_needs(self._now_s)
        self._add('orders', work)

    def _end_runs(self) -> None:
        for key, view in list(self._scheduler.workers.items()):
            if not view.runs:
                continue
            noted_end = self._state.lives[key].noted_end
            ends = [
                state.RunEnd(
                    noted_end + number,
                    run.key,
                    state.RunEnding.DONE,
                    f'saved-{number}' if run.step.saves_progress else '',
                )
                for number, run in enumerate(view.runs.values(), 1)
            ]
            with work_counter.count_work() as work:
                self._poll(key, (), ends)
            self._add('lists', work)
            self._commit('ends', self._scheduler.take_proposals())

    def _poll(
        self,
        key: str,
        running: Sequence[coordination.ListedRun],
        ended: Sequence[state.RunEnd],
    ) -> None:
        poll = self._scheduler.next_poll(key, self._now_s)
        assert poll is not None, key
        answer = coordination.LookAnswer(
            coordination.OrderOutcome.DONE,
            self._now_ms,
            1,
            tuple(running),
            tuple(ended),
        )
        self._scheduler.handle_poll_answer(
            poll, 0, answer, self._now_s, self._now_s
        )

    def _change_leader(self) -> None:
        """Let another replica with the same state lead from now on."""
        self._scheduler = coordination.JobScheduler(self._state)
        self._scheduler.start_leading(2, self._now_s, self._now_ms)
        for key in list(self._scheduler.workers):
            self._poll(key, (), ())

    def _start_later_leader(self, part: str) -> None:
        """Let another replica with the same state start to lead."""
        other = coordination.JobScheduler(self._state)
        with work_counter.count_work() as work:
            other.start_leading(3, self._now_s, self._now_ms)
        self._add(part, work)

    def _commit(self, part: str, records: Sequence[state.JobRecord]) -> None:
        with work_counter.count_work() as work:
            for record in records:
                state.apply_to_jobs(self._state, record)
                self._scheduler.handle_applied(
                    record, self._now_s, self._now_ms
                )
        self._add(part, work)

    def _apply(self, records: Iterable[state.JobRecord]) -> None:
        for record in records:
            state.apply_to_jobs(self._state, record)

    def _add(self, part: str, work: work_counter.WorkCount) -> None:
        """Keep the largest share of a part's work that is done in one go."""
        self.work[part] = max(self.work.get(part, 0), work.instructions)
