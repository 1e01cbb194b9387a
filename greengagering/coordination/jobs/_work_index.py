"""Index of the tasks that wait for a worker, built from committed jobs."""

import dataclasses

from greengagering.coordination.jobs._due_occurrences import DueOccurrences
from greengagering.coordination.jobs._step_graph import build_graph
from greengagering.coordination.jobs._step_graph import StepGraph
from greengagering.coordination.workers import RunView
from greengagering.coordination.workers import WaitTimes
from greengagering import state

WORTHLESS_RATIO = 3.0
"""Multiple of its objective after which a finished job has no value for its
caller. To be late (is_late) is to miss the objective itself."""


CHAIN_TIME_FACTOR = 1.1
"""Assumed duration of a chain of steps as a multiple of its estimate. Orders
and polls add to run times; with a lower value, a job that can meet its
objective only if it runs faster than estimated counts as on time, and starts
before one that can meet its objective as estimated."""


@dataclasses.dataclass(slots=True)
class StepWork:
    """The tasks of one step of one occurrence that are ready to run.

    Attributes:
        job: its job.
        occurrence: number of the job's occurrence.
        number: number of the step.
        waiting: indexes of tasks that wait for a worker.
        objective_end_s: time by which the occurrence's objective wants the
            job done; first_due_ms is about its start.
        worthless_at_s: when the job loses its value for the caller.
        remaining_s: estimated time from the step's start to the job's end.
        ready_since_s: when the step became ready.
        run_times_s: run times of its successful runs.
        suspects: those of the waiting ones under which workers have crashed.
        failed_at: incarnations at which a task failed or stalled, by the
            task's index.
        waits: what its waiting tasks wait for, since it is ready.
        last_run: the run that ended last, or None.
        last_ended_s: when its end was listed.
        is_finished: whether the steps that follow it were looked at, as all
            of its tasks are done.
    """

    job: state.Job
    occurrence: int
    number: int
    waiting: set[int]
    objective_end_s: float
    worthless_at_s: float
    remaining_s: float
    ready_since_s: float
    run_times_s: list[float] = dataclasses.field(default_factory=list)
    suspects: set[int] = dataclasses.field(default_factory=set)
    failed_at: dict[int, set[str]] = dataclasses.field(default_factory=dict)
    waits: WaitTimes = dataclasses.field(default_factory=WaitTimes)
    last_run: RunView | None = None
    last_ended_s: float = 0.0
    is_finished: bool = False

    def set_waiting(self, index: int, task: state.Task | None) -> None:
        """Record that a task waits; `task` is None before its first run."""
        self.waiting.add(index)
        if task is not None and task.crashes is not None:
            self.suspects.add(index)

    def clear_waiting(self, index: int) -> None:
        """Record that a task doesn't wait."""
        self.waiting.discard(index)
        self.suspects.discard(index)

    @property
    def step(self) -> state.StepSpec:
        """Specification of the step."""
        return self.job.spec.steps[self.number]

    def is_late(self, now_s: float) -> bool:
        """Tell whether the job misses its objective even if started now."""
        return (
            now_s + CHAIN_TIME_FACTOR * self.remaining_s > self.objective_end_s
        )

    @property
    def step_key(self) -> str:
        """Key of the step within its job, as 'occurrence.step'."""
        return f'{self.occurrence}.{self.number}'


