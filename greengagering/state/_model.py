"""Data classes of the fleet, its tickets and the records of the log."""

import dataclasses
import enum

from greengagering.state import _claims
from greengagering.state import _jobs_model


class VmPhase(enum.StrEnum):
    """Maintenance phase of a VM; only a SERVING VM gets new calls."""

    SERVING = 'serving'
    DRAINING = 'draining'
    REBOOTING = 'rebooting'
    FAILED = 'failed'


class WaveIntent(enum.StrEnum):
    """The operator's intent for a wave."""

    RUNNING = 'running'
    PAUSED = 'paused'
    ABORTED = 'aborted'


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """VMs that serve one service.

    Attributes:
        name: unique name.
        service: service that the VMs of this pool serve.
        vms: VMs that the ticket names.
        accepts_announced: whether VMs that no ticket names may join the pool
            by announcing themselves.
    """

    name: str
    service: str
    vms: tuple[str, ...] = ()
    accepts_announced: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Budget:
    """Limits on the VMs of a service that may be unavailable.

    Attributes:
        service: service that the budget protects.
        min_available_vms: VMs that must stay available.
        max_out_vms: VMs that may be out at the same time for any reason.
        max_out_per_data_centre_vms: the same limit within a data centre.
    """

    service: str
    min_available_vms: int = 0
    max_out_vms: int | None = None
    max_out_per_data_centre_vms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Wave:
    """A maintenance wave: VMs to drain and reboot.

    Its progress is WaveProgress. UpkeepWave and WaveState, about the machines
    of jobs' workers, are unrelated.

    A VM belongs to the wave if any of the selectors vms, pools, data_centres
    and racks matches it.

    Attributes:
        name: unique name.
        vms: VMs by name.
        pools: every VM of these pools.
        data_centres: every VM of these data centres.
        racks: every VM of these racks.
        max_parallel_vms: VMs that may be out at the same time for this wave.
        max_failed_vms: failed VMs after which the wave stops.
        return_timeout_s: longest time from a reboot to a healthy VM.
        silent_timeout_s: silence after which a draining VM is considered dead
            and is rebooted, although it never reported that it is idle.
        not_before_ms: Unix time of the earliest drain, or 0.
        intent: whether the wave runs, is paused or is aborted.
    """

    name: str
    vms: tuple[str, ...] = ()
    pools: tuple[str, ...] = ()
    data_centres: tuple[str, ...] = ()
    racks: tuple[str, ...] = ()
    max_parallel_vms: int = 1
    max_failed_vms: int = 1
    return_timeout_s: float = 600.0
    silent_timeout_s: float = 120.0
    not_before_ms: int = 0
    intent: WaveIntent = WaveIntent.RUNNING


