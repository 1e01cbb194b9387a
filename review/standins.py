"""Stand-ins and a world of real processes for the cases of this review.

Workers, the machine service and callers run in the test's own process; the
project's programs are started with the commands of the deploy file.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import re
import secrets
import shutil
import signal
import socket
import sys
import tempfile
import time

import aiohttp
from aiohttp import web

ROOT = pathlib.Path(__file__).resolve().parent.parent
BEAT_S = 1.5
MAX_HOLD_MS = 10_000
STOP_MS = 400
UPKEEP_S = 2
DECIDE_MS = 50
EACH_MS = 10
VALIDITY_MS = 3000
HOST = 'pule25.example'


def has_trouble():
    """Tell whether the disruption is to be played."""
    return os.environ.get('TROUBLE', '1') != '0'


def free_port():
    """Return a port that is free on all loopback addresses."""
    with socket.socket() as sock:
        sock.bind(('0.0.0.0', 0))
        return sock.getsockname()[1]


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self._file = open(folder / 'record.txt', 'w')  # noqa: SIM115
        self._began_s = time.monotonic()

    def now_s(self):
        """Return the seconds since the start."""
        return time.monotonic() - self._began_s

    def write(self, text):
        """Write one line."""
        self._file.write(f'{self.now_s():8.3f} {text}\n')
        self._file.flush()


class Ledger:
    """Every run on any worker, as the workers saw it."""

    def __init__(self, record):
        self.record = record
        self.runs = []

    def begin(self, worker, task, run, saved=''):
        """Note a start."""
        row = {
            'worker': worker,
            'task': task,
            'run': run,
            'saved': saved,
            'from': self.record.now_s(),
            'to': None,
            'how': '',
        }
        self.runs.append(row)
        self.record.write(f'{worker} begins {task} run {run} saved={saved!r}')
        return row

    def end(self, row, how):
        """Note an end."""
        row['to'] = self.record.now_s()
        row['how'] = how
        self.record.write(
            f'{row["worker"]} ends {row["task"]} run {row["run"]}: {how}'
        )

    def find_doubles(self):
        """Return the pairs of runs of one task that overlap."""
        now_s = self.record.now_s()
        found = []
        for number, first in enumerate(self.runs):
            for other in self.runs[number + 1 :]:
                if first['task'] != other['task']:
                    continue
                begin = max(first['from'], other['from'])
                end = min(first['to'] or now_s, other['to'] or now_s)
                if end > begin:
                    found.append((first, other, end - begin))
        return found

    def report_doubles(self):
        """Record the overlapping runs of one task; tell if there are any."""
        doubles = self.find_doubles()
        for first, other, together_s in doubles:
            self.record.write(
                f'TWICE: {first["task"]} run {first["run"]} on '
                f'{first["worker"]} and run {other["run"]} on '
                f'{other["worker"]}, together {together_s:.3f} s'
            )
        return bool(doubles)

    def count_starts(self, job):
        """Return how many runs of a job have begun."""
        return sum(row['task'].startswith(f'{job}.') for row in self.runs)

    def at_work(self, job):
        """Return the runs of a job that are in progress."""
        return [
            r
            for r in self.runs
            if r['to'] is None and r['task'].startswith(f'{job}.')
        ]


class Worker:
    """A worker as PROTOCOL.md describes it; durations come from the spec.

    A spec is JSON: {"ms": duration of each task, 0 for tasks that last, "how":
    how it ends, "first": the same for run 1}.
    """

    def __init__(self, world, name, service, rack, host=None):
        self.world = world
        self.name = name
        self.service = service
        self.rack = rack
        self.host = host or f'{world.net}.31'
        self.port = free_port()
        self.address = f'{self.host}:{self.port}'
        self.born = int(time.time() * 1000)
        self.zero_s = time.monotonic()
        self.state = 'ready'
        self.seq = 0
        self.fence = 0
        self.until_ms = 0
        self.running = {}
        self.ended = []
        self.end_count = 0
        self.refused_to = {}
        self.is_mute = False
        self.is_cut_off = False
        self.ended_event = asyncio.Event()
        self._runner = None
        self._tasks = []

    def clock_ms(self):
        """Return the worker's own steady clock."""
        return int((time.monotonic() - self.zero_s) * 1000) + 1000

    async def start(self):
        """Listen, send heartbeats and run tasks."""
        app = web.Application(middlewares=[self._guard])
        app.add_routes(
            [
                web.post('/run-start', self._run_start),
                web.post('/run-stop', self._run_stop),
                web.post('/hold', self._hold),
                web.post('/pace', self._pace),
                web.get('/healthz', self._health),
            ]
        )
        self._runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=0.5
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, self.host, self.port).start()
        self._tasks = [
            asyncio.ensure_future(self._work()),
            asyncio.ensure_future(self._beat()),
        ]

    async def stop(self):
        """End the process with all that it runs."""
        for task in list(self.running):
            self._end(task, 'ended with the worker')
        await self.close()

    async def close(self):
        """Stop listening and sending."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._runner is not None:
            await self._runner.cleanup()

    @web.middleware
    async def _guard(self, request, handler):
        if self.is_mute or self.is_cut_off:
            await asyncio.sleep(3600)
        expected = request.headers.get('Expect-Instance', self.name)
        if expected != self.name:
            return self._answer(421)
        response = await handler(request)
        if self.is_cut_off:
            await asyncio.sleep(3600)
        return response

    def _answer(self, status, reason='', **fields):
        body = {'wallClockMs': self.clock_ms(), **fields}
        if reason:
            body['reason'] = reason
        return web.json_response(body, status=status)

    def _take_lease(self, until_ms):
        most_ms = self.clock_ms() + MAX_HOLD_MS
        self.until_ms = max(self.until_ms, min(until_ms, most_ms))

    async def _run_start(self, request):
        body = await request.json()
        task, run = body['task'], body['run']
        fence = body.get('fence', 0)
        if fence < self.fence:
            return self._answer(409, 'fence')
        self.fence = fence
        until_ms = body['untilMs']
        known = self.running.get(task)
        if known is not None and known['run'] == run:
            self._take_lease(until_ms)
            return self._answer(200)
        if run <= self.refused_to.get(task, 0) or known is not None:
            self._take_lease(until_ms)
            return self._answer(409, 'old')
        if until_ms <= self.clock_ms():
            return self._answer(409, 'late')
        self._take_lease(until_ms)
        spec = json.loads(body['spec'])
        if run == 1:
            spec.update(spec.get('first', {}))
        ms = spec.get('ms', 0)
        self.running[task] = {
            'run': run,
            'ends_s': time.monotonic() + ms / 1000 if ms else None,
            'row': self.world.ledger.begin(
                self.name, task, run, body.get('saved', '')
            ),
            'stops_s': None,
            'how': spec.get('how', 'done'),
        }
        return self._answer(200)

    async def _run_stop(self, request):
        body = await request.json()
        if body.get('fence', 0) < self.fence:
            return self._answer(409, 'fence')
        self.fence = body.get('fence', 0)
        task, run = body['task'], body['run']
        self.world.record.write(f'{self.name} told to stop {task} run {run}')
        self.refused_to[task] = max(self.refused_to.get(task, 0), run)
        known = self.running.get(task)
        is_running = known is not None and known['run'] <= run
        if is_running and known['stops_s'] is None:
            known['stops_s'] = time.monotonic() + STOP_MS / 2000
        return self._answer(200)

    async def _pace(self, request):
        return self._answer(200)

    async def _health(self, request):
        return web.Response(text='ok')

    async def _hold(self, request):
        body = await request.json()
        if body.get('fence', 0) < self.fence:
            return self._answer(409, 'fence')
        self.fence = body.get('fence', 0)
        if body.get('untilMs'):
            self._take_lease(body['untilMs'])
        cursor = body.get('ackCursor', 0)
        self.ended = [row for row in self.ended if row[0] > cursor]
        wait_s = min(body.get('waitMs', 0), 2000) / 1000
        ends_s = time.monotonic() + wait_s
        while not self.ended and time.monotonic() < ends_s:
            self.ended_event.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(ends_s - time.monotonic()):
                    await self.ended_event.wait()
        return self._answer(
            200,
            born=self.born,
            running=[
                [task, item['run'], '', 100, 10]
                for task, item in self.running.items()
            ],
            ended=self.ended[:500],
        )

    def _end(self, task, how):
        item = self.running.pop(task)
        self.world.ledger.end(item['row'], how)
        self.end_count += 1
        self.refused_to[task] = max(self.refused_to.get(task, 0), item['run'])
        self.ended.append([self.end_count, task, item['run'], how, ''])
        self.ended_event.set()

    async def _work(self):
        while True:
            await asyncio.sleep(0.01)
            now_s = time.monotonic()
            if self.running and self.clock_ms() >= self.until_ms:
                for task in list(self.running):
                    self._end(task, 'lapsed')
            for task, item in list(self.running.items()):
                if item['stops_s'] is not None and now_s >= item['stops_s']:
                    self._end(task, 'stopped')
                elif item['ends_s'] is not None and now_s >= item['ends_s']:
                    self._end(task, item['how'])

    def report(self):
        """Return the next heartbeat."""
        self.seq += 1
        return {
            'service': self.service,
            'address': self.address,
            'zone': 'hub-a',
            'version': 'v1',
            'slots': 8,
            'state': self.state,
            'coldLeftMs': 0,
            'capacity': {'cpu': 32000, 'memMb': 131072, 'gpu': 0},
            'labels': ['a', self.rack],
            'wallClockMs': self.clock_ms(),
            'seq': self.seq,
            'born': self.born,
        }

    async def _beat(self):
        while True:
            if not self.is_cut_off:
                await self.world.call_control(
                    'POST', f'/instances/{self.name}/heartbeat', self.report()
                )
            await asyncio.sleep(BEAT_S)

    async def crash_and_restart(self, down_s):
        """Crash, and start again under the same id, knowing nothing."""
        self.world.record.write(
            f'{self.name} crashes, and runs {len(self.running)} tasks then'
        )
        for task in list(self.running):
            self._end(task, 'ended with the worker')
        await self.close()
        await asyncio.sleep(down_s)
        self.born = int(time.time() * 1000)
        self.zero_s = time.monotonic()
        self.seq = self.fence = self.until_ms = self.end_count = 0
        self.ended.clear()
        self.refused_to.clear()
        self.is_cut_off = False
        await self.start()
        self.world.record.write(f'{self.name} has started again')


class MachineService:
    """The platform's list of machines; carries out orders, and records them.

    Attributes:
        states: states of the machines that aren't up.
        foreign: entries of another writer, listed behind the platform's own.
        begun: machines whose upkeep has begun.
    """

    def __init__(self, world):
        self.world = world
        self.host = f'{world.net}.41'
        self.port = free_port()
        self.address = f'{self.host}:{self.port}'
        self.machines = {}
        self.states = {}
        self.foreign = []
        self.begun = set()
        self._fences = {}
        self._tasks = set()
        self._runner = None

    async def start(self):
        """Listen."""
        app = web.Application()
        app.add_routes(
            [
                web.get('/machines', self._list),
                web.post('/machine-move', self._move),
                web.post('/machine-upkeep', self._upkeep),
            ]
        )
        self._runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=0.5
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, self.host, self.port).start()

    async def close(self):
        """Stop."""
        if self._runner is not None:
            await self._runner.cleanup()

    def create_entry(self, name, worker):
        """Return a machine's entry in the list."""
        return {
            'machine': name,
            'pool': worker.service,
            'state': self.states.get(name, 'up'),
            'zone': 'hub-a',
            'labels': ['a', worker.rack],
            'capacity': {'cpu': 32000, 'memMb': 131072, 'gpu': 0},
            'id': worker.name,
        }

    async def _list(self, request):
        rows = [self.create_entry(*item) for item in self.machines.items()]
        return web.json_response({'machines': rows + self.foreign})

    async def _read_order(self, request):
        body = await request.json()
        fence = int(request.headers['Fence-Token'])
        holder = request.headers['Lease-Holder']
        self.world.record.write(
            f'platform: {request.path} {body} holder {holder} fence {fence}'
        )
        name = body['machine']
        if fence < self._fences.get(name, 0):
            return body, web.json_response({'reason': 'fence'}, status=409)
        self._fences[name] = fence
        if name not in self.machines:
            return body, web.json_response({}, status=400)
        return body, None

    async def _move(self, request):
        body, refusal = await self._read_order(request)
        if refusal is not None:
            return refusal
        if self.machines[body['machine']].service != body['pool']:
            return web.json_response({}, status=400)
        return web.json_response({})

    async def _upkeep(self, request):
        body, refusal = await self._read_order(request)
        if refusal is not None:
            return refusal
        name = body['machine']
        if name not in self.begun:
            if self.states.get(name, 'up') != 'up':
                return web.json_response({'reason': 'busy'}, status=409)
            self.begun.add(name)
            self.states[name] = 'upkeep'
            task = asyncio.ensure_future(self._renew(name))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return web.json_response({})

    async def _renew(self, name):
        """End the machine's worker, and start another one after upkeepS."""
        former = self.machines[name]
        await former.stop()
        await asyncio.sleep(UPKEEP_S)
        self.world.workers.remove(former)
        worker = Worker(
            self.world, f'{former.name}b', former.service, former.rack
        )
        self.world.workers.append(worker)
        self.machines[name] = worker
        self.states.pop(name)
        await worker.start()


