"""The stream of committed records that entries follow."""

import collections

from greengagering.coordination.entries import _entry_messages as entry_msgs
from greengagering import state

MAX_FEED_RECORDS = 4096
MAX_DELTA_RECORDS = 512


class Feed:
    """Recent records by revision, so that most entries need no snapshot.

    Attributes:
        revision: newest applied revision.
        record_revision: newest revision whose record entries need.
    """

    def __init__(self, revision: int = 0) -> None:
        self.revision = revision
        self.record_revision = revision
        self._floor_revision = revision
        self._records: collections.deque[entry_msgs.FeedRecord] = (
            collections.deque()
        )

    def append(self, revision: int, payload: bytes | None) -> None:
        """Add a revision; one that entries don't need has no payload."""
        self.revision = revision
        if payload is None:
            return
        self.record_revision = revision
        self._records.append(entry_msgs.FeedRecord(revision, payload))
        while len(self._records) > MAX_FEED_RECORDS:
            self._floor_revision = self._records.popleft().revision

    def reset(self, revision: int) -> None:
        """Drop all records after a snapshot has replaced the state."""
        self._records.clear()
        self.revision = revision
        self.record_revision = revision
        self._floor_revision = revision

    def since(
        self, revision: int, fleet: state.FleetState
    ) -> entry_msgs.FeedDelta | entry_msgs.FeedSnapshot | None:
        """Return what an entry needs next, or None if it is up to date.

        Args:
            revision: revision that the entry has applied.
            fleet: current state, for a snapshot.
        """
        if self.record_revision <= revision <= self.revision:
            return None
        if revision < self._floor_revision or revision > self.revision:
            return entry_msgs.FeedSnapshot(self.revision, state.encode(fleet))
        newer = self._newer_than(revision)
        to_revision = self.record_revision
        if len(newer) > MAX_DELTA_RECORDS:
            newer = newer[:MAX_DELTA_RECORDS]
            to_revision = newer[-1].revision
        return entry_msgs.FeedDelta(revision, to_revision, tuple(newer))

    def _newer_than(self, revision: int) -> list[entry_msgs.FeedRecord]:
        newer = []
        for record in reversed(self._records):
            if record.revision <= revision:
                break
            newer.append(record)
        newer.reverse()
        return newer
