"""Simulates days of demand that bursts in one queue after another.

A day here is one simulated run, by default with 34 s in which jobs are
submitted.

The leader's scheduling code runs with simulated workers without faults of
their own and a simulated platform that moves machines, under a virtual clock.
The simulation measures costs and earned value, and asserts nothing about them.
"""

from collections.abc import Iterator
import contextlib
import dataclasses
import heapq
import math
import random
from typing import Any
from unittest import mock

from features.support.demand_workers import ROOM
from features.support.demand_workers import Worker
from features.support import unanswered_orders
from greengagering import coordination
from greengagering.coordination.capacity import _pool_plan
from greengagering import state

TICK_S = 0.02
COMMIT_S = 0.02
"""Time from a proposal until the record is applied: a sync and a round
trip."""

MOVE_S = 1.5
"""Time for which a machine is unavailable during a move."""

UPKEEP_S = 2.0
"""Time that a machine is down for its upkeep."""

LATE_RATIO = 3.0
"""Multiple of its objective after which a finished job has no value."""

LATE_SHARE = 0.07
"""Share of its value that a late job earns, by the users' figures."""

ORACLE_SLOT_S = 0.25
"""Shortest time for which the plan behind oracle_s of DemandResult keeps a
machine."""

REPORT_INTERVAL_S = 1.5
LASTING_AT_S = 2.0
"""Time at which the lasting jobs are submitted."""

WARM_UP_S = 8.0
"""Time before the first burst, in which the system starts."""

CLOSING_S = 10.0
"""Time after the last burst, in which no job is submitted."""


@dataclasses.dataclass(frozen=True)
class QueueShape:
    """Distribution of the jobs of one queue.

    Attributes:
        name: name of the queue and of its service.
        per_s: mean number of jobs per second.
        value: value of a job of mean size.
        steps: mean number of steps.
        width: mean number of tasks in a step.
        run_s: mean run time of a task.
        cpu: mean millicores of a task.
        memory_mb: mean memory of a task.
    """

    name: str
    per_s: float
    value: float
    steps: float
    width: float
    run_s: float
    cpu: float
    memory_mb: float


@dataclasses.dataclass(frozen=True)
class CustomerShape:
    """A customer's part of every queue's jobs.

    Attributes:
        name: its name.
        share: share of all jobs that it usually submits.
        weight: number of jobs a second that are owed to it.
    """

    name: str
    share: float
    weight: float


@dataclasses.dataclass(frozen=True)
class DemandPattern:
    """A deployment's queues, which burst one after another.

    Attributes:
        queues: queues in the order of their bursts.
        machines: machines of each queue's pool at the start.
        standby: machines of the standby pool at the start.
        burst_s: length of a burst.
        burst_ratio: ratio of a queue's rate in its burst to its mean rate.
        idle_ratio: ratio of its rate outside its burst to its mean rate.
        day_s: length of the time in which jobs are submitted.
        surges: times at which a queue's rate is multiplied, as queue, start,
            length and factor.
        lasting_cpu: millicores of a lasting task.
        lasting_count: lasting tasks of each queue, in one job.
        customers: customers that submit the jobs; with none, jobs have none.
        floods: times in which a customer submits more to every queue, as
            customer, start, length and multiple of its usual rate.
        losses: times in which orders and polls get no answer.
    """

    queues: tuple[QueueShape, ...]
    machines: tuple[int, ...]
    standby: int
    burst_s: float = 9.0
    burst_ratio: float = 3.85
    idle_ratio: float = 0.05
    day_s: float = 34.0
    surges: tuple[tuple[str, float, float, float], ...] = ()
    lasting_cpu: int = 3000
    lasting_count: int = 5
    customers: tuple[CustomerShape, ...] = ()
    floods: tuple[tuple[str, float, float, float], ...] = ()
    losses: tuple[unanswered_orders.OrderLoss, ...] = ()


QUEUES = (
    QueueShape('lookup', 5.5, 0.492, 1.6, 6, 0.64, 1800, 3600),
    QueueShape('match', 0.66, 4.6, 2, 8, 1.7, 3800, 14_000),
    QueueShape('status', 6.9, 0.492, 1.6, 6, 0.64, 1800, 3600),
    QueueShape('scan', 0.81, 4.6, 2, 8, 1.7, 3800, 14_000),
)
"""Small short jobs and large long ones alternately, by the users' figures."""

