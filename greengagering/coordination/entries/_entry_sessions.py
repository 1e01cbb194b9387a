"""Leases and confirmed revisions of entries, as the leader tracks them."""

import dataclasses

from greengagering.coordination.entries import _entry_messages as entry_msgs

RESEND_AFTER_S = 0.5
"""Time after which unconfirmed feed records count as lost and are resent."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseOptions:
    """Timing of the entries' leases.

    Attributes:
        duration_s: how long an entry may serve after sending the report that
            the lease answers.
        clock_drift_ratio: upper limit of the relative difference between the
            rates of two clocks.
        max_lag_s: how long an entry may take to apply a revision before its
            lease is no longer extended.
    """

    duration_s: float = 1.8
    max_lag_s: float = 1.0
    clock_drift_ratio: float = 0.05

    @property
    def max_duration_s(self) -> float:
        """How long the leader waits before it considers a lease expired."""
        return self.duration_s * (1 + self.clock_drift_ratio)


@dataclasses.dataclass(slots=True)
class EntrySession:
    """One process of an entry that holds or held a lease.

    Attributes:
        entry_id: the entry.
        boot_id: its process.
        address: where its peers reach it.
        lease_ends_s: leader's clock after which it admits no new call.
        applied_revision: revision that it applies to new calls.
        sent_revision: newest revision that was sent to it.
        sent_at_s: leader's clock when that was sent.
        busy_vms: VMs out of service with calls of this entry in flight.
        reported_at_s: entry's clock when it sent its newest report.
        awaited_revision: revision that it should have applied by now.
        awaited_since_s: leader's clock when the wait for it began.
    """

    entry_id: str
    boot_id: str
    address: str
    lease_ends_s: float
    applied_revision: int
    sent_revision: int
    sent_at_s: float
    busy_vms: frozenset[str]
    reported_at_s: float
    awaited_revision: int
    awaited_since_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReportOutcome:
    """Result of a report.

    Attributes:
        session: session of the reporting process.
        is_granted: whether the lease was extended, so that a LeaseGrant may
            be sent.
    """

    session: EntrySession
    is_granted: bool


class EntrySessions:
    """Sessions of the current term.

    A new leader doesn't know which entries hold leases of its predecessor.
    Until the longest such lease has expired, it considers no revision in
    force.
    """

    def __init__(self, options: LeaseOptions, elected_at_s: float) -> None:
        self.options = options
        self._former_leases_end_s = elected_at_s + options.max_duration_s
        self._sessions: dict[tuple[str, str], EntrySession] = {}

    def handle_report(
        self,
        report: entry_msgs.EntryReport,
        feed_revision: int,
        now_s: float,
        *,
        is_caught_up: bool,
    ) -> ReportOutcome:
        """Record a report, and extend the lease of an up-to-date entry.

        Args:
            report: the report.
            feed_revision: newest revision of the feed.
            now_s: leader's clock.
            is_caught_up: whether the entry is up to date enough for a lease.
        """
        session = self._session_of(report, now_s)
        if report.sent_at_s < session.reported_at_s:
            # A newer report has arrived already.
            return ReportOutcome(session, is_granted=False)
        session.reported_at_s = report.sent_at_s
        session.address = report.address
        session.busy_vms = frozenset(report.busy_vms)
        session.applied_revision = max(
            session.applied_revision, report.applied_revision
        )
        self._update_sent_revision(session, report, now_s)
        if report.is_leaving:
            # A leaving entry starts no further call, so its lease can end
            # at once.
            session.lease_ends_s = now_s
            return ReportOutcome(session, is_granted=False)
        if report.applied_revision >= session.awaited_revision:
            session.awaited_revision = feed_revision
            session.awaited_since_s = now_s
        is_granted = is_caught_up and not self._is_lagging(session, now_s)
        if is_granted:
            session.lease_ends_s = now_s + self.options.max_duration_s
        return ReportOutcome(session, is_granted)

    def _is_lagging(self, session: EntrySession, now_s: float) -> bool:
        """Return whether an entry has been behind for more than max_lag_s.

        Without this limit, the leader would keep extending the lease of an
        entry that can send but not receive, and no newer revision would come
        into force.
        """
        is_behind = session.applied_revision < session.awaited_revision
        waited_s = now_s - session.awaited_since_s
        return is_behind and waited_s > self.options.max_lag_s

    def live(self, now_s: float) -> list[EntrySession]:
        """Return the sessions whose leases may not have expired yet."""
        self._drop_expired(now_s)
        return list(self._sessions.values())

    def is_complete(self, now_s: float) -> bool:
        """Return whether every entry that may hold a lease is known."""
        return now_s >= self._former_leases_end_s

    def confirmed_revision(self, now_s: float, applied_revision: int) -> int:
        """Return the newest revision in force on every entry, or 0.

        Args:
            now_s: leader's clock.
            applied_revision: revision that the leader has applied; returned
                when no entry holds a lease.
        """
        if not self.is_complete(now_s):
            return 0
        revisions = [s.applied_revision for s in self.live(now_s)]
        return min(revisions, default=applied_revision)

    def addresses(self, now_s: float) -> tuple[entry_msgs.EntryAddress, ...]:
        """Return the live entries, sorted by name."""
        newest = {s.entry_id: s.address for s in self.live(now_s)}
        return tuple(
            entry_msgs.EntryAddress(entry_id, newest[entry_id])
            for entry_id in sorted(newest)
        )

    def _session_of(
        self, report: entry_msgs.EntryReport, now_s: float
    ) -> EntrySession:
        """Return the session of a report; a new one has no lease yet."""
        key = (report.entry_id, report.boot_id)
        session = self._sessions.get(key)
        if session is None:
            session = EntrySession(
                entry_id=report.entry_id,
                boot_id=report.boot_id,
                address=report.address,
                lease_ends_s=now_s,
                applied_revision=report.applied_revision,
                sent_revision=report.applied_revision,
                sent_at_s=now_s,
                busy_vms=frozenset(),
                reported_at_s=report.sent_at_s,
                awaited_revision=0,
                awaited_since_s=now_s,
            )
            self._sessions[key] = session
        return session

    def _update_sent_revision(
        self,
        session: EntrySession,
        report: entry_msgs.EntryReport,
        now_s: float,
    ) -> None:
        """Go back to the applied revision if deltas were lost, to resend them.

        Deltas that were sent less than RESEND_AFTER_S ago may still arrive.
        """
        applied = report.applied_revision
        is_resend_due = now_s >= session.sent_at_s + RESEND_AFTER_S
        if applied >= session.sent_revision or is_resend_due:
            session.sent_revision = applied

    def _drop_expired(self, now_s: float) -> None:
        expired = [
            key
            for key, session in self._sessions.items()
            if now_s >= session.lease_ends_s
        ]
        for key in expired:
            del self._sessions[key]
