"""The fault-injecting proxy before a process."""

import asyncio

from aiomisc_pytest import TCPProxy

from features.support import ports

CUT_TIMEOUT_S = 2.0


class LinkProxy(TCPProxy):
    """A TCPProxy that closes a client whose target refuses it.

    Without this, a process that is down would look silent in place of gone.
    """

    __slots__ = ()

    async def _handle_client(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await super()._handle_client(reader, writer)
        except OSError:
            writer.close()


async def open_proxy(target: str) -> LinkProxy:
    """Start a proxy before an address."""
    host, port = target.split(':')
    proxy = LinkProxy(host, int(port), listen_host=ports.HOST)
    proxy.proxy_port = ports.free_port()
    await proxy.start()
    return proxy


async def close_proxy(proxy: LinkProxy) -> None:
    """Stop a proxy and cut what goes through it."""
    await cut_connections(proxy)
    assert proxy.server is not None
    proxy.server.close()


async def cut_connections(proxy: LinkProxy) -> None:
    """Cut every connection through a proxy."""
    tasks = [task for client in list(proxy.clients) for task in client.tasks]
    for task in tasks:
        task.cancel()
    if tasks:
        await asyncio.wait(tasks, timeout=CUT_TIMEOUT_S)
