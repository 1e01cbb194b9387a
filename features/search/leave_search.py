"""Fault search over workers that drain, leave and come back."""

import random

from features.search import job_search
from features.search import worker_fakes

DRAIN_RATIO = 0.03
"""Share of steps in which a worker begins to drain."""

DRAIN_S = (1.0, 3.0)
"""Time from the beginning of a drain to the notice to leave."""

UNANSWERED_RATIO = 0.5
"""Share of notices whose acknowledgement the worker doesn't get."""

UNANSWERED_S = (0.5, 4.0)
"""Time for which a worker goes on without an acknowledgement."""

REFUSING_RATIO = 0.5
"""Share of workers that leave whose machine stays up, and refuses connections
until the next process has started."""

AWAY_S = (0.05, 1.0, 4.0)
"""Times until a worker that has left is back under its name."""


class LeaveSearch(job_search.JobSearch):
    """One random schedule of jobs whose workers also leave."""

    def __init__(self, seed: int) -> None:
        self._leave_rng = random.Random(f'leave {seed}')
        self._refusal_rng = random.Random(f'refusals {seed}')
        # When a worker sends its notice, and when it ends, by its name, with
        # the incarnation that does.
        self._notices: dict[str, tuple[float, int]] = {}
        self._ends: dict[str, tuple[float, int]] = {}
        super().__init__(seed)

    def _advance(self) -> None:
        is_due = self._leave_rng.random() < DRAIN_RATIO
        if is_due and not self.is_fault_free:
            self._begin_drain()
        for worker in self._take_due(self._notices):
            self._give_notice(worker)
        for worker in self._take_due(self._ends):
            self._end(worker)
        super()._advance()

    def _begin_drain(self) -> None:
        name = self._leave_rng.choice(sorted(self.workers))
        worker = self.workers[name]
        if worker.is_up and not worker.is_draining:
            worker.is_draining = True
            self._reports_s[name] = self.now_s
            at_s = self.now_s + self._leave_rng.uniform(*DRAIN_S)
            self._notices[name] = (at_s, worker.born_ms)
            self.add_trace('worker_drains', worker=name)

    def _take_due(
        self, times: dict[str, tuple[float, int]]
    ) -> list[worker_fakes.FakeWorker]:
        """Remove the entries that are due; return their workers.

        A worker that has crashed meanwhile neither drains nor leaves.
        """
        due = []
        for name, (at_s, born_ms) in list(times.items()):
            worker = self.workers[name]
            if not worker.is_up or worker.born_ms != born_ms:
                del times[name]
                worker.is_draining = False
            elif self.now_s >= at_s:
                del times[name]
                due.append(worker)
        return due

    def _give_notice(self, worker: worker_fakes.FakeWorker) -> None:
        """Send a worker's notice, and set when it ends."""
        name = worker.worker_id
        is_heard = self.now_s >= self.disconnected_until_s.get(name, 0)
        is_heard = is_heard and self._handle_notice(name)
        is_lost = self._leave_rng.random() < UNANSWERED_RATIO
        goes_on_s = self._leave_rng.uniform(*UNANSWERED_S)
        if is_heard and not is_lost:
            goes_on_s = 0.0
        self._ends[name] = (self.now_s + goes_on_s, worker.born_ms)
        self.result.notices += is_heard
        self.add_trace('worker_notice', worker=name, goes_on_s=goes_on_s)

    def _handle_notice(self, name: str) -> bool:
        """Deliver a notice; tell whether a leader has got it."""
        for node in self._running():
            assert node.core is not None
            now_s = node.clock.read(self.now_s)
            if node.core.jobs.is_leading and node.core.replica.has_lease(
                now_s
            ):
                node.core.jobs.handle_leave(name, now_s)
                return True
        return False

    def _end(self, worker: worker_fakes.FakeWorker) -> None:
        worker.is_draining = False
        # Without a notice that was heard, it looks like a crash.
        worker.crash()
        self.refusing.discard(worker.worker_id)
        if self._refusal_rng.random() < REFUSING_RATIO:
            self.refusing.add(worker.worker_id)
        self.result.worker_restarts += 1
        away_s = self._leave_rng.choice(AWAY_S)
        self.down_until_s[worker.worker_id] = self.now_s + away_s
        self.add_trace('worker_ended', worker=worker.worker_id)
