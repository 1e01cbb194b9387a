"""Input model of announcements of upstreams."""

import enum
from typing import Annotated

import pydantic

from greengagering import coordination
from greengagering.protocol._settings import Address
from greengagering.protocol._settings import Name
from greengagering.protocol import _validation
from greengagering.protocol import bounds
from greengagering import state

Count = Annotated[int, pydantic.Field(ge=0, le=1_000_000)]
PositiveCount = Annotated[int, pydantic.Field(ge=1, le=1_000_000)]


class AnnouncedState(enum.StrEnum):
    """State that an upstream announces."""

    UP = 'up'
    LEAVING = 'leaving'


class AnnouncementModel(_validation.InputModel):
    """One announcement of an upstream; see docs/INTERFACES.md."""

    vm: Name
    pool: Name
    address: Address
    data_centre: Name
    rack: Name
    slot_count: PositiveCount
    connection_count: PositiveCount
    cpu_cores: Annotated[
        float, pydantic.Field(ge=0, le=bounds.MAX_AMOUNT, strict=False)
    ] = 0.0
    memory_mb: Count = 0
    accelerator_count: Count = 0
    boot_id: Name
    boot_started_at_ms: bounds.UnixMs
    sequence: bounds.Number
    in_flight_count: Count
    state: Annotated[AnnouncedState, pydantic.Field(strict=False)] = (
        AnnouncedState.UP
    )

    def to_upstream(self) -> coordination.Upstream:
        """Return the value that entries replicate."""
        return coordination.Upstream(
            vm=self.vm,
            pool=self.pool,
            address=self.address,
            facts=state.VmFacts(
                data_centre=self.data_centre,
                rack=self.rack,
                slot_count=self.slot_count,
                connection_count=self.connection_count,
                cpu_cores=self.cpu_cores,
                memory_mb=self.memory_mb,
                accelerator_count=self.accelerator_count,
            ),
            boot_id=self.boot_id,
            boot_started_at_ms=self.boot_started_at_ms,
            sequence=self.sequence,
            state=coordination.UpstreamState(self.state.value),
        )


def parse_announcement(data: bytes) -> AnnouncementModel:
    """Validate an announcement.

    Raises:
        InvalidInputError: every field at fault, with its value.
    """
    return _validation.parse(AnnouncementModel, data, 'announcement')
