"""Steps that wait for a full worker keep all others from advice."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins  # noqa: E402

FULL_CPU = 31_000


async def play(world):
    """Return whether jobs with room for them never began."""
    await world.start()
    advice = {
        'decideMs': standins.DECIDE_MS,
        'eachMs': standins.EACH_MS,
        'validityMs': standins.VALIDITY_MS,
    }
    routes = [
        standins.route(
            'r-1',
            '/puxa400/',
            'huvo11a',
            advice=advice,
            targetDurationMs=2500,
            stretch=2.2,
        )
    ]
    await world.configure(standins.configuration(1, routes, ['huvo11a']))
    await world.add_workers(6, 'huvo11a')
    await asyncio.sleep(3)
    large = standins.job({'ms': 0}, standins.lasting(1, FULL_CPU))
    for _ in range(4 if standins.has_trouble() else 1):
        job = standins.new_id()
        world.adviser.allowed[job] = ['i-1']
        await world.submit(f'/puxa400/{job}', large)
    await asyncio.sleep(2)
    small = [
        standins.job({'ms': 0}, standins.lasting(3)),
        standins.job({'ms': 1000}, standins.finite(2)),
    ]
    jobs = [standins.new_id() for _ in small]
    for job, body in zip(jobs, small, strict=True):
        world.adviser.allowed[job] = ['i-2', 'i-3', 'i-4', 'i-5']
        await world.submit(f'/puxa400/{job}', body)
    await asyncio.sleep(25)
    is_broken = False
    for job in jobs:
        await world.client('GET', f'/puxa400/{job}')
        if not world.ledger.count_starts(job):
            is_broken = True
            world.record.write(
                f'LOST: {job} has not begun 25 s after it was accepted; four '
                'idle workers may run it'
            )
    return is_broken


standins.main(play, __file__)