class Adviser:
    """Says which workers may run a step, one call at a time.

    Attributes:
        allowed: names of the workers that may run the steps of a job; all may
            run the others.
    """

    def __init__(self, world):
        self.world = world
        self.host = f'{world.net}.42'
        self.port = free_port()
        self.address = f'{self.host}:{self.port}'
        self.allowed = {}
        self._turn = asyncio.Lock()
        self._waiting = 0
        self._runner = None

    async def start(self):
        """Listen."""
        app = web.Application()
        app.add_routes([web.post('/advise', self._advise)])
        self._runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=0.5
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, self.host, self.port).start()

    async def close(self):
        """Stop."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _advise(self, request):
        body = await request.json()
        if self._waiting >= 32:
            return web.json_response({}, status=429)
        step, names = body['step'], body['workers']
        self._waiting += 1
        try:
            async with self._turn:
                wait_ms = DECIDE_MS + EACH_MS * len(names)
                await asyncio.sleep(wait_ms / 1000)
        finally:
            self._waiting -= 1
        allowed = self.allowed.get(step.partition('.')[0], names)
        good = [[name, f't-{name}'] for name in names if name in allowed]
        self.world.record.write(
            f'adviser: {step} {",".join(names)} -> '
            f'{",".join(name for name, _ in good)}'
        )
        return web.json_response({'good': good, 'validityMs': VALIDITY_MS})


def render(template, fields):
    """Fill in a template of the deploy file."""

    def replace(found):
        value = fields
        name, _, kind = found[1].partition('|')
        for part in name.split('.'):
            value = value[int(part)] if part.isdigit() else value[part]
        return json.dumps(value) if kind == 'json' else str(value)

    text = (ROOT / 'deploy' / template).read_text()
    return re.sub(r'\{\{([^}]+)\}\}', replace, text)


class World:
    """Three control replicas, entries, workers, machines and callers."""

    def __init__(self, case):
        self.case = pathlib.Path(case).resolve().parent
        self.record = Record(self.case)
        self.ledger = Ledger(self.record)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.net = (
            f'127.{secrets.randbelow(200) + 20}.{secrets.randbelow(250)}'
        )
        self.control_port, self.front_port = free_port(), free_port()
        self.ready_port, self.link_port = free_port(), free_port()
        self.platform = MachineService(self)
        self.adviser = Adviser(self)
        self.controls, self.entries, self.workers = [], [], []
        self.processes = {}
        self.session = None

    async def __aenter__(self):
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        )
        await self.platform.start()
        await self.adviser.start()
        return self

    async def __aexit__(self, *_):
        for process in self.processes.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
            await process.wait()
        for worker in self.workers:
            await worker.close()
        await self.platform.close()
        await self.adviser.close()
        await self.session.close()
        if os.environ.get('KEEP'):
            shutil.copytree(
                self.folder, os.environ['KEEP'], dirs_exist_ok=True
            )
        shutil.rmtree(self.folder, ignore_errors=True)

    def _fields(self, name, number, listen):
        ip = f'{self.net}.{number}'
        return {
            'node': name,
            'ip': ip,
            'zone': 'hub-a',
            'dataDir': str(self.folder / name),
            'listen': {k: f'{ip}:{port}' for k, port in listen.items()},
            'internalPortRange': [self.link_port, self.link_port],
            'seeds': [
                f'{self.net}.{n}:{self.control_port}' for n in (11, 12, 13)
            ],
            'bootstrap': True,
            'tolerate': {'machines': 1},
            'cloud': {'address': self.platform.address},
            'advice': self.adviser.address,
            'bounds': {'graceS': 6},
        }

    async def _spawn(self, name, role, template, fields):
        # The deploy file's port is the same on all machines, and taken here
        # only on the machine's own address.
        text = render(template, fields)
        port = f'"metrics_port": {self.metrics_port}'
        text = text.replace('"metrics_port": 9464', port)
        path = self.folder / f'{name}.json'
        path.write_text(text)
        with open(self.folder / f'{name}.log', 'ab') as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'greengagering.platform',
                role,
                stdout=log,
                stderr=log,
                stdin=asyncio.subprocess.DEVNULL,
                cwd=ROOT,
                env={
                    'PATH': os.environ['PATH'],
                    'HOME': os.environ.get('HOME', '/'),
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'PYTHONDONTWRITEBYTECODE': '1',
                    'GREENGAGERING_CONFIG': str(path),
                },
            )

    async def start(self, entries=1):
        """Start three control replicas and some entries."""
        self.metrics_port = free_port()
        for number in (11, 12, 13):
            name = f'core-{number - 10}'
            (self.folder / name).mkdir()
            listen = {'control': self.control_port}
            fields = self._fields(name, number, listen)
            self.controls.append((name, f'{self.net}.{number}'))
            await self._spawn(name, 'control', 'control.json', fields)
        for number in range(21, 21 + entries):
            name = f'front-{number - 20}'
            listen = {'front': self.front_port, 'ready': self.ready_port}
            fields = self._fields(name, number, listen)
            self.entries.append((name, f'{self.net}.{number}'))
            await self._spawn(name, 'entry', 'entry.json', fields)

    async def request(self, method, url, body=None, headers=None, timeout_s=1):
        """Send a request; return status, JSON body or None, and headers."""
        data = body
        if body is not None and not isinstance(body, bytes):
            data = json.dumps(body).encode()
        try:
            async with asyncio.timeout(timeout_s):
                async with self.session.request(
                    method,
                    url,
                    data=data,
                    allow_redirects=False,
                    headers={
                        'Content-Type': 'application/json',
                        **(headers or {}),
                    },
                ) as response:
                    raw = await response.read()
                    try:
                        answer = json.loads(raw)
                    except ValueError:
                        answer = None
                    return response.status, answer, response.headers
        except (TimeoutError, aiohttp.ClientError, OSError):
            return 0, None, {}

    async def call_control(self, method, path, body=None):
        """Call any control replica, following redirects, until one answers."""
        answered = (0, None, {})
        for _, host in self.controls:
            url = f'http://{host}:{self.control_port}{path}'
            for _ in range(3):
                answered = await self.request(method, url, body)
                if answered[0] != 307:
                    break
                url = answered[2]['Location']
            if answered[0] not in (0, 307, 503):
                break
        return answered

    async def configure(self, config):
        """Send a configuration until it is acknowledged."""
        for _ in range(100):
            status, _, _ = await self.call_control(
                'POST', '/config/replace', config
            )
            if status:
                self.record.write(
                    f'operator: version {config["version"]} -> {status}'
                )
            if status == 200:
                return
            await asyncio.sleep(0.2)
        raise CannotRunError('no configuration is acknowledged')

    async def client(self, method, path, body=None, entry=0, host=HOST):
        """Send a client's request to an entry, and record it."""
        url = f'http://{self.entries[entry][1]}:{self.front_port}{path}'
        answered = await self.request(
            method, url, body, {'Host': host, 'Deadline-Ms': '3000'}, 3.5
        )
        self.record.write(
            f'client: {method} {path} -> {answered[0]} {answered[1]}'
        )
        return answered

    async def submit(self, path, body):
        """Hand a job in until it is accepted."""
        for _ in range(50):
            status, _, _ = await self.client('POST', path, body)
            if status == 200:
                return
            await asyncio.sleep(0.3)
        raise CannotRunError(f'{path} is not accepted')

    async def wait(self, condition, what, timeout_s=20.0):
        """Wait until a condition holds."""
        ends_s = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > ends_s:
                raise CannotRunError(f'not reached: {what}')
            await asyncio.sleep(0.02)

    async def add_workers(self, count, service, start=True):
        """Start workers, each on a machine of its own, in two racks."""
        for number in range(1, count + 1):
            name = f'i-{number}'
            worker = Worker(self, name, service, f'r1-{number % 2}')
            self.workers.append(worker)
            self.platform.machines[f'm-{name}'] = worker
            if start:
                await worker.start()

    def worker_of(self, row):
        """Return the worker of a run."""
        return next(w for w in self.workers if w.name == row['worker'])

    def leader(self):
        """Return the name of the replica that last began to lead, or ''."""
        found = ('', '')
        for name, _ in self.controls:
            text = (self.folder / f'{name}.log').read_text(errors='replace')
            for line in text.splitlines():
                if 'event=lead_begun' in line:
                    term = int(re.search(r'term=(\d+)', line)[1])
                    found = max(found, (f'{term:06d}', name))
        return found[1]


