"""Replaces lost control replicas without a ticket.

Used where machines are added and lost without an operator: a new replica
sends a join request to any member, catches up as a learner and becomes a
voter; only then is a lost voter removed.
"""

import dataclasses

from greengagering.coordination.agreement import _membership
from greengagering.coordination.agreement._membership import MembershipStep
from greengagering.coordination.agreement._replica import Replica
from greengagering import state

VOTER_TIMEOUT_S = 1.0
"""Silence after which a voter may be replaced. Longer than an election, so
that a short pause causes no replacement, and shorter than the minimum time
that the requirements allow between the start of a new replica and the next
loss."""

JOIN_REQUEST_TTL_S = 2.0
"""How long a join request is valid after the replica last sent it."""

LEARNER_TIMEOUT_S = 5.0
"""Silence after which a learner is removed; it may join again."""

MAX_LEARNERS = 2
"""Limit of learners at a time, so that the leader sends few snapshots at
once."""


@dataclasses.dataclass(frozen=True, slots=True)
class JoinRequest:
    """The request of a control replica to become a member."""

    replica_id: str
    address: str
    heard_at_s: float


class MemberReplacement:
    """Chooses the next single change of members.

    Attributes:
        voter_count: target number of voters.
        superseded_voters: voters whose address is now used by a newer
            replica; a message to such a voter would reach the newer replica.
    """

    def __init__(self, voter_count: int) -> None:
        self.voter_count = voter_count
        self.superseded_voters: frozenset[str] = frozenset()
        self._join_requests: dict[str, JoinRequest] = {}
        self._leader_since_s = float('-inf')
        self._leader_term = 0

    def add_join_request(
        self, replica_id: str, address: str, now_s: float
    ) -> None:
        """Record that a control replica asked to become a member."""
        self._join_requests[replica_id] = JoinRequest(
            replica_id, address, now_s
        )

    def next_step(self, replica: Replica, now_s: float) -> MembershipStep:
        """Return the next change, or an empty step.

        Args:
            replica: the leader.
            now_s: the leader's clock.
        """
        if replica.term != self._leader_term:
            self._leader_term = replica.term
            self._leader_since_s = now_s
        present = replica.membership
        pending = {
            request.replica_id: request
            for request in self._join_requests.values()
            if now_s < request.heard_at_s + JOIN_REQUEST_TTL_S
        }
        self._join_requests = pending
        lost = self._find_lost(replica, pending, now_s)
        if lost and len(present.voters) > self.voter_count:
            return MembershipStep(_membership.without(present, lost[0]))
        for learner in present.learners:
            if self._is_silent(replica, learner, now_s, LEARNER_TIMEOUT_S):
                return MembershipStep(_membership.without(present, learner))
            is_wanted = len(present.voters) <= self.voter_count
            if is_wanted and replica.is_within_max_lag(learner, now_s):
                return MembershipStep(_membership.with_voter(present, learner))
        return self._next_learner(present, pending)

    def _next_learner(
        self, present: state.Membership, pending: dict[str, JoinRequest]
    ) -> MembershipStep:
        if len(present.learners) >= MAX_LEARNERS:
            return MembershipStep()
        for request in pending.values():
            if request.replica_id not in present.members:
                member = state.ControlMember(
                    request.replica_id, request.address
                )
                return MembershipStep(
                    _membership.with_learner(present, member)
                )
        return MembershipStep()

    def _find_lost(
        self, replica: Replica, pending: dict[str, JoinRequest], now_s: float
    ) -> list[str]:
        """Return the voters to remove, ordered by certainty of their loss.

        First come the voters whose address is used by a newer replica: their
        disk is lost. Voters that are only silent follow.
        """
        present = replica.membership
        own = replica.identity.replica_id
        newest_by_address = {
            address: replica_id
            for replica_id, address in present.addresses.items()
            if replica_id in present.learners
        }
        newest_by_address.update(
            {
                request.address: request.replica_id
                for request in pending.values()
            }
        )
        superseded_voters = []
        silent = []
        for voter in present.voters:
            if voter == own:
                continue
            address = present.addresses.get(voter, '')
            if newest_by_address.get(address, voter) != voter:
                superseded_voters.append(voter)
            elif self._is_silent(replica, voter, now_s, VOTER_TIMEOUT_S):
                silent.append(voter)
        self.superseded_voters = frozenset(superseded_voters)
        return superseded_voters + silent

    def _is_silent(
        self, replica: Replica, member: str, now_s: float, timeout_s: float
    ) -> bool:
        progress = replica.progress.get(member)
        if progress is None:
            return False
        heard_s = max(progress.acked_sent_at_s, self._leader_since_s)
        return now_s >= heard_s + timeout_s
