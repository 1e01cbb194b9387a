"""Stand-in platform that reboots a VM once for each operation id."""

import asyncio
import dataclasses

import aiohttp
from aiohttp import web
import msgspec

from greengagering import logs
from greengagering.transport.standin import HttpServer
from greengagering.transport.standin import page_response

REQUEST_TIMEOUT_S = 2.0
RETRY_S = 0.1
MAX_TRIES = 50


@dataclasses.dataclass(frozen=True, slots=True)
class VmAddress:
    """Body of a registration: address of a VM's stand-in upstream."""

    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class _Reboot:
    """Body of a reboot request."""

    operation_id: str


@dataclasses.dataclass(slots=True)
class PlatformCounts:
    """Counters that tests read.

    Attributes:
        requests: reboot requests received, including repeated ones.
        operations: name of the VM by operation id.
    """

    requests: int = 0
    operations: dict[str, str] = dataclasses.field(default_factory=dict)


class PlatformStandin:
    """Reboots stand-in upstreams by sending each a request."""

    def __init__(self, address: str) -> None:
        self.counts = PlatformCounts()
        self._vms: dict[str, str] = {}
        self._session: aiohttp.ClientSession | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        app = web.Application()
        app.add_routes(
            [
                web.put('/stand-in/vms/{vm}', self._on_register),
                web.get('/stand-in/counts', self._on_counts),
                web.post('/v1/vms/{vm}/reboot', self._on_reboot),
            ]
        )
        self._server = HttpServer(app, address, 'address')

    async def start(self) -> None:
        """Start listening."""
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        )
        await self._server.start()

    async def close(self) -> None:
        """Stop immediately and cancel pending reboots."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._server.close()
        if self._session is not None:
            await self._session.close()

    async def _on_register(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read(), type=VmAddress)
        self._vms[request.match_info['vm']] = body.address
        return web.Response(text='registered\n')

    async def _on_counts(self, request: web.Request) -> web.Response:
        return page_response(self.counts)

    async def _on_reboot(self, request: web.Request) -> web.Response:
        vm = request.match_info['vm']
        if vm not in self._vms:
            return web.Response(status=404, text=f'unknown VM {vm}\n')
        body = msgspec.json.decode(await request.read(), type=_Reboot)
        self.counts.requests += 1
        if body.operation_id not in self.counts.operations:
            self.counts.operations[body.operation_id] = vm
            task = asyncio.ensure_future(
                self._reboot(self._vms[vm], body.operation_id)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return web.Response(status=202, text='accepted\n')

    async def _reboot(self, address: str, operation_id: str) -> None:
        assert self._session is not None
        for _ in range(MAX_TRIES):
            try:
                async with self._session.post(
                    f'http://{address}/stand-in/reboot',
                    params={'operation_id': operation_id},
                ) as response:
                    if response.status == 200:
                        return
            except (aiohttp.ClientError, TimeoutError, OSError) as error:
                logs.debug('reboot_retry', address=address, cause=repr(error))
            await asyncio.sleep(RETRY_S)
