"""State machine of an entry: fleet copy, upstreams, calls and claims."""

import dataclasses
from typing import Protocol
from typing import TypeVar

from result import Err
from result import Result

from greengagering.coordination.entries._call_model import Assignment
from greengagering.coordination.entries._call_model import Call
from greengagering.coordination.entries._call_model import CallRefusal
from greengagering.coordination.entries._call_model import RefusalReason
from greengagering.coordination.entries import _claim_messages as claim_msgs
from greengagering.coordination.entries._claim_table import ClaimTable
from greengagering.coordination.entries._dispatcher import Dispatcher
from greengagering.coordination.entries._dispatcher import DispatchOptions
from greengagering.coordination.entries import _entry_messages as messages
from greengagering.coordination.entries._follower import FleetFollower
from greengagering.coordination.entries._liveness import Liveness
from greengagering.coordination.entries._liveness import LivenessOptions
from greengagering.coordination.entries._ownership import owner_of
from greengagering.coordination.entries._status_outbox import StatusOutbox
from greengagering.coordination.entries._upstream_table import UpstreamTable
from greengagering import state

Item = TypeVar('Item')
SILENCE_CHECK_INTERVAL_S = 0.2
CLAIM_PURGE_INTERVAL_S = 60.0
PeerMessage = (
    messages.EntryMessage
    | claim_msgs.OutcomeRequest
    | claim_msgs.OutcomeResponse
)
NO_LEASE_REFUSAL = CallRefusal(RefusalReason.NO_LEASE, retry_after_s=1.0)


