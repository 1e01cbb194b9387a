"""A state that isn't named counts as proof that a machine is down."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins  # noqa: E402


async def play(world):
    """Return whether a task ran twice at the same time."""
    await world.start()
    routes = [standins.route('r-1', '/puxa400/', 'huvo11a')]
    await world.configure(standins.configuration(1, routes, ['huvo11a']))
    await world.add_workers(7, 'huvo11a')
    await asyncio.sleep(2)
    job = standins.new_id()
    await world.submit(
        f'/puxa400/{job}', standins.job({'ms': 0}, standins.lasting())
    )
    await world.wait(lambda: len(world.ledger.at_work(job)) == 3, 'start')
    await asyncio.sleep(7)
    worker = world.worker_of(world.ledger.at_work(job)[0])
    if standins.has_trouble():
        entry = {
            'machine': f'm-{worker.name}',
            'pool': 'huvo11a',
            'state': 'checking',
            'id': worker.name,
        }
        world.record.write(f'another writer: {entry} in the list')
        world.platform.foreign.append(entry)
        await asyncio.sleep(1)
        world.record.write(f'{worker.name} leaves orders unanswered')
        worker.is_mute = True
        await asyncio.sleep(2.5)
        worker.is_mute = False
        world.record.write(f'{worker.name} answers again')
    await asyncio.sleep(12)
    return world.ledger.report_doubles()


standins.main(play, __file__)
