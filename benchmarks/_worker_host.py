"""Stand-in workers for leader_load: python -m benchmarks._worker_host."""

import asyncio
import time
from typing import Any

import aiohttp
from aiohttp import web
import fire
import msgspec
import uvloop

REPORT_INTERVAL_S = 1.5
"""Interval between heartbeats of a worker, as in the platform's settings."""

RACK_WORKERS = 8
"""Workers per rack."""

ROOM = {'cpu': 32_000, 'memMb': 65_536, 'gpu': 0}


class LeanWorker:
    """Worker that starts every run ordered, and ends it after a fixed time."""

    def __init__(
        self, number: int, service: str, address: str, run_s: float
    ) -> None:
        self.worker_id = f'w-{number}'
        self.service = service
        self.address = address
        self.labels = ['a', f'r-{number // RACK_WORKERS}']
        self._run_s = run_s
        self._running: dict[str, int] = {}
        self._ended: list[list[Any]] = []
        self._end_count = 0
        self._ends = asyncio.Event()
        self._born_s = time.monotonic()
        self._born_ms = int(time.time() * 1000)
        self._sequence = 0

    def clock_ms(self) -> int:
        """Return the time of this worker's steady clock."""
        return int((time.monotonic() - self._born_s) * 1000) + 1

    async def start(self, request: web.Request) -> web.Response:
        """Start a run."""
        body = msgspec.json.decode(await request.read())
        task = body['task']
        if task not in self._running:
            self._running[task] = body['run']
            loop = asyncio.get_running_loop()
            loop.call_later(self._run_s, self._end, task, 'done')
        return _respond({'wallClockMs': self.clock_ms()})

    async def stop(self, request: web.Request) -> web.Response:
        """Stop a run."""
        body = msgspec.json.decode(await request.read())
        self._end(body['task'], 'stopped')
        return _respond({'wallClockMs': self.clock_ms()})

    async def hold(self, request: web.Request) -> web.Response:
        """Return the lists; with waitMs, wait for an end at most that long."""
        body = msgspec.json.decode(await request.read())
        noted = body['ackCursor']
        self._ended = [row for row in self._ended if row[0] > noted]
        if body.get('waitMs') and not self._ended:
            self._ends.clear()
            try:
                async with asyncio.timeout(body['waitMs'] / 1000):
                    await self._ends.wait()
            except TimeoutError:
                # No run has ended; the lists are returned unchanged.
                pass
        return _respond(
            {
                'wallClockMs': self.clock_ms(),
                'born': self._born_ms,
                'running': [
                    [t, r, '', 50, 0] for t, r in self._running.items()
                ],
                'ended': self._ended,
            }
        )

    def report(self) -> dict[str, Any]:
        """Return the body of the next heartbeat."""
        self._sequence += 1
        return {
            'service': self.service,
            'address': self.address,
            'zone': 'z-1',
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'coldLeftMs': 0,
            'capacity': ROOM,
            'labels': self.labels,
            'wallClockMs': self.clock_ms(),
            'born': self._born_ms,
            'seq': self._sequence,
        }

    def _end(self, task: str, how: str) -> None:
        run = self._running.pop(task, None)
        if run is None:
            return
        self._end_count += 1
        self._ended.append([self._end_count, task, run, how, ''])
        self._ends.set()


def _respond(body: dict[str, Any]) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(body), content_type='application/json'
    )


async def _serve(worker: LeanWorker) -> None:
    app = web.Application()
    app.add_routes(
        [
            web.post('/run-start', worker.start),
            web.post('/run-stop', worker.stop),
            web.post('/hold', worker.hold),
        ]
    )
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    host, _, port = worker.address.rpartition(':')
    await web.TCPSite(runner, host, int(port)).start()


async def _report(
    session: aiohttp.ClientSession, worker: LeanWorker, controls: list[str]
) -> None:
    index = 0
    while True:
        control = controls[index % len(controls)]
        url = f'http://{control}/instances/{worker.worker_id}/heartbeat'
        try:
            async with session.post(url, json=worker.report()) as response:
                is_accepted = response.status == 200
        except (TimeoutError, aiohttp.ClientError):
            is_accepted = False
        index += not is_accepted
        await asyncio.sleep(REPORT_INTERVAL_S if is_accepted else 0.1)


async def _run(
    first: int,
    count: int,
    first_port: int,
    services: list[str],
    controls: list[str],
    run_s: float,
) -> None:
    timeout = aiohttp.ClientTimeout(total=1.0)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        reports = []
        for number in range(first, first + count):
            address = f'127.0.0.1:{first_port + number}'
            service = services[number % len(services)]
            worker = LeanWorker(number, service, address, run_s)
            await _serve(worker)
            reports.append(_report(session, worker, controls))
        await asyncio.gather(*reports)


def main(
    first: int,
    count: int,
    first_port: int,
    services: str,
    controls: str,
    run_s: float,
) -> None:
    """Serve workers until this process is ended."""
    uvloop.run(
        _run(
            first,
            count,
            first_port,
            services.split('+'),
            controls.split('+'),
            run_s,
        )
    )


if __name__ == '__main__':
    fire.Fire(main)
