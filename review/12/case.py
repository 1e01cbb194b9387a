"""A poll that is carried out late makes a task that is done run again."""

import asyncio
import json
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins_3 as rig  # noqa: E402

OTHERS = 7
FIRST_JOBS = 4
RUN_MS = 500
OTHER_RUN_MS = 300
OTHER_PAUSE_S = 0.15
DOWN_S = 0.6
LEAST_LATE_S = 2.0
MOST_LATE_S = 12.0
WATCHED_S = 10.0


class World(rig.World):
    """A deployment in which polls of one worker may come late.

    Attributes:
        choose: called with the body of each poll to the worker; tells
            whether it gets no answer, and is carried out later.
        late: the polls that have had no answer.
    """

    worker = None
    count = 0

    def __init__(self, folder):
        super().__init__(folder)
        self.choose = lambda body: False
        self.late = []
        self.released = asyncio.Event()

    def release(self):
        """Reset the connections of the polls without an answer."""
        self.released.set()
        self.released = asyncio.Event()

    async def before_order(self, worker, kind, body, request):
        """Keep a poll that is chosen, without an answer."""
        self.count += 1
        if kind == 'hold' and worker is self.worker and self.choose(body):
            self.late.append((self.record.now_s(), body, request))
            self.record.add(worker.worker_id, 'no_answer', **body)
            await self.released.wait()
            if request.transport is not None:
                request.transport.abort()
            raise asyncio.CancelledError

    async def carry_out_late(self, number):
        """Let whoever has the worker's id carry out a poll that is late."""
        sent_s, body, request = self.late[number]
        await asyncio.sleep(
            max(sent_s + LEAST_LATE_S - self.record.now_s(), 0)
        )
        late_s = self.record.now_s() - sent_s
        if late_s > MOST_LATE_S:
            raise rig.CaseError(f'the poll is {late_s:.1f} s late')
        refusal = self.worker.carry_out_poll(request, body)
        self.record.add(
            self.worker.worker_id,
            'carried_out_late',
            late_s=f'{late_s:.2f}',
            cursor=body['ackCursor'],
            refusal=refusal and refusal.status,
        )


def job(run_ms, count, label):
    """Return a job of one step."""
    return {
        'spec': json.dumps({'run_ms': run_ms}),
        'steps': [
            {
                'count': count,
                'cpu': 500,
                'memMb': 64,
                'estMs': run_ms,
                'requires': label,
            }
        ],
    }


async def wait_for(condition, timeout_s, what):
    """Wait until a condition holds."""
    try:
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.01)
    except TimeoutError:
        raise rig.CaseError(f'not in time: {what}') from None


async def wait_done(world, path):
    """Wait until a job is shown as succeeded."""
    for _ in range(80):
        answer = await world.call_entry('GET', path)
        if answer.status == 200 and answer.json()['state'] == 'succeeded':
            return
        await asyncio.sleep(0.1)
    raise rig.CaseError('the first jobs are not done in time')


async def send_others(world):
    """Keep the other workers busy."""
    while True:
        path = f'/jobs/{rig.new_id()}'
        await world.call_entry('POST', path, job(OTHER_RUN_MS, 2, 'a'))
        await asyncio.sleep(OTHER_PAUSE_S)


async def play(folder, has_trouble):
    """Play the case; return whether the rule was broken."""
    async with World(folder) as world:
        await world.start_system()
        await world.configure(
            rig.configuration(1, [rig.route('/jobs/', 'alpha')], ['alpha'])
        )
        await world.add_workers('alpha', 1, kind='b')
        await world.add_workers('alpha', OTHERS)
        world.worker = world.workers[0]
        await world.wait_ready()
        await asyncio.sleep(4.0)
        others = asyncio.ensure_future(send_others(world))
        try:
            return await play_jobs(world, has_trouble)
        finally:
            others.cancel()
            world.release()


async def play_jobs(world, has_trouble):
    """Hand in the jobs of the one worker with its label."""
    worker = world.worker
    for number in range(FIRST_JOBS):
        if number == FIRST_JOBS - 1:
            began_s, before = world.record.now_s(), world.count
            if has_trouble:
                # One poll with the number of a noted end has no answer.
                world.choose = lambda body: (
                    body.get('ackCursor', 0) > 0 and not world.late
                )
        path = f'/jobs/{rig.new_id()}'
        await world.submit(path, job(RUN_MS, 1, 'b'))
        await wait_done(world, path)
    if has_trouble:
        await wait_for(lambda: world.late, 3.0, 'a poll without an answer')
        # The worker, which is idle, crashes and is back under its id.
        if worker.running:
            raise rig.CaseError('the worker is at work')
        world.release()
        await worker.crash()
        await asyncio.sleep(DOWN_S)
        # The next long poll has no answer either.
        world.choose = lambda body: (
            body.get('waitMs', 0) > 0 and len(world.late) < 2
        )
        await worker.start()
    path = f'/jobs/{rig.new_id()}'
    await world.submit(path, job(RUN_MS, 1, 'b'))
    task = f'{path[-16:]}.0.0.0'
    await wait_for(
        lambda: any(
            t == task and how == 'done' for _, _, t, _, how in world.ends
        ),
        8.0,
        'its end',
    )
    if has_trouble:
        await world.carry_out_late(0)
        world.choose = lambda body: False
    orders = world.count - before
    asked_s = world.record.now_s() - began_s
    await asyncio.sleep(WATCHED_S)
    return await has_run_twice(world, path, task, orders, asked_s)


async def has_run_twice(world, path, task, orders, asked_s):
    """Tell whether a start came after an end that was taken note of."""
    noted = {
        (worker, run): lapsed_s
        for lapsed_s, worker, (_, t, run, how, _) in world.acked_ends
        if t == task and how == 'done'
    }
    # An end doesn't count if the lease lapsed before ackCursor reached it.
    done = [
        (at_s, run)
        for at_s, worker, t, run, how in world.ends
        if t == task
        and how == 'done'
        and noted.get((worker, run), at_s) < at_s
    ]
    starts = [(at_s, run) for at_s, _, t, run, _ in world.starts if t == task]
    again = [
        f'run {run} began {at_s - ended_s:.2f} s after run {first} was done'
        for at_s, run in starts
        for ended_s, first in done
        if at_s > ended_s
    ]
    state = await world.call_entry('GET', path)
    shown = (
        f'the task began {len(starts)} times, noted as done {len(done)} '
        f'times; {again}; the job is {state}; {len(world.late)} of {orders} '
        f'orders without an answer in {asked_s:.1f} s'
    )
    world.record.add('case', 'result', shown=shown)
    print(shown)
    return bool(again)


rig.run_case(play, FOLDER)
