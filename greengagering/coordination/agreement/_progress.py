"""A leader's record of each other replica's replication progress."""

import dataclasses


@dataclasses.dataclass(slots=True)
class FollowerProgress:
    """Replication progress of one follower.

    Attributes:
        next_index: next entry to send.
        match_index: last entry known to be durable on the follower.
        acked_sent_at_s: the leader's clock when it sent the newest message
            that the follower has answered.
        sent_at_s: the leader's clock when it last sent a message.
        snapshot_index: snapshot in transfer, or 0.
        snapshot_offset_bytes: next byte of that snapshot.
    """

    next_index: int
    match_index: int = 0
    acked_sent_at_s: float = float('-inf')
    sent_at_s: float = float('-inf')
    snapshot_index: int = 0
    snapshot_offset_bytes: int = 0

    def record_match(self, match_index: int) -> None:
        """Advance after a successful append."""
        self.match_index = max(self.match_index, match_index)
        self.next_index = max(self.next_index, self.match_index + 1)

    def record_conflict(self, conflict_index: int) -> None:
        """Move next_index back after a rejected append."""
        wanted = min(self.next_index - 1, conflict_index)
        self.next_index = max(self.match_index + 1, wanted, 1)
