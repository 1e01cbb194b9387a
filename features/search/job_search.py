"""Fault search over jobs, runs and worker leases under a virtual clock."""

import dataclasses
import heapq
import random
from typing import Any

import fire
from result import Ok

from features.search import customer_limits
from features.search import fakes
from features.search.replica_search import InvariantError
from features.search import worker_fakes
from greengagering import coordination
from greengagering import state

STEP_S = 0.03
STEPS = 700
RECOVERY_S = 45.0
DRIFT_RATIO = 0.02
WORKER_COUNT = 4
ATTEMPT_LIMIT = 3
LATE_MIN_S = 2.0
LATE_MAX_S = 12.0
ANSWER_TIMEOUT_S = 0.5
AGENT_TIMEOUT_S = 0.9
AGENT_HOLD_S = 1.0
"""Longest time for which an agent may delay an order."""

REFUSE_RATIO = 0.4
"""Share of orders that an unhealthy worker refuses."""

AGENT_FAULTS = (0.06, 0.05, 0.04)
"""Shares of orders that an agent delays, does not send, and sends twice."""

SLOW_LIST_RATIO = 0.05
"""Share of answers to polls that take up to ANSWER_TIMEOUT_S on their way."""

LATE_POLL_RATIOS = (0.0, 0.1, 0.5)
"""Shares of polls that get no answer and are carried out late, of which each
schedule has one."""

BREAK_RATIO = 0.08
"""Share of orders whose connection the worker closes without an answer."""

UNANSWERED_RATIOS = (0.1, 0.1, 0.5)
"""Shares of the orders and polls that get no answer and are carried out
LATE_MIN_S to LATE_MAX_S later; one of them holds in each schedule."""

QUEUED_RATIO = 0.05
"""Share of orders that an agent sends to whichever process has the worker's
name by then."""

REPORT_INTERVAL_S = 1.5
CRASH_DOWN_S = 3.0
"""Time until a worker that a task has crashed is back."""

CONTROLS = ('control-0', 'control-1', 'control-2')
DEADLY_RATIO = 0.15
"""Share of jobs with a task that crashes its workers."""

DEADLY_RECOVERY_S = 120.0
"""Additional time for these jobs to be given up: three crashes each, of some
4 s, mostly on one of the four workers at a time."""

ROOM_MILLICORES = (4000, 6000, 8000)
"""Rooms to which workers shrink and grow; one task needs up to 4000."""

CUSTOMERS = ('customer-a', 'customer-b', 'customer-c')
CPU_LIMITS = (0, 4000, 6000, 9000, 16_000)
"""Limits in millicores, 0 for none; one task needs up to 4000."""

MEMORY_LIMITS = (0, 0, 100, 300, 700)
"""Limits in megabytes, 0 for none; each task needs 100."""

QUEUE = state.Queue(
    'queue-a', 'jobs', '/a/', 'service-a', attempt_limit=ATTEMPT_LIMIT
)


@dataclasses.dataclass
class JobResult:
    """Counts of what a schedule exercised.

    They show whether the search covers what it is meant to.

    Attributes:
        worker_restarts: restarts of worker processes.
        late_orders: orders that reach the worker after a long delay.
        unsent: orders that neither the leader nor an agent sent.
        held: orders that an agent sends after a delay, without an answer.
        doubled: orders of which an agent sent a second copy.
        lapses: not counted; always 0.
        leaders: terms in which a replica led.
        refusals: orders that workers refused at random.
        limit_changes: plans with new limits of customers.
        limits_met: times that a limit began to hold a customer's tasks back.
        deadly_jobs: jobs with a task that crashes its workers.
        crashes_by_tasks: workers that crashed under such a task.
        given_up: such jobs that failed.
        room_changes: changes of a worker's room while it ran.
        withdrawn: starts not ordered, or not again, as a limit was lowered.
        confirmed_again: orders for machines that an earlier one had carried
            out already.
        waves: upkeep waves that began.
        broken: orders whose connection was closed without an answer.
        unanswered: orders that got no answer and came late, in schedules in
            which that is usual.
        queued: orders that an agent sends after the leader has timed out.
        refused_repeats: starts that a worker refused after such a sending
            of the same run.
        notices: notices to leave that a leader has got.
        slow_lists: answers to polls that took long on their way.
        late_polls: polls that got no answer and were carried out late.
    """

    accepted: int = 0
    cancelled: int = 0
    starts: int = 0
    succeeded: int = 0
    crashes: int = 0
    worker_restarts: int = 0
    late_orders: int = 0
    unsent: int = 0
    held: int = 0
    doubled: int = 0
    lapses: int = 0
    leaders: int = 0
    refusals: int = 0
    limit_changes: int = 0
    limits_met: int = 0
    withdrawn: int = 0
    deadly_jobs: int = 0
    crashes_by_tasks: int = 0
    given_up: int = 0
    room_changes: int = 0
    confirmed_again: int = 0
    waves: int = 0
    broken: int = 0
    unanswered: int = 0
    queued: int = 0
    refused_repeats: int = 0
    notices: int = 0
    slow_lists: int = 0
    late_polls: int = 0

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


