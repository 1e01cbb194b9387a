"""A configuration without routes and services loses ends of runs."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins  # noqa: E402

JOBS = 16
PAUSE_S = 25
FINISH_S = 14
STEPS = 60
TASKS = 4


async def play(world):
    """Return whether an accepted job never goes on."""
    await world.start()
    routes = [standins.route('r-1', '/puxa400/', 'huvo11a')]
    await world.configure(standins.configuration(1, routes, ['huvo11a']))
    await world.add_workers(6, 'huvo11a')
    await asyncio.sleep(3)
    jobs = []
    tasks = STEPS * TASKS
    for number in range(JOBS):
        task_ms = 250 + 15 * number
        step = standins.finite(TASKS, est_ms=task_ms)
        steps = [{**step, 'after': list(range(n))[-1:]} for n in range(STEPS)]
        jobs.append(standins.new_id())
        body = standins.job({'ms': task_ms}, *steps)
        await world.submit(f'/puxa400/{jobs[-1]}', body)
        await asyncio.sleep(0.1)
    if standins.has_trouble():
        await world.configure(standins.configuration(2, [], []))
    await asyncio.sleep(PAUSE_S)
    if standins.has_trouble():
        await world.configure(standins.configuration(3, routes, ['huvo11a']))
    await asyncio.sleep(FINISH_S + 10)
    lost = []
    for job in jobs:
        _, answer, _ = await world.client('GET', f'/puxa400/{job}')
        if answer != {'state': 'succeeded'} and not world.ledger.at_work(job):
            lost.append(job)
            ended_s = max(
                row['to']
                for row in world.ledger.runs
                if row['task'].startswith(f'{job}.')
            )
            world.record.write(
                f'LOST: {job} is {answer}; {world.ledger.count_starts(job)} '
                f'of {tasks} tasks began, all have ended, and nothing of it '
                f'has run for {world.record.now_s() - ended_s:.1f} s'
            )
    return bool(lost)


standins.main(play, __file__)
