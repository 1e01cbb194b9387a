"""A day of demand that rises by turns, on the real decision code.

One leader, workers without faults, and a platform that moves machines, under
a virtual clock. What the days cost and earn is measured; nothing is judged.
"""

from collections.abc import Iterator
import contextlib
import dataclasses
import math
import random
from typing import Any
from unittest import mock

from greengagering import coordination
from greengagering.coordination.jobs import _pool_plan
from greengagering import state

TICK_S = 0.02
COMMIT_S = 0.02
"""Time from a proposal until it is folded in: a sync and a round trip."""

ANSWER_S = 0.004
"""Time from an order until its answer."""

MOVE_S = 1.5
"""Time that a machine is away for a move."""

UPKEEP_S = 2.0
"""Time that a machine is down for its upkeep."""

LATE_RATIO = 3.0
"""Multiple of its objective after which a job counts for nothing."""

LATE_SHARE = 0.07
"""Share of its worth that a late job earns, by the users' sheets."""

ORACLE_SLOT_S = 0.25
"""Time for which the clairvoyant plan keeps a machine at least."""

ROOM = state.Room(32_000, 131_072)
REPORT_INTERVAL_S = 1.5
LASTING_AT_S = 2.0
"""Time at which the lasting jobs are handed in."""

QUIET_S = 8.0
"""Time before the first turn, in which the system starts."""

CLOSING_S = 10.0
"""Time after the last turn, in which nothing is handed in."""


@dataclasses.dataclass(frozen=True)
class QueueShape:
    """What one queue is handed.

    Attributes:
        name: its service, too.
        per_s: mean rate of jobs.
        worth: worth of a job of mean size.
        steps: mean number of steps.
        width: mean number of tasks in a step.
        run_s: mean run time of a task.
        cpu: mean millicores of a task.
        memory_mb: mean memory of a task.
    """

    name: str
    per_s: float
    worth: float
    steps: float
    width: float
    run_s: float
    cpu: float
    memory_mb: float


@dataclasses.dataclass(frozen=True)
class DemandPattern:
    """A deployment's queues and the turns in which they burst.

    Attributes:
        queues: in the order of their turns.
        machines: machines of each queue's pool at the start.
        standby: machines of the standby pool at the start.
        turn_s: length of a turn.
        peak: rate in a queue's turn over its mean.
        rest: rate in the others' turns over its mean.
        day_s: time in which jobs are handed in.
        surges: times at which a queue is handed more on top, as queue, start,
            length and factor.
        lasting_cpu: millicores of a lasting task.
        lasting_count: lasting tasks of each queue, in one job.
    """

    queues: tuple[QueueShape, ...]
    machines: tuple[int, ...]
    standby: int
    turn_s: float = 9.0
    peak: float = 3.85
    rest: float = 0.05
    day_s: float = 34.0
    surges: tuple[tuple[str, float, float, float], ...] = ()
    lasting_cpu: int = 3000
    lasting_count: int = 5


QUEUES = (
    QueueShape('lookup', 5.5, 0.492, 1.6, 6, 0.64, 1800, 3600),
    QueueShape('match', 0.66, 4.6, 2, 8, 1.7, 3800, 14_000),
    QueueShape('status', 6.9, 0.492, 1.6, 6, 0.64, 1800, 3600),
    QueueShape('scan', 0.81, 4.6, 2, 8, 1.7, 3800, 14_000),
)
"""Small quick jobs and large slow ones in turn, as the users' sheets say."""

MACHINES = (8, 9, 11, 12)
STANDBY = 8


