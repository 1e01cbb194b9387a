"""Measures the processor time of a leader process per run under load.

Run "python -m benchmarks.leader_load". Replicas, entries and the stand-in
workers are separate processes on loopback. With --profile, the replicas run
under a sampling profiler, and the leader's most expensive functions are
printed.
"""

import asyncio
import collections
import json
import os
import pathlib
import re
import subprocess
import sys
import tempfile
import time

import aiohttp
import fire
import tabulate

from benchmarks import report
from features.support import platform_world
from features.support import ports

CONTROLS = 3
HOST_PROCESSES = 3
"""Processes among which the stand-in workers are divided."""

TASKS_PER_STEP = 8
RUN_S = 0.6
SERVICES = ('alpha', 'beta', 'gamma', 'delta')
WARM_UP_S = 4.0
"""Time from the start of the workers until the leader has polled them all."""

POLL_S = 0.5
JOB_TIMEOUT_S = 30.0
TOP_FUNCTIONS = 45
LEADER_LINE = re.compile(rb'^\S*is_leader\S* 1(\.0)?$', re.MULTILINE)
EVENT = re.compile(r'event=(\w+)')
CLOCK_TICKS = os.sysconf('SC_CLK_TCK')


class LoadWorld(platform_world.PlatformWorld):
    """A PlatformWorld whose replicas can run under the profiler."""

    is_profiled = False

    def _start(self, name: str, role: str) -> None:
        if not self.is_profiled or role != 'control':
            super()._start(name, role)
            return
        path = self.write_settings(name)
        with open(self.folder / f'{name}.log', 'ab') as log:
            self.processes[name] = subprocess.Popen(
                [
                    sys.executable,
                    '-m',
                    'benchmarks._sampled_run',
                    str(self.folder / f'{name}.profile'),
                    'greengagering.platform',
                    role,
                ],
                stdout=log,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
                env={**os.environ, 'GREENGAGERING_CONFIG': str(path)},
            )

    def start_hosts(self, worker_count: int) -> None:
        """Start the processes that run the stand-in workers."""
        first_port = ports.LAST_PORT - 1000
        share = -(-worker_count // HOST_PROCESSES)
        controls = '+'.join(self.seeds)
        for index in range(HOST_PROCESSES):
            first = index * share
            count = min(share, worker_count - first)
            with open(self.folder / f'hosts-{index}.log', 'ab') as log:
                self.processes[f'hosts-{index}'] = subprocess.Popen(
                    [
                        sys.executable,
                        '-m',
                        'benchmarks._worker_host',
                        f'--first={first}',
                        f'--count={count}',
                        f'--first_port={first_port}',
                        f'--services={"+".join(SERVICES)}',
                        f'--controls={controls}',
                        f'--run_s={RUN_S}',
                    ],
                    stdout=log,
                    stderr=subprocess.STDOUT,
                    stdin=subprocess.DEVNULL,
                )

    def cpu_s(self, name: str) -> float:
        """Return the processor time that a process has used."""
        stat = pathlib.Path(f'/proc/{self.processes[name].pid}/stat')
        fields = stat.read_text().rpartition(')')[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def _configuration() -> bytes:
    routes = [
        {
            'name': f'r-{service}',
            'host': platform_world.HOST,
            'pathPrefix': f'/{service}/',
            'timeoutMs': 3000,
            'targetDurationMs': 600,
            'priority': 0,
            'service': service,
            'attempts': 2,
            'stretch': 1.6,
        }
        for service in SERVICES
    ]
    return json.dumps(
        {
            'version': 1,
            'routes': routes,
            'services': [{'name': s, 'maxConns': 64} for s in SERVICES],
            'limits': {'maxBodyBytes': 20_000},
        }
    ).encode()


async def _submit_job(
    session: aiohttp.ClientSession,
    base: str,
    number: int,
    waits: report.Times,
    failures: list[str],
) -> None:
    """Submit a job, and wait until it is shown as succeeded."""
    service = SERVICES[number % len(SERVICES)]
    url = f'{base}/{service}/{number:016x}'
    step = {
        'count': TASKS_PER_STEP,
        'cpu': 1000,
        'memMb': 100,
        'estMs': int(RUN_S * 1000),
    }
    headers = {'Host': platform_world.HOST}
    body = {'spec': 'text', 'steps': [step]}
    started_s = time.monotonic()
    state = ''
    try:
        async with session.post(url, json=body, headers=headers) as response:
            if response.status != 200:
                failures.append(f'submit {response.status}')
                return
        while time.monotonic() < started_s + JOB_TIMEOUT_S:
            await asyncio.sleep(POLL_S)
            async with session.get(url, headers=headers) as response:
                state = (await response.json()).get('state', '')
            if state == 'succeeded':
                waits.add(time.monotonic() - started_s)
                return
    except (TimeoutError, aiohttp.ClientError) as error:
        state = repr(error)
    failures.append(state)


async def _run_load(
    base: str, job_rate: float, load_s: float, first_number: int
) -> tuple[report.Times, list[str]]:
    waits = report.Times()
    failures: list[str] = []
    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=10.0)
    async with aiohttp.ClientSession(
        connector=connector, timeout=timeout
    ) as session:
        jobs = []
        started_s = time.monotonic()
        for number in range(int(job_rate * load_s)):
            due_s = started_s + number / job_rate
            await asyncio.sleep(max(due_s - time.monotonic(), 0))
            jobs.append(
                asyncio.ensure_future(
                    _submit_job(
                        session, base, first_number + number, waits, failures
                    )
                )
            )
        await asyncio.gather(*jobs)
    return waits, failures


def _print_samples(path: pathlib.Path) -> None:
    """Print a profile twice: by own time, and by time with callees."""
    rows = [line.split(' ', 2) for line in path.read_text().splitlines()]
    total = sum(int(own) for own, _, _ in rows)
    for column in (0, 1):
        rows.sort(key=lambda row: int(row[column]), reverse=True)
        shares = [(f'{int(r[column]) / total:.3f}', r[2]) for r in rows]
        print(
            tabulate.tabulate(shares[:TOP_FUNCTIONS], headers=['share', 'in'])
        )


def _count_events(world: LoadWorld, name: str) -> str:
    """Return the number of log lines of a process per event."""
    counts = collections.Counter(EVENT.findall(world.log_of(name)))
    return ', '.join(f'{event} {n}' for event, n in counts.most_common())


def _find_leader(world: LoadWorld) -> str:
    for name in world.running_controls():
        answer = world.call(
            'GET', f'http://{world.hosts[name]}:{world.metrics_port}/metrics'
        )
        if LEADER_LINE.search(answer.body):
            return name
    raise LookupError('no replica leads')


def measure(
    worker_count: int,
    start_rate: float,
    load_s: float,
    entry_count: int,
    folder: pathlib.Path,
    *,
    is_profiled: bool = False,
) -> list[object]:
    """Measure one row of the table.

    Args:
        worker_count: number of stand-in workers.
        start_rate: runs to start per second.
        load_s: time for which jobs are submitted.
        entry_count: number of entries, which forward orders in a large fleet.
        folder: folder for data, settings and logs.
        is_profiled: whether the replicas run under a profiler.
    """
    world = LoadWorld(folder)
    world.is_profiled = is_profiled
    try:
        world.start_controls(CONTROLS)
        for number in range(entry_count):
            world.start_entry(f'entry-{number + 1}')
        world.call_leader('POST', '/config/replace', _configuration())
        world.start_hosts(worker_count)
        time.sleep(WARM_UP_S)
        leader = _find_leader(world)
        base = f'http://{world.hosts["entry-1"]}:{world.entry_port}'
        idle_before_s = world.cpu_s(leader)
        time.sleep(2.0)
        idle_share = (world.cpu_s(leader) - idle_before_s) / 2.0
        before_s = world.cpu_s(leader)
        started_s = time.monotonic()
        job_rate = start_rate / TASKS_PER_STEP
        waits, failures = asyncio.run(_run_load(base, job_rate, load_s, 0))
        took_s = time.monotonic() - started_s
        spent_s = world.cpu_s(leader) - before_s
        runs = max(waits.count * TASKS_PER_STEP, 1)
        own_s = spent_s - idle_share * took_s
        for name in list(world.processes):
            if name.startswith('control'):
                world.terminate(name)
        print(_count_events(world, leader))
        if is_profiled:
            _print_samples(folder / f'{leader}.profile')
        return [
            worker_count,
            start_rate,
            round(idle_share, 3),
            round(1000 * spent_s / runs, 3),
            round(1000 * own_s / runs, 3),
            round(runs / took_s),
            round(waits.percentile_ms(50)),
            round(waits.percentile_ms(95)),
            len(failures),
        ]
    finally:
        world.close()


def main(
    workers: str = '40+180+272',
    rates: str = '100+400+800',
    load_s: float = 5.0,
    entries: int = 4,
    profile: bool = False,
) -> None:
    """Measure all combinations and print the table.

    Args:
        workers: numbers of workers, joined by '+'.
        rates: starts per second, joined by '+'.
        load_s: time for which jobs are submitted.
        entries: number of entries, which forward orders in a large fleet.
        profile: run the replicas under the profiler and print the profile.
    """
    rows = []
    for count in str(workers).split('+'):
        for rate in str(rates).split('+'):
            with tempfile.TemporaryDirectory() as folder:
                row = measure(
                    int(count),
                    float(rate),
                    load_s,
                    entries,
                    pathlib.Path(folder),
                    is_profiled=profile,
                )
            rows.append(row)
            print(row, flush=True)
    headers = [
        'workers',
        'starts/s wanted',
        'idle, cores',
        'ms a run',
        'ms a run beyond idle',
        'starts/s done',
        'job p50, ms',
        'job p95, ms',
        'not done',
    ]
    print(tabulate.tabulate(rows, headers=headers))


if __name__ == '__main__':
    fire.Fire(main)
