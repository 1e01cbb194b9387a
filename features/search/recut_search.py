"""Fault search over workers that restart and are cut off soon after.

A process that is back under its worker's name carries out orders that were
meant for the former one, and may hold a longer lease by them than any order to
itself has granted. It is cut off before the leader, which may be a new one,
has sent it more orders, and runs on until that lease has ended.
"""

import dataclasses
import heapq
import itertools
import random
from typing import Any

from features.search import job_search
from features.search.replica_search import InvariantError
from greengagering import coordination
from greengagering import state

RECUT_RATIO = 0.015
"""Share of steps in which a worker restarts and is then cut off."""

SUBMIT_RATIO = 0.08
CONTROL_RATIO = 0.03
"""Shares of steps in which a job is submitted, and in which a control process
that was stopped starts again."""

AWAY_S = (0.05, 0.6)
"""Time until a worker that has crashed is back."""

HELD_S = (0.0, 0.9)
"""Time from then until orders that were sent while it was away arrive; its
first report comes at about the end of it."""

LEADER_RATIO = 0.5
"""Share of restarts after which the leader is lost as well."""

LEADER_S = (0.3, 2.0)
CUT_S = (1.0, 4.0)
"""Time from when the worker is back until the leader is lost, and until the
worker is cut off."""

CUT_FOR_S = 9.0
RUN_S = (1.0, 7.0)
FINAL_RUN_S = 0.3
"""Run time once the faults are over, when all that waits has to be done."""

LASTING_RUN_S = 1000.0
REFUSED_S = 0.001
"""Time until a connection is refused."""


@dataclasses.dataclass
class RecutResult(job_search.JobResult):
    """Counts of what a schedule exercised.

    Attributes:
        recuts: restarts of workers that were cut off after them.
        held_orders: orders that reached the process after the one that they
            were meant for.
        lapsed_lives: processes that leaders declared over as their lease had
            ended, with runs.
    """

    recuts: int = 0
    held_orders: int = 0
    lapsed_lives: int = 0


class RecutSearch(job_search.JobSearch):
    """One random schedule of jobs whose workers restart and are cut off."""

    result: RecutResult

    def __init__(self, seed: int) -> None:
        self._recut_rng = random.Random(f'recuts {seed}')
        self._numbers = itertools.count()
        self._due: list[tuple[float, int, Any, str]] = []
        self._held_until_s: dict[str, float] = {}
        super().__init__(seed)
        self.result = RecutResult()
        # An order that is lost or late for another reason makes the leader
        # wait for longer than any lease.
        self.late_ratio = self.late_poll_ratio = 0.0
        self.lost_ratio = self.unsent_ratio = 0.0
        self.has_refusals = False

    def _inject_fault(self) -> None:
        while self._due and self._due[0][0] <= self.now_s:
            _, _, action, name = heapq.heappop(self._due)
            action(name)
        if self._recut_rng.random() < RECUT_RATIO:
            self._restart(self._recut_rng.choice(sorted(self.workers)))
        draw = self.rng.random()
        if draw < SUBMIT_RATIO:
            self._submit()
        elif draw < SUBMIT_RATIO + CONTROL_RATIO:
            self._restart_control()

    def _follow_decision(
        self, core: coordination.ControlCore, decision: coordination.Decision
    ) -> None:
        super()._follow_decision(core, decision)
        fields = decision.fields
        if (
            decision.event != 'life_over'
            or fields['cause'] != state.LEASE_LAPSED
        ):
            return
        self.result.lapsed_lives += bool(fields['runs'])
        for worker in self.workers.values():
            if not worker.is_up or worker.facts().key != fields['life']:
                continue
            left_ms = worker.lease_ms - worker.clock_ms(self.now_s)
            if worker.runs and left_ms > 0:
                raise InvariantError(
                    f'{fields["life"]} is over, and holds a lease for '
                    f'{left_ms:.0f} ms more, with {sorted(worker.runs)}'
                )

    def _plan(self, delay_s: float, action: Any, name: str) -> None:
        item = (self.now_s + delay_s, next(self._numbers), action, name)
        heapq.heappush(self._due, item)

    def _restart(self, name: str) -> None:
        """Let a worker restart, and be cut off some time after that."""
        rng = self._recut_rng
        if not self.workers[name].is_up or name in self._held_until_s:
            return
        self._crash(name)
        away_s = rng.uniform(*AWAY_S)
        self.down_until_s[name] = self.now_s + away_s
        self._held_until_s[name] = self.now_s + away_s + rng.uniform(*HELD_S)
        self.result.recuts += 1
        if rng.random() < LEADER_RATIO:
            self._plan(away_s + rng.uniform(*LEADER_S), self._lose, name)
        self._plan(away_s + rng.uniform(*CUT_S), self._cut, name)

    def _lose(self, _: str) -> None:
        """Stop the leader."""
        for node in self._running():
            if node.core is not None and node.core.jobs.is_leading:
                self._stop_control(node)
                return

    def _cut(self, name: str) -> None:
        """Let a worker reach nobody, and nobody reach it."""
        self._held_until_s.pop(name, None)
        self.disconnected_until_s[name] = self.now_s + CUT_FOR_S
        self.add_trace('worker_recut', worker=name)

    def _advance(self) -> None:
        for worker in self.workers.values():
            if self.is_fault_free:
                worker.run_s = FINAL_RUN_S
            elif worker.run_s is None:
                worker.run_s = self._recut_rng.uniform(*RUN_S)
            worker.lasting_run_s = LASTING_RUN_S
        super()._advance()

    def _send(self, transit: job_search.Transit) -> None:
        """Hold an order back until its worker's next process is there."""
        until_s = self._held_until_s.get(transit.order.life.worker_id, 0.0)
        if self.is_fault_free or self.now_s >= until_s:
            super()._send(transit)
            return
        self.result.held_orders += 1
        is_lost = self._recut_rng.random() < 0.5
        held = dataclasses.replace(
            transit,
            is_answer_lost=is_lost,
            is_queued=True,
            limits_number=self._limits_number,
        )
        self._push(until_s, held)
        if is_lost:
            no_answer = dataclasses.replace(transit, is_answer=True)
            self._push(self.now_s + job_search.ANSWER_TIMEOUT_S, no_answer)

    def _fail_sending(
        self, transit: job_search.Transit, is_disconnected: bool
    ) -> None:
        """Refuse connections to a worker that is cut off."""
        if not is_disconnected or not isinstance(
            transit.order, coordination.LookOrder
        ):
            super()._fail_sending(transit, is_disconnected)
            return
        answer = coordination.LookAnswer(
            coordination.OrderOutcome.NO_ANSWER, is_refused=True
        )
        back = dataclasses.replace(transit, answer=answer, is_answer=True)
        self._push(self.now_s + REFUSED_S, back)
