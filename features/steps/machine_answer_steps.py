"""Steps about answers to orders for machines that come late or never."""

from typing import Any

from behave import given
from behave import then
from behave import when

from features.support import machine_world
from greengagering import coordination

JOB = 'job-1'
HALF_WORKER = 4000
"""Millicores of a task of which two fill a worker."""


def world_of(context: Any) -> machine_world.MachineWorld:
    """Return the scenario's simulation."""
    return context.world


def standby_machines(world: machine_world.MachineWorld) -> list[str]:
    """Return the names of the standby machines."""
    machines = world.platform.machines.values()
    return [m.name for m in machines if m.pool == world.platform.standby]


def first_machine(world: machine_world.MachineWorld, pool: str) -> str:
    """Return the name of a pool's first machine."""
    machines = world.platform.machines.values()
    return next(m.name for m in machines if m.pool == pool)


@given('a leader whose pools have machines')
def start_world(context: Any) -> None:
    context.world = machine_world.started_world()


@given('the next answer of the platform to an order for a machine is lost')
def lose_answer(context: Any) -> None:
    world_of(context).lost_answers = 1


@given('workers report {seconds:g} s after the platform lists them')
def delay_reports(context: Any, seconds: float) -> None:
    world_of(context).report_delay_s = seconds


@when('a job with {count:d} lasting tasks of service-a is submitted')
def submit(context: Any, count: int) -> None:
    world = world_of(context)
    world.submit_lasting(JOB, count, 500)
    world.advance_until(lambda: len(world.ledger.running) == count, 4.0)


@when(
    'its worker reports, and a job that needs all workers of service-a is '
    'submitted'
)
def submit_after_report(context: Any) -> None:
    world = world_of(context)
    worker = world.workers[context.worker]
    world.advance_until(lambda: worker.sequence > 0, 3.0)
    world.submit_lasting(JOB, 12, HALF_WORKER)


def move_unanswered(context: Any) -> None:
    """Fill service-a until a standby machine moves there, unanswered."""
    world = world_of(context)
    names = context.standby = standby_machines(world)
    # The pool has three machines, so two more tasks need a fourth.
    world.submit_lasting(JOB, 8, HALF_WORKER)
    world.advance_until(
        lambda: any(
            world.platform.machines[name].status
            is coordination.MachineState.MOVING
            for name in names
        ),
        4.0,
    )
    assert not world.lost_answers
    context.machine = next(
        name
        for name in names
        if world.platform.machines[name].status
        is coordination.MachineState.MOVING
    )


def await_joined(context: Any) -> None:
    """Wait until the moved machine's new worker runs tasks."""
    world = world_of(context)
    machine = world.platform.machines[context.machine]
    world.advance_until(lambda: machine.worker_id != '', 3.0)
    context.worker = machine.worker_id
    world.advance_until(lambda: world.running_on(context.worker) != [], 4.0)


@when(
    'service-a lacks machines until one from standby has joined and runs tasks'
)
def move_machine(context: Any) -> None:
    move_unanswered(context)
    await_joined(context)


@when(
    'service-a lacks machines, and the leader is replaced once the move is '
    'carried out'
)
def move_and_replace(context: Any) -> None:
    move_unanswered(context)
    world = world_of(context)
    world.replace_leader()

    def with_tasks() -> list[str]:
        ids = [
            world.platform.machines[name].worker_id for name in context.standby
        ]
        return [id_ for id_ in ids if id_ and world.running_on(id_)]

    # The former leader's order for each of them may be repeated; the tasks
    # go to the worker that reports first.
    world.advance_until(lambda: with_tasks() != [], 7.0)
    context.worker = with_tasks()[0]


@when('the {kind} is confirmed again')
def await_confirmation(context: Any, kind: str) -> None:
    world_of(context).advance(8.0)


@then('the worker that has joined counts as over at no time')
def check_alive(context: Any) -> None:
    world = world_of(context)
    assert world.workers[context.worker].is_up
    over = [o for o in world.over if o[1].startswith(f'{context.worker}@')]
    assert not over, over


@then('every task has run once')
def check_starts(context: Any) -> None:
    starts = world_of(context).ledger.starts
    assert len(starts) == 8, starts
    assert all(len(times) == 1 for times in starts.values()), starts


def take_through_upkeep(context: Any) -> None:
    """Take a machine of service-a down for upkeep, until its next worker."""
    world = world_of(context)
    context.machine = first_machine(world, 'service-a')
    machine = world.platform.machines[context.machine]
    former = machine.worker_id
    world.start_wave((context.machine,))
    world.advance_until(lambda: machine.worker_id not in ('', former), 10.0)
    context.worker = machine.worker_id


@when(
    'a machine of service-a comes back from its upkeep, and the next wave '
    'names it {seconds:g} s later'
)
def upkeep_twice(context: Any, seconds: float) -> None:
    take_through_upkeep(context)
    world = world_of(context)
    world.advance(seconds)
    context.since_s = world.now_s
    context.upkeep_count = 2
    world.start_wave((context.machine,))


