"""Steps that simulate days of demand that bursts in one queue after another.

Days are drawn at random from a seed.
"""

import dataclasses
from typing import Any
from unittest import mock

from behave import given
from behave import then
from behave import when

from features.support import demand_world
from greengagering import coordination
from greengagering.coordination.scheduling import _demand
from greengagering.coordination.scheduling import _shares
from greengagering.coordination.workers import _worker_view as worker_view

FULL_SURGE = (('lookup', 2.0, 3.0, 3.0),)
RESERVE = 5
APPLY_DELAY_S = 0.05


def _simulate_days(
    pattern: demand_world.DemandPattern, count: int
) -> list[Any]:
    days = []
    for seed in range(1, count + 1):
        world = demand_world.DemandWorld(pattern, seed)
        days.append(world.simulate())
    return days


def _rank_oldest_first(
    work: _shares.StepWork, now_s: float, _is_beyond: bool
) -> tuple[float, ...]:
    return (work.job.queue.priority, work.objective_end_s)


@given('{count:d} random days of {day_s:d} s without surges')
def simulate_calm_days(context: Any, count: int, day_s: int) -> None:
    context.pattern = demand_world.four_bursting_queues(day_s=float(day_s))
    context.days = _simulate_days(context.pattern, count)


@given(
    '{count:d} random days of {day_s:d} s with surges, a third fewer machines '
    'and none in standby'
)
def simulate_surges(context: Any, count: int, day_s: int) -> None:
    context.pattern = dataclasses.replace(
        demand_world.SHORT_FLEET, day_s=float(day_s)
    )
    context.days = _simulate_days(context.pattern, count)


@given("a random day in which the first queue's surge takes every machine")
def simulate_full_surge(context: Any) -> None:
    pattern = demand_world.four_bursting_queues(day_s=9.0, surges=FULL_SURGE)
    context.world = demand_world.DemandWorld(pattern, seed=1)
    context.world.simulate_until(demand_world.WARM_UP_S + 5.0)
    shape = pattern.queues[1]
    assert context.world.count_machines(shape.name) < RESERVE
    context.world.simulate_until(
        demand_world.WARM_UP_S + pattern.burst_s - 0.1
    )


@given('a random day with surges and {count:d} lasting tasks in each queue')
def draw_wave_day(context: Any, count: int) -> None:
    pattern = demand_world.four_bursting_queues(
        lasting_count=count, surges=demand_world.SURGES
    )
    context.world = demand_world.DemandWorld(pattern, seed=1)


@given(
    'a random day of {day_s:d} s with {count:d} lasting tasks in each queue'
)
def draw_lasting_day(context: Any, day_s: int, count: int) -> None:
    pattern = demand_world.four_bursting_queues(
        day_s=float(day_s), lasting_count=count
    )
    context.world = demand_world.DemandWorld(pattern, seed=1)


@when(
    'a wave over {count:d} machines, {at_once:d} at once within {within_s:d} '
    's, is accepted {after_s:d} s after the first job'
)
def accept_wave(
    context: Any, count: int, at_once: int, within_s: int, after_s: int
) -> None:
    world = context.world
    world.simulate_until(demand_world.WARM_UP_S + after_s)
    world.accept_wave(count, float(within_s), at_once)
    context.wave_at_s = world.now_s
    context.wave = (count, at_once, within_s, after_s)


@then('all its machines have begun their upkeep within {within_s:d} s')
def check_wave(context: Any, within_s: int) -> None:
    world = context.world
    world.simulate_until(context.wave_at_s + within_s)
    wave = world.jobs_state.waves[1]
    left = set(wave.wave.machines) - set(wave.begun)
    assert not left, (left, world.describe_pools())


@then(
    'all its machines have begun their upkeep within {within_s:d} s, on each '
    'of {count:d} days'
)
def check_waves(context: Any, within_s: int, count: int) -> None:
    check_wave(context, within_s)
    for seed in range(2, count + 1):
        context.world = demand_world.DemandWorld(
            context.world.pattern, seed=seed
        )
        accept_wave(context, *context.wave)
        check_wave(context, within_s)


@given('a random day of {day_s:d} s of a fleet four times as large')
def simulate_large_fleet(context: Any, day_s: int) -> None:
    pattern = dataclasses.replace(demand_world.LARGE_FLEET, day_s=float(day_s))
    context.days = _simulate_days(pattern, 1)


