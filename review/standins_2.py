"""Stand-ins for the scripts of this review: workers, platform, clients.

They follow PROTOCOL.md and DEPLOY.md. The programs under test are started with
the commands of deploy/system.toml, each with a settings file that is rendered
from its template, on loopback addresses.
"""

import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

import aiohttp
from aiohttp import web

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = 'jobs.example'
SERVICE = 'alpha'
PREFIX = '/quick/'
HEARTBEAT_S = 0.75
STOP_S = 0.1
DRAIN_S = 2.0
HOLD_MAX_MS = 10_000
END_ROWS = 500


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self.began_s = time.monotonic()
        self._file = open(path, 'w')  # noqa: SIM115

    def now_s(self):
        """Return the time since the case began."""
        return time.monotonic() - self.began_s

    def add(self, text):
        """Write a line."""
        self._file.write(f'{self.now_s():8.3f} {text}\n')
        self._file.flush()


# Below the kernel's ephemeral ports, which outgoing connections take.
PORTS = (15_000, 32_000)
HOSTS = (1, *range(9, 20), *range(30, 40), *range(60, 80))
_given_ports = set()


def free_port():
    """Return a port that is free on every address that a case uses."""
    while True:
        port = random.randint(*PORTS)
        if port in _given_ports or not all(
            _is_free(f'127.0.0.{host}', port) for host in HOSTS
        ):
            continue
        _given_ports.add(port)
        return port


def _is_free(host, port):
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


