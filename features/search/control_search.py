"""Fault search over tickets, leases, the feed and waves in one schedule."""

import dataclasses
import random
from typing import Any

from result import Err

from features.search import fakes
from features.search import fleet_fakes
from features.search.replica_search import InvariantError
from greengagering import coordination
from greengagering import state

STEP_S = 0.025
STEPS = 500
RECOVERY_S = 25.0
DRIFT_RATIO = 0.2
LEASE_S = 1.2
MIN_AVAILABLE = 2
VM_COUNT = 4
CALL_RATIO = 0.8
ENTRIES = ('entry-0', 'entry-1', 'entry-2')
CONTROLS = ('control-0', 'control-1', 'control-2')


@dataclasses.dataclass
class ControlNode:
    """One control replica of the search; core is None while it is down."""

    identity: coordination.ReplicaIdentity
    disk: fakes.FakeDisk
    clock: fakes.SkewedClock
    core: coordination.ControlCore | None = None


@dataclasses.dataclass
class EntryNode:
    """One entry of the search; core is None while it is down."""

    name: str
    clock: fakes.SkewedClock
    core: coordination.EntryCore | None = None
    boots: int = 0
    newest_revision: int = 0


@dataclasses.dataclass
class PendingTicket:
    """A submitted ticket whose outcome is not known yet."""

    ticket: state.Ticket
    position: coordination.LogPosition
    replica: str


@dataclasses.dataclass
class ControlResult:
    """Counts of what a schedule exercised; 0 shows what it never tried."""

    accepted: int = 0
    refused: int = 0
    in_force: int = 0
    reboots: int = 0
    calls: int = 0
    crashes: int = 0
    lease_gaps: int = 0

    def add(self, other: 'ControlResult') -> None:
        """Add another schedule's counts."""
        for field in dataclasses.fields(self):
            total = getattr(self, field.name) + getattr(other, field.name)
            setattr(self, field.name, total)


