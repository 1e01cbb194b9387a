"""Fake workers that use the platform's protocol over HTTP."""

import asyncio
import contextlib
import json
import random
import time
from typing import Any

import aiohttp
from aiohttp import web

from features.search.replica_search import InvariantError
from features.search import worker_fakes
from greengagering import coordination
from greengagering.platform import _jobs
from greengagering import state

HEARTBEAT_S = 0.5
TICK_S = 0.02
RACK = 'r1-1'

_REASONS = {
    coordination.OrderOutcome.FENCED: 'fence',
    coordination.OrderOutcome.OLD_RUN: 'old',
    coordination.OrderOutcome.LATE: 'late',
}


class HttpWorker:
    """Carries out orders and sends heartbeats to control."""

    def __init__(
        self,
        worker_id: str,
        service: str,
        address: str,
        controls: list[str],
        ledger: worker_fakes.Ledger,
        listen_address: str = '',
    ) -> None:
        self.worker = worker_fakes.FakeWorker(
            worker_id, random.Random(worker_id), ledger
        )
        self.worker.fail_ratio = 0.0
        self.worker.start_process(time.monotonic())
        self.state = 'ready'
        self.acknowledged: list[str] = []
        self.violations: list[str] = []
        self._service = service
        self._address = address
        self._listen_address = listen_address or address
        self._controls = controls
        self._runner: web.AppRunner | None = None
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start listening and sending heartbeats."""
        app = web.Application(middlewares=[self._guard])
        app.add_routes(
            [
                web.post('/run-start', self.start_run),
                web.post('/run-stop', self.stop_run),
                web.post('/hold', self.hold),
            ]
        )
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        host, _, port = self._listen_address.rpartition(':')
        await web.TCPSite(self._runner, host, int(port)).start()
        self._tasks = [
            asyncio.ensure_future(self._tick()),
            asyncio.ensure_future(self._report()),
        ]

    async def close(self) -> None:
        """Stop listening."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._runner is not None:
            await self._runner.cleanup()

    @web.middleware
    async def _guard(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        """Abort requests while down, and record violated invariants."""
        if not self.worker.is_up:
            if request.transport is not None:
                request.transport.abort()
            raise web.HTTPServiceUnavailable
        try:
            response: web.StreamResponse = await handler(request)
        except InvariantError as error:
            self.violations.append(str(error))
            raise
        return response

    async def start_run(self, request: web.Request) -> web.Response:
        """Carry out an order to start a run."""
        body = await request.json()
        order = coordination.StartOrder(
            self.worker.facts(),
            _jobs.parse_task_name(body['task'], body['run']),
            body['spec'],
            body['untilMs'],
            body['fence'],
            body.get('saved', ''),
        )
        return self._respond(self.worker.start(order, time.monotonic(), 0))

    async def stop_run(self, request: web.Request) -> web.Response:
        """Carry out an order to stop a run."""
        body = await request.json()
        order = coordination.StopOrder(
            self.worker.facts(),
            _jobs.parse_task_name(body['task'], body['run']),
            body['fence'],
        )
        return self._respond(self.worker.stop(order, time.monotonic()))

    async def hold(self, request: web.Request) -> web.Response:
        """Return the lists; with waitMs, wait for an end at most that long."""
        body = await request.json()
        order = coordination.LookOrder(
            self.worker.facts(),
            body['fence'],
            body['ackCursor'],
            body.get('untilMs', 0),
            body.get('waitMs', 0),
        )
        answer = self.worker.poll(order, time.monotonic(), 0)
        ends_s = time.monotonic() + order.wait_ms / 1000
        while not self.worker.ended and time.monotonic() < ends_s:
            await asyncio.sleep(TICK_S)
            answer = self.worker.poll(order, time.monotonic(), 0)
        if answer.outcome is not coordination.OrderOutcome.DONE:
            return self._respond(
                coordination.OrderAnswer(answer.outcome, answer.clock_ms)
            )
        lists = {
            'wallClockMs': answer.clock_ms,
            'born': answer.born_ms,
            'running': [
                [item.key.task_name, item.key.run, '', 100, 0]
                for item in answer.running
            ],
            'ended': [
                [e.number, e.key.task_name, e.key.run, str(e.ending), '']
                for e in answer.ended
            ],
        }
        return web.json_response(lists)

    def _respond(self, answer: coordination.OrderAnswer) -> web.Response:
        body: dict[str, Any] = {'wallClockMs': answer.clock_ms}
        status = 200
        if answer.outcome is not coordination.OrderOutcome.DONE:
            status = 409
            body['reason'] = _REASONS[answer.outcome]
        return web.json_response(body, status=status)

    async def _tick(self) -> None:
        while True:
            self.worker.advance(time.monotonic())
            await asyncio.sleep(TICK_S)

    async def _report(self) -> None:
        async with aiohttp.ClientSession() as session:
            while True:
                for control in self._controls:
                    if not self.worker.is_up:
                        break
                    if await self._post_heartbeat(session, control):
                        break
                await asyncio.sleep(HEARTBEAT_S)

    async def _post_heartbeat(
        self, session: aiohttp.ClientSession, control: str
    ) -> bool:
        report = self.worker.report(time.monotonic())
        body = {
            'service': self._service,
            'address': self._address,
            'zone': 'z-1',
            'version': 'v1',
            'slots': 8,
            'state': self.state,
            'coldLeftMs': 0,
            'capacity': {'cpu': 8000, 'memMb': 16000, 'gpu': 0},
            'labels': ['a', RACK],
            'wallClockMs': report.clock_ms,
            'seq': report.sequence,
            'born': self.worker.born_ms,
        }
        url = f'http://{control}/instances/{self.worker.worker_id}/heartbeat'
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
            async with asyncio.timeout(1.0):
                async with session.post(url, json=body) as response:
                    if response.status == 200:
                        self.acknowledged.append(self.state)
                        return True
        return False


def job_body(*steps: dict[str, Any], **fields: Any) -> bytes:
    """Return the body of a job as callers send it."""
    return json.dumps(
        {'spec': 'text', 'steps': list(steps), **fields}
    ).encode()


def register_job(
    ledger: worker_fakes.Ledger, job_id: str, body: bytes
) -> state.JobSpec:
    """Register a job's specification with the ledger."""
    spec = _jobs.parse_job(job_id, body)
    ledger.specs[job_id] = spec
    return spec
