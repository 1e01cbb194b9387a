"""A start is sent again to a worker whose draining was acknowledged."""

import asyncio
import pathlib

import standins_2 as standins

WORKERS = 10
JOBS = 20
MUTE_S = 5.5
LEAVE_AFTER_S = 1.5
DRAIN_MS = 2000
STEP = {'count': 1, 'cpu': 16000, 'memMb': 1000, 'estMs': 2000}


async def play(world, has_trouble):
    """Play the case; return how the rule was broken."""
    for number in range(WORKERS):
        world.add_worker(number, run_s=lambda task: 2.0)
    await world.start(
        standins.configuration(3, [(standins.PREFIX, standins.SERVICE, 2)])
    )
    clients, record = world.clients, world.record
    worker = world.workers[0]
    if has_trouble:
        worker.hook = be_mute
        record.add(f'{worker.worker_id} answers no order from now on')
    answers = await asyncio.gather(
        *(
            clients.call(
                f'entry-{1 + number % 2}',
                'POST',
                standins.PREFIX + f'{number + 1:016x}',
                {'spec': 'short', 'steps': [STEP]},
            )
            for number in range(JOBS)
        )
    )
    if any(status != 200 for status, _ in answers):
        raise RuntimeError('the jobs were not accepted')
    began_s = record.now_s()
    await worker.drain()
    acknowledged_s = record.now_s()
    await asyncio.sleep(began_s + MUTE_S - record.now_s())
    worker.hook = None
    record.add(f'{worker.worker_id} answers again')
    await asyncio.sleep(LEAVE_AFTER_S)
    await worker.leave()
    await asyncio.sleep(3.0)
    broken = []
    for at_s, task, run, _ in worker.starts:
        late_ms = (at_s - record.began_s - acknowledged_s) * 1000
        if late_ms > DRAIN_MS:
            runs = [
                f'#{again} on {other.worker_id}'
                for other in world.workers
                for _, name, again, _ in other.starts
                if name == task
            ]
            broken.append(
                f'DRAIN: {task}#{run} starts on {worker.worker_id} '
                f'{late_ms:.0f} ms after its draining was acknowledged; '
                f'the task was started as {", ".join(runs)}'
            )
    return broken


async def be_mute(path, body):
    """Answer no order before its sender has given it up."""
    await asyncio.sleep(3.0)
    return 503, {}


standins.run(pathlib.Path(__file__).parent, play)
