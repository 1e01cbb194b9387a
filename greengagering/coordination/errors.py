"""Errors of the coordination layer."""


class CoordinationError(Exception):
    """Base class of every error that the coordination layer raises."""


class NotLeaderError(CoordinationError):
    """This replica isn't the leader, so it can't decide.

    Attributes:
        leader_id: the leader as far as this replica knows, or ''.
    """

    def __init__(self, leader_id: str) -> None:
        self.leader_id = leader_id
        known = leader_id or 'unknown'
        super().__init__(f'this replica does not lead; leader: {known}')


class MembershipError(CoordinationError):
    """A change of voters would put the quorum at risk."""


class OverloadedError(CoordinationError):
    """Too many proposals wait to be committed."""