class CannotRunError(Exception):
    """The case could not be brought about."""


def route(name, prefix, service, **fields):
    """Return a queue of a configuration."""
    return {
        'name': name,
        'host': HOST,
        'pathPrefix': prefix,
        'kind': 'unsafe',
        'timeoutMs': 3000,
        'targetDurationMs': 600,
        'priority': 0,
        'service': service,
        'attempts': 3,
        'stretch': 1.6,
        **fields,
    }


def configuration(version, routes, services):
    """Return a configuration."""
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': name,
                'healthPath': '/healthz',
                'maxConns': 64,
                'protocol': 'h1',
                'tls': False,
                'admissionControl': False,
                'standby': False,
            }
            for name in services
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 262144,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
    }


def job(spec, *steps):
    """Return the body of a job."""
    return {'spec': json.dumps(spec), 'steps': list(steps)}


def lasting(count=3, cpu=2000):
    """Return a step whose tasks run until the job is cancelled."""
    return {
        'count': count,
        'cpu': cpu,
        'memMb': 1000,
        'estMs': 700,
        'persistent': True,
    }


def finite(count=3, cpu=2000, est_ms=1000):
    """Return a step whose tasks end by themselves."""
    return {'count': count, 'cpu': cpu, 'memMb': 1000, 'estMs': est_ms}


def new_id():
    """Return a new job id."""
    return secrets.token_hex(8)


def main(play, case):
    """Play a case and exit with 1 if the rule was broken, 0 if it held."""

    async def run():
        world = World(case)
        try:
            async with world, asyncio.timeout(110):
                return 1 if await play(world) else 0
        except Exception as error:
            # An error of the test itself says nothing about the rule.
            world.record.write(f'could not run: {error!r}')
            return 2

    sys.exit(asyncio.run(run()))
