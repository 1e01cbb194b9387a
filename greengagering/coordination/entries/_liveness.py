"""What an entry heard of each upstream's announcements, and when."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class LivenessOptions:
    """Times of announcements.

    Attributes:
        announce_interval_s: how often upstreams are told to announce.
        silence_timeout_s: silence after which an upstream gets no new call.
    """

    announce_interval_s: float = 0.5
    silence_timeout_s: float = 2.0


@dataclasses.dataclass(slots=True)
class HeardUpstream:
    """The newest announcement of one boot.

    Attributes:
        boot_id: boot of the upstream.
        sequence: number of the announcement.
        heard_at_s: this entry's clock when it arrived.
        in_flight_count: calls that run there by its own count.
        known_revision: revision known to be in force everywhere when it
            arrived.
        idle_revision: newest revision such that the upstream reported no
            call in flight in an announcement that it built after the
            revision was in force everywhere.
    """

    boot_id: str
    sequence: int
    heard_at_s: float
    in_flight_count: int
    known_revision: int
    idle_revision: int = 0


class Liveness:
    """Announcements heard, for the upstreams whose home this entry is."""

    def __init__(self, options: LivenessOptions) -> None:
        self.options = options
        self._heard: dict[str, HeardUpstream] = {}

    def get(self, vm: str) -> HeardUpstream | None:
        """Return what was heard of a VM, or None."""
        return self._heard.get(vm)

    def note(
        self,
        vm: str,
        boot_id: str,
        sequence: int,
        in_flight_count: int,
        known_revision: int,
        now_s: float,
    ) -> bool:
        """Record an announcement; return False for a late or repeated one."""
        former = self._heard.get(vm)
        idle_revision = 0
        if former is not None and former.boot_id == boot_id:
            if sequence <= former.sequence:
                return False
            # An upstream sends an announcement only after the answer to the
            # former one. So this one was built after the former arrived, and
            # any call counted as absent ended after that moment.
            idle_revision = former.idle_revision
            if in_flight_count == 0 and sequence == former.sequence + 1:
                idle_revision = max(idle_revision, former.known_revision)
        self._heard[vm] = HeardUpstream(
            boot_id=boot_id,
            sequence=sequence,
            heard_at_s=now_s,
            in_flight_count=in_flight_count,
            known_revision=known_revision,
            idle_revision=idle_revision,
        )
        return True

    def watch(
        self, vm: str, boot_id: str, sequence: int, now_s: float
    ) -> None:
        """Start the silence timeout of an upstream that became this home's."""
        former = self._heard.get(vm)
        if former is not None and former.boot_id == boot_id:
            return
        self._heard[vm] = HeardUpstream(boot_id, sequence, now_s, 0, 0)

    def forget(self, vm: str) -> None:
        """Drop an upstream whose home is another entry."""
        self._heard.pop(vm, None)

    def is_silent(self, vm: str, now_s: float) -> bool:
        """Tell whether an upstream's announcements have stopped."""
        return self.silent_for_s(vm, now_s) > 0

    def silent_for_s(self, vm: str, now_s: float) -> float:
        """Return for how long an upstream has been silent, or 0.

        One that was never heard counts from its first mention by others.
        """
        heard = self._heard.get(vm)
        if heard is None:
            return 0.0
        silent_s = now_s - heard.heard_at_s
        if silent_s <= self.options.silence_timeout_s:
            return 0.0
        return silent_s