class WorkIndex:
    """Ready steps of active jobs.

    Attributes:
        steps: ready steps by job id and step key.
    """

    def __init__(self) -> None:
        self.steps: dict[str, dict[str, StepWork]] = {}
        self._jobs: dict[str, _IndexedJob] = {}
        self._due = DueOccurrences()
        # Names of tasks whose next run is proposed and not yet committed.
        self._proposed: set[str] = set()

    def add_job(self, job: state.Job, now_s: float, now_ms: int) -> None:
        """Add a job; add_due adds the occurrences of one with due times."""
        spec = job.spec
        self.steps.setdefault(spec.job_id, {})
        self._jobs[spec.job_id] = _IndexedJob(
            build_graph(spec), find_objective_s(job)
        )
        if spec.first_due_ms or spec.occurrence_count > 1:
            self._due.add(job)
        else:
            age_s = _age_s(job.accepted_at_ms, now_ms)
            self._add_occurrence(job, 0, now_s - age_s, now_s)

    def add_due(self, now_s: float, now_ms: int) -> bool:
        """Add occurrences that are due; tell if there were any."""
        is_added = False
        for job, occurrence, due_ms in self._due.take_due(now_ms):
            since_s = now_s - _age_s(due_ms, now_ms)
            self._add_occurrence(job, occurrence, since_s, now_s)
            is_added = True
        return is_added

    def remove_job(self, job_id: str) -> None:
        """Remove the ready steps of a job."""
        self.steps.pop(job_id, None)
        self._jobs.pop(job_id, None)
        self._due.remove(job_id)

    def find(self, key: state.RunKey) -> StepWork | None:
        """Return the step of a run, or None if it isn't ready."""
        return self.steps.get(key.job_id, {}).get(key.step_key)

    def mark_proposed(self, key: state.RunKey) -> None:
        """Remove a task from the waiting ones, as its run is proposed."""
        self._proposed.add(key.task_name)
        work = self.find(key)
        if work is not None:
            work.clear_waiting(int(key.task.rpartition('.')[2]))

    def mark_committed(self, key: state.RunKey) -> None:
        """Record that the proposed run of a task is committed."""
        self._proposed.discard(key.task_name)

    def refresh_task(self, key: state.RunKey) -> None:
        """Update from the committed state whether a task is waiting."""
        work = self.find(key)
        if work is None:
            return
        index = int(key.task.rpartition('.')[2])
        if index >= work.step.task_count:
            # A worker may list the end of a task that the step lacks.
            return
        task = work.job.tasks.get(key.task)
        is_waiting = task is None or not (task.is_done or task.live_runs)
        if is_waiting and key.task_name not in self._proposed:
            work.set_waiting(index, task)
        else:
            work.clear_waiting(index)

    def finish_step(self, key: state.RunKey, now_s: float) -> None:
        """Add the steps that depend on a step, if that has just finished.

        Args:
            key: a run whose end completed its task, or its gang.
            now_s: the leader's clock.
        """
        work = self.find(key)
        if work is None or work.is_finished:
            return
        if not work.job.is_step_done(work.occurrence, work.number):
            return
        self._mark_finished(work)
        if work.step.is_gang:
            # The end of one member completes the tasks of all of them.
            for index in range(work.step.task_count):
                task = f'{work.step_key}.{index}'
                self.refresh_task(dataclasses.replace(key, task=task))
        deadlines = _Deadlines.of_work(work)
        graph = self._jobs[key.job_id].graph
        for number in graph.following[work.number]:
            self._add_step(work.job, work.occurrence, number, deadlines, now_s)
        if work.job.spec.occurrence_count > 1:
            self._remove_if_done(work.job, work.occurrence)

    def _mark_finished(self, work: StepWork) -> None:
        if not work.is_finished:
            work.is_finished = True
            if not work.step.is_lasting:
                self._due.note_finished(work.job.spec.job_id)

    def _remove_if_done(self, job: state.Job, occurrence: int) -> None:
        """Remove an occurrence that is done, as a job may have thousands.

        Ends that are committed together may have finished several steps, of
        which finish_step is told one after the other.
        """
        if not job.is_occurrence_done(occurrence):
            return
        steps = self.steps[job.spec.job_id]
        for number in range(len(job.spec.steps)):
            work = steps.pop(f'{occurrence}.{number}', None)
            if work is not None:
                self._mark_finished(work)

    def _add_occurrence(
        self,
        job: state.Job,
        occurrence: int,
        since_s: float,
        now_s: float,
    ) -> None:
        objective_s = self._jobs[job.spec.job_id].objective_s
        deadlines = _Deadlines(
            since_s + objective_s,
            since_s + WORTHLESS_RATIO * objective_s,
        )
        for number in range(len(job.spec.steps)):
            self._add_step(job, occurrence, number, deadlines, now_s)

    def _add_step(
        self,
        job: state.Job,
        occurrence: int,
        number: int,
        deadlines: '_Deadlines',
        now_s: float,
    ) -> None:
        steps = self.steps.get(job.spec.job_id)
        key = f'{occurrence}.{number}'
        if steps is None or key in steps:
            return
        if job.is_step_done(occurrence, number):
            return
        step = job.spec.steps[number]
        indexed = self._jobs[job.spec.job_id]
        if not indexed.is_ready(job, occurrence, number):
            return
        work = StepWork(
            job,
            occurrence,
            number,
            set(),
            deadlines.objective_end_s,
            deadlines.worthless_at_s,
            indexed.graph.remaining_s[number],
            now_s,
        )
        for index in range(step.task_count):
            task = job.tasks.get(f'{key}.{index}')
            if task is None or not (task.is_done or task.live_runs):
                work.set_waiting(index, task)
        steps[key] = work
        if not step.is_lasting:
            self._due.note_open(job.spec.job_id)


@dataclasses.dataclass(frozen=True, slots=True)
class _Deadlines:
    objective_end_s: float
    worthless_at_s: float

    @staticmethod
    def of_work(work: StepWork) -> '_Deadlines':
        return _Deadlines(work.objective_end_s, work.worthless_at_s)


class _IndexedJob:
    """What the index knows of a job besides its ready steps.

    Attributes:
        graph: order of its steps.
        objective_s: time within which an occurrence should finish.
    """

    def __init__(self, graph: StepGraph, objective_s: float) -> None:
        self.graph = graph
        self.objective_s = objective_s
        # How many of the steps in `after` are known to be done, by occurrence
        # and number of a step that isn't ready. Done tasks stay done, so that
        # each of them is checked once.
        self._checked: dict[tuple[int, int], int] = {}

    def is_ready(self, job: state.Job, occurrence: int, number: int) -> bool:
        """Tell whether the steps are done that a step depends on."""
        after = job.spec.steps[number].after
        place = (occurrence, number)
        first = self._checked.pop(place, 0)
        for position in range(first, len(after)):
            if not job.is_step_done(occurrence, after[position]):
                if position:
                    self._checked[place] = position
                return False
        return True


def _age_s(since_ms: int, now_ms: int) -> float:
    return max(0.0, (now_ms - since_ms) / 1000)


def find_objective_s(job: state.Job) -> float:
    """Return the time within which a job should finish, by its queue.

    It is the queue's stretch factor times the estimated time of the longest
    chain of steps, plus the queue's fixed allowance.
    """
    return job.queue.stretch * find_chain_s(job.spec) + job.queue.target_s


def find_chain_s(spec: state.JobSpec) -> float:
    """Return the estimated time of a job's longest chain of steps."""
    chain_s: list[float] = []
    for step in spec.steps:
        before_s = max((chain_s[n] for n in step.after), default=0.0)
        chain_s.append(before_s + step.estimate_s)
    return max(chain_s, default=0.0)
