"""Steps that give a leader odd reports, lists and stored records."""

import dataclasses
from typing import Any

from behave import given
from behave import then
from behave import when

from features.search import input_fuzz
from features.search import job_search
from features.search import worker_fakes
from features.steps import job_rule_steps
from features.steps import odd_entry_steps
from features.support import job_world
from greengagering import coordination
from greengagering.platform import _plans
from greengagering import state

TEN_YEARS_MS = 10 * 366 * 86_400_000
LARGEST = 2**64 - 1
SMALL_ROOM = state.Room(500, 100, 0)
RECORDS = {
    'a worker with a start of 2^64 - 1',
    'a worker with the port 99999',
    'a worker with a room of 2^64 - 1',
    'a job with an estimate of 1e305 s and a room of 2^64 - 1',
    'a job with 3 occurrences 2^64 - 1 ms apart',
    'a plan with a stretch of 1e308 and a priority of 2^64 - 1',
}


def world_of(context: Any) -> job_world.JobWorld:
    """Return the scenario's world."""
    world: job_world.JobWorld = context.world
    return world


def report_to_leader(context: Any, report: coordination.WorkerReport) -> str:
    """Pass a report as the HTTP interface does; return why it is refused."""
    world = world_of(context)
    core = world.leader()
    now_s = world.leader_node().clock.read(world.now_s)
    fault = core.jobs.find_report_fault(report, now_s)
    if not fault:
        record = core.jobs.handle_report(report, now_s)
        if record is not None:
            core.propose_job_record(record, now_s)
    return fault


def change_report(context: Any, name: str, **facts: Any) -> Any:
    """Return a worker's next report with other facts."""
    world = world_of(context)
    report = world.workers[name].report(world.now_s)
    return dataclasses.replace(
        report, facts=dataclasses.replace(report.facts, **facts)
    )


def view_of(context: Any, name: str) -> Any:
    """Return the leader's view of a worker's current incarnation."""
    world = world_of(context)
    key = world.workers[name].facts().key
    return world.leader().jobs.workers[key]


@when(
    'it runs for {seconds:g} s and another writer reports {name} with a start '
    '10 years ahead'
)
def report_future_start(context: Any, seconds: float, name: str) -> None:
    world = world_of(context)
    world.advance(seconds)
    context.start_count = len(world.started)
    context.fault = report_to_leader(
        context,
        change_report(
            context, name, born_ms=int(world.now_s * 1000) + TEN_YEARS_MS
        ),
    )


@when(
    'it runs for {seconds:g} s and another writer reports {name} with {start} '
    'start at the address of {owner} as of {service}'
)
def report_address(
    context: Any,
    seconds: float,
    name: str,
    start: str,
    owner: str,
    service: str,
) -> None:
    world = world_of(context)
    world.advance(seconds)
    context.start_count = world.ledger.start_count
    facts: dict[str, Any] = {'worker_id': name, 'service': service}
    if start == 'a new':
        facts['born_ms'] = int(world.now_s * 1000)
    if name not in world.workers:
        _add_worker_at(context, name, owner).end()
    report = change_report(context, owner, **facts)
    context.fault = report_to_leader(context, report)


@when(
    'it runs for {seconds:g} s, and {owner} crashes and {name} takes its '
    'address'
)
def take_address(context: Any, seconds: float, owner: str, name: str) -> None:
    world = world_of(context)
    world.advance(seconds)
    context.lost = [
        run.key.task_name for run in world.workers[owner].runs.values()
    ]
    assert context.lost, f'nothing runs on {owner}'
    world.workers[owner].crash()
    _add_worker_at(context, name, owner)
    world._reports_s[name] = world.now_s


def _add_worker_at(
    context: Any, name: str, owner: str
) -> worker_fakes.FakeWorker:
    """Add a worker at the address of another one."""
    world = world_of(context)
    worker = worker_fakes.FakeWorker(name, world.rng, world.ledger)
    worker.start_process(world.now_s)
    address = world.workers[owner].facts().address
    own_facts = worker.facts

    def facts_at_address() -> state.WorkerFacts:
        return dataclasses.replace(own_facts(), address=address)

    worker.facts = facts_at_address  # type: ignore[method-assign]
    world.workers[name] = worker
    return worker


@then('that report is accepted')
def check_no_fault(context: Any) -> None:
    assert not context.fault, context.fault


@then('the tasks of {owner} run again within {seconds:g} s')
def check_tasks_back(context: Any, owner: str, seconds: float) -> None:
    world = world_of(context)
    world.advance_until(
        lambda: all(task in world.ledger.running for task in context.lost),
        seconds,
    )


