"""When a replica first knew of each incarnation, by its own steady clock."""


class SeenTimes:
    """Times at which incarnations were applied to this replica's state.

    Every replica keeps them, so that one that begins to lead can tell a worker
    that has just restarted from one that did long ago. An incarnation of a
    snapshot was seen before that was loaded; nobody knows when.
    """

    def __init__(self) -> None:
        self._times: dict[str, float] = {}
        self._loaded_at_s: float | None = None

    def note(self, life_key: str, now_s: float) -> None:
        """Note that an incarnation is known, unless that was noted before."""
        self._times.setdefault(life_key, now_s)

    def forget(self, life_key: str) -> None:
        """Forget an incarnation that is over."""
        self._times.pop(life_key, None)

    def mark_loaded(self, now_s: float) -> None:
        """Note that a snapshot was loaded before this time, if none was."""
        if self._loaded_at_s is None:
            self._loaded_at_s = now_s

    def mark_unloaded(self) -> None:
        """Note that a snapshot is loaded now, at an unknown time."""
        self._loaded_at_s = None

    def find_latest_s(self, life_key: str, now_s: float) -> float:
        """Return a time at which an incarnation was known already."""
        loaded_at_s = now_s if self._loaded_at_s is None else self._loaded_at_s
        return min(self._times.get(life_key, loaded_at_s), now_s)
