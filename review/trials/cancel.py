"""A cancel is told that there is no job while the job is being stored."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins  # noqa: E402

ROUNDS = 4
LEAVES_S = 0.1
FROZEN_S = 0.2
CALM_S = 3 + 3 + 0.4
"""contactMs, cancel_ms and stopMs."""


async def play(world):
    """Return whether a job runs on after its cancel was answered."""
    await world.start(entries=2)
    routes = [standins.route('r-1', '/puxa400/', 'huvo11a')]
    await world.configure(standins.configuration(1, routes, ['huvo11a']))
    await world.add_workers(6, 'huvo11a')
    await asyncio.sleep(3)
    body = standins.job({'ms': 0}, standins.lasting(2))
    is_broken = False
    for _ in range(ROUNDS):
        job = standins.new_id()
        path = f'/puxa400/{job}'
        leader = world.processes[world.leader()]
        if standins.has_trouble():
            world.record.write('the leader freezes')
            leader.send_signal(signal.SIGSTOP)
        world.record.write(f'client: POST {path} sent')
        post = asyncio.ensure_future(world.client('POST', path, body))
        await asyncio.sleep(LEAVES_S)
        if not post.done():
            world.record.write(f'client: leaves before {path} is answered')
            post.cancel()
        world.record.write(f'client: DELETE {path} sent')
        cancel = asyncio.ensure_future(
            world.client('DELETE', path, None, entry=1)
        )
        await asyncio.sleep(FROZEN_S - LEAVES_S)
        if standins.has_trouble():
            leader.send_signal(signal.SIGCONT)
            world.record.write('the leader wakes')
        status, _, _ = await cancel
        await asyncio.sleep(CALM_S + 1)
        running = world.ledger.at_work(job)
        if running and status in (200, 202, 204, 410):
            is_broken = True
            world.record.write(
                f'UNASKED: {len(running)} tasks of {job} run on, '
                f'{CALM_S + 1:.1f} s after its cancel was answered {status}'
            )
    return is_broken


standins.main(play, __file__)
