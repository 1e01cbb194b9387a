"""Fault search over jobs, runs and worker leases under a virtual clock."""

import dataclasses
import heapq
import random
from typing import Any

import fire
from result import Ok

from features.search import fakes
from features.search.replica_search import InvariantError
from features.search import worker_fakes
from greengagering import coordination
from greengagering import state

STEP_S = 0.03
STEPS = 700
CALM_S = 45.0
DRIFT_RATIO = 0.02
WORKER_COUNT = 4
ATTEMPT_LIMIT = 3
LATE_MIN_S = 2.0
LATE_MAX_S = 12.0
ANSWER_TIMEOUT_S = 0.5
AGENT_TIMEOUT_S = 0.9
AGENT_HOLD_S = 1.0
"""Longest time that an agent may hold an order back."""

REFUSE_RATIO = 0.4
"""Share of its orders that an unhealthy worker refuses."""

AGENT_FAULTS = (0.06, 0.05, 0.04)
"""Shares of orders that an agent holds back, does not send, sends twice."""

REPORT_INTERVAL_S = 1.5
CONTROLS = ('control-0', 'control-1', 'control-2')
QUEUE = state.Queue(
    'queue-a', 'jobs', '/a/', 'service-a', attempt_limit=ATTEMPT_LIMIT
)


@dataclasses.dataclass
class JobResult:
    """What a schedule exercised, so that an idle search shows itself."""

    accepted: int = 0
    cancelled: int = 0
    starts: int = 0
    succeeded: int = 0
    crashes: int = 0
    rebirths: int = 0
    late_orders: int = 0
    unsent: int = 0
    held: int = 0
    doubled: int = 0
    lapses: int = 0
    leaders: int = 0
    refusals: int = 0

    def add(self, other: 'JobResult') -> None:
        """Add another schedule's counts."""
        for field in dataclasses.fields(self):
            total = getattr(self, field.name) + getattr(other, field.name)
            setattr(self, field.name, total)


@dataclasses.dataclass
class ControlNode:
    """One control replica; core is None while it is down."""

    identity: coordination.ReplicaIdentity
    disk: fakes.FakeDisk
    clock: fakes.SkewedClock
    core: coordination.ControlCore | None = None
    frozen_until_s: float = 0.0
    looking: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(frozen=True)
class Trip:
    """An order on its way to a worker, or an answer on its way back."""

    core: coordination.ControlCore
    order: Any
    grant: int
    sent_at_s: float
    answer: Any = None
    is_answer: bool = False
    is_silent: bool = False


