"""Decisions of maintenance waves: which VM to drain, reboot or give up."""

import dataclasses

from greengagering.coordination.entries import _entry_messages as entry_msgs
from greengagering.coordination.fleet import _budgets
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
    statuses: dict[str, entry_msgs.UpstreamStatus]
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
        and status.upstream.state is entry_msgs.UpstreamState.UP
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
    for name in sorted(view.fleet.out_vms):
        _continue_vm(view, view.fleet.vms[name], decisions)
    ledger = _LazyLedger(view)
    for name in sorted(view.fleet.waves):
        _step_wave(view, view.fleet.waves[name], ledger, decisions)
    return decisions


def find_waiting(view: FleetView, wave: state.Wave) -> dict[str, str]:
    """Return why each VM of a wave that is not taken yet waits, by name."""
    ledger = count_services(view)
    out = _count_out(view.fleet, wave)
    reasons = {}
    for vm in _left_targets(view.fleet, wave):
        if vm.phase is state.VmPhase.SERVING:
            reasons[vm.name] = _find_start_wait(view, wave, vm, ledger, out)
    return reasons


class _LazyLedger:
    """Counts availability only when a wave has room for another VM."""

    def __init__(self, view: FleetView) -> None:
        self._view = view
        self._ledger: _budgets.BudgetLedger | None = None

    def get(self) -> _budgets.BudgetLedger:
        """Return the one ledger of this round of decisions."""
        if self._ledger is None:
            self._ledger = count_services(self._view)
        return self._ledger


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
    record = _change(
        view, vm, state.VmPhase.REBOOTING, operation_id=operation_id
    )
    status = view.statuses[vm.name]
    # The upstream may have restarted by itself while it drained; only a boot
    # after this one shows that the reboot was done.
    decisions.records.append(
        dataclasses.replace(record, boot_id=status.upstream.boot_id)
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
    is_up = upstream.state is entry_msgs.UpstreamState.UP
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
    ledger: _LazyLedger,
    decisions: WaveDecisions,
) -> None:
    progress = view.fleet.progress[wave.name]
    if not _is_active(wave, progress, view.now_ms):
        return
    if len(progress.failed) >= wave.max_failed_vms:
        decisions.records.append(_stop(view, wave, progress))
        return
    room = wave.max_parallel_vms - _count_out(view.fleet, wave)
    if room <= 0:
        return
    left = _left_targets(view.fleet, wave)
    if left:
        _start_drains(view, wave, left, ledger.get(), room, decisions)
    else:
        decisions.records.append(
            state.WaveFinished(wave.name, progress.ticket_number, view.now_ms)
        )


def _is_active(
    wave: state.Wave, progress: state.WaveProgress, now_ms: int
) -> bool:
    if progress.finished_at_ms or progress.stopped_reason:
        return False
    is_running = wave.intent is state.WaveIntent.RUNNING
    return is_running and now_ms >= wave.not_before_ms


def _count_out(fleet: state.FleetState, wave: state.Wave) -> int:
    return sum(fleet.vms[name].wave == wave.name for name in fleet.out_vms)


def _left_targets(fleet: state.FleetState, wave: state.Wave) -> list[state.Vm]:
    """Return the VMs that a wave has not done, also those that are out."""
    done = set(fleet.progress[wave.name].done)
    return [vm for vm in wave_targets(fleet, wave) if vm.name not in done]


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
    room: int,
    decisions: WaveDecisions,
) -> None:
    progress = view.fleet.progress[wave.name]
    for vm in left:
        status = view.statuses.get(vm.name)
        # A VM that is out for another wave is taken once it is back.
        if vm.phase is not state.VmPhase.SERVING or status is None:
            continue
        if ledger.find_problem(vm):
            continue
        ledger.book(vm)
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
        room -= 1
        if not room:
            return


def _find_start_wait(
    view: FleetView,
    wave: state.Wave,
    vm: state.Vm,
    ledger: _budgets.BudgetLedger,
    out: int,
) -> str:
    """Return what keeps a VM from being drained now."""
    progress = view.fleet.progress[wave.name]
    if progress.stopped_reason:
        return 'the wave is stopped'
    if wave.intent is not state.WaveIntent.RUNNING:
        return f'the wave is {wave.intent}'
    if view.now_ms < wave.not_before_ms:
        return 'the wave has not begun'
    if vm.name not in view.statuses:
        return 'no report of the upstream yet'
    if out >= wave.max_parallel_vms:
        return f'{out} VMs of this wave are out, which is its bound'
    return ledger.find_problem(vm) or 'is taken next'
