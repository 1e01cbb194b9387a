"""Fault search over workers that often restart while agents hold orders."""

from features.search import job_search

RESTART_RATIO = 0.02
"""Share of steps in which one more worker crashes."""

AWAY_S = 0.05
"""Time until a worker that has crashed is back under its name."""

HELD_RATIO = 0.25
"""Share of orders that an agent sends to whichever process has the worker's
name by then."""


class RestartSearch(job_search.JobSearch):
    """One random schedule of jobs whose workers restart at once."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed, has_agents=True, breaks_connections=True)
        self.queued_ratio = HELD_RATIO

    def _inject_fault(self) -> None:
        if self.sending_rng.random() < RESTART_RATIO:
            self._crash_worker()
        super()._inject_fault()

    def _crash(self, name: str) -> None:
        super()._crash(name)
        if name in self.down_until_s:
            self.down_until_s[name] = self.now_s + AWAY_S
