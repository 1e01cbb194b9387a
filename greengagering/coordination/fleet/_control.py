"""Decisions of a control replica: tickets, leases, feed and waves."""

import dataclasses

from result import Err
from result import Ok
from result import Result

from greengagering.coordination.agreement import _membership
from greengagering.coordination.agreement._replacement import MemberReplacement
from greengagering.coordination.agreement._replica import Replica
from greengagering.coordination.capacity import MachineManager
from greengagering.coordination.entries import _claim_messages as claim_msgs
from greengagering.coordination.entries import _entry_messages as entry_msgs
from greengagering.coordination.entries._entry_sessions import EntrySession
from greengagering.coordination.entries._entry_sessions import EntrySessions
from greengagering.coordination.entries._entry_sessions import LeaseOptions
from greengagering.coordination.entries._feed import Feed
from greengagering.coordination import errors
from greengagering.coordination.fleet import _waves
from greengagering.coordination.jobs import DueClock
from greengagering.coordination.scheduling import JobScheduler
from greengagering import state

SNAPSHOT_EVERY_ENTRIES = 1000
PURGE_INTERVAL_MS = 60_000
DECISION_INTERVAL_S = 1.0
"""Longest time between two wave decisions; timeouts expire without any event
that would trigger one."""

REBUILD_INTERVAL_S = 60.0
"""Least time between two terms that a leader ends after an error, which each
term may meet again: jobs run meanwhile, except for what the error concerns."""

_NOT_IN_FEED = (
    state.InForceMarked,
    state.ClaimsAsked,
    state.ClaimsPurged,
    *state.JOB_RECORD_TYPES,
)
"""Records that entries don't need, so that the feed omits their content."""


@dataclasses.dataclass(frozen=True, slots=True)
class EntryOutgoing:
    """A message to send to an entry."""

    entry_id: str
    address: str
    message: entry_msgs.EntryMessage | claim_msgs.ClaimResponse


@dataclasses.dataclass(frozen=True, slots=True)
class TicketOutcome:
    """Outcome of a proposed ticket.

    Attributes:
        index: log index of the proposal.
        term: term in which it was proposed.
        result: the ticket's entry in the history, or the refusal.
    """

    index: int
    term: int
    result: Result[state.TicketEntry, state.Refusal]


@dataclasses.dataclass(frozen=True, slots=True)
class LogPosition:
    """Position in the log of a proposed ticket or record."""

    index: int
    term: int