@given('a random day of a fleet four times as large')
def draw_large_fleet(context: Any) -> None:
    context.world = demand_world.DemandWorld(demand_world.LARGE_FLEET, seed=1)


@when('its first burst has lasted {after_s:g} s')
def simulate_first_burst(context: Any, after_s: float) -> None:
    world = context.world
    shape = world.pattern.queues[0]
    context.first_sizes = []
    while world.now_s < demand_world.WARM_UP_S + after_s:
        world.simulate_until(world.now_s + demand_world.TICK_S)
        context.first_sizes.append(world.count_machines(shape.name))


@then('the first pool has had all its machines throughout')
def check_first_pool(context: Any) -> None:
    world = context.world
    assert min(context.first_sizes) >= world.pattern.machines[0], (
        world.describe_pools()
    )


@then("the other pools' sizes differ by no more than {count:d} machines")
def check_spread(context: Any, count: int) -> None:
    world = context.world
    sizes = [world.count_machines(q.name) for q in world.pattern.queues[1:]]
    assert max(sizes) - min(sizes) <= count, world.describe_pools()


@given('a leader whose workers are full and {count:d} waiting steps')
def fill_workers(context: Any, count: int) -> None:
    pattern = demand_world.four_bursting_queues(day_s=0.0)
    world = demand_world.DemandWorld(pattern, seed=1)
    world.simulate_until(demand_world.WARM_UP_S)
    for number in range(count):
        # Three of these tasks leave no room for a fourth on a worker.
        world.submit_step(f'job-{number}', task_count=5, cpu=9000, run_s=60)
    world.simulate_until(demand_world.WARM_UP_S + 10)
    context.world = world


@when('it plans once more')
def plan_once(context: Any) -> None:
    world = context.world
    fits = worker_view.WorkerView.fits
    with mock.patch.object(
        worker_view.WorkerView, 'fits', autospec=True, side_effect=fits
    ) as checked:
        world.scheduler.assigner.assign(world.now_s)
    context.checked = checked.call_count


@then('it has checked no worker for room')
def check_asked(context: Any) -> None:
    world = context.world
    assert world.scheduler.count_waiting() > 0
    assert context.checked == 0, context.checked


@given('a random day of {day_s:d} s without surges')
def draw_calm_day(context: Any, day_s: int) -> None:
    pattern = demand_world.four_bursting_queues(day_s=float(day_s))
    context.world = demand_world.DemandWorld(pattern, seed=1)


@when('another leader takes over {after_s:d} s after the first job')
def change_leader(context: Any, after_s: int) -> None:
    world = context.world
    world.simulate_until(demand_world.WARM_UP_S + after_s)
    successor = coordination.JobScheduler(world.jobs_state)
    successor.start_leading(2, world.now_s, int(world.now_s * 1000))
    context.successor = successor


@then('at least {share:g} of the value of each day is earned in time')
def check_share(context: Any, share: float) -> None:
    for day in context.days:
        assert day.share >= share, day


@then('no more is earned with machines that never move')
def check_static(context: Any) -> None:
    with demand_world.static_pools():
        static = _simulate_days(context.pattern, len(context.days))
    earned = sum(day.earned for day in context.days)
    assert earned >= sum(day.earned for day in static), (context.days, static)


@then('more is earned than by serving the oldest objective first')
def check_order(context: Any) -> None:
    with mock.patch.object(_shares, 'rank', _rank_oldest_first):
        baseline = _simulate_days(context.pattern, len(context.days))
    earned = sum(day.earned for day in context.days)
    before = sum(day.earned for day in baseline)
    assert earned > before, (earned, before)


@then('the second pool has {count:d} machines before its burst begins')
def check_reserve(context: Any, count: int) -> None:
    world = context.world
    shape = world.pattern.queues[1]
    assert world.count_machines(shape.name) >= count, world.describe_pools()


@then('the first pool has {count:d} machines {after_s:d} s after its burst')
def check_rest(context: Any, count: int, after_s: int) -> None:
    world = context.world
    burst_s = world.pattern.burst_s
    world.simulate_until(demand_world.WARM_UP_S + burst_s + after_s)
    shape = world.pattern.queues[0]
    assert world.count_machines(shape.name) <= count, world.describe_pools()


