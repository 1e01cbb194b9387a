"""Applies committed records to the state of a control replica.

The result depends on the records only, so all replicas hold the same state.
"""

import dataclasses

from result import Err
from result import Ok
from result import Result

from greengagering.state import _admission
from greengagering.state import _claims
from greengagering.state import _jobs_apply
from greengagering.state import _jobs_model
from greengagering.state import _model


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """A record that changed the state.

    Attributes:
        record: the record.
        claim_answers: the answers, if the record requested claims.
    """

    record: _model.Record
    claim_answers: tuple[_claims.ClaimAnswer, ...] = ()


Outcome = Result[Applied | _model.TicketEntry, _admission.Refusal]


def apply_to_control(
    state: _model.ControlState, revision: int, record: _model.Record
) -> Outcome:
    """Apply one committed record to the whole replicated state.

    Args:
        state: state that is changed in place.
        revision: position of the record in the log.
        record: the record.

    Returns:
        Applied; the earlier history entry for a resent ticket; or the
        refusal of a ticket. In the last two cases only the revision changed.
    """
    if isinstance(record, _model.TicketSubmitted):
        decision = _admission.check_ticket(state, record.ticket, record.digest)
        if isinstance(decision, Err):
            state.fleet.revision = revision
            return decision
        earlier = decision.ok_value.earlier
        if earlier is not None:
            state.fleet.revision = revision
            return Ok(earlier)
    if isinstance(record, _claims.ClaimsAsked | _claims.ClaimsPurged):
        state.fleet.revision = revision
        return Ok(_apply_claims(state, record))
    if isinstance(record, _jobs_model.JOB_RECORD_TYPES):
        state.fleet.revision = revision
        _jobs_apply.apply_to_jobs(state.jobs, record)
        return Ok(Applied(record))
    _record_history(state, revision, record)
    apply_to_fleet(state.fleet, revision, record)
    return Ok(Applied(record))


def _apply_claims(
    state: _model.ControlState,
    record: _claims.ClaimsAsked | _claims.ClaimsPurged,
) -> Applied:
    if isinstance(record, _claims.ClaimsPurged):
        _claims.purge_claims(state.claims, record)
        return Applied(record)
    return Applied(record, _claims.decide_claims(state.claims, record))


def apply_to_fleet(
    fleet: _model.FleetState, revision: int, record: _model.Record
) -> None:
    """Apply one accepted record to the fleet."""
    fleet.revision = revision
    match record:
        case _model.TicketSubmitted():
            _apply_ticket(fleet, revision, record)
        case _model.VmReported():
            _apply_report(fleet, revision, record)
        case _model.VmPhaseChanged():
            _apply_phase(fleet, revision, record)
        case _model.WaveStopped():
            progress = fleet.progress.get(record.wave)
            if progress and progress.ticket_number == record.ticket_number:
                progress.stopped_reason = record.reason
        case _model.WaveFinished():
            progress = fleet.progress.get(record.wave)
            if progress and progress.ticket_number == record.ticket_number:
                progress.finished_at_ms = record.at_ms
        case _model.InForceMarked():
            pass


def _apply_ticket(
    fleet: _model.FleetState, revision: int, record: _model.TicketSubmitted
) -> None:
    ticket = record.ticket
    for key in ticket.touched():
        fleet.object_numbers[key] = ticket.number
    for pool in ticket.pools:
        fleet.pools[pool.name] = pool
    # A VM that moves between pools is missing in its old pool and named by
    # its new one. All pools of the ticket are stored first, so that
    # _drop_unnamed finds the new pool and keeps the VM.
    for pool in ticket.pools:
        _drop_unnamed(fleet, pool)
    for pool in ticket.pools:
        for name in pool.vms:
            _assign_vm(fleet, name, pool.name, record, revision)
    for budget in ticket.budgets:
        fleet.budgets[budget.service] = budget
    for wave in ticket.waves:
        _start_wave(fleet, wave, record)
    if ticket.control:
        fleet.control = ticket.control


def _drop_unnamed(fleet: _model.FleetState, pool: _model.Pool) -> None:
    """Remove the VMs that the pool's new state no longer includes."""
    named = set(pool.vms)
    for vm in [vm for vm in fleet.vms.values() if vm.pool == pool.name]:
        if vm.name in named:
            continue
        if vm.named or not pool.accepts_announced:
            _drop_unless_named(fleet, vm)


def _drop_unless_named(fleet: _model.FleetState, vm: _model.Vm) -> None:
    """Remove a VM unless a pool names it; then it keeps its state."""
    for pool in fleet.pools.values():
        if vm.name in pool.vms:
            return
    del fleet.vms[vm.name]
    fleet.out_vms.discard(vm.name)


def _assign_vm(
    fleet: _model.FleetState,
    name: str,
    pool: str,
    record: _model.TicketSubmitted,
    revision: int,
) -> None:
    vm = fleet.vms.get(name)
    if vm is None:
        fleet.vms[name] = _model.Vm(
            name=name,
            pool=pool,
            named=True,
            ticket_number=record.ticket.number,
            phase_revision=revision,
            phase_at_ms=record.received_at_ms,
        )
        return
    vm.named = True
    if vm.pool != pool:
        vm.pool = pool
        vm.ticket_number = record.ticket.number


