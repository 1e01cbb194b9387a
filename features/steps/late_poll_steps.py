"""Steps about polls that a later process under the worker's name carries out.

The process is a fake that keeps the highest fence, as workers do.
"""

from typing import Any

from behave import given
from behave import then
from behave import when

from features.search import job_search
from features.steps import late_start_steps
from features.steps import unanswered_order_steps
from greengagering import coordination
from greengagering import state

JOB_ID = 'job3'
STEP_S = 0.1

_outcomes = coordination.OrderOutcome


class LaterProcess:
    """A process that has its worker's name after a restart.

    Attributes:
        facts: what it reported.
        started: the runs that it was ordered to start, in their order.
        running: the runs in progress, by name.
        ended: the ends that it lists.
        clock_start_ms: its clock at 1 s.
    """

    def __init__(
        self, facts: state.WorkerFacts, clock_start_ms: int = 0
    ) -> None:
        self.facts = facts
        self.clock_start_ms = clock_start_ms
        self.started: list[state.RunKey] = []
        self.running: dict[str, state.RunKey] = {}
        self.ended: list[state.RunEnd] = []
        self._fence = 0
        self._end_count = 0

    def carry_out(self, order: coordination.Order) -> _outcomes:
        """Carry out an order."""
        if order.fence < self._fence:
            return _outcomes.FENCED
        self._fence = order.fence
        if isinstance(order, coordination.StartOrder):
            self.started.append(order.key)
            self.running[order.key.name] = order.key
        return _outcomes.DONE

    def poll(
        self, order: coordination.LookOrder, clock_ms: int
    ) -> coordination.LookAnswer:
        """Drop the ends that are noted, and return the lists."""
        if order.fence < self._fence:
            return coordination.LookAnswer(_outcomes.FENCED, clock_ms)
        self._fence = order.fence
        self.ended = [e for e in self.ended if e.number > order.noted_end]
        return coordination.LookAnswer(
            _outcomes.DONE,
            clock_ms,
            self.facts.born_ms,
            tuple(
                coordination.ListedRun(key, '', 100, None)
                for key in self.running.values()
            ),
            tuple(self.ended),
        )

    def end_runs(self, job_id: str) -> None:
        """Let the runs of a job end done."""
        for name, key in list(self.running.items()):
            if key.job_id == job_id:
                del self.running[name]
                self._end_count += 1
                self.ended.append(
                    state.RunEnd(
                        self._end_count, key, state.RunEnding.DONE, ''
                    )
                )


@given(
    'a worker with a poll at {now_s:g} s that takes the number of its end '
    '{number:d} and gets no answer'
)
def leave_poll(context: Any, now_s: float, number: int) -> None:
    worker = unanswered_order_steps.OrderedWorker(1)
    context.worker = worker
    worker.step(0.1)
    worker.answer(0, 0.12)
    worker.scheduler.jobs.lives[worker.facts.key].noted_end = number
    worker.view.proposed_end = number
    poll = worker.scheduler.next_poll(worker.facts.key, now_s)
    assert poll is not None
    assert poll.noted_end == number, poll
    grant = worker.scheduler.open_poll_grant(poll, now_s)
    worker.scheduler.handle_poll_answer(
        poll,
        grant,
        coordination.LookAnswer(_outcomes.NO_ANSWER),
        now_s,
        now_s + unanswered_order_steps.ORDER_TIMEOUT_S,
    )
    context.late_poll = poll


@when('the worker restarts again, and reports at {now_s:g} s')
def restart_again(context: Any, now_s: float) -> None:
    late_start_steps.return_as(context, 2, now_s)


@given(
    'a worker that has restarted, and whose process in between is seen after '
    'that'
)
def see_between(context: Any) -> None:
    context.worker = unanswered_order_steps.OrderedWorker(1)
    late_start_steps.return_as(context, 2, 1.0)
    late_start_steps.return_as(context, 1, 1.5)


@then('the orders to its processes have fences that never fall')
def check_fences(context: Any) -> None:
    fences = find_fences(context.worker.scheduler)
    assert len(fences) == 3, fences
    assert fences == sorted(fences), fences
    assert fences[0] < fences[-1], fences


@then("a new leader's fences are above them all")
def check_later_term(context: Any) -> None:
    scheduler = coordination.JobScheduler(context.worker.scheduler.jobs)
    scheduler.start_leading(context.worker.scheduler.fence + 1, 2.0, 0)
    fences = find_fences(scheduler)
    former = find_fences(context.worker.scheduler)
    assert fences == sorted(fences), fences
    assert fences[0] > former[-1], (former, fences)


def find_fences(scheduler: coordination.JobScheduler) -> list[int]:
    """Return the fences of orders to processes, by the start of these."""
    views = sorted(
        scheduler.workers.values(), key=lambda view: view.facts.born_ms
    )
    return [view.fence for view in views]


@when('a new task is handed in, and the worker works until {until_s:g} s')
def hand_in(context: Any, until_s: float) -> None:
    worker = context.worker
    worker.stops.clear()
    context.process = LaterProcess(worker.restarted)
    spec = state.JobSpec(
        JOB_ID, 'text', (state.StepSpec(1, state.Room(100, 10)),)
    )
    late_start_steps.apply(
        worker,
        state.JobAccepted(spec, job_search.QUEUE, 0),
        worker.now_s,
    )
    work(context, until_s)


@when('the worker works until {until_s:g} s')
def work(context: Any, until_s: float) -> None:
    """Let the process carry out orders and answer polls at once."""
    worker, process = context.worker, context.process
    scheduler = worker.scheduler
    while worker.now_s < until_s:
        now_s = round(worker.now_s + STEP_S, 3)
        clock_ms = process.clock_start_ms + int((now_s - 1) * 1000)
        taken = len(worker.starts)
        worker.step(now_s)
        for number, start in enumerate(worker.starts[taken:], taken):
            if start.life == process.facts:
                outcome = process.carry_out(start)
                worker.answer(number, now_s, outcome, clock_ms)
        for stop in worker.stops:
            if stop.life == process.facts:
                outcome = process.carry_out(stop)
                answer = coordination.OrderAnswer(outcome, clock_ms)
                scheduler.handle_order_answer(stop, 0, answer, now_s, now_s)
        worker.stops.clear()
        poll = scheduler.next_poll(process.facts.key, now_s)
        if poll is not None:
            grant = scheduler.open_poll_grant(poll, now_s)
            lists = process.poll(poll, clock_ms)
            scheduler.handle_poll_answer(poll, grant, lists, now_s, now_s)


@when('its runs of that task end done, and then the late poll is carried out')
def carry_out_late_poll(context: Any) -> None:
    process = context.process
    process.end_runs(JOB_ID)
    ended = len(process.ended)
    process.poll(context.late_poll, 0)
    context.dropped = ended - len(process.ended)
    context.started = started_runs(process)


def started_runs(process: LaterProcess) -> list[int]:
    """Return the numbers of the runs of the new task."""
    return [key.run for key in process.started if key.job_id == JOB_ID]


@then('the new task was started, and not again after its end was dropped')
def check_started_once(context: Any) -> None:
    runs = started_runs(context.process)
    assert runs
    if context.dropped:
        assert runs == context.started, runs