class ControlSearch:
    """One seeded schedule over three control replicas and three entries."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.result = ControlResult()
        self.options = coordination.ReplicaOptions(
            clock_drift_ratio=DRIFT_RATIO
        )
        self.leases = coordination.LeaseOptions(
            duration_s=LEASE_S, clock_drift_ratio=DRIFT_RATIO
        )
        self.network = fakes.FakeNetwork(
            self.rng,
            fakes.NetworkOptions(loss_ratio=self.rng.choice((0, 0.02, 0.1))),
        )
        self.vms = {
            name: fleet_fakes.FakeVm(name, 'pool-a', self.rng)
            for name in (f'vm-{n}' for n in range(VM_COUNT))
        }
        self.controls = {name: self._new_control(name) for name in CONTROLS}
        self.entries = {name: self._new_entry(name) for name in ENTRIES}
        self.pending_tickets: list[PendingTicket] = []
        self.accepted: dict[int, tuple[str, int]] = {}
        self.in_force_revision = 0
        self._last_number = 1
        self._call_count = 0
        for control in self.controls.values():
            self._start_control(control)
        for entry in self.entries.values():
            self._start_entry(entry)

    def run(self) -> ControlResult:
        """Run the schedule.

        Raises:
            InvariantError: an invariant was violated.
        """
        for _ in range(STEPS):
            self._inject()
            self._advance()
        self._recover()
        return self.result

    def _new_control(self, name: str) -> ControlNode:
        return ControlNode(
            identity=coordination.ReplicaIdentity(name, f'{name}-folder'),
            disk=fakes.FakeDisk(self.rng, 0.0005),
            clock=fakes.draw_clock(self.rng, DRIFT_RATIO),
        )

    def _new_entry(self, name: str) -> EntryNode:
        return EntryNode(name, fakes.draw_clock(self.rng, DRIFT_RATIO))

    def _start_control(self, node: ControlNode) -> None:
        now_s = node.clock.read(self.now_s)
        replica = coordination.Replica(
            node.identity,
            state.Membership(voters=CONTROLS),
            node.disk,
            self.rng,
            now_s,
            self.options,
        )
        node.core = coordination.ControlCore(replica, self.leases, now_s)

    def _start_entry(self, node: EntryNode) -> None:
        node.boots += 1
        node.newest_revision = 0
        identity = coordination.EntryIdentity(
            node.name, f'{node.name}-{node.boots}', node.name, 'dc-1'
        )
        node.core = coordination.EntryCore(identity, self.rng)

    def _inject(self) -> None:
        draw = self.rng.random()
        actions = (
            (0.06, self._submit),
            (0.01, self._crash_control),
            (0.05, self._restart_control),
            (0.01, self._crash_entry),
            (0.05, self._restart_entry),
            (0.02, self._cut_links),
            (0.04, self.network.heal),
            (0.02, self._compact),
        )
        for ratio, action in actions:
            if draw < ratio:
                action()
                break
            draw -= ratio
        if self.rng.random() < CALL_RATIO:
            self._call()

    def _draw_ticket(self) -> state.Ticket:
        """Draw a ticket; some reuse a number or have an outdated one."""
        if self.rng.random() < 0.6:
            self._last_number += 1
        number = max(1, self._last_number - self.rng.choice((0, 0, 0, 1, 3)))
        names = list(self.vms)
        pool = state.Pool('pool-a', 'service-a', tuple(names))
        author = f'operator-{self.rng.randrange(3)}'
        if not self._newest_state().fleet.pools:
            budget = state.Budget('service-a', MIN_AVAILABLE)
            return state.Ticket(number, author, 'set up', (pool,), (budget,))
        wave = state.Wave(
            name=f'wave-{self.rng.randrange(2)}',
            vms=tuple(self.rng.sample(names, self.rng.randint(1, 3))),
            max_parallel_vms=self.rng.randint(1, 3),
            return_timeout_s=60.0,
            silent_timeout_s=60.0,
            intent=self.rng.choice(list(state.WaveIntent)),
        )
        return state.Ticket(number, author, 'maintain', waves=(wave,))

    def _submit(self, ticket: state.Ticket | None = None) -> None:
        wanted = ticket or self._draw_ticket()
        for node in self._running_controls():
            assert node.core is not None
            now_s = node.clock.read(self.now_s)
            proposed = node.core.submit(wanted, int(self.now_s * 1000), now_s)
            if isinstance(proposed, Err):
                continue
            position = proposed.ok_value
            if isinstance(position, coordination.LogPosition):
                replica = node.identity.replica_id
                self.pending_tickets.append(
                    PendingTicket(wanted, position, replica)
                )

    def _crash_control(self) -> None:
        self._stop_control(self.rng.choice(list(self.controls.values())))

    def _stop_control(self, node: ControlNode) -> None:
        if node.core is None:
            return
        node.core = None
        self.result.crashes += 1
        name = node.identity.replica_id
        self.pending_tickets = [
            p for p in self.pending_tickets if p.replica != name
        ]

    def _restart_control(self) -> None:
        down = [n for n in self.controls.values() if n.core is None]
        if down:
            self._start_control(self.rng.choice(down))

    def _crash_entry(self) -> None:
        self.rng.choice(list(self.entries.values())).core = None
        self.result.crashes += 1

    def _restart_entry(self) -> None:
        down = [n for n in self.entries.values() if n.core is None]
        if down:
            self._start_entry(self.rng.choice(down))

    def _cut_links(self) -> None:
        names = [*self.controls, *self.entries]
        name = self.rng.choice(names)
        others = [n for n in names if n != name]
        if self.rng.random() < 0.6:
            self.network.isolate(name, others)
        else:
            self.network.cut(name, self.rng.choice(others))

    def _compact(self) -> None:
        for node in self._running_controls():
            if self.rng.random() < 0.5:
                assert node.core is not None
                self._run_or_crash(node, node.core.compact)

    def _call(self) -> None:
        """Submit a call at a random entry, if it may serve."""
        node = self.rng.choice(list(self.entries.values()))
        now_s = node.clock.read(self.now_s)
        if node.core is None or not node.core.may_serve(now_s):
            return
        self._call_count += 1
        call = coordination.Call(
            call_id=str(self._call_count),
            service='service-a',
            call_class=coordination.CallClass.URGENT,
            deadline_s=now_s + 5,
        )
        submitted = node.core.submit(call, now_s)
        if isinstance(submitted, Err) or submitted.ok_value is None:
            return
        self._start_call(node, call, submitted.ok_value.target)

    def _start_call(
        self,
        node: EntryNode,
        call: coordination.Call,
        target: coordination.Target,
    ) -> None:
        assert node.core is not None
        revision = node.core.follower.revision
        if revision < self.in_force_revision:
            raise InvariantError(
                f'{node.name} starts a call by revision {revision} while '
                f'{self.in_force_revision} is in force'
            )
        arrives_s = self.now_s + self.rng.uniform(0.001, 0.1)
        self.vms[target.vm].calls.append(
            fleet_fakes.FakeCall(
                call=call,
                target=target,
                entry_boot=node.core.identity.boot_id,
                arrives_s=arrives_s,
                ends_s=arrives_s + self.rng.uniform(0.01, 1.5),
            )
        )
        self.result.calls += 1

    def _finish_call(
        self, call: fleet_fakes.FakeCall, is_answered: bool
    ) -> None:
        for node in self.entries.values():
            core = node.core
            if core and core.identity.boot_id == call.entry_boot:
                outcome = coordination.AttemptOutcome.ANSWERED
                if not is_answered:
                    outcome = coordination.AttemptOutcome.FULL
                now_s = node.clock.read(self.now_s)
                core.dispatcher.release(
                    call.call, call.target, outcome, 0.1, now_s
                )

    def _running_controls(self) -> list[ControlNode]:
        return [n for n in self.controls.values() if n.core is not None]

    def _run_or_crash(
        self, node: ControlNode, action: Any, *arguments: Any
    ) -> None:
        try:
            action(*arguments, node.clock.read(self.now_s))
        except fakes.CrashError:
            self._stop_control(node)

    def _advance(self) -> None:
        self.now_s += STEP_S * self.rng.uniform(0.3, 1.7)
        for delivery in self.network.take_due(self.now_s):
            self._deliver(delivery)
        for vm in self.vms.values():
            vm.advance(self.now_s, self._finish_call)
            self._announce(vm)
        for entry in self.entries.values():
            self._step_entry(entry)
        for control in self._running_controls():
            self._step_control(control)
        self._check()

    def _announce(self, vm: fleet_fakes.FakeVm) -> None:
        upstream = vm.announcement(self.now_s)
        node = self.rng.choice(list(self.entries.values()))
        if upstream is None or node.core is None:
            return
        now_s = node.clock.read(self.now_s)
        node.core.announce(upstream, vm.in_flight(), now_s)

    def _deliver(self, delivery: fakes.Delivery) -> None:
        control = self.controls.get(delivery.receiver)
        if control is not None and control.core is not None:
            core = control.core
            if isinstance(delivery.message, coordination.EntryReport):
                self._run_or_crash(
                    control, core.handle_entry_report, delivery.message
                )
                return
            sender = coordination.ReplicaIdentity(
                delivery.sender, delivery.incarnation
            )
            self._run_or_crash(
                control, core.replica.receive, sender, delivery.message
            )
        entry = self.entries.get(delivery.receiver)
        if entry is not None and entry.core is not None:
            now_s = entry.clock.read(self.now_s)
            entry.core.receive(delivery.sender, delivery.message, now_s)

    def _step_entry(self, node: EntryNode) -> None:
        if node.core is None:
            return
        now_s = node.clock.read(self.now_s)
        node.core.step(now_s)
        node.core.refuse_waiting(now_s)
        for assignment in node.core.assign_waiting(now_s):
            self._start_call(node, assignment.call, assignment.target)
        for outgoing in node.core.take_outbox():
            if isinstance(outgoing, coordination.ToPeer):
                self._send(node.name, outgoing.entry_id, outgoing.message)
                continue
            for name in CONTROLS:
                if outgoing.leader_id in ('', name):
                    self._send(node.name, name, outgoing.report)

    def _step_control(self, node: ControlNode) -> None:
        core = node.core
        assert core is not None
        try:
            core.step(node.clock.read(self.now_s), int(self.now_s * 1000) + 1)
        except fakes.CrashError:
            self._stop_control(node)
            return
        name = node.identity.replica_id
        for outgoing in core.replica.take_outbox():
            self._send(name, outgoing.receiver, outgoing.message, node)
        for to_entry in core.take_entry_outbox():
            self._send(name, to_entry.entry_id, to_entry.message, node)
        for outcome in core.take_outcomes():
            self._check_outcome(name, outcome)
        if core.replica.has_lease(node.clock.read(self.now_s)):
            for order in core.decisions.reboots:
                self._reboot(order)

    def _send(
        self,
        sender: str,
        receiver: str,
        message: Any,
        node: ControlNode | None = None,
    ) -> None:
        incarnation = node.identity.incarnation if node else ''
        self.network.send(
            self.now_s, fakes.Delivery(sender, incarnation, receiver, message)
        )

    def _reboot(self, order: coordination.RebootOrder) -> None:
        vm = self.vms[order.vm]
        if order.operation_id not in vm.reboots:
            self.result.reboots += 1
        vm.reboot(order.operation_id, self.now_s)
        if vm.interrupted_calls:
            raise InvariantError(f'a reboot of {vm.name} interrupted a call')

    def _check_outcome(
        self, replica: str, outcome: coordination.TicketOutcome
    ) -> None:
        position = coordination.LogPosition(outcome.index, outcome.term)
        for pending in list(self.pending_tickets):
            if pending.replica != replica or pending.position != position:
                continue
            self.pending_tickets.remove(pending)
            if isinstance(outcome.result, Err):
                self.result.refused += 1
                continue
            entry = outcome.result.ok_value
            value = (entry.digest, entry.revision)
            number = pending.ticket.number
            known = self.accepted.setdefault(number, value)
            self.result.accepted += 1
            if known != value:
                raise InvariantError(f'ticket {number} was accepted twice')

    def _newest_state(self) -> state.ControlState:
        states = [n.core.state for n in self._running_controls() if n.core]
        return max(
            states,
            key=lambda s: s.fleet.revision,
            default=state.ControlState(),
        )

    def _check(self) -> None:
        newest = self._newest_state()
        for number, (digest, revision) in self.accepted.items():
            entry = newest.history.get(number)
            if newest.fleet.revision < revision:
                continue
            if entry is None or entry.digest != digest:
                raise InvariantError(f'accepted ticket {number} was lost')
        in_force_revisions = [
            e.revision for e in newest.history.values() if e.in_force_at_ms
        ]
        self.in_force_revision = max(
            [self.in_force_revision, *in_force_revisions]
        )
        for node in self.entries.values():
            self._check_entry(node)
        self._check_fleet(newest.fleet)

    def _check_entry(self, node: EntryNode) -> None:
        if node.core is None:
            return
        revision = node.core.follower.revision
        if revision < node.newest_revision:
            raise InvariantError(
                f'{node.name} went back to revision {revision}'
            )
        node.newest_revision = revision
        if not node.core.may_serve(node.clock.read(self.now_s)):
            self.result.lease_gaps += 1
        elif revision < self.in_force_revision:
            raise InvariantError(
                f'{node.name} serves by revision {revision} while '
                f'{self.in_force_revision} is in force'
            )

    def _check_fleet(self, fleet: state.FleetState) -> None:
        for pool in fleet.pools.values():
            for name in pool.vms:
                if fleet.vms[name].pool != pool.name:
                    raise InvariantError(f'{name} is not in {pool.name}')
        serving = len(fleet.vms) - len(fleet.out_vms)
        if fleet.pools and serving < MIN_AVAILABLE:
            raise InvariantError(f'only {serving} VMs are in service')

    def _recover(self) -> None:
        """Remove all faults, and check that tickets and waves complete."""
        self.network.heal()
        self.network.make_reliable()
        for control in self.controls.values():
            control.disk._crash_ratio = 0.0
            if control.core is None:
                self._start_control(control)
        for entry in self.entries.values():
            if entry.core is None:
                self._start_entry(entry)
        self._run_for(5.0)
        self._submit(self._last_ticket())
        self._run_for(RECOVERY_S)
        newest = self._newest_state()
        waiting = [
            e.ticket.number
            for e in newest.history.values()
            if not e.in_force_at_ms
        ]
        if waiting or not newest.history:
            raise InvariantError(f'tickets {waiting} are never in force')
        self.result.in_force = len(newest.history)
        if newest.fleet.out_vms:
            raise InvariantError(
                f'{newest.fleet.out_vms} never return to service'
            )
        last = newest.fleet.progress['last-wave']
        if sorted(last.done) != sorted(self.vms):
            raise InvariantError(f'the last wave ends with {last.done} done')

    def _run_for(self, duration_s: float) -> None:
        ends_s = self.now_s + duration_s
        while self.now_s < ends_s:
            self._advance()

    def _last_ticket(self) -> state.Ticket:
        """Return the last ticket of a schedule: a wave over all VMs."""
        return state.Ticket(
            number=10_000,
            author='operator-last',
            reason='the last wave',
            pools=(state.Pool('pool-a', 'service-a', tuple(self.vms)),),
            budgets=(state.Budget('service-a', MIN_AVAILABLE),),
            waves=(
                state.Wave(
                    'last-wave',
                    tuple(self.vms),
                    return_timeout_s=60.0,
                    silent_timeout_s=60.0,
                ),
            ),
        )
