"""A job waits beside idle machines that wait to move to another pool."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent.parent))

import standins_3 as rig  # noqa: E402

ALPHA_WORKERS = 6
BETA_WORKERS = 4
SHORT_MS = 3_000
LONG_MS = 70_000
BURST_MS = 15_000
BURST_TASKS = 40
FILLING_MS = 30_000
FILLING_CPU = 10_000
NEEDED_CPU = 7000
REST_S = 14.0
SETTLE_S = 8.0
WATCHED_S = 20.0
ALLOWED_WAIT_S = 3.0
WORKER_CPU = 16000


def job(count, cpu, run_ms, **fields):
    """Return a job of one step."""
    return {
        'spec': f'{{"run_ms": {run_ms}, "cpu": {cpu}}}',
        'steps': [
            {
                'count': count,
                'cpu': cpu,
                'memMb': 512,
                'estMs': run_ms,
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
                [rig.route('/alpha/', 'alpha'), rig.route('/beta/', 'beta')],
                ['alpha', 'beta'],
            )
        )
        await world.add_workers('alpha', ALPHA_WORKERS)
        await world.add_workers('beta', BETA_WORKERS)
        await world.wait_ready()
        await asyncio.sleep(5.0)
        # The other pool holds a lasting task on each of its machines.
        lasting = job(BETA_WORKERS, 1000, 0, maxPerServer=1, persistent=True)
        lasting['spec'] = '{"cpu": 1000}'
        await world.submit(f'/beta/{rig.new_id()}', lasting)
        # A short job and a long one, each with a task on every machine.
        await world.submit(
            f'/alpha/{rig.new_id()}', job(ALPHA_WORKERS, 9000, SHORT_MS)
        )
        await asyncio.sleep(0.7)
        await world.submit(
            f'/alpha/{rig.new_id()}', job(ALPHA_WORKERS, 3600, LONG_MS)
        )
        await asyncio.sleep(SHORT_MS / 1000 + REST_S)
        pool = [w for w in world.workers if w.service == 'alpha']
        if any(used_cpu(worker) != 3600 for worker in pool):
            raise rig.CaseError('the long tasks are not where they belong')
        if has_trouble:
            # Large jobs come at once to the other pool.
            await world.submit(
                f'/beta/{rig.new_id()}', job(BURST_TASKS, 4000, BURST_MS)
            )
        await asyncio.sleep(SETTLE_S)
        for _ in range(2):
            await world.submit(
                f'/alpha/{rig.new_id()}', job(1, FILLING_CPU, FILLING_MS)
            )
        await asyncio.sleep(1.0)
        return await is_left_waiting(world)


async def is_left_waiting(world):
    """Hand a small job in, and tell whether it is left waiting."""
    path = f'/alpha/{rig.new_id()}'
    await world.submit(path, job(1, NEEDED_CPU, 300))
    accepted_at_s = world.record.now_s()
    task = f'{path[-16:]}.0.0.0'
    begun_at_s = None
    lowest_places, highest_share = 100, 0.0
    while begun_at_s is None:
        now_s = world.record.now_s()
        if now_s >= accepted_at_s + WATCHED_S:
            break
        begun = [at for at, _, t, _, _ in world.starts if t == task]
        begun_at_s = begun[0] if begun else None
        pool = [w for w in world.workers if w.service == 'alpha' and w.is_up]
        used = [used_cpu(worker) for worker in pool]
        # Places for the job's task, each on a worker with room for it.
        places = sum((WORKER_CPU - cpu) // NEEDED_CPU for cpu in used)
        lowest_places = min(places, lowest_places)
        share = sum(used) / max(len(pool) * WORKER_CPU, 1)
        highest_share = max(share, highest_share)
        await asyncio.sleep(0.1)
    state = await world.call_entry('GET', path)
    waited_s = (begun_at_s or world.record.now_s()) - accepted_at_s
    shown = (
        f'waited {waited_s:.1f} s, begun: {begun_at_s is not None}, shown: '
        f'{state}, places for it: {lowest_places}, in use at most '
        f'{highest_share:.0%}'
    )
    world.record.add('case', 'result', shown=shown)
    print(shown)
    is_idle = lowest_places >= 2 and highest_share < 0.5
    return waited_s > ALLOWED_WAIT_S and is_idle


rig.run_case(play, FOLDER)