@dataclasses.dataclass(frozen=True)
class Transit:
    """An order in transit to a worker, or its answer in transit back.

    Attributes:
        core: the leader's core.
        order: the order or poll.
        grant: number of its lease grant, or 0.
        sent_at_s: when it was sent, on the leader's clock.
        answer: the answer, or None for none.
        is_answer: whether this is the way back.
        is_answer_lost: whether the order's answer is dropped.
        is_queued: whether no process of the worker has received it yet.
        limits_number: number of the limits that were in force before the step
            that sent it.
    """

    core: coordination.ControlCore
    order: Any
    grant: int
    sent_at_s: float
    answer: Any = None
    is_answer: bool = False
    is_answer_lost: bool = False
    is_queued: bool = False
    limits_number: int = 0


class JobSearch:
    """One random schedule of three control replicas and some workers."""

    def __init__(
        self,
        seed: int,
        *,
        has_agents: bool = False,
        has_customers: bool = False,
        has_deadly_tasks: bool = False,
        breaks_connections: bool = False,
    ) -> None:
        self.has_agents = has_agents
        self.has_customers = has_customers
        # A generator of its own, so that schedules without customers stay
        # the same.
        self.customer_rng = random.Random(f'customers {seed}')
        self.limits = customer_limits.LimitLedger()
        self.has_deadly_tasks = has_deadly_tasks
        self.deadly_rng = random.Random(f'deadly {seed}')
        self.breaks_connections = breaks_connections
        self.queued_ratio = QUEUED_RATIO
        self.sending_rng = random.Random(f'sendings {seed}')
        # A generator of its own, so that the other faults stay the same.
        self.unanswered_rng = random.Random(f'unanswered {seed}')
        self.unanswered_ratio = self.unanswered_rng.choice(UNANSWERED_RATIOS)
        # Runs with a start that was broken, queued or left unanswered.
        self._unanswered_starts: set[str] = set()
        # A worker may refuse the second copy of an order that it has carried
        # out. Real clients send an order once in a call and report a broken
        # connection, so a schedule has either copies or refusals.
        self.has_refusals = (
            not has_agents or seed % 2 == 0 or breaks_connections
        )
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.step_s = STEP_S
        self.trace: list[str] = []
        self.result = JobResult()
        self.ledger = worker_fakes.Ledger()
        self.ledger.attempt_limit = ATTEMPT_LIMIT
        self.ledger.on_end = self._trace_end
        self.network = fakes.FakeNetwork(
            self.rng,
            fakes.NetworkOptions(loss_ratio=self.rng.choice((0, 0.02))),
        )
        self.late_ratio = self.rng.choice((0, 0, 0.05))
        # Whether the lease of a delayed order is extended by extra_ms, as if
        # the worker counted it from the order's arrival.
        self.grants_from_arrival = self.rng.random() < 0.5
        self.late_poll_ratio = self.rng.choice(LATE_POLL_RATIOS)
        self.lost_ratio = self.rng.choice((0, 0.02, 0.1))
        self.unsent_ratio = self.rng.choice((0, 0.05))
        self.is_fault_free = False
        # Whether errors in the leader's step are part of the schedule.
        self.injects_errors = False
        self.disconnected_until_s: dict[str, float] = {}
        self.workers = {
            name: worker_fakes.FakeWorker(name, self.rng, self.ledger)
            for name in (f'worker-{n}' for n in range(WORKER_COUNT))
        }
        self.down_until_s: dict[str, float] = {}
        # Names of workers whose machine refuses connections while their
        # process is down; the others' machines don't answer then.
        self.refusing: set[str] = set()
        self._reports_s = dict.fromkeys(self.workers, 0.0)
        self._transits: list[tuple[float, int, Transit]] = []
        self._transit_count = 0
        self._terms: set[int] = set()
        self._jobs = 0
        self._plan_number = 0
        self._limits_number = 0
        # Records proposed and not yet applied: the node that proposed it, the
        # JobSpec (or the job's id if it is a cancel) and its log position.
        self.awaited: list[
            tuple[ControlNode, Any, coordination.LogPosition]
        ] = []
        self.accepted: set[str] = set()
        self.cancelled: set[str] = set()
        self.controls = {name: self._new_control(name) for name in CONTROLS}
        for control in self.controls.values():
            self._start_control(control)

    def run(self) -> JobResult:
        """Run the schedule.

        Raises:
            InvariantError: an invariant was violated.
        """
        for _ in range(STEPS):
            self._inject_fault()
            if self.has_customers and self.customer_rng.random() < 0.012:
                self._change_limits()
            if self.has_deadly_tasks and self.deadly_rng.random() < 0.01:
                self._change_room()
            self._advance()
        self._recover()
        self.result.crashes_by_tasks = self.ledger.crashed_workers
        self.result.starts = self.ledger.start_count
        self.result.leaders = len(self._terms)
        self.result.refusals = sum(
            worker.refusal_count for worker in self.workers.values()
        )
        return self.result

    def add_trace(self, event: str, **fields: Any) -> None:
        """Add a line to the trace of this schedule."""
        parts = [f'{key}={value}' for key, value in fields.items()]
        self.trace.append(f'{self.now_s:8.3f} {event} {" ".join(parts)}')

    def _trace_end(self, worker_id: str, end: state.RunEnd) -> None:
        self.add_trace(
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

    def _start_control(
        self, node: ControlNode, locked_at_s: float | None = None
    ) -> None:
        """Start a control process.

        Args:
            node: the replica.
            locked_at_s: when the process locked its folder, or None for now.
        """
        now_s = node.clock.read(self.now_s)
        former_over_s = None
        if locked_at_s is not None:
            former_over_s = node.clock.read(locked_at_s)
        replica = coordination.Replica(
            node.identity,
            state.Membership(voters=CONTROLS),
            node.disk,
            self.rng,
            now_s,
            coordination.ReplicaOptions(clock_drift_ratio=0.05),
            former_over_s,
        )
        node.core = coordination.ControlCore(
            replica, coordination.LeaseOptions(), now_s
        )

    def _inject_fault(self) -> None:
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
            (0.006, self._disconnect_worker),
            (0.01, self._compact),
            (0.01, self._toggle_refusals),
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
        if self.has_deadly_tasks:
            self._make_deadly(spec)
        customer = ''
        if self.has_customers:
            customer = self.customer_rng.choice(CUSTOMERS)
            self.limits.customers[spec.job_id] = customer
        self._propose(
            state.JobAccepted(
                spec,
                self._choose_queue(),
                int(self.now_s * 1000),
                customer=customer,
            ),
            spec,
        )

    def _choose_queue(self) -> state.Queue:
        return QUEUE

    def _make_deadly(self, spec: state.JobSpec) -> None:
        """Let a task of some jobs crash each worker that starts it."""
        if self.deadly_rng.random() >= DEADLY_RATIO:
            return
        self.result.deadly_jobs += 1
        index = self.deadly_rng.randrange(spec.steps[0].task_count)
        fuse_s = self.deadly_rng.choice((0.0, 0.05))
        self.ledger.deadly[f'{spec.job_id}.0.0.{index}'] = fuse_s

    def _change_room(self) -> None:
        """Shrink the room of a worker, or let it grow again."""
        worker = self.workers[self.deadly_rng.choice(sorted(self.workers))]
        millicores = self.deadly_rng.choice(ROOM_MILLICORES)
        room = state.Room(millicores, worker_fakes.ROOM.memory_mb)
        if worker.is_up and room != worker.room:
            self.result.room_changes += 1
            self.add_trace(
                'room_changed', worker=worker.worker_id, room=millicores
            )
            worker.change_room(room, self.now_s)

    def _change_limits(self) -> None:
        """Propose a plan with other limits, lower or higher."""
        customers = tuple(
            state.Customer(
                name,
                (),
                limit=state.Room(
                    self.customer_rng.choice(CPU_LIMITS),
                    self.customer_rng.choice(MEMORY_LIMITS),
                ),
            )
            for name in CUSTOMERS
        )
        self._propose_plan(customers)

    def _propose_plan(self, customers: tuple[state.Customer, ...]) -> None:
        self._plan_number += 1
        plan = state.RoutePlan(
            self._plan_number,
            (QUEUE,),
            (state.WorkerService(QUEUE.service),),
            2**18,
            b'',
            customers,
        )
        for node in self._running():
            assert node.core is not None
            if node.core.jobs.is_leading:
                node.core.propose_job_record(
                    state.PlanReplaced(plan), node.clock.read(self.now_s)
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
            position = node.core.propose_job_record(record, now_s)
            if isinstance(position, Ok):
                self.awaited.append((node, subject, position.ok_value))

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

    def _toggle_refusals(self) -> None:
        """Make a healthy worker refuse orders, or an unhealthy one healthy."""
        if not self.has_refusals:
            return
        worker = self.rng.choice(list(self.workers.values()))
        worker.refuse_ratio = REFUSE_RATIO - worker.refuse_ratio

    def _crash_worker(self) -> None:
        self._crash(self.rng.choice(sorted(self.workers)))

    def _crash(self, name: str) -> None:
        worker = self.workers[name]
        if worker.is_up:
            worker.crash()
            self.add_trace('worker_crashed', worker=name)
            self.result.worker_restarts += 1
            delay_s = self.rng.choice((0.05, 0.6, 5.0))
            self.down_until_s[name] = self.now_s + delay_s

    def _disconnect_worker(self) -> None:
        name = self.rng.choice(sorted(self.workers))
        self.disconnected_until_s[name] = self.now_s + self.rng.uniform(0.3, 9)
        self.add_trace(
            'worker_cut', worker=name, until_s=self.disconnected_until_s[name]
        )

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
        self.now_s += self.step_s * self.rng.uniform(0.3, 1.7)
        for name, until_s in list(self.down_until_s.items()):
            if self.now_s >= until_s:
                del self.down_until_s[name]
                self.workers[name].start_process(self.now_s)
                self.add_trace(
                    'worker_born',
                    worker=name,
                    born=self.workers[name].born_ms,
                )
        for name, worker in self.workers.items():
            was_up = worker.is_up
            worker.advance(self.now_s)
            if was_up and not worker.is_up:
                self.add_trace('worker_crashed_by_task', worker=name)
                self.down_until_s[name] = self.now_s + CRASH_DOWN_S
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
        while self._transits and self._transits[0][0] <= self.now_s:
            _, _, transit = heapq.heappop(self._transits)
            self._deliver(transit)
        for node in self._running():
            self._step(node)

    def _report(self) -> None:
        for name, worker in self.workers.items():
            if not worker.is_up or self.now_s < self._reports_s[name]:
                continue
            self._reports_s[name] = self.now_s + REPORT_INTERVAL_S
            if self.now_s < self.disconnected_until_s.get(name, 0):
                worker.postpone_room(self.now_s)
                continue
            for node in self._running():
                assert node.core is not None
                if not node.core.jobs.is_leading:
                    continue
                now_s = node.clock.read(self.now_s)
                record = node.core.jobs.handle_report(
                    worker.report(self.now_s), now_s
                )
                if record is not None:
                    node.core.propose_job_record(record, now_s)

    def _step(self, node: ControlNode) -> None:
        core = node.core
        assert core is not None
        now_s = node.clock.read(self.now_s)
        # A plan that this step applies is acknowledged after it.
        self._limits_number = self.limits.newest_number
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
        if self.has_customers:
            self._follow_limits(core)
        for decision in core.jobs.take_decisions():
            self._follow_decision(core, decision)
        self._take_machine_calls(node, core)
        self._collect_applied(node, core)
        if not core.jobs.is_leading:
            core.jobs.take_orders()
        elif core.replica.has_lease(now_s):
            self._send_orders(node, core, now_s)

    def _follow_decision(
        self, core: coordination.ControlCore, decision: coordination.Decision
    ) -> None:
        is_error = decision.event in ('step_part_failed', 'record_unproposed')
        assert self.injects_errors or not is_error, decision
        self.result.limits_met += decision.event == 'customer_limit_met'
        self.result.withdrawn += decision.event == 'start_withdrawn'
        self.add_trace(
            decision.event,
            at=core.replica.identity.replica_id,
            **decision.fields,
        )

    def _follow_limits(self, core: coordination.ControlCore) -> None:
        plan = core.state.jobs.plan
        if plan is not None and self.limits.add_plan(plan):
            self.result.limit_changes += 1
        if core.jobs.is_leading:
            customer_limits.check_usage(core.jobs)

    def _send_orders(
        self, node: ControlNode, core: coordination.ControlCore, now_s: float
    ) -> None:
        self._terms.add(core.jobs.fence)
        for order in core.jobs.take_orders():
            if (
                not self.is_fault_free
                and self.rng.random() < self.unsent_ratio
            ):
                # The leader's lease expired before the order was sent.
                self.result.unsent += 1
                core.jobs.handle_unsent_order(order, now_s)
                continue
            grant = 0
            if isinstance(order, coordination.StartOrder):
                grant = core.jobs.open_start_grant(order, now_s)
            self._send(Transit(core, order, grant, now_s))
        for life_key in list(core.jobs.workers):
            poll = core.jobs.next_poll(life_key, now_s)
            if poll is not None:
                grant = core.jobs.open_poll_grant(poll, now_s)
                # Several polls may be in transit, and their answers overtake
                # each other.
                self._send(Transit(core, poll, grant, now_s))

    def _take_machine_calls(
        self, node: ControlNode, core: coordination.ControlCore
    ) -> None:
        """Discard calls to the platform; this search has no machines."""
        core.machine_manager.take_calls()

    def _collect_applied(
        self, node: ControlNode, core: coordination.ControlCore
    ) -> None:
        applied = set(core.take_applied())
        left = []
        for item in self.awaited:
            owner, subject, position = item
            if owner is not node or position not in applied:
                left.append(item)
            elif isinstance(subject, str):
                self.cancelled.add(subject)
                self.result.cancelled += 1
            else:
                self.accepted.add(subject.job_id)
                self.result.accepted += 1
        self.awaited = left

    def _send_by_agent(self, transit: Transit) -> bool:
        """Simulate faults of an agent: a delay, an omission or a second copy.

        Returns:
            Whether the order must not be sent normally as well.
        """
        draw = self.rng.random()
        held, unsent, doubled = AGENT_FAULTS
        if self.has_refusals:
            doubled = 0.0
        if draw < held:
            # The leader times out before the agent sends the order.
            self.result.held += 1
            hold_s = self.rng.uniform(0.0, AGENT_HOLD_S)
            if self.rng.random() < self.late_ratio:
                hold_s += self.rng.uniform(LATE_MIN_S, LATE_MAX_S)
            unanswered = dataclasses.replace(
                transit,
                order=_bound_order(transit.order, hold_s),
                is_answer_lost=True,
            )
            self._push(self.now_s + hold_s, unanswered)
            no_answer = dataclasses.replace(transit, is_answer=True)
            self._push(self.now_s + AGENT_TIMEOUT_S, no_answer)
            return True
        if draw < held + unsent:
            self.result.unsent += 1
            outcome = coordination.OrderOutcome.NOT_SENT
            answer: Any = coordination.OrderAnswer(outcome)
            if isinstance(transit.order, coordination.LookOrder):
                answer = coordination.LookAnswer(outcome)
            back = dataclasses.replace(transit, answer=answer, is_answer=True)
            self._push(self.now_s + self.rng.uniform(0.001, 0.4), back)
            return True
        if draw < held + unsent + doubled:
            self.result.doubled += 1
            unanswered = dataclasses.replace(transit, is_answer_lost=True)
            self._push(self.now_s + self.rng.uniform(0.001, 1.0), unanswered)
        return False

    def _leave_unanswered(self, transit: Transit) -> bool:
        """Let an order get no answer, and be carried out seconds later.

        Returns:
            Whether the order must not be sent normally as well.
        """
        rng = self.unanswered_rng
        if rng.random() >= self.unanswered_ratio:
            return False
        self.result.unanswered += 1
        unanswered = dataclasses.replace(transit, is_answer_lost=True)
        late_s = rng.uniform(LATE_MIN_S, LATE_MAX_S)
        self._push(self.now_s + late_s, unanswered)
        no_answer = dataclasses.replace(transit, is_answer=True)
        self._push(self.now_s + ANSWER_TIMEOUT_S, no_answer)
        if isinstance(transit.order, coordination.StartOrder):
            self._unanswered_starts.add(transit.order.key.name)
        return True

    def _break_sending(self, transit: Transit) -> bool:
        """Simulate a connection that breaks, or an order left in a queue.

        Returns:
            Whether the order must not be sent normally as well.
        """
        rng = self.sending_rng
        draw = rng.random()
        unanswered = dataclasses.replace(transit, is_answer_lost=True)
        no_answer = dataclasses.replace(transit, is_answer=True)
        if draw < BREAK_RATIO:
            self.result.broken += 1
            received_s = self.now_s + rng.uniform(0.001, 0.02)
            late_s = rng.choice((0.0, rng.uniform(0.0, LATE_MAX_S), None))
            if late_s is not None:
                self._push(received_s + late_s, unanswered)
            self._push(received_s + rng.uniform(0.001, 0.02), no_answer)
        elif self.has_agents and draw < BREAK_RATIO + self.queued_ratio:
            self.result.queued += 1
            hold_s = rng.uniform(0.0, AGENT_HOLD_S)
            queued = dataclasses.replace(
                unanswered,
                order=_bound_order(transit.order, hold_s),
                is_queued=True,
            )
            self._push(self.now_s + hold_s, queued)
            self._push(self.now_s + AGENT_TIMEOUT_S, no_answer)
        else:
            return False
        if isinstance(transit.order, coordination.StartOrder):
            self._unanswered_starts.add(transit.order.key.name)
        return True

    def _send(self, transit: Transit) -> None:
        """Send an order, which may be lost or delayed."""
        transit = dataclasses.replace(
            transit, limits_number=self._limits_number
        )
        if (
            self.breaks_connections
            and not self.is_fault_free
            and self._break_sending(transit)
        ):
            return
        if (
            self.has_agents
            and not self.is_fault_free
            and self._send_by_agent(transit)
        ):
            return
        if self._delay_poll(transit):
            return
        delay_s = self.rng.uniform(0.001, 0.02)
        draw = self.rng.random()
        answered_s = self.now_s + ANSWER_TIMEOUT_S
        no_answer = dataclasses.replace(transit, is_answer=True)
        if not self.is_fault_free and draw < self.late_ratio:
            self.result.late_orders += 1
            late_s = self.rng.uniform(LATE_MIN_S, LATE_MAX_S)
            unanswered = dataclasses.replace(transit, is_answer_lost=True)
            self._push(self.now_s + late_s, unanswered)
            self._push(answered_s, no_answer)
        elif (
            not self.is_fault_free and draw < self.late_ratio + self.lost_ratio
        ):
            if self.rng.random() < 0.5:
                unanswered = dataclasses.replace(transit, is_answer_lost=True)
                self._push(self.now_s + delay_s, unanswered)
            self._push(answered_s, no_answer)
        elif (
            self.is_fault_free
            or not self.breaks_connections
            or not self._leave_unanswered(transit)
        ):
            self._push(self.now_s + delay_s, transit)

    def _delay_poll(self, transit: Transit) -> bool:
        """Let a poll get no answer and be carried out late.

        Returns:
            Whether the poll must not be sent normally as well.
        """
        if self.is_fault_free or not isinstance(
            transit.order, coordination.LookOrder
        ):
            return False
        if self.rng.random() >= self.late_poll_ratio:
            return False
        self.result.late_polls += 1
        unanswered = dataclasses.replace(transit, is_answer_lost=True)
        late_s = self.rng.uniform(LATE_MIN_S, LATE_MAX_S)
        self._push(self.now_s + late_s, unanswered)
        no_answer = dataclasses.replace(transit, is_answer=True)
        self._push(self.now_s + ANSWER_TIMEOUT_S, no_answer)
        return True

    def _push(self, at_s: float, transit: Transit) -> None:
        self._transit_count += 1
        heapq.heappush(self._transits, (at_s, self._transit_count, transit))

    def _deliver(self, transit: Transit) -> None:
        if transit.is_answer:
            self._deliver_answer(transit)
            return
        worker = self.workers[transit.order.life.worker_id]
        is_disconnected = self.now_s < self.disconnected_until_s.get(
            worker.worker_id, 0
        )
        # A delayed order is lost if the incarnation that has received it ends
        # before it is carried out.
        is_lost = (
            transit.is_answer_lost
            and not transit.is_queued
            and worker.born_ms != transit.order.life.born_ms
        )
        if is_disconnected or is_lost or not worker.is_up:
            if not transit.is_answer_lost:
                self._fail_sending(transit, is_disconnected)
            return
        extra_ms = 0.0
        if transit.is_answer_lost and self.grants_from_arrival:
            # sent_at_s includes the offset of the leader's clock, so extra_ms
            # is the order's delay less that offset, and at least 0.
            rate = self._clock_of(transit.core).rate
            extra_ms = self.now_s * 1000 - transit.sent_at_s * 1000 / rate
            extra_ms = max(0.0, min(extra_ms, LATE_MAX_S * 1000))
        order = transit.order
        if isinstance(order, coordination.StartOrder):
            start_count = self.ledger.start_count
            answer: Any = worker.start(order, self.now_s, extra_ms)
            if self.has_customers and self.ledger.start_count > start_count:
                self.limits.check_start(
                    self.ledger, order.key, transit.limits_number
                )
        elif isinstance(order, coordination.StopOrder):
            answer = worker.stop(order, self.now_s)
        else:
            answer = worker.poll(order, self.now_s, extra_ms)
        if not isinstance(order, coordination.LookOrder):
            self.add_trace(
                type(order).__name__,
                run=order.key.name,
                worker=worker.worker_id,
                born=worker.born_ms,
                ordered=order.life.born_ms,
                fence=order.fence,
                outcome=answer.outcome,
                late=transit.is_answer_lost,
            )
        if not transit.is_answer_lost:
            back = dataclasses.replace(transit, answer=answer, is_answer=True)
            self._push(self.now_s + self._answer_delay_s(order), back)

    def _answer_delay_s(self, order: Any) -> float:
        """Return the time of an answer's way back.

        Some answers to polls take so long that the poll is repeated, and are
        overtaken by the newer lists.
        """
        delay_s = self.rng.uniform(0.001, 0.02)
        is_poll = isinstance(order, coordination.LookOrder)
        if (
            is_poll
            and not self.is_fault_free
            and self.rng.random() < SLOW_LIST_RATIO
        ):
            self.result.slow_lists += 1
            delay_s = self.rng.uniform(delay_s, ANSWER_TIMEOUT_S)
        return delay_s

    def _fail_sending(self, transit: Transit, is_disconnected: bool) -> None:
        """Answer an order that reaches no process of its worker."""
        back = dataclasses.replace(transit, is_answer=True)
        answered_s = self.now_s + ANSWER_TIMEOUT_S
        is_poll = isinstance(transit.order, coordination.LookOrder)
        is_refusing = transit.order.life.worker_id in self.refusing
        if is_poll and is_refusing and not is_disconnected:
            no_answer = coordination.OrderOutcome.NO_ANSWER
            answer = coordination.LookAnswer(no_answer, is_refused=True)
            back = dataclasses.replace(back, answer=answer)
        self._push(answered_s, back)

    def _clock_of(self, core: coordination.ControlCore) -> fakes.SkewedClock:
        name = core.replica.identity.replica_id
        return self.controls[name].clock

    def _deliver_answer(self, transit: Transit) -> None:
        node = self.controls[transit.core.replica.identity.replica_id]
        if node.core is not transit.core:
            return
        if self.now_s < node.frozen_until_s:
            self._push(node.frozen_until_s, transit)
            return
        now_s = node.clock.read(self.now_s)
        no_answer = coordination.OrderOutcome.NO_ANSWER
        if isinstance(transit.order, coordination.LookOrder):
            answer = transit.answer or coordination.LookAnswer(no_answer)
            transit.core.jobs.handle_poll_answer(
                transit.order, transit.grant, answer, transit.sent_at_s, now_s
            )
        else:
            answer = transit.answer or coordination.OrderAnswer(no_answer)
            if (
                answer.outcome is coordination.OrderOutcome.UNHEALTHY
                and isinstance(transit.order, coordination.StartOrder)
                and transit.order.key.name in self._unanswered_starts
            ):
                self.result.refused_repeats += 1
            transit.core.jobs.handle_order_answer(
                transit.order, transit.grant, answer, now_s
            )

    def _recover(self) -> None:
        """End all faults, wait, and check that all work is done."""
        self.is_fault_free = True
        self.network.heal()
        self.network.make_reliable()
        self.disconnected_until_s.clear()
        for worker in self.workers.values():
            worker.refuse_ratio = 0.0
        for node in self.controls.values():
            node.disk._crash_ratio = 0.0
            node.frozen_until_s = 0.0
            if node.core is None:
                self._start_control(node)
        recovery_s = RECOVERY_S
        if self.has_deadly_tasks:
            recovery_s += DEADLY_RECOVERY_S
        ends_s = self.now_s + recovery_s
        while self.now_s < ends_s:
            self._advance()
            if self.has_customers and self.limits.has_limits():
                # Lasting tasks may fill a limit for ever.
                self._propose_plan(())
        self._check_finished()

    def _check_finished(self) -> None:
        leaders = [
            node.core
            for node in self._running()
            if node.core is not None and node.core.jobs.is_leading
        ]
        if len(leaders) != 1:
            raise InvariantError(f'{len(leaders)} leaders after recovery')
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
            if job.status is state.JobStatus.FAILED:
                self._check_failed(job_id, job)
            return
        if not job.spec.steps[0].is_lasting:
            raise InvariantError(
                f'{job_id} is not done: {job.done_counts}, tasks {job.tasks}'
            )

    def _check_failed(self, job_id: str, job: state.Job) -> None:
        """Check that a job has failed by the fault of one of its tasks.

        A task under which two workers have crashed may be given up, also if
        they have crashed by themselves.
        """
        names = [f'{job_id}.{task}' for task in job.tasks]
        is_deadly = any(name in self.ledger.deadly for name in names)
        self.result.given_up += is_deadly
        crashed_under = self.ledger.crashed_under
        is_deadly |= any(crashed_under.get(name, 0) >= 2 for name in names)
        ends = self.ledger.failed_ends
        if not is_deadly and all(
            ends.get(name, 0) < ATTEMPT_LIMIT for name in names
        ):
            raise InvariantError(f'{job_id} failed without cause: {job.tasks}')


def _bound_order(order: Any, hold_s: float) -> Any:
    """Return an order as an agent sends it after holding it back."""
    if isinstance(order, coordination.LookOrder):
        return coordination.bound_poll(order, hold_s)
    return order


def explain(seed: int, word: str = '') -> None:
    """Run one schedule, and print its trace if it violates an invariant.

    Args:
        seed: seed of the schedule.
        word: print only lines with this word, such as a task or a worker.
    """
    print_failure(JobSearch(seed), word)


def print_failure(search: JobSearch, word: str) -> None:
    """Run a schedule, and print its trace if it violates an invariant.

    Args:
        search: the schedule.
        word: print only lines with this word.
    """
    try:
        search.run()
    except InvariantError as error:
        for line in search.trace:
            if word in line:
                print(line)
        print(error)


if __name__ == '__main__':
    fire.Fire(explain)
