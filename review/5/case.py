"""A job is unknown once its route has gone and a shorter one is left."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins  # noqa: E402

VISIBLE_S = 3


async def play(world):
    """Return whether an accepted job was answered with 410."""
    await world.start()
    wide = standins.route('r-1', '/cufi501/', 'huvo11a')
    deep = standins.route('r-2', '/cufi501/fi50/', 'huvo11a')
    await world.configure(standins.configuration(1, [wide, deep], ['huvo11a']))
    await world.add_workers(3, 'huvo11a')
    await asyncio.sleep(2)
    job = standins.new_id()
    path = f'/cufi501/fi50/{job}'
    body = standins.job({'ms': 15_000}, standins.finite(3, est_ms=15_000))
    await world.submit(path, body)
    await world.wait(lambda: len(world.ledger.at_work(job)) == 3, 'start')
    await asyncio.sleep(VISIBLE_S + 1)
    if standins.has_trouble():
        config = standins.configuration(2, [wide], ['huvo11a'])
        await world.configure(config)
    # configApplyMs, and contactMs for calm.
    await asyncio.sleep(4)
    statuses = []
    for _ in range(15):
        statuses.append((await world.client('GET', path))[0])
        await asyncio.sleep(1)
    await world.client('POST', path, body)
    statuses.append((await world.client('GET', path))[0])
    if 410 in statuses:
        world.record.write(
            f'LOST: {job} is accepted, and {statuses.count(410)} of '
            f'{len(statuses)} reads were answered 410'
        )
    return 410 in statuses


standins.main(play, __file__)
