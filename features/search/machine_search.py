"""Fault search over machines that move, go down and get new workers."""

import heapq
from typing import Any

from features.search import job_search
from features.search import platform_fakes
from features.search.replica_search import InvariantError
from features.search import worker_fakes
from greengagering import coordination
from greengagering import state

POOLS = ('service-a', 'service-a', 'service-a', 'service-b', 'service-b')
"""Pools of the first machines."""

STANDBY = 'standby'
STANDBY_MACHINES = 2
OTHER_QUEUE = state.Queue(
    'queue-b',
    'jobs',
    '/b/',
    'service-b',
    attempt_limit=job_search.ATTEMPT_LIMIT,
)

CALL_TIMEOUT_S = 3.0
"""Time after which the leader gives up a call to the platform."""

SLOW_CALL_RATIO = 0.3
"""Share of calls to which the platform answers late, or never."""

FIRST_REPORT_S = 1.0
"""Longest time until a new worker's first report; the list of machines shows
the worker at once."""

WAVE_DEADLINE_S = 20.0
BUSY_MAX_S = 4.0
"""Longest time for which the platform accepts no orders."""

MAX_STOPS_ON_WORKER = 3
"""Times that one term may stop a task's runs on the same worker to empty it.
A worker that is being emptied gets no runs, so more than one stop needs a
worker that was released in between."""