@then('that report is refused, naming {field}')
def check_fault(context: Any, field: str) -> None:
    assert field in context.fault, context.fault
    assert len(context.fault) < odd_entry_steps.MAX_REFUSAL_CHARACTERS


@when('{name} crashes and restarts with a start 10 years ahead')
def restart_ahead(context: Any, name: str) -> None:
    world = world_of(context)
    context.name = name
    worker = world.workers[name]
    worker.crash()
    worker.start_process(world.now_s)
    worker.born_ms += TEN_YEARS_MS
    # Reports go through the checks below, and not directly to the scheduler.
    world._reports_s[name] = float('inf')


@then('its reports are accepted within {seconds:g} s')
def check_accepted(context: Any, seconds: float) -> None:
    world = world_of(context)
    name = context.name

    def is_accepted() -> bool:
        return not report_to_leader(context, change_report(context, name))

    assert not is_accepted(), 'refused while the former one is not silent'
    world.advance_until(is_accepted, seconds)
    world._reports_s[name] = world.now_s


@then('it is read within {seconds:g} s more')
def check_read(context: Any, seconds: float) -> None:
    world = world_of(context)
    key = world.workers[context.name].facts().key

    def is_read() -> bool:
        view = world.leader().jobs.workers.get(key)
        return view is not None and view.is_read

    world.advance_until(is_read, seconds)


@when('another writer reports {name} with the number {number:d}')
def report_number(context: Any, name: str, number: int) -> None:
    report = change_report(context, name)
    report_to_leader(context, dataclasses.replace(report, sequence=number))


@when('{name} shrinks to {cpu:d} millicores and drains')
def shrink_and_drain(context: Any, name: str, cpu: int) -> None:
    worker = world_of(context).workers[name]
    worker.room = dataclasses.replace(worker.room, cpu_millicores=cpu)
    worker.is_draining = True
    context.name = name


@then('the leader knows both within {seconds:g} s')
def check_followed(context: Any, seconds: float) -> None:
    name = context.name
    room = world_of(context).workers[name].room
    world_of(context).advance_until(
        lambda: (
            view_of(context, name).room == room
            and view_of(context, name).is_draining
        ),
        seconds,
    )


@when('a late report of {name} says that it has {cpu:d} millicores')
def report_late_room(context: Any, name: str, cpu: int) -> None:
    context.name = name
    report = change_report(context, name, room=state.Room(cpu, 100, 0))
    _report_late(context, report)


@when('a late report of {name} says that it drains')
def report_late_drain(context: Any, name: str) -> None:
    report = change_report(context, name)
    _report_late(context, dataclasses.replace(report, is_draining=True))


def _report_late(context: Any, report: coordination.WorkerReport) -> None:
    newest = view_of(context, report.facts.worker_id).sequence
    assert newest >= 1, newest
    report_to_leader(context, dataclasses.replace(report, sequence=newest - 1))


@then('the leader uses the room that it had')
def check_room(context: Any) -> None:
    world_of(context).advance(1.0)
    room = world_of(context).workers[context.name].room
    assert view_of(context, context.name).room == room


@then("{name} drains by the leader's view within {seconds:g} s")
def check_draining(context: Any, name: str, seconds: float) -> None:
    world_of(context).advance_until(
        lambda: view_of(context, name).is_draining, seconds
    )


@given(
    'every worker also lists an end numbered {number:d} of a task that nobody '
    'knows'
)
def list_odd_end(context: Any, number: int) -> None:
    key = state.RunKey('nobody', '0.0.0', 1)
    for name in world_of(context).workers:
        _list_also(context, name, state.RunEnd(number, key, _FAILED, ''))


@when(
    'it runs for {seconds:g} s, and {name} lists the failed end of its task '
    'number {index:d}'
)
def list_missing_task(
    context: Any, seconds: float, name: str, index: int
) -> None:
    world_of(context).advance(seconds)
    key = state.RunKey(context.job_id, f'0.0.{index}', 1)
    worker = world_of(context).workers[name]
    number = worker.end_count + 1000
    _list_also(context, name, state.RunEnd(number, key, _FAILED, ''))
    view_of(context, name).mark_suspect(0.0)


_FAILED = state.RunEnding.FAILED


def _list_also(context: Any, name: str, odd: state.RunEnd) -> None:
    """Let a worker list an end beside its own at every poll."""
    worker = world_of(context).workers[name]
    poll = worker.poll

    def poll_oddly(*arguments: Any) -> coordination.LookAnswer:
        answer = poll(*arguments)
        return dataclasses.replace(answer, ended=(*answer.ended, odd))

    worker.poll = poll_oddly  # type: ignore[method-assign, assignment]


