"""Decisions of maintenance waves: VMs to drain, reboot or mark as failed."""

import dataclasses

from greengagering.coordination.entries import _entry_messages as entry_msgs
from greengagering.coordination.fleet import _budgets
from greengagering import state

REBOOT_REPEAT_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class FleetView:
    """Input of a wave decision.

    Attributes:
        fleet: committed state of the fleet.
        statuses: latest status of each upstream by VM.
        confirmed_revision: newest revision that is in force on every entry.
        busy_vms: VMs out of service to which an entry has calls in flight.
        now_ms: Unix time.
    """

    fleet: state.FleetState
    statuses: dict[str, entry_msgs.UpstreamStatus]
    confirmed_revision: int
    busy_vms: frozenset[str]
    now_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class RebootOrder:
    """A reboot to request from the platform; requests are idempotent."""

    vm: str
    operation_id: str


@dataclasses.dataclass(slots=True)
class WaveDecisions:
    """Result of a wave decision.

    Attributes:
        records: records to propose to the log.
        reboots: reboots to request from the platform.
        waiting: reason why a VM waits, by VM name, for the wave's progress
            page.
    """

    records: list[state.Record] = dataclasses.field(default_factory=list)
    reboots: list[RebootOrder] = dataclasses.field(default_factory=list)
    waiting: dict[str, str] = dataclasses.field(default_factory=dict)


def is_available(view: FleetView, vm: state.Vm) -> bool:
    """Tell whether a VM is in its serving phase and its upstream is up."""
    if vm.phase is not state.VmPhase.SERVING:
        return False
    status = view.statuses.get(vm.name)
    return (
        status is not None
        and status.upstream.state is entry_msgs.UpstreamState.UP
    )


def count_services(view: FleetView) -> _budgets.AvailabilityTracker:
    """Count the available VMs of every service."""
    available = frozenset(
        vm.name for vm in view.fleet.vms.values() if is_available(view, vm)
    )
    return _budgets.AvailabilityTracker(view.fleet, available)


def wave_targets(fleet: state.FleetState, wave: state.Wave) -> list[state.Vm]:
    """Return the VMs that match a wave's selectors, sorted by name."""
    chosen = [vm for vm in fleet.vms.values() if _is_selected(wave, vm)]
    return sorted(chosen, key=lambda vm: vm.name)


def decide(view: FleetView) -> WaveDecisions:
    """Decide the next step of every wave."""
    decisions = WaveDecisions()
    for name in sorted(view.fleet.out_vms):
        _continue_vm(view, view.fleet.vms[name], decisions)
    tracker = _LazyTracker(view)
    for name in sorted(view.fleet.waves):
        _advance_wave(view, view.fleet.waves[name], tracker, decisions)
    return decisions


def find_wait_reasons(view: FleetView, wave: state.Wave) -> dict[str, str]:
    """Return why each VM that a wave has not drained yet waits, by VM name."""
    tracker = count_services(view)
    out = _count_out(view.fleet, wave)
    reasons = {}
    for vm in _remaining_targets(view.fleet, wave):
        if vm.phase is state.VmPhase.SERVING:
            reasons[vm.name] = _find_start_wait(view, wave, vm, tracker, out)
    return reasons


class _LazyTracker:
    """Counts availability only once a wave may drain another VM."""

    def __init__(self, view: FleetView) -> None:
        self._view = view
        self._tracker: _budgets.AvailabilityTracker | None = None

    def get(self) -> _budgets.AvailabilityTracker:
        """Return the tracker that all waves of this decision share."""
        if self._tracker is None:
            self._tracker = count_services(self._view)
        return self._tracker


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
                decisions.records.append(_return_change(view, vm))
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
            _phase_change(
                view, vm, state.VmPhase.SERVING, reason='wave aborted'
            )
        )
        return
    reason = _find_drain_wait(view, vm)
    if reason:
        decisions.waiting[vm.name] = reason
        return
    operation_id = f'{vm.wave}.{vm.name}.{vm.phase_revision}'
    record = _phase_change(
        view, vm, state.VmPhase.REBOOTING, operation_id=operation_id
    )
    status = view.statuses[vm.name]
    # The upstream may have restarted by itself while it drained, so the
    # current boot id is stored: only a later boot proves the reboot.
    decisions.records.append(
        dataclasses.replace(record, boot_id=status.upstream.boot_id)
    )


def _find_drain_wait(view: FleetView, vm: state.Vm) -> str:
    """Return the reason why a drain is not complete, or ''."""
    if view.confirmed_revision < vm.phase_revision:
        return 'draining; not yet in force at every entry'
    if vm.name in view.busy_vms:
        return 'draining; an entry has calls in flight'
    status = view.statuses.get(vm.name)
    if status is None:
        return 'draining; no report of the upstream yet'
    if status.idle_revision >= vm.phase_revision:
        return ''
    # A silent upstream may still run a call of an entry that is cut off from
    # control, so it counts as dead only after the wave's silent timeout.
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
        decisions.records.append(_return_change(view, vm))
        return
    timeout_s = _wave_of(view, vm).return_timeout_s
    waited_s = (view.now_ms - vm.phase_at_ms) / 1000
    if waited_s > timeout_s:
        reason = f'not back {timeout_s:g} s after its reboot'
        decisions.records.append(
            _phase_change(
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
    """Tell whether the VM has announced itself after a later boot."""
    status = view.statuses.get(vm.name)
    if status is None:
        return False
    upstream = status.upstream
    is_up = upstream.state is entry_msgs.UpstreamState.UP
    return is_up and upstream.boot_id != vm.boot_id


def _return_change(view: FleetView, vm: state.Vm) -> state.VmPhaseChanged:
    return _phase_change(
        view, vm, state.VmPhase.SERVING, operation_id=vm.operation_id
    )


def _phase_change(
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


def _advance_wave(
    view: FleetView,
    wave: state.Wave,
    tracker: _LazyTracker,
    decisions: WaveDecisions,
) -> None:
    progress = view.fleet.progress[wave.name]
    if not _is_active(wave, progress, view.now_ms):
        return
    if len(progress.failed) >= wave.max_failed_vms:
        decisions.records.append(_stop_record(view, wave, progress))
        return
    free_places = wave.max_parallel_vms - _count_out(view.fleet, wave)
    if free_places <= 0:
        return
    remaining = _remaining_targets(view.fleet, wave)
    if remaining:
        _start_drains(
            view, wave, remaining, tracker.get(), free_places, decisions
        )
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


def _remaining_targets(
    fleet: state.FleetState, wave: state.Wave
) -> list[state.Vm]:
    """Return the VMs that a wave has not completed, including those out."""
    done = set(fleet.progress[wave.name].done)
    return [vm for vm in wave_targets(fleet, wave) if vm.name not in done]


def _stop_record(
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
    remaining: list[state.Vm],
    tracker: _budgets.AvailabilityTracker,
    free_places: int,
    decisions: WaveDecisions,
) -> None:
    progress = view.fleet.progress[wave.name]
    for vm in remaining:
        status = view.statuses.get(vm.name)
        # A VM that is out for another wave is drained after its return.
        if vm.phase is not state.VmPhase.SERVING or status is None:
            continue
        if tracker.find_problem(vm):
            continue
        tracker.mark_out(vm)
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
        free_places -= 1
        if not free_places:
            return


def _find_start_wait(
    view: FleetView,
    wave: state.Wave,
    vm: state.Vm,
    tracker: _budgets.AvailabilityTracker,
    out: int,
) -> str:
    """Return the reason why a VM is not drained now."""
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
    return tracker.find_problem(vm) or 'is taken next'
