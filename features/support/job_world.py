"""Simulation of jobs, workers and machines that scenarios control."""

import dataclasses
from typing import Any

from features.search import fakes
from features.search import job_search
from features.search import worker_fakes
from features.support import controlled_search
from greengagering import coordination
from greengagering import state

START_S = 8.0
"""Time for an election and for every worker to be read."""


class NobodyLeadsError(AssertionError):
    """No replica is the leader at the moment."""


class JobWorld(controlled_search.ControlledSearch):
    """The simulation of the fault search, without random faults.

    Scenarios inject faults instead.
    """

    def __init__(self) -> None:
        super().__init__(seed=1)
        self.is_fault_free = True
        self.late_ratio = 0.0
        self.lost_ratio = 0.0
        self.network.options = fakes.NetworkOptions(
            loss_ratio=0, duplicate_ratio=0
        )
        self.ledger.attempt_limit = job_search.ATTEMPT_LIMIT
        self.machine_calls: list[tuple[float, Any]] = []
        self.machines: dict[str, coordination.Machine] = {}
        self.is_platform_silent = False
        # Whether each third list lacks one machine, another one each time.
        self.has_gaps = False
        self._list_count = 0
        # Names of workers that answer a poll only after the time for which
        # it may wait; the others answer at once.
        self.waiting_workers: set[str] = set()
        self.held_polls: list[job_search.Transit] = []
        # Set where a scenario itself sets the list of machines.
        self.keeps_machines = False
        self.started: list[tuple[float, str, str, int]] = []
        self.record_starts()

    def record_starts(self) -> None:
        """Record every start of a run in `started`."""
        record_start = self.ledger.record_start

        def record_both(
            worker: worker_fakes.FakeWorker, key: state.RunKey, now_s: float
        ) -> None:
            self.started.append(
                (now_s, key.task_name, worker.worker_id, key.run)
            )
            record_start(worker, key, now_s)

        self.ledger.record_start = record_both  # type: ignore[method-assign]

    def add_workers(self, count: int) -> None:
        """Add workers beyond those of the fault search."""
        for number in range(len(self.workers), len(self.workers) + count):
            name = f'worker-{number}'
            worker = worker_fakes.FakeWorker(name, self.rng, self.ledger)
            worker.start_process(self.now_s)
            self.workers[name] = worker
            self._reports_s[name] = self.now_s

    def leader(self) -> coordination.ControlCore:
        """Return the leader's core."""
        for node in self._running():
            if node.core is not None and node.core.jobs.is_leading:
                return node.core
        raise NobodyLeadsError

    def stop_control(self, node: job_search.ControlNode) -> None:
        """End a control process at once, as a loss of power does."""
        self._stop_control(node)

    def start_control(
        self, node: job_search.ControlNode, locked_at_s: float | None = None
    ) -> None:
        """Start a control process; see JobSearch."""
        self._start_control(node, locked_at_s)

    def leader_node(self) -> job_search.ControlNode:
        """Return the leader's node."""
        core = self.leader()
        return next(n for n in self.controls.values() if n.core is core)

    def put_plan(self, *queues: state.Queue, standby: str = '') -> None:
        """Commit a route plan with these queues."""
        services = dict.fromkeys(queue.service for queue in queues)
        pools = [state.WorkerService(name) for name in services]
        if standby:
            pools.append(state.WorkerService(standby, is_standby=True))
        plan = state.RoutePlan(1, queues, tuple(pools), 2**18, b'{}')
        self.commit(state.PlanReplaced(plan))

    def commit(self, record: state.JobRecord) -> None:
        """Propose a record at the leader, and wait until it is applied."""
        node = self.leader_node()
        assert node.core is not None
        now_s = node.clock.read(self.now_s)
        position = node.core.propose_job_record(record, now_s).ok()
        assert position is not None
        done: set[Any] = set()
        taken = node.core.take_applied

        def take() -> list[coordination.LogPosition]:
            applied = taken()
            done.update(applied)
            return applied

        node.core.take_applied = take  # type: ignore[method-assign]
        self.advance_until(lambda: position in done, 3.0)
        node.core.take_applied = taken  # type: ignore[method-assign]

    def submit(
        self, job_id: str, *steps: state.StepSpec, **fields: Any
    ) -> None:
        """Submit a job."""
        spec = state.JobSpec(job_id, 'text', steps, **fields)
        self.ledger.specs[job_id] = spec
        at_ms = int(self.now_s * 1000)
        self.commit(state.JobAccepted(spec, job_search.QUEUE, at_ms))

    def job(self, job_id: str) -> state.Job:
        """Return the committed job."""
        return self.leader().state.jobs.jobs[job_id]

    def running(self, job_id: str) -> dict[str, str]:
        """Return the worker of each running task of a job."""
        return {
            name: worker.worker_id
            for name, worker in self.ledger.running.items()
            if name.startswith(f'{job_id}.')
        }

    def add_machines(self, pool: str = 'service-a') -> None:
        """Give every worker a machine of the same name."""
        for name in self.workers:
            self.machines[name] = coordination.Machine(
                name,
                pool,
                coordination.MachineState.UP,
                name,
                'rack-1',
                worker_fakes.ROOM,
            )

    def duties(self) -> list[tuple[float, coordination.DutyOrder]]:
        """Return the duties that the platform received, with their times."""
        return [
            (at_s, call)
            for at_s, call in self.machine_calls
            if isinstance(call, coordination.DutyOrder)
        ]

    def _deliver(self, transit: job_search.Transit) -> None:
        order = transit.order
        if (
            isinstance(order, coordination.LookOrder)
            and order.wait_ms
            and order.life.worker_id in self.waiting_workers
            and not transit.is_answer
            and not any(held is transit for held in self.held_polls)
        ):
            self.held_polls.append(transit)
            self._push(self.now_s + order.wait_ms / 1000, transit)
            return
        super()._deliver(transit)

    def _take_machine_calls(
        self, node: job_search.ControlNode, core: coordination.ControlCore
    ) -> None:
        for call in core.machine_manager.take_calls():
            self.machine_calls.append((self.now_s, call))
            now_s = node.clock.read(self.now_s)
            if isinstance(call, coordination.ListMachines):
                listed = self._list_machines()
                core.machine_manager.handle_machine_list(call, listed, now_s)
            elif not self.is_platform_silent:
                self._carry_out(core, call, now_s)

    def _list_machines(self) -> tuple[coordination.Machine, ...]:
        """Return the list, as a reader gets it page by page."""
        self._list_count += 1
        names = sorted(self.machines)
        turn, phase = divmod(self._list_count, 3)
        if self.has_gaps and phase == 0:
            names.remove(names[turn % len(names)])
        return tuple(self.machines[name] for name in names)

    def _carry_out(
        self,
        core: coordination.ControlCore,
        call: coordination.DutyOrder,
        now_s: float,
    ) -> None:
        machine = self.machines[call.duty.machine]
        worker = self.workers[call.duty.machine]
        assert not worker.runs, f'{machine.name} is taken down with runs'
        worker.crash()
        self.down_until_s[machine.name] = self.now_s + 1.5
        self.machines[machine.name] = dataclasses.replace(
            machine, pool=call.duty.pool or machine.pool
        )
        for record in core.machine_manager.handle_duty_outcome(
            call, coordination.DutyOutcome.DONE, now_s
        ):
            core.propose_job_record(record, now_s)

    def _advance(self) -> None:
        super()._advance()
        self._update_machines()

    def _update_machines(self) -> None:
        if self.keeps_machines:
            return
        for machine in self.machines.values():
            worker = self.workers[machine.name]
            status = coordination.MachineState.UP
            if not worker.is_up:
                status = coordination.MachineState.UPKEEP
            worker_id = worker.worker_id if worker.is_up else ''
            self.machines[machine.name] = dataclasses.replace(
                machine, status=status, worker_id=worker_id
            )


def started_world() -> JobWorld:
    """Return a world whose leader has polled every worker."""
    world = JobWorld()
    world.advance(START_S)
    world.put_plan(job_search.QUEUE)
    return world
