"""Stand-in upstream that announces itself, serves calls and can reboot."""

import asyncio
import collections
import dataclasses
import random
import secrets
import time

import aiohttp
from aiohttp import web
import msgspec

from greengagering import logs
from greengagering.protocol import headers
from greengagering.transport.standin import HttpServer
from greengagering.transport.standin import page_response

REQUEST_TIMEOUT_S = 2.0
RETRY_ANNOUNCE_S = 0.2
MAX_BODY_BYTES = 64 * 1024 * 1024
STALL_S = 3600.0
STOP_POLL_S = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamOptions:
    """Options of a stand-in upstream.

    Attributes:
        vm: name of the VM.
        pool: pool in the announcements.
        address: address to listen on, as host:port.
        entries: addresses of entries; each announcement goes to a random one.
        platform_url: base URL of the platform to register at for reboots;
            empty to skip the registration.
        data_centre: data centre in the announcements.
        rack: rack in the announcements.
        slot_count: most concurrent calls.
        connection_count: connection limit in the announcements.
        reboot_s: duration of a reboot.
        stop_timeout_s: timeout of a graceful shutdown.
    """

    vm: str
    pool: str
    address: str
    entries: tuple[str, ...]
    platform_url: str = ''
    data_centre: str = 'dc-1'
    rack: str = 'rack-1'
    slot_count: int = 8
    connection_count: int = 64
    reboot_s: float = 0.5
    stop_timeout_s: float = 30.0


@dataclasses.dataclass(slots=True)
class UpstreamCounts:
    """Counters that tests read.

    Attributes:
        started: calls that were started.
        finished: calls that were completed.
        refused: calls refused because every slot was in use.
        cut_by_reboot: calls interrupted by a reboot.
        most_in_flight: highest number of concurrent calls.
        reboots: number of reboots.
        by_key: calls started by Idempotency-Key.
        last_started_at_ms: Unix time at which the last call was started.
    """

    started: int = 0
    finished: int = 0
    refused: int = 0
    cut_by_reboot: int = 0
    most_in_flight: int = 0
    reboots: int = 0
    by_key: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    last_started_at_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _AnnounceAnswer:
    """The fields of an entry's response that the stand-in uses."""

    announce_interval_s: float


