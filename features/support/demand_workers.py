"""Simulated workers of a day of demand; see demand_world."""

import dataclasses
import math

from greengagering import coordination
from greengagering import state

ROOM = state.Room(32_000, 131_072)
MAX_LEASE_S = 10.0

_outcomes = coordination.OrderOutcome


@dataclasses.dataclass
class Run:
    """A run on a worker."""

    key: state.RunKey
    ends_s: float


class Worker:
    """A worker without faults; its clock is the simulation's.

    Attributes:
        holds_leases: whether its runs end with its lease.
        lapse_count: number of runs that ended with its lease.
    """

    def __init__(
        self,
        name: str,
        service: str,
        started_s: float,
        *,
        holds_leases: bool = False,
    ) -> None:
        self.facts = state.WorkerFacts(
            name,
            int(started_s * 1000) + 1,
            service,
            f'{name}:80',
            'dc-1',
            f'rack-{sum(name.encode()) % 12}',
            (),
            ROOM,
        )
        self.runs: dict[str, Run] = {}
        self.ended: list[state.RunEnd] = []
        self.end_count = 0
        self.reports_at_s = started_s
        self.sequence = 0
        self.holds_leases = holds_leases
        self.lapse_count = 0
        self._lease_ends_s = -math.inf
        self._last_ended_runs: dict[str, int] = {}

    def end_due(self, now_s: float) -> None:
        """End the runs whose run time is over, or all with the lease."""
        if self.holds_leases and now_s > self._lease_ends_s:
            for name in list(self.runs):
                self.end(name, state.RunEnding.LAPSED)
                self.lapse_count += 1
        for name, run in list(self.runs.items()):
            if now_s >= run.ends_s:
                self.end(name, state.RunEnding.DONE)

    def end(self, name: str, ending: state.RunEnding) -> None:
        """End a run."""
        run = self.runs.pop(name)
        self.end_count += 1
        self.ended.append(state.RunEnd(self.end_count, run.key, ending, ''))
        last_run = self._last_ended_runs.get(name, 0)
        self._last_ended_runs[name] = max(last_run, run.key.run)

    def start(
        self, order: coordination.StartOrder, run_s: float, now_s: float
    ) -> coordination.OrderOutcome:
        """Carry out an order to start a run."""
        name = order.key.task_name
        present = self.runs.get(name)
        if present is not None and present.key.run == order.key.run:
            return _outcomes.DONE
        if order.until_ms < int(now_s * 1000):
            return _outcomes.LATE
        self._extend_lease(order.until_ms, now_s)
        last_run = self._last_ended_runs.get(name, 0)
        if present is not None or order.key.run <= last_run:
            return _outcomes.OLD_RUN
        self.runs[name] = Run(order.key, now_s + run_s)
        return _outcomes.DONE

    def stop(self, order: coordination.StopOrder) -> coordination.OrderOutcome:
        """Carry out an order to stop a run, or to refuse it from now on."""
        name = order.key.task_name
        present = self.runs.get(name)
        if present is not None and present.key.run <= order.key.run:
            self.end(name, state.RunEnding.STOPPED)
        last_run = self._last_ended_runs.get(name, 0)
        self._last_ended_runs[name] = max(last_run, order.key.run)
        return _outcomes.DONE

    def take_poll(self, poll: coordination.LookOrder, now_s: float) -> None:
        """Drop the ends that a poll notes, and take the lease it grants."""
        self._extend_lease(poll.until_ms, now_s)
        self.ended = [e for e in self.ended if e.number > poll.noted_end]

    def list_runs(self, now_s: float) -> coordination.LookAnswer:
        """Return the lists."""
        return coordination.LookAnswer(
            _outcomes.DONE,
            int(now_s * 1000),
            self.facts.born_ms,
            tuple(
                coordination.ListedRun(run.key, '', 100, None)
                for run in self.runs.values()
            ),
            tuple(self.ended),
        )

    def _extend_lease(self, until_ms: int, now_s: float) -> None:
        until_s = min(until_ms / 1000, now_s + MAX_LEASE_S)
        self._lease_ends_s = max(self._lease_ends_s, until_s)
