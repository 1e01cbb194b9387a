"""Rules that decide whether a ticket is accepted."""

import dataclasses
import enum

from result import Err
from result import Ok
from result import Result

from greengagering.state import _model


class RefusalKind(enum.StrEnum):
    """Why a ticket was refused."""

    NUMBER_TAKEN = 'number_taken'
    STALE_NUMBER = 'stale_number'
    VM_IN_TWO_POOLS = 'vm_in_two_pools'
    UNKNOWN_POOL = 'unknown_pool'
    UNKNOWN_SERVICE = 'unknown_service'
    BUDGET_TOO_HIGH = 'budget_too_high'
    UNKNOWN_VM = 'unknown_vm'
    EMPTY_WAVE = 'empty_wave'
    QUORUM_AT_RISK = 'quorum_at_risk'


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """The refusal of a ticket, which changed nothing.

    Attributes:
        kind: machine-readable cause.
        field: path of the field at fault.
        value: value at fault.
        message: sentence for the operator.
        holder: author of the ticket that holds the number, or ''.
    """

    kind: RefusalKind
    field: str
    value: str
    message: str
    holder: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """An acceptable ticket.

    Attributes:
        earlier: the history's entry if this ticket was accepted before, else
            None.
    """

    earlier: _model.TicketEntry | None


def check_ticket(
    state: _model.ControlState, ticket: _model.Ticket, digest: str
) -> Result[Admission, Refusal]:
    """Decide on a ticket against the current state.

    Args:
        state: state that the ticket would change.
        ticket: the ticket.
        digest: digest of its canonical content.

    Returns:
        An admission, or the refusal to show to the operator.
    """
    earlier = state.history.get(ticket.number)
    if earlier is not None:
        return _check_resend(earlier, digest)
    refusal = (
        _find_stale_number(state, ticket)
        or _find_vm_in_two_pools(state, ticket)
        or _find_unknown_pool(state, ticket)
        or _find_unknown_vm(state, ticket)
        or _find_empty_wave(state, ticket)
        or _find_unknown_service(state, ticket)
        or _find_impossible_budget(state, ticket)
    )
    if refusal is not None:
        return Err(refusal)
    return Ok(Admission(earlier=None))


def _check_resend(
    earlier: _model.TicketEntry, digest: str
) -> Result[Admission, Refusal]:
    if earlier.digest == digest:
        return Ok(Admission(earlier=earlier))
    number = earlier.ticket.number
    return Err(
        Refusal(
            kind=RefusalKind.NUMBER_TAKEN,
            field='number',
            value=str(number),
            message=(
                f'number {number} is held by a ticket of '
                f'{earlier.ticket.author} with other content; choose the '
                'next free number'
            ),
            holder=earlier.ticket.author,
        )
    )


def _find_stale_number(
    state: _model.ControlState, ticket: _model.Ticket
) -> Refusal | None:
    for key in ticket.touched():
        newest = state.fleet.object_numbers.get(key, 0)
        if ticket.number < newest:
            return Refusal(
                kind=RefusalKind.STALE_NUMBER,
                field='number',
                value=str(ticket.number),
                message=(
                    f'{key} was last changed by ticket {newest}, which is '
                    f'newer than number {ticket.number}'
                ),
                holder=state.history[newest].ticket.author,
            )
    return None


def _find_vm_in_two_pools(
    state: _model.ControlState, ticket: _model.Ticket
) -> Refusal | None:
    """Find a VM that two pools would name after the ticket is applied."""
    touched = {pool.name for pool in ticket.pools}
    holders: dict[str, str] = {}
    for pool in ticket.pools:
        for name in pool.vms:
            other_pool = holders.get(name) or _find_other_pool(
                state, name, touched
            )
            if other_pool:
                return Refusal(
                    kind=RefusalKind.VM_IN_TWO_POOLS,
                    field='pools.vms',
                    value=name,
                    message=(
                        f'VM {name} would be in pools {other_pool} and '
                        f'{pool.name}; a ticket that moves it must hold both'
                    ),
                )
            holders[name] = pool.name
    return None


def _find_other_pool(
    state: _model.ControlState, name: str, touched: set[str]
) -> str:
    """Return the pool that names a VM and is not in touched, or ''."""
    vm = state.fleet.vms.get(name)
    if vm is None or not vm.named or vm.pool in touched:
        return ''
    return vm.pool


def _find_unknown_pool(
    state: _model.ControlState, ticket: _model.Ticket
) -> Refusal | None:
    known = set(state.fleet.pools) | {pool.name for pool in ticket.pools}
    for wave in ticket.waves:
        for name in wave.pools:
            if name not in known:
                return Refusal(
                    kind=RefusalKind.UNKNOWN_POOL,
                    field=f'waves.{wave.name}.pools',
                    value=name,
                    message=f'wave {wave.name} names unknown pool {name}',
                )
    return None


def _find_unknown_vm(
    state: _model.ControlState, ticket: _model.Ticket
) -> Refusal | None:
    named = {vm for pool in ticket.pools for vm in pool.vms}
    for wave in ticket.waves:
        for name in wave.vms:
            if name not in named and name not in state.fleet.vms:
                return Refusal(
                    kind=RefusalKind.UNKNOWN_VM,
                    field=f'waves.{wave.name}.vms',
                    value=name,
                    message=f'wave {wave.name} names unknown VM {name}',
                )
    return None


def _find_empty_wave(
    state: _model.ControlState, ticket: _model.Ticket
) -> Refusal | None:
    """Find a wave that selects a data centre or rack without known VMs."""
    if not any(wave.data_centres or wave.racks for wave in ticket.waves):
        return None
    facts = [vm.facts for vm in state.fleet.vms.values() if vm.facts]
    data_centres = {fact.data_centre for fact in facts}
    racks = {fact.rack for fact in facts}
    for wave in ticket.waves:
        for field, names, known in (
            ('data_centres', wave.data_centres, data_centres),
            ('racks', wave.racks, racks),
        ):
            for name in names:
                if name not in known:
                    return Refusal(
                        kind=RefusalKind.EMPTY_WAVE,
                        field=f'waves.{wave.name}.{field}',
                        value=name,
                        message=f'no VM has been seen in {name}',
                    )
    return None


def _find_unknown_service(
    state: _model.ControlState, ticket: _model.Ticket
) -> Refusal | None:
    pools = [*state.fleet.pools.values(), *ticket.pools]
    services = {pool.service for pool in pools}
    for budget in ticket.budgets:
        if budget.service not in services:
            return Refusal(
                kind=RefusalKind.UNKNOWN_SERVICE,
                field='budgets.service',
                value=budget.service,
                message=f'no pool serves service {budget.service}',
            )
    return None


def _find_impossible_budget(
    state: _model.ControlState, ticket: _model.Ticket
) -> Refusal | None:
    """Find a budget above the VM count of the service's pools.

    A pool that accepts announced VMs has no upper bound.
    """
    pools = dict(state.fleet.pools)
    for pool in ticket.pools:
        pools[pool.name] = pool
    for budget in ticket.budgets:
        serving = [p for p in pools.values() if p.service == budget.service]
        if any(pool.accepts_announced for pool in serving):
            continue
        size = sum(len(pool.vms) for pool in serving)
        if budget.min_available_vms > size:
            return Refusal(
                kind=RefusalKind.BUDGET_TOO_HIGH,
                field=f'budgets.{budget.service}.min_available_vms',
                value=str(budget.min_available_vms),
                message=(
                    f'service {budget.service} has {size} VMs, fewer than '
                    f'the {budget.min_available_vms} that the budget promises'
                ),
            )
    return None
