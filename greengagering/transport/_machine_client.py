"""The protocol of a client of the platform that owns the machines."""

from typing import Protocol

from greengagering import coordination


class MachineClient(Protocol):
    """Speaks to the platform; every method answers in bounded time."""

    async def list_machines(self) -> tuple[coordination.Machine, ...] | None:
        """Return every machine, or None where the list can't be had."""
        ...

    async def carry_out(
        self, order: coordination.DutyOrder
    ) -> coordination.DutyOutcome:
        """Have a machine moved or taken down for upkeep."""
        ...

    async def close(self) -> None:
        """Close every connection."""
        ...
