"""Bodies of the HTTP answers, and of the request to reboot a VM."""

import dataclasses
import enum

from greengagering import coordination
from greengagering.protocol import errors
from greengagering import state


class ErrorKind(enum.StrEnum):
    """Machine-readable cause of an error answer.

    A refused ticket carries its RefusalKind, and a refused call its
    RefusalReason, in place of one of these.
    """

    INVALID_INPUT = 'invalid_input'
    TOO_LARGE = 'too_large'
    TOO_SLOW = 'too_slow'
    NOT_LEADER = 'not_leader'
    OVERLOADED = 'overloaded'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    NOT_FOUND = 'not_found'
    UPSTREAM_FAILED = 'upstream_failed'
    DEADLINE_PASSED = 'deadline_passed'


@dataclasses.dataclass(frozen=True, slots=True)
class ErrorPage:
    """Answer to a request that was not carried out.

    Attributes:
        kind: machine-readable cause.
        message: explanation for a person.
        fields: fields at fault, if any.
        holder: author of the conflicting ticket, or ''.
        leader_id: replica to ask instead, or ''.
    """

    kind: str
    message: str
    fields: tuple[errors.FieldError, ...] = ()
    holder: str = ''
    leader_id: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class TicketPage:
    """An accepted ticket.

    Attributes:
        ticket: the whole ticket.
        digest: SHA-256 of its canonical content.
        revision: revision that accepted it.
        accepted_at_ms: Unix time of acceptance.
        in_force_at_ms: Unix time since which it is in force on every entry,
            or 0.
    """

    ticket: state.Ticket
    digest: str
    revision: int
    accepted_at_ms: int
    in_force_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class TicketSummary:
    """One ticket of the history."""

    number: int
    author: str
    reason: str
    touched: tuple[str, ...]
    revision: int
    accepted_at_ms: int
    in_force_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryPage:
    """Accepted tickets, oldest first."""

    tickets: tuple[TicketSummary, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CheckPage:
    """Result of a check: the ticket would be accepted now."""

    number: int
    touched: tuple[str, ...]
    is_resend: bool


@dataclasses.dataclass(frozen=True, slots=True)
class VmLine:
    """One VM of the fleet page.

    Attributes:
        vm: name of the VM.
        pool: the one pool that it belongs to.
        phase: maintenance phase.
        upstream: up, silent, leaving, or unseen.
        data_centre: where it is, or ''.
        rack: its rack, or ''.
        wave: wave that took it out of service, or ''.
        ticket_number: ticket that allows its pool and phase.
        waiting: what its maintenance waits for, or ''.
    """

    vm: str
    pool: str
    phase: str
    upstream: str
    data_centre: str
    rack: str
    wave: str
    ticket_number: int
    waiting: str


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceLine:
    """Availability of one service against its budget."""

    service: str
    available_vms: int
    out_vms: int
    min_available_vms: int


@dataclasses.dataclass(frozen=True, slots=True)
class EntryLine:
    """One entry with a lease."""

    entry_id: str
    address: str
    confirmed_revision: int
    lease_left_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class FleetPage:
    """The fleet as the leader sees it."""

    revision: int
    confirmed_revision: int
    services: tuple[ServiceLine, ...]
    entries: tuple[EntryLine, ...]
    vms: tuple[VmLine, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class WavePage:
    """Progress of one wave.

    Attributes:
        wave: name of the wave.
        ticket_number: ticket that defines it.
        intent: running, paused or aborted.
        started_at_ms: Unix time of acceptance.
        finished_at_ms: Unix time of the end, or 0.
        stopped_reason: why the system stopped it, or ''.
        done: VMs rebooted and healthy.
        running: VMs that it has taken out of service.
        failed: VMs that did not come back.
        waiting: VMs that it has yet to take out of service.
    """

    wave: str
    ticket_number: int
    intent: str
    started_at_ms: int
    finished_at_ms: int
    stopped_reason: str
    done: tuple[str, ...]
    running: tuple[VmLine, ...]
    failed: tuple[str, ...]
    waiting: tuple[VmLine, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AccountPage:
    """History of a VM, with the ticket behind each event."""

    vm: str
    events: tuple[state.VmEvent, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class MemberPage:
    """One control replica as the leader sees it.

    Attributes:
        is_in_step: whether it answers and holds all committed entries.
        match_index: last log entry that it is known to hold.
        answered_ago_s: time since the leader sent the newest message that it
            answered; 0 for the leader itself, -1 if it has answered none.
    """

    replica_id: str
    address: str
    is_voter: bool
    is_in_step: bool
    match_index: int
    answered_ago_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class MembersPage:
    """Control replicas, and the change of voters in progress.

    Attributes:
        leader_id: replica that leads.
        members: voters and learners.
        wanted: voters that the newest ticket names, or empty.
        waiting: what the change waits for, or ''.
    """

    leader_id: str
    members: tuple[MemberPage, ...]
    wanted: tuple[str, ...]
    waiting: str


@dataclasses.dataclass(frozen=True, slots=True)
class CustomerLine:
    """One customer as the leader sees it; a limit of 0 is none.

    Attributes:
        customer: name of the customer.
        weight: its share relative to other customers.
        running: room that its runs use over all workers.
        limit: largest room that they may use.
        waiting_tasks: its tasks that wait for a worker.
        is_at_limit: whether its limit holds tasks back.
        share_due: share of the room that is due to it beside the customers
            that have work now, 0 if it has none.
        beyond_rate_tasks: waiting tasks of jobs beyond its rate.
        oldest_wait_s: longest time that a step of it has waited.
        refused_jobs: jobs that this leader has refused beyond its rate.
    """

    customer: str
    weight: float
    running: state.Room
    limit: state.Room
    waiting_tasks: int
    is_at_limit: bool
    share_due: float = 0.0
    beyond_rate_tasks: int = 0
    oldest_wait_s: float = 0.0
    refused_jobs: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ControlDump:
    """State of a control process.

    Attributes:
        customers: every customer; empty unless the process leads.
    """

    replica_id: str
    incarnation: str
    role: str
    term: int
    leader_id: str
    commit_index: int
    last_index: int
    snapshot_index: int
    revision: int
    confirmed_revision: int
    has_lease: bool
    storage_fault: str
    rejected_identities: int
    members: tuple[MemberPage, ...]
    entries: tuple[EntryLine, ...]
    ticket_count: int
    vm_count: int
    upstream_count: int
    links: tuple['LinkLine', ...]
    resident_memory_mb: float
    customers: tuple[CustomerLine, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class LinkLine:
    """One outgoing link."""

    peer_id: str
    address: str
    is_connected: bool
    connects: int
    sent_bytes: int
    dropped_messages: int


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamLine:
    """One upstream as an entry sees it."""

    vm: str
    pool: str
    address: str
    state: coordination.UpstreamState
    boot_id: str
    in_flight_count: int
    failures: int
    blocked_for_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class EntryDump:
    """State of an entry process."""

    entry_id: str
    boot_id: str
    data_centre: str
    revision: int
    confirmed_revision: int
    leader_id: str
    lease_left_s: float
    may_serve: bool
    is_leaving: bool
    entries: tuple[str, ...]
    in_flight_count: int
    queued: dict[str, int]
    retry_tokens: float
    upstreams: tuple[UpstreamLine, ...]
    links: tuple[LinkLine, ...]
    resident_memory_mb: float


@dataclasses.dataclass(frozen=True, slots=True)
class AnnouncePage:
    """Answer to an announcement."""

    announce_interval_s: float
    pool: str
    phase: str


@dataclasses.dataclass(frozen=True, slots=True)
class RebootRequest:
    """Request to the platform for a reboot, idempotent by operation_id."""

    operation_id: str
