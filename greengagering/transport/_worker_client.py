"""The protocol of a client that carries orders to workers."""

from typing import Protocol

from greengagering import coordination


class WorkerClient(Protocol):
    """Speaks to workers; every method answers in bounded time.

    A failure to get an answer is an outcome, never an exception.
    """

    async def start(
        self, order: coordination.StartOrder
    ) -> coordination.OrderAnswer:
        """Start a run."""
        ...

    async def stop(
        self, order: coordination.StopOrder
    ) -> coordination.OrderAnswer:
        """Stop a run."""
        ...

    async def pace(
        self, order: coordination.PaceOrder
    ) -> coordination.OrderAnswer:
        """Change the share of full speed at which a run works."""
        ...

    async def look(
        self, order: coordination.LookOrder
    ) -> coordination.LookAnswer:
        """Return a worker's lists."""
        ...

    async def close(self) -> None:
        """Close every connection."""
        ...
