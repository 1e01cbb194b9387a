"""Simulation of moving machines that scenarios control."""

from typing import Any

from features.search import fakes
from features.search import job_search
from features.search import machine_search
from features.support import controlled_search
from greengagering import coordination
from greengagering import state

START_S = 8.0
"""Time for an election, and for every worker to be read."""


class MachineWorld(
    machine_search.MachineSearch, controlled_search.ControlledSearch
):
    """The machine search without random faults.

    Attributes:
        lost_answers: number of the next orders for machines that are carried
            out and not answered.
        list_lag_s: time until the leader gets a list that it has requested.
        report_delay_s: time until a new worker's first report.
        over: incarnations declared over, with the time and the cause.
    """

    def __init__(self) -> None:
        self.lost_answers = 0
        self.list_lag_s = 0.01
        self.report_delay_s = 0.0
        self.over: list[tuple[float, str, str]] = []
        super().__init__(seed=1)
        self.is_fault_free = True
        self.late_ratio = 0.0
        self.lost_ratio = 0.0
        self.network.options = fakes.NetworkOptions(
            loss_ratio=0, duplicate_ratio=0
        )
        for worker in self.workers.values():
            worker.fail_ratio = 0.0

    def leader_node(self) -> job_search.ControlNode:
        """Return the leader's node."""
        return next(
            node
            for node in self._running()
            if node.core is not None and node.core.jobs.is_leading
        )

    def replace_leader(self) -> None:
        """End the leader's process, and start it again under a new leader."""
        former = self.leader_node()
        self._stop_control(former)
        self.advance_until(self.has_leader, 10.0)
        self._start_control(former)

    def put_plan(self) -> None:
        """Commit the plan with the pools of the search."""
        self._propose_pools()
        core = self.leader_node().core
        assert core is not None
        self.advance_until(lambda: core.jobs.jobs.plan is not None, 2.0)

    def submit_lasting(
        self, job_id: str, task_count: int, millicores: int
    ) -> None:
        """Submit a job of service-a with lasting tasks."""
        room = state.Room(millicores, 100)
        step = state.StepSpec(task_count, room, is_lasting=True)
        spec = state.JobSpec(job_id, 'text', (step,))
        self.ledger.specs[job_id] = spec
        self._propose_to_leaders(
            state.JobAccepted(spec, job_search.QUEUE, int(self.now_s * 1000))
        )

    def start_wave(self, names: tuple[str, ...]) -> None:
        """Accept a wave over machines, one at a time."""
        self._accept_wave(names, 1)

    def running_on(self, worker_id: str) -> list[str]:
        """Return the tasks that run on a worker."""
        return [
            name
            for name, worker in self.ledger.running.items()
            if worker.worker_id == worker_id
        ]

    def _draw_report_delay_s(self) -> float:
        return self.report_delay_s

    def _draw_list_delays_s(self) -> tuple[float, float]:
        return 0.01, self.list_lag_s

    def _draw_duty_delays_s(self) -> tuple[float, float | None]:
        if not self.lost_answers:
            return 0.01, 0.01
        self.lost_answers -= 1
        return 0.01, None

    def _start_worker(self, machine: Any, name: str) -> None:
        super()._start_worker(machine, name)
        # Lasting tasks end only when they are stopped.
        self.workers[name].lasting_run_s = 1000.0
        self.workers[name].fail_ratio = 0.0

    def _follow_decision(
        self,
        core: coordination.ControlCore,
        decision: coordination.Decision,
    ) -> None:
        super()._follow_decision(core, decision)
        if decision.event == 'life_over':
            life, cause = decision.fields['life'], decision.fields['cause']
            self.over.append((self.now_s, str(life), str(cause)))


def started_world() -> MachineWorld:
    """Return a world whose leader has polled every worker."""
    world = MachineWorld()
    world.advance(START_S)
    world.put_plan()
    return world
