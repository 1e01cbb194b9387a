"""Interface of a client that sends orders to workers and polls them."""

from typing import Protocol

from greengagering import coordination


class WorkerClient(Protocol):
    """Calls workers; every method returns in bounded time.

    A call sends its order or poll to the worker at most once, so that the
    answer belongs to that sending. A missing answer is reported as an outcome,
    never as an exception.
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

    async def poll(
        self, order: coordination.LookOrder
    ) -> coordination.LookAnswer:
        """Return a worker's lists of running and ended runs."""
        ...

    async def close(self) -> None:
        """Close every connection."""
        ...