class Worker:
    """One worker, as PROTOCOL.md describes it.

    Attributes:
        is_up: whether its process runs.
        hook: called with the path and the body of each order before it is
            carried out; a returned (status, body) is the answer, and the
            order isn't carried out.
    """

    def __init__(
        self,
        record,
        worker_id,
        machine,
        address,
        controls,
        service=SERVICE,
        cpu=32_000,
        memory_mb=131_072,
        rack='r1-1',
        kind='a',
        run_s=None,
        clock_rate=1.0,
        heartbeat_s=HEARTBEAT_S,
    ):
        self.record = record
        self.worker_id = worker_id
        self.machine = machine
        self.address = address
        self.listen_address = address
        self.controls = controls
        self.service = service
        self.capacity = {'cpu': cpu, 'memMb': memory_mb, 'gpu': 0}
        self.rack = rack
        self.kind = kind
        self.clock_rate = clock_rate
        self.heartbeat_s = heartbeat_s
        self.run_s = run_s or (lambda task: 0.5)
        self.is_up = False
        self.state = 'ready'
        self.drain_ends_s = 0.0
        self.hook = None
        self.starts = []
        self.all_ends = []
        # Ends that ackCursor has reached, of all processes under this id.
        self.noted = []
        self._is_cut = False
        self._healed = asyncio.Event()
        self.acknowledged = 0
        self.order_count = 0
        self._runner = None
        self._tasks = []
        self._open = set()
        self._wakeup = asyncio.Event()

    def clock_ms(self):
        """Return the worker's steady clock."""
        elapsed_s = time.monotonic() - self.began_s
        return int(elapsed_s * self.clock_rate * 1000)

    async def start(self):
        """Start the process, which knows nothing of an earlier one."""
        self.began_s = time.monotonic()
        self.born = int(time.time() * 1000)
        self.fence = 0
        self.seq = 0
        self.until_ms = 0
        self.running = {}
        self.highest = {}
        self.ended = []
        self.end_number = 0
        self.is_up = True
        app = web.Application(client_max_size=8 * 1024 * 1024)
        app.router.add_post('/run-start', self._on_order)
        app.router.add_post('/run-stop', self._on_order)
        app.router.add_post('/pace', self._on_order)
        app.router.add_post('/hold', self._on_order)
        app.router.add_get('/healthz', self._on_health)
        self._runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=0.01
        )
        await self._runner.setup()
        host, _, port = self.listen_address.rpartition(':')
        site = web.TCPSite(self._runner, host, int(port), reuse_address=True)
        await site.start()
        self._tasks = [
            asyncio.ensure_future(self._heartbeats()),
            asyncio.ensure_future(self._work()),
        ]
        self.record.add(f'worker {self.worker_id} started, born {self.born}')

    async def crash(self):
        """End the process at once; what runs on it ends with it."""
        self.is_up = False
        lost = [f'{task}#{row["run"]}' for task, row in self.running.items()]
        self.record.add(f'worker {self.worker_id} crashed; lost: {lost}')
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.running = {}
        for transport in list(self._open):
            transport.abort()
        await self._runner.cleanup()

    def renew(self):
        """Take another id, as another worker of the same machine."""
        name, _, life = self.worker_id.partition('-r')
        self.worker_id = f'{name}-r{int(life or 0) + 1}'
        self.state = 'ready'

    async def drain(self):
        """Report that it drains, until that is certainly acknowledged."""
        self.drain_ends_s = time.monotonic() + DRAIN_S
        self.state = 'draining'
        self.record.add(f'worker {self.worker_id} drains')
        # The next acknowledgement may be for the former state.
        known = self.acknowledged
        while self.acknowledged < known + 2:
            await asyncio.sleep(0.01)
        self.drain_ends_s = time.monotonic() + DRAIN_S
        self.record.add(f'worker {self.worker_id}: draining acknowledged')

    async def leave(self):
        """Tell that it leaves, and end; what runs on it ends with it."""
        self.record.add(f'worker {self.worker_id} leaves')
        timeout = aiohttp.ClientTimeout(total=1.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            for control in self.controls:
                url = f'http://{control}/instances/{self.worker_id}/leave'
                try:
                    async with session.post(url) as response:
                        if response.status == 200:
                            break
                except (aiohttp.ClientError, TimeoutError, OSError):
                    pass
        await self.crash()

    def cut(self):
        """Cut the worker off: no bytes pass either way, and it runs on."""
        self.record.add(f'worker {self.worker_id} is cut off')
        self._is_cut = True
        self._healed.clear()

    def heal(self):
        """End the cut; what it has held up arrives."""
        self.record.add(f'worker {self.worker_id} is reached again')
        self._is_cut = False
        self._healed.set()

    async def close(self):
        """End the process, if it runs."""
        self._healed.set()
        if self.is_up:
            self.is_up = False
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            for transport in list(self._open):
                transport.abort()
            await self._runner.cleanup()

    async def _on_health(self, request):
        return web.Response(status=200)

    async def _on_order(self, request):
        self._open.add(request.transport)
        body = await request.json()
        path = request.path
        self.order_count += 1
        if self._is_cut:
            # The bytes are held up until the cut heals.
            await self._healed.wait()
            if not self.is_up:
                return self._answer(503, {})
        if path != '/hold':
            self.record.add(
                f'{self.worker_id} gets {path} '
                f'{json.dumps({k: v for k, v in body.items() if k != "spec"})}'
            )
        wanted = request.headers.get('Expect-Instance', self.worker_id)
        if wanted != self.worker_id:
            return self._answer(421, {})
        if self.hook is not None:
            held = self.hook(path, body)
            if asyncio.iscoroutine(held):
                held = await held
            if held is not None:
                self.record.add(f'{self.worker_id} answers {held}')
                return self._answer(*held)
        if body.get('fence', 0) < self.fence:
            return self._answer(409, {'reason': 'fence'})
        self.fence = max(self.fence, body.get('fence', 0))
        if path == '/hold':
            return await self._hold(body)
        status, answer = self.carry_out(path, body)
        self.record.add(f'{self.worker_id} answers {status} {answer}')
        return self._answer(status, answer)

    def carry_out(self, path, body):
        """Carry out an order other than a poll; return status and body."""
        task, run = body['task'], body['run']
        if path == '/run-start':
            return self._start_run(body, task, run)
        if path == '/run-stop':
            row = self.running.get(task)
            if row is not None and row['run'] == run:
                row.setdefault('stops_s', time.monotonic() + STOP_S)
            elif row is None or row['run'] < run:
                self.highest[task] = max(self.highest.get(task, 0), run)
        elif task in self.running and self.running[task]['run'] == run:
            self.running[task]['percent'] = body['percent']
        return 200, {}

    def _start_run(self, body, task, run):
        row = self.running.get(task)
        until_ms = min(body['untilMs'], self.clock_ms() + HOLD_MAX_MS)
        if row is not None and row['run'] == run:
            self.until_ms = max(self.until_ms, until_ms)
            return 200, {}
        if body['untilMs'] <= self.clock_ms():
            return 409, {'reason': 'late'}
        self.until_ms = max(self.until_ms, until_ms)
        if run <= self.highest.get(task, 0) or row is not None:
            return 409, {'reason': 'old'}
        now_s = time.monotonic()
        self.running[task] = {
            'run': run,
            'ends_s': now_s + self.run_s(task),
            'percent': 100,
        }
        self.starts.append((now_s, task, run, body['spec']))
        self.record.add(f'{self.worker_id} RUNS {task}#{run}')
        return 200, {}

    async def _hold(self, body):
        if body.get('untilMs'):
            until_ms = min(body['untilMs'], self.clock_ms() + HOLD_MAX_MS)
            self.until_ms = max(self.until_ms, until_ms)
        cursor = body.get('ackCursor', 0)
        noted = [row for row in self.ended if row[0] <= cursor]
        if noted:
            self.record.add(
                f'{self.worker_id}: ackCursor {cursor} reaches {noted}'
            )
        self.noted += noted
        self.ended = [row for row in self.ended if row[0] > cursor]
        ends_s = time.monotonic() + body.get('waitMs', 0) / 1000
        while not self.ended and time.monotonic() < ends_s:
            await asyncio.sleep(0.02)
        lists = {
            'born': self.born,
            'running': [
                [task, row['run'], '', row['percent'], 0]
                for task, row in self.running.items()
            ],
            'ended': self.ended[:END_ROWS],
        }
        return self._answer(200, lists)

    def _answer(self, status, body):
        return web.json_response(
            {'wallClockMs': self.clock_ms(), **body}, status=status
        )

    def _end(self, task, how):
        row = self.running.pop(task)
        self.highest[task] = max(self.highest.get(task, 0), row['run'])
        self.end_number += 1
        self.ended.append([self.end_number, task, row['run'], how, ''])
        self.all_ends.append((time.monotonic(), task, row['run'], how))
        self.record.add(f'{self.worker_id} ENDS {task}#{row["run"]} {how}')

    async def _work(self):
        while True:
            await asyncio.sleep(0.002)
            now_s = time.monotonic()
            for task, row in list(self.running.items()):
                if self.clock_ms() > self.until_ms:
                    self._end(task, 'lapsed')
                elif now_s >= row.get('stops_s', now_s + 1):
                    self._end(task, 'stopped')
                elif now_s >= row['ends_s']:
                    self._end(task, 'done')

    async def _heartbeats(self):
        timeout = aiohttp.ClientTimeout(total=1.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                for control in self.controls:
                    if await self._beat(session, control):
                        self.acknowledged += 1
                        break
                self.beat_at_s = time.monotonic()
                await asyncio.sleep(self.heartbeat_s)

    async def _beat(self, session, control):
        if self._is_cut:
            return False
        self.seq += 1
        body = {
            'service': self.service,
            'address': self.address,
            'zone': 'z-1',
            'version': 'v1',
            'slots': 8,
            'state': self.state,
            'coldLeftMs': 0,
            'capacity': self.capacity,
            'labels': [self.kind, self.rack],
            'wallClockMs': self.clock_ms(),
            'seq': self.seq,
            'born': self.born,
        }
        left_s = self.drain_ends_s - time.monotonic()
        if self.state == 'draining' and left_s > 0:
            body['drainRemainingMs'] = int(left_s * 1000)
        url = f'http://{control}/instances/{self.worker_id}/heartbeat'
        try:
            async with session.post(url, json=body) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False


class Platform:
    """The machine service: lists the machines, and carries out duties.

    Attributes:
        page_rows: most rows of one page of the list.
        between_pages: called after a page that isn't the last.
        upkeeps: machines whose upkeep has begun, by wave.
    """

    def __init__(self, record, address, move_s=1.5, upkeep_s=2.0):
        self.record = record
        self.address = address
        self.move_s = move_s
        self.upkeep_s = upkeep_s
        self.page_rows = 100
        self.between_pages = None
        self.waves = {}
        self.upkeeps = {}
        self.machines = {}
        self._fences = {}
        self._states = {}
        self._tasks = set()
        self._runner = None

    def add(self, worker):
        """Add a worker's machine."""
        self.machines[worker.machine] = worker

    def remove(self, machine):
        """Take a machine away whose worker has left."""
        self.record.add(f'platform: machine {machine} is taken away')
        del self.machines[machine]

    async def start(self):
        """Listen."""
        app = web.Application()
        app.router.add_get('/machines', self._on_list)
        app.router.add_post('/machine-move', self._on_duty)
        app.router.add_post('/machine-upkeep', self._on_duty)
        self._runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=0.01
        )
        await self._runner.setup()
        host, _, port = self.address.rpartition(':')
        await web.TCPSite(self._runner, host, int(port)).start()

    async def close(self):
        """Stop listening."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._runner is not None:
            await self._runner.cleanup()

    def _state_of(self, name, worker):
        state = self._states.get(name)
        return state or ('up' if worker.is_up else 'down')

    async def _on_list(self, request):
        first = int(request.query.get('pageToken', '0'))
        last = first + self.page_rows
        items = sorted(self.machines.items())
        rows = [
            {
                'machine': name,
                'pool': worker.service,
                'state': self._state_of(name, worker),
                'zone': 'z-1',
                'labels': [worker.kind, worker.rack],
                'capacity': worker.capacity,
                'id': worker.worker_id,
            }
            for name, worker in items[first:last]
        ]
        page = {'machines': rows}
        if last < len(items):
            page['nextToken'] = str(last)
        self.record.add(f'platform lists {[row["machine"] for row in rows]}')
        if last < len(items) and self.between_pages is not None:
            self.between_pages()
        return web.json_response(page)

    async def _on_duty(self, request):
        body = await request.json()
        status, answer = self._carry_out(
            request.path, body, int(request.headers.get('Fence-Token', '0'))
        )
        self.record.add(
            f'platform gets {request.path} {body} -> {status} {answer}'
        )
        return web.json_response(answer, status=status)

    def _carry_out(self, path, body, fence):
        name = body['machine']
        worker = self.machines.get(name)
        if worker is None:
            return 400, {}
        if fence < self._fences.get(name, 0):
            return 409, {'reason': 'fence'}
        self._fences[name] = fence
        is_upkeep = path == '/machine-upkeep'
        wave = body.get('wave', 0)
        if is_upkeep and name in self.upkeeps.get(wave, ()):
            return 200, {}
        if not is_upkeep and worker.service == body['pool']:
            return 200, {}
        if is_upkeep and name not in self.waves.get(wave, ()):
            return 409, {'reason': 'wave'}
        if self._state_of(name, worker) != 'up' or worker.state != 'ready':
            return 409, {'reason': 'busy'}
        if is_upkeep:
            self.upkeeps.setdefault(wave, []).append(name)
        self._states[name] = 'upkeep' if is_upkeep else 'moving'
        delay_s = self.upkeep_s if is_upkeep else self.move_s
        task = asyncio.ensure_future(
            self._replace(worker, body.get('pool'), delay_s)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return 200, {}

    async def _replace(self, worker, pool, delay_s):
        """End a worker, and start a new one on its machine."""
        await worker.crash()
        if pool is not None:
            worker.service = pool
        await asyncio.sleep(delay_s)
        worker.renew()
        self._states.pop(worker.machine, None)
        await worker.start()


class System:
    """The project's own programs as processes."""

    def __init__(self, record, folder, controls=3, entries=2):
        self.record = record
        self.folder = pathlib.Path(folder)
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self.roles = deploy['roles']
        self.ports = {
            name: free_port()
            for name in ('control', 'link', 'front', 'ready', 'metrics')
        }
        self.hosts = {}
        for number in range(controls):
            self.hosts[f'control-{number + 1}'] = f'127.0.0.{10 + number}'
        for number in range(entries):
            self.hosts[f'entry-{number + 1}'] = f'127.0.0.{30 + number}'
        self.controls = [
            f'{host}:{self.ports["control"]}'
            for name, host in self.hosts.items()
            if name.startswith('control')
        ]
        self.entries = [n for n in self.hosts if n.startswith('entry')]
        self.platform_address = f'127.0.0.9:{free_port()}'
        self.processes = {}
        self.seeds = list(self.controls)

    def fields(self, name, bootstrap=True):
        """Return the fields of a process's settings."""
        host = self.hosts[name]
        return {
            'node': name,
            'ip': host,
            'zone': 'z-1',
            'dataDir': str(self.folder / f'{name}-data'),
            'listen.control': f'{host}:{self.ports["control"]}',
            'listen.front': f'{host}:{self.ports["front"]}',
            'listen.ready': f'{host}:{self.ports["ready"]}',
            'internalPortRange.0': self.ports['link'],
            'seeds': self.seeds,
            'bootstrap': bootstrap,
            'tolerate.machines': 1,
            'cloud.address': self.platform_address,
            'advice': '',
            'bounds.graceS': 6,
        }

    def start(self, name, bootstrap=True):
        """Start a process by the command of its role."""
        role = self.roles[name.partition('-')[0]]
        fields = self.fields(name, bootstrap)

        def fill(found):
            value = fields[found[1]]
            return json.dumps(value) if found[2] else str(value)

        text = (ROOT / role['template']).read_text()
        text = re.sub(r'\{\{([\w.]+)(\|json)?\}\}', fill, text)
        text = text.replace(
            '"metrics_port": 9464',
            f'"metrics_port": {self.ports["metrics"]}',
        )
        path = self.folder / f'{name}.json'
        path.write_text(text)
        (self.folder / f'{name}-data').mkdir(exist_ok=True)
        words = role['run'].split()
        words[0] = sys.executable if words[0] == 'python3' else words[0]
        with open(self.folder / f'{name}.log', 'ab') as log:
            self.processes[name] = subprocess.Popen(
                words,
                cwd=ROOT,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env={
                    'PATH': os.environ['PATH'],
                    'HOME': os.environ.get('HOME', '/'),
                    'PYTHONPATH': str(ROOT / 'target/deps'),
                    'GREENGAGERING_CONFIG': str(path),
                },
            )
        self.record.add(f'process {name} started')

    def signal(self, name, number):
        """Send a signal to a process."""
        self.record.add(f'process {name} gets {signal.Signals(number).name}')
        self.processes[name].send_signal(number)

    def close(self):
        """Kill every process that was started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()

    def log_of(self, name):
        """Return what a process has logged."""
        return (self.folder / f'{name}.log').read_text(errors='replace')


class Clients:
    """Clients and the operator."""

    def __init__(self, record, system):
        self.record = record
        self.system = system
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=4.0)
        )

    async def close(self):
        """Close every connection."""
        await self._session.close()

    async def call(
        self, entry, method, path, body=None, deadline_ms=3000, is_quiet=False
    ):
        """Send a client's request; return status and body, or (0, None)."""
        url = (
            f'http://{self.system.hosts[entry]}:'
            f'{self.system.ports["front"]}{path}'
        )
        headers = {
            'Host': HOST,
            'Deadline-Ms': str(deadline_ms),
            'Content-Type': 'application/json',
        }
        data = json.dumps(body).encode() if body is not None else None
        status, answer = await self._send(method, url, data, headers)
        if not is_quiet:
            shown = '' if data is None else f' ({len(data)} bytes)'
            self.record.add(
                f'{entry}: {method} {path}{shown} -> {status} {answer}'
            )
        return status, answer

    async def operate(self, method, path, body=None, data=None):
        """Send an operator's request until it gets a clear answer."""
        if body is not None:
            data = json.dumps(body).encode()
        while True:
            for control in self.system.controls:
                status, answer = await self._send(
                    method,
                    f'http://{control}{path}',
                    data,
                    {'Content-Type': 'application/json'},
                    timeout_s=1.0,
                )
                if status and status < 500 and status not in (408, 429):
                    self.record.add(
                        f'operator at {control}: {method} {path} -> {status}'
                    )
                    return status, answer
            await asyncio.sleep(0.1)

    async def _send(self, method, url, data, headers, timeout_s=4.0):
        try:
            async with asyncio.timeout(timeout_s):
                async with self._session.request(
                    method, url, data=data, headers=headers
                ) as response:
                    text = await response.read()
                    try:
                        return response.status, json.loads(text)
                    except ValueError:
                        return response.status, None
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0, None

    async def is_ready(self, entry):
        """Tell whether an entry passes its readiness check."""
        url = (
            f'http://{self.system.hosts[entry]}:'
            f'{self.system.ports["ready"]}/ready'
        )
        status, _ = await self._send('GET', url, None, {}, timeout_s=1.0)
        return status == 200


def configuration(version, routes, services=((SERVICE, False),)):
    """Return a configuration; routes are (prefix, service, attempts)."""
    return {
        'version': version,
        'routes': [
            {
                'name': f'r-{prefix.strip("/")}',
                'host': HOST,
                'pathPrefix': prefix,
                'kind': 'unsafe',
                'timeoutMs': 3000,
                'targetDurationMs': 600,
                'priority': 0,
                'service': service,
                'attempts': attempts,
                'stretch': 1.6,
            }
            for prefix, service, attempts in routes
        ],
        'services': [
            {
                'name': name,
                'healthPath': '/healthz',
                'maxConns': 64,
                'protocol': 'h1',
                'tls': False,
                'admissionControl': False,
                'standby': standby,
            }
            for name, standby in services
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 262144,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
    }


class World:
    """A small deployment: 3 control replicas, 2 entries, some workers."""

    def __init__(self, folder, case):
        self.record = Record(pathlib.Path(case) / 'record.txt')
        self.system = System(self.record, folder)
        self.platform = Platform(self.record, self.system.platform_address)
        self.workers = []

    def add_worker(self, number, **options):
        """Add a worker, which start() starts, and its machine."""
        worker = Worker(
            self.record,
            f'i-{number:08x}',
            f'm-{number:05x}',
            f'127.0.0.{60 + number}:{free_port()}',
            self.system.controls,
            **options,
        )
        self.workers.append(worker)
        self.platform.add(worker)
        return worker

    async def start(self, config):
        """Start everything; return once entries and workers are in use."""
        self.clients = Clients(self.record, self.system)
        await self.platform.start()
        for name in self.system.hosts:
            self.system.start(name)
        async with asyncio.timeout(40):
            status, _ = await self.clients.operate(
                'POST', '/config/replace', config
            )
            if status != 200:
                raise RuntimeError(f'configuration answered {status}')
            for worker in self.workers:
                await worker.start()
            for entry in self.system.entries:
                while not await self.clients.is_ready(entry):
                    await asyncio.sleep(0.1)
            while not all(worker.acknowledged for worker in self.workers):
                await asyncio.sleep(0.1)
        await asyncio.sleep(1.5)
        self.record.add('the system serves')

    async def leader(self):
        """Return the name of the control replica that leads."""
        while True:
            for name, host in self.system.hosts.items():
                if not name.startswith('control'):
                    continue
                url = (
                    f'http://{host}:{self.system.ports["control"]}/config/read'
                )
                try:
                    async with asyncio.timeout(0.5):
                        async with self.clients._session.get(
                            url, allow_redirects=False
                        ) as response:
                            if response.status == 200:
                                return name
                except (aiohttp.ClientError, TimeoutError, OSError):
                    pass
            await asyncio.sleep(0.05)

    async def close(self):
        """End the stand-ins."""
        for worker in self.workers:
            await worker.close()
        await self.platform.close()
        await self.clients.close()


def run(case, play, limit_s=110):
    """Run a case's play; exit with 1 (broken), 0 (held) or 2 (not run).

    play(world, has_trouble) returns a list of sentences that say how the rule
    was broken.
    """
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    folder = tempfile.mkdtemp()
    world = World(folder, case)

    async def main():
        try:
            async with asyncio.timeout(limit_s):
                return await play(world, has_trouble)
        finally:
            await world.close()

    code = 2
    try:
        broken = asyncio.run(main())
        for sentence in broken:
            world.record.add(f'BROKEN: {sentence}')
            print(f'BROKEN: {sentence}')
        if not broken:
            world.record.add('the rule held')
            print('the rule held')
        code = 1 if broken else 0
    except Exception as error:
        world.record.add(f'the case could not run: {error!r}')
        print(f'the case could not run: {error!r}')
    finally:
        world.system.close()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            shutil.copytree(folder, keep, dirs_exist_ok=True)
        shutil.rmtree(folder, ignore_errors=True)
    sys.exit(code)
