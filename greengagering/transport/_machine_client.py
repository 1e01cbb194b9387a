"""Interface of a client of the platform that owns the machines."""

from typing import Protocol

from greengagering import coordination


class MachineClient(Protocol):
    """Calls the platform; every method returns in bounded time.

    A duty is one move of a machine to another pool, or one upkeep, for which
    the platform takes the machine down and up again.
    """

    async def list_machines(self) -> tuple[coordination.Machine, ...] | None:
        """Return all machines, or None if the list can't be read."""
        ...

    async def carry_out(
        self, order: coordination.DutyOrder
    ) -> coordination.DutyOutcome:
        """Order the platform to move a machine or take it down for upkeep."""
        ...

    async def close(self) -> None:
        """Close every connection."""
        ...
