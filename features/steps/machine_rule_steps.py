"""Steps about upkeep waves and moves of machines."""

import dataclasses
from typing import Any

from behave import given
from behave import then
from behave import when

from features.search import job_search
from features.steps.job_rule_steps import world_of
from features.support import job_world
from greengagering import coordination
from greengagering.coordination import capacity
from greengagering.coordination import workers
from greengagering import state


def accept_wave(
    context: Any, machines: tuple[str, ...], at_once: int, within_s: float
) -> None:
    """Commit the acceptance of the scenario's wave."""
    wave = state.UpkeepWave(1, machines, within_s, at_once)
    world = world_of(context)
    world.commit(state.WaveAccepted(wave, int(world.now_s * 1000)))


@given('every worker has a machine')
def give_machines(context: Any) -> None:
    world_of(context).add_machines()
    # The leader requests the list of machines every 5 s.
    world_of(context).advance(6)


@given('each third list of machines lacks one, another one each time')
def leave_gaps(context: Any) -> None:
    world_of(context).has_gaps = True


@given('a plan in which service-a has a standby pool')
def plan_with_standby(context: Any) -> None:
    world = world_of(context)
    services = (
        state.WorkerService('service-a'),
        state.WorkerService('spare', is_standby=True),
    )
    plan = state.RoutePlan(2, (job_search.QUEUE,), services, 2**18, b'{}')
    world.commit(state.PlanReplaced(plan))


@given('machines {first} and {second} stand by')
def stand_by(context: Any, first: str, second: str) -> None:
    world = world_of(context)
    for name in (first, second):
        world.workers[name].crash()
        world.machines[name] = dataclasses.replace(
            world.machines[name], pool='spare', worker_id=''
        )
    # The platform lists a standby machine as up, without a worker.
    world.keeps_machines = True
    world.advance(12)


@given("the platform doesn't answer")
def silence_platform(context: Any) -> None:
    world_of(context).is_platform_silent = True


@when(
    'a wave over all 4 machines, {at_once:d} at once within {seconds:g} s, '
    'is accepted'
)
def wave_over_all(context: Any, at_once: int, seconds: float) -> None:
    names = tuple(world_of(context).workers)
    accept_wave(context, names, at_once, seconds)


@when(
    'it runs for {wait:g} s and a wave over all 4 machines, {at_once:d} at '
    'once within {seconds:g} s, is accepted'
)
def later_wave(
    context: Any, wait: float, at_once: int, seconds: float
) -> None:
    world = world_of(context)
    world.advance(wait)
    assert len(world.running(context.job_id)) == 4
    wave_over_all(context, at_once, seconds)


def lose_worker(world: Any, name: str, **listed: Any) -> None:
    """Crash a worker, and change its machine in the platform's list."""
    world.workers[name].crash()
    world.keeps_machines = True
    world.machines[name] = dataclasses.replace(world.machines[name], **listed)


@when(
    'it runs for {seconds:g} s and the machine of {name} is lost with an '
    'order open'
)
def lose_machine(context: Any, seconds: float, name: str) -> None:
    world = world_of(context)
    open_order(context, seconds, name)
    lose_worker(
        world, name, status=coordination.MachineState.DOWN, worker_id=''
    )


@when(
    'it runs for {seconds:g} s and the machine of {name} moves to standby '
    'with an order open'
)
def move_to_standby(context: Any, seconds: float, name: str) -> None:
    world = world_of(context)
    open_order(context, seconds, name)
    lose_worker(world, name, pool='spare', worker_id='')


@when(
    'it runs for {seconds:g} s and the leader is lost together with {name}, '
    'whose machine gets another worker'
)
def lose_leader_and_machine(context: Any, seconds: float, name: str) -> None:
    world = world_of(context)
    world.advance(seconds)
    assert name in world.running(context.job_id).values()
    former = world.leader_node()
    world.stop_control(former)
    lose_worker(world, name, worker_id='worker-9')
    # A process that starts now knows nothing of the lists that others read.
    for node in list(world.controls.values()):
        world.stop_control(node)
        world.start_control(node)


def new_view(name: str, service: str) -> workers.WorkerView:
    """Return the view of a worker that was seen at 100 s."""
    facts = state.WorkerFacts(
        name, 1, service, f'{name}:80', 'dc-1', 'rack-1', (), state.Room()
    )
    return workers.WorkerView(facts, 100.0)


