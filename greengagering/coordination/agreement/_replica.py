"""The consensus protocol of the control replicas.

A state machine without I/O except for the log's storage.
"""

import dataclasses
import math

from result import Err
from result import Ok
from result import Result

from greengagering.coordination.agreement._leadership import LeadershipRecord
from greengagering.coordination.agreement import _messages as messages
from greengagering.coordination.agreement._progress import FollowerProgress
from greengagering.coordination.agreement._replica_log import ReplicaLog
from greengagering.coordination.agreement._replica_model import Outgoing
from greengagering.coordination.agreement._replica_model import RandomSource
from greengagering.coordination.agreement._replica_model import ReplicaIdentity
from greengagering.coordination.agreement._replica_model import ReplicaOptions
from greengagering.coordination.agreement._replica_model import Role
from greengagering.coordination.agreement._snapshot import SnapshotAssembler
from greengagering.coordination import errors
from greengagering import state
from greengagering.state import errors as state_errors


PRE_VOTE_RETRY_HEARTBEATS = (1.0, 2.0)
"""Bounds of the time, in multiples of heartbeat_s, after which a replica
without a leader asks again whether it would get the votes. The answers commit
nobody, so no election timeout is needed in between; a voter that has just
restarted refuses at first."""

SPLIT_VOTE_RETRY_HEARTBEATS = (1.0, 4.0)
"""Bounds of the time, in multiples of heartbeat_s, after which a candidate
that can't win any more starts over. It is spread more widely, so that
candidates that have split the votes don't meet again."""

PRE_VOTE_PRECEDENCE_HEARTBEATS = (0.5, 1.5)
"""Bounds of the time, in multiples of heartbeat_s, for which a replica that
has told another one that it would vote for it starts no election itself, so
that the votes aren't split."""

NON_VOTER_ELECTION_TIMEOUTS = 5
"""Time without a leader, in multiples of election_max_s, after which a replica
that has no vote starts an election; see _is_non_voter_election_due."""


