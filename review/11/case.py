"""A job that lasts is given up after its workers have crashed."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins_3 as rig  # noqa: E402

DOWN_S = 1.0
CRASHES = 3
RUN_BEFORE_CRASH_S = 1.0
WATCHED_S = 10.0


async def play(folder, has_trouble):
    async with rig.World(folder) as world:
        await world.start_system()
        await world.configure(
            rig.configuration(1, [rig.route('/lasting/', 'alpha')], ['alpha'])
        )
        await world.add_workers('alpha', 8)
        await world.wait_ready()
        await asyncio.sleep(4.0)
        job_id = rig.new_id()
        path = f'/lasting/{job_id}'
        await world.submit(
            path,
            {
                'spec': '{}',
                'steps': [
                    {
                        'count': 2,
                        'cpu': 2000,
                        'memMb': 512,
                        'estMs': 700,
                        'persistent': True,
                        'mayMiss': 1,
                    }
                ],
            },
        )
        task = f'{job_id}.0.0.0'
        await wait_for_run(world, task, 10.0)
        if has_trouble:
            for _ in range(CRASHES):
                worker = await wait_for_run(world, task, 25.0)
                if worker is None:
                    break
                await asyncio.sleep(RUN_BEFORE_CRASH_S)
                # One of eight workers crashes, and is up again soon.
                await worker.crash()
                await asyncio.sleep(DOWN_S)
                await worker.start()
        return await is_given_up(world, path, job_id)


async def wait_for_run(world, task, timeout_s):
    """Return the worker that runs a task, or None if none does in time."""
    for _ in range(int(timeout_s / 0.05)):
        for worker in world.workers:
            if worker.is_up and any(t == task for t, _ in worker.running):
                return worker
        await asyncio.sleep(0.05)
    return None


async def is_given_up(world, path, job_id):
    """Tell whether the job is shown as failed though no run has failed."""
    shown = set()
    for _ in range(int(WATCHED_S / 0.5)):
        answer = await world.call_entry('GET', path)
        if answer.status == 200:
            shown.add(answer.json()['state'])
        elif answer.status == 410:
            shown.add('410')
        await asyncio.sleep(0.5)
    how = [how for _, _, t, _, how in world.ends if t.startswith(job_id)]
    running = sum(
        1 for w in world.workers for t, _ in w.running if t.startswith(job_id)
    )
    world.record.add(
        'case', 'result', shown=sorted(shown), ends=how, running=running
    )
    print(f'shown as {sorted(shown)}; ends {how}; {running} of 2 tasks run')
    return 'failed' in shown and 'failed' not in how


rig.run_case(play, FOLDER)
