"""Replaces lost control replicas without a ticket.

Used where machines come and go by themselves: a newcomer finds any member,
catches up as a learner, votes, and only then does a lost voter go.
"""

import dataclasses

from greengagering.coordination.agreement import _membership
from greengagering.coordination.agreement._membership import MembershipStep
from greengagering.coordination.agreement._replica import Replica
from greengagering import state

DEAD_AFTER_S = 1.0
"""Silence after which a voter may be replaced; more than an election takes,
so that a short pause replaces nobody, and less than the shortest time that
the users leave a newcomer before the next loss."""

CANDIDATE_S = 2.0
"""How long a newcomer counts as present after its last word."""

LEARNER_PATIENCE_S = 5.0
"""Silence after which a learner is forgotten; it may join again."""

MAX_LEARNERS = 2
"""Learners at a time, so that the leader sends few snapshots at once."""


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A control replica that wants to become a member."""

    replica_id: str
    address: str
    heard_at_s: float


class MemberHealing:
    """Chooses the next single change of members.

    Attributes:
        voter_count: voters wanted.
        replaced: voters at whose address a newer replica is, so that what is
            sent to them would reach that one.
    """

    def __init__(self, voter_count: int) -> None:
        self.voter_count = voter_count
        self.replaced: frozenset[str] = frozenset()
        self._candidates: dict[str, Candidate] = {}
        self._led_since_s = float('-inf')
        self._led_term = 0

    def note_candidate(
        self, replica_id: str, address: str, now_s: float
    ) -> None:
        """A control replica asked to become a member."""
        self._candidates[replica_id] = Candidate(replica_id, address, now_s)

    def next_step(self, replica: Replica, now_s: float) -> MembershipStep:
        """Return the next change, or none.

        Args:
            replica: the leader.
            now_s: its clock.
        """
        if replica.term != self._led_term:
            self._led_term = replica.term
            self._led_since_s = now_s
        present = replica.membership
        fresh = {
            c.replica_id: c
            for c in self._candidates.values()
            if now_s < c.heard_at_s + CANDIDATE_S
        }
        self._candidates = fresh
        lost = self._find_lost(replica, fresh, now_s)
        if lost and len(present.voters) > self.voter_count:
            return MembershipStep(_membership.without(present, lost[0]))
        for learner in present.learners:
            if self._is_dead(replica, learner, now_s, LEARNER_PATIENCE_S):
                return MembershipStep(_membership.without(present, learner))
            is_wanted = len(present.voters) <= self.voter_count
            if is_wanted and replica.is_near(learner, now_s):
                return MembershipStep(_membership.with_voter(present, learner))
        return self._next_learner(present, fresh)

    def _next_learner(
        self, present: state.Membership, fresh: dict[str, Candidate]
    ) -> MembershipStep:
        if len(present.learners) >= MAX_LEARNERS:
            return MembershipStep()
        for candidate in fresh.values():
            if candidate.replica_id not in present.members:
                member = state.ControlMember(
                    candidate.replica_id, candidate.address
                )
                return MembershipStep(
                    _membership.with_learner(present, member)
                )
        return MembershipStep()

    def _find_lost(
        self, replica: Replica, fresh: dict[str, Candidate], now_s: float
    ) -> list[str]:
        """Return voters to remove, the most certainly lost first.

        A voter whose address has a newer replica lost its disk.
        """
        present = replica.membership
        own = replica.identity.replica_id
        taken = {
            address: replica_id
            for replica_id, address in present.addresses.items()
            if replica_id in present.learners
        }
        taken.update({c.address: c.replica_id for c in fresh.values()})
        replaced = []
        dead = []
        for voter in present.voters:
            if voter == own:
                continue
            address = present.addresses.get(voter, '')
            if taken.get(address, voter) != voter:
                replaced.append(voter)
            elif self._is_dead(replica, voter, now_s, DEAD_AFTER_S):
                dead.append(voter)
        self.replaced = frozenset(replaced)
        return replaced + dead

    def _is_dead(
        self, replica: Replica, member: str, now_s: float, patience_s: float
    ) -> bool:
        progress = replica.progress.get(member)
        if progress is None:
            return False
        heard_s = max(progress.acked_sent_at_s, self._led_since_s)
        return now_s >= heard_s + patience_s
