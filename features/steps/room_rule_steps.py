"""Steps with workers whose room changes while they run."""

from typing import Any

from behave import given
from behave import then
from behave import when

from features.search import job_search
from features.search import worker_fakes
from features.steps import job_rule_steps
from features.steps.job_rule_steps import world_of
from greengagering import coordination
from greengagering.coordination.scheduling import _admission
from greengagering.coordination.scheduling import _shares
from greengagering.coordination import workers
from greengagering import state

MEMORY_MB = 16_000
REPORT_S = 2.0
LARGE = state.StepSpec(1, state.Room(6000, 100), 1.0)


def _room(millicores: int) -> state.Room:
    return state.Room(millicores, MEMORY_MB)


@given('{names} shrink to {millicores:d} millicores')
@given('{names} shrinks to {millicores:d} millicores')
def change_rooms(context: Any, names: str, millicores: int) -> None:
    world = world_of(context)
    for name in names.replace(' and ', ', ').split(', '):
        world.workers[name].change_room(_room(millicores), world.now_s)
    # Starts that bring a worker over its room count from here on.
    world.advance(worker_fakes.ROOM_NOTICE_S)


@given('{name} has restarted with {millicores:d} millicores')
def restart_small(context: Any, name: str, millicores: int) -> None:
    world = world_of(context)
    worker = world.workers[name]
    worker.crash()
    worker.room = _room(millicores)
    worker.start_process(world.now_s)
    context.name = name


@given('it grows to {millicores:d} millicores {seconds:g} s later')
def grow_room(context: Any, millicores: int, seconds: float) -> None:
    world = world_of(context)
    world.advance(seconds)
    worker = world.workers[context.name]
    worker.change_room(_room(millicores), world.now_s)
    world.advance(REPORT_S)


@when('the leader is lost, and nobody reports for {seconds:g} s')
def lose_leader(context: Any, seconds: float) -> None:
    world = world_of(context)
    # The room counts from its notice on, so a stale one would show.
    world.advance(worker_fakes.ROOM_NOTICE_S)
    for name in world.workers:
        world._reports_s[name] = world.now_s + seconds
    node = world.leader_node()
    world.stop_control(node)
    world.advance_until(world.has_leader, seconds)


@when(
    '{name} shrinks to {millicores:d} millicores, and nobody reports while '
    'each leader is lost {term_s:g} s after it began, for {seconds:g} s'
)
def lose_leaders(
    context: Any, name: str, millicores: int, term_s: float, seconds: float
) -> None:
    world = world_of(context)
    world.workers[name].change_room(_room(millicores), world.now_s)
    ends_s = world.now_s + seconds
    for other in world.workers:
        world._reports_s[other] = ends_s + REPORT_S
    while world.now_s < ends_s:
        leader = world.leader().replica.identity.replica_id
        world.network.heal()
        followers = [n for n in world.controls if n != leader]
        world.network.isolate(leader, followers)
        world.advance_until(lambda: not world.has_leader(), REPORT_S)
        world.advance_until(world.has_leader, REPORT_S)
        world.advance(term_s)
    for other in world.workers:
        world._reports_s[other] = world.now_s + REPORT_S


@then('no start brought a worker over its room')
def check_starts(context: Any) -> None:
    # The simulation raises an InvariantError at such a start.
    assert world_of(context).ledger.start_count


@then('all {count:d} of its tasks run within {seconds:g} s')
def check_all_run(context: Any, count: int, seconds: float) -> None:
    world = world_of(context)
    world.advance_until(
        lambda: len(world.running(context.job_id)) == count, seconds
    )


class _OneWorker:
    """A leader's scheduler with one worker, and a job for it."""

    def __init__(self) -> None:
        self.jobs = state.JobsState()
        self.scheduler = coordination.JobScheduler(self.jobs)
        self.facts = state.WorkerFacts(
            'worker-0', 1, 'service-a', 'a:80', 'dc-1', '', (), _room(8000)
        )
        self.now_s = 10.0
        self.apply(state.LifeSeen(self.facts))
        spec = state.JobSpec('job0', 'text', (LARGE,))
        self.apply(state.JobAccepted(spec, job_search.QUEUE, 0))
        self.scheduler.start_leading(1, self.now_s, 10_000)
        self.report(_room(8000), 1)
        self.view = self.scheduler.workers[self.facts.key]
        self.view.mark_read(self.now_s)
        self.records = self.scheduler.step(self.now_s, 10_000)

    def apply(self, record: state.JobRecord) -> None:
        """Apply a record, as if it had been committed."""
        state.apply_to_jobs(self.jobs, record)
        self.scheduler.handle_applied(record, self.now_s, 10_000)

    def report(
        self, room: state.Room, sequence: int
    ) -> state.JobRecord | None:
        """Let the worker report its room; return the record to commit."""
        facts = state.WorkerFacts(
            'worker-0', 1, 'service-a', 'a:80', 'dc-1', '', (), room
        )
        return self.scheduler.handle_report(
            coordination.WorkerReport(facts, sequence, 1000, False), self.now_s
        )

    def take_orders(self, order_type: type) -> list[Any]:
        """Take the orders of the leader, and return those of one type."""
        orders = self.scheduler.take_orders()
        return [order for order in orders if isinstance(order, order_type)]


