"""Measures control and entry processes over links with a delay.

Every link passes through a proxy that delays each chunk by the one-way delay.
"""

import asyncio
import dataclasses
import json
import os
import pathlib
import tempfile
import time
from typing import Any

import fire

from benchmarks import report
from features.support.system import System
from features.support import web

TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
POLL_S = 0.01
STREAM_LIMIT = 64
IDLE_S = 10.0


@dataclasses.dataclass(frozen=True)
class Usage:
    """Processor time, memory and sent bytes of a process at one moment."""

    cpu_s: float
    resident_mb: float
    sent_bytes: int


def _ticket(number: int) -> dict[str, Any]:
    return {
        'number': number,
        'author': 'bench',
        'reason': 'measurement',
        'pools': [
            {
                'name': f'pool-{number % 32}',
                'service': f'service-{number % 32}',
                'vms': [f'vm-{number}'],
            }
        ],
    }


def _usage(system: System, name: str) -> Usage:
    process = system.processes[name]
    fields = pathlib.Path(f'/proc/{process.pid}/stat').read_text().split()
    cpu_s = (int(fields[13]) + int(fields[14])) / TICKS_PER_SECOND
    dump = system.dump(name)
    sent = sum(link['sent_bytes'] for link in dump['links'])
    return Usage(cpu_s, dump['resident_memory_mb'], sent)


def start_system(
    system: System, replicas: int, entries: int, delay_ms: float
) -> None:
    """Start replicas and entries, and delay their links."""
    system.start_controls(replicas)
    names = [f'entry-{number}' for number in range(entries)]
    for name in names:
        system.start_entry(name)
    for name in names:
        system.wait_ready(name)
    for name in (*system.members, *names):
        system.delay(name, delay_ms / 1000)


def measure_tickets(
    system: System, first: int, count: int, label: str
) -> list[report.Figure]:
    """Submit tickets one by one; time until accepted and until in force."""
    accepted = report.Times()
    in_force = report.Times()
    leader = system.leader()
    url = f'http://{system.http[leader]}/v1/tickets'

    async def run() -> None:
        for number in range(first, first + count):
            started = time.monotonic()
            body = json.dumps(_ticket(number)).encode()
            answer = await web.request('POST', url, body)
            assert answer.status == 200, answer
            accepted.add(time.monotonic() - started)
            while True:
                page = await web.request('GET', f'{url}/{number}')
                if page.json()['in_force_at_ms']:
                    break
                await asyncio.sleep(POLL_S)
            # Computed from the leader's timestamps, as the client's own
            # measurement would include the polling interval.
            in_force_ms = page.json()['in_force_at_ms']
            in_force.add(
                max(0.0, (in_force_ms - page.json()['accepted_at_ms']) / 1000)
            )

    system.thread.start(run()).result(600)
    return [
        *accepted.figures(f'accepted, {label}'),
        *in_force.figures(f'in force after receipt, {label}'),
    ]


def measure_rate(
    system: System, first: int, count: int, label: str
) -> list[report.Figure]:
    """Submit many tickets concurrently and measure tickets per second."""
    leader = system.leader()
    url = f'http://{system.http[leader]}/v1/tickets'

    async def run() -> float:
        limit = asyncio.Semaphore(STREAM_LIMIT)

        async def one(number: int) -> None:
            body = json.dumps(_ticket(number)).encode()
            async with limit:
                await web.request('POST', url, body)

        started = time.monotonic()
        await asyncio.gather(*(one(n) for n in range(first, first + count)))
        return time.monotonic() - started

    elapsed_s = system.thread.start(run()).result(600)
    return [report.Figure(f'tickets a second, {label}', count / elapsed_s, '')]


def measure_failover(
    system: System, first: int, label: str
) -> list[report.Figure]:
    """Time a new leader and the next ticket in force after a leader kill."""
    leader = system.leader()
    started = time.monotonic()
    system.processes[leader].kill()
    system.leader()
    elected_s = time.monotonic() - started
    answer = system.submit(_ticket(first))
    assert answer.status == 200, answer
    system.wait_in_force(first)
    in_force_s = time.monotonic() - started
    system.start(leader)
    return [
        report.Figure(f'new leader after a kill, {label}', elected_s, 's'),
        report.Figure(f'in force after a kill, {label}', in_force_s, 's'),
    ]


def measure_idle(system: System, label: str) -> list[report.Figure]:
    """Measure the resource use of each role while the system is idle."""
    leader = system.leader()
    follower = next(n for n in system.members if n != leader)
    roles = {'leader': leader, 'follower': follower, 'entry': 'entry-0'}
    before = {role: _usage(system, name) for role, name in roles.items()}
    time.sleep(IDLE_S)
    figures = []
    for role, name in roles.items():
        after = _usage(system, name)
        cpu = (after.cpu_s - before[role].cpu_s) / IDLE_S * 100
        sent = (after.sent_bytes - before[role].sent_bytes) / IDLE_S / 1000
        figures += [
            report.Figure(f'{role}, idle, {label}', cpu, '% of a core'),
            report.Figure(f'{role}, idle, {label}', sent, 'kB/s sent'),
            report.Figure(f'{role}, idle, {label}', after.resident_mb, 'MB'),
        ]
    return figures


def measure_restart(history: int) -> list[report.Figure]:
    """Time the restart of a single replica with a given number of tickets."""
    with (
        tempfile.TemporaryDirectory() as folder,
        System(pathlib.Path(folder)) as system,
    ):
        system.start_controls(1)
        measure_rate(system, 1, history, '')
        data = pathlib.Path(folder) / 'control-1-data'
        size_kb = sum(f.stat().st_size for f in data.iterdir()) / 1000
        system.processes['control-1'].kill()
        started = time.monotonic()
        system.start('control-1')
        system.leader()
        elapsed_s = time.monotonic() - started
        memory_mb = system.dump('control-1')['resident_memory_mb']
    label = f'history of {history} tickets'
    return [
        report.Figure(f'restart until it leads, {label}', elapsed_s, 's'),
        report.Figure(f'data folder, {label}', size_kb, 'kB'),
        report.Figure(f'replica, {label}', memory_mb, 'MB'),
    ]


def run(
    entries: int = 9,
    delay_ms: float = 1.5,
    tickets: int = 100,
    histories: tuple[int, ...] | list[int] = (100, 1000),
    json_path: str = '',
) -> None:
    """Measure acceptance, in force, rate, failover, idle use and restarts.

    Args:
        entries: number of entries of each system.
        delay_ms: one-way delay of each link.
        tickets: number of tickets timed one after the other.
        histories: numbers of tickets for the restarts.
        json_path: file for the figures; empty for none.
    """
    figures = []
    for replicas in (3, 5):
        label = f'{replicas} replicas, {entries} entries, {delay_ms} ms'
        with (
            tempfile.TemporaryDirectory() as folder,
            System(pathlib.Path(folder)) as system,
        ):
            start_system(system, replicas, entries, delay_ms)
            figures += measure_tickets(system, 1, tickets, label)
            figures += measure_rate(system, 10_000, tickets * 5, label)
            figures += measure_idle(system, label)
            figures += measure_failover(system, 90_000, label)
    for history in histories:
        figures += measure_restart(history)
    report.report(figures, json_path)


if __name__ == '__main__':
    fire.Fire(run)