class MachineSearch(job_search.JobSearch):
    """One random schedule in which the platform's answers come late or never.

    Each life of a machine has a worker of its own name, as on the platform.
    """

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.platform = platform_fakes.FakePlatform(
            self._start_worker, self._end_worker, STANDBY
        )
        self.workers.clear()
        self._reports_s.clear()
        for number, pool in enumerate(POOLS):
            self._add_machine(number, pool)
        for number in range(len(POOLS), len(POOLS) + STANDBY_MACHINES):
            self._add_machine(number, STANDBY)
        self._calls: list[tuple[float, int, Any]] = []
        self._call_count = 0
        self._wave_count = 0
        self._open_calls: dict[tuple[int, str], int] = {}
        self._stops: dict[tuple[object, ...], int] = {}

    def run(self) -> job_search.JobResult:
        """Run the schedule.

        Raises:
            InvariantError: an invariant was violated.
        """
        result = super().run()
        result.confirmed_again = self.platform.confirmed_again
        result.waves = self._wave_count
        return result

    def _add_machine(self, number: int, pool: str) -> None:
        self.platform.add(f'machine-{number}', pool, worker_fakes.ROOM)

    def _start_worker(
        self, machine: platform_fakes.FakeMachine, name: str
    ) -> None:
        worker = worker_fakes.FakeWorker(name, self.rng, self.ledger)
        worker.service = machine.pool
        worker.start_process(self.now_s)
        self.workers[name] = worker
        self._reports_s[name] = self.now_s + self._draw_report_delay_s()
        self.add_trace('machine_up', machine=machine.name, worker=name)

    def _draw_report_delay_s(self) -> float:
        return self.rng.uniform(0.0, FIRST_REPORT_S)

    def _end_worker(self, name: str) -> None:
        self.workers[name].end()
        self.down_until_s.pop(name, None)
        self.add_trace('machine_down', worker=name)

    def _choose_queue(self) -> state.Queue:
        return self.rng.choice((job_search.QUEUE, OTHER_QUEUE))

    def _inject_fault(self) -> None:
        for node in self._running():
            assert node.core is not None
            jobs = node.core.jobs
            if jobs.is_leading and jobs.jobs.plan is None:
                self._propose_pools()
        if self.rng.random() < 0.006:
            self._start_wave()
        if self.rng.random() < 0.005:
            busy_s = self.rng.uniform(0.5, BUSY_MAX_S)
            self.platform.busy_until_s = self.now_s + busy_s
        super()._inject_fault()

    def _propose_pools(self) -> None:
        services = (
            state.WorkerService('service-a'),
            state.WorkerService('service-b'),
            state.WorkerService(STANDBY, is_standby=True),
        )
        queues = (job_search.QUEUE, OTHER_QUEUE)
        plan = state.RoutePlan(1, queues, services, 2**18, b'')
        self._propose_to_leaders(state.PlanReplaced(plan))

    def _propose_to_leaders(self, record: state.JobRecord) -> None:
        for node in self._running():
            assert node.core is not None
            if node.core.jobs.is_leading:
                now_s = node.clock.read(self.now_s)
                node.core.propose_job_record(record, now_s)

    def _start_wave(self) -> None:
        names = sorted(self.platform.machines)
        chosen = tuple(self.rng.sample(names, self.rng.randint(1, 3)))
        self._accept_wave(chosen, self.rng.randint(1, 2))

    def _accept_wave(self, names: tuple[str, ...], max_down: int) -> None:
        """Accept a wave over machines of which some may be down at once."""
        self._wave_count += 1
        wave = state.UpkeepWave(
            self._wave_count, names, WAVE_DEADLINE_S, max_down
        )
        self.platform.waves[wave.number] = wave
        self._propose_to_leaders(
            state.WaveAccepted(wave, int(self.now_s * 1000))
        )

    def _advance(self) -> None:
        self.platform.advance(self.now_s)
        while self._calls and self._calls[0][0] <= self.now_s:
            _, _, action = heapq.heappop(self._calls)
            action()
        super()._advance()

    def _crash_worker(self) -> None:
        # A machine's former workers never come back.
        current = {m.worker_id for m in self.platform.machines.values()}
        name = self.rng.choice(sorted(self.workers))
        if name in current:
            self._crash(name)

    def _take_machine_calls(
        self, node: job_search.ControlNode, core: coordination.ControlCore
    ) -> None:
        for call in core.machine_manager.take_calls():
            if isinstance(call, coordination.ListMachines):
                self._send_list_request(node, core, call)
            else:
                self._send_duty(node, core, call)

    def _send_list_request(
        self,
        node: job_search.ControlNode,
        core: coordination.ControlCore,
        call: coordination.ListMachines,
    ) -> None:
        """Read the list soon, and deliver it, possibly late."""
        there_s, back_s = self._draw_list_delays_s()

        def read() -> None:
            listed = self.platform.listed()
            self._call_later(back_s, lambda: deliver(listed))

        def deliver(listed: tuple[coordination.Machine, ...]) -> None:
            if node.core is core:
                core.machine_manager.handle_machine_list(
                    call, listed, node.clock.read(self.now_s)
                )

        self._call_later(there_s, read)

    def _send_duty(
        self,
        node: job_search.ControlNode,
        core: coordination.ControlCore,
        order: coordination.DutyOrder,
    ) -> None:
        """Send an order, whose answer may come late or never."""
        self.add_trace(
            'duty_sent',
            machine=order.duty.machine,
            kind=order.duty.kind,
            fence=order.fence,
        )
        there_s, back_s = self._draw_duty_delays_s()
        call = (order.fence, order.duty.machine)
        if call in self._open_calls:
            raise InvariantError(
                f'{order.duty.machine} is ordered while call '
                f'{self._open_calls[call]} for it is under way'
            )
        self._open_calls[call] = order.number

        def arrive() -> None:
            outcome = self.platform.carry_out(order, self.now_s)
            self.add_trace(
                'duty_arrived', machine=order.duty.machine, outcome=outcome
            )
            if back_s is not None:
                self._call_later(back_s, lambda: deliver(outcome))

        def deliver(outcome: coordination.DutyOutcome) -> None:
            self._open_calls.pop(call, None)
            if node.core is not core:
                return
            now_s = node.clock.read(self.now_s)
            for record in core.machine_manager.handle_duty_outcome(
                order, outcome, now_s
            ):
                core.propose_job_record(record, now_s)

        self._call_later(there_s, arrive)
        if back_s is None:
            no_answer = coordination.DutyOutcome.NO_ANSWER
            self._call_later(CALL_TIMEOUT_S, lambda: deliver(no_answer))

    def _draw_list_delays_s(self) -> tuple[float, float]:
        """Return the delays of a request for the list and of its answer."""
        longest_s = 1.5 if self._is_slow() else 0.05
        return (
            self.rng.uniform(0.005, longest_s),
            self.rng.uniform(0.005, longest_s),
        )

    def _draw_duty_delays_s(self) -> tuple[float, float | None]:
        """Return the delays of an order and of its answer, or None if lost."""
        if not self._is_slow():
            return self.rng.uniform(0.005, 0.05), self.rng.uniform(0.005, 0.05)
        there_s = self.rng.uniform(0.05, CALL_TIMEOUT_S)
        if self.rng.random() < 0.5:
            return there_s, None
        longest_s = CALL_TIMEOUT_S - there_s + 0.005
        return there_s, self.rng.uniform(0.005, longest_s)

    def _is_slow(self) -> bool:
        return not self.is_fault_free and self.rng.random() < SLOW_CALL_RATIO

    def _call_later(self, delay_s: float, action: Any) -> None:
        self._call_count += 1
        heapq.heappush(
            self._calls, (self.now_s + delay_s, self._call_count, action)
        )

    def _follow_decision(
        self,
        core: coordination.ControlCore,
        decision: coordination.Decision,
    ) -> None:
        super()._follow_decision(core, decision)
        fields = decision.fields
        if decision.event != 'run_stopping' or fields['cause'] != 'emptying':
            return
        task = str(fields['run']).partition('#')[0]
        key = (core.jobs.fence, task, fields['life'])
        self._stops[key] = self._stops.get(key, 0) + 1
        if self._stops[key] >= MAX_STOPS_ON_WORKER:
            raise InvariantError(
                f'{task} was stopped {self._stops[key]} times on '
                f'{fields["life"]} to empty its machine'
            )

    def _check_finished(self) -> None:
        super()._check_finished()
        for node in self._running():
            assert node.core is not None
            jobs = node.core.jobs
            if not jobs.is_leading:
                continue
            for wave in jobs.jobs.waves.values():
                if not jobs.is_wave_done(wave):
                    raise InvariantError(f'{wave} is not done')
