"""Fake workers that implement the workers' interface."""

from collections.abc import Callable
import dataclasses
import random

from features.search.replica_search import InvariantError
from greengagering import coordination
from greengagering import state

MAX_LEASE_MS = 10_000
MAX_CLOCK_START_MS = 9_000_000
CLOSE_CLOCKS_MS = (-12_000, 6000)
"""Differences between the clocks of a worker's processes by which an order to
one grants the other a short lease, or none."""

STOP_S = 0.3
ROOM = state.Room(cpu_millicores=8000, memory_mb=16_000, gpu_count=0)

CRASH_BUDGET = 3
"""Workers that a task may crash before its starts are counted, and the number
of further starts that is too many."""

ROOM_NOTICE_S = 4.5
"""Time after a shrink from which starts must respect the new room: the
time in touch and one report."""


@dataclasses.dataclass
class FakeRun:
    """A run on a worker."""

    key: state.RunKey
    until_ms: float
    ends_s: float
    ending: state.RunEnding
    room: state.Room
    crashes_at_s: float
    is_stopping: bool = False


def _ignore_end(worker_id: str, end: state.RunEnd) -> None:
    """Ignore an end; the default of Ledger.on_end."""


class Ledger:
    """Record of what all workers really did, with checks of it.

    Attributes:
        running: worker by task, for every run on a worker that is up.
        starts: start times by task.
        committed_done_s: end time of the first run whose success was
            committed, by task.
        failed: number of committed failures by task.
        failed_ends: number of runs that have ended as failed, by task.
        specs: specifications of submitted jobs by id.
        done_tasks: tasks of which a run has succeeded.
        attempt_limit: number of failed runs after which a task may not start.
        start_count: number of all starts.
        on_end: is called with each end of a run.
        deadly: for each task that crashes its worker, the time from its start
            to the crash.
        crashes: number of workers that a task has crashed, by task.
        crashed_workers: number of workers that any task has crashed.
        crashed_under: number of workers that crashed while a task ran there,
            whatever the cause, by task.
        starts_over_budget: starts of a task after CRASH_BUDGET crashes, by
            task.
    """

    def __init__(self) -> None:
        self.running: dict[str, FakeWorker] = {}
        self.starts: dict[str, list[float]] = {}
        self.committed_done_s: dict[str, float] = {}
        self.failed: dict[str, int] = {}
        self.failed_ends: dict[str, int] = {}
        self.specs: dict[str, state.JobSpec] = {}
        self.done_tasks: set[str] = set()
        self.attempt_limit = 0
        self.start_count = 0
        self.on_end: Callable[[str, state.RunEnd], None] = _ignore_end
        self.deadly: dict[str, float] = {}
        self.crashes: dict[str, int] = {}
        self.crashed_workers = 0
        self.crashed_under: dict[str, int] = {}
        self.starts_over_budget: dict[str, int] = {}

    def record_start(
        self, worker: 'FakeWorker', key: state.RunKey, now_s: float
    ) -> None:
        """Record a start, and check that it is allowed.

        Raises:
            InvariantError: the task runs already, is done, has failed or
                crashed workers too often, or starts before a step that it
                depends on.
        """
        name = key.task_name
        other = self.running.get(name)
        if other is not None:
            raise InvariantError(
                f'{name} starts on {worker.worker_id} and runs on '
                f'{other.worker_id}'
            )
        if name in self.committed_done_s:
            raise InvariantError(f'{name} starts after its success is stored')
        if self.failed.get(name, 0) >= self.attempt_limit:
            raise InvariantError(f'{name} starts after its last attempt')
        spec = self.specs.get(key.job_id)
        if spec is None:
            raise InvariantError(f'{name} was never submitted')
        step = spec.steps[key.step_number]
        for earlier in step.after:
            for index in range(spec.steps[earlier].task_count):
                before = f'{key.job_id}.0.{earlier}.{index}'
                if before not in self.done_tasks:
                    raise InvariantError(f'{name} starts before {before}')
        if self.crashes.get(name, 0) >= CRASH_BUDGET:
            count = self.starts_over_budget.get(name, 0) + 1
            self.starts_over_budget[name] = count
            if count >= CRASH_BUDGET:
                raise InvariantError(
                    f'{name} starts for the third time after three crashes'
                )
        self.running[name] = worker
        self.starts.setdefault(name, []).append(now_s)
        self.start_count += 1

    def remove_run(self, worker: 'FakeWorker', key: state.RunKey) -> None:
        """Remove a run that has ended."""
        if self.running.get(key.task_name) is worker:
            del self.running[key.task_name]

    def check_committed_end(
        self, end: state.RunEnd, ended_s: float, has_expired: bool
    ) -> None:
        """Check an end that the system has committed.

        Args:
            end: the end.
            ended_s: when the run ended.
            has_expired: whether the worker's lease expired after that.

        Raises:
            InvariantError: the task was started again after its success.
        """
        name = end.key.task_name
        step = self.specs[end.key.job_id].steps[end.key.step_number]
        if end.ending is state.RunEnding.FAILED and not step.is_lasting:
            self.failed[name] = self.failed.get(name, 0) + 1
        if end.ending is not state.RunEnding.DONE or has_expired:
            return
        self.committed_done_s.setdefault(name, ended_s)
        if any(start_s > ended_s for start_s in self.starts.get(name, ())):
            raise InvariantError(f'{name} was started again after its end')


