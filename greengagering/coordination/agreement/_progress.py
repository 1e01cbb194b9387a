"""What a leader knows of each other replica."""

import dataclasses


@dataclasses.dataclass(slots=True)
class FollowerProgress:
    """Replication progress of one follower.

    Attributes:
        next_index: next entry to send.
        match_index: last entry known to be durable there.
        acked_sent_at_s: leader's clock at the send of the newest message
            that the follower has answered.
        sent_at_s: leader's clock at the newest send.
        snapshot_index: snapshot in transfer, or 0.
        snapshot_offset_bytes: next byte of that snapshot.
    """

    next_index: int
    match_index: int = 0
    acked_sent_at_s: float = float('-inf')
    sent_at_s: float = float('-inf')
    snapshot_index: int = 0
    snapshot_offset_bytes: int = 0

    def note_success(self, match_index: int) -> None:
        """Advance after a successful append."""
        self.match_index = max(self.match_index, match_index)
        self.next_index = max(self.next_index, self.match_index + 1)

    def note_conflict(self, conflict_index: int) -> None:
        """Step back after a rejected append."""
        wanted = min(self.next_index - 1, conflict_index)
        self.next_index = max(self.match_index + 1, wanted, 1)
