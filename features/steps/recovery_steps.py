"""Steps that switch the whole system off and on, under a virtual clock."""

import random
from typing import Any

from behave import given
from behave import then
from behave import when

from features.search import job_search
from features.support import demand_world
from features.support import job_world
from greengagering import coordination
from greengagering.coordination.scheduling import _demand

RETURN_S = 0.1
"""Time from a machine's return until its process locks the data folder."""

STEP_S = 0.004
"""Time between two steps while nobody leads; real processes step at once for
each message."""


@given('a system of three control replicas that serves')
def start_system(context: Any) -> None:
    context.world = job_world.started_world()


@when(
    'all of them lose power for {off_s:g} s, and serve {first_s:g} s to '
    '{last_s:g} s after their return'
)
def describe_return(
    context: Any, off_s: float, first_s: float, last_s: float
) -> None:
    context.off_s = off_s
    context.starts_s = (first_s, last_s)


@then(
    'in each of {count:d} such returns a leader has its lease within '
    '{bound_s:g} s of the return'
)
def check_returns(context: Any, count: int, bound_s: float) -> None:
    taken_s = [
        switch_off_and_on(
            context.world,
            context.off_s,
            context.starts_s,
            random.Random(seed),
        )
        for seed in range(count)
    ]
    late_s = [round(s, 2) for s in taken_s if s > bound_s]
    assert not late_s, f'{len(late_s)} of {count}: {sorted(late_s)}'


def switch_off_and_on(
    world: job_world.JobWorld,
    off_s: float,
    starts_s: tuple[float, float],
    rng: random.Random,
) -> float:
    """Switch all control machines off and on.

    Returns:
        The time from their return until a leader has its lease.
    """
    for node in world.controls.values():
        world.stop_control(node)
    world.advance(off_s)
    returned_s = world.now_s
    world.rng = rng
    world.step_s = STEP_S
    waiting = {
        name: returned_s + rng.uniform(*starts_s) for name in world.controls
    }
    while True:
        for name, at_s in list(waiting.items()):
            if world.now_s >= at_s:
                del waiting[name]
                locked_s = returned_s + rng.uniform(0, RETURN_S)
                world.start_control(world.controls[name], locked_s)
        world.advance(0.001)
        if world.has_leader():
            taken_s = world.now_s - returned_s
            world.step_s = job_search.STEP_S
            world.advance(5)
            return taken_s
        assert world.now_s < returned_s + 10, 'nobody leads'


@given(
    'a random day in whose second burst the system has no leader for '
    '{off_s:g} s'
)
def lose_leader_in_burst(context: Any, off_s: float) -> None:
    pattern = demand_world.four_bursting_queues(day_s=27.0)
    world = demand_world.DemandWorld(pattern, seed=1)
    world.simulate_until(demand_world.WARM_UP_S + 1.4 * pattern.burst_s)
    world.lose_leader(off_s)
    context.world = world
    context.returned_s = world.now_s


@given(
    'a random day in whose first burst a leader is lost while {count:d} '
    'machines move'
)
def lose_leader_in_moves(context: Any, count: int) -> None:
    pattern = demand_world.four_bursting_queues(day_s=9.0)
    world = demand_world.DemandWorld(pattern, seed=1)
    world.simulate_until(demand_world.WARM_UP_S)
    while count_moving(world) < count:
        world.simulate_until(world.now_s + 0.02)
    # The outcomes of the moves are committed before the leader is lost.
    world.simulate_until(world.now_s + 0.06)
    world.lose_leader(0.1)
    context.world = world


def count_moving(world: demand_world.DemandWorld) -> int:
    """Return how many machines are moving to pools with work."""
    return sum(
        machine.status is coordination.MachineState.MOVING
        and machine.pool != 'standby'
        for machine in world.machines.values()
    )


@then("the new leader's first plan counts them as on their way")
def check_moving(context: Any) -> None:
    world = context.world
    first = len(world.decisions)
    moving = count_moving(world)
    world.simulate_until(world.now_s + 0.1)
    plans = [
        d.fields
        for _, d in world.decisions[first:]
        if d.event == 'pools_planned'
    ]
    sizes = [pool.split('=') for pool in plans[0]['pools'].split(',')]
    arriving = sum(
        int(size.partition('+')[2].partition('/')[0])
        for name, size in sizes
        if name != 'standby'
    )
    assert moving >= 3, moving
    assert arriving >= moving, (arriving, moving)


@then('in the first second of the new leader machines move only from standby')
def check_first_moves(context: Any) -> None:
    world = context.world
    first = len(world.decisions)
    pools = {name: m.pool for name, m in world.machines.items()}
    world.simulate_until(context.returned_s + 1.0)
    moved = [
        (round(at_s - context.returned_s, 2), pools[d.fields['machine']])
        for at_s, d in world.decisions[first:]
        if d.event == 'duty_begun'
    ]
    assert all(pool == 'standby' for _, pool in moved), moved


@then(
    'from {after_s:g} s after the return each window of {window_s:g} s earns '
    '{share:g} of its value in time'
)
def check_windows(
    context: Any, after_s: float, window_s: float, share: float
) -> None:
    world = context.world
    world.simulate_until(world.ends_s)
    first_s = context.returned_s + after_s
    worst = world.worst_window_from(first_s, window_s)
    assert worst >= share, (worst, world.describe_pools())


@given('{cores:g} cores of new work a second for {seconds:g} s')
def add_work(context: Any, cores: float, seconds: float) -> None:
    context.tracker = _demand.DemandTracker()
    context.now_s = 0.0
    while context.now_s < seconds:
        context.now_s += 0.1
        context.tracker.add_work('alpha', cores / 10, 100.0, context.now_s)
    context.before = context.tracker.rate('alpha', context.now_s)[0]


@when("nothing is accepted for {seconds:g} s before a new leader's term")
def pause_work(context: Any, seconds: float) -> None:
    last_s = context.now_s
    context.now_s += seconds
    context.tracker.skip_pause(last_s, context.now_s)


@then('it expects as many cores of new work as before, within 1 in 100')
def check_kept_rate(context: Any) -> None:
    rate = context.tracker.rate('alpha', context.now_s)[0]
    assert abs(rate - context.before) <= 0.01 * context.before, rate


@then('it expects less than 1 core of new work')
def check_decayed_rate(context: Any) -> None:
    assert context.tracker.rate('alpha', context.now_s)[0] < 1.0
