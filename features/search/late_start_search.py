"""Fault search over starts that are carried out late, by several agents.

The orders to a worker go through several agents with queues of their own, so
two sendings of a start overtake each other: one may be refused, or find its
run ended, while the other still waits. An order without an answer is carried
out seconds later by whichever process has the worker's name then.

One case can't be prevented: a late start reaches a process that no leader can
have ordered to refuse it yet. LateStartLedger tells it from the others.
"""

import dataclasses
import random
from typing import Any

import fire

from features.search import job_search
from features.search import late_start_fakes
from features.search import leave_search
from features.search.replica_search import InvariantError
from greengagering import coordination
from greengagering import state

AGENT_COUNT = 3
OTHER_AGENT_RATIO = 0.4
"""Share of orders that don't go through a worker's usual agent."""

RESTART_RATIO = 0.01
"""Share of steps in which one more worker crashes."""

AWAY_S = 0.05
"""Time until a worker that has crashed is back under its name."""

LEADER_RATIO = 0.008
"""Share of steps in which the leader stops, or is frozen."""

LEADER_FROZEN_S = (0.3, 3.0)
AGENT_RESTART_RATIO = 0.02
"""Share of steps in which an agent restarts; its queues are lost."""

STUCK_RATIO = 0.04
"""Share of steps in which an agent begins to hold a worker's orders back."""

STUCK_S = (0.05, 0.6)
LINK_S = (0.001, 0.02)
SLOW_LINK_RATIO = 0.1
SLOW_LINK_S = (0.05, 0.5)
"""Time of a message to an agent or back whose link is full."""

MAX_WAIT_S = 0.4
"""Longest time that an order waits at an agent, which then doesn't send it."""

MAX_PERMIT_S = 1.0
"""Longest time after its decision in which an agent sends an order."""

ANSWER_TIMEOUT_S = 1.1
"""Time after which the leader gives an order through an agent up."""

LATE_RATIOS = (0.05, 0.2, 0.5)
"""Shares of orders that get no answer and are carried out late, of which each
schedule has one."""

LOST_RATIO = 0.05
"""Share of orders that are carried out at once, and whose answer is lost."""

REFUSAL_S = 0.4
"""Time from when a leader knows of a process until it must have sent it the
orders to refuse late starts, or have held back what it had decided: some steps
of the search."""

REFUSAL_VALIDITY_S = 1.5
"""Time after such an order in which it must be sent again."""


@dataclasses.dataclass
class LateStartResult(job_search.JobResult):
    """Counts of what a schedule exercised.

    Attributes:
        agent_restarts: restarts of agents with orders in their queues.
        twins: orders that an agent dropped as another sending of them waited
            there.
        overtaken: starts that reached a worker before an earlier sending.
        refused_under_way: refusals of a start while another sending of it was
            under way.
        late_starts: late starts that reached a later process of the worker.
        late_refused: those of them that were not carried out.
        unpreventable: those of them that were, and could not be prevented.
        absent_under_way: runs voided as absent of which a sending of an
            earlier term was under way.
    """

    agent_restarts: int = 0
    twins: int = 0
    overtaken: int = 0
    refused_under_way: int = 0
    late_starts: int = 0
    late_refused: int = 0
    unpreventable: int = 0
    absent_under_way: int = 0