def four_turns(
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

SHORT_FLEET = four_turns(
    machines=(7, 8, 9, 9), standby=0, day_s=50.0, surges=SURGES
)
"""A third fewer machines, and more in each queue's turn than usual."""

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
"""The same fleet after it has grown."""


@dataclasses.dataclass
class DemandResult:
    """What a day cost and earned.

    Attributes:
        owed: worth of all jobs.
        earned: worth that was earned.
        jobs: jobs handed in.
        in_time: jobs done within their objective.
        by_queue: share earned, by queue.
        worst_windows: share earned in the two worst windows of two seconds.
        pool_s: machine-seconds in paid pools while jobs are handed in.
        needed_s: machine-seconds that the work itself fills.
        oracle_s: machine-seconds in pools if every step began at once and
            each pool had, at each moment, just the machines for it.
        moves: machines moved.
        looks: readings of workers' lists.
    """

    owed: float = 0.0
    earned: float = 0.0
    jobs: int = 0
    in_time: int = 0
    by_queue: dict[str, float] = dataclasses.field(default_factory=dict)
    worst_windows: float = 0.0
    pool_s: float = 0.0
    needed_s: float = 0.0
    oracle_s: float = 0.0
    moves: int = 0
    looks: int = 0

    @property
    def share(self) -> float:
        """Share of what was owed that was earned."""
        return self.earned / self.owed if self.owed else 1.0


@dataclasses.dataclass
class _Run:
    key: state.RunKey
    ends_s: float


class _Worker:
    """A worker without faults; its clock is the world's."""

    def __init__(self, name: str, service: str, born_s: float) -> None:
        self.facts = state.WorkerFacts(
            name,
            int(born_s * 1000) + 1,
            service,
            f'{name}:80',
            'dc-1',
            f'rack-{sum(name.encode()) % 12}',
            (),
            ROOM,
        )
        self.runs: dict[str, _Run] = {}
        self.ended: list[state.RunEnd] = []
        self.end_count = 0
        self.reports_at_s = born_s
        self.sequence = 0

    def end_due(self, now_s: float) -> None:
        """End what has run its time."""
        for name, run in list(self.runs.items()):
            if now_s >= run.ends_s:
                self.end(name, state.RunEnding.DONE)

    def end(self, name: str, ending: state.RunEnding) -> None:
        """End a run."""
        run = self.runs.pop(name)
        self.end_count += 1
        self.ended.append(state.RunEnd(self.end_count, run.key, ending, ''))


@dataclasses.dataclass
class _Job:
    spec: state.JobSpec
    queue: QueueShape
    at_s: float
    objective_s: float
    worth: float
    run_s: dict[str, float]


@contextlib.contextmanager
def static_pools() -> Iterator[None]:
    """Let no machine move, as a baseline."""
    with mock.patch.object(
        _pool_plan.PoolPlan, 'find_moves', lambda *_arguments: []
    ):
        yield


class DemandWorld:
    """Plays one seeded day of a pattern."""

    def __init__(self, pattern: DemandPattern, seed: int) -> None:
        self.pattern = pattern
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.result = DemandResult()
        self.jobs_state = state.JobsState()
        self.director = coordination.JobDirector(self.jobs_state)
        self.keeper = coordination.MachineKeeper(self.director, 'leader')
        self.decisions: list[tuple[float, coordination.Decision]] = []
        self._commits: list[tuple[float, state.JobRecord]] = []
        self._answers: list[tuple[float, coordination.Order]] = []
        self._looks: dict[str, tuple[coordination.LookOrder, int, float]] = {}
        self.workers: dict[str, _Worker] = {}
        self.machines: dict[str, coordination.Machine] = {}
        self._arrivals: dict[str, float] = {}
        self._lives = 0
        self._jobs: dict[str, _Job] = {}
        self._done_s: dict[str, float] = {}
        self._commit(self._plan_record())
        self._create_machines()
        self.director.lead(1, 0.0, 0)
        self._drawn = list(self._draw_jobs())
        self.result.oracle_s = self._find_oracle_s()

    @property
    def ends_s(self) -> float:
        """When the day is over."""
        return QUIET_S + self.pattern.day_s + CLOSING_S

    def play(self) -> DemandResult:
        """Play the day."""
        self.play_until(self.ends_s)
        self._settle()
        return self.result

    def play_until(self, ends_s: float) -> None:
        """Play a part of the day."""
        jobs = self._drawn
        while self.now_s < ends_s:
            self.now_s += TICK_S
            while jobs and jobs[0].at_s <= self.now_s:
                self._hand_in(jobs.pop(0))
            self._advance()

    def accept_wave(
        self, machine_count: int, deadline_s: float, max_down_count: int
    ) -> None:
        """Accept a wave over drawn machines."""
        drawn = self.rng.sample(sorted(self.machines), machine_count)
        wave = state.UpkeepWave(1, tuple(drawn), deadline_s, max_down_count)
        self._propose([state.WaveAccepted(wave, int(self.now_s * 1000))])

    def hand_in_step(
        self, job_id: str, task_count: int, cpu: int, run_s: float
    ) -> None:
        """Hand in a job with one step at the first queue."""
        room = state.Room(cpu, 100)
        step = state.StepSpec(task_count, room, run_s)
        runs_s = {f'0.0.{n}': run_s for n in range(task_count)}
        spec = state.JobSpec(job_id, 'text', (step,))
        shape = self.pattern.queues[0]
        self._hand_in(_Job(spec, shape, self.now_s, run_s, 1.0, runs_s))

    def count_machines(self, pool: str) -> int:
        """Return how many machines a pool holds, with those on their way."""
        return sum(machine.pool == pool for machine in self.machines.values())

    def account(self) -> str:
        """Return the newest decisions about pools, one a line."""
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
                priority=int(shape.worth > 1),
                attempt_limit=2,
                stretch=1.6,
                target_s=0.6,
            )
            for shape in self.pattern.queues
        )
        services = [state.WorkerService(s.name) for s in self.pattern.queues]
        services.append(state.WorkerService('standby', is_standby=True))
        plan = state.RoutePlan(1, queues, tuple(services), 2**18, b'{}')
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
                self._begin_life(name, self.rng.uniform(0, 1.0))

    def _begin_life(self, machine: str, at_s: float) -> None:
        """Let a machine serve its pool; one that stands by is off."""
        pool = self.machines[machine].pool
        worker_id = ''
        if pool != 'standby':
            self._lives += 1
            worker_id = f'w-{machine}-{self._lives}'
            self.workers[worker_id] = _Worker(worker_id, pool, at_s)
        self.machines[machine] = dataclasses.replace(
            self.machines[machine],
            worker_id=worker_id,
            status=coordination.MachineState.UP,
        )

    def _draw_jobs(self) -> Iterator[_Job]:
        drawn: list[_Job] = []
        pattern = self.pattern
        for turn, shape in enumerate(pattern.queues):
            self._hand_in_lasting(shape)
            at_s = QUIET_S
            end_s = QUIET_S + pattern.day_s
            while at_s < end_s:
                number = int((at_s - QUIET_S) / pattern.turn_s)
                is_on = number % len(pattern.queues) == turn
                rate = shape.per_s * (pattern.peak if is_on else pattern.rest)
                rate *= self._surge(shape.name, at_s - QUIET_S)
                gap_s = self.rng.expovariate(rate)
                border_s = QUIET_S + (number + 1) * pattern.turn_s
                if at_s + gap_s >= border_s:
                    at_s = border_s
                    continue
                at_s += gap_s
                if at_s < end_s:
                    drawn.append(self._draw_job(shape, at_s, len(drawn)))
        yield from sorted(drawn, key=lambda job: job.at_s)

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
        worth = shape.worth * min(0.3 + 0.7 * work / mean_work, 4.0)
        self.result.needed_s += work / ROOM.cpu_millicores
        spec = state.JobSpec(job_id, 'text', tuple(steps))
        return _Job(spec, shape, at_s, 1.6 * chain_s + 0.6, worth, run_s)

    def _find_oracle_s(self) -> float:
        """Return the machine-seconds of a clairvoyant plan without waiting."""
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
            at_s = job.at_s - QUIET_S
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

    def _hand_in_lasting(self, shape: QueueShape) -> None:
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

    def _hand_in(self, job: _Job) -> None:
        self._jobs[job.spec.job_id] = job
        at_ms = int(self.now_s * 1000)
        self._propose(
            [state.JobAccepted(job.spec, self._queue(job.queue), at_ms)]
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
        self.director.note_applied(record, self.now_s, now_ms)
        self.keeper.note_applied(record, self.now_s)

    def _advance(self) -> None:
        now_s, now_ms = self.now_s, int(self.now_s * 1000)
        due = [r for at_s, r in self._commits if at_s <= now_s]
        self._commits = [c for c in self._commits if c[0] > now_s]
        for record in due:
            self._commit(record)
        for name, at_s in list(self._arrivals.items()):
            if now_s >= at_s:
                del self._arrivals[name]
                self._begin_life(name, now_s)
        for worker in self.workers.values():
            worker.end_due(now_s)
            self._report(worker)
        self._answer_orders()
        self._answer_looks()
        records = self.director.step(now_s, now_ms)
        records += self.keeper.step(now_s, now_ms)
        records += self.director.take_proposals()
        self._propose(records)
        for order in self.director.take_orders():
            self._answers.append((now_s + ANSWER_S, order))
        self._ask_looks()
        self._serve_platform()
        self.decisions += [
            (now_s, decision) for decision in self.director.take_decisions()
        ]
        if QUIET_S <= now_s < QUIET_S + self.pattern.day_s:
            self.result.pool_s += TICK_S * sum(
                machine.pool != 'standby' for machine in self.machines.values()
            )
        for job_id in self._jobs.keys() - self._done_s.keys():
            state_job = self.jobs_state.jobs.get(job_id)
            if state_job is not None and (
                state_job.status is state.JobStatus.SUCCEEDED
            ):
                self._done_s[job_id] = now_s

    def _report(self, worker: _Worker) -> None:
        if self.now_s < worker.reports_at_s:
            return
        worker.reports_at_s = self.now_s + REPORT_INTERVAL_S
        worker.sequence += 1
        report = coordination.WorkerReport(
            worker.facts, worker.sequence, int(self.now_s * 1000), False
        )
        record = self.director.note_report(report, self.now_s)
        if record is not None:
            self._propose([record])

    def _answer_orders(self) -> None:
        due = [o for at_s, o in self._answers if at_s <= self.now_s]
        self._answers = [a for a in self._answers if a[0] > self.now_s]
        for order in due:
            worker = self.workers.get(order.life.worker_id)
            outcome = coordination.OrderOutcome.NO_ANSWER
            grant = 0
            if worker is not None:
                outcome = coordination.OrderOutcome.DONE
                grant = self._carry_out(worker, order)
            answer = coordination.OrderAnswer(outcome, int(self.now_s * 1000))
            self.director.note_order(order, grant, answer, self.now_s)

    def _carry_out(self, worker: _Worker, order: coordination.Order) -> int:
        name = order.key.task_name
        if isinstance(order, coordination.StopOrder):
            if name in worker.runs:
                worker.end(name, state.RunEnding.STOPPED)
            return 0
        if not isinstance(order, coordination.StartOrder):
            return 0
        job = self._jobs.get(order.key.job_id)
        ends_s = math.inf
        if job is not None:
            ends_s = self.now_s + job.run_s[order.key.task]
        worker.runs[name] = _Run(order.key, ends_s)
        return self.director.begin_start(order, self.now_s)

    def _ask_looks(self) -> None:
        for life_key in list(self.director.workers):
            if life_key in self._looks:
                continue
            look = self.director.next_look(life_key, self.now_s)
            if look is not None:
                grant = self.director.begin_look(look, self.now_s)
                self._looks[life_key] = (look, grant, self.now_s)
                self.result.looks += 1

    def _answer_looks(self) -> None:
        for life_key, (look, grant, sent_s) in list(self._looks.items()):
            worker = self.workers.get(look.life.worker_id)
            answer = coordination.LookAnswer(
                coordination.OrderOutcome.NO_ANSWER
            )
            if worker is not None:
                worker.ended = [
                    end for end in worker.ended if end.number > look.noted_end
                ]
                waits_until_s = sent_s + look.wait_ms / 1000
                if not worker.ended and self.now_s < waits_until_s:
                    continue
                answer = coordination.LookAnswer(
                    coordination.OrderOutcome.DONE,
                    int(self.now_s * 1000),
                    worker.facts.born_ms,
                    tuple(
                        coordination.ListedRun(run.key, '', 100, None)
                        for run in worker.runs.values()
                    ),
                    tuple(worker.ended),
                )
            del self._looks[life_key]
            self.director.note_look(look, grant, answer, sent_s, self.now_s)

    def _serve_platform(self) -> None:
        for call in self.keeper.take_calls():
            if isinstance(call, coordination.ListMachines):
                listed = tuple(self.machines.values())
                self.keeper.note_machines(call, listed, self.now_s)
                continue
            machine = self.machines[call.duty.machine]
            worker = self.workers.pop(machine.worker_id, None)
            assert worker is None or not worker.runs, machine
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
            self._arrivals[machine.name] = self.now_s + away_s
            self.result.moves += is_move
            done = coordination.DutyOutcome.DONE
            self._propose(self.keeper.note_duty(call, done, self.now_s))

    def _settle(self) -> None:
        owed: dict[str, float] = {}
        earned: dict[str, float] = {}
        windows: dict[int, list[float]] = {}
        for job_id, job in self._jobs.items():
            took_s = self._done_s.get(job_id, math.inf) - job.at_s
            worth = 0.0
            if took_s <= job.objective_s:
                worth = job.worth
                self.result.in_time += 1
            elif took_s <= LATE_RATIO * job.objective_s:
                worth = LATE_SHARE * job.worth
            name = job.queue.name
            owed[name] = owed.get(name, 0.0) + job.worth
            earned[name] = earned.get(name, 0.0) + worth
            window = windows.setdefault(int(job.at_s / 2), [0.0, 0.0])
            window[0] += job.worth
            window[1] += worth
        self.result.jobs = len(self._jobs)
        self.result.owed = sum(owed.values())
        self.result.earned = sum(earned.values())
        self.result.by_queue = {n: earned[n] / owed[n] for n in owed}
        shares = sorted(w[1] / w[0] for w in windows.values() if w[0])
        self.result.worst_windows = sum(shares[:2]) / 2
