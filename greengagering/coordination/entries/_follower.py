"""An entry's copy of the fleet, and its lease to act on it."""

from greengagering.coordination.entries import _entry_messages as entry_msgs
from greengagering import state


class FleetFollower:
    """Applies the feed in order and knows until when it may be used."""

    def __init__(self, boot_id: str) -> None:
        self.boot_id = boot_id
        self.fleet = state.FleetState()
        self.lease_ends_s = float('-inf')
        self.is_given_back = False
        self.confirmed_revision = 0
        self.leader_id = ''
        self.leader_term = 0
        self.entries: tuple[entry_msgs.EntryAddress, ...] = ()
        self.snapshots_applied = 0

    @property
    def revision(self) -> int:
        """Revision that new calls are served by."""
        return self.fleet.revision

    def has_lease(self, now_s: float) -> bool:
        """Tell whether new calls may be served by this copy."""
        return not self.is_given_back and now_s < self.lease_ends_s

    def note_grant(self, grant: entry_msgs.LeaseGrant) -> bool:
        """Take a lease; return whether the leader is another than before.

        The lease counts from the send of the report that it answers, so the
        time that both messages took is never added to it.
        """
        if grant.entry_boot_id != self.boot_id:
            return False
        ends_s = grant.report_sent_at_s + grant.duration_s
        self.lease_ends_s = max(self.lease_ends_s, ends_s)
        self.confirmed_revision = max(
            self.confirmed_revision, grant.confirmed_revision
        )
        if grant.term < self.leader_term:
            return False
        is_new = grant.term > self.leader_term
        self.leader_term = grant.term
        self.leader_id = grant.leader_id
        if grant.entries is not None:
            self._note_entries(grant.entries, is_complete=grant.is_complete)
        return is_new

    def _note_entries(
        self,
        entries: tuple[entry_msgs.EntryAddress, ...],
        *,
        is_complete: bool,
    ) -> None:
        """Adopt the live entries; a partial list removes none."""
        known = {} if is_complete else {e.entry_id: e for e in self.entries}
        known.update({entry.entry_id: entry for entry in entries})
        self.entries = tuple(known[name] for name in sorted(known))

    def apply_delta(self, delta: entry_msgs.FeedDelta) -> bool:
        """Apply newer records; return False for a gap, which is sent again."""
        if delta.from_revision > self.revision:
            return False
        for record in delta.records:
            if record.revision > self.revision:
                state.apply_to_fleet(
                    self.fleet,
                    record.revision,
                    state.decode_record(record.payload),
                )
        if delta.to_revision > self.revision:
            self.fleet.revision = delta.to_revision
        return True

    def apply_snapshot(self, snapshot: entry_msgs.FeedSnapshot) -> bool:
        """Take a whole state; return False for one that would revert."""
        if snapshot.revision < self.revision:
            return False
        self.fleet = state.decode(snapshot.data, state.FleetState)
        self.snapshots_applied += 1
        return True