class JobSearch:
    """One seeded schedule over three control replicas and some workers."""

    def __init__(self, seed: int, *, has_agents: bool = False) -> None:
        self.has_agents = has_agents
        # A worker may refuse the copy of an order that it took. No agent
        # sends an order twice, so a schedule has copies or refusals.
        self.has_refusals = not has_agents or seed % 2 == 0
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.trace: list[str] = []
        self.result = JobResult()
        self.ledger = worker_fakes.Ledger()
        self.ledger.attempt_limit = ATTEMPT_LIMIT
        self.ledger.on_end = self._note_end
        self.network = fakes.FakeNetwork(
            self.rng,
            fakes.NetworkOptions(loss_ratio=self.rng.choice((0, 0.02))),
        )
        self.late_ratio = self.rng.choice((0, 0, 0.05))
        self.grants_from_arrival = self.rng.random() < 0.5
        self.lost_ratio = self.rng.choice((0, 0.02, 0.1))
        self.unsent_ratio = self.rng.choice((0, 0.05))
        self.is_calm = False
        self.cut_workers: dict[str, float] = {}
        self.workers = {
            name: worker_fakes.FakeWorker(name, self.rng, self.ledger)
            for name in (f'worker-{n}' for n in range(WORKER_COUNT))
        }
        self.down_until_s: dict[str, float] = {}
        self._reports_s = dict.fromkeys(self.workers, 0.0)
        self._trips: list[tuple[float, int, Trip]] = []
        self._trip_count = 0
        self._terms: set[int] = set()
        self._jobs = 0
        self.awaited: list[
            tuple[ControlNode, Any, coordination.ProposedTicket]
        ] = []
        self.accepted: set[str] = set()
        self.cancelled: set[str] = set()
        self.controls = {name: self._new_control(name) for name in CONTROLS}
        for control in self.controls.values():
            self._start_control(control)

    def run(self) -> JobResult:
        """Run the schedule.

        Raises:
            InvariantError: a promise was broken.
        """
        for _ in range(STEPS):
            self._inject()
            self._advance()
        self._recover()
        self.result.starts = self.ledger.start_count
        self.result.leaders = len(self._terms)
        self.result.refusals = sum(
            worker.refusal_count for worker in self.workers.values()
        )
        return self.result

    def note(self, event: str, **fields: Any) -> None:
        """Add a line to the account of this schedule."""
        parts = [f'{key}={value}' for key, value in fields.items()]
        self.trace.append(f'{self.now_s:8.3f} {event} {" ".join(parts)}')

    def _note_end(self, worker_id: str, end: state.RunEnd) -> None:
        self.note(
            'ended',
            worker=worker_id,
            run=end.key.name,
            ending=end.ending,
            number=end.number,
        )

    def _new_control(self, name: str) -> ControlNode:
        return ControlNode(
            identity=coordination.ReplicaIdentity(name, f'{name}-folder'),
            disk=fakes.FakeDisk(self.rng, 0.0002),
            clock=fakes.draw_clock(self.rng, DRIFT_RATIO),
        )

    def _start_control(self, node: ControlNode) -> None:
        now_s = node.clock.read(self.now_s)
        replica = coordination.Replica(
            node.identity,
            state.Membership(voters=CONTROLS),
            node.disk,
            self.rng,
            now_s,
            coordination.ReplicaOptions(clock_drift_ratio=0.05),
        )
        node.looking = set()
        node.core = coordination.ControlCore(
            replica, coordination.LeaseOptions(), now_s
        )

    def _inject(self) -> None:
        draw = self.rng.random()
        actions = (
            (0.08, self._submit),
            (0.01, self._cancel),
            (0.004, self._crash_control),
            (0.03, self._restart_control),
            (0.004, self._freeze_control),
            (0.006, self._cut_control),
            (0.02, self.network.heal),
            (0.006, self._crash_worker),
            (0.006, self._cut_worker),
            (0.01, self._compact),
            (0.01, self._sicken_worker),
        )
        for ratio, action in actions:
            if draw < ratio:
                action()
                return
            draw -= ratio

    def _submit(self) -> None:
        self._jobs += 1
        is_lasting = self.rng.random() < 0.1
        cpu = 250 if is_lasting else self.rng.choice((500, 2000, 4000))
        steps = [
            state.StepSpec(
                task_count=self.rng.randint(1, 5),
                room=state.Room(cpu, 100),
                estimate_s=0.6,
                is_lasting=is_lasting,
            )
        ]
        if not steps[0].is_lasting and self.rng.random() < 0.5:
            steps.append(
                state.StepSpec(2, state.Room(1000, 100), 0.6, after=(0,))
            )
        spec = state.JobSpec(f'job{self._jobs}', 'text', tuple(steps))
        self.ledger.specs[spec.job_id] = spec
        self._propose(
            state.JobAccepted(spec, QUEUE, int(self.now_s * 1000)), spec
        )

    def _cancel(self) -> None:
        if self.accepted:
            job_id = self.rng.choice(sorted(self.accepted))
            self._propose(state.JobCancelled(job_id), job_id)

    def _propose(self, record: state.JobRecord, subject: Any) -> None:
        for node in self._running():
            assert node.core is not None
            now_s = node.clock.read(self.now_s)
            if not node.core.jobs.is_leading:
                continue
            place = node.core.propose_job_record(record, now_s)
            if isinstance(place, Ok):
                self.awaited.append((node, subject, place.ok_value))

    def _crash_control(self) -> None:
        self._stop_control(self.rng.choice(list(self.controls.values())))

    def _stop_control(self, node: ControlNode) -> None:
        if node.core is None:
            return
        node.core = None
        self.result.crashes += 1
        self.awaited = [a for a in self.awaited if a[0] is not node]

    def _restart_control(self) -> None:
        down = [n for n in self.controls.values() if n.core is None]
        if down:
            self._start_control(self.rng.choice(down))

    def _freeze_control(self) -> None:
        node = self.rng.choice(list(self.controls.values()))
        node.frozen_until_s = self.now_s + self.rng.uniform(0.5, 4)

    def _cut_control(self) -> None:
        name = self.rng.choice(CONTROLS)
        others = [n for n in CONTROLS if n != name]
        if self.rng.random() < 0.7:
            self.network.isolate(name, others)
        else:
            self.network.cut(name, self.rng.choice(others))

    def _sicken_worker(self) -> None:
        """Let a worker refuse orders for a while, or be well again."""
        if not self.has_refusals:
            return
        worker = self.rng.choice(list(self.workers.values()))
        worker.refuse_ratio = REFUSE_RATIO - worker.refuse_ratio

    def _crash_worker(self) -> None:
        name = self.rng.choice(sorted(self.workers))
        worker = self.workers[name]
        if worker.is_up:
            worker.crash()
            self.note('worker_crashed', worker=name)
            self.result.rebirths += 1
            delay_s = self.rng.choice((0.05, 0.6, 5.0))
            self.down_until_s[name] = self.now_s + delay_s

    def _cut_worker(self) -> None:
        name = self.rng.choice(sorted(self.workers))
        self.cut_workers[name] = self.now_s + self.rng.uniform(0.3, 9)
        self.note('worker_cut', worker=name, until_s=self.cut_workers[name])

    def _compact(self) -> None:
        for node in self._running():
            if self.rng.random() < 0.5:
                assert node.core is not None
                now_s = node.clock.read(self.now_s)
                self._guard(node, node.core.compact, now_s)

    def _running(self) -> list[ControlNode]:
        return [
            n
            for n in self.controls.values()
            if n.core is not None and self.now_s >= n.frozen_until_s
        ]

    def _guard(self, node: ControlNode, action: Any, *arguments: Any) -> None:
        try:
            action(*arguments)
        except fakes.CrashError:
            self._stop_control(node)

    def _advance(self) -> None:
        self.now_s += STEP_S * self.rng.uniform(0.3, 1.7)
        for name, until_s in list(self.down_until_s.items()):
            if self.now_s >= until_s:
                del self.down_until_s[name]
                self.workers[name].begin_life(self.now_s)
                self.note(
                    'worker_born',
                    worker=name,
                    born=self.workers[name].born_ms,
                )
        for worker in self.workers.values():
            worker.advance(self.now_s)
        self._report()
        for delivery in self.network.take_due(self.now_s):
            node = self.controls[delivery.receiver]
            if node in self._running():
                assert node.core is not None
                sender = coordination.ReplicaIdentity(
                    delivery.sender, delivery.incarnation
                )
                now_s = node.clock.read(self.now_s)
                self._guard(
                    node,
                    node.core.replica.receive,
                    sender,
                    delivery.message,
                    now_s,
                )
        while self._trips and self._trips[0][0] <= self.now_s:
            _, _, trip = heapq.heappop(self._trips)
            self._arrive(trip)
        for node in self._running():
            self._step(node)

    def _report(self) -> None:
        for name, worker in self.workers.items():
            if not worker.is_up or self.now_s < self._reports_s[name]:
                continue
            self._reports_s[name] = self.now_s + REPORT_INTERVAL_S
            if self.now_s < self.cut_workers.get(name, 0):
                continue
            for node in self._running():
                assert node.core is not None
                if not node.core.jobs.is_leading:
                    continue
                now_s = node.clock.read(self.now_s)
                record = node.core.jobs.note_report(
                    worker.report(self.now_s), now_s
                )
                if record is not None:
                    node.core.propose_job_record(record, now_s)

    def _step(self, node: ControlNode) -> None:
        core = node.core
        assert core is not None
        now_s = node.clock.read(self.now_s)
        self._guard(node, core.step, now_s, int(self.now_s * 1000))
        if node.core is None:
            return
        own = node.identity
        for outgoing in core.replica.take_outbox():
            self.network.send(
                self.now_s,
                fakes.Delivery(
                    own.replica_id,
                    own.incarnation,
                    outgoing.receiver,
                    outgoing.message,
                ),
            )
        core.take_entry_outbox()
        core.take_outcomes()
        for decision in core.jobs.take_decisions():
            self.note(decision.event, at=own.replica_id, **decision.fields)
        self._take_machine_calls(node, core)
        self._settle(node, core)
        if not core.jobs.is_leading:
            core.jobs.take_orders()
        elif core.replica.has_lease(now_s):
            self._give_orders(node, core, now_s)

    def _give_orders(
        self, node: ControlNode, core: coordination.ControlCore, now_s: float
    ) -> None:
        self._terms.add(core.jobs.fence)
        for order in core.jobs.take_orders():
            if not self.is_calm and self.rng.random() < self.unsent_ratio:
                # The lease was lost between the decision and the call.
                self.result.unsent += 1
                core.jobs.note_unsent(order, now_s)
                continue
            grant = 0
            if isinstance(order, coordination.StartOrder):
                grant = core.jobs.begin_start(order, now_s)
            self._send(Trip(core, order, grant, now_s))
        for life_key in list(core.jobs.workers):
            if life_key in node.looking:
                continue
            look = core.jobs.next_look(life_key, now_s)
            if look is not None:
                node.looking.add(life_key)
                grant = core.jobs.begin_look(look, now_s)
                self._send(Trip(core, look, grant, now_s))

    def _take_machine_calls(
        self, node: ControlNode, core: coordination.ControlCore
    ) -> None:
        """Leave the platform's machines out of this search."""
        core.keeper.take_calls()

    def _settle(
        self, node: ControlNode, core: coordination.ControlCore
    ) -> None:
        applied = set(core.take_applied())
        left = []
        for item in self.awaited:
            owner, subject, place = item
            if owner is not node or place not in applied:
                left.append(item)
            elif isinstance(subject, str):
                self.cancelled.add(subject)
                self.result.cancelled += 1
            else:
                self.accepted.add(subject.job_id)
                self.result.accepted += 1
        self.awaited = left

    def _send_by_agent(self, trip: Trip) -> bool:
        """Let an agent hold an order back, not send it, or send it twice.

        Returns:
            Whether nothing else is to be sent.
        """
        draw = self.rng.random()
        held, unsent, doubled = AGENT_FAULTS
        if self.has_refusals:
            doubled = 0.0
        if draw < held:
            # The leader gives the answer up before the agent sends.
            self.result.held += 1
            hold_s = self.rng.uniform(0.0, AGENT_HOLD_S)
            if self.rng.random() < self.late_ratio:
                hold_s += self.rng.uniform(LATE_MIN_S, LATE_MAX_S)
            silent = dataclasses.replace(trip, is_silent=True)
            self._push(self.now_s + hold_s, silent)
            none = dataclasses.replace(trip, is_answer=True)
            self._push(self.now_s + AGENT_TIMEOUT_S, none)
            return True
        if draw < held + unsent:
            self.result.unsent += 1
            outcome = coordination.OrderOutcome.NOT_SENT
            answer: Any = coordination.OrderAnswer(outcome)
            if isinstance(trip.order, coordination.LookOrder):
                answer = coordination.LookAnswer(outcome)
            back = dataclasses.replace(trip, answer=answer, is_answer=True)
            self._push(self.now_s + self.rng.uniform(0.001, 0.4), back)
            return True
        if draw < held + unsent + doubled:
            self.result.doubled += 1
            silent = dataclasses.replace(trip, is_silent=True)
            self._push(self.now_s + self.rng.uniform(0.001, 1.0), silent)
        return False

    def _send(self, trip: Trip) -> None:
        """Put an order on its way; it may be lost, or come late."""
        if self.has_agents and not self.is_calm and self._send_by_agent(trip):
            return
        delay_s = self.rng.uniform(0.001, 0.02)
        draw = self.rng.random()
        answered_s = self.now_s + ANSWER_TIMEOUT_S
        none = dataclasses.replace(trip, is_answer=True)
        if not self.is_calm and draw < self.late_ratio:
            self.result.late_orders += 1
            late_s = self.rng.uniform(LATE_MIN_S, LATE_MAX_S)
            silent = dataclasses.replace(trip, is_silent=True)
            self._push(self.now_s + late_s, silent)
            self._push(answered_s, none)
        elif not self.is_calm and draw < self.late_ratio + self.lost_ratio:
            if self.rng.random() < 0.5:
                silent = dataclasses.replace(trip, is_silent=True)
                self._push(self.now_s + delay_s, silent)
            self._push(answered_s, none)
        else:
            self._push(self.now_s + delay_s, trip)

    def _push(self, at_s: float, trip: Trip) -> None:
        self._trip_count += 1
        heapq.heappush(self._trips, (at_s, self._trip_count, trip))

    def _arrive(self, trip: Trip) -> None:
        if trip.is_answer:
            self._take_answer(trip)
            return
        worker = self.workers[trip.order.life.worker_id]
        is_cut = self.now_s < self.cut_workers.get(worker.worker_id, 0)
        # What is carried out late dies with the life that has received it.
        is_lost = trip.is_silent and worker.born_ms != trip.order.life.born_ms
        if is_cut or is_lost or not worker.is_up:
            if not trip.is_silent:
                none = dataclasses.replace(trip, is_answer=True)
                self._push(self.now_s + ANSWER_TIMEOUT_S, none)
            return
        extra_ms = 0.0
        if trip.is_silent and self.grants_from_arrival:
            own = self._clock_of(trip.core).rate
            extra_ms = self.now_s * 1000 - trip.sent_at_s * 1000 / own
            extra_ms = max(0.0, min(extra_ms, LATE_MAX_S * 1000))
        order = trip.order
        if isinstance(order, coordination.StartOrder):
            answer: Any = worker.start(order, self.now_s, extra_ms)
        elif isinstance(order, coordination.StopOrder):
            answer = worker.stop(order, self.now_s)
        else:
            answer = worker.look(order, self.now_s, extra_ms)
        if not isinstance(order, coordination.LookOrder):
            self.note(
                type(order).__name__,
                run=order.key.name,
                worker=worker.worker_id,
                born=worker.born_ms,
                ordered=order.life.born_ms,
                fence=order.fence,
                outcome=answer.outcome,
                late=trip.is_silent,
            )
        if not trip.is_silent:
            back = dataclasses.replace(trip, answer=answer, is_answer=True)
            self._push(self.now_s + self.rng.uniform(0.001, 0.02), back)

    def _clock_of(self, core: coordination.ControlCore) -> fakes.SkewedClock:
        name = core.replica.identity.replica_id
        return self.controls[name].clock

    def _take_answer(self, trip: Trip) -> None:
        node = self.controls[trip.core.replica.identity.replica_id]
        if node.core is not trip.core:
            return
        if self.now_s < node.frozen_until_s:
            self._push(node.frozen_until_s, trip)
            return
        now_s = node.clock.read(self.now_s)
        none = coordination.OrderOutcome.NO_ANSWER
        if isinstance(trip.order, coordination.LookOrder):
            node.looking.discard(trip.order.life.key)
            answer = trip.answer or coordination.LookAnswer(none)
            trip.core.jobs.note_look(
                trip.order, trip.grant, answer, trip.sent_at_s, now_s
            )
        else:
            answer = trip.answer or coordination.OrderAnswer(none)
            trip.core.jobs.note_order(trip.order, trip.grant, answer, now_s)

    def _recover(self) -> None:
        """End every fault, and wait until all work is done."""
        self.is_calm = True
        self.network.heal()
        self.network.calm()
        self.cut_workers.clear()
        for worker in self.workers.values():
            worker.refuse_ratio = 0.0
        for node in self.controls.values():
            node.disk._crash_ratio = 0.0
            node.frozen_until_s = 0.0
            if node.core is None:
                self._start_control(node)
        ends_s = self.now_s + CALM_S
        while self.now_s < ends_s:
            self._advance()
        self._check_finished()

    def _check_finished(self) -> None:
        leaders = [
            node.core
            for node in self._running()
            if node.core is not None and node.core.jobs.is_leading
        ]
        if len(leaders) != 1:
            raise InvariantError(f'{len(leaders)} leaders after the calm')
        jobs = leaders[0].state.jobs.jobs
        for job_id in sorted(self.accepted):
            job = jobs.get(job_id)
            if job is None:
                raise InvariantError(f'accepted {job_id} is lost')
            self._check_job(job_id, job)

    def _check_job(self, job_id: str, job: state.Job) -> None:
        is_cancelled = job.status is state.JobStatus.CANCELLED
        if job_id in self.cancelled and job.status is state.JobStatus.ACTIVE:
            raise InvariantError(f'cancelled {job_id} is {job.status}')
        running = [
            name
            for name in self.ledger.running
            if name.startswith(f'{job_id}.')
        ]
        if is_cancelled or job.status is not state.JobStatus.ACTIVE:
            if running:
                raise InvariantError(f'{job.status} {job_id} runs {running}')
            self.result.succeeded += job.status is state.JobStatus.SUCCEEDED
            return
        if not job.spec.steps[0].is_lasting:
            raise InvariantError(
                f'{job_id} is not done: {job.done_counts}, tasks {job.tasks}'
            )


def explain(seed: int, word: str = '') -> None:
    """Run one schedule, and print its account if it breaks a promise.

    Args:
        seed: the schedule.
        word: only lines that hold this word, such as a task or a worker.
    """
    search = JobSearch(seed)
    try:
        search.run()
    except InvariantError as error:
        for line in search.trace:
            if word in line:
                print(line)
        print(error)


if __name__ == '__main__':
    fire.Fire(explain)
