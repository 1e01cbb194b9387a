"""Closes the connections of a server that have waited too long."""

import asyncio
from collections.abc import Callable

from greengagering import logs
from greengagering.transport._connection_table import ConnectionTable

INTERVAL_S = 1.0
"""Time between two searches for connections that have waited too long."""


async def close_overdue(
    table: ConnectionTable,
    server: str,
    note_progress: Callable[[], None] = lambda: None,
) -> None:
    """Search a table at regular intervals until cancelled.

    Args:
        table: the connections.
        server: setting that holds the server's address, for the log.
        note_progress: called before each search, to record in the table what
            has moved on.
    """
    loop = asyncio.get_running_loop()
    while True:
        await asyncio.sleep(INTERVAL_S)
        note_progress()
        try:
            table.close_overdue(loop.time())
        except Exception as error:
            # The next connections that wait too long must be closed, too.
            logs.error('overdue_failed', server=server, cause=repr(error))
