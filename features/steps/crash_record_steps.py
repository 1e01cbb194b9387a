"""Steps that apply records of crashed workers to the state of jobs."""

from typing import Any

from behave import given
from behave import then
from behave import when
import msgspec

from features.search import job_search
from features.steps.job_rule_steps import SMALL
from greengagering import state

JOB_ID = 'job0'
SECOND_MS = 1000
MINUTE_MS = 60 * SECOND_MS


class Records:
    """A state with one job, whose tasks are spread over workers.

    Attributes:
        jobs: the state that the records build.
        workers: index of the worker for each task.
    """

    def __init__(self, step: state.StepSpec, workers: list[int]) -> None:
        self.jobs = state.JobsState()
        self.workers = workers
        self._born_ms = dict.fromkeys(workers, 1)
        self._now_ms = 0
        spec = state.JobSpec(JOB_ID, 'text', (step,))
        self._apply(state.JobAccepted(spec, job_search.QUEUE, 0))
        for worker in self._born_ms:
            self._apply(state.LifeSeen(self._facts(worker)))
        self._start_waiting()

    @property
    def job(self) -> state.Job:
        """The job."""
        return self.jobs.jobs[JOB_ID]

    def end_worker(
        self,
        worker: int,
        *,
        is_crash: bool = True,
        is_unanswered: bool = False,
        after_ms: int = SECOND_MS,
    ) -> None:
        """Record that a worker has ended, that it is back, and new starts."""
        self._now_ms += after_ms
        life = self.jobs.lives[self._facts(worker).key]
        runs = tuple(life.runs.values()) if is_crash else ()
        unanswered = runs if is_unanswered else ()
        at_ms = self._now_ms if is_crash else 0
        key = life.facts.key
        self._apply(
            state.LifeOver(key, 'reborn', runs, runs, unanswered, at_ms)
        )
        self._born_ms[worker] += 1
        self._apply(state.LifeSeen(self._facts(worker)))
        self._start_waiting()

    def fail_run(self, index: int) -> None:
        """Record that a task's run has failed, and start it again."""
        task = f'0.0.{index}'
        key = state.RunKey(JOB_ID, task, self.job.tasks[task].run)
        end = state.RunEnd(1, key, state.RunEnding.FAILED, '')
        life_key = self._facts(self.workers[index]).key
        self._apply(state.EndsNoted(life_key, (end,)))
        self._start_waiting()

    def store_and_read(self) -> None:
        """Replace the state by what a snapshot of it holds."""
        data = msgspec.msgpack.encode(self.jobs)
        self.jobs = msgspec.msgpack.decode(data, type=state.JobsState)

    def _start_waiting(self) -> None:
        for index, worker in enumerate(self.workers):
            name = f'0.0.{index}'
            task = self.job.tasks.get(name, state.Task())
            if not task.live_runs:
                key = state.RunKey(JOB_ID, name, task.run + 1)
                life_key = self._facts(worker).key
                self._apply(state.RunsAllotted((key,), (life_key,)))

    def _facts(self, worker: int) -> state.WorkerFacts:
        return state.WorkerFacts(
            f'worker-{worker}',
            self._born_ms[worker],
            'service-a',
            f'{worker}:80',
            'dc-1',
            '',
            (),
            state.Room(8000, 8000),
        )

    def _apply(self, record: state.JobRecord) -> None:
        state.apply_to_jobs(self.jobs, record)


@given('the records of a gang with 4 members, 2 on each of 2 workers')
def record_gang(context: Any) -> None:
    step = state.StepSpec(4, SMALL, 1.0, is_gang=True)
    context.records = Records(step, [0, 0, 1, 1])


@given('the records of a step with 4 tasks, 1 on each of 4 workers')
def record_step(context: Any) -> None:
    context.records = Records(state.StepSpec(4, SMALL, 1.0), [0, 1, 2, 3])


@when('the worker of members 0 and 1 crashes {count:d} times')
@when('the worker of task 0 crashes {count:d} times')
def crash_worker(context: Any, count: int) -> None:
    for _ in range(count):
        context.records.end_worker(0)


@when(
    'the worker of task 0 crashes {count:d} times without an answer to its '
    'start'
)
def crash_unanswered(context: Any, count: int) -> None:
    for _ in range(count):
        context.records.end_worker(0, is_unanswered=True)


@when('the run of task 0 fails by itself')
def fail_run(context: Any) -> None:
    context.records.fail_run(0)


@when('all 4 workers crash once')
def crash_all(context: Any) -> None:
    for worker in range(4):
        context.records.end_worker(worker)


@when('all 4 workers end {count:d} times as the former version records it')
def end_all(context: Any, count: int) -> None:
    for _ in range(count):
        for worker in range(4):
            context.records.end_worker(worker, is_crash=False)


@when(
    'the worker of task 0 crashes {count:d} times, {minutes:d} minutes apart'
)
def crash_rarely(context: Any, count: int, minutes: int) -> None:
    for _ in range(count):
        context.records.end_worker(0, after_ms=minutes * MINUTE_MS)


@when(
    'the worker of task 0 crashes {count:d} times, and the state is stored '
    'and read'
)
def crash_and_store(context: Any, count: int) -> None:
    crash_worker(context, count)
    context.records.store_and_read()


@then("the gang's job has failed")
@then('the job of the records has failed')
def check_failed(context: Any) -> None:
    assert context.records.job.status is state.JobStatus.FAILED


@then('the job of the records is still active')
def check_active(context: Any) -> None:
    assert context.records.job.status is state.JobStatus.ACTIVE


@then('the job of the records is still active, and counts no crash')
def check_uncounted(context: Any) -> None:
    check_active(context)
    tasks = context.records.job.tasks.values()
    assert not any(task.crashes for task in tasks)