class Replica:
    """One control replica.

    Callers pass the time in and collect messages and committed entries: call
    receive, tick and propose, then flush, then take_outbox and
    take_committed. Only storage calls block.
    """

    def __init__(
        self,
        identity: ReplicaIdentity,
        initial: state.Membership,
        storage: state.LogStorage,
        random: RandomSource,
        now_s: float,
        options: ReplicaOptions | None = None,
        former_over_s: float | None = None,
    ) -> None:
        """Load the log.

        Args:
            identity: this replica's name and folder.
            initial: members while the log names none.
            storage: the log on disk.
            random: source of election timeouts.
            now_s: this replica's clock.
            options: timeouts and limits.
            former_over_s: time at which no former process of this replica ran
                any more; None if only now_s is known to be such a time.
        """
        self.identity = identity
        self.options = options or ReplicaOptions()
        self.log = ReplicaLog(storage, initial)
        self.role = Role.FOLLOWER
        self.leader_id = ''
        self.commit_index = self.log.snapshot_index
        self.delivered_index = self.log.snapshot_index
        self.progress: dict[str, FollowerProgress] = {}
        # Number of messages of senders whose identity isn't accepted.
        self.rejected_identities = 0
        self.storage_fault = ''
        self._random = random
        self._outbox: list[Outgoing] = []
        self._proposals: list[state.LogEntry] = []
        self._votes: set[str] = set()
        # Voters that have refused this candidate their vote in this term.
        self._refusals: set[str] = set()
        self._snapshot_assembler = SnapshotAssembler()
        self._installed: state.Snapshot | None = None
        # Index of the NOOP entry that began this replica's newest term as
        # leader.
        self.term_start_index = 0
        self._flushed_at_s = float('-inf')
        self._contact_s = float('-inf')
        # Membership for which _contact_s was computed; None if the value
        # must be computed again.
        self._contact_membership: state.Membership | None = None
        self._elected_at_s = now_s
        # Just before it stopped, this replica may have answered a leader,
        # whose lease counts on that answer. So a restarted replica grants no
        # vote within the minimum election timeout.
        self.leader_heard_s = now_s if former_over_s is None else former_over_s
        self._election_due_s = 0.0
        self._leadership = LeadershipRecord(
            self.options.steady_lead_s, self.options.election_max_s
        )
        self._reset_election(self.leader_heard_s)

    @property
    def term(self) -> int:
        """Current term."""
        return self.log.vote.term

    @property
    def membership(self) -> state.Membership:
        """Newest membership in this replica's log."""
        return self.log.membership

    @property
    def is_leader(self) -> bool:
        """Whether this replica is the leader of its current term."""
        return self.role is Role.LEADER

    def propose(self, payload: bytes) -> Result[int, errors.CoordinationError]:
        """Queue a command for the next flush.

        Returns:
            The index that the command will have if this leader commits it,
            or NotLeaderError or OverloadedError.
        """
        if not self.is_leader:
            return Err(errors.NotLeaderError(self.leader_id))
        pending = self._next_index() - 1 - self.commit_index
        if pending >= self.options.max_pending_entries:
            return Err(
                errors.OverloadedError(f'{pending} proposals wait already')
            )
        return Ok(self._queue(state.EntryKind.COMMAND, payload))

    def propose_membership(
        self, wanted: state.Membership, now_s: float
    ) -> Result[int, errors.CoordinationError]:
        """Queue a change of members; at most one voter at a time.

        Returns:
            The index of the change, or NotLeaderError or MembershipError.
        """
        if not self.is_leader:
            return Err(errors.NotLeaderError(self.leader_id))
        problem = self._find_membership_problem(wanted, now_s)
        if problem:
            return Err(errors.MembershipError(problem))
        index = self._queue(state.EntryKind.MEMBERSHIP, state.encode(wanted))
        return Ok(index)

    def flush(self, now_s: float) -> None:
        """Write queued proposals in one batch and send them.

        The batch is synced too, unless syncs_in_background leaves that to the
        caller. A replica that no longer leads drops the proposals. While an
        earlier batch is uncommitted, proposals are queued for up to
        flush_interval_s, because each batch costs every follower a sync.
        """
        if not self._proposals:
            return
        is_busy = self.log.last_index > self.commit_index
        due_s = self._flushed_at_s + self.options.flush_interval_s
        if self.is_leader and is_busy and now_s < due_s:
            return
        self._flushed_at_s = now_s
        entries = self._proposals
        self._proposals = []
        if not self.is_leader:
            return
        try:
            if self.options.syncs_in_background:
                self.log.write(entries)
            else:
                self.log.append(entries)
        except state_errors.StorageError as error:
            self._handle_storage_fault(error, now_s)
            return
        self.storage_fault = ''
        self._track_members()
        self._advance_commit(now_s)
        self._broadcast(now_s)

    def is_sync_due(self) -> bool:
        """Return whether this leader holds entries that aren't synced.

        A former leader syncs its entries when the next leader's append
        request covers them. Until then, and after a failed sync, another sync
        would prove nothing about the entries.
        """
        return self.is_leader and self.log.last_index > self.log.synced_index

    def handle_sync_done(self, index: int, term: int, now_s: float) -> None:
        """Record a completed sync and advance the commit index.

        Args:
            index: last entry that was written when the sync began.
            term: term in which the sync began. In a later term the sync is
                ignored, as the index may hold a different entry.
            now_s: this replica's clock.
        """
        if term != self.term or not self.is_leader:
            return
        self.log.mark_synced(index)
        self._advance_commit(now_s)

    def handle_sync_failure(
        self, error: state_errors.StorageError, now_s: float
    ) -> None:
        """Handle a failed sync: drop proposals and step down."""
        self._handle_storage_fault(error, now_s)

    def tick(self, now_s: float) -> None:
        """Send heartbeats, check the quorum, or start an election."""
        if self.is_leader:
            self._tick_leader(now_s)
            if self.has_lease(now_s):
                contact_s = self.quorum_contact_s(now_s)
                self._leadership.note(self.term, contact_s)
        elif now_s >= self._election_due_s:
            self._start_election(now_s, is_pre=True)

    def receive(
        self,
        sender: ReplicaIdentity,
        message: messages.ReplicaMessage,
        now_s: float,
    ) -> None:
        """Handle a message of another replica."""
        if not self._is_identity_accepted(sender):
            self.rejected_identities += 1
            return
        try:
            self._dispatch(sender, message, now_s)
        except state_errors.StorageError as error:
            self._handle_storage_fault(error, now_s)

    def take_outbox(self) -> list[Outgoing]:
        """Return and remove the messages to send."""
        outbox = self._outbox
        self._outbox = []
        return outbox

    def take_committed(self) -> list[state.LogEntry]:
        """Return the entries committed since the last call."""
        committed = []
        while self.delivered_index < self.commit_index:
            entry = self.log.get(self.delivered_index + 1)
            if entry is None:
                break
            self.delivered_index += 1
            committed.append(entry)
        return committed

    def take_installed(self) -> state.Snapshot | None:
        """Return and clear an installed snapshot.

        The caller replaces its applied state with it.
        """
        installed = self._installed
        self._installed = None
        return installed

    def compact(self, data: bytes, now_s: float) -> None:
        """Compact the log with a snapshot of the state at delivered_index."""
        try:
            self.log.compact(self.delivered_index, data)
        except state_errors.StorageFullError as error:
            # The log may still have room, which its next write shows.
            self.storage_fault = str(error)
        except state_errors.StorageError as error:
            self._handle_storage_fault(error, now_s)

    def quorum_contact_s(self, now_s: float) -> float:
        """Return the latest time at which a quorum followed this leader.

        This is the time of sending the newest messages that a quorum has
        answered, by the leader's clock.
        """
        members = self.membership
        missing = members.quorum_size()
        if self.identity.replica_id in members.voters:
            missing -= 1
        if not missing:
            return now_s
        if self._contact_membership is not members:
            # Cached: it is called for each order, and only a follower's
            # answer or a change of members changes it.
            times = [
                self.progress[voter].acked_sent_at_s
                for voter in members.voters
                if voter in self.progress
            ]
            times.sort(reverse=True)
            is_enough = len(times) >= missing
            self._contact_s = times[missing - 1] if is_enough else -math.inf
            self._contact_membership = members
        return self._contact_s

    def has_lease(self, now_s: float) -> bool:
        """Return whether it is certain that no other replica leads yet.

        The members of a quorum that answered a message sent at time t grant
        no vote before t plus the minimum election timeout, on their own
        clocks.
        """
        return now_s < self.lease_end_s(now_s)

    def lease_end_s(self, now_s: float) -> float:
        """Return the time before which no other replica can become leader."""
        if not self.is_leader or self.commit_index < self.term_start_index:
            return float('-inf')
        slowed = 1 - self.options.clock_drift_ratio
        lease_s = self.options.election_min_s * slowed
        return self.quorum_contact_s(now_s) + lease_s

    def leaderless_s(self, now_s: float) -> float:
        """Return how long ago a replica last led for long enough.

        Terms shorter than steady_lead_s don't count. It is infinity if this
        process knows of no longer one.
        """
        return self._leadership.leaderless_s(now_s)

    def hears_leader(self, now_s: float) -> bool:
        """Return whether a leader was heard within election_max_s."""
        if self.is_leader:
            return True
        timeout_s = self.options.election_max_s
        return bool(self.leader_id) and (
            now_s < self.leader_heard_s + timeout_s
        )

    def transfer_leadership(self, now_s: float) -> bool:
        """Transfer leadership to a voter with the whole log before a stop.

        Returns:
            Whether such a voter was asked to take over.
        """
        if not self.is_leader or self._proposals:
            return False
        successor = self._find_successor()
        if successor is None or (
            self.progress[successor].match_index < self.log.last_index
        ):
            return False
        self._hand_over(successor, now_s)
        return True

    def resign(self, now_s: float) -> None:
        """Step down, so that the next leader has a later term."""
        if self.is_leader:
            self._become_follower(self.term, '', now_s)

    def _find_successor(self) -> str | None:
        """Return the other voter with the most entries, or None.

        Of several, it is the one that answered last.
        """
        others = [v for v in self.membership.voters if v in self.progress]
        return max(
            others,
            key=lambda voter: (
                self.progress[voter].match_index,
                self.progress[voter].acked_sent_at_s,
            ),
            default=None,
        )

    def _hand_over(self, successor: str, now_s: float) -> None:
        self._send(successor, messages.TimeoutNow(self.term))
        self._become_follower(self.term, '', now_s)

    def _next_index(self) -> int:
        return self.log.last_index + len(self._proposals) + 1

    def _queue(self, kind: state.EntryKind, payload: bytes) -> int:
        entry = state.LogEntry(self._next_index(), self.term, kind, payload)
        self._proposals.append(entry)
        return entry.index

    def _find_membership_problem(
        self, wanted: state.Membership, now_s: float
    ) -> str:
        present = self.membership
        if self.log.membership_index > self.commit_index or any(
            entry.kind is state.EntryKind.MEMBERSHIP
            for entry in self._proposals
        ):
            return 'an earlier change of members is not committed yet'
        if self.commit_index < self.term_start_index:
            return 'this leader has not committed an entry of its term yet'
        changed = set(present.voters) ^ set(wanted.voters)
        if len(changed) > 1:
            return 'only one voter may change at a time'
        if not wanted.voters:
            return 'a cluster needs a voter'
        for voter in set(wanted.voters) - set(present.voters):
            if not self.is_within_max_lag(voter, now_s):
                return f'{voter} must catch up as a learner first'
        return self._find_quorum_problem(wanted, now_s)

    def _find_quorum_problem(
        self, wanted: state.Membership, now_s: float
    ) -> str:
        """Return a problem if too few of the wanted voters lag little enough.

        Although its text says 'in step', the test is is_within_max_lag, which
        is weaker than is_in_step.
        """
        in_step = [
            v for v in wanted.voters if self.is_within_max_lag(v, now_s)
        ]
        needed = wanted.quorum_size()
        if len(in_step) < needed:
            return (
                f'only {len(in_step)} of the voters {list(wanted.voters)} are '
                f'in step, and a quorum needs {needed}'
            )
        return ''

    def is_within_max_lag(self, replica_id: str, now_s: float) -> bool:
        """Return whether a replica answers and lags max_lag_entries at most.

        A lag is allowed because, under a steady stream of entries, a
        follower hardly ever holds every committed entry.
        """
        if replica_id == self.identity.replica_id:
            return True
        progress = self.progress.get(replica_id)
        if progress is None:
            return False
        is_heard = (
            now_s < progress.acked_sent_at_s + self.options.election_max_s
        )
        lag = self.commit_index - progress.match_index
        return is_heard and lag <= self.options.max_lag_entries

    def is_in_step(self, replica_id: str, now_s: float) -> bool:
        """Return whether a replica answers and holds all committed entries.

        Only a leader tracks other replicas; elsewhere the result is False for
        any of them.
        """
        if replica_id == self.identity.replica_id:
            return True
        progress = self.progress.get(replica_id)
        if progress is None:
            return False
        timeout_s = self.options.election_max_s
        is_heard = now_s < progress.acked_sent_at_s + timeout_s
        return is_heard and progress.match_index >= self.commit_index

    def _is_identity_accepted(self, sender: ReplicaIdentity) -> bool:
        bound = self.membership.incarnations.get(sender.replica_id)
        return bound is None or bound == sender.incarnation

    def _dispatch(
        self,
        sender: ReplicaIdentity,
        message: messages.ReplicaMessage,
        now_s: float,
    ) -> None:
        peer = sender.replica_id
        match message:
            case messages.VoteRequest():
                self._on_vote_request(peer, message, now_s)
            case messages.VoteResponse():
                self._on_vote_response(peer, message, now_s)
            case messages.AppendRequest():
                self._on_append_request(peer, message, now_s)
            case messages.AppendResponse():
                self._on_append_response(sender, message, now_s)
            case messages.SnapshotChunk():
                self._on_snapshot_chunk(peer, message, now_s)
            case messages.SnapshotResponse():
                self._on_snapshot_response(peer, message, now_s)
            case messages.TimeoutNow():
                if message.term == self.term and self._is_voter():
                    self._start_election(now_s, is_pre=False, is_transfer=True)

    def _is_voter(self) -> bool:
        return self.identity.replica_id in self.membership.voters

    def _is_non_voter_election_due(self, now_s: float) -> bool:
        """Return whether a replica without a vote should start an election.

        An interrupted change of voters can leave the newest entries only on a
        learner, or on a replica that the change removes. No voter can then
        win an election, as the voters' logs are older. So this replica
        becomes leader, commits its entries and steps down.
        """
        timeout_s = self.options.election_max_s * NON_VOTER_ELECTION_TIMEOUTS
        return now_s >= self.leader_heard_s + timeout_s

    def _peers(self) -> list[str]:
        own = self.identity.replica_id
        return [peer for peer in self.membership.members if peer != own]

    def _send(self, receiver: str, message: messages.ReplicaMessage) -> None:
        self._outbox.append(Outgoing(receiver, message))

    def _reset_election(self, now_s: float) -> None:
        low = self.options.election_min_s
        high = self.options.election_max_s
        self._election_due_s = now_s + self._random.uniform(low, high)

    def _retry_election(
        self, now_s: float, heartbeats: tuple[float, float]
    ) -> None:
        low, high = heartbeats
        heartbeat_s = self.options.heartbeat_s
        self._election_due_s = now_s + self._random.uniform(
            low * heartbeat_s, high * heartbeat_s
        )

    def _save_vote(self, term: int, voted_for: str) -> None:
        if (term, voted_for) != (self.term, self.log.vote.voted_for):
            self.log.save_vote(state.Vote(term, voted_for))
            self.storage_fault = ''

    def _become_follower(
        self, term: int, leader_id: str, now_s: float
    ) -> None:
        if term > self.term:
            self._save_vote(term, '')
        self.role = Role.FOLLOWER
        self.leader_id = leader_id
        self._proposals.clear()
        self.progress.clear()
        self._contact_membership = None
        self._reset_election(now_s)

    def _start_election(
        self, now_s: float, *, is_pre: bool, is_transfer: bool = False
    ) -> None:
        if is_pre and self._is_voter():
            self._retry_election(now_s, PRE_VOTE_RETRY_HEARTBEATS)
        else:
            self._reset_election(now_s)
        if not self._is_voter() and not self._is_non_voter_election_due(now_s):
            return
        try:
            if not is_pre:
                self._save_vote(self.term + 1, self.identity.replica_id)
        except state_errors.StorageError as error:
            self._handle_storage_fault(error, now_s)
            return
        self.role = Role.PRE_CANDIDATE if is_pre else Role.CANDIDATE
        self.leader_id = ''
        self._votes = {self.identity.replica_id}
        self._refusals = set()
        request = messages.VoteRequest(
            term=self.term + 1 if is_pre else self.term,
            last_index=self.log.last_index,
            last_term=self.log.last_term,
            is_pre=is_pre,
            is_transfer=is_transfer,
        )
        for voter in self.membership.voters:
            if voter != self.identity.replica_id:
                self._send(voter, request)
        self._count_votes(now_s)

    def _on_vote_request(
        self, peer: str, request: messages.VoteRequest, now_s: float
    ) -> None:
        if self._is_leader_recent(now_s) and not request.is_transfer:
            self._send_vote(peer, request, is_granted=False)
            return
        if request.term > self.term and not request.is_pre:
            self._become_follower(request.term, '', now_s)
        is_granted = self._may_grant_vote(peer, request)
        if is_granted and not request.is_pre:
            self._save_vote(request.term, peer)
            self._reset_election(now_s)
        elif is_granted:
            due_s = self._election_due_s
            self._retry_election(now_s, PRE_VOTE_PRECEDENCE_HEARTBEATS)
            self._election_due_s = max(self._election_due_s, due_s)
        self._send_vote(peer, request, is_granted=is_granted)

    def _is_leader_recent(self, now_s: float) -> bool:
        if self.is_leader:
            return True
        return now_s < self.leader_heard_s + self.options.election_min_s

    def _may_grant_vote(
        self, peer: str, request: messages.VoteRequest
    ) -> bool:
        own_last = (self.log.last_term, self.log.last_index)
        if (request.last_term, request.last_index) < own_last:
            return False
        if request.is_pre:
            return request.term > self.term
        free = self.log.vote.voted_for in ('', peer)
        return request.term == self.term and free

    def _send_vote(
        self, peer: str, request: messages.VoteRequest, *, is_granted: bool
    ) -> None:
        term = request.term if is_granted else self.term
        response = messages.VoteResponse(term, request.is_pre, is_granted)
        self._send(peer, response)

    def _on_vote_response(
        self, peer: str, response: messages.VoteResponse, now_s: float
    ) -> None:
        if response.term > self.term and not response.is_granted:
            self._become_follower(response.term, '', now_s)
            if response.is_pre:
                # No candidate may be left in the later term.
                self._retry_election(now_s, PRE_VOTE_RETRY_HEARTBEATS)
            return
        wanted_role = Role.PRE_CANDIDATE if response.is_pre else Role.CANDIDATE
        wanted_term = self.term + 1 if response.is_pre else self.term
        is_current = self.role is wanted_role and response.term == wanted_term
        if is_current and response.is_granted:
            self._votes.add(peer)
            self._count_votes(now_s)
        elif is_current and not response.is_pre:
            self._count_refusal(peer, now_s)

    def _count_refusal(self, peer: str, now_s: float) -> None:
        """Start over soon if too few voters are left that may vote for this.

        The votes may be split between candidates. If votes are only slow,
        the candidate waits for them.
        """
        self._refusals.add(peer)
        left = set(self.membership.voters) - self._refusals
        if len(left) < self.membership.quorum_size():
            self._retry_election(now_s, SPLIT_VOTE_RETRY_HEARTBEATS)

    def _count_votes(self, now_s: float) -> None:
        counted = self._votes & set(self.membership.voters)
        if len(counted) < self.membership.quorum_size():
            return
        if self.role is Role.PRE_CANDIDATE:
            self._start_election(now_s, is_pre=False)
        elif self.role is Role.CANDIDATE:
            self._become_leader(now_s)

    def _become_leader(self, now_s: float) -> None:
        self.role = Role.LEADER
        self.leader_id = self.identity.replica_id
        self.progress.clear()
        self._track_members()
        self._elected_at_s = now_s
        self.term_start_index = self._queue(state.EntryKind.NOOP, b'')
        self.flush(now_s)

    def _track_members(self) -> None:
        """Make progress hold exactly the other current members."""
        self._contact_membership = None
        for peer in self._peers():
            if peer not in self.progress:
                self.progress[peer] = FollowerProgress(self.log.last_index + 1)
        for peer in set(self.progress) - set(self._peers()):
            del self.progress[peer]

    def _tick_leader(self, now_s: float) -> None:
        timeout_s = self.options.election_max_s
        contact_s = max(self.quorum_contact_s(now_s), self._elected_at_s)
        if now_s > contact_s + timeout_s:
            self._become_follower(self.term, '', now_s)
            return
        for peer, progress in self.progress.items():
            if now_s >= progress.sent_at_s + self.options.heartbeat_s:
                self._send_append(peer, now_s, is_heartbeat=True)

    def _broadcast(self, now_s: float) -> None:
        if not self.is_leader:
            return
        for peer in self.progress:
            self._send_append(peer, now_s, is_heartbeat=False)

    def _send_append(
        self, peer: str, now_s: float, *, is_heartbeat: bool
    ) -> None:
        progress = self.progress[peer]
        previous_index = progress.next_index - 1
        previous_term = self.log.term_at(previous_index)
        if previous_term is None or previous_index < self.log.snapshot_index:
            if is_heartbeat or not progress.snapshot_index:
                self._send_chunk(peer, now_s)
            return
        progress.sent_at_s = now_s
        progress.snapshot_index = 0
        entries = self.log.slice(
            progress.next_index,
            self.options.max_batch_entries,
            self.options.max_batch_bytes,
        )
        if entries:
            progress.next_index = entries[-1].index + 1
        self._send(
            peer,
            messages.AppendRequest(
                term=self.term,
                previous_index=previous_index,
                previous_term=previous_term,
                entries=entries,
                commit_index=self.commit_index,
                sent_at_s=now_s,
                leaderless_s=self.leaderless_s(now_s),
            ),
        )

    def _send_chunk(self, peer: str, now_s: float) -> None:
        snapshot = self.log.snapshot
        if snapshot is None:
            return
        progress = self.progress[peer]
        progress.sent_at_s = now_s
        if progress.snapshot_index != snapshot.index:
            progress.snapshot_index = snapshot.index
            progress.snapshot_offset_bytes = 0
        start = progress.snapshot_offset_bytes
        end = start + self.options.snapshot_chunk_bytes
        self._send(
            peer,
            messages.SnapshotChunk(
                term=self.term,
                index=snapshot.index,
                snapshot_term=snapshot.term,
                membership=snapshot.membership,
                offset_bytes=start,
                data=snapshot.data[start:end],
                is_last=end >= len(snapshot.data),
                sent_at_s=now_s,
            ),
        )

    def _on_append_request(
        self, peer: str, request: messages.AppendRequest, now_s: float
    ) -> None:
        if not self._follow(peer, request.term, now_s, request.leaderless_s):
            self._send_append_failure(peer, request, 0)
            return
        conflict_index = self._find_conflict(request)
        if conflict_index:
            self._send_append_failure(peer, request, conflict_index)
            return
        self._append_new(request.entries)
        match_index = max(
            request.previous_index + len(request.entries),
            self.log.snapshot_index,
        )
        if match_index > self.log.synced_index:
            # This replica wrote the entries as a leader, and its background
            # sync may not have ended.
            self.log.sync()
        self._commit_to(min(request.commit_index, match_index))
        self._send(
            peer,
            messages.AppendResponse(
                term=self.term,
                is_success=True,
                match_index=match_index,
                conflict_index=0,
                sent_at_s=request.sent_at_s,
            ),
        )

    def _follow(
        self,
        peer: str,
        term: int,
        now_s: float,
        leaderless_s: float = math.inf,
    ) -> bool:
        """Accept a leader's message; return False if its term is outdated."""
        if term < self.term:
            return False
        if term > self.term or self.role is not Role.FOLLOWER:
            self._become_follower(term, peer, now_s)
        self.leader_id = peer
        self.leader_heard_s = now_s
        self._leadership.note(term, now_s, leaderless_s)
        self._reset_election(now_s)
        return True

    def _find_conflict(self, request: messages.AppendRequest) -> int:
        """Return the index to resume from, or 0 if the logs match."""
        previous = request.previous_index
        if previous < self.log.snapshot_index:
            # A snapshot covers only committed entries, which every leader's
            # log holds, so the logs match up to the snapshot's index.
            return 0
        own_term = self.log.term_at(previous)
        if own_term == request.previous_term:
            return 0
        if own_term is None:
            return self.log.last_index + 1
        first = previous
        while first > self.commit_index + 1 and (
            self.log.term_at(first - 1) == own_term
        ):
            first -= 1
        return first

    def _append_new(self, entries: tuple[state.LogEntry, ...]) -> None:
        """Append from the first entry that the log doesn't hold."""
        for position, entry in enumerate(entries):
            if entry.index <= self.log.snapshot_index:
                continue
            if self.log.term_at(entry.index) != entry.term:
                self.log.append(list(entries[position:]))
                self.storage_fault = ''
                return

    def _send_append_failure(
        self, peer: str, request: messages.AppendRequest, conflict_index: int
    ) -> None:
        self._send(
            peer,
            messages.AppendResponse(
                term=self.term,
                is_success=False,
                match_index=0,
                conflict_index=conflict_index,
                sent_at_s=request.sent_at_s,
            ),
        )

    def _commit_to(self, index: int) -> None:
        if index > self.commit_index:
            self.commit_index = index

    def _on_append_response(
        self,
        sender: ReplicaIdentity,
        response: messages.AppendResponse,
        now_s: float,
    ) -> None:
        if response.term > self.term:
            self._become_follower(response.term, '', now_s)
            return
        peer = sender.replica_id
        progress = self.progress.get(peer)
        if not self.is_leader or progress is None:
            return
        if response.term < self.term:
            return
        progress.acked_sent_at_s = max(
            progress.acked_sent_at_s, response.sent_at_s
        )
        self._contact_membership = None
        if not response.is_success:
            progress.record_conflict(response.conflict_index)
            self._send_append(peer, now_s, is_heartbeat=False)
            return
        progress.record_match(response.match_index)
        self._bind_incarnation(sender, now_s)
        self._advance_commit(now_s)
        # The commit may have removed this leader or the peer from the
        # members; then there is nothing to send to the peer.
        is_followed = peer in self.progress
        if is_followed and progress.next_index <= self.log.last_index:
            self._send_append(peer, now_s, is_heartbeat=False)

    def _bind_incarnation(self, sender: ReplicaIdentity, now_s: float) -> None:
        """Propose the binding of a replica's name to its data folder."""
        present = self.membership
        if sender.replica_id in present.incarnations:
            return
        bound = dict(present.incarnations)
        bound[sender.replica_id] = sender.incarnation
        bound[self.identity.replica_id] = self.identity.incarnation
        self.propose_membership(
            dataclasses.replace(present, incarnations=bound), now_s
        )

    def _advance_commit(self, now_s: float) -> None:
        if not self.is_leader:
            return
        matches = []
        for voter in self.membership.voters:
            if voter == self.identity.replica_id:
                matches.append(self.log.synced_index)
            else:
                matches.append(self.progress[voter].match_index)
        matches.sort(reverse=True)
        index = matches[self.membership.quorum_size() - 1]
        if self.log.term_at(index) != self.term or index <= self.commit_index:
            return
        self.commit_index = index
        is_removed = not self._is_voter()
        if is_removed and self.commit_index >= self.log.membership_index:
            self._broadcast(now_s)
            self._become_follower(self.term, '', now_s)

    def _on_snapshot_chunk(
        self, peer: str, chunk: messages.SnapshotChunk, now_s: float
    ) -> None:
        if not self._follow(peer, chunk.term, now_s):
            self._send_snapshot_response(peer, chunk, 0, is_installed=False)
            return
        if chunk.index <= self.commit_index:
            self._send_snapshot_response(peer, chunk, 0, is_installed=True)
            return
        data = self._snapshot_assembler.add(chunk)
        if data is not None:
            self._install(chunk, data)
            self._send_snapshot_response(peer, chunk, 0, is_installed=True)
            return
        offset = self._snapshot_assembler.next_offset_bytes()
        self._send_snapshot_response(peer, chunk, offset, is_installed=False)

    def _install(self, chunk: messages.SnapshotChunk, data: bytes) -> None:
        snapshot = state.Snapshot(
            chunk.index, chunk.snapshot_term, chunk.membership, data
        )
        self.log.install(snapshot)
        self.commit_index = snapshot.index
        self.delivered_index = snapshot.index
        self._installed = snapshot

    def _send_snapshot_response(
        self,
        peer: str,
        chunk: messages.SnapshotChunk,
        next_offset_bytes: int,
        *,
        is_installed: bool,
    ) -> None:
        response = messages.SnapshotResponse(
            term=self.term,
            index=chunk.index,
            next_offset_bytes=next_offset_bytes,
            is_installed=is_installed,
            sent_at_s=chunk.sent_at_s,
        )
        self._send(peer, response)

    def _on_snapshot_response(
        self, peer: str, response: messages.SnapshotResponse, now_s: float
    ) -> None:
        if response.term > self.term:
            self._become_follower(response.term, '', now_s)
            return
        progress = self.progress.get(peer)
        if not self.is_leader or progress is None:
            return
        progress.acked_sent_at_s = max(
            progress.acked_sent_at_s, response.sent_at_s
        )
        self._contact_membership = None
        if response.is_installed:
            progress.snapshot_index = 0
            progress.record_match(response.index)
            self._send_append(peer, now_s, is_heartbeat=False)
        elif response.index == progress.snapshot_index:
            progress.snapshot_offset_bytes = response.next_offset_bytes
            self._send_chunk(peer, now_s)

    def _handle_storage_fault(
        self, error: state_errors.StorageError, now_s: float
    ) -> None:
        """Drop proposals and step down.

        A replica that can't write neither leads nor acknowledges entries. A
        leader asks another voter to take over, which saves its callers the
        election timeout. If that one lacks committed entries, it gets no
        vote, and an election follows the timeout.
        """
        self.storage_fault = str(error)
        self._proposals.clear()
        if not self.is_leader:
            return
        successor = self._find_successor()
        if successor is not None:
            self._hand_over(successor, now_s)
        else:
            self._become_follower(self.term, '', now_s)