def _start_wave(
    fleet: _model.FleetState,
    wave: _model.Wave,
    record: _model.TicketSubmitted,
) -> None:
    """Store a wave's new state.

    The progress is kept if the wave has not finished and its selectors are
    unchanged, as when only the intent changes.
    """
    previous = fleet.waves.get(wave.name)
    fleet.waves[wave.name] = wave
    progress = fleet.progress.get(wave.name)
    same_work = previous is not None and _selectors(previous) == _selectors(
        wave
    )
    if progress is not None and same_work and not progress.finished_at_ms:
        progress.ticket_number = record.ticket.number
        progress.stopped_reason = ''
        return
    fleet.progress[wave.name] = _model.WaveProgress(
        ticket_number=record.ticket.number,
        started_at_ms=record.received_at_ms,
    )


def _selectors(wave: _model.Wave) -> tuple[tuple[str, ...], ...]:
    return wave.vms, wave.pools, wave.data_centres, wave.racks


def _apply_report(
    fleet: _model.FleetState, revision: int, record: _model.VmReported
) -> None:
    vm = fleet.vms.get(record.vm)
    if vm is not None:
        vm.facts = record.facts
        return
    pool = fleet.pools.get(record.pool)
    if pool is None or not pool.accepts_announced:
        return
    fleet.vms[record.vm] = _model.Vm(
        name=record.vm,
        pool=record.pool,
        named=False,
        ticket_number=fleet.object_numbers[f'pool/{record.pool}'],
        phase_revision=revision,
        phase_at_ms=record.at_ms,
        facts=record.facts,
    )


def _apply_phase(
    fleet: _model.FleetState, revision: int, record: _model.VmPhaseChanged
) -> None:
    vm = fleet.vms.get(record.vm)
    if vm is None:
        return
    progress = fleet.progress.get(vm.wave or record.wave)
    vm.phase = record.phase
    if record.phase is _model.VmPhase.SERVING:
        fleet.out_vms.discard(vm.name)
    else:
        fleet.out_vms.add(vm.name)
    vm.phase_revision = revision
    vm.phase_at_ms = record.at_ms
    vm.ticket_number = record.ticket_number
    vm.wave = record.wave
    vm.boot_id = record.boot_id
    vm.operation_id = record.operation_id
    if progress is None:
        return
    if record.phase is _model.VmPhase.FAILED:
        _append_once(progress.failed, record.vm)
    if record.phase is _model.VmPhase.SERVING and record.operation_id:
        _append_once(progress.done, record.vm)
        if record.vm in progress.failed:
            progress.failed.remove(record.vm)


def _append_once(names: list[str], name: str) -> None:
    if name not in names:
        names.append(name)


def _record_history(
    state: _model.ControlState, revision: int, record: _model.Record
) -> None:
    """Add a record to the ticket history and the VMs' events."""
    match record:
        case _model.TicketSubmitted():
            state.history[record.ticket.number] = _model.TicketEntry(
                ticket=record.ticket,
                digest=record.digest,
                revision=revision,
                accepted_at_ms=record.received_at_ms,
            )
            for pool in record.ticket.pools:
                for vm in pool.vms:
                    _record_assignment(state, revision, record, vm, pool.name)
        case _model.VmReported():
            _record_join(state, revision, record)
        case _model.VmPhaseChanged():
            text = f'{record.phase} for wave {record.wave}'
            if record.reason:
                text += f': {record.reason}'
            _add_event(
                state,
                record.vm,
                _model.VmEvent(
                    revision, record.at_ms, record.ticket_number, text
                ),
            )
        case _model.InForceMarked():
            _mark_in_force(state, record)
        case _:
            pass


def _record_assignment(
    state: _model.ControlState,
    revision: int,
    record: _model.TicketSubmitted,
    vm: str,
    pool: str,
) -> None:
    present = state.fleet.vms.get(vm)
    if present is not None and present.pool == pool:
        return
    event = _model.VmEvent(
        revision,
        record.received_at_ms,
        record.ticket.number,
        f'assigned to pool {pool}',
    )
    _add_event(state, vm, event)


def _record_join(
    state: _model.ControlState, revision: int, record: _model.VmReported
) -> None:
    if record.vm in state.fleet.vms:
        return
    number = state.fleet.object_numbers.get(f'pool/{record.pool}', 0)
    event = _model.VmEvent(
        revision,
        record.at_ms,
        number,
        f'joined pool {record.pool} by its own announcement',
    )
    _add_event(state, record.vm, event)


def _add_event(
    state: _model.ControlState, vm: str, event: _model.VmEvent
) -> None:
    state.vm_events.setdefault(vm, []).append(event)


def _mark_in_force(
    state: _model.ControlState, record: _model.InForceMarked
) -> None:
    # Only the newest tickets are unmarked, so the loop ends at the first one
    # that an earlier mark has covered.
    for entry in reversed(state.history.values()):
        if entry.in_force_at_ms:
            break
        if entry.revision <= record.revision:
            entry.in_force_at_ms = record.at_ms
