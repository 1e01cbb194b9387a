"""Client that orders VM reboots from the platform, over HTTP."""

import asyncio
import urllib.parse

import aiohttp

from greengagering import coordination
from greengagering import logs
from greengagering.protocol import pages
from greengagering.transport import _metrics
from greengagering.transport import errors

REQUEST_TIMEOUT_S = 5.0
RETRY_FAILED_S = 1.0
"""Time after which a failed order is sent again."""

RESEND_ACCEPTED_S = 30.0
"""Time after which an accepted order is sent again while the VM isn't back."""


class PlatformClient:
    """Sends reboot orders and repeats them until the VM is back.

    The operation id makes a repeated order harmless. A failed order is sent
    again soon; an accepted one is repeated at a longer interval, in case the
    platform has lost it.
    """

    def __init__(self, url: str, metrics: _metrics.ControlMetrics) -> None:
        self._url = url
        self._metrics = metrics
        self._session: aiohttp.ClientSession | None = None
        self._next_send_s: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def order(
        self, orders: list[coordination.RebootOrder], now_s: float
    ) -> None:
        """Send the orders that are due."""
        wanted = {order.operation_id for order in orders}
        for operation_id in set(self._next_send_s) - wanted:
            del self._next_send_s[operation_id]
        for order in orders:
            if now_s >= self._next_send_s.get(order.operation_id, 0.0):
                self._next_send_s[order.operation_id] = (
                    now_s + REQUEST_TIMEOUT_S
                )
                task = asyncio.ensure_future(self._send(order))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Cancel the requests in flight; the next leader sends them again."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._session is not None:
            await self._session.close()

    async def _send(self, order: coordination.RebootOrder) -> None:
        loop = asyncio.get_running_loop()
        try:
            await self._post(order)
        except errors.PlatformError as error:
            logs.warning(
                'reboot_order_failed',
                vm=order.vm,
                operation_id=order.operation_id,
                cause=str(error),
            )
            self._metrics.reboot_requests.inc({'result': 'failed'})
            # order() compares this with its now_s, which is read from
            # clock.steady_s; loop.time() is CLOCK_MONOTONIC.
            self._next_send_s[order.operation_id] = (
                loop.time() + RETRY_FAILED_S
            )
            return
        logs.info(
            'reboot_ordered', vm=order.vm, operation_id=order.operation_id
        )
        self._metrics.reboot_requests.inc({'result': 'accepted'})
        self._next_send_s[order.operation_id] = loop.time() + RESEND_ACCEPTED_S

    async def _post(self, order: coordination.RebootOrder) -> None:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
            )
        vm = urllib.parse.quote(order.vm, safe='')
        url = f'{self._url}/v1/vms/{vm}/reboot'
        body = pages.encode_page(pages.RebootRequest(order.operation_id))
        try:
            async with self._session.post(
                url, data=body, headers={'Content-Type': 'application/json'}
            ) as response:
                if response.status not in (200, 202):
                    text = (await response.text())[:200]
                    raise errors.PlatformError(
                        f'status {response.status}: {text}'
                    )
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise errors.PlatformError(f'{url}: {error!r}') from error