class EntryRandom(Protocol):
    """Source of an entry's random choices."""

    def sample(self, population: list[Item], k: int) -> list[Item]:
        """Return k distinct members."""
        ...

    def choice(self, seq: list[Item]) -> Item:
        """Return one member."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class EntryIdentity:
    """Identity of an entry's process.

    Attributes:
        entry_id: its name in the settings.
        boot_id: unique name of this process.
        address: where its peers reach it, as host:port.
        data_centre: where it runs.
    """

    entry_id: str
    boot_id: str
    address: str
    data_centre: str


@dataclasses.dataclass(frozen=True, slots=True)
class EntryOptions:
    """Timing and limits of an entry.

    Attributes:
        report_interval_s: longest time between two reports.
        relay_interval_s: time over which heartbeats for other entries are
            batched.
        digest_interval_s: time between two comparisons of the upstream table
            with a peer.
        leader_timeout_s: time without a lease grant after which reports go to
            every control replica.
        liveness: timing of announcements.
        dispatch: limits of the dispatcher.
    """

    report_interval_s: float = 0.3
    relay_interval_s: float = 0.2
    digest_interval_s: float = 2.0
    leader_timeout_s: float = 0.5
    liveness: LivenessOptions = LivenessOptions()
    dispatch: DispatchOptions = DispatchOptions()


@dataclasses.dataclass(frozen=True, slots=True)
class ToControl:
    """A message for the leader, or for every replica if leader_id is ''."""

    leader_id: str
    report: messages.EntryReport | claim_msgs.ClaimRequest


@dataclasses.dataclass(frozen=True, slots=True)
class ToPeer:
    """A message for another entry."""

    entry_id: str
    address: str
    message: PeerMessage


@dataclasses.dataclass(frozen=True, slots=True)
class RefusedCall:
    """A call that was removed from its queue without running."""

    call: Call
    refusal: CallRefusal


@dataclasses.dataclass(frozen=True, slots=True)
class AnnounceReply:
    """Answer to an upstream's announcement.

    Attributes:
        announce_interval_s: time until the next announcement.
        pool: pool that the VM belongs to, or ''.
        phase: maintenance phase, or '' while it belongs to no pool.
    """

    announce_interval_s: float
    pool: str
    phase: str


class EntryCore:
    """Holds an entry's state; the caller passes in messages and the time."""

    def __init__(
        self,
        identity: EntryIdentity,
        random: EntryRandom,
        options: EntryOptions | None = None,
    ) -> None:
        self.identity = identity
        self.options = options or EntryOptions()
        self.follower = FleetFollower(identity.boot_id)
        self.table = UpstreamTable()
        self.liveness = Liveness(self.options.liveness)
        self.dispatcher = Dispatcher(self.table, random, self.options.dispatch)
        self.claims = ClaimTable(identity.boot_id)
        self.refuses_calls = False
        self._random = random
        self._statuses = StatusOutbox()
        self._outbox: list[ToControl | ToPeer] = []
        self._changed: dict[str, messages.Upstream] = {}
        self._relays: dict[str, messages.Heartbeat] = {}
        self._is_report_due = True
        self._is_rebuild_due = False
        self._reported_at_s = float('-inf')
        self._granted_at_s = float('-inf')
        self._relayed_at_s = float('-inf')
        self._digested_at_s = float('-inf')
        self._silence_checked_at_s = float('-inf')
        self._claims_purged_at_s = float('-inf')
        self._owner_candidates: list[str] = [identity.entry_id]
        self._watched: set[str] = set()

    def announce(
        self, upstream: messages.Upstream, in_flight_count: int, now_s: float
    ) -> AnnounceReply:
        """Handle an announcement; one of an earlier boot is only answered."""
        known = self.table.get(upstream.vm)
        if known is not None and upstream.boot_order < known.boot_order:
            return self._reply(upstream.vm)
        if known is None or _changes_upstream(upstream, known):
            self._merge(upstream, now_s, is_local=True)
        self._handle_heartbeat(
            messages.Heartbeat(
                vm=upstream.vm,
                boot_id=upstream.boot_id,
                sequence=upstream.sequence,
                in_flight_count=in_flight_count,
                confirmed_revision=self.follower.confirmed_revision,
            ),
            now_s,
        )
        return self._reply(upstream.vm)

    def receive(
        self, sender: str, message: messages.EntryMessage, now_s: float
    ) -> None:
        """Handle a message of the leader or of another entry."""
        match message:
            case messages.LeaseGrant():
                self._on_grant(message, now_s)
            case messages.FeedDelta() | messages.FeedSnapshot():
                self._on_feed(message)
            case messages.HeartbeatBatch():
                for heartbeat in message.heartbeats:
                    self._handle_heartbeat(heartbeat, now_s)
            case messages.UpstreamChanges():
                for upstream in message.upstreams:
                    self._merge(upstream, now_s, is_local=False)
            case messages.TableDigest():
                self._answer_digest(sender, message)

    def step(self, now_s: float) -> None:
        """Check for silent upstreams, and queue the messages that are due."""
        if now_s >= self._silence_checked_at_s + SILENCE_CHECK_INTERVAL_S:
            self._silence_checked_at_s = now_s
            self._check_silence(now_s)
        self._send_changes()
        self._send_relays(now_s)
        self._send_digest(now_s)
        if self._is_rebuild_due:
            self._is_rebuild_due = False
            self.dispatcher.rebuild(self.follower.fleet)
        self._send_claims(now_s)
        self._send_report(now_s)

    def submit(
        self, call: Call, now_s: float
    ) -> Result[Assignment | None, CallRefusal]:
        """Assign a slot to a call, queue it, or refuse it.

        A call starts only while this entry holds a lease, even if it was
        admitted under an earlier one. Without a lease, the fleet may have
        changed, and the leader relies on no more calls starting here.
        """
        if not self.follower.has_lease(now_s):
            return Err(NO_LEASE_REFUSAL)
        return self.dispatcher.submit(call, now_s)

    def assign_waiting(self, now_s: float) -> list[Assignment]:
        """Assign free slots to waiting calls."""
        if not self.follower.has_lease(now_s):
            return []
        return self.dispatcher.assign_waiting(now_s)

    def refuse_waiting(self, now_s: float) -> list[RefusedCall]:
        """Remove and return waiting calls that can no longer start."""
        refused = [
            RefusedCall(call, CallRefusal(RefusalReason.DEADLINE_PASSED))
            for call in self.dispatcher.expire(now_s)
        ]
        if not self.follower.has_lease(now_s):
            refused += [
                RefusedCall(call, NO_LEASE_REFUSAL)
                for call in self.dispatcher.drop_waiting()
            ]
        return refused

    def stop_admitting(self) -> None:
        """Admit no new call; keep the lease for calls that wait or run."""
        self.refuses_calls = True

    def leave(self, now_s: float) -> None:
        """Give the lease back; no call may start after this."""
        self.refuses_calls = True
        self.follower.is_lease_returned = True
        self._is_report_due = True
        self._send_report(now_s)

    def may_serve(self, now_s: float) -> bool:
        """Return whether new calls may be admitted."""
        return not self.refuses_calls and self.follower.has_lease(now_s)

    def take_outbox(self) -> list[ToControl | ToPeer]:
        """Return and clear the messages to send."""
        outbox = self._outbox
        self._outbox = []
        return outbox

    def busy_vms(self) -> tuple[str, ...]:
        """Return VMs out of service with calls of this entry in flight."""
        fleet = self.follower.fleet
        return tuple(
            vm for vm in sorted(fleet.out_vms) if self.dispatcher.in_flight(vm)
        )

    def _answer_digest(
        self, sender: str, digest: messages.TableDigest
    ) -> None:
        """Send a peer the upstreams that its table may lack."""
        differing = self.table.differing(digest)
        if differing:
            self._send(sender, messages.UpstreamChanges(tuple(differing)))

    def _reply(self, vm_name: str) -> AnnounceReply:
        vm = self.follower.fleet.vms.get(vm_name)
        return AnnounceReply(
            announce_interval_s=self.options.liveness.announce_interval_s,
            pool=vm.pool if vm else '',
            phase=vm.phase if vm else '',
        )

    def _merge(
        self, upstream: messages.Upstream, now_s: float, *, is_local: bool
    ) -> None:
        if not self.table.merge(upstream):
            return
        self._is_rebuild_due = True
        if is_local:
            self._changed[upstream.vm] = upstream
        if self._is_owner(upstream.vm):
            self._watch(upstream, now_s)

    def _watch(self, upstream: messages.Upstream, now_s: float) -> None:
        """Start the silence timeout of an upstream that this entry owns."""
        self.liveness.watch(
            upstream.vm, upstream.boot_id, upstream.sequence, now_s
        )
        self._watched.add(upstream.vm)
        self._statuses.queue(upstream.vm)

    def _is_owner(self, vm: str) -> bool:
        return owner_of(vm, self._owner_candidates) == self.identity.entry_id

    def _handle_heartbeat(
        self, heartbeat: messages.Heartbeat, now_s: float
    ) -> None:
        if not self._is_owner(heartbeat.vm):
            self._relays[heartbeat.vm] = heartbeat
            return
        is_new = self.liveness.record(
            heartbeat.vm,
            heartbeat.boot_id,
            heartbeat.sequence,
            heartbeat.in_flight_count,
            heartbeat.confirmed_revision,
            now_s,
        )
        if not is_new:
            return
        self._watched.add(heartbeat.vm)
        if heartbeat.vm in self.follower.fleet.out_vms:
            self._statuses.queue(heartbeat.vm)
        known = self.table.get(heartbeat.vm)
        if known is not None and _ends_silence(known, heartbeat):
            updated = dataclasses.replace(
                known,
                state=messages.UpstreamState.UP,
                sequence=heartbeat.sequence,
            )
            self._merge(updated, now_s, is_local=True)

    def _check_silence(self, now_s: float) -> None:
        for vm in list(self._watched):
            known = self.table.get(vm)
            if known is None or not self.liveness.is_silent(vm, now_s):
                continue
            self._watched.discard(vm)
            self._statuses.queue(vm)
            if known.state is messages.UpstreamState.UP:
                latest = self.liveness.get(vm)
                sequence = latest.sequence if latest else known.sequence
                silent = dataclasses.replace(
                    known,
                    state=messages.UpstreamState.SILENT,
                    sequence=max(known.sequence, sequence),
                )
                self._merge(silent, now_s, is_local=True)

    def _on_grant(self, grant: messages.LeaseGrant, now_s: float) -> None:
        self._granted_at_s = now_s
        is_new_leader = self.follower.apply_grant(grant)
        if is_new_leader:
            for vm in self._watched:
                self._statuses.queue(vm)
        else:
            self._statuses.acknowledge(grant.report_sent_at_s)
        self._update_ownership(now_s)

    def _update_ownership(self, now_s: float) -> None:
        """Recompute the owned upstreams if the live entries have changed."""
        entries = sorted(
            {entry.entry_id for entry in self.follower.entries}
            | {self.identity.entry_id}
        )
        if entries == self._owner_candidates:
            return
        self._owner_candidates = entries
        for upstream in self.table.all():
            if not self._is_owner(upstream.vm):
                self._watched.discard(upstream.vm)
                self.liveness.forget(upstream.vm)
                continue
            self._watch(upstream, now_s)

    def _on_feed(
        self, message: messages.FeedDelta | messages.FeedSnapshot
    ) -> None:
        if isinstance(message, messages.FeedDelta):
            is_applied = self.follower.apply_delta(message)
        else:
            is_applied = self.follower.apply_snapshot(message)
        if is_applied:
            self._on_new_revision()

    def _on_new_revision(self) -> None:
        self._is_rebuild_due = True
        self._is_report_due = True
        for vm in self.follower.fleet.out_vms & self._watched:
            self._statuses.queue(vm)

    def _send(self, entry_id: str, message: PeerMessage) -> bool:
        """Queue a message for a live entry; return False for any other."""
        for entry in self.follower.entries:
            if entry.entry_id == entry_id:
                self._outbox.append(ToPeer(entry_id, entry.address, message))
                return True
        return False

    def _peers(self) -> list[str]:
        own = self.identity.entry_id
        return [
            entry.entry_id
            for entry in self.follower.entries
            if entry.entry_id != own
        ]

    def _send_changes(self) -> None:
        if not self._changed:
            return
        changes = messages.UpstreamChanges(tuple(self._changed.values()))
        self._changed.clear()
        for peer in self._peers():
            self._send(peer, changes)

    def _send_relays(self, now_s: float) -> None:
        due_s = self._relayed_at_s + self.options.relay_interval_s
        if not self._relays or now_s < due_s:
            return
        self._relayed_at_s = now_s
        by_owner: dict[str, list[messages.Heartbeat]] = {}
        for heartbeat in self._relays.values():
            owner = owner_of(heartbeat.vm, self._owner_candidates)
            by_owner.setdefault(owner, []).append(heartbeat)
        self._relays.clear()
        for owner, heartbeats in by_owner.items():
            self._send(owner, messages.HeartbeatBatch(tuple(heartbeats)))

    def _send_digest(self, now_s: float) -> None:
        if now_s < self._digested_at_s + self.options.digest_interval_s:
            return
        peers = self._peers()
        if not peers:
            return
        self._digested_at_s = now_s
        self._send(self._random.choice(peers), self.table.digest())

    def lists_entries_since(self, since_s: float) -> bool:
        """Return whether the list of live entries is newer than a time.

        A newer list holds every entry that had a lease at that time and still
        has it.
        """
        return self.follower.entries_known_at_s >= since_s

    def request_outcome(self, holder: state.Claim, key_id: str) -> bool:
        """Ask a claim's holder for the outcome if it is a live entry.

        Returns:
            Whether it is one, by the list that the leader sent last.
        """
        request = claim_msgs.OutcomeRequest(
            self.identity.entry_id,
            self.identity.address,
            holder.boot_id,
            key_id,
        )
        return self._send(holder.entry_id, request)

    def _send_claims(self, now_s: float) -> None:
        requests = self.claims.take_due_requests(now_s)
        if requests:
            request = claim_msgs.ClaimRequest(
                self.identity.entry_id,
                self.identity.boot_id,
                self.identity.address,
                requests,
            )
            self._outbox.append(ToControl(self._leader(now_s), request))
        for outcome in self.claims.take_outcomes():
            requester = outcome.request
            self._outbox.append(
                ToPeer(requester.entry_id, requester.address, outcome.response)
            )
        if now_s >= self._claims_purged_at_s + CLAIM_PURGE_INTERVAL_S:
            self._claims_purged_at_s = now_s
            self.claims.forget_old(now_s)

    def _leader(self, now_s: float) -> str:
        """Return the leader, or '' while it is not known."""
        timeout_s = self.options.leader_timeout_s
        is_known = now_s < self._granted_at_s + timeout_s
        return self.follower.leader_id if is_known else ''

    def _send_report(self, now_s: float) -> None:
        due_s = self._reported_at_s + self.options.report_interval_s
        is_due = self._is_report_due or self._statuses.has_unsent()
        if not is_due and now_s < due_s:
            return
        if now_s >= due_s:
            self._queue_out_vms()
        self._is_report_due = False
        self._reported_at_s = now_s
        report = messages.EntryReport(
            entry_id=self.identity.entry_id,
            boot_id=self.identity.boot_id,
            address=self.identity.address,
            applied_revision=self.follower.revision,
            sent_at_s=now_s,
            busy_vms=self.busy_vms(),
            statuses=tuple(self._collect_statuses(now_s)),
            is_leaving=self.follower.is_lease_returned,
            entries_digest=messages.digest_entries(self.follower.entries),
        )
        self._outbox.append(ToControl(self._leader(now_s), report))

    def _queue_out_vms(self) -> None:
        """Queue the statuses of VMs in maintenance, changed or not."""
        for vm in self.follower.fleet.out_vms:
            if self._is_owner(vm):
                self._statuses.queue(vm)

    def _collect_statuses(self, now_s: float) -> list[messages.UpstreamStatus]:
        statuses = []
        for vm in self._statuses.take(now_s):
            upstream = self.table.get(vm)
            if upstream is None:
                continue
            latest = self.liveness.get(vm)
            statuses.append(
                messages.UpstreamStatus(
                    upstream=upstream,
                    in_flight_count=latest.in_flight_count if latest else 0,
                    idle_revision=latest.idle_revision if latest else 0,
                    silent_for_s=self.liveness.silent_for_s(vm, now_s),
                )
            )
        return statuses


def _changes_upstream(
    upstream: messages.Upstream, known: messages.Upstream
) -> bool:
    """Return whether an announcement differs in more than its sequence."""
    return upstream != dataclasses.replace(known, sequence=upstream.sequence)


def _ends_silence(
    known: messages.Upstream, heartbeat: messages.Heartbeat
) -> bool:
    """Return whether a heartbeat shows that a silent boot is up again."""
    return (
        known.state is messages.UpstreamState.SILENT
        and known.boot_id == heartbeat.boot_id
        and known.sequence < heartbeat.sequence
    )