@given('a worker with a start of 6000 millicores that is not committed')
def open_start(context: Any) -> None:
    context.one = _OneWorker()
    assert len(context.one.records) == 1, context.one.records


@given('a worker with a start of 6000 millicores that has no answer')
def unanswered_start(context: Any) -> None:
    open_start(context)
    one = context.one
    one.apply(one.records[0])
    (order,) = one.take_orders(coordination.StartOrder)
    answer = coordination.OrderAnswer(coordination.OrderOutcome.NO_ANSWER)
    one.scheduler.handle_order_answer(order, 0, answer, one.now_s)


@given(
    'a worker of 8000 millicores whose report of {millicores:d} is not '
    'committed'
)
def report_uncommitted(context: Any, millicores: int) -> None:
    context.one = _OneWorker()
    record = context.one.report(_room(millicores), 2)
    assert isinstance(record, state.LifeSeen), record


@when('it reports that its room is {millicores:d} millicores')
def report_room(context: Any, millicores: int) -> None:
    context.one.now_s += 0.1
    context.record = context.one.report(_room(millicores), 3)
    context.one.view.mark_responsive(context.one.now_s)


@when('the start is committed')
def commit_start(context: Any) -> None:
    context.one.apply(context.one.records[0])


@then('the start is not ordered again, and the run is stopped there')
def check_stopped(context: Any) -> None:
    one = context.one
    one.now_s += 1.0
    one.scheduler.step(one.now_s, 11_000)
    orders = one.scheduler.take_orders()
    kinds = [type(order) for order in orders]
    assert kinds == [coordination.StopOrder], kinds


@then('the start is not ordered, and the run is to be voided')
def check_voided(context: Any) -> None:
    one = context.one
    assert not one.take_orders(coordination.StartOrder)
    records = one.scheduler.take_proposals()
    assert [type(record) for record in records] == [state.RunsVoided], records


@then(
    'a record of {millicores:d} millicores is to be committed before the '
    'acknowledgement'
)
def check_recorded(context: Any, millicores: int) -> None:
    assert isinstance(context.record, state.LifeSeen), context.record
    assert context.record.facts.room == _room(millicores), context.record


@then('the backlog of service-a counts {cores:d} cores')
def check_backlog(context: Any, cores: int) -> None:
    views = list(world_of(context).leader().jobs.workers.values())
    backlogs = _admission.measure_backlogs(
        [], {'service-a': views}, _shares.JobRates(), 0.0
    )
    assert round(backlogs['service-a'].cores) == cores, backlogs


@then('a job that takes {millicores:d} millicores has a share of half of them')
def check_share(context: Any, millicores: int) -> None:
    world = world_of(context)
    views = list(world.leader().jobs.workers.values())
    step = state.StepSpec(1, state.Room(millicores, 100), 1.0)
    spec = state.JobSpec('jobs', 'text', (step,))
    job = state.Job(spec, job_search.QUEUE, 0, customer='customer-a')
    run = workers.RunView(
        state.RunKey('jobs', '0.0.0', 1),
        step,
        workers.RunPhase.RUNNING,
        0.0,
        customer='customer-a',
    )
    views[0].add_run(run)
    use = _shares.PoolUse(views, {'jobs': job})
    assert use.of_customer('customer-a') == 0.5, use.of_customer('customer-a')
    views[0].remove_run(run.key.name)


@then('{cores:d} cores of work need {count:d} machines of service-a')
def check_machines(context: Any, cores: int, count: int) -> None:
    world = world_of(context)
    step = state.StepSpec(cores, state.Room(1000, 100), is_lasting=True)
    world.submit('wide', step)
    world.advance(1.0)
    planned = [line for line in world.trace if ' pools_planned ' in line]
    assert planned[-1].endswith(f'/{count}'), planned[-3:]


@when(
    'the room of {name} is {first:d}, then {second:d} millicores in committed '
    'records'
)
def commit_rooms(context: Any, name: str, first: int, second: int) -> None:
    world = world_of(context)
    for worker in world.workers.values():
        worker.lasting_run_s = 1000.0
    job_rule_steps.submit_job(
        context, state.StepSpec(8, job_rule_steps.SMALL, is_lasting=True)
    )
    world.advance(1.0)
    worker = world.workers[name]
    context.key = worker.facts().key
    context.runs = set(_life(context).runs)
    for millicores in (first, second):
        worker.change_room(_room(millicores), world.now_s)
        world.advance(REPORT_S)


def _life(context: Any) -> state.WorkerLife:
    return world_of(context).leader().state.jobs.lives[context.key]


@then('the state has {millicores:d} millicores for it, and keeps its runs')
def check_stored(context: Any, millicores: int) -> None:
    life = _life(context)
    assert life.facts.room.cpu_millicores == millicores, life.facts.room
    assert set(life.runs) == context.runs, life.runs
