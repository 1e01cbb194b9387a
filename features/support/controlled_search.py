"""Fault search over jobs whose clock scenarios advance."""

from collections.abc import Callable

from features.search import job_search


class ControlledSearch(job_search.JobSearch):
    """A fault search that scenarios step through."""

    def advance(self, seconds: float) -> None:
        """Advance the virtual clock."""
        ends_s = self.now_s + seconds
        while self.now_s < ends_s:
            self._advance()

    def advance_until(
        self, condition: Callable[[], bool], within_s: float
    ) -> None:
        """Advance the virtual clock until a condition is met.

        Raises:
            AssertionError: it was not met in time.
        """
        ends_s = self.now_s + within_s
        while not condition():
            assert self.now_s < ends_s, (
                f'not within {within_s:g} s: {self.trace[-12:]}'
            )
            self._advance()

    def has_leader(self) -> bool:
        """Tell whether a replica leads and may send orders."""
        return any(
            node.core is not None
            and node.core.jobs.is_leading
            and node.core.replica.has_lease(node.clock.read(self.now_s))
            for node in self._running()
        )