MACHINES = (8, 9, 11, 12)
STANDBY = 8


def four_bursting_queues(
    machines: tuple[int, ...] = MACHINES,
    standby: int = STANDBY,
    **fields: Any,
) -> DemandPattern:
    """Return the pattern of four queues that burst one after the other."""
    return DemandPattern(QUEUES, machines, standby, **fields)


SURGES = (
    ('lookup', 2.0, 4.0, 2.0),
    ('match', 11.0, 5.0, 2.0),
    ('status', 20.0, 4.0, 2.0),
    ('scan', 28.0, 4.0, 1.6),
)

SHORT_FLEET = four_bursting_queues(
    machines=(7, 8, 9, 9), standby=0, day_s=50.0, surges=SURGES
)
"""A third fewer machines, and a surge in each queue's burst."""

LARGE_FLEET = DemandPattern(
    (
        QueueShape('lookup', 17.5, 0.394, 1.6, 8, 0.64, 3100, 5000),
        QueueShape('match', 2.75, 2.83, 2, 8, 1.7, 6700, 14_000),
        QueueShape('status', 21.9, 0.394, 1.6, 8, 0.64, 3100, 5000),
        QueueShape('scan', 3.35, 2.83, 2, 8, 1.7, 6700, 14_000),
    ),
    machines=(32, 36, 40, 44),
    standby=28,
    lasting_count=24,
)
"""A fleet about four times as large, with three to four times the rate of
jobs, larger tasks and more lasting tasks."""


CUSTOMER_COUNT = 20
CUSTOMER_SKEW = 1.2
"""Exponent by which customers' shares fall with their rank."""

WEIGHT_RATIO = 3.0
"""A customer's weight as a multiple of its mean rate over all queues."""


def draw_customers(
    queues: tuple[QueueShape, ...] = QUEUES,
) -> tuple[CustomerShape, ...]:
    """Return customers of whom a few are large, the largest first."""
    sizes = [(n + 1) ** -CUSTOMER_SKEW for n in range(CUSTOMER_COUNT)]
    rate = sum(queue.per_s for queue in queues)
    return tuple(
        CustomerShape(
            f'customer-{number}',
            size / sum(sizes),
            WEIGHT_RATIO * rate * size / sum(sizes),
        )
        for number, size in enumerate(sizes, 1)
    )


FLOOD_FACTOR = 7.0
FLOODS = (
    ('customer-1', 2.0, 6.5, FLOOD_FACTOR),
    ('customer-1', 11.0, 6.5, FLOOD_FACTOR),
)
"""The largest customer submits seven times its usual in the first and in the
second burst."""

OVERLAP = (('match', 1.0, 7.0, 77.0), ('status', 10.0, 7.0, 77.0))
"""During the bursts of the first and of the second queue, the next one bursts
as well: 77 times a twentieth of its mean."""

SHARED_FLEET = four_bursting_queues(
    machines=(5, 6, 6, 6), standby=0, day_s=18.0, customers=draw_customers()
)
"""Half of the usual machines, which one customer's flood more than fills."""

FLOODED = dataclasses.replace(SHARED_FLEET, floods=FLOODS[:1], day_s=9.0)
FLOODED_LARGE = dataclasses.replace(SHARED_FLEET, floods=FLOODS)
FLOODED_OVERLAP = dataclasses.replace(FLOODED_LARGE, surges=OVERLAP)

CALL_ATTEMPTS = 5
"""Number of times that a refused caller submits its job, the first included.
"""


