"""A poll that comes late makes a restarted worker drop an end of its own."""

import asyncio
import contextlib
import json
import pathlib

import aiohttp
from aiohttp import web
import standins_2 as standins

OTHERS = 6
MIN_LATE_S = 2.0
DOWN_S = 0.5
RUN_S = 0.8
TROUBLE_S = 5.5
PLAYED_S = 8.0
NOTED_ENDS = 3
JOBS = ('00000000000000a1', '00000000000000a2')
STEP = {'count': 1, 'cpu': 500, 'memMb': 100, 'estMs': 800, 'requires': 'b'}
OTHER = {'count': 2, 'cpu': 500, 'memMb': 100, 'estMs': 300, 'requires': 'a'}


class Link:
    """The way to a worker, on which polls may come late.

    A poll that comes late gets no answer. Whoever listens at the worker's
    address when it arrives carries it out.

    Attributes:
        choose: called with the body of each poll; tells whether it is late.
    """

    def __init__(self, world, worker):
        self.world = world
        self.late = []
        self.choose = lambda body: False
        self._target = worker.listen_address
        host, _, _ = worker.listen_address.rpartition(':')
        self._address = (host, standins.free_port())
        worker.address = f'{host}:{self._address[1]}'

    async def start(self):
        """Listen."""
        self._session = aiohttp.ClientSession()
        app = web.Application(client_max_size=8 * 1024 * 1024)
        app.router.add_route('*', '/{path:.*}', self._pass_on)
        self._runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=0.01
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, *self._address).start()

    async def close(self):
        """Stop listening."""
        await self._runner.cleanup()
        await self._session.close()

    async def _pass_on(self, request):
        data = await request.read()
        if request.path == '/hold' and self.choose(json.loads(data)):
            self.late.append((self.world.record.now_s(), request, data))
            self.world.record.add(f'no answer, comes late: {data.decode()}')
            await asyncio.sleep(3600)
        answer = await self._send(request, data)
        if answer is None:
            request.transport.abort()
            raise web.HTTPServiceUnavailable
        return web.Response(
            status=answer[0], body=answer[1], content_type='application/json'
        )

    async def deliver(self, number):
        """Let a late poll arrive, MIN_LATE_S after it was sent or later."""
        sent_s, request, data = self.late[number]
        now_s = self.world.record.now_s()
        await asyncio.sleep(max(sent_s + MIN_LATE_S - now_s, 0))
        late_s = self.world.record.now_s() - sent_s
        answer = await self._send(request, data)
        self.world.record.add(
            f'{late_s:.2f} s late: {data.decode()} -> {answer}'
        )

    async def _send(self, request, data):
        headers = {
            name: value
            for name, value in request.headers.items()
            if name in ('Content-Type', 'Expect-Instance')
        }
        url = f'http://{self._target}{request.path}'
        with contextlib.suppress(aiohttp.ClientError, OSError):
            async with self._session.request(
                request.method, url, data=data, headers=headers
            ) as response:
                return response.status, await response.read()
        return None


async def send_others(world):
    """Keep the other workers busy."""
    number = 0x1000
    while True:
        number += 1
        asyncio.ensure_future(
            world.clients.call(
                f'entry-{1 + number % 2}',
                'POST',
                standins.PREFIX + f'{number:016x}',
                {'spec': 'other', 'steps': [OTHER]},
                is_quiet=True,
            )
        )
        await asyncio.sleep(0.15)


async def wait_for(condition, timeout_s):
    """Wait until a condition holds; return whether it does."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.005)
    return condition()


async def play(world, has_trouble):
    """Play the case; return how the rule was broken."""
    worker = world.add_worker(0, kind='b', run_s=lambda task: RUN_S)
    link = Link(world, worker)
    await link.start()
    for number in range(OTHERS):
        world.add_worker(number + 1, run_s=lambda task: 0.3)
    try:
        return await play_with(world, worker, link, has_trouble)
    finally:
        await link.close()


async def play_with(world, worker, link, has_trouble):
    """Play the case with the worker's link open."""
    await world.start(
        standins.configuration(3, [(standins.PREFIX, standins.SERVICE, 2)])
    )
    clients, record = world.clients, world.record
    others = asyncio.ensure_future(send_others(world))
    # Some ends of the worker are noted first.
    for number in range(NOTED_ENDS):
        await clients.call(
            'entry-1',
            'POST',
            standins.PREFIX + f'{number + 1:016x}',
            {'spec': 'first', 'steps': [STEP]},
        )
        await wait_for(lambda count=number: len(worker.all_ends) > count, 5.0)
        await asyncio.sleep(0.3)
    counted_s = record.now_s()
    before = sum(each.order_count for each in world.workers)
    if has_trouble:
        link.choose = lambda body: body['ackCursor'] > 0 and not link.late
    answers = await asyncio.gather(
        *(
            clients.call(
                'entry-1',
                'POST',
                standins.PREFIX + job,
                {'spec': 'once', 'steps': [STEP]},
            )
            for job in JOBS
        )
    )
    if any(status != 200 for status, _ in answers):
        raise RuntimeError('the jobs were not accepted')
    if has_trouble:
        if not await wait_for(lambda: link.late, 3.0):
            raise RuntimeError('no poll with the number of a noted end came')
        await wait_for(lambda: len(worker.running) == len(JOBS), 3.0)
        await worker.crash()
        await asyncio.sleep(DOWN_S)
        # The next long poll gets no answer either.
        link.choose = lambda body: (
            body.get('waitMs', 0) > 0 and len(link.late) < 2
        )
        await worker.start()
        await wait_for(lambda: len(worker.running) == len(JOBS), 10.0)
        await wait_for(lambda: worker.end_number == len(JOBS), 10.0)
        link.choose = lambda body: False
        await link.deliver(0)
    await asyncio.sleep(max(counted_s + TROUBLE_S - record.now_s(), 0))
    count = sum(each.order_count for each in world.workers) - before
    record.add(
        f'{len(link.late)} orders without an answer of '
        f'{count + len(link.late)} in {record.now_s() - counted_s:.1f} s'
    )
    await asyncio.sleep(PLAYED_S)
    others.cancel()
    return judge(world)


def judge(world):
    """Return the starts after a run has ended done and was taken note of."""
    broken = []
    for worker in world.workers:
        noted = {
            (task, run)
            for _, task, run, how, _ in worker.noted
            if how == 'done'
        }
        for ended_s, task, run, how in worker.all_ends:
            if how != 'done' or (task, run) not in noted:
                continue
            for other in world.workers:
                for began_s, name, again, _ in other.starts:
                    if name == task and began_s > ended_s:
                        broken.append(
                            f'TWICE: {task}#{again} starts on '
                            f'{other.worker_id} '
                            f'{began_s - ended_s:.2f} s after run {run} '
                            f'ended done on {worker.worker_id}, an end '
                            f'that ackCursor has reached'
                        )
    return broken


standins.run(pathlib.Path(__file__).parent, play)