class FakeWorker:
    """One worker, over several incarnations."""

    def __init__(
        self, worker_id: str, rng: random.Random, ledger: Ledger
    ) -> None:
        self.worker_id = worker_id
        self.rng = rng
        self.ledger = ledger
        self.born_ms = 0
        self.is_up = False
        self.sequence = 0
        self.runs: dict[str, FakeRun] = {}
        self.fail_ratio = 0.04
        self.refuse_ratio = 0.0
        self.refusal_count = 0
        self.labels: tuple[str, ...] = ()
        self.rack = 'rack-1'
        self.service = 'service-a'
        self.room = ROOM
        self._clock_start_ms = 0.0
        self.lasting_run_s: float | None = None
        self.is_draining = False
        self.start_process(0.0)

    def start_process(self, now_s: float) -> None:
        """Start a new incarnation without any state."""
        self.born_ms = int(now_s * 1000) + 1
        self.is_up = True
        self.sequence = 0
        self.fence = 0
        self.ended: list[tuple[state.RunEnd, float]] = []
        self.end_count = 0
        self.last_ended_runs: dict[str, int] = {}
        self.lease_ms = 0.0
        self.expired_at_s = float('-inf')
        self.run_s: float | None = None
        self.is_stalled = False
        self.fails_all = False
        # Orders for the former incarnation may still arrive.
        self._former_room = ROOM
        self._room_due_s = now_s + ROOM_NOTICE_S
        self._is_room_reported = False
        self._clock_rate = self.rng.uniform(0.98, 1.0)
        self._clock_base_s = now_s
        # It starts anew: at zero, at any value, or close to the former one's.
        # An own source of chance leaves the other draws of a seed as they are.
        source = f'{self.facts().key} {self._clock_rate}'
        draw = random.Random(source)  # noqa: S311
        former_ms = self._clock_start_ms + now_s * 1000
        anywhere_ms = draw.uniform(0, MAX_CLOCK_START_MS)
        close_ms = max(0.0, former_ms + draw.uniform(*CLOSE_CLOCKS_MS))
        self._clock_start_ms = draw.choice(
            (anywhere_ms, anywhere_ms, anywhere_ms, close_ms, 0.0)
        )

    def crash(self) -> None:
        """End the process and all of its runs without a notice."""
        for run in self.runs.values():
            count = self.ledger.crashed_under.get(run.key.task_name, 0) + 1
            self.ledger.crashed_under[run.key.task_name] = count
        self.end()

    def end(self) -> None:
        """End the process and all of its runs."""
        for run in self.runs.values():
            self.ledger.remove_run(self, run.key)
        self.runs.clear()
        self.is_up = False

    def clock_ms(self, now_s: float) -> float:
        """Return this incarnation's own clock."""
        ran_ms = (now_s - self._clock_base_s) * 1000 * self._clock_rate
        return self._clock_start_ms + ran_ms

    def facts(self) -> state.WorkerFacts:
        """Return what this incarnation reports about itself."""
        return state.WorkerFacts(
            self.worker_id,
            self.born_ms,
            self.service,
            f'{self.worker_id}:80',
            'dc-1',
            self.rack,
            self.labels,
            self.room,
        )

    def change_room(self, room: state.Room, now_s: float) -> None:
        """Change the capacity while the process runs."""
        former = self.room
        if now_s < self._room_due_s:
            # An earlier change may not be known yet.
            former = max(
                former, self._former_room, key=lambda r: r.cpu_millicores
            )
        self._former_room, self.room = former, room
        self._room_due_s = now_s + ROOM_NOTICE_S
        self._is_room_reported = False

    def postpone_room(self, now_s: float) -> None:
        """Let a room that it couldn't report yet count later."""
        if not self._is_room_reported:
            self._room_due_s = now_s + ROOM_NOTICE_S

    def report(self, now_s: float) -> coordination.WorkerReport:
        """Return the next report."""
        self.sequence += 1
        self._is_room_reported = True
        return coordination.WorkerReport(
            self.facts(),
            self.sequence,
            int(self.clock_ms(now_s)),
            self.is_draining,
        )

    def advance(self, now_s: float) -> None:
        """End the runs that are due, or all if the lease has expired."""
        if not self.is_up:
            return
        due = [r for r in self.runs.values() if now_s >= r.crashes_at_s]
        if due:
            self.ledger.crashed_workers += 1
            for run in due:
                name = run.key.task_name
                self.ledger.crashes[name] = (
                    self.ledger.crashes.get(name, 0) + 1
                )
            self.crash()
            return
        clock_ms = self.clock_ms(now_s)
        if clock_ms > self.lease_ms:
            self.expired_at_s = now_s
        for name, run in list(self.runs.items()):
            if clock_ms > self.lease_ms:
                self._end(name, state.RunEnding.LAPSED, now_s)
            elif now_s >= run.ends_s:
                self._end(name, run.ending, now_s)

    def start(
        self, order: coordination.StartOrder, now_s: float, extra_ms: float
    ) -> coordination.OrderAnswer:
        """Carry out an order to start a run."""
        outcomes = coordination.OrderOutcome
        if order.life.worker_id != self.worker_id:
            return coordination.OrderAnswer(outcomes.OTHER_LIFE)
        clock_ms = int(self.clock_ms(now_s))
        if self.refuse_ratio and self.rng.random() < self.refuse_ratio:
            # This may concern a run that an earlier order has started; the
            # refusal only says that this order had no effect.
            self.refusal_count += 1
            return coordination.OrderAnswer(outcomes.UNHEALTHY, clock_ms)
        if order.fence < self.fence:
            return coordination.OrderAnswer(outcomes.FENCED, clock_ms)
        self.fence = order.fence
        name = order.key.task_name
        present = self.runs.get(name)
        if present is not None and present.key.run == order.key.run:
            return coordination.OrderAnswer(outcomes.DONE, clock_ms)
        if order.until_ms + extra_ms < clock_ms:
            return coordination.OrderAnswer(outcomes.LATE, clock_ms)
        self._extend(order.until_ms + extra_ms, clock_ms)
        if (
            order.key.run <= self.last_ended_runs.get(name, 0)
            or present is not None
        ):
            return coordination.OrderAnswer(outcomes.OLD_RUN, clock_ms)
        self._begin(order, now_s)
        return coordination.OrderAnswer(outcomes.DONE, clock_ms)

    def stop(
        self, order: coordination.StopOrder, now_s: float
    ) -> coordination.OrderAnswer:
        """Carry out an order to stop a run."""
        outcomes = coordination.OrderOutcome
        clock_ms = int(self.clock_ms(now_s))
        if order.fence < self.fence:
            return coordination.OrderAnswer(outcomes.FENCED, clock_ms)
        self.fence = order.fence
        name = order.key.task_name
        last_ended_run = self.last_ended_runs.get(name, 0)
        self.last_ended_runs[name] = max(last_ended_run, order.key.run)
        run = self.runs.get(name)
        if run is not None and run.key.run <= order.key.run:
            run.ends_s = min(run.ends_s, now_s + STOP_S)
            run.ending = state.RunEnding.STOPPED
        return coordination.OrderAnswer(outcomes.DONE, clock_ms)

    def poll(
        self, order: coordination.LookOrder, now_s: float, extra_ms: float
    ) -> coordination.LookAnswer:
        """Return the lists, and extend the lease if the poll grants one."""
        outcomes = coordination.OrderOutcome
        clock_ms = int(self.clock_ms(now_s))
        if order.fence < self.fence:
            return coordination.LookAnswer(outcomes.FENCED, clock_ms)
        self.fence = order.fence
        if order.until_ms:
            self._extend(order.until_ms + extra_ms, clock_ms)
        for end, ended_s in self.ended:
            if end.number <= order.noted_end:
                has_expired = self.expired_at_s > ended_s
                self.ledger.check_committed_end(end, ended_s, has_expired)
        self.ended = [
            item for item in self.ended if item[0].number > order.noted_end
        ]
        running = tuple(
            coordination.ListedRun(run.key, '', 100, None)
            for run in self.runs.values()
        )
        ended = tuple(end for end, _ in self.ended)
        return coordination.LookAnswer(
            outcomes.DONE, clock_ms, self.born_ms, running, ended
        )

    def _extend(self, until_ms: float, clock_ms: float) -> None:
        bounded_ms = min(until_ms, clock_ms + MAX_LEASE_MS)
        self.lease_ms = max(self.lease_ms, bounded_ms)

    def _begin(self, order: coordination.StartOrder, now_s: float) -> None:
        spec = self.ledger.specs.get(order.key.job_id)
        room = state.Room()
        is_lasting = False
        if spec is not None:
            step = spec.steps[order.key.step_number]
            room, is_lasting = step.room, step.is_lasting
        self.ledger.record_start(self, order.key, now_s)
        run_s = self.rng.uniform(0.1, 1.2)
        if is_lasting:
            run_s = self.rng.choice((1000.0, 1000.0, 3.0))
        if self.run_s is not None:
            run_s = self.run_s
        if is_lasting and self.lasting_run_s is not None:
            run_s = self.lasting_run_s
        if self.is_stalled:
            run_s = 1000.0
        ending = state.RunEnding.DONE
        is_failing = self.rng.random() < self.fail_ratio or self.fails_all
        if is_lasting or is_failing:
            ending = state.RunEnding.FAILED
        fuse_s = self.ledger.deadly.get(order.key.task_name, float('inf'))
        self.runs[order.key.task_name] = FakeRun(
            order.key,
            0.0,
            now_s + run_s,
            ending,
            room,
            crashes_at_s=now_s + fuse_s,
        )
        used = sum(r.room.cpu_millicores for r in self.runs.values())
        limit = self.room.cpu_millicores
        if now_s < self._room_due_s:
            limit = max(limit, self._former_room.cpu_millicores)
        if used > limit:
            raise InvariantError(
                f'{order.key.name} brings {self.worker_id} over its room: '
                f'{used} of {limit} millicores'
            )

    def _end(self, name: str, ending: state.RunEnding, now_s: float) -> None:
        run = self.runs.pop(name)
        self.ledger.remove_run(self, run.key)
        self.last_ended_runs[name] = max(
            self.last_ended_runs.get(name, 0), run.key.run
        )
        self.end_count += 1
        end = state.RunEnd(self.end_count, run.key, ending, '')
        self.ended.append((end, now_s))
        self.ledger.on_end(self.worker_id, end)
        if ending is state.RunEnding.FAILED:
            name = run.key.task_name
            count = self.ledger.failed_ends.get(name, 0) + 1
            self.ledger.failed_ends[name] = count
        if ending is state.RunEnding.DONE:
            self.ledger.done_tasks.add(name)
