"""A machine whose entry can't be read counts as gone from the fleet."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins  # noqa: E402

DEADLINE_S = 20
ODD = 'm-i-3'


async def play(world):
    """Return whether a wave was said to be done without an upkeep."""
    await world.start()
    routes = [standins.route('r-1', '/puxa400/', 'huvo11a')]
    await world.configure(standins.configuration(1, routes, ['huvo11a']))
    if standins.has_trouble():
        create_entry = world.platform.create_entry

        def create_odd_entry(name, worker):
            entry = create_entry(name, worker)
            return {**entry, 'labels': 'a'} if name == ODD else entry

        world.platform.create_entry = create_odd_entry
    await world.add_workers(6, 'huvo11a')
    await asyncio.sleep(4)
    machines = ['m-i-1', ODD]
    wave = {
        'wave': 1,
        'machines': machines,
        'deadlineS': DEADLINE_S,
        'maxCount': 1,
    }
    status, _, _ = await world.call_control('POST', '/wave-start', wave)
    world.record.write(f'operator: {wave} -> {status}')
    answer = None
    for _ in range(DEADLINE_S + 5):
        await asyncio.sleep(1)
        _, answer, _ = await world.call_control('GET', '/wave-get/1')
        begun = sorted(world.platform.begun)
        world.record.write(f'operator: wave 1 is {answer}; begun: {begun}')
        if answer == {'state': 'succeeded'}:
            break
    left = [name for name in machines if name not in world.platform.begun]
    is_broken = answer == {'state': 'succeeded'} and bool(left)
    if is_broken:
        world.record.write(f'MIXED: wave 1 succeeded, and {left} stay as is')
    return is_broken


standins.main(play, __file__)
