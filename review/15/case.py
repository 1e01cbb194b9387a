"""A job never starts, as machines wait for their upkeep for ever."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins_3 as rig  # noqa: E402

WORKERS = 8
FILLED = 6
MAX_COUNT = 2
FILLING_CPU = 8500
NEEDED_CPU = 7000
DEADLINE_S = 20
CALM_S = 8.0
WATCHED_S = 25.0
ALLOWED_WAIT_S = 3.0
WORKER_CPU = 16000


def lasting(count, cpu, **fields):
    """Return a job of lasting tasks."""
    return {
        'spec': f'{{"cpu": {cpu}}}',
        'steps': [
            {
                'count': count,
                'cpu': cpu,
                'memMb': 512,
                'estMs': 700,
                'persistent': True,
                'mayMiss': 1,
                **fields,
            }
        ],
    }


def used_cpu(worker):
    """Return the thousandths of cores that a worker has in use."""
    return sum(row['cpu'] for row in worker.running.values())


async def play(folder, has_trouble):
    """Play the case; return whether the rule was broken."""
    async with rig.World(folder) as world:
        await world.start_system()
        await world.configure(
            rig.configuration(
                1,
                [
                    rig.route('/lasting/', 'alpha'),
                    rig.route('/quick/', 'alpha'),
                ],
                ['alpha'],
            )
        )
        await world.add_workers('alpha', WORKERS)
        await world.wait_ready()
        await asyncio.sleep(4.0)
        # A small lasting task on each worker, and a larger one on some.
        await world.submit(
            f'/lasting/{rig.new_id()}', lasting(WORKERS, 1000, maxPerServer=1)
        )
        await asyncio.sleep(1.0)
        await world.submit(
            f'/lasting/{rig.new_id()}', lasting(FILLED, FILLING_CPU)
        )
        await asyncio.sleep(2.0)
        # Half of the machines are due, and two may be down at once.
        by_use = sorted(world.workers, key=used_cpu)
        if used_cpu(by_use[WORKERS - FILLED]) < FILLING_CPU:
            raise rig.CaseError('the lasting tasks are not where they belong')
        due = [worker.machine for worker in by_use[: WORKERS // 2]]
        if has_trouble:
            await world.start_wave(1, due, DEADLINE_S, MAX_COUNT)
        await asyncio.sleep(DEADLINE_S + CALM_S)
        is_broken = await is_left_waiting(world)
        if has_trouble:
            wave = await world.call_control('GET', '/wave-get/1', None)
            world.record.add('operator', 'wave-get', answer=wave)
            print(f'wave: {wave}, {len(world.cloud.kept_up)} of {len(due)}')
        return is_broken


async def is_left_waiting(world):
    """Hand a small job in, and tell whether it is left waiting."""
    path = f'/quick/{rig.new_id()}'
    await world.submit(
        path,
        {
            'spec': f'{{"run_ms": 300, "cpu": {NEEDED_CPU}}}',
            'steps': [
                {'count': 1, 'cpu': NEEDED_CPU, 'memMb': 512, 'estMs': 300}
            ],
        },
    )
    accepted_at_s = world.record.now_s()
    task = f'{path[-16:]}.0.0.0'
    begun_at_s = None
    lowest_places, highest_used_cpu = 100, 0
    while begun_at_s is None:
        now_s = world.record.now_s()
        if now_s >= accepted_at_s + WATCHED_S:
            break
        begun = [at for at, _, t, _, _ in world.starts if t == task]
        begun_at_s = begun[0] if begun else None
        used = [used_cpu(worker) for worker in world.workers]
        # Places for the job's task, each on a worker with room for it.
        places = sum((WORKER_CPU - cpu) // NEEDED_CPU for cpu in used)
        lowest_places = min(places, lowest_places)
        highest_used_cpu = max(sum(used), highest_used_cpu)
        await asyncio.sleep(0.1)
    state = await world.call_entry('GET', path)
    waited_s = (begun_at_s or world.record.now_s()) - accepted_at_s
    has_room = lowest_places >= 2
    is_pool_idle = highest_used_cpu < WORKERS * WORKER_CPU / 2
    shown = (
        f'waited {waited_s:.1f} s, begun: {begun_at_s is not None}, shown: '
        f'{state}, places for it: {lowest_places}, in use at most '
        f'{highest_used_cpu} of {WORKERS * WORKER_CPU} millicores'
    )
    world.record.add('case', 'result', shown=shown)
    print(shown)
    return waited_s > ALLOWED_WAIT_S and has_room and is_pool_idle


rig.run_case(play, FOLDER)
