"""A lasting job is given up, and stopped, after three crashes of workers."""

import asyncio
import pathlib

import standins_2 as standins

WORKERS = 7
MAX_CRASHES = 5
AT_WORK_S = 1.0
DOWN_S = 1.0
TASKS = 5
MAY_MISS = 1
NOTICE_S = 4.5
JOB = '00000000000000a1'
STEP = {
    'count': TASKS,
    'cpu': 2600,
    'memMb': 17000,
    'estMs': 700,
    'persistent': True,
    'mayMiss': MAY_MISS,
}


class Watch:
    """Judges each order to stop a task by AVAIL.

    Attributes:
        broken: what broke the rule.
    """

    def __init__(self, world):
        self._world = world
        self.broken = []
        self._stopped = {}
        self._seen_s = {}

    def look(self):
        """Note which tasks are at work."""
        now_s = self._world.record.now_s()
        for worker in self._world.workers:
            for task, row in worker.running.items():
                self._seen_s[task] = now_s
                if 'stops_s' not in row:
                    self._stopped.pop(task, None)

    def hook(self, worker):
        """Return the hook that judges a worker's orders."""

        def on_order(path, body):
            task = body.get('task', '')
            if path != '/run-stop' or task not in worker.running:
                return
            if 'stops_s' in worker.running[task]:
                return
            self.look()
            now_s = self._world.record.now_s()
            away = [
                other
                for other in names()
                if other != task
                and (
                    other in self._stopped
                    or now_s - self._seen_s.get(other, now_s) >= NOTICE_S
                )
            ]
            if len(away) >= MAY_MISS:
                self.broken.append(
                    f'AVAIL: {task}, at work on the sound worker '
                    f'{worker.worker_id}, is ordered to stop while '
                    f'{len(away)} others of its step are away, and '
                    f'{MAY_MISS} may be'
                )
            self._stopped[task] = now_s

        return on_order


def names():
    """Return the names of the job's tasks."""
    return [f'{JOB}.0.0.{index}' for index in range(TASKS)]


async def play(world, has_trouble):
    """Play the case; return how the rule was broken."""
    for number in range(WORKERS):
        world.add_worker(number, run_s=lambda task: 1000.0)
    watch = Watch(world)
    await world.start(
        standins.configuration(3, [(standins.PREFIX, standins.SERVICE, 2)])
    )
    for worker in world.workers:
        worker.hook = watch.hook(worker)
    clients = world.clients
    status, _ = await clients.call(
        'entry-1',
        'POST',
        standins.PREFIX + JOB,
        {'spec': 'lasting', 'steps': [STEP]},
    )
    if status != 200:
        raise RuntimeError('the job was not accepted')
    await asyncio.sleep(2.0)
    for _ in range(MAX_CRASHES):
        worker = await find_host(world)
        if worker is None:
            break
        await asyncio.sleep(AT_WORK_S)
        watch.look()
        if has_trouble:
            await worker.crash()
            await asyncio.sleep(DOWN_S)
            await worker.start()
        else:
            await asyncio.sleep(DOWN_S)
        watch.look()
    # All workers are up and calm from here on.
    await asyncio.sleep(10.0)
    _, answer = await clients.call('entry-2', 'GET', standins.PREFIX + JOB)
    at_work = sum(len(worker.running) for worker in world.workers)
    failed = [
        end
        for worker in world.workers
        for end in worker.all_ends
        if end[3] == 'failed'
    ]
    world.record.add(
        f'10 s later the job is shown as {answer}; {at_work} of its {TASKS} '
        f'tasks are at work on {WORKERS} workers; ends failed: {failed}'
    )
    return watch.broken


async def find_host(world):
    """Return the worker that runs the first task, or None after 5 s."""
    for _ in range(100):
        for worker in world.workers:
            if worker.is_up and names()[0] in worker.running:
                return worker
        await asyncio.sleep(0.05)
    return None


standins.run(pathlib.Path(__file__).parent, play)