@then("it expects the same pool's burst next as its predecessor did")
def check_prediction(context: Any) -> None:
    world = context.world
    names = [shape.name for shape in world.pattern.queues]
    now_s = world.now_s
    before, after = world.scheduler.demand, context.successor.demand
    resting = [name for name in names if before.is_resting(name, now_s)]
    assert resting, 'no pool has had its burst'
    assert resting == [n for n in names if after.is_resting(n, now_s)]
    expected, rebuilt = before.next_bursts(), after.next_bursts()
    assert expected is not None and rebuilt is not None
    assert expected[0] == rebuilt[0]
    # A job stores the time of its acceptance, which is a step before the
    # time at which its record is applied.
    assert abs(expected[1] - rebuilt[1]) <= APPLY_DELAY_S, (expected, rebuilt)


@given(
    'a random day of a fleet four times as large, just before its third burst'
)
def simulate_to_third_burst(context: Any) -> None:
    pattern = demand_world.LARGE_FLEET
    context.world = demand_world.DemandWorld(pattern, seed=1)
    context.world.simulate_until(
        demand_world.WARM_UP_S + 2 * pattern.burst_s - 0.2
    )


@then('the third pool has {count:d} machines, as {reason}')
def check_third_pool(context: Any, count: int, reason: str) -> None:
    world = context.world
    shape = world.pattern.queues[2]
    assert world.count_machines(shape.name) >= count, world.describe_pools()


@then("at least {share:g} of the third queue's value is earned in time")
def check_third_queue(context: Any, share: float) -> None:
    day = context.world.simulate()
    name = context.world.pattern.queues[2].name
    assert day.by_queue[name] >= share, day.by_queue


@given(
    'a random day in which the second queue needs three times the fleet in '
    'its burst'
)
def simulate_overload(context: Any) -> None:
    pattern = demand_world.four_bursting_queues(
        machines=(4, 4, 5, 5),
        standby=2,
        surges=(('match', 9.0, 9.0, 3.0),),
    )
    context.pattern = pattern
    context.days = _simulate_days(pattern, 2)


@then(
    'the fourth queue earns {share:g} of its value, though the second has a '
    'backlog'
)
def check_fourth_queue(context: Any, share: float) -> None:
    names = [shape.name for shape in context.pattern.queues]
    for day in context.days:
        assert day.by_queue[names[3]] >= share, day.by_queue
        assert day.by_queue[names[1]] < share, day.by_queue


@given(
    'queues alpha and beta that burst alternately every {interval_s:d} s, and '
    'gamma with a steady load'
)
def simulate_steady_load(context: Any, interval_s: int) -> None:
    context.expected = {}
    tracker = _demand.DemandTracker()
    for tick in range(5 * interval_s * 10):
        now_s = tick / 10
        burst, in_burst_s = divmod(now_s, interval_s)
        if in_burst_s < interval_s / 2:
            name = ('alpha', 'beta')[int(burst) % 2]
            tracker.add_work(name, 60.0, 100.0, now_s)
        if tick % 10 == 0:
            tracker.add_work('gamma', 20.0, 100.0, now_s)
        prediction = tracker.next_bursts()
        if prediction is not None:
            context.expected[int(burst) + 1] = prediction[0]


@then('after {count:d} bursts {name} is expected next')
def check_expected(context: Any, count: int, name: str) -> None:
    assert context.expected[count] == [name], context.expected


@then(
    'after {first:d} bursts {name} is expected next, and after {second:d} '
    '{other}'
)
def check_both_expected(
    context: Any, first: int, name: str, second: int, other: str
) -> None:
    check_expected(context, first, name)
    check_expected(context, second, other)


@given('a queue with {per_s:d} jobs a second of {core_s:g} core-seconds each')
def submit_steadily(context: Any, per_s: int, core_s: float) -> None:
    context.tracker = _demand.DemandTracker()
    context.per_s = per_s
    context.now_s = 0.0
    _add_jobs(context, 10.0, core_s)


@when('the jobs of {length_s:g} s come with {core_s:g} core-seconds each')
def submit_large(context: Any, length_s: float, core_s: float) -> None:
    _add_jobs(context, length_s, core_s)


@then('its new work keeps no more than {cores:d} cores in use')
def check_rate(context: Any, cores: int) -> None:
    rate = context.tracker.rate('alpha', context.now_s)
    assert rate[0] <= cores, rate


def _add_jobs(context: Any, length_s: float, core_s: float) -> None:
    for _ in range(round(length_s * context.per_s)):
        context.now_s += 1 / context.per_s
        context.tracker.add_work('alpha', core_s, 100.0, context.now_s)
