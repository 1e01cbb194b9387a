"""Decisions of maintenance waves: which VM to drain, reboot or give up."""

import dataclasses

from greengagering.coordination import _budgets
from greengagering.coordination import _entry_messages as entry_messages
from greengagering import state

REBOOT_REPEAT_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class FleetView:
    """What a wave decision rests on.

    Attributes:
        fleet: committed state.
        statuses: latest status of each upstream by VM.
        confirmed_revision: newest revision that holds on every entry.
        busy_vms: VMs to which an entry has calls in flight.
        now_ms: Unix time.
    """

    fleet: state.FleetState
    statuses: dict[str, entry_messages.UpstreamStatus]
    confirmed_revision: int
    busy_vms: frozenset[str]
    now_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class RebootOrder:
    """A reboot to ask of the platform; repeating it is harmless."""

    vm: str
    operation_id: str


@dataclasses.dataclass(slots=True)
class WaveDecisions:
    """Records to propose, reboots to ask for, and why VMs wait.

    Attributes:
        records: records for the log.
        reboots: reboots for the platform.
        waiting: reason by VM name, for the wave's progress page.
    """

    records: list[state.Record] = dataclasses.field(default_factory=list)
    reboots: list[RebootOrder] = dataclasses.field(default_factory=list)
    waiting: dict[str, str] = dataclasses.field(default_factory=dict)


def is_available(view: FleetView, vm: state.Vm) -> bool:
    """Tell whether a VM serves: in service, and its upstream is up."""
    if vm.phase is not state.VmPhase.SERVING:
        return False
    status = view.statuses.get(vm.name)
    return (
        status is not None
        and status.upstream.state is entry_messages.UpstreamState.UP
    )


def count_services(view: FleetView) -> _budgets.BudgetLedger:
    """Return the availability of every service."""
    available = frozenset(
        vm.name for vm in view.fleet.vms.values() if is_available(view, vm)
    )
    return _budgets.BudgetLedger(view.fleet, available)


def wave_targets(fleet: state.FleetState, wave: state.Wave) -> list[state.Vm]:
    """Return the VMs that a wave's selectors name, by name."""
    chosen = [vm for vm in fleet.vms.values() if _is_selected(wave, vm)]
    return sorted(chosen, key=lambda vm: vm.name)


def decide(view: FleetView) -> WaveDecisions:
    """Decide the next step of every wave."""
    decisions = WaveDecisions()
    ledger = count_services(view)
    for vm in view.fleet.vms.values():
        if vm.phase is not state.VmPhase.SERVING:
            _continue_vm(view, vm, decisions)
    for name in sorted(view.fleet.waves):
        _step_wave(view, view.fleet.waves[name], ledger, decisions)
    return decisions


def _is_selected(wave: state.Wave, vm: state.Vm) -> bool:
    if vm.name in wave.vms or vm.pool in wave.pools:
        return True
    if vm.facts is None:
        return False
    return (
        vm.facts.data_centre in wave.data_centres
        or vm.facts.rack in wave.racks
    )


def _continue_vm(
    view: FleetView, vm: state.Vm, decisions: WaveDecisions
) -> None:
    match vm.phase:
        case state.VmPhase.DRAINING:
            _continue_drain(view, vm, decisions)
        case state.VmPhase.REBOOTING:
            _continue_reboot(view, vm, decisions)
        case state.VmPhase.FAILED:
            if _is_back(view, vm):
                decisions.records.append(_returned(view, vm))
            else:
                decisions.waiting[vm.name] = 'failed; waits for its return'
        case _:
            pass


def _continue_drain(
    view: FleetView, vm: state.Vm, decisions: WaveDecisions
) -> None:
    wave = view.fleet.waves.get(vm.wave)
    if wave is None or wave.intent is state.WaveIntent.ABORTED:
        decisions.records.append(
            _change(view, vm, state.VmPhase.SERVING, reason='wave aborted')
        )
        return
    reason = _find_drain_wait(view, vm)
    if reason:
        decisions.waiting[vm.name] = reason
        return
    operation_id = f'{vm.wave}.{vm.name}.{vm.phase_revision}'
    decisions.records.append(
        _change(view, vm, state.VmPhase.REBOOTING, operation_id=operation_id)
    )


def _find_drain_wait(view: FleetView, vm: state.Vm) -> str:
    """Return what a drain still waits for, or ''."""
    if view.confirmed_revision < vm.phase_revision:
        return 'draining; not yet in force at every entry'
    if vm.name in view.busy_vms:
        return 'draining; an entry has calls in flight'
    status = view.statuses.get(vm.name)
    if status is None:
        return 'draining; no report of the upstream yet'
    if status.idle_revision >= vm.phase_revision:
        return ''
    # A silent upstream may still run a call of an entry that is cut off, so
    # it is taken as dead only after the wave's own timeout.
    if status.silent_for_s > _wave_of(view, vm).silent_timeout_s:
        return ''
    if status.silent_for_s > 0:
        return f'draining; silent for {status.silent_for_s:.0f} s'
    return f'draining; {status.in_flight_count} calls in flight there'


