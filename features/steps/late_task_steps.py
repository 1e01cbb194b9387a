"""Steps about what late tasks waited for."""

import re
from typing import Any

from behave import given
from behave import then
from behave import when

from features.search import worker_fakes
from features.steps import worker_order_steps
from greengagering import coordination
from greengagering.coordination import workers
from greengagering import state

LATE_EVENTS = ('start_late', 'end_late', 'job_late')
KEY = worker_order_steps.KEY
FULL_ROOM = state.Room(
    worker_fakes.ROOM.cpu_millicores, worker_fakes.ROOM.memory_mb
)
TOLERANCE_S = 0.25
"""Longest time between two plans, which see what tasks wait for."""


class Leader:
    """A leader's scheduler with one worker; it keeps the logged decisions.

    Attributes:
        decisions: decisions logged so far.
        start: the newest order to start the run.
    """

    def __init__(self) -> None:
        self.facts = worker_order_steps.create_facts('w:80')
        jobs = state.JobsState()
        state.apply_to_jobs(jobs, state.LifeSeen(self.facts))
        self.scheduler = coordination.JobScheduler(jobs)
        self.scheduler.start_leading(1, 0.0, 0)
        self.decisions: list[coordination.Decision] = []
        self.start: coordination.StartOrder | None = None
        report = coordination.WorkerReport(
            self.facts, 1, 900, is_draining=False
        )
        self.scheduler.handle_report(report, 0.0)
        self.poll(0.0, 0.0)

    @property
    def view(self) -> workers.WorkerView:
        """The leader's view of the worker."""
        return self.scheduler.workers[self.facts.key]

    def submit(self, job_id: str, step: state.StepSpec, now_s: float) -> None:
        """Let a job be accepted."""
        spec = state.JobSpec(job_id, 'text', (step,))
        queue = state.Queue(
            'queue-a', 'jobs', '/a/', 'service-a', stretch=1.0, target_s=0.0
        )
        record = state.JobAccepted(spec, queue, 0)
        state.apply_to_jobs(self.scheduler.jobs, record)
        self.scheduler.handle_applied(record, now_s, 0)

    def advance(self, now_s: float) -> None:
        """Run a step, and keep its orders and decisions."""
        worker_order_steps.commit(self.scheduler, now_s)
        for order in self.scheduler.take_orders():
            if isinstance(order, coordination.StartOrder):
                self.start = order
        self.decisions += self.scheduler.take_decisions()

    def answer(self, outcome: coordination.OrderOutcome, now_s: float) -> None:
        """Answer the newest order to start the run."""
        assert self.start is not None, 'no order is open'
        start, self.start = self.start, None
        worker_order_steps.answer_order(self.scheduler, start, outcome, now_s)
        self.decisions += self.scheduler.take_decisions()

    def poll(
        self,
        sent_at_s: float,
        now_s: float,
        answer: coordination.LookAnswer | None = None,
    ) -> None:
        """Poll the worker; by default it lists nothing."""
        fence = workers.create_fence(1, 1)
        order = coordination.LookOrder(self.facts, fence, 0, 0, 0)
        if answer is None:
            answer = self.lists(now_s)
        self.scheduler.handle_poll_answer(order, 0, answer, sent_at_s, now_s)
        worker_order_steps.commit(self.scheduler, now_s)
        self.decisions += self.scheduler.take_decisions()

    def lists(
        self,
        now_s: float,
        running: tuple[coordination.ListedRun, ...] = (),
        ended: tuple[state.RunEnd, ...] = (),
    ) -> coordination.LookAnswer:
        """Return the worker's lists."""
        return coordination.LookAnswer(
            coordination.OrderOutcome.DONE,
            900 + int(now_s * 1000),
            self.facts.born_ms,
            running,
            ended,
        )

    def late(self) -> list[coordination.Decision]:
        """Return what was logged as late."""
        return [d for d in self.decisions if d.event in LATE_EVENTS]


def seconds_of(text: str) -> dict[str, float]:
    """Parse '1.4 s for order, 0.5 s for slot'."""
    found = re.findall(r'([\d.]+) s for (\w+)', text)
    return {cause: float(seconds) for seconds, cause in found}


@given('a leader that orders the start of a run')
@given(
    'a leader that orders the start of a run of a job with an objective of 1 s'
)
def order_start(context: Any) -> None:
    context.leader = leader = Leader()
    step = state.StepSpec(1, state.Room(1000, 100), estimate_s=1.0)
    leader.submit(KEY.job_id, step, 0.1)
    leader.advance(0.1)
    assert leader.start is not None


@when('the order is unanswered at {at_s:g} s')
def leave_unanswered(context: Any, at_s: float) -> None:
    context.leader.answer(coordination.OrderOutcome.NO_ANSWER, at_s)


@when('the order is unsent at {at_s:g} s')
def leave_unsent(context: Any, at_s: float) -> None:
    context.leader.answer(coordination.OrderOutcome.NOT_SENT, at_s)


@when('the worker is responsive until {until_s:g} s')
def advance_until(context: Any, until_s: float) -> None:
    # The retry that is due before is given at that time.
    if context.leader.view.suspect_since_s is not None:
        context.leader.poll(0.6, 0.6)
    context.leader.advance(until_s)