@dataclasses.dataclass(frozen=True, slots=True)
class ControlMember:
    """A control replica that should be a voter, and its listening address."""

    replica_id: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A numbered change with the complete new state of the objects it touches.

    Attributes:
        number: unique number; it belongs to the first ticket accepted with it.
        author: who requested the change.
        reason: why the change is made.
        pools: complete new state of each touched pool.
        budgets: complete new state of each touched budget.
        waves: complete new state of each touched wave.
        control: every control replica that should be a voter, or empty if the
            ticket doesn't change them.
    """

    number: int
    author: str
    reason: str
    pools: tuple[Pool, ...] = ()
    budgets: tuple[Budget, ...] = ()
    waves: tuple[Wave, ...] = ()
    control: tuple[ControlMember, ...] = ()

    def touched(self) -> list[str]:
        """Return the keys of the objects that this ticket touches."""
        keys = [f'pool/{pool.name}' for pool in self.pools]
        keys += [f'budget/{budget.service}' for budget in self.budgets]
        keys += [f'wave/{wave.name}' for wave in self.waves]
        if self.control:
            keys.append('control')
        return keys


@dataclasses.dataclass(frozen=True, slots=True)
class VmFacts:
    """Properties that a VM announces and that seldom change.

    An entry has at most slot_count calls in flight there.
    """

    data_centre: str
    rack: str
    slot_count: int
    connection_count: int
    cpu_cores: float = 0.0
    memory_mb: int = 0
    accelerator_count: int = 0


@dataclasses.dataclass(slots=True)
class Vm:
    """Committed state of one VM.

    Attributes:
        name: unique name.
        pool: the one pool that the VM belongs to.
        named: whether a ticket names the VM; if not, it joined by
            announcement.
        ticket_number: ticket that allows the current pool and phase.
        phase: maintenance phase.
        phase_revision: revision of the event that began the phase.
        phase_at_ms: Unix time of that event.
        facts: latest committed facts, or None before the first report.
        boot_id: while the VM is out, the boot that the reboot must replace.
        wave: wave that took the VM out, or ''.
        operation_id: idempotency key of the reboot, or ''.
    """

    name: str
    pool: str
    named: bool
    ticket_number: int
    phase: VmPhase = VmPhase.SERVING
    phase_revision: int = 0
    phase_at_ms: int = 0
    facts: VmFacts | None = None
    boot_id: str = ''
    wave: str = ''
    operation_id: str = ''


@dataclasses.dataclass(slots=True)
class WaveProgress:
    """Committed progress of one wave.

    Attributes:
        ticket_number: ticket that holds the wave.
        started_at_ms: Unix time of acceptance.
        done: VMs rebooted and healthy again.
        failed: VMs that did not become healthy again in time.
        stopped_reason: why the system stopped the wave, or ''.
        finished_at_ms: Unix time of the last VM's return, or 0.
    """

    ticket_number: int
    started_at_ms: int
    done: list[str] = dataclasses.field(default_factory=list)
    failed: list[str] = dataclasses.field(default_factory=list)
    stopped_reason: str = ''
    finished_at_ms: int = 0


@dataclasses.dataclass(slots=True)
class TicketEntry:
    """An accepted ticket in the history.

    Attributes:
        ticket: the whole ticket.
        digest: SHA-256 of the canonical content.
        revision: revision that accepted it.
        accepted_at_ms: Unix time of acceptance.
        in_force_at_ms: Unix time from which it is in force on every entry;
            0 until then.
    """

    ticket: Ticket
    digest: str
    revision: int
    accepted_at_ms: int
    in_force_at_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class TicketSubmitted:
    """A submitted ticket; applying the record accepts or refuses it."""

    ticket: Ticket
    digest: str
    received_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class VmReported:
    """A VM reported for the first time or with new facts."""

    vm: str
    pool: str
    facts: VmFacts
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class VmPhaseChanged:
    """The system moved a VM to another phase on behalf of a ticket."""

    vm: str
    phase: VmPhase
    wave: str
    ticket_number: int
    at_ms: int
    boot_id: str = ''
    operation_id: str = ''
    reason: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class WaveStopped:
    """The system stopped a wave by itself."""

    wave: str
    ticket_number: int
    reason: str
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class WaveFinished:
    """Every VM of a wave was rebooted and is healthy."""

    wave: str
    ticket_number: int
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class InForceMarked:
    """All revisions up to this one are in force on every entry.

    A revision is in force on every entry once each entry that may hold a lease
    applies it, or a later one, to new calls.
    """

    revision: int
    at_ms: int


Record = (
    TicketSubmitted
    | VmReported
    | VmPhaseChanged
    | WaveStopped
    | WaveFinished
    | InForceMarked
    | _claims.ClaimsAsked
    | _claims.ClaimsPurged
    | _jobs_model.JobRecord
)

RECORD_TYPES: dict[str, type[Record]] = {
    kind.__name__: kind
    for kind in (
        TicketSubmitted,
        VmReported,
        VmPhaseChanged,
        WaveStopped,
        WaveFinished,
        InForceMarked,
        _claims.ClaimsAsked,
        _claims.ClaimsPurged,
        *_jobs_model.JOB_RECORD_TYPES,
    )
}
"""Record types by the type name that the log stores."""


@dataclasses.dataclass(slots=True)
class VmEvent:
    """One event in a VM's history, with the ticket that allowed it."""

    revision: int
    at_ms: int
    ticket_number: int
    text: str


@dataclasses.dataclass(slots=True)
class FleetState:
    """The part of the state that is replicated to the entries.

    Attributes:
        revision: log index of the newest record that was applied.
        pools: pools by name.
        budgets: budgets by service.
        waves: waves by name.
        vms: VMs by name; each is in exactly one pool.
        progress: progress by wave name.
        object_numbers: number of the newest ticket by touched object.
        out_vms: names of the VMs that are not in phase SERVING.
        control: control replicas that should be voters; empty until a ticket
            names them.
    """

    revision: int = 0
    pools: dict[str, Pool] = dataclasses.field(default_factory=dict)
    budgets: dict[str, Budget] = dataclasses.field(default_factory=dict)
    waves: dict[str, Wave] = dataclasses.field(default_factory=dict)
    vms: dict[str, Vm] = dataclasses.field(default_factory=dict)
    progress: dict[str, WaveProgress] = dataclasses.field(default_factory=dict)
    object_numbers: dict[str, int] = dataclasses.field(default_factory=dict)
    out_vms: set[str] = dataclasses.field(default_factory=set)
    control: tuple[ControlMember, ...] = ()


@dataclasses.dataclass(slots=True)
class ControlState:
    """The whole replicated state: fleet, histories, claims and jobs."""

    fleet: FleetState = dataclasses.field(default_factory=FleetState)
    history: dict[int, TicketEntry] = dataclasses.field(default_factory=dict)
    vm_events: dict[str, list[VmEvent]] = dataclasses.field(
        default_factory=dict
    )
    claims: dict[str, _claims.Claim] = dataclasses.field(default_factory=dict)
    jobs: _jobs_model.JobsState = dataclasses.field(
        default_factory=_jobs_model.JobsState
    )
