"""Compares calls through an entry with calls directly to the upstream."""

import asyncio
import pathlib
import tempfile
import time

import aiohttp
import fire

from benchmarks import report
from features.support.system import System

WARM_UP = 200


async def _run_open_loop(
    url: str, rate: float, count: int, times: report.Times
) -> tuple[float, int]:
    """Send calls at a fixed rate, regardless of the responses (open loop).

    Returns:
        Calls answered per second, and the number of calls that failed.
    """
    failures = 0
    loop = asyncio.get_running_loop()
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0)
    ) as session:

        async def call(due_s: float, is_counted: bool) -> None:
            nonlocal failures
            async with session.post(url, data=b'x' * 100) as response:
                await response.read()
            if response.status != 200:
                failures += 1
            elif is_counted:
                # Measured from the due time, so that a stall is counted in
                # full.
                times.add(loop.time() - due_s)

        started_s = loop.time() + 0.05
        tasks = []
        for number in range(count + WARM_UP):
            due_s = started_s + number / rate
            await asyncio.sleep(max(0.0, due_s - loop.time()))
            tasks.append(asyncio.ensure_future(call(due_s, number >= WARM_UP)))
        await asyncio.gather(*tasks)
        elapsed_s = loop.time() - started_s
    return (count + WARM_UP) / elapsed_s, failures


async def _run_closed_loop(url: str, callers: int, seconds: float) -> float:
    """Return the calls per second of a fixed number of callers."""
    done = 0
    ends_s = time.monotonic() + seconds
    async with aiohttp.ClientSession() as session:

        async def caller() -> None:
            nonlocal done
            while time.monotonic() < ends_s:
                async with session.post(url, data=b'x' * 100) as response:
                    await response.read()
                    done += response.status == 200

        await asyncio.gather(*(caller() for _ in range(callers)))
    return done / seconds


def run(
    rate: float = 200.0,
    count: int = 2000,
    workers: int = 16,
    seconds: float = 5.0,
    json_path: str = '',
) -> None:
    """Measure the overhead of an entry between caller and upstream.

    The upstreams are stand-ins in the load generator's own process, which
    therefore limits the rate of both measurements.

    Args:
        rate: calls per second of the open loop.
        count: number of calls timed.
        workers: callers of the closed loop.
        seconds: duration of the closed loop.
        json_path: file for the figures; empty for none.
    """
    with (
        tempfile.TemporaryDirectory() as folder,
        System(pathlib.Path(folder)) as system,
    ):
        system.start_controls(1)
        system.start_entry('entry-1')
        system.wait_ready('entry-1')
        vms = [f'vm-{number}' for number in range(4)]
        for vm in vms:
            system.start_upstream(vm, 'pool', ['entry-1'], slot_count=64)
        pool = {'name': 'pool', 'service': 'service', 'vms': vms}
        answer = system.submit(
            {
                'number': 1,
                'author': 'bench',
                'reason': 'measurement',
                'pools': [pool],
            }
        )
        assert answer.status == 200, answer
        system.wait_in_force(1)
        system.wait_serving('entry-1', len(vms))
        direct = f'http://{system.upstreams["vm-0"].options.address}/x'
        through = f'http://{system.http["entry-1"]}/call/service/x'
        figures = []
        for name, url in (('direct', direct), ('through an entry', through)):
            times = report.Times()
            future = system.thread.start(
                _run_open_loop(url, rate, count, times)
            )
            _, failures = future.result(300)
            label = f'{name}, {rate:g} calls a second'
            figures += times.figures(label)
            figures.append(report.Figure(f'failures, {label}', failures, ''))
            future = system.thread.start(
                _run_closed_loop(url, workers, seconds)
            )
            figures.append(
                report.Figure(
                    f'{name}, {workers} callers',
                    future.result(300),
                    'calls/s',
                )
            )
    report.report(figures, json_path)


if __name__ == '__main__':
    fire.Fire(run)