class ControlCore:
    """Applies the committed log, and controls the fleet while it leads.

    The caller passes in messages and the time, calls step, and then collects
    the outboxes, the outcomes and the reboot orders.
    """

    def __init__(
        self,
        replica: Replica,
        lease_options: LeaseOptions,
        now_s: float,
        member_replacement: MemberReplacement | None = None,
    ) -> None:
        self.replica = replica
        self.member_replacement = member_replacement
        self.lease_options = lease_options
        self.state = state.ControlState()
        self.jobs = JobScheduler(self.state.jobs)
        self.machine_manager = MachineManager(
            self.jobs, replica.identity.replica_id
        )
        self.feed = Feed()
        self.sessions: EntrySessions | None = None
        self.statuses: dict[str, entry_msgs.UpstreamStatus] = {}
        self.decisions = _waves.WaveDecisions()
        self.confirmed_revision = 0
        self.applied_entries = 0
        self.membership_waiting = ''
        self._snapshot_due_index = SNAPSHOT_EVERY_ENTRIES
        self._outcomes: list[TicketOutcome] = []
        self._awaited_positions: set[LogPosition] = set()
        self._applied_positions: list[LogPosition] = []
        self._now_s = now_s
        self._now_ms = 0
        self._due_clock = DueClock()
        self._entry_outbox: list[EntryOutgoing] = []
        self._sessions_term = 0
        self._term_start_revision = 0
        self._own_proposal_index = 0
        self._pending_reports: dict[str, state.VmReported] = {}
        self._is_join_scan_due = False
        self._claim_addresses: dict[str, str] = {}
        self._is_decision_due = True
        self._decided_at_s = now_s
        self._is_rebuild_due = False
        self._resigned_at_s = float('-inf')
        if replica.log.snapshot is not None:
            self._load_snapshot(replica.log.snapshot)
        self._apply_committed()

    def submit(
        self, ticket: state.Ticket, received_at_ms: int, now_s: float
    ) -> Result[
        LogPosition | state.TicketEntry,
        state.Refusal | errors.CoordinationError,
    ]:
        """Propose a ticket, unless its outcome is known already.

        Returns:
            The position in the log to wait for; for a resent ticket, its
            entry in the history; a refusal; or NotLeaderError or
            OverloadedError.
        """
        digest = state.ticket_digest(ticket)
        early = state.check_ticket(self.state, ticket, digest)
        if isinstance(early, Ok) and early.ok_value.earlier is not None:
            return Ok(early.ok_value.earlier)
        if not self.replica.has_lease(now_s):
            return Err(errors.NotLeaderError(self.replica.leader_id))
        if isinstance(early, Err):
            return early
        refusal = _membership.find_quorum_risk(self.replica, ticket, now_s)
        if refusal is not None:
            return Err(refusal)
        record = state.TicketSubmitted(ticket, digest, received_at_ms)
        proposed = self.replica.propose(state.encode_record(record))
        if isinstance(proposed, Err):
            return proposed
        return Ok(LogPosition(proposed.ok_value, self.replica.term))

    def read_state(
        self, now_s: float
    ) -> Result[state.ControlState, errors.NotLeaderError]:
        """Return the committed state, or an error without the leader's lease.

        The lease rules out that another leader has committed newer state.
        """
        if not self.replica.has_lease(now_s):
            return Err(errors.NotLeaderError(self.replica.leader_id))
        return Ok(self.state)

    def handle_entry_report(
        self, report: entry_msgs.EntryReport, now_s: float
    ) -> None:
        """Answer an entry's report with a lease and the feed while leading."""
        if not self.replica.has_lease(now_s):
            return
        self._apply_committed()
        self._follow_term(now_s)
        if self.sessions is None:
            return
        for status in report.statuses:
            self._update_status(status)
        # A revision that is in force must stay in force on every entry, so an
        # entry that returns with an older one gets the feed first, and a
        # lease only after it has caught up.
        is_caught_up = report.applied_revision >= self._min_lease_revision()
        outcome = self.sessions.handle_report(
            report, self.feed.record_revision, now_s, is_caught_up=is_caught_up
        )
        if outcome.is_granted:
            self._grant_lease(outcome.session, report, now_s)
        if not report.is_leaving:
            self._send_feed(outcome.session, now_s)

    def handle_claim_request(
        self, request: claim_msgs.ClaimRequest, now_s: float, now_ms: int
    ) -> None:
        """Propose an entry's claims; they are answered once committed."""
        if not self.replica.has_lease(now_s):
            return
        self._claim_addresses[request.entry_id] = request.address
        asked = state.ClaimsAsked(
            request.entry_id, request.boot_id, request.asks, now_ms
        )
        self.replica.propose(state.encode_record(asked))

    def propose_job_record(
        self, record: state.JobRecord, now_s: float
    ) -> Result[LogPosition, errors.CoordinationError]:
        """Propose a record about jobs or workers.

        Returns:
            Its position in the log. take_applied returns it once the record
            is committed and applied; it never does if another leader's
            record is committed at that position.
        """
        if not self.replica.has_lease(now_s):
            return Err(errors.NotLeaderError(self.replica.leader_id))
        proposed = self.replica.propose(state.encode_record(record))
        if isinstance(proposed, Err):
            return proposed
        position = LogPosition(proposed.ok_value, self.replica.term)
        self._awaited_positions.add(position)
        return Ok(position)

    def take_applied(self) -> list[LogPosition]:
        """Return and clear the positions of awaited, now applied records."""
        applied = self._applied_positions
        self._applied_positions = []
        return applied

    def step(self, now_s: float, now_ms: int) -> None:
        """Apply committed entries, and do what is due at this time."""
        self._now_s = now_s
        self._now_ms = self._due_clock.read_ms(now_s, now_ms)
        self.replica.tick(now_s)
        self._apply_committed()
        self._follow_term(now_s)
        self._propose_job_records()
        self.replica.flush(now_s)
        self._apply_committed()
        self._follow_term(now_s)
        if self.sessions is None or not self.replica.has_lease(now_s):
            self.decisions = _waves.WaveDecisions()
            return
        self._feed_entries(now_s)
        self._advance_confirmed(now_s)
        # Decide again only after the replica's own proposals are applied, so
        # that each decision sees the effect of the earlier ones.
        if self.replica.delivered_index >= self._own_proposal_index:
            self._mark_in_force(now_ms)
            self._propose_changes(now_s, now_ms)
        self.replica.flush(now_s)
        self._apply_committed()
        self._feed_entries(now_s)

    def _propose_job_records(self) -> None:
        """Propose the decisions on jobs and machines while the lease holds."""
        if not self.jobs.is_leading or not self.replica.has_lease(self._now_s):
            return
        if self._is_rebuild_due and (
            self._now_s >= self._resigned_at_s + REBUILD_INTERVAL_S
        ):
            self._resign('a record was not followed')
            return
        records = self.jobs.step(self._now_s, self._now_ms)

        def step_machines() -> None:
            now_s, now_ms = self._now_s, self._now_ms
            records.extend(self.machine_manager.step(now_s, now_ms))

        self.jobs.run_part(step_machines)
        records += self.jobs.take_proposals()
        for record in records:
            try:
                payload = state.encode_record(record)
            except Exception as error:
                # Each later term would meet the same record.
                self._log_unproposed(record, error)
                continue
            proposed = self.replica.propose(payload)
            if isinstance(proposed, Err):
                # The decision is lost, so the scheduling state must be rebuilt
                # from the committed state. Workers may still carry out orders
                # of this term, which a rebuild in the same term would take for
                # a former leader's. Resigning makes a new term begin.
                self._resign(str(proposed.err_value))
                return

    def _log_unproposed(
        self, record: state.JobRecord, error: Exception
    ) -> None:
        self.jobs.log_decision(
            'record_unproposed',
            record=type(record).__name__,
            cause=repr(error),
        )

    def _resign(self, cause: str) -> None:
        """End this term, so that the next one rebuilds what only it knows."""
        self.jobs.log_decision(
            'lead_resigned', term=self.replica.term, cause=cause
        )
        self._resigned_at_s = self._now_s
        self.replica.resign(self._now_s)
        self._follow_term(self._now_s)

    def compact(self, now_s: float) -> None:
        """Write a snapshot of the applied state and drop the log before it."""
        self._snapshot_due_index = (
            self.replica.delivered_index + SNAPSHOT_EVERY_ENTRIES
        )
        self.replica.compact(state.encode(self.state), now_s)

    def is_compaction_due(self) -> bool:
        """Tell whether enough entries were applied since the last snapshot."""
        return self.replica.delivered_index >= self._snapshot_due_index

    def take_outcomes(self) -> list[TicketOutcome]:
        """Return and clear the outcomes of proposed tickets."""
        outcomes = self._outcomes
        self._outcomes = []
        return outcomes

    def take_entry_outbox(self) -> list[EntryOutgoing]:
        """Return and clear the messages to entries."""
        outbox = self._entry_outbox
        self._entry_outbox = []
        return outbox

    def view(self, now_s: float, now_ms: int) -> _waves.FleetView:
        """Return the input of wave decisions."""
        busy: frozenset[str] = frozenset()
        if self.sessions is not None:
            busy = busy.union(*(s.busy_vms for s in self.sessions.live(now_s)))
        return _waves.FleetView(
            fleet=self.state.fleet,
            statuses=self.statuses,
            confirmed_revision=self.confirmed_revision,
            busy_vms=busy,
            now_ms=now_ms,
        )

    def _follow_term(self, now_s: float) -> None:
        """Reset the leader's volatile state when its term begins or ends.

        A leader is established once it has applied the first entry of its
        term, and thereby everything that former leaders committed.
        """
        start_index = self.replica.term_start_index
        is_established = self.replica.delivered_index >= start_index
        if not self.replica.is_leader or not is_established:
            self.sessions = None
            self._sessions_term = 0
            self._awaited_positions.clear()
            self.jobs.stop_leading()
            return
        if self._sessions_term == self.replica.term:
            return
        self._sessions_term = self.replica.term
        self._is_rebuild_due = False
        self.sessions = EntrySessions(self.lease_options, now_s)
        self.jobs.start_leading(
            self.replica.term,
            now_s,
            self._now_ms,
            leaderless_s=self.replica.leaderless_s(now_s),
        )
        self.statuses.clear()
        self._pending_reports.clear()
        self._own_proposal_index = 0
        self.confirmed_revision = 0
        self._term_start_revision = self.feed.record_revision

    def _min_lease_revision(self) -> int:
        """Return the lowest revision at which an entry gets a lease.

        Former leaders may have based decisions on anything that was in the
        log before this term, such as a drain that every entry confirmed. An
        entry that has applied every record in the feed is up to date, although
        other records raise the log's revision further.
        """
        floor = max(self.confirmed_revision, self._term_start_revision)
        return min(floor, self.feed.record_revision)

    def _load_snapshot(self, snapshot: state.Snapshot) -> None:
        self.state = state.decode(snapshot.data, state.ControlState)
        self.jobs.jobs = self.state.jobs
        self.feed.reset(snapshot.index)

    def _apply_committed(self) -> None:
        installed = self.replica.take_installed()
        if installed is not None:
            self._load_snapshot(installed)
        for entry in self.replica.take_committed():
            self.applied_entries += 1
            if self._awaited_positions:
                self._collect_applied(entry)
            if entry.kind is state.EntryKind.COMMAND:
                self._apply_command(entry)
            else:
                self.state.fleet.revision = entry.index
                self.feed.append(entry.index, None)

    def _collect_applied(self, entry: state.LogEntry) -> None:
        position = LogPosition(entry.index, entry.term)
        if position in self._awaited_positions:
            self._awaited_positions.discard(position)
            self._applied_positions.append(position)

    def _apply_command(self, entry: state.LogEntry) -> None:
        record = state.decode_record(entry.payload)
        self._is_decision_due = True
        outcome = state.apply_to_control(self.state, entry.index, record)
        has_changed = isinstance(outcome, Ok) and isinstance(
            outcome.ok_value, state.Applied
        )
        is_for_entries = has_changed and not isinstance(record, _NOT_IN_FEED)
        self.feed.append(
            entry.index, entry.payload if is_for_entries else None
        )
        if isinstance(record, state.TicketSubmitted):
            # VMs reported before the ticket may match one of its new pools.
            self._is_join_scan_due |= bool(record.ticket.pools)
            self._collect_outcome(entry, record, outcome)
        if isinstance(record, state.VmReported):
            self._pending_reports.pop(record.vm, None)
        if isinstance(record, state.ClaimsAsked):
            self._answer_claims(record, outcome)
        if isinstance(record, state.JOB_RECORD_TYPES):
            self._follow_job_record(record)

    def _follow_job_record(self, record: state.JobRecord) -> None:
        """Let the leader's parts follow an applied record.

        After an error, what they know may lack a part of the record, so a new
        term has to rebuild it; but not again soon, as it may meet the same
        error.
        """
        is_followed = self.jobs.run_part(
            self.jobs.handle_applied, record, self._now_s, self._now_ms
        )
        is_followed &= self.jobs.run_part(
            self.machine_manager.handle_applied, record, self._now_s
        )
        if not is_followed:
            self._is_rebuild_due = True

    def _answer_claims(
        self, record: state.ClaimsAsked, outcome: state.Outcome
    ) -> None:
        address = self._claim_addresses.get(record.entry_id)
        applied = outcome.ok_value if isinstance(outcome, Ok) else None
        if address is None or not isinstance(applied, state.Applied):
            return
        response = claim_msgs.ClaimResponse(
            record.boot_id, applied.claim_answers
        )
        self._entry_outbox.append(
            EntryOutgoing(record.entry_id, address, response)
        )

    def _collect_outcome(
        self,
        entry: state.LogEntry,
        record: state.TicketSubmitted,
        outcome: state.Outcome,
    ) -> None:
        if isinstance(outcome, Err):
            result: Result[state.TicketEntry, state.Refusal] = outcome
        else:
            result = Ok(self.state.history[record.ticket.number])
        self._outcomes.append(TicketOutcome(entry.index, entry.term, result))

    def _grant_lease(
        self,
        session: EntrySession,
        report: entry_msgs.EntryReport,
        now_s: float,
    ) -> None:
        assert self.sessions is not None
        entries = self.sessions.addresses(now_s)
        digest = entry_msgs.digest_entries(entries)
        grant = entry_msgs.LeaseGrant(
            leader_id=self.replica.identity.replica_id,
            term=self.replica.term,
            entry_boot_id=report.boot_id,
            report_sent_at_s=report.sent_at_s,
            duration_s=self.lease_options.duration_s,
            confirmed_revision=self.confirmed_revision,
            entries=None if digest == report.entries_digest else entries,
            is_complete=self.sessions.is_complete(now_s),
        )
        self._send_entry(session, grant)

    def _feed_entries(self, now_s: float) -> None:
        if self.sessions is None:
            return
        for session in self.sessions.live(now_s):
            self._send_feed(session, now_s)

    def _send_feed(self, session: EntrySession, now_s: float) -> None:
        message = self.feed.since(session.sent_revision, self.state.fleet)
        if message is None:
            return
        if isinstance(message, entry_msgs.FeedDelta):
            session.sent_revision = message.to_revision
        else:
            session.sent_revision = message.revision
        session.sent_at_s = now_s
        self._send_entry(session, message)

    def _send_entry(
        self, session: EntrySession, message: entry_msgs.EntryMessage
    ) -> None:
        self._entry_outbox.append(
            EntryOutgoing(session.entry_id, session.address, message)
        )

    def _advance_confirmed(self, now_s: float) -> None:
        assert self.sessions is not None
        applied = self.state.fleet.revision
        confirmed = self.sessions.confirmed_revision(now_s, applied)
        if confirmed > self.confirmed_revision:
            self.confirmed_revision = confirmed
            self._is_decision_due = True

    def _mark_in_force(self, now_ms: int) -> None:
        waiting = self._oldest_waiting_revision()
        if waiting and self.confirmed_revision >= waiting:
            self._propose(state.InForceMarked(self.confirmed_revision, now_ms))

    def _oldest_waiting_revision(self) -> int:
        """Return the revision of the oldest ticket not in force yet, or 0."""
        oldest = 0
        for entry in reversed(self.state.history.values()):
            if entry.in_force_at_ms:
                break
            oldest = entry.revision
        return oldest

    def _propose_changes(self, now_s: float, now_ms: int) -> None:
        """Propose the records for claims, waves, members and VM reports."""
        if self._is_join_scan_due:
            self._is_join_scan_due = False
            for status in self.statuses.values():
                self._queue_vm_report(status.upstream)
        self._purge_claims(now_ms)
        self._decide(now_s, now_ms)
        self._reconcile_members(now_s)
        for report in self._pending_reports.values():
            self._propose(dataclasses.replace(report, at_ms=now_ms))

    def _reconcile_members(self, now_s: float) -> None:
        """Propose the next change of members: by tickets or replacement."""
        wanted = self.state.fleet.control
        if self.member_replacement is not None and not wanted:
            step = self.member_replacement.next_step(self.replica, now_s)
        else:
            step = _membership.next_step(self.replica, wanted, now_s)
        self.membership_waiting = step.waiting
        if step.wanted is None:
            return
        proposed = self.replica.propose_membership(step.wanted, now_s)
        if isinstance(proposed, Err):
            self.membership_waiting = str(proposed.err_value)
        else:
            self._own_proposal_index = proposed.ok_value

    def _purge_claims(self, now_ms: int) -> None:
        oldest = next(iter(self.state.claims.values()), None)
        if oldest is None:
            return
        before_ms = now_ms - state.CLAIM_RETENTION_MS
        # Claims are purged in batches: one record for a minute of claims.
        if oldest.claimed_at_ms < before_ms - PURGE_INTERVAL_MS:
            self._propose(state.ClaimsPurged(before_ms))

    def _decide(self, now_s: float, now_ms: int) -> None:
        """Decide on waves after a change, and every DECISION_INTERVAL_S."""
        if not self._has_wave_work():
            self.decisions = _waves.WaveDecisions()
            return
        is_due = now_s >= self._decided_at_s + DECISION_INTERVAL_S
        if not self._is_decision_due and not is_due:
            return
        self._is_decision_due = False
        self._decided_at_s = now_s
        self.decisions = _waves.decide(self.view(now_s, now_ms))
        for record in self.decisions.records:
            self._propose(record)

    def _has_wave_work(self) -> bool:
        fleet = self.state.fleet
        return bool(fleet.out_vms) or any(
            not progress.finished_at_ms for progress in fleet.progress.values()
        )

    def _propose(self, record: state.Record) -> None:
        proposed = self.replica.propose(state.encode_record(record))
        if isinstance(proposed, Ok):
            self._own_proposal_index = proposed.ok_value

    def _update_status(self, status: entry_msgs.UpstreamStatus) -> None:
        upstream = status.upstream
        known = self.statuses.get(upstream.vm)
        if (
            known is not None
            and upstream.boot_order < known.upstream.boot_order
        ):
            return
        if status == known:
            return
        self.statuses[upstream.vm] = status
        self._is_decision_due = True
        self._queue_vm_report(upstream)

    def _queue_vm_report(self, upstream: entry_msgs.Upstream) -> None:
        """Queue a VmReported record for a VM that is new or has new facts."""
        vm = self.state.fleet.vms.get(upstream.vm)
        if vm is None and not self._may_join(upstream):
            return
        if vm is None or vm.facts != upstream.facts:
            self._pending_reports[upstream.vm] = state.VmReported(
                vm=upstream.vm,
                pool=upstream.pool,
                facts=upstream.facts,
                at_ms=0,
            )

    def _may_join(self, upstream: entry_msgs.Upstream) -> bool:
        pool = self.state.fleet.pools.get(upstream.pool)
        return pool is not None and pool.accepts_announced