@then('no task was started more than once')
def check_started_once(context: Any) -> None:
    names = [item[1] for item in world_of(context).started]
    assert len(set(names)) == len(names), sorted(names)


@then('no task number {index:d} starts within {seconds:g} s')
def check_no_such_task(context: Any, index: int, seconds: float) -> None:
    world_of(context).advance(seconds)
    names = [item[1] for item in world_of(context).started]
    assert names
    assert not any(name.endswith(f'.{index}') for name in names), names


@then('every replica has the same state')
def check_same_state(context: Any) -> None:
    world = world_of(context)

    def are_equal() -> bool:
        stored = {
            state.encode(node.core.state.jobs)
            for node in world.controls.values()
            if node.core is not None
        }
        return len(stored) == 1

    world.advance_until(are_equal, 3.0)
    assert all(node.core is not None for node in world.controls.values())


@given('{record} is stored')
def store_record(context: Any, record: str) -> None:
    world = world_of(context)
    assert record in RECORDS, record
    world.add_machines()
    worker = world.workers['worker-0'].facts()
    facts: state.WorkerFacts | None = None
    if 'a start' in record:
        facts = dataclasses.replace(worker, born_ms=LARGEST)
    elif 'the port' in record:
        facts = dataclasses.replace(
            worker, born_ms=worker.born_ms + 1, address='10.0.0.9:99999'
        )
    elif 'a worker' in record:
        room = state.Room(LARGEST, LARGEST, LARGEST)
        facts = dataclasses.replace(
            worker, born_ms=worker.born_ms + 1, room=room
        )
    if facts is not None:
        world.commit(state.LifeSeen(facts))
    elif 'an estimate' in record:
        room = state.Room(LARGEST, 100, 0)
        step = state.StepSpec(task_count=2, room=room, estimate_s=1e305)
        world.submit('odd', step)
    elif 'occurrences' in record:
        world.submit(
            'odd',
            state.StepSpec(task_count=2, room=SMALL_ROOM),
            occurrence_count=3,
            first_due_ms=LARGEST,
            interval_ms=LARGEST,
        )
    else:
        queue = dataclasses.replace(
            job_search.QUEUE, stretch=1e308, priority=LARGEST
        )
        service = state.WorkerService('service-a', connection_limit=LARGEST)
        plan = state.RoutePlan(9, (queue,), (service,), LARGEST, b'{}')
        world.commit(state.PlanReplaced(plan))


@when('every replica has stored a snapshot and all restart')
def restart_all(context: Any) -> None:
    world = world_of(context)
    world.advance(1.0)
    for node in world.controls.values():
        assert node.core is not None
        node.core.compact(node.clock.read(world.now_s))
        world.stop_control(node)
    for node in world.controls.values():
        world.start_control(node)


@then('one leads within {seconds:g} s')
def check_leader(context: Any, seconds: float) -> None:
    world_of(context).advance_until(world_of(context).has_leader, seconds)


@then('{count:d} jobs of {tasks:d} tasks succeed within {seconds:g} s')
def check_jobs(context: Any, count: int, tasks: int, seconds: float) -> None:
    step = state.StepSpec(task_count=tasks, room=SMALL_ROOM, estimate_s=0.5)
    for _ in range(count):
        job_rule_steps.submit_job(context, step)
    world = world_of(context)
    world.advance_until(
        lambda: all(
            world.job(job_id).status is state.JobStatus.SUCCEEDED
            for job_id in context.jobs
        ),
        seconds,
    )


@when(
    'the source of a plan in force has a priority of 2^62 and a stretch of '
    '1e300'
)
def make_source(context: Any) -> None:
    route = {**input_fuzz.CONFIGURATION['routes'][0]}
    route.update(priority=2**62, stretch=1e300)
    context.source = odd_entry_steps.encode(
        {**input_fuzz.CONFIGURATION, 'routes': [route]}
    )


@then('a new configuration like it is refused, naming {field}')
def check_new_refused(context: Any, field: str) -> None:
    odd_entry_steps.read(context, _plans.parse_plan, context.source)
    assert field in str(context.refusal), context.refusal


@then('the plan in force is read from it')
def check_stored_plan(context: Any) -> None:
    plan = _plans.read_stored_plan(context.source)
    assert plan.queues[0].priority == 2**62
    assert state.decode(state.encode(plan), state.RoutePlan) == plan