def _wave_of(view: FleetView, vm: state.Vm) -> state.Wave:
    return view.fleet.waves.get(vm.wave) or state.Wave(vm.wave)


def _continue_reboot(
    view: FleetView, vm: state.Vm, decisions: WaveDecisions
) -> None:
    if _is_back(view, vm):
        decisions.records.append(_returned(view, vm))
        return
    timeout_s = _wave_of(view, vm).return_timeout_s
    waited_s = (view.now_ms - vm.phase_at_ms) / 1000
    if waited_s > timeout_s:
        reason = f'not back {timeout_s:g} s after its reboot'
        decisions.records.append(
            _change(
                view,
                vm,
                state.VmPhase.FAILED,
                operation_id=vm.operation_id,
                reason=reason,
            )
        )
        return
    decisions.waiting[vm.name] = 'rebooting'
    decisions.reboots.append(RebootOrder(vm.name, vm.operation_id))


def _is_back(view: FleetView, vm: state.Vm) -> bool:
    """Tell whether a later boot of the VM has announced itself."""
    status = view.statuses.get(vm.name)
    if status is None:
        return False
    upstream = status.upstream
    is_up = upstream.state is entry_messages.UpstreamState.UP
    return is_up and upstream.boot_id != vm.boot_id


def _returned(view: FleetView, vm: state.Vm) -> state.VmPhaseChanged:
    return _change(
        view, vm, state.VmPhase.SERVING, operation_id=vm.operation_id
    )


def _change(
    view: FleetView,
    vm: state.Vm,
    phase: state.VmPhase,
    operation_id: str = '',
    reason: str = '',
) -> state.VmPhaseChanged:
    progress = view.fleet.progress.get(vm.wave)
    number = progress.ticket_number if progress else vm.ticket_number
    return state.VmPhaseChanged(
        vm=vm.name,
        phase=phase,
        wave=vm.wave,
        ticket_number=number,
        at_ms=view.now_ms,
        boot_id=vm.boot_id,
        operation_id=operation_id,
        reason=reason,
    )


def _step_wave(
    view: FleetView,
    wave: state.Wave,
    ledger: _budgets.BudgetLedger,
    decisions: WaveDecisions,
) -> None:
    progress = view.fleet.progress[wave.name]
    if progress.finished_at_ms or progress.stopped_reason:
        return
    if wave.intent is not state.WaveIntent.RUNNING:
        return
    targets = wave_targets(view.fleet, wave)
    # A VM belongs to the wave until it is done; one that is out for another
    # wave is left to that one and taken afterwards.
    left = [vm for vm in targets if vm.name not in progress.done]
    if not left:
        decisions.records.append(
            state.WaveFinished(wave.name, progress.ticket_number, view.now_ms)
        )
        return
    if len(progress.failed) >= wave.max_failed_vms:
        decisions.records.append(_stop(view, wave, progress))
        return
    if view.now_ms >= wave.not_before_ms:
        _start_drains(view, wave, left, ledger, decisions)


def _stop(
    view: FleetView, wave: state.Wave, progress: state.WaveProgress
) -> state.WaveStopped:
    names = ', '.join(progress.failed)
    return state.WaveStopped(
        wave=wave.name,
        ticket_number=progress.ticket_number,
        reason=f'{len(progress.failed)} VMs did not come back: {names}',
        at_ms=view.now_ms,
    )


def _start_drains(
    view: FleetView,
    wave: state.Wave,
    left: list[state.Vm],
    ledger: _budgets.BudgetLedger,
    decisions: WaveDecisions,
) -> None:
    progress = view.fleet.progress[wave.name]
    out = sum(
        1
        for vm in view.fleet.vms.values()
        if vm.wave == wave.name and vm.phase is not state.VmPhase.SERVING
    )
    for vm in left:
        if vm.phase is not state.VmPhase.SERVING:
            continue
        status = view.statuses.get(vm.name)
        if status is None:
            decisions.waiting[vm.name] = 'no report of the upstream yet'
            continue
        if out >= wave.max_parallel_vms:
            decisions.waiting[vm.name] = (
                f'{out} VMs of this wave are out, which is its bound'
            )
            continue
        problem = ledger.find_problem(vm)
        if problem:
            decisions.waiting[vm.name] = problem
            continue
        ledger.book(vm)
        out += 1
        decisions.records.append(
            state.VmPhaseChanged(
                vm=vm.name,
                phase=state.VmPhase.DRAINING,
                wave=wave.name,
                ticket_number=progress.ticket_number,
                at_ms=view.now_ms,
                boot_id=status.upstream.boot_id,
            )
        )
