"""Which tasks wait for a worker, derived from the committed jobs."""

import dataclasses
import heapq

from greengagering import state

LATE_RATIO = 3.0
"""Multiple of its objective after which a job earns its caller nothing."""


CHAIN_SHARE = 1.1
"""Share of its estimate that a chain of work needs to be in time: orders and
looks add to run times, and a job that would have to be shorter than estimated
takes the place of one that need not."""


@dataclasses.dataclass(slots=True)
class StepWork:
    """The tasks of one step of one occurrence whose turn has come.

    Attributes:
        job: its job.
        occurrence: which of the job's occurrences.
        number: number of the step.
        waiting: indexes of tasks that wait for a worker.
        due_at_s: when the occurrence's objective ends.
        worthless_at_s: from then on the job earns nothing.
        rest_s: time from the step's start to the job's end, by estimates.
        since_s: when the step's turn came.
        run_times_s: how long its finished runs took.
        failed_at: workers at which a task failed, by index.
    """

    job: state.Job
    occurrence: int
    number: int
    waiting: set[int]
    due_at_s: float
    worthless_at_s: float
    rest_s: float
    since_s: float
    run_times_s: list[float] = dataclasses.field(default_factory=list)
    failed_at: dict[int, set[str]] = dataclasses.field(default_factory=dict)

    @property
    def step(self) -> state.StepSpec:
        """What the tasks are."""
        return self.job.spec.steps[self.number]

    def is_late(self, now_s: float) -> bool:
        """Tell whether the job misses its objective even if it goes on now."""
        return now_s + CHAIN_SHARE * self.rest_s > self.due_at_s

    @property
    def step_key(self) -> str:
        """Occurrence and step, as 'occurrence.step'."""
        return f'{self.occurrence}.{self.number}'


class WorkIndex:
    """Keeps the steps whose turn has come, by job."""

    def __init__(self) -> None:
        self.steps: dict[str, dict[str, StepWork]] = {}
        self._timed: list[tuple[int, str, int]] = []
        # Tasks whose next run is proposed and not committed yet.
        self._proposed: set[str] = set()

    def add_job(self, job: state.Job, now_s: float, now_ms: int) -> None:
        """Add a job and its occurrences, due or not."""
        spec = job.spec
        self.steps.setdefault(spec.job_id, {})
        for occurrence in range(spec.occurrence_count):
            due_ms = spec.first_due_ms + occurrence * spec.interval_ms
            if spec.first_due_ms and due_ms > now_ms:
                heapq.heappush(self._timed, (due_ms, spec.job_id, occurrence))
            else:
                since_ms = due_ms if spec.first_due_ms else job.accepted_at_ms
                age_s = max(0.0, (now_ms - since_ms) / 1000)
                self._add_occurrence(job, occurrence, now_s - age_s, now_s)

    def add_due(
        self, jobs: dict[str, state.Job], now_s: float, now_ms: int
    ) -> bool:
        """Add occurrences whose time has come; return whether any has."""
        is_added = False
        while self._timed and self._timed[0][0] <= now_ms:
            _, job_id, occurrence = heapq.heappop(self._timed)
            job = jobs.get(job_id)
            if job is not None and job.status is state.JobStatus.ACTIVE:
                self._add_occurrence(job, occurrence, now_s, now_s)
                is_added = True
        return is_added

    def remove_job(self, job_id: str) -> None:
        """Forget the waiting tasks of a job."""
        self.steps.pop(job_id, None)

    def find(self, key: state.RunKey) -> StepWork | None:
        """Return the step of a run, once its turn has come."""
        return self.steps.get(key.job_id, {}).get(key.step_key)

    def note_proposed(self, key: state.RunKey) -> None:
        """Let a task wait no more, as its next run is proposed."""
        self._proposed.add(key.task_name)
        work = self.find(key)
        if work is not None:
            work.waiting.discard(int(key.task.rpartition('.')[2]))

    def note_allotted(self, key: state.RunKey) -> None:
        """The run that was proposed is committed."""
        self._proposed.discard(key.task_name)

    def note_task(self, key: state.RunKey) -> None:
        """Let a task wait again, or no more, by its committed state."""
        work = self.find(key)
        if work is None:
            return
        index = int(key.task.rpartition('.')[2])
        task = work.job.tasks.get(key.task)
        is_waiting = task is None or not (task.is_done or task.live_runs)
        if is_waiting and key.task_name not in self._proposed:
            work.waiting.add(index)
        else:
            work.waiting.discard(index)

    def note_progress(self, key: state.RunKey, now_s: float) -> None:
        """Add the steps that a finished step has held up."""
        work = self.find(key)
        if work is None:
            return
        job = work.job
        if job.done_counts.get(work.step_key, 0) < work.step.task_count:
            return
        for number, step in enumerate(job.spec.steps):
            if work.number in step.after:
                self._add_step(
                    job,
                    work.occurrence,
                    number,
                    _Window.of_work(work),
                    now_s,
                )

    def _add_occurrence(
        self,
        job: state.Job,
        occurrence: int,
        since_s: float,
        now_s: float,
    ) -> None:
        objective_s = find_objective_s(job)
        window = _Window(
            since_s + objective_s, since_s + LATE_RATIO * objective_s
        )
        for number in range(len(job.spec.steps)):
            self._add_step(job, occurrence, number, window, now_s)

    def _add_step(
        self,
        job: state.Job,
        occurrence: int,
        number: int,
        window: '_Window',
        now_s: float,
    ) -> None:
        steps = self.steps.get(job.spec.job_id)
        key = f'{occurrence}.{number}'
        if steps is None or key in steps:
            return
        step = job.spec.steps[number]
        for earlier in step.after:
            done = job.done_counts.get(f'{occurrence}.{earlier}', 0)
            if done < job.spec.steps[earlier].task_count:
                return
        waiting = set()
        for index in range(step.task_count):
            task = job.tasks.get(f'{key}.{index}')
            if task is None or not (task.is_done or task.live_runs):
                waiting.add(index)
        steps[key] = StepWork(
            job,
            occurrence,
            number,
            waiting,
            window.due_at_s,
            window.worthless_at_s,
            _find_rest_s(job.spec, number),
            now_s,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _Window:
    due_at_s: float
    worthless_at_s: float

    @staticmethod
    def of_work(work: StepWork) -> '_Window':
        return _Window(work.due_at_s, work.worthless_at_s)


def _find_rest_s(spec: state.JobSpec, number: int) -> float:
    """Return the longest chain of estimates that begins with a step."""
    rest_s: dict[int, float] = {}
    for later in range(len(spec.steps) - 1, number - 1, -1):
        following = [rest_s[n] for n in rest_s if later in spec.steps[n].after]
        rest_s[later] = spec.steps[later].estimate_s + max(
            following, default=0.0
        )
    return rest_s[number]


def find_objective_s(job: state.Job) -> float:
    """Return the time that a job's queue promises for it."""
    chain_s: list[float] = []
    for step in job.spec.steps:
        before_s = max((chain_s[n] for n in step.after), default=0.0)
        chain_s.append(before_s + step.estimate_s)
    longest_s = max(chain_s, default=0.0)
    return job.queue.stretch * longest_s + job.queue.target_s