@given('two workers, and lists that hold only the other one')
def list_one_of_two(context: Any) -> None:
    list_one(context, 'service-a')


@given(
    'two workers of different services, and lists that hold only the other one'
)
def list_other_service(context: Any) -> None:
    list_one(context, 'service-b')


def list_one(context: Any, service: str) -> None:
    """Let the lists hold a worker of service-a only."""
    context.views = [
        new_view('worker-1', service),
        new_view('worker-2', 'service-a'),
    ]
    machine = coordination.Machine(
        'machine-2',
        'service-a',
        coordination.MachineState.UP,
        'worker-2',
        'rack-1',
        state.Room(),
    )
    context.listed = {machine.name: machine}


@when(
    'both fall silent {seconds:g} s after the first was seen, and the lists '
    'go on'
)
def read_lists(context: Any, seconds: float) -> None:
    finder = capacity.LostWorkerFinder()
    context.lost = []
    for view in context.views:
        view.mark_suspect(100.0 + seconds)
    for number in range(40):
        requested_at_s = 100.0 + number * 0.5
        for view in finder.find_lost(
            context.listed, context.views, requested_at_s
        ):
            context.lost.append((requested_at_s, view.facts.worker_id))


@given('two workers that were listed, and lists that hold only the other one')
def list_both_then_one(context: Any) -> None:
    list_one(context, 'service-a')
    context.finder = capacity.LostWorkerFinder()
    other = context.listed['machine-2']
    both = dict(context.listed)
    both['machine-1'] = dataclasses.replace(
        other, name='machine-1', worker_id='worker-1'
    )
    context.listed['machine-1'] = dataclasses.replace(
        other, name='machine-1', worker_id=''
    )
    context.finder.find_lost(both, context.views, 100.0)


@given(
    "two workers that were listed, and lists that hold only the other one's "
    'machine'
)
def list_both_then_one_machine(context: Any) -> None:
    list_both_then_one(context)
    del context.listed['machine-1']


@when('the first falls silent')
def fall_silent(context: Any) -> None:
    context.views[0].mark_suspect(100.7)


@when('the first falls silent for one list, answers, and falls silent again')
def fall_silent_twice(context: Any) -> None:
    view = context.views[0]
    view.mark_suspect(100.1)
    context.finder.find_lost(context.listed, context.views, 100.5)
    view.mark_responsive(100.6)
    view.mark_suspect(100.7)


@then('the first counts as lost after {count:d} more lists')
def check_lists(context: Any, count: int) -> None:
    for number in range(1, count + 1):
        lost = context.finder.find_lost(
            context.listed, context.views, 101.0 + number * 0.5
        )
        names = [view.facts.worker_id for view in lost]
        assert names == ['worker-1'] * (number == count), (number, names)


@then('the first counts as lost after 3 s, and not before')
def check_lost(context: Any) -> None:
    assert context.lost
    at_s, name = context.lost[0]
    assert 103 <= at_s <= 104, at_s
    assert {name for _, name in context.lost} == {'worker-1'}


@then('the first never counts as lost')
def check_not_lost(context: Any) -> None:
    assert not context.lost


@when('it runs for {seconds:g} s and {name} is cut off with an order open')
def cut_machine(context: Any, seconds: float, name: str) -> None:
    world = world_of(context)
    open_order(context, seconds, name)
    world.disconnected_until_s[name] = world.now_s + 60


def open_order(context: Any, seconds: float, name: str) -> None:
    """Leave an order to start unanswered at a worker."""
    world = world_of(context)
    world.advance(seconds)
    context.start_count = world.ledger.start_count
    assert name in world.running(context.job_id).values()
    view = world.leader().jobs.newest_incarnation(name)
    assert view is not None
    now_s = world.leader_node().clock.read(world.now_s)
    view.open_grant(now_s, 10.0)


@when('a wave over a machine that is not there is accepted')
def wave_over_missing(context: Any) -> None:
    accept_wave(context, ('worker-9',), 1, 10)


@when('the leader is lost right after its first order for a machine')
def lose_leader_in_wave(context: Any) -> None:
    world = world_of(context)
    world.advance_until(lambda: bool(world.duties()), 10)
    # The platform's answer is committed before the leader is lost.
    world.advance(0.2)
    world._stop_control(world.leader_node())
    world.advance(0.9)


