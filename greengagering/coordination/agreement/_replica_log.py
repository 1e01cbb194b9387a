"""In-memory view of a replica's log over its durable storage."""

import dataclasses

from greengagering import state


@dataclasses.dataclass(frozen=True, slots=True)
class _MembershipAt:
    """A membership and the index of the entry or snapshot that holds it."""

    index: int
    membership: state.Membership


class ReplicaLog:
    """Entries after the snapshot, written through to storage.

    Storage is always written before memory, so a storage error leaves both
    as they were.
    """

    def __init__(
        self, storage: state.LogStorage, initial: state.Membership
    ) -> None:
        stored = storage.load()
        self.storage = storage
        self.vote = stored.vote
        self.snapshot = stored.snapshot
        self._entries = stored.entries
        base = initial
        if stored.snapshot is not None:
            base = stored.snapshot.membership
        self._memberships = [_MembershipAt(self.snapshot_index, base)]
        for entry in stored.entries:
            self._track_membership(entry)
        # Everything read from storage is durable.
        self.synced_index = self.last_index

    @property
    def snapshot_index(self) -> int:
        """Index that the snapshot covers, or 0."""
        return self.snapshot.index if self.snapshot else 0

    @property
    def last_index(self) -> int:
        """Index of the last entry or of the snapshot."""
        if self._entries:
            return self._entries[-1].index
        return self.snapshot_index

    @property
    def last_term(self) -> int:
        """Term at last_index."""
        return self.term_at(self.last_index) or 0

    @property
    def membership(self) -> state.Membership:
        """Newest membership in the log, committed or not."""
        return self._memberships[-1].membership

    @property
    def membership_index(self) -> int:
        """Index of the entry or snapshot that holds the newest membership."""
        return self._memberships[-1].index

    def term_at(self, index: int) -> int | None:
        """Return the term at an index, or None if it isn't known."""
        if index == 0:
            return 0
        if index == self.snapshot_index and self.snapshot is not None:
            return self.snapshot.term
        entry = self.get(index)
        return entry.term if entry else None

    def get(self, index: int) -> state.LogEntry | None:
        """Return the entry at an index, or None if it isn't in memory."""
        position = index - self.snapshot_index - 1
        if 0 <= position < len(self._entries):
            return self._entries[position]
        return None

    def slice(
        self, first: int, max_count: int, max_bytes: int
    ) -> tuple[state.LogEntry, ...]:
        """Return entries from an index on, at least one if there is any."""
        start = first - self.snapshot_index - 1
        chosen: list[state.LogEntry] = []
        size_bytes = 0
        for entry in self._entries[start : start + max_count]:
            size_bytes += len(entry.payload)
            if chosen and size_bytes > max_bytes:
                break
            chosen.append(entry)
        return tuple(chosen)

    def save_vote(self, vote: state.Vote) -> None:
        """Make a vote durable.

        Raises:
            StorageError: the vote isn't durable and must not be sent.
        """
        self.storage.save_vote(vote)
        self.vote = vote

    def append(self, entries: list[state.LogEntry]) -> None:
        """Replace the log from the first entry's index on, durably.

        Raises:
            StorageError: the entries aren't durable and must not be
                acknowledged.
        """
        if not entries:
            return
        self.storage.append(entries)
        self._put_in_memory(entries)
        self.synced_index = self.last_index

    def write(self, entries: list[state.LogEntry]) -> None:
        """Append entries without a sync; see mark_synced.

        Raises:
            StorageError: the entries weren't written.
        """
        self.storage.write(entries)
        self._put_in_memory(entries)

    def mark_synced(self, index: int) -> None:
        """Record that a sync made every entry up to an index durable.

        Raises:
            StorageError: no further write is possible.
        """
        self.synced_index = max(self.synced_index, index)
        self.storage.tell_synced()

    def sync(self) -> None:
        """Make every entry durable.

        Raises:
            StorageError: they aren't durable and must not be acknowledged.
        """
        self.storage.begin_sync()()
        self.mark_synced(self.last_index)

    def _put_in_memory(self, entries: list[state.LogEntry]) -> None:
        first = entries[0].index
        del self._entries[first - self.snapshot_index - 1 :]
        while self._memberships[-1].index >= first:
            self._memberships.pop()
        self._entries.extend(entries)
        for entry in entries:
            self._track_membership(entry)

    def compact(self, index: int, data: bytes) -> None:
        """Replace the entries up to an applied index by a snapshot.

        Raises:
            StorageError: the log is unchanged.
        """
        term = self.term_at(index)
        if term is None or index <= self.snapshot_index:
            return
        snapshot = state.Snapshot(
            index=index,
            term=term,
            membership=self.membership_at(index),
            data=data,
        )
        self._replace(snapshot, self._entries[index - self.snapshot_index :])

    def install(self, snapshot: state.Snapshot) -> None:
        """Install a leader's snapshot.

        Later entries are kept only if the log has the same term as the
        snapshot at the snapshot's index.

        Raises:
            StorageError: the log is unchanged.
        """
        tail: list[state.LogEntry] = []
        if self.term_at(snapshot.index) == snapshot.term:
            tail = self._entries[snapshot.index - self.snapshot_index :]
        self._replace(snapshot, tail)

    def membership_at(self, index: int) -> state.Membership:
        """Return the newest membership of the log up to an index."""
        held = [m for m in self._memberships if m.index <= index]
        return held[-1].membership

    def _replace(
        self, snapshot: state.Snapshot, tail: list[state.LogEntry]
    ) -> None:
        self.storage.save_snapshot(snapshot, tail)
        self.snapshot = snapshot
        self._entries = tail
        self._memberships = [
            _MembershipAt(snapshot.index, snapshot.membership)
        ]
        for entry in tail:
            self._track_membership(entry)
        self.synced_index = self.last_index

    def _track_membership(self, entry: state.LogEntry) -> None:
        if entry.kind is state.EntryKind.MEMBERSHIP:
            membership = state.decode(entry.payload, state.Membership)
            self._memberships.append(_MembershipAt(entry.index, membership))
