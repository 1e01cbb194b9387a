"""Fault-injecting TCP proxy in front of a process."""

import asyncio

from aiomisc_pytest import TCPProxy

from features.support import ports

CUT_TIMEOUT_S = 2.0


class LinkProxy(TCPProxy):
    """A TCPProxy that closes a client's connection if the target refuses it.

    Otherwise a process that is down would look like one that doesn't answer.
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
    """Start a proxy in front of an address."""
    host, port = target.split(':')
    proxy = LinkProxy(host, int(port), listen_host=ports.HOST)
    proxy.proxy_port = ports.free_port()
    await proxy.start()
    return proxy


async def close_proxy(proxy: LinkProxy) -> None:
    """Stop a proxy and close the connections through it."""
    await cut_connections(proxy)
    assert proxy.server is not None
    proxy.server.close()


async def cut_connections(proxy: LinkProxy) -> None:
    """Close every connection through a proxy."""
    tasks = [task for client in list(proxy.clients) for task in client.tasks]
    for task in tasks:
        task.cancel()
    if tasks:
        await asyncio.wait(tasks, timeout=CUT_TIMEOUT_S)