@dataclasses.dataclass
class DemandResult:
    """Costs and earned value of a day.

    Attributes:
        offered: value of all jobs.
        earned: value that was earned.
        jobs: number of submitted jobs.
        in_time: number of jobs that met their objective.
        by_queue: share of the value that was earned, by queue.
        worst_windows: share earned in the two worst windows of two seconds.
        pool_s: machine-seconds in all pools but standby while jobs are
            submitted.
        needed_s: machine-seconds that the work itself takes.
        oracle_s: machine-seconds in pools if every step began at once and
            each pool had just the machines for it at each moment.
        moves: number of machine moves.
        polls: number of polls of workers.
        owed: value that is owed: of jobs within their customers' weights.
        earned_owed: value that was earned of that.
        by_customer: share of the value owed that was earned, by customer.
        others_share: share of the value owed to customers that never flood
            that was earned.
        owed_by_queue: share of the value owed that was earned, by queue.
        owed_windows: worst_windows of what is owed.
        largest_in_time: share in time of the tenth with the most work of the
            jobs that are owed to customers that never flood.
        beyond_in_time: number of jobs in time that are not owed.
        refused: ids of refused jobs.
        returns: number of calls that came back when told.
        returns_accepted: number of these that were accepted.
        returns_in_time: number of these whose job was in time, counted from
            the call that was accepted.
        gave_up: number of jobs that were refused at every attempt.
        never_served: number of accepted jobs that were not done by the end.
        lapses: number of runs that ended with their worker's lease.
        twice: number of starts of a task that ran on another worker.
        unsent: number of orders that were dropped for want of a slot.
    """

    offered: float = 0.0
    earned: float = 0.0
    jobs: int = 0
    in_time: int = 0
    by_queue: dict[str, float] = dataclasses.field(default_factory=dict)
    worst_windows: float = 0.0
    pool_s: float = 0.0
    needed_s: float = 0.0
    oracle_s: float = 0.0
    moves: int = 0
    polls: int = 0
    owed: float = 0.0
    earned_owed: float = 0.0
    by_customer: dict[str, float] = dataclasses.field(default_factory=dict)
    others_share: float = 1.0
    owed_by_queue: dict[str, float] = dataclasses.field(default_factory=dict)
    owed_windows: float = 0.0
    largest_in_time: float = 0.0
    beyond_in_time: int = 0
    refused: set[str] = dataclasses.field(default_factory=set)
    returns: int = 0
    returns_accepted: int = 0
    returns_in_time: int = 0
    gave_up: int = 0
    never_served: int = 0
    lapses: int = 0
    twice: int = 0
    unsent: int = 0

    @property
    def owed_share(self) -> float:
        """Share of the value owed that was earned."""
        return self.earned_owed / self.owed if self.owed else 1.0

    @property
    def worst_customers(self) -> float:
        """Mean share earned of the worst-served tenth of the customers."""
        shares = sorted(self.by_customer.values())
        worst = shares[: max(len(shares) // 10, 1)]
        return sum(worst) / len(worst) if worst else 1.0

    @property
    def share(self) -> float:
        """Share of the offered value that was earned."""
        return self.earned / self.offered if self.offered else 1.0


@dataclasses.dataclass
class _Job:
    spec: state.JobSpec
    queue: QueueShape
    at_s: float
    objective_s: float
    value: float
    run_s: dict[str, float]
    customer: str = ''
    is_owed: bool = True
    attempts: int = 0
    accepted_s: float = 0.0


@contextlib.contextmanager
def static_pools() -> Iterator[None]:
    """Disable moves of machines, as a baseline."""
    with mock.patch.object(
        _pool_plan.PoolPlanner, 'find_moves', lambda *_arguments: []
    ):
        yield


class DemandWorld:
    """Simulation of one random day of a demand pattern, given by a seed."""

    def __init__(self, pattern: DemandPattern, seed: int) -> None:
        self.pattern = pattern
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.result = DemandResult()
        self.jobs_state = state.JobsState()
        self.scheduler = coordination.JobScheduler(self.jobs_state)
        self.machine_manager = coordination.MachineManager(
            self.scheduler, 'leader'
        )
        self.decisions: list[tuple[float, coordination.Decision]] = []
        self._commits: list[tuple[float, state.JobRecord]] = []
        self.workers: dict[str, Worker] = {}
        self._transit = unanswered_orders.OrderTransit(
            self.scheduler,
            self.workers,
            self._run_s,
            unanswered_orders.LossDraw(pattern.losses, WARM_UP_S, seed),
        )
        self.machines: dict[str, coordination.Machine] = {}
        self._return_times_s: dict[str, float] = {}
        self._worker_count = 0
        self._jobs: dict[str, _Job] = {}
        # Refused calls that come back: time, number of the return, job.
        self._returns: list[tuple[float, str, _Job]] = []
        self._done_s: dict[str, float] = {}
        self._commit(self._plan_record())
        self._create_machines()
        self.scheduler.start_leading(1, 0.0, 0)
        self._drawn = list(self._draw_jobs())
        self._draw_floods()
        self._name_customers(seed)
        self.result.oracle_s = self._find_oracle_s()

    @property
    def ends_s(self) -> float:
        """Time at which the simulation ends."""
        return WARM_UP_S + self.pattern.day_s + CLOSING_S

    def simulate(self) -> DemandResult:
        """Simulate the whole day, and return its result."""
        self.simulate_until(self.ends_s)
        self._compute_result()
        return self.result

    def simulate_until(self, ends_s: float) -> None:
        """Simulate the day up to a time."""
        jobs = self._drawn
        while self.now_s < ends_s:
            self.now_s += TICK_S
            while jobs and jobs[0].at_s <= self.now_s:
                self._submit(jobs.pop(0))
            while self._returns and self._returns[0][0] <= self.now_s:
                self.result.returns += 1
                self._submit(heapq.heappop(self._returns)[2])
            self._advance()

    def lose_leader(self, off_s: float) -> None:
        """Let time pass without a leader, and start a new one's term.

        Runs go on meanwhile. Jobs of that time are submitted afterwards.
        """
        term = self.scheduler.fence
        for _, record in self._commits:
            self._commit(record)
        self._commits.clear()
        self.scheduler.stop_leading()
        # Orders in transit are lost, and so are answers.
        self._transit.clear()
        ends_s = self.now_s + off_s
        while self.now_s < ends_s:
            self.now_s += TICK_S
            for worker in self.workers.values():
                worker.end_due(self.now_s)
        now_ms = int(self.now_s * 1000)
        self.scheduler.start_leading(term + 1, self.now_s, now_ms)

    def worst_window_from(self, first_s: float, window_s: float) -> float:
        """Return the smallest share earned in a window from a time on."""
        windows: dict[int, list[float]] = {}
        for job_id, job in self._jobs.items():
            if job.at_s < first_s:
                continue
            took_s = self._done_s.get(job_id, math.inf) - job.at_s
            number = int((job.at_s - first_s) / window_s)
            window = windows.setdefault(number, [0.0, 0.0])
            window[0] += job.value
            if took_s <= job.objective_s:
                window[1] += job.value
        return min(w[1] / w[0] for w in windows.values())

    def accept_wave(
        self, machine_count: int, deadline_s: float, max_down_count: int
    ) -> None:
        """Accept a wave over randomly chosen machines."""
        drawn = self.rng.sample(sorted(self.machines), machine_count)
        wave = state.UpkeepWave(1, tuple(drawn), deadline_s, max_down_count)
        self._propose([state.WaveAccepted(wave, int(self.now_s * 1000))])

    def drop_unowed(self) -> None:
        """Take out the jobs that are beyond their customers' weights."""
        self._drawn[:] = [job for job in self._drawn if job.is_owed]

    def drop_jobs(self, customer: str) -> None:
        """Take out all jobs of a customer."""
        self._drawn[:] = [j for j in self._drawn if j.customer != customer]

    def keep_to_rack(self, customer: str, rack: str) -> None:
        """Let all jobs to come of a customer want their data's rack."""
        for job in self._drawn:
            if job.customer == customer:
                steps = tuple(
                    dataclasses.replace(step, data_rack=rack)
                    for step in job.spec.steps
                )
                job.spec = dataclasses.replace(job.spec, steps=steps)

    def submit_step(
        self,
        job_id: str,
        task_count: int,
        cpu: int,
        run_s: float,
        customer: str = '',
    ) -> None:
        """Submit a job with one step to the first queue."""
        room = state.Room(cpu, 100)
        step = state.StepSpec(task_count, room, run_s)
        runs_s = {f'0.0.{n}': run_s for n in range(task_count)}
        spec = state.JobSpec(job_id, 'text', (step,))
        shape = self.pattern.queues[0]
        objective_s = 1.6 * run_s + 0.6
        job = _Job(spec, shape, self.now_s, objective_s, 1.0, runs_s, customer)
        self._submit(job)

    def took_s(self, job_id: str) -> float:
        """Return the time from a job's submission to its end, or infinity."""
        done_s = self._done_s.get(job_id, math.inf)
        return done_s - self._jobs[job_id].at_s

    def is_in_time(self, job_id: str) -> bool:
        """Tell whether a job has met its objective."""
        return self.took_s(job_id) <= self._jobs[job_id].objective_s

    def count_machines(self, pool: str) -> int:
        """Return how many machines a pool has, arriving ones included."""
        return sum(machine.pool == pool for machine in self.machines.values())

    def describe_pools(self) -> str:
        """Return the newest decisions about pools, one per line."""
        lines = [
            f'{at_s:.2f} {decision.fields}'
            for at_s, decision in self.decisions
            if decision.event == 'pools_planned'
        ]
        return '\n'.join(lines[-20:])

    def _plan_record(self) -> state.JobRecord:
        queues = tuple(
            state.Queue(
                shape.name,
                'host',
                f'/{shape.name}/',
                shape.name,
                priority=int(shape.value > 1),
                attempt_limit=2,
                stretch=1.6,
                target_s=0.6,
            )
            for shape in self.pattern.queues
        )
        services = [state.WorkerService(s.name) for s in self.pattern.queues]
        services.append(state.WorkerService('standby', is_standby=True))
        customers = tuple(
            state.Customer(shape.name, (), shape.weight)
            for shape in self.pattern.customers
        )
        plan = state.RoutePlan(
            1, queues, tuple(services), 2**18, b'{}', customers
        )
        return state.PlanReplaced(plan)

    def _create_machines(self) -> None:
        pools = [
            (shape.name, count)
            for shape, count in zip(
                self.pattern.queues, self.pattern.machines, strict=True
            )
        ]
        pools.append(('standby', self.pattern.standby))
        for pool, count in pools:
            for _ in range(count):
                name = f'm-{len(self.machines)}'
                self.machines[name] = coordination.Machine(
                    name,
                    pool,
                    coordination.MachineState.UP,
                    '',
                    'rack-1',
                    ROOM,
                )
                self._start_worker(name, self.rng.uniform(0, 1.0))

    def _start_worker(self, machine: str, at_s: float) -> None:
        """Start a worker on a machine; a standby machine has none."""
        pool = self.machines[machine].pool
        worker_id = ''
        if pool != 'standby':
            self._worker_count += 1
            worker_id = f'w-{machine}-{self._worker_count}'
            self.workers[worker_id] = Worker(
                worker_id, pool, at_s, holds_leases=bool(self.pattern.losses)
            )
        self.machines[machine] = dataclasses.replace(
            self.machines[machine],
            worker_id=worker_id,
            status=coordination.MachineState.UP,
        )

    def _draw_jobs(self) -> Iterator[_Job]:
        drawn: list[_Job] = []
        pattern = self.pattern
        for turn, shape in enumerate(pattern.queues):
            self._submit_lasting(shape)
            at_s = WARM_UP_S
            end_s = WARM_UP_S + pattern.day_s
            while at_s < end_s:
                number = int((at_s - WARM_UP_S) / pattern.burst_s)
                is_bursting = number % len(pattern.queues) == turn
                rate = shape.per_s * (
                    pattern.burst_ratio if is_bursting else pattern.idle_ratio
                )
                rate *= self._surge(shape.name, at_s - WARM_UP_S)
                gap_s = self.rng.expovariate(rate)
                boundary_s = WARM_UP_S + (number + 1) * pattern.burst_s
                if at_s + gap_s >= boundary_s:
                    at_s = boundary_s
                    continue
                at_s += gap_s
                if at_s < end_s:
                    drawn.append(self._draw_job(shape, at_s, len(drawn)))
        yield from sorted(drawn, key=lambda job: job.at_s)

    def _draw_floods(self) -> None:
        """Draw the jobs that customers submit beyond their usual rate."""
        pattern = self.pattern
        shares = {shape.name: shape.share for shape in pattern.customers}
        flood_jobs: list[_Job] = []
        for name, start_s, length_s, factor in pattern.floods:
            for turn, shape in enumerate(pattern.queues):
                at_s = start_s
                while True:
                    number = int(at_s / pattern.burst_s)
                    is_bursting = number % len(pattern.queues) == turn
                    rate = shape.per_s * shares[name] * (factor - 1)
                    rate *= (
                        pattern.burst_ratio
                        if is_bursting
                        else pattern.idle_ratio
                    ) * self._surge(shape.name, at_s)
                    at_s += self.rng.expovariate(rate)
                    if at_s >= start_s + length_s:
                        break
                    count = len(self._drawn) + len(flood_jobs)
                    job = self._draw_job(shape, WARM_UP_S + at_s, count)
                    job.customer = name
                    flood_jobs.append(job)
        self._drawn = sorted(
            self._drawn + flood_jobs, key=lambda job: job.at_s
        )

    def _name_customers(self, seed: int) -> None:
        """Draw the customers of jobs, and find what is owed to each.

        Owed are the jobs of a customer that aren't more than its weight in
        jobs a second, of which one second's may come at once.
        """
        shapes = self.pattern.customers
        if not shapes:
            return
        rng = random.Random(f'customers of {seed}')  # noqa: S311
        names = [shape.name for shape in shapes]
        shares = [shape.share for shape in shapes]
        weights = {shape.name: shape.weight for shape in shapes}
        left = {name: max(weight, 1.0) for name, weight in weights.items()}
        former_s = dict.fromkeys(names, 0.0)
        for job in self._drawn:
            job.customer = job.customer or rng.choices(names, shares)[0]
            name, weight = job.customer, weights[job.customer]
            more = weight * (job.at_s - former_s[name])
            left[name] = min(left[name] + more, max(weight, 1.0))
            former_s[name] = job.at_s
            job.is_owed = left[name] >= 1
            left[name] -= job.is_owed

    def _surge(self, name: str, at_s: float) -> float:
        factor = 1.0
        for queue, start_s, length_s, more in self.pattern.surges:
            if queue == name and start_s <= at_s < start_s + length_s:
                factor *= more
        return factor

    def _draw_job(self, shape: QueueShape, at_s: float, number: int) -> _Job:
        job_id = f'{shape.name}-{number}'
        steps = []
        run_s: dict[str, float] = {}
        work = 0.0
        chain_s = 0.0
        for index in range(max(1, round(self._draw(shape.steps, 0.4)))):
            mean_s = self._draw(shape.run_s, 0.5)
            cpu = int(min(self._draw(shape.cpu, 0.45), 3 * shape.cpu))
            memory_mb = int(
                min(self._draw(shape.memory_mb, 0.6), 3 * shape.memory_mb)
            )
            width = max(1, round(self._draw(shape.width, 0.6)))
            width = min(width, int(4 * shape.width))
            steps.append(
                state.StepSpec(
                    width,
                    state.Room(cpu, memory_mb),
                    mean_s * self.rng.uniform(0.8, 1.2),
                    after=(index - 1,) if index else (),
                )
            )
            longest_s = 0.0
            for task in range(width):
                drawn_s = mean_s * self.rng.uniform(0.85, 1.15)
                run_s[f'0.{index}.{task}'] = drawn_s
                longest_s = max(longest_s, drawn_s)
                work += drawn_s * cpu
            chain_s += longest_s
        mean_work = shape.steps * shape.width * shape.run_s * shape.cpu
        value = shape.value * min(0.3 + 0.7 * work / mean_work, 4.0)
        self.result.needed_s += work / ROOM.cpu_millicores
        spec = state.JobSpec(job_id, 'text', tuple(steps))
        return _Job(spec, shape, at_s, 1.6 * chain_s + 0.6, value, run_s)

    def _find_oracle_s(self) -> float:
        """Return the machine-seconds of the oracle's plan; see oracle_s."""
        pattern = self.pattern
        slots = round(pattern.day_s / ORACLE_SLOT_S)
        loads = {
            shape.name: [
                pattern.lasting_cpu * pattern.lasting_count
                for _ in range(slots)
            ]
            for shape in pattern.queues
        }
        for job in self._drawn:
            at_s = job.at_s - WARM_UP_S
            load = loads[job.queue.name]
            for number, step in enumerate(job.spec.steps):
                runs_s = [
                    job.run_s[f'0.{number}.{task}']
                    for task in range(step.task_count)
                ]
                for run_s in runs_s:
                    first = int(at_s / ORACLE_SLOT_S)
                    last = int((at_s + run_s) / ORACLE_SLOT_S)
                    for slot in range(first, min(last + 1, slots)):
                        load[slot] += step.room.cpu_millicores
                at_s += max(runs_s)
        return ORACLE_SLOT_S * sum(
            math.ceil(cpu / ROOM.cpu_millicores)
            for load in loads.values()
            for cpu in load
        )

    def _draw(self, mean: float, spread: float) -> float:
        sigma = math.sqrt(math.log(1 + spread**2))
        return mean * math.exp(self.rng.gauss(-(sigma**2) / 2, sigma))

    def _submit_lasting(self, shape: QueueShape) -> None:
        pattern = self.pattern
        step = state.StepSpec(
            pattern.lasting_count,
            state.Room(pattern.lasting_cpu, 17_000),
            is_lasting=True,
            may_miss=max(1, int(0.15 * pattern.lasting_count)),
        )
        spec = state.JobSpec(f'{shape.name}-lasting', 'text', (step,))
        accepted = state.JobAccepted(
            spec, self._queue(shape), int(LASTING_AT_S * 1000)
        )
        self._commits.append((LASTING_AT_S, accepted))

    def _submit(self, job: _Job) -> None:
        self._jobs[job.spec.job_id] = job
        queue = self._queue(job.queue)
        at_ms = int(self.now_s * 1000)
        job.attempts += 1
        refusal = self.scheduler.submissions.judge(
            job.spec, queue, job.customer, self.now_s, at_ms
        )
        if refusal is not None:
            self.result.refused.add(job.spec.job_id)
            if job.attempts == CALL_ATTEMPTS:
                self.result.gave_up += 1
                return
            returns_s = self.now_s + refusal.retry_after_s
            heapq.heappush(self._returns, (returns_s, job.spec.job_id, job))
            return
        self.result.returns_accepted += job.attempts > 1
        job.accepted_s = self.now_s
        self._propose(
            [state.JobAccepted(job.spec, queue, at_ms, job.customer)]
        )

    def _queue(self, shape: QueueShape) -> state.Queue:
        plan = self.jobs_state.plan
        assert plan is not None
        return next(q for q in plan.queues if q.name == shape.name)

    def _propose(self, records: list[state.JobRecord]) -> None:
        due_s = self.now_s + COMMIT_S
        self._commits += [(due_s, record) for record in records]

    def _commit(self, record: state.JobRecord) -> None:
        state.apply_to_jobs(self.jobs_state, record)
        now_ms = int(self.now_s * 1000)
        self.scheduler.handle_applied(record, self.now_s, now_ms)
        self.machine_manager.handle_applied(record, self.now_s)

    def _advance(self) -> None:
        now_s, now_ms = self.now_s, int(self.now_s * 1000)
        due = [r for at_s, r in self._commits if at_s <= now_s]
        self._commits = [c for c in self._commits if c[0] > now_s]
        for record in due:
            self._commit(record)
        for name, at_s in list(self._return_times_s.items()):
            if now_s >= at_s:
                del self._return_times_s[name]
                self._start_worker(name, now_s)
        for worker in self.workers.values():
            worker.end_due(now_s)
            self._report(worker)
        self._transit.answer_orders(now_s)
        self._transit.answer_polls(now_s)
        records = self.scheduler.step(now_s, now_ms)
        records += self.machine_manager.step(now_s, now_ms)
        records += self.scheduler.take_proposals()
        self._propose(records)
        self._transit.send_orders(now_s)
        self._transit.send_polls(now_s)
        self._handle_machine_calls()
        decisions = self.scheduler.take_decisions()
        errors = [d for d in decisions if d.event == 'step_part_failed']
        assert not errors, errors
        self.decisions += [(now_s, decision) for decision in decisions]
        if WARM_UP_S <= now_s < WARM_UP_S + self.pattern.day_s:
            self.result.pool_s += TICK_S * sum(
                machine.pool != 'standby' for machine in self.machines.values()
            )
        for job_id in self._jobs.keys() - self._done_s.keys():
            state_job = self.jobs_state.jobs.get(job_id)
            if state_job is not None and (
                state_job.status is state.JobStatus.SUCCEEDED
            ):
                self._done_s[job_id] = now_s

    def _report(self, worker: Worker) -> None:
        if self.now_s < worker.reports_at_s:
            return
        worker.reports_at_s = self.now_s + REPORT_INTERVAL_S
        worker.sequence += 1
        report = coordination.WorkerReport(
            worker.facts, worker.sequence, int(self.now_s * 1000), False
        )
        record = self.scheduler.handle_report(report, self.now_s)
        if record is not None:
            self._propose([record])

    def _run_s(self, key: state.RunKey) -> float:
        """Return the run time of a run; that of a lasting one is infinite."""
        job = self._jobs.get(key.job_id)
        return math.inf if job is None else job.run_s[key.task]

    def _handle_machine_calls(self) -> None:
        for call in self.machine_manager.take_calls():
            if isinstance(call, coordination.ListMachines):
                listed = tuple(self.machines.values())
                self.machine_manager.handle_machine_list(
                    call, listed, self.now_s
                )
                continue
            machine = self.machines[call.duty.machine]
            worker = self.workers.pop(machine.worker_id, None)
            if worker is not None:
                # An order that is carried out late may have started a run.
                assert not worker.runs or self.pattern.losses, machine
                self.result.lapses += worker.lapse_count
            is_move = call.duty.kind is state.DutyKind.MOVE
            self.machines[machine.name] = dataclasses.replace(
                machine,
                pool=call.duty.pool or machine.pool,
                worker_id='',
                status=coordination.MachineState.MOVING
                if is_move
                else coordination.MachineState.UPKEEP,
            )
            away_s = MOVE_S if is_move else UPKEEP_S
            self._return_times_s[machine.name] = self.now_s + away_s
            self.result.moves += is_move
            done = coordination.DutyOutcome.DONE
            self._propose(
                self.machine_manager.handle_duty_outcome(
                    call, done, self.now_s
                )
            )

    def _compute_result(self) -> None:
        offered: dict[str, float] = {}
        earned: dict[str, float] = {}
        windows: dict[int, list[float]] = {}
        for job_id, job in self._jobs.items():
            took_s = self._done_s.get(job_id, math.inf) - job.at_s
            value = self._value(job, took_s)
            self.result.in_time += took_s <= job.objective_s
            name = job.queue.name
            offered[name] = offered.get(name, 0.0) + job.value
            earned[name] = earned.get(name, 0.0) + value
            window = windows.setdefault(int(job.at_s / 2), [0.0, 0.0])
            window[0] += job.value
            window[1] += value
        self._compute_owed()
        self.result.polls = self._transit.poll_count
        self.result.twice = self._transit.twice_count
        self.result.unsent = self._transit.unsent_count
        self.result.lapses += sum(
            worker.lapse_count for worker in self.workers.values()
        )
        self.result.never_served = sum(
            job.accepted_s > 0 and job_id not in self._done_s
            for job_id, job in self._jobs.items()
        )
        self.result.jobs = len(self._jobs)
        self.result.offered = sum(offered.values())
        self.result.earned = sum(earned.values())
        self.result.by_queue = {n: earned[n] / offered[n] for n in offered}
        shares = sorted(w[1] / w[0] for w in windows.values() if w[0])
        self.result.worst_windows = sum(shares[:2]) / 2

    def _compute_owed(self) -> None:
        """Compute the result of what is owed to customers."""
        result = self.result
        by_customer: dict[str, list[float]] = {}
        by_queue: dict[str, list[float]] = {}
        windows: dict[int, list[float]] = {}
        works: list[tuple[float, bool]] = []
        flooding = {flood[0] for flood in self.pattern.floods}
        for job_id, job in self._jobs.items():
            done_s = self._done_s.get(job_id, math.inf)
            value = self._value(job, done_s - job.at_s)
            is_in_time = done_s - job.at_s <= job.objective_s
            if job.attempts > 1 and job_id in self._done_s:
                after_s = done_s - job.accepted_s
                result.returns_in_time += after_s <= job.objective_s
            if not job.is_owed:
                result.beyond_in_time += is_in_time
                continue
            result.owed += job.value
            result.earned_owed += value
            for sums in (
                by_customer.setdefault(job.customer, [0.0, 0.0]),
                by_queue.setdefault(job.queue.name, [0.0, 0.0]),
                windows.setdefault(int(job.at_s / 2), [0.0, 0.0]),
            ):
                sums[0] += job.value
                sums[1] += value
            if job.customer not in flooding:
                works.append((job.value / job.queue.value, is_in_time))
        result.by_customer = {n: s[1] / s[0] for n, s in by_customer.items()}
        others = [s for n, s in by_customer.items() if n not in flooding]
        if others:
            offered = sum(s[0] for s in others)
            result.others_share = sum(s[1] for s in others) / offered
        result.owed_by_queue = {n: s[1] / s[0] for n, s in by_queue.items()}
        shares = sorted(w[1] / w[0] for w in windows.values() if w[0])
        result.owed_windows = sum(shares[:2]) / 2
        works.sort(key=lambda item: item[0], reverse=True)
        largest = works[: max(len(works) // 10, 1)]
        in_time = sum(is_in_time for _, is_in_time in largest)
        result.largest_in_time = in_time / max(len(largest), 1)

    def _value(self, job: _Job, took_s: float) -> float:
        if took_s <= job.objective_s:
            return job.value
        if took_s <= LATE_RATIO * job.objective_s:
            return LATE_SHARE * job.value
        return 0.0
