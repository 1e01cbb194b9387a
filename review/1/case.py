"""A heartbeat of another writer displaces a worker that goes on."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins  # noqa: E402


async def play(world):
    """Return whether a task ran twice at the same time."""
    await world.start()
    routes = [standins.route('r-1', '/puxa400/', 'huvo11a')]
    await world.configure(standins.configuration(1, routes, ['huvo11a']))
    await world.add_workers(6, 'huvo11a')
    await asyncio.sleep(2)
    job = standins.new_id()
    await world.submit(
        f'/puxa400/{job}', standins.job({'ms': 0}, standins.lasting())
    )
    await world.wait(lambda: len(world.ledger.at_work(job)) == 3, 'start')
    await asyncio.sleep(7)
    if standins.has_trouble():
        worker = world.worker_of(world.ledger.at_work(job)[0])
        beat = worker.report()
        beat.update(service='nosuch9', seq=1, born=int(time.time() * 1000))
        status, answer, _ = await world.call_control(
            'POST', '/instances/i-other/heartbeat', beat
        )
        world.record.write(f'another writer: {beat} -> {status} {answer}')
    await asyncio.sleep(12)
    return world.ledger.report_doubles()


standins.main(play, __file__)