@when('another leader has ordered the upkeep of {name} just now')
def order_of_other(context: Any, name: str) -> None:
    world = world_of(context)
    accept_wave(context, (name,), 1, 30)
    duty = state.Duty(name, state.DutyKind.UPKEEP, '', 1)
    jobs = world.leader().state.jobs
    world.machine_calls.clear()
    world.leader().machine_manager._ordered_in_term.clear()
    jobs.duties[name] = duty
    jobs.ordered_at_ms[name] = int(world.now_s * 1000)
    context.ordered_s = world.now_s


@then('the wave is done within {seconds:g} s')
def check_wave(context: Any, seconds: float) -> None:
    world = world_of(context)

    def is_done() -> bool:
        try:
            core = world.leader()
        except job_world.NobodyLeadsError:
            return False
        return core.jobs.is_wave_done(core.state.jobs.waves[1])

    world.advance_until(is_done, seconds)


@then('each machine had one upkeep, with at most {count:d} down at once')
def check_upkeeps(context: Any, count: int) -> None:
    duties = world_of(context).duties()
    ordered = sorted(order.duty.machine for _, order in duties)
    assert ordered == sorted(world_of(context).workers), ordered
    times = [at_s for at_s, _ in duties]
    for at_s in times:
        # A machine is down for 1.5 s.
        down = [t for t in times if t <= at_s < t + 1.5]
        assert len(down) <= count, times


@then('at no time were 2 of its tasks out after an order')
def check_missing(context: Any) -> None:
    world = world_of(context)
    stops = [line for line in world.trace if ' StopOrder ' in line]
    times = sorted({float(line.split()[0]) for line in stops})
    starts = sorted(item[0] for item in world.started)
    for earlier, later in zip(times, times[1:], strict=False):
        # Between two stops the task that was stopped first starts again.
        assert any(earlier < at_s < later for at_s in starts), times


@then('{first} or {second} is ordered to {pool} within {seconds:g} s')
def check_move(
    context: Any, first: str, second: str, pool: str, seconds: float
) -> None:
    world = world_of(context)

    def is_ordered() -> bool:
        return any(
            order.duty.kind is state.DutyKind.MOVE
            and order.duty.pool == pool
            and order.duty.machine in (first, second)
            for _, order in world.duties()
        )

    world.advance_until(is_ordered, seconds)


@then('the next order for {name} comes no sooner than {seconds:g} s later')
def check_takeover_pause(context: Any, name: str, seconds: float) -> None:
    world = world_of(context)
    world.advance_until(lambda: bool(world.duties()), 10)
    at_s, order = world.duties()[0]
    assert order.duty.machine == name
    assert at_s >= context.ordered_s + seconds, (at_s, context.ordered_s)


@then('only one machine is ordered within {seconds:g} s, more than once')
def check_single_duty(context: Any, seconds: float) -> None:
    world = world_of(context)

    def answer(call: coordination.DutyOrder) -> None:
        core = world.leader()
        now_s = world.leader_node().clock.read(world.now_s)
        core.machine_manager.handle_duty_outcome(
            call, coordination.DutyOutcome.NO_ANSWER, now_s
        )

    ends_s = world.now_s + seconds
    answered = 0
    while world.now_s < ends_s:
        world.advance(0.1)
        for _, call in world.duties()[answered:]:
            answer(call)
        answered = len(world.duties())
    machines = {order.duty.machine for _, order in world.duties()}
    assert len(machines) == 1, machines
    assert answered > 1


@given("the state of {name}'s machine is unknown")
def hide_state(context: Any, name: str) -> None:
    world = world_of(context)
    update = world._update_machines

    def update_others() -> None:
        update()
        world.machines[name] = dataclasses.replace(
            world.machines[name],
            pool='',
            worker_id='',
            status=coordination.MachineState.UNKNOWN,
        )

    world._update_machines = update_others  # type: ignore[method-assign]
    context.unknown = name
    # The leader requests the list of machines every 5 s.
    world.advance(6)


@then(
    "it isn't done within {seconds:g} s, and the other machines had their "
    'upkeep'
)
def check_not_done(context: Any, seconds: float) -> None:
    world = world_of(context)
    world.advance(seconds)
    core = world.leader()
    (wave,) = core.state.jobs.waves.values()
    assert not core.jobs.is_wave_done(wave), wave
    others = set(world.machines) - {context.unknown}
    assert set(wave.begun) == others, wave.begun
