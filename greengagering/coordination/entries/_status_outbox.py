"""Upstream statuses that the leader has not acknowledged yet."""

MAX_STATUSES_PER_REPORT = 500


class StatusOutbox:
    """Keeps each changed status until the report with it is answered."""

    def __init__(self) -> None:
        self._sent_at_s: dict[str, float | None] = {}

    def __len__(self) -> int:
        return len(self._sent_at_s)

    def queue(self, vm: str) -> None:
        """Mark a VM's status as changed."""
        self._sent_at_s[vm] = None

    def has_unsent(self) -> bool:
        """Return whether a status was never sent."""
        return any(sent is None for sent in self._sent_at_s.values())

    def take(self, now_s: float) -> list[str]:
        """Return the VMs whose statuses go into the report sent now."""
        chosen = list(self._sent_at_s)[:MAX_STATUSES_PER_REPORT]
        for vm in chosen:
            self._sent_at_s[vm] = now_s
        return chosen

    def acknowledge(self, report_sent_at_s: float) -> None:
        """Forget the statuses that an answered report carried."""
        done = [
            vm
            for vm, sent in self._sent_at_s.items()
            if sent is not None and sent <= report_sent_at_s
        ]
        for vm in done:
            del self._sent_at_s[vm]
