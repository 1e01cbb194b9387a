"""A job fails for crashes of workers on which its runs had ended already."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins  # noqa: E402

TASK_MS = 1000
CUT_AFTER_S = 0.5
CUT_S = 1.2
DOWN_S = 1.0
PLAYED_S = 60
CUTS = 3


async def cut_off(world, worker):
    """Cut a worker off, crash it behind the cut, and start it again."""
    await asyncio.sleep(CUT_AFTER_S)
    worker.is_cut_off = True
    world.record.write(f'{worker.name} is cut off, and runs on')
    await asyncio.sleep(CUT_S)
    await worker.crash_and_restart(DOWN_S)


async def play(world):
    """Return whether a job is shown as failed without cause."""
    await world.start()
    routes = [standins.route('r-1', '/puxa400/', 'huvo11a')]
    await world.configure(standins.configuration(1, routes, ['huvo11a']))
    await world.add_workers(7, 'huvo11a')
    await asyncio.sleep(3)
    job = standins.new_id()
    path = f'/puxa400/{job}'
    body = standins.job({'ms': TASK_MS}, standins.finite(1, est_ms=TASK_MS))
    await world.submit(path, body)
    known = 0
    answer = None
    ends_s = time.monotonic() + PLAYED_S
    while time.monotonic() < ends_s:
        runs = world.ledger.runs
        if standins.has_trouble() and known < min(len(runs), CUTS):
            known += 1
            await cut_off(world, world.worker_of(runs[known - 1]))
        elif world.ledger.at_work(job):
            await asyncio.sleep(0.02)
        else:
            _, answer, _ = await world.client('GET', path)
            if answer in ({'state': 'failed'}, {'state': 'succeeded'}):
                break
            await asyncio.sleep(0.1)
    ends = [row['how'] for row in world.ledger.runs]
    is_broken = answer == {'state': 'failed'} and 'failed' not in ends
    if is_broken:
        world.record.write(
            f'LOST: {job} is shown as failed; its runs ended {ends}, and no '
            'worker crashed while it ran one'
        )
    return is_broken and 'ended with the worker' not in ends


standins.main(play, __file__)