@when('the worker is suspect until {until_s:g} s')
def suspect_until(context: Any, until_s: float) -> None:
    leader = context.leader
    leader.view.mark_suspect(0.7)
    leader.advance(1.0)
    leader.poll(until_s, until_s)
    leader.advance(until_s)


@when('the start is confirmed at {at_s:g} s')
def confirm_start(context: Any, at_s: float) -> None:
    leader = context.leader
    if leader.start is None:
        leader.poll(at_s - 0.1, at_s - 0.1)
        leader.advance(at_s - 0.1)
    leader.answer(coordination.OrderOutcome.DONE, at_s)


@when('a poll that was sent at {sent_at_s:g} s is unanswered at {at_s:g} s')
def lose_poll(context: Any, sent_at_s: float, at_s: float) -> None:
    lost = coordination.LookAnswer(coordination.OrderOutcome.NO_ANSWER)
    context.leader.poll(sent_at_s, at_s, lost)


@when('the run is listed at {at_s:g} s')
def list_run(context: Any, at_s: float) -> None:
    leader = context.leader
    running = (coordination.ListedRun(KEY, '', 100, None),)
    leader.poll(at_s, at_s, leader.lists(at_s, running))


@when('the end is listed at {at_s:g} s')
def list_end(context: Any, at_s: float) -> None:
    leader = context.leader
    ended = (state.RunEnd(1, KEY, state.RunEnding.DONE, ''),)
    leader.poll(at_s, at_s, leader.lists(at_s, ended=ended))


@then('the late start is logged with {count:d} orders, {text}')
def check_late_start(context: Any, count: int, text: str) -> None:
    (logged,) = context.leader.late()
    assert logged.event == 'start_late', logged
    assert logged.fields['sent'] == count, logged
    context.seconds = seconds_of(text)
    for cause, seconds in context.seconds.items():
        assert abs(logged.fields[f'{cause}_s'] - seconds) < 0.01, logged


@then('the metrics sum these seconds')
def check_sums(context: Any) -> None:
    summed = context.leader.scheduler.waits.task_seconds.seconds
    found = {str(cause): round(s, 3) for cause, s in summed.items()}
    assert found == context.seconds, found


@then('the late end is logged as at most {seconds:g} s old')
def check_late_end(context: Any, seconds: float) -> None:
    logged = [d for d in context.leader.late() if d.event == 'end_late']
    assert [d.fields['at_most_s'] for d in logged] == [seconds], logged


@then('nothing is logged as late')
def check_nothing_late(context: Any) -> None:
    logged = [d for d in context.leader.late() if d.event != 'job_late']
    assert not logged, logged


@given('a leader whose pool has {pool}')
def create_pool(context: Any, pool: str) -> None:
    context.leader = leader = Leader()
    context.task_room = FULL_ROOM
    half = state.Room(FULL_ROOM.cpu_millicores // 2, 100)
    full = state.StepSpec(1, FULL_ROOM, estimate_s=60.0)
    if pool == 'a suspect worker with room for both':
        context.task_room = half
        leader.view.mark_suspect(0.9)
    elif pool == 'a suspect worker with room for one':
        leader.view.mark_suspect(0.9)
    else:
        leader.submit('job0', full, 0.1)
        leader.advance(0.1)
    if pool == 'an unanswered start that holds the room':
        context.task_room = half
        leader.answer(coordination.OrderOutcome.NO_ANSWER, 0.6)
        leader.poll(0.6, 0.6)
    elif pool == 'a machine that is arriving':
        leader.answer(coordination.OrderOutcome.DONE, 0.1)
        cores = 2 * FULL_ROOM.cpu_millicores / 1000
        leader.scheduler.waits.arriving_cores = {'service-a': cores}
    elif pool == 'a worker that is full':
        leader.answer(coordination.OrderOutcome.DONE, 0.2)


@when('a job of 2 tasks waits from 1 s to 3 s')
def let_wait(context: Any) -> None:
    leader = context.leader
    step = state.StepSpec(2, context.task_room, estimate_s=1.0)
    leader.submit('job2', step, 1.0)
    for tick in range(101):
        leader.advance(1.0 + tick * 0.02)


@then('the metrics sum {seconds:g} s for {cause}')
def check_waits(context: Any, seconds: float, cause: str) -> None:
    summed = context.leader.scheduler.waits.task_seconds.seconds
    found = {str(name): round(s, 3) for name, s in summed.items()}
    assert abs(found.get(cause, 0.0) - seconds) <= 2 * TOLERANCE_S, found


@then(
    'the late job is logged with {order_s:g} s for order, {run_s:g} s for run '
    'and {poll_s:g} s for poll'
)
def check_late_job(
    context: Any, order_s: float, run_s: float, poll_s: float
) -> None:
    logged = [d for d in context.leader.late() if d.event == 'job_late']
    assert len(logged) == 1, logged
    fields = logged[0].fields
    found = [fields[f'{cause}_s'] for cause in ('order', 'run', 'poll')]
    assert found == [order_s, run_s, poll_s], fields
