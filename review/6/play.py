"""One large job, after which no control replica can lead any more."""

import asyncio
import pathlib

import standins_2 as standins

STEPS = 1000
SMALL_JOBS = 6
FINISH_S = 14.0
ASK_S = 15.0
SMALL = {'count': 2, 'cpu': 500, 'memMb': 100, 'estMs': 500}
LARGE = {'count': 1, 'cpu': 500, 'memMb': 100, 'estMs': 500}


async def play(world, has_trouble):
    """Play the case; return how the rule was broken."""
    for number in range(6):
        world.add_worker(number)
    await world.start(
        standins.configuration(3, [(standins.PREFIX, standins.SERVICE, 2)])
    )
    clients = world.clients
    accepted = []
    for number in range(SMALL_JOBS):
        job = f'{number + 1:016x}'
        status, _ = await clients.call(
            f'entry-{1 + number % 2}',
            'POST',
            standins.PREFIX + job,
            {'spec': 'small', 'steps': [SMALL]},
        )
        if status == 200:
            accepted.append(job)
    if len(accepted) < SMALL_JOBS:
        raise RuntimeError('the small jobs were not accepted')
    await asyncio.sleep(3.0)
    if has_trouble:
        await clients.call(
            'entry-1',
            'POST',
            standins.PREFIX + 'b' * 16,
            {'spec': 'large', 'steps': [LARGE] * STEPS},
        )
    world.record.add('the traffic ends')
    await asyncio.sleep(FINISH_S)
    left = await ask(world, accepted)
    return [
        f'LOST: job {job} was accepted, and gets no answer from any entry '
        f'{FINISH_S:g} s to {FINISH_S + ASK_S:g} s after the traffic ended'
        for job in sorted(left)
    ]


async def ask(world, jobs):
    """Ask for jobs for ASK_S; return those that got no answer."""
    left = set(jobs)
    ends_s = world.record.now_s() + ASK_S
    while left and world.record.now_s() < ends_s:
        for job in sorted(left):
            if world.record.now_s() >= ends_s:
                break
            for entry in world.system.entries:
                status, _ = await world.clients.call(
                    entry, 'GET', standins.PREFIX + job
                )
                if status == 200:
                    left.discard(job)
                    break
    return left


standins.run(pathlib.Path(__file__).parent, play)