class UpstreamStandin:
    """Answers calls to any path; query parameters select delays and faults."""

    def __init__(self, options: UpstreamOptions) -> None:
        self.options = options
        self.counts = UpstreamCounts()
        self.in_flight = 0
        self.is_announcing = True
        self.announces_after_reboot = True
        self.default_fault = ''
        self._server: HttpServer | None = None
        self._session: aiohttp.ClientSession | None = None
        self._announcer: asyncio.Task[None] | None = None
        self._rebooting: asyncio.Task[None] | None = None
        self._operations: set[str] = set()
        self._is_leaving = False
        self._boot_id = ''
        self._boot_started_at_ms = 0
        self._sequence = 0
        self._faults = {
            'cut_headers': self._cut_before_answer,
            'cut_body': self._cut_body,
            'stall': self._stall,
            'unsized': self._answer_unsized,
        }

    async def start(self) -> None:
        """Boot, register with the platform, and start the announcements."""
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        )
        await self._boot()
        if self.options.platform_url:
            await self._register()
        self._announcer = asyncio.ensure_future(self._announce_loop())

    async def leave(self) -> None:
        """Announce the shutdown, and wait for the calls in flight."""
        self._is_leaving = True
        await self._announce_once()
        ends_s = time.monotonic() + self.options.stop_timeout_s
        while self.in_flight and time.monotonic() < ends_s:
            await asyncio.sleep(STOP_POLL_S)

    async def close(self) -> None:
        """Stop immediately."""
        for task in (self._announcer, self._rebooting):
            if task is not None:
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)
        if self._server is not None:
            await self._server.close()
        if self._session is not None:
            await self._session.close()

    async def _boot(self) -> None:
        self._boot_id = secrets.token_hex(8)
        self._boot_started_at_ms = time.time_ns() // 1_000_000
        self._sequence = 0
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.add_routes(
            [
                web.post('/stand-in/reboot', self._on_reboot),
                web.post('/stand-in/announcing', self._on_announcing),
                web.get('/stand-in/counts', self._on_counts),
                web.route('*', '/{path:.*}', self._on_call),
            ]
        )
        self._server = HttpServer(app, self.options.address, 'address')
        await self._server.start()

    async def _register(self) -> None:
        assert self._session is not None
        url = f'{self.options.platform_url}/stand-in/vms/{self.options.vm}'
        body = msgspec.json.encode({'address': self.options.address})
        while True:
            try:
                async with self._session.put(url, data=body) as response:
                    if response.status == 200:
                        return
            except (aiohttp.ClientError, TimeoutError, OSError):
                logs.debug('platform_not_ready', vm=self.options.vm)
            await asyncio.sleep(RETRY_ANNOUNCE_S)

    async def _announce_loop(self) -> None:
        while True:
            delay_s = RETRY_ANNOUNCE_S
            if self.is_announcing:
                delay_s = await self._announce_once()
            await asyncio.sleep(delay_s)

    async def _announce_once(self) -> float:
        """Announce to one entry; return the delay until the next one."""
        assert self._session is not None
        entry = random.choice(self.options.entries)
        self._sequence += 1
        body = msgspec.json.encode(self._announcement())
        try:
            async with self._session.post(
                f'http://{entry}/v1/announce', data=body
            ) as response:
                answer = await response.read()
                if response.status != 200:
                    logs.warning(
                        'announcement_refused',
                        vm=self.options.vm,
                        cause=answer.decode(errors='replace')[:200],
                    )
                    return RETRY_ANNOUNCE_S
                page = msgspec.json.decode(answer, type=_AnnounceAnswer)
                return page.announce_interval_s
        except (aiohttp.ClientError, TimeoutError, OSError):
            return RETRY_ANNOUNCE_S

    def _announcement(self) -> dict[str, str | int]:
        options = self.options
        return {
            'vm': options.vm,
            'pool': options.pool,
            'address': options.address,
            'data_centre': options.data_centre,
            'rack': options.rack,
            'slot_count': options.slot_count,
            'connection_count': options.connection_count,
            'boot_id': self._boot_id,
            'boot_started_at_ms': self._boot_started_at_ms,
            'sequence': self._sequence,
            'in_flight_count': self.in_flight,
            'state': 'leaving' if self._is_leaving else 'up',
        }

    async def _on_call(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        if self.in_flight >= self.options.slot_count:
            self.counts.refused += 1
            return web.Response(
                status=503,
                headers={headers.OUTCOME: headers.CallOutcome.NOT_RUN},
            )
        self._count_start(request)
        try:
            await asyncio.sleep(float(request.query.get('sleep_ms', 0)) / 1000)
            wanted = request.query.get('fault', self.default_fault)
            fault = self._faults.get(wanted)
            if fault is not None:
                return await fault(request)
            self.counts.finished += 1
            if request.query.get('status'):
                return web.Response(status=int(request.query['status']))
            return web.Response(body=body or b'hello\n')
        finally:
            self.in_flight -= 1

    def _count_start(self, request: web.Request) -> None:
        self.in_flight += 1
        counts = self.counts
        counts.started += 1
        counts.most_in_flight = max(counts.most_in_flight, self.in_flight)
        counts.last_started_at_ms = time.time_ns() // 1_000_000
        key = request.headers.get(headers.IDEMPOTENCY_KEY)
        if key is not None:
            counts.by_key[key] += 1

    async def _cut_before_answer(
        self, request: web.Request
    ) -> web.StreamResponse:
        assert request.transport is not None
        request.transport.abort()
        raise ConnectionResetError('cut on request')

    async def _cut_body(self, request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse(headers={'Content-Length': '1000'})
        await response.prepare(request)
        await response.write(b'x' * 100)
        assert request.transport is not None
        request.transport.abort()
        return response

    async def _stall(self, request: web.Request) -> web.StreamResponse:
        await asyncio.sleep(STALL_S)
        return web.Response()

    async def _answer_unsized(
        self, request: web.Request
    ) -> web.StreamResponse:
        assert request.transport is not None
        request.transport.write(b'HTTP/1.0 200 OK\r\n\r\npart of an answer')
        request.transport.close()
        raise ConnectionResetError('closed on request')

    async def _on_reboot(self, request: web.Request) -> web.Response:
        operation_id = request.query['operation_id']
        if operation_id not in self._operations:
            self._operations.add(operation_id)
            self.counts.cut_by_reboot += self.in_flight
            self.counts.reboots += 1
            self._rebooting = asyncio.ensure_future(self._reboot())
        return web.Response(text='rebooting\n')

    async def _reboot(self) -> None:
        announced = self.is_announcing
        self.is_announcing = False
        # Let the response to the platform be sent before the listener closes.
        await asyncio.sleep(STOP_POLL_S)
        assert self._server is not None
        await self._server.close()
        await asyncio.sleep(self.options.reboot_s)
        await self._boot()
        self.is_announcing = announced and self.announces_after_reboot

    async def _on_announcing(self, request: web.Request) -> web.Response:
        self.is_announcing = request.query['on'] == '1'
        return web.Response(text='noted\n')

    async def _on_counts(self, request: web.Request) -> web.Response:
        return page_response(self.counts)
