"""Messages between control replicas and entries, and among entries."""

import dataclasses
import enum
import zlib

from greengagering import state


class UpstreamState(enum.StrEnum):
    """State of an upstream's boot, as entries know it."""

    UP = 'up'
    SILENT = 'silent'
    LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """One boot of an upstream; the value that entries replicate.

    An upstream is the server on a VM that answers calls; each of its boots has
    a boot_id of its own.

    Attributes:
        vm: VM that the upstream runs on.
        pool: pool that it announces.
        address: where it serves calls, as host:port.
        facts: its size and location.
        boot_id: name of this boot.
        boot_started_at_ms: Unix time of the boot by its own clock; orders
            the boots of one VM.
        sequence: number of the announcement that last changed this value.
        state: up, silent or leaving.
    """

    vm: str
    pool: str
    address: str
    facts: state.VmFacts
    boot_id: str
    boot_started_at_ms: int
    sequence: int
    state: UpstreamState

    @property
    def boot_order(self) -> tuple[int, str]:
        """Key that orders the boots of one VM, the latest last."""
        return self.boot_started_at_ms, self.boot_id


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """An announcement without changes, relayed to the owner entry.

    Attributes:
        vm: VM of the upstream.
        boot_id: its boot.
        sequence: number of the announcement.
        in_flight_count: calls in flight there by the upstream's own count.
        confirmed_revision: newest revision known to be in force on every
            entry when the announcement arrived.
    """

    vm: str
    boot_id: str
    sequence: int
    in_flight_count: int
    confirmed_revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatBatch:
    """Heartbeats that one entry received and relays to their owner entry."""

    heartbeats: tuple[Heartbeat, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamChanges:
    """Upstreams whose replicated values changed."""

    upstreams: tuple[Upstream, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TableDigest:
    """Hashes of an entry's table by bucket, to find what a peer lacks."""

    buckets: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamStatus:
    """An upstream's value and drain progress, for the leader.

    Attributes:
        upstream: its replicated value.
        in_flight_count: calls in flight there by the upstream's own count.
        idle_revision: newest revision that was in force on every entry
            before the upstream built an announcement that reported no call
            in flight, or 0.
        silent_for_s: time since its last announcement if that exceeds the
            silence timeout, or 0.
    """

    upstream: Upstream
    in_flight_count: int
    idle_revision: int
    silent_for_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class EntryReport:
    """Periodic report of an entry to the control replicas.

    Attributes:
        entry_id: the entry.
        boot_id: its process.
        address: where its peers reach it, as host:port.
        applied_revision: revision that it applies to new calls.
        sent_at_s: entry's clock at the send, echoed by the lease grant.
        busy_vms: VMs out of service with calls of this entry in flight.
        statuses: upstreams that changed or are out of service.
        is_leaving: whether the entry starts no more calls and needs no lease.
        entries_digest: digest of the live entries that it knows.
    """

    entry_id: str
    boot_id: str
    address: str
    applied_revision: int
    sent_at_s: float
    busy_vms: tuple[str, ...]
    statuses: tuple[UpstreamStatus, ...]
    is_leaving: bool = False
    entries_digest: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class EntryAddress:
    """Name and address of a live entry."""

    entry_id: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseGrant:
    """The leader's answer to an EntryReport.

    Attributes:
        leader_id: leader that grants the lease.
        term: its term.
        entry_boot_id: process that the lease is for.
        report_sent_at_s: sent_at_s of the report, when the lease starts.
        duration_s: how long the entry may serve new calls.
        confirmed_revision: newest revision in force on every entry.
        entries: entries with a lease, or None where the receiver knows them
            already.
        is_complete: whether every entry with a lease is among them; a new
            leader knows only those that have reported to it.
    """

    leader_id: str
    term: int
    entry_boot_id: str
    report_sent_at_s: float
    duration_s: float
    confirmed_revision: int
    entries: tuple[EntryAddress, ...] | None
    is_complete: bool


def digest_entries(entries: tuple[EntryAddress, ...]) -> int:
    """Return a checksum by which two processes compare the live entries."""
    text = ','.join(f'{e.entry_id}={e.address}' for e in entries)
    return zlib.crc32(text.encode())


@dataclasses.dataclass(frozen=True, slots=True)
class FeedRecord:
    """A committed record that entries follow."""

    revision: int
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class FeedDelta:
    """Records that lead from one revision to another."""

    from_revision: int
    to_revision: int
    records: tuple[FeedRecord, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class FeedSnapshot:
    """The whole fleet state, for an entry too far behind for deltas."""

    revision: int
    data: bytes


ControlMessage = EntryReport
EntryMessage = (
    LeaseGrant
    | FeedDelta
    | FeedSnapshot
    | HeartbeatBatch
    | UpstreamChanges
    | TableDigest
)
