"""Input models of tickets of operators."""

from typing import Annotated

import pydantic

from greengagering.protocol._settings import Address
from greengagering.protocol._settings import Name
from greengagering.protocol._settings import Seconds
from greengagering.protocol import _validation
from greengagering.protocol import bounds
from greengagering import state

MAX_TEXT_CHARACTERS = 2000

Text = Annotated[
    str,
    pydantic.StringConstraints(
        min_length=1, max_length=MAX_TEXT_CHARACTERS, strip_whitespace=True
    ),
]
VmCount = Annotated[int, pydantic.Field(ge=0, le=1_000_000)]


def _check_unique(names: list[str]) -> list[str]:
    seen: set[str] = set()
    for name in names:
        if name in seen:
            raise ValueError(f'{name} is named twice')
        seen.add(name)
    return names


Names = Annotated[list[Name], pydantic.AfterValidator(_check_unique)]


class PoolModel(_validation.InputModel):
    """Complete new state of a pool; see state.Pool."""

    name: Name
    service: Name
    vms: Names = []
    accepts_announced: bool = False

    def to_state(self) -> state.Pool:
        """Return the state.Pool with these values."""
        return state.Pool(
            self.name, self.service, tuple(self.vms), self.accepts_announced
        )


class BudgetModel(_validation.InputModel):
    """Complete new state of an availability budget; see state.Budget."""

    service: Name
    min_available_vms: VmCount = 0
    max_out_vms: VmCount | None = None
    max_out_per_data_centre_vms: VmCount | None = None

    def to_state(self) -> state.Budget:
        """Return the state.Budget with these values."""
        return state.Budget(
            self.service,
            self.min_available_vms,
            self.max_out_vms,
            self.max_out_per_data_centre_vms,
        )


class WaveModel(_validation.InputModel):
    """Complete new state of a maintenance wave; see state.Wave."""

    name: Name
    vms: Names = []
    pools: Names = []
    data_centres: Names = []
    racks: Names = []
    max_parallel_vms: Annotated[int, pydantic.Field(ge=1, le=100_000)] = 1
    max_failed_vms: Annotated[int, pydantic.Field(ge=1, le=100_000)] = 1
    return_timeout_s: Seconds = 600.0
    silent_timeout_s: Seconds = 120.0
    not_before_ms: bounds.UnixMs = 0
    intent: Annotated[state.WaveIntent, pydantic.Field(strict=False)] = (
        state.WaveIntent.RUNNING
    )

    @pydantic.model_validator(mode='after')
    def _require_selection(self) -> 'WaveModel':
        if not (self.vms or self.pools or self.data_centres or self.racks):
            raise ValueError(
                'a wave must name vms, pools, data_centres or racks'
            )
        return self

    def to_state(self) -> state.Wave:
        """Return the state.Wave with these values."""
        return state.Wave(
            name=self.name,
            vms=tuple(self.vms),
            pools=tuple(self.pools),
            data_centres=tuple(self.data_centres),
            racks=tuple(self.racks),
            max_parallel_vms=self.max_parallel_vms,
            max_failed_vms=self.max_failed_vms,
            return_timeout_s=self.return_timeout_s,
            silent_timeout_s=self.silent_timeout_s,
            not_before_ms=self.not_before_ms,
            intent=self.intent,
        )


class ControlMemberModel(_validation.InputModel):
    """A control replica that is to vote; see state.ControlMember."""

    replica_id: Name
    address: Address

    def to_state(self) -> state.ControlMember:
        """Return the state.ControlMember with these values."""
        return state.ControlMember(self.replica_id, self.address)


class TicketModel(_validation.InputModel):
    """A numbered change; see state.Ticket."""

    number: bounds.Number
    author: Text
    reason: Text
    pools: list[PoolModel] = []
    budgets: list[BudgetModel] = []
    waves: list[WaveModel] = []
    control: list[ControlMemberModel] = []

    @pydantic.model_validator(mode='after')
    def _check_consistency(self) -> 'TicketModel':
        if not (self.pools or self.budgets or self.waves or self.control):
            raise ValueError(
                'a ticket must touch something: pools, budgets, waves or '
                'control'
            )
        _check_unique([member.replica_id for member in self.control])
        _check_unique([pool.name for pool in self.pools])
        _check_unique([budget.service for budget in self.budgets])
        _check_unique([wave.name for wave in self.waves])
        self._check_one_pool_each()
        return self

    def to_state(self) -> state.Ticket:
        """Return the state.Ticket with these values."""
        return state.Ticket(
            number=self.number,
            author=self.author,
            reason=self.reason,
            pools=tuple(pool.to_state() for pool in self.pools),
            budgets=tuple(budget.to_state() for budget in self.budgets),
            waves=tuple(wave.to_state() for wave in self.waves),
            control=tuple(member.to_state() for member in self.control),
        )

    def _check_one_pool_each(self) -> None:
        pool_of: dict[str, str] = {}
        for pool in self.pools:
            for vm in pool.vms:
                if vm in pool_of:
                    raise ValueError(
                        f'VM {vm} is in pools {pool_of[vm]} and {pool.name}; '
                        'a VM belongs to exactly one pool'
                    )
                pool_of[vm] = pool.name


def parse_ticket(data: bytes, source: str) -> state.Ticket:
    """Validate a ticket.

    Raises:
        InvalidInputError: every field at fault, with its value.
    """
    return _validation.parse(TicketModel, data, source).to_state()
