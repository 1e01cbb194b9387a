"""An entry's copy of the fleet state, and the lease to route by it."""

from greengagering.coordination.entries import _entry_messages as entry_msgs
from greengagering import state


class FleetFollower:
    """Applies the feed in order, and tracks the lease.

    Attributes:
        entries: the entries with a lease, as the leader last listed them.
        entries_known_at_s: this entry's clock; a lease granted before then is
            in the list unless it has ended.
    """

    def __init__(self, boot_id: str) -> None:
        self.boot_id = boot_id
        self.fleet = state.FleetState()
        self.lease_ends_s = float('-inf')
        self.is_lease_returned = False
        self.confirmed_revision = 0
        self.leader_id = ''
        self.leader_term = 0
        self.entries: tuple[entry_msgs.EntryAddress, ...] = ()
        self.entries_known_at_s = float('-inf')
        self.snapshots_applied = 0

    @property
    def revision(self) -> int:
        """Revision by which new calls are routed."""
        return self.fleet.revision

    def has_lease(self, now_s: float) -> bool:
        """Return whether new calls may be routed by this copy."""
        return not self.is_lease_returned and now_s < self.lease_ends_s

    def apply_grant(self, grant: entry_msgs.LeaseGrant) -> bool:
        """Apply a lease grant; return whether it comes from a new leader.

        The lease starts when the answered report was sent, so message delays
        never extend it.
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
            self._update_entries(grant.entries, is_complete=grant.is_complete)
        if grant.is_complete:
            self.entries_known_at_s = max(
                self.entries_known_at_s, grant.report_sent_at_s
            )
        return is_new

    def _update_entries(
        self,
        entries: tuple[entry_msgs.EntryAddress, ...],
        *,
        is_complete: bool,
    ) -> None:
        """Update the live entries; an incomplete list removes none."""
        known = {} if is_complete else {e.entry_id: e for e in self.entries}
        known.update({entry.entry_id: entry for entry in entries})
        self.entries = tuple(known[name] for name in sorted(known))

    def apply_delta(self, delta: entry_msgs.FeedDelta) -> bool:
        """Apply newer records; return False if earlier ones are missing.

        The leader sends missing records again.
        """
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
        """Replace the fleet state; return False for an older snapshot."""
        if snapshot.revision < self.revision:
            return False
        self.fleet = state.decode(snapshot.data, state.FleetState)
        self.snapshots_applied += 1
        return True
