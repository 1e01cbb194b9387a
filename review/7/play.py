"""A job whose worker crashes once is never started again."""

import asyncio
import pathlib

import standins_2 as standins

OTHERS = 6
AT_WORK_S = 1.0
DOWN_S = 1.0
CALM_S = 4.0
FINISH_S = 14.0
JOB = '00000000000000a1'
LATER_JOB = '00000000000000a2'
STEP = {'count': 1, 'cpu': 4000, 'memMb': 1000, 'estMs': 2000, 'requires': 'b'}


async def play(world, has_trouble):
    """Play the case; return how the rule was broken."""
    for number in range(OTHERS):
        world.add_worker(number)
    # The only worker of its kind.
    worker = world.add_worker(OTHERS, kind='b', run_s=lambda task: 2.0)
    await world.start(
        standins.configuration(3, [(standins.PREFIX, standins.SERVICE, 2)])
    )
    clients, record = world.clients, world.record
    status, _ = await clients.call(
        'entry-1',
        'POST',
        standins.PREFIX + JOB,
        {'spec': 'short', 'steps': [STEP]},
    )
    if status != 200:
        raise RuntimeError('the job was not accepted')
    for _ in range(100):
        if worker.running:
            break
        await asyncio.sleep(0.05)
    await asyncio.sleep(AT_WORK_S)
    if has_trouble:
        await worker.crash()
        await asyncio.sleep(DOWN_S)
        await worker.start()
    # All workers are up, and nothing is disturbed from here on.
    starts = len(worker.starts)
    await asyncio.sleep(CALM_S)
    status, _ = await clients.call(
        'entry-2',
        'POST',
        standins.PREFIX + LATER_JOB,
        {'spec': 'later', 'steps': [STEP]},
    )
    if status != 200:
        raise RuntimeError('the later job was not accepted')
    await asyncio.sleep(FINISH_S)
    record.add(
        f'{CALM_S + FINISH_S:g} s after the worker was back; starts since: '
        f'{len(worker.starts) - starts}; runs: {worker.running}'
    )
    broken = []
    for job in (JOB, LATER_JOB):
        _, answer = await clients.call('entry-2', 'GET', standins.PREFIX + job)
        if answer != {'state': 'succeeded'} and len(worker.starts) == starts:
            broken.append(
                f'LOST: job {job}, accepted, is shown as {answer}; nothing '
                f'of it has run for at least {FINISH_S:g} s, while worker '
                f'{worker.worker_id}, of the kind that it requires, is idle '
                f'with 32 cores, and it needs 4'
            )
    return broken


standins.run(pathlib.Path(__file__).parent, play)
