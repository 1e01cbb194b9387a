"""Steps from the current control replicas to those that a ticket names."""

import dataclasses

from greengagering.coordination.agreement._replica import Replica
from greengagering import state


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipStep:
    """The next change of members.

    Attributes:
        wanted: membership to propose, or None if there is no change to make.
        waiting: what the change waits for, or ''.
    """

    wanted: state.Membership | None = None
    waiting: str = ''


def next_step(
    replica: Replica, wanted: tuple[state.ControlMember, ...], now_s: float
) -> MembershipStep:
    """Return the next single step towards the wanted voters.

    A new replica first catches up as a learner and then becomes a voter;
    voters that are no longer wanted are removed after that.

    Args:
        replica: the leader.
        wanted: voters that the newest ticket names; empty if no ticket named
            any.
        now_s: the leader's clock.
    """
    if not wanted:
        return MembershipStep()
    present = replica.membership
    for member in wanted:
        if member.replica_id not in present.members:
            return MembershipStep(with_learner(present, member))
    wanted_ids = {member.replica_id for member in wanted}
    for learner in present.learners:
        if learner not in wanted_ids:
            return MembershipStep(without(present, learner))
        if replica.is_in_step(learner, now_s):
            return MembershipStep(with_voter(present, learner))
        return MembershipStep(waiting=f'{learner} catches up')
    for voter in present.voters:
        if voter not in wanted_ids:
            return MembershipStep(without(present, voter))
    return MembershipStep()


def find_quorum_risk(
    replica: Replica, ticket: state.Ticket, now_s: float
) -> state.Refusal | None:
    """Return a refusal if the ticket's change of voters risks the quorum.

    Args:
        replica: the leader.
        ticket: a ticket that may name control replicas.
        now_s: the leader's clock.
    """
    if not ticket.control:
        return None
    present = set(replica.membership.voters)
    wanted = {member.replica_id for member in ticket.control}
    if len(wanted - present) > 1 or len(present - wanted) > 1:
        return _refuse(
            wanted, 'a ticket may add one replica and remove one, no more'
        )
    kept = present & wanted
    in_step = sorted(x for x in kept if replica.is_in_step(x, now_s))
    needed = len(kept) // 2 + 1
    if len(in_step) < needed:
        return _refuse(
            wanted,
            f'of the replicas that stay, {in_step} are in step, and a quorum '
            f'of them needs {needed}',
        )
    return None


def _refuse(wanted: set[str], message: str) -> state.Refusal:
    return state.Refusal(
        kind=state.RefusalKind.QUORUM_AT_RISK,
        field='control',
        value=', '.join(sorted(wanted)),
        message=message,
    )


def with_learner(
    present: state.Membership, member: state.ControlMember
) -> state.Membership:
    """Return the membership with a replica added as a learner."""
    addresses = {**present.addresses, member.replica_id: member.address}
    return dataclasses.replace(
        present,
        learners=(*present.learners, member.replica_id),
        addresses=addresses,
    )


def with_voter(present: state.Membership, replica_id: str) -> state.Membership:
    """Return the membership with a learner promoted to a voter."""
    learners = tuple(x for x in present.learners if x != replica_id)
    voters = (*present.voters, replica_id)
    return dataclasses.replace(present, voters=voters, learners=learners)


def without(present: state.Membership, replica_id: str) -> state.Membership:
    """Return the membership without a replica.

    Its entry in `incarnations` stays, so another data folder can't use the
    name again.
    """
    return dataclasses.replace(
        present,
        voters=tuple(x for x in present.voters if x != replica_id),
        learners=tuple(x for x in present.learners if x != replica_id),
    )