class LateStartSearch(leave_search.LeaveSearch):
    """One random schedule of jobs with several agents and late starts."""

    result: LateStartResult
    ledger: late_start_fakes.LateStartLedger

    def __init__(self, seed: int) -> None:
        self._late_rng = random.Random(f'late starts {seed}')
        self._late_order_ratio = self._late_rng.choice(LATE_RATIOS)
        self._agents = [
            late_start_fakes.FakeAgent(n) for n in range(AGENT_COUNT)
        ]
        self._sendings: dict[str, list[late_start_fakes.Sending]] = {}
        self._sending_count = 0
        self._newest_arrivals: dict[str, int] = {}
        # When each run was first ordered.
        self._ordered_at_s: dict[str, float] = {}
        # When any leader first knew of each process, by its key; and when the
        # leader of each term did.
        self._known_at_s: dict[str, float] = {}
        self._known_in_term_s: dict[tuple[int, str], float] = {}
        # When a run was last ordered to be refused, by run and process.
        self._refused_at_s: dict[tuple[str, str], float] = {}
        # When each process was last polled, and in which term.
        self._polls: dict[str, tuple[float, int]] = {}
        super().__init__(seed)
        self.result = LateStartResult()
        self.ledger = late_start_fakes.LateStartLedger(self)
        self.ledger.attempt_limit = job_search.ATTEMPT_LIMIT
        self.ledger.on_end = self._trace_end
        for worker in self.workers.values():
            worker.ledger = self.ledger

    def run(self) -> LateStartResult:
        """Run the schedule."""
        super().run()
        self.result.unpreventable = self.ledger.unpreventable
        return self.result

    def was_unknown(
        self, life_key: str, key: state.RunKey, *, is_late_first: bool = False
    ) -> bool:
        """Tell whether a run was first ordered before a process was known."""
        known_at_s = self._known_at_s.get(life_key, float('inf'))
        delay_s = REFUSAL_S if is_late_first else 0.0
        return self._ordered_at_s[key.name] <= known_at_s + delay_s

    def lacks_refusal(
        self, order: coordination.StartOrder, life_key: str
    ) -> bool:
        """Tell whether a process may not have been told to refuse a start."""
        refused_at_s = self._refused_at_s.get((order.key.name, life_key))
        polled_at_s, fence = self._polls.get(life_key, (float('-inf'), 0))
        if fence <= order.fence:
            polled_at_s = float('-inf')
        if refused_at_s is not None or polled_at_s > float('-inf'):
            told_at_s = max(refused_at_s or polled_at_s, polled_at_s)
            return self.now_s < told_at_s + REFUSAL_VALIDITY_S
        return all(
            self.now_s
            < self._known_in_term_s.get((fence, life_key), self.now_s)
            + REFUSAL_S
            for fence in self._fences()
        )

    def _fences(self) -> list[int]:
        """Return the terms of the replicas that lead now."""
        return [core.jobs.fence for core in self._leaders()]

    def _leaders(self) -> list[coordination.ControlCore]:
        return [
            node.core
            for node in self._running()
            if node.core is not None
            and node.core.jobs.is_leading
            and node.core.replica.has_lease(node.clock.read(self.now_s))
        ]

    def _inject_fault(self) -> None:
        rng = self._late_rng
        if rng.random() < RESTART_RATIO:
            self._crash_worker()
        if rng.random() < LEADER_RATIO:
            self._disturb_leader()
        if rng.random() < AGENT_RESTART_RATIO:
            self._restart_agent(rng.choice(self._agents))
        if rng.random() < STUCK_RATIO:
            until_s = self.now_s + rng.uniform(*STUCK_S)
            name = rng.choice(sorted(self.workers))
            rng.choice(self._agents).stuck_until_s[name] = until_s
        super()._inject_fault()

    def _disturb_leader(self) -> None:
        """Stop the leader, or let it stand still."""
        for node in self._running():
            if node.core is not None and node.core.jobs.is_leading:
                if self._late_rng.random() < 0.5:
                    self._stop_control(node)
                else:
                    frozen_s = self._late_rng.uniform(*LEADER_FROZEN_S)
                    node.frozen_until_s = self.now_s + frozen_s

    def _restart_agent(self, agent: late_start_fakes.FakeAgent) -> None:
        """Restart an agent, which loses the orders in its queues."""
        self.result.agent_restarts += bool(agent.waiting)
        agent.boot += 1
        agent.waiting.clear()
        agent.stuck_until_s.clear()

    def _crash(self, name: str) -> None:
        super()._crash(name)
        if name in self.down_until_s:
            self.down_until_s[name] = self.now_s + AWAY_S

    def _advance(self) -> None:
        super()._advance()
        for core in self._leaders():
            for life_key in core.jobs.workers:
                term_key = (core.jobs.fence, life_key)
                self._known_in_term_s.setdefault(term_key, self.now_s)
                self._known_at_s.setdefault(life_key, self.now_s)

    def _send(self, transit: job_search.Transit) -> None:
        order = transit.order
        if isinstance(order, coordination.StopOrder):
            name = (order.key.name, order.life.key)
            self._refused_at_s[name] = self.now_s
        elif isinstance(order, coordination.LookOrder):
            self._polls[order.life.key] = (self.now_s, order.fence)
        elif isinstance(order, coordination.StartOrder):
            self._ordered_at_s.setdefault(order.key.name, self.now_s)
        if self.is_fault_free or isinstance(order, coordination.LookOrder):
            super()._send(transit)
            return
        usual = sum(map(ord, order.life.worker_id)) % AGENT_COUNT
        agent = self._agents[usual]
        if self._late_rng.random() < OTHER_AGENT_RATIO:
            agent = self._late_rng.choice(self._agents)
        self._sending_count += 1
        sending = late_start_fakes.Sending(
            agent, agent.boot, order.term, self._sending_count, self.now_s
        )
        if isinstance(order, coordination.StartOrder):
            self._sendings.setdefault(order.key.name, []).append(sending)
        carried = late_start_fakes.AgentTransit(
            transit.core,
            order,
            transit.grant,
            transit.sent_at_s,
            sending=sending,
            stage=late_start_fakes.Stage.ARRIVES,
        )
        self._push(self.now_s + self._link_s(), carried)
        no_answer = dataclasses.replace(carried, is_answer=True)
        self._push(self.now_s + ANSWER_TIMEOUT_S, no_answer)

    def _link_s(self) -> float:
        """Return the time of a message between the leader and an agent."""
        if self._late_rng.random() < SLOW_LINK_RATIO:
            return self._late_rng.uniform(*SLOW_LINK_S)
        return self._late_rng.uniform(*LINK_S)

    def _deliver(self, transit: job_search.Transit) -> None:
        if (
            not isinstance(transit, late_start_fakes.AgentTransit)
            or transit.is_answer
        ):
            super()._deliver(transit)
        elif transit.stage is late_start_fakes.Stage.SENT:
            self._reach_worker(transit)
        elif transit.sending.boot != transit.sending.agent.boot:
            transit.sending.is_under_way = False
        elif transit.stage is late_start_fakes.Stage.ARRIVES:
            self._queue_at_agent(transit)
        else:
            self._leave_agent(transit)

    def _queue_at_agent(self, transit: late_start_fakes.AgentTransit) -> None:
        sending, order = transit.sending, transit.order
        agent = sending.agent
        agent.term = max(agent.term, order.term)
        if _name_order(order) in agent.waiting:
            self.result.twins += 1
            self._answer_not_sent(transit)
            return
        agent.waiting.add(_name_order(order))
        sending.waits_since_s = self.now_s
        free_s = agent.stuck_until_s.get(order.life.worker_id, self.now_s)
        self._push(
            max(self.now_s, free_s),
            dataclasses.replace(transit, stage=late_start_fakes.Stage.LEAVES),
        )

    def _leave_agent(self, transit: late_start_fakes.AgentTransit) -> None:
        """Let an agent send an order, if it may."""
        sending, order = transit.sending, transit.order
        agent = sending.agent
        agent.waiting.discard(_name_order(order))
        if (
            self.now_s > sending.waits_since_s + MAX_WAIT_S
            or self.now_s > sending.sent_at_s + MAX_PERMIT_S
            or order.term < agent.term
        ):
            self._answer_not_sent(transit)
            return
        rng = self._late_rng
        on_way = dataclasses.replace(
            transit, stage=late_start_fakes.Stage.SENT
        )
        unanswered = dataclasses.replace(
            on_way, is_answer_lost=True, is_queued=True
        )
        no_answer = dataclasses.replace(on_way, is_answer=True)
        arrives_s = self.now_s + rng.uniform(*LINK_S)
        draw = rng.random()
        if draw < self._late_order_ratio:
            self.result.unanswered += 1
            late_s = rng.uniform(job_search.LATE_MIN_S, job_search.LATE_MAX_S)
            self._push(self.now_s + late_s, unanswered)
        elif draw < self._late_order_ratio + LOST_RATIO:
            self._push(arrives_s, unanswered)
        else:
            self._push(arrives_s, on_way)
            return
        answered_s = self.now_s + job_search.ANSWER_TIMEOUT_S
        self._push(answered_s + self._link_s(), no_answer)

    def _answer_not_sent(self, transit: late_start_fakes.AgentTransit) -> None:
        self.result.unsent += 1
        transit.sending.is_under_way = False
        answer = coordination.OrderAnswer(coordination.OrderOutcome.NOT_SENT)
        back = dataclasses.replace(transit, answer=answer, is_answer=True)
        self._push(self.now_s + self._link_s(), back)

    def _reach_worker(self, transit: late_start_fakes.AgentTransit) -> None:
        order, sending = transit.order, transit.sending
        sending.is_under_way = False
        if not isinstance(order, coordination.StartOrder):
            super()._deliver(transit)
            return
        name = order.key.name
        worker = self.workers[order.life.worker_id]
        newest = self._newest_arrivals.get(name, 0)
        self.result.overtaken += sending.number < newest
        self._newest_arrivals[name] = max(newest, sending.number)
        is_late = worker.is_up and worker.born_ms != order.life.born_ms
        is_late = is_late and (transit.is_answer_lost or sending.is_settled)
        if is_late:
            self.ledger.late_order = order
            life_key = worker.facts().key
            self.add_trace(
                'late_start',
                run=name,
                fence=order.fence,
                ordered=order.life.born_ms,
                ordered_at_s=round(sending.sent_at_s, 3),
                life=life_key,
                known_at_s=self._known_at_s.get(life_key),
            )
        try:
            super()._deliver(transit)
        finally:
            self.ledger.late_order = None
        if is_late:
            self.result.late_starts += 1
            run = worker.runs.get(order.key.task_name)
            is_running = run is not None and run.key == order.key
            self.result.late_refused += not is_running

    def _deliver_answer(self, transit: job_search.Transit) -> None:
        if isinstance(transit, late_start_fakes.AgentTransit):
            node = self.controls[transit.core.replica.identity.replica_id]
            if transit.sending.is_settled:
                return
            if self.now_s >= node.frozen_until_s:
                transit.sending.is_settled = True
                self._count_refusal(transit)
        super()._deliver_answer(transit)

    def _follow_decision(
        self, core: coordination.ControlCore, decision: coordination.Decision
    ) -> None:
        super()._follow_decision(core, decision)
        if decision.event == 'run_voided':
            self._check_void(core, **decision.fields)

    def _check_void(
        self, core: coordination.ControlCore, **fields: Any
    ) -> None:
        """Check that no run is voided as refused while it may still start."""
        under_way = [
            sending
            for sending in self._sendings.get(fields['run'], ())
            if sending.is_under_way
        ]
        if fields['cause'] == 'refused' and under_way:
            raise InvariantError(
                f'{fields["run"]} is voided as refused with '
                f'{len(under_way)} sendings under way'
            )
        if fields['cause'] == 'absent':
            self.result.absent_under_way += any(
                sending.term < core.jobs.fence for sending in under_way
            )

    def _count_refusal(self, transit: late_start_fakes.AgentTransit) -> None:
        outcome = transit.answer.outcome if transit.answer else None
        if (
            outcome is coordination.OrderOutcome.UNHEALTHY
            and isinstance(transit.order, coordination.StartOrder)
            and any(
                not other.is_settled
                for other in self._sendings[transit.order.key.name]
            )
        ):
            self.result.refused_under_way += 1


def _name_order(order: Any) -> tuple[Any, ...]:
    """Return what an agent takes for the same order."""
    return (type(order), order.life.key, order.key.name, order.fence)


def explain(seed: int, word: str = '') -> None:
    """Run one schedule, and print its trace if it violates an invariant.

    Args:
        seed: seed of the schedule.
        word: print only lines with this word, such as a task or a worker.
    """
    job_search.print_failure(LateStartSearch(seed), word)


if __name__ == '__main__':
    fire.Fire(explain)