@when(
    'a machine of service-a has its upkeep, and its next worker gets tasks '
    'before the list shows it'
)
def upkeep_unanswered(context: Any) -> None:
    take_through_upkeep(context)
    world = world_of(context)
    world.list_lag_s = 0.4
    world.submit_lasting(JOB, 6, HALF_WORKER)
    world.advance_until(lambda: world.running_on(context.worker) != [], 2.0)


@then('it gets tasks again')
def check_used(context: Any) -> None:
    world = world_of(context)
    world.submit_lasting('job-2', 6, HALF_WORKER)
    world.advance_until(lambda: world.running_on(context.worker) != [], 4.0)


@when(
    'a wave over two machines of service-a, one at a time, begins with one of '
    'them'
)
def begin_wave(context: Any) -> None:
    world = world_of(context)
    machines = world.platform.machines.values()
    names = [m.name for m in machines if m.pool == 'service-a'][:2]
    context.wave_machines = names
    world.start_wave(tuple(names))
    world.advance(1.0)


@when(
    'lasting tasks fill the other one, which makes it the first to be emptied'
)
def fill_other(context: Any) -> None:
    world = world_of(context)
    # The pool's third machine and the other one of the wave hold two each.
    world.submit_lasting(JOB, 4, HALF_WORKER)
    world.advance_until(lambda: len(world.ledger.running) == 4, 4.0)


@when('the leader is replaced')
def replace_leader(context: Any) -> None:
    world_of(context).replace_leader()


@then('the wave takes both down within {seconds:g} s, one at a time')
def check_wave(context: Any, seconds: float) -> None:
    world = world_of(context)
    machines = [world.platform.machines[n] for n in context.wave_machines]
    # The platform raises an error if both are down at the same time.
    world.advance_until(lambda: all(m.upkept for m in machines), seconds)
    ordered: set[str] = set()
    for line in world.trace:
        name = next((n for n in context.wave_machines if f'={n} ' in line), '')
        if 'lead_begun' in line:
            ordered.clear()
        elif name and 'duty_begun' in line:
            ordered.add(name)
        elif name and 'duty_answered' in line and 'outcome=done' in line:
            ordered.discard(name)
        assert len(ordered) <= 1, line


@given('the platform accepts no orders for {seconds:g} s')
@when('the platform accepts no orders for {seconds:g} s')
def refuse_orders(context: Any, seconds: float) -> None:
    world = world_of(context)
    world.platform.busy_until_s = world.now_s + seconds


@when(
    'a machine with some of them is being emptied, and its worker crashes '
    'and is back'
)
def crash_while_emptied(context: Any) -> None:
    world = world_of(context)
    worker = next(iter(world.ledger.running.values()))
    context.worker = worker.worker_id
    context.machine = worker.worker_id.rpartition('-')[0]
    world.start_wave((context.machine,))
    world.advance_until(lambda: count_begun(context) == 1, 2.0)
    worker.crash()
    worker.start_process(world.now_s)
    context.since_s = world.now_s
    context.upkeep_count = 1


def count_begun(context: Any) -> int:
    """Return how often the emptying of the machine has begun."""
    return sum(
        'duty_begun' in line and f'machine={context.machine} ' in line
        for line in world_of(context).trace
    )


@then('no task starts on it before its upkeep')
def check_no_start(context: Any) -> None:
    world = world_of(context)
    machine = world.platform.machines[context.machine]
    ends_s = world.now_s + 15.0
    while len(machine.upkept) < context.upkeep_count and world.now_s < ends_s:
        world.advance(0.1)
    at = f'worker={context.worker} '
    starts = [
        line
        for line in world.trace
        if 'StartOrder' in line
        and at in line
        and float(line.split()[0]) > context.since_s
    ]
    assert not starts, starts
    assert len(machine.upkept) == context.upkeep_count


@given('the platform refuses moves for {seconds:g} s')
def refuse_moves(context: Any, seconds: float) -> None:
    world = world_of(context)
    world.platform.refuses_until_s = world.now_s + seconds


@when('service-a lacks machines for {seconds:g} s')
def lack_machines(context: Any, seconds: float) -> None:
    world = world_of(context)
    world.submit_lasting(JOB, 8, HALF_WORKER)
    world.advance(seconds)


@then("no order of this leader is taken for a former leader's")
def check_not_inherited(context: Any) -> None:
    trace = world_of(context).trace
    begun = [line for line in trace if 'duty_begun' in line]
    refused = [line for line in trace if 'outcome=refused' in line]
    assert begun and refused
    # Only a former leader's duty begins with the sending of its order.
    inherited = [line for line in begun if 'phase=sending' in line]
    assert not inherited, inherited
