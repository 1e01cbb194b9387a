"""Latest announcements of upstreams, and timeouts of silent ones."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class LivenessOptions:
    """Timing of announcements.

    Attributes:
        announce_interval_s: how often upstreams are asked to announce.
        silence_timeout_s: silence after which an upstream gets no new call.
    """

    announce_interval_s: float = 0.5
    silence_timeout_s: float = 2.0


@dataclasses.dataclass(slots=True)
class LatestAnnouncement:
    """The latest announcement of an upstream's current boot.

    Attributes:
        boot_id: boot of the upstream.
        sequence: number of the announcement.
        received_at_s: this entry's clock when it arrived.
        in_flight_count: calls in flight there by the upstream's own count.
        confirmed_revision: newest revision known to be in force on every
            entry when it arrived.
        idle_revision: newest revision that was in force on every entry
            before the upstream built an announcement that reported no call
            in flight.
    """

    boot_id: str
    sequence: int
    received_at_s: float
    in_flight_count: int
    confirmed_revision: int
    idle_revision: int = 0


class Liveness:
    """Announcements of the upstreams that this entry owns."""

    def __init__(self, options: LivenessOptions) -> None:
        self.options = options
        self._latest: dict[str, LatestAnnouncement] = {}

    def get(self, vm: str) -> LatestAnnouncement | None:
        """Return the latest announcement of a VM, or None."""
        return self._latest.get(vm)

    def record(
        self,
        vm: str,
        boot_id: str,
        sequence: int,
        in_flight_count: int,
        confirmed_revision: int,
        now_s: float,
    ) -> bool:
        """Record an announcement; return False for an old or repeated one."""
        former = self._latest.get(vm)
        idle_revision = 0
        if former is not None and former.boot_id == boot_id:
            if sequence <= former.sequence:
                return False
            # An upstream sends an announcement only after the previous one
            # was answered. This one was therefore built after the previous
            # one arrived, when its confirmed_revision was already in force,
            # and a count of zero holds for a moment after that.
            idle_revision = former.idle_revision
            if in_flight_count == 0 and sequence == former.sequence + 1:
                idle_revision = max(idle_revision, former.confirmed_revision)
        self._latest[vm] = LatestAnnouncement(
            boot_id=boot_id,
            sequence=sequence,
            received_at_s=now_s,
            in_flight_count=in_flight_count,
            confirmed_revision=confirmed_revision,
            idle_revision=idle_revision,
        )
        return True

    def watch(
        self, vm: str, boot_id: str, sequence: int, now_s: float
    ) -> None:
        """Start the silence timeout of an upstream that this entry owns."""
        former = self._latest.get(vm)
        if former is not None and former.boot_id == boot_id:
            return
        self._latest[vm] = LatestAnnouncement(boot_id, sequence, now_s, 0, 0)

    def forget(self, vm: str) -> None:
        """Drop an upstream that another entry owns."""
        self._latest.pop(vm, None)

    def is_silent(self, vm: str, now_s: float) -> bool:
        """Return whether an upstream's announcements have stopped."""
        return self.silent_for_s(vm, now_s) > 0

    def silent_for_s(self, vm: str, now_s: float) -> float:
        """Return for how long an upstream has been silent, or 0.

        For an upstream that has not announced itself to this entry, the time
        counts from the call of watch.
        """
        latest = self._latest.get(vm)
        if latest is None:
            return 0.0
        silent_s = now_s - latest.received_at_s
        if silent_s <= self.options.silence_timeout_s:
            return 0.0
        return silent_s
