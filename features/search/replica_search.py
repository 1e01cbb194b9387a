"""Fault search over the consensus of control replicas."""

from collections.abc import Callable
import dataclasses
import random

from result import Ok

from features.search import fakes
from greengagering import coordination
from greengagering import state
from greengagering.state import errors as state_errors

STEP_S = 0.02
STEPS = 400
RECOVERY_S = 12.0
CRASH_RATIO = 0.002
DRIFT_RATIO = 0.3

PROFILES = ((1, 1, 1), (2, 0, 0), (2, 1, 0), (0, 4, 0), (1, 1, 4), (3, 3, 3))
"""Weights of network cuts, crashes and changes of members, one for each
schedule."""


class InvariantError(AssertionError):
    """An invariant was violated; the same seed reproduces it."""


@dataclasses.dataclass(frozen=True)
class Sync:
    """A background sync of a leader's disk."""

    ends_s: float
    finish: Callable[[], None]
    index: int
    term: int


@dataclasses.dataclass
class Node:
    """One node of the search; its replica is None while it is down.

    Attributes:
        ended_at_s: true time at which its last process ended, or None.
    """

    identity: coordination.ReplicaIdentity
    disk: fakes.FakeDisk
    clock: fakes.SkewedClock
    replica: coordination.Replica | None = None
    commits_seen: int = 0
    sync: Sync | None = None
    ended_at_s: float | None = None


@dataclasses.dataclass
class SearchResult:
    """Counts of what a schedule exercised; 0 shows what it never tried."""

    commits: int = 0
    leaders: int = 0
    crashes: int = 0
    membership_changes: int = 0
    snapshots_installed: int = 0
    lost_disks: int = 0
    background_syncs: int = 0

    def add(self, other: 'SearchResult') -> None:
        """Add another schedule's counts."""
        for field in dataclasses.fields(self):
            total = getattr(self, field.name) + getattr(other, field.name)
            setattr(self, field.name, total)


class ReplicaSearch:
    """One seeded schedule of faults, with the invariants checked each step."""

    def __init__(
        self, seed: int, *, syncs_in_background: bool = False
    ) -> None:
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.result = SearchResult()
        # The drift bound is wide and the clocks use all of it, so that a lease
        # that ignored the drift would overlap with the next leader's within
        # one step, where the check finds it.
        self.options = coordination.ReplicaOptions(
            max_batch_entries=self.rng.choice((1, 2, 8)),
            snapshot_chunk_bytes=64,
            clock_drift_ratio=DRIFT_RATIO,
            syncs_in_background=syncs_in_background,
        )
        self.profile = self.rng.choice(PROFILES)
        self.step_s = self.rng.choice((STEP_S / 2, STEP_S))
        count = self.rng.choice((3, 3, 5))
        names = tuple(f'control-{n}' for n in range(count))
        self.initial = state.Membership(voters=names)
        self.network = fakes.FakeNetwork(
            self.rng,
            fakes.NetworkOptions(
                max_delay_s=self.rng.choice((0.002, 0.03, 0.1)),
                loss_ratio=self.rng.choice((0, 0.02, 0.15)),
            ),
        )
        self.nodes: dict[str, Node] = {}
        self.leaders: dict[int, str] = {}
        self.committed: dict[int, tuple[int, bytes]] = {}
        self._proposed = 0
        for name in names:
            self._add_node(name)

    def run(self) -> SearchResult:
        """Run the schedule.

        Raises:
            InvariantError: an invariant was violated.
        """
        for _ in range(STEPS):
            self._inject()
            self._advance()
            self._check()
        self._recover()
        self.result.commits = len(self.committed)
        self.result.leaders = len(self.leaders)
        return self.result

    def _add_node(self, name: str) -> None:
        node = Node(
            identity=coordination.ReplicaIdentity(
                name, f'{self.rng.random():.12f}'
            ),
            disk=fakes.FakeDisk(self.rng, CRASH_RATIO * self.profile[1]),
            clock=fakes.draw_clock(self.rng, self.options.clock_drift_ratio),
        )
        self.nodes[name] = node
        self._start(node)

    def _start(self, node: Node) -> None:
        former_over_s = None
        if node.ended_at_s is not None:
            # The new process has locked the folder, and takes time to start.
            locked_at_s = self.rng.uniform(node.ended_at_s, self.now_s)
            former_over_s = node.clock.read(locked_at_s)
        node.replica = coordination.Replica(
            node.identity,
            self.initial,
            node.disk,
            self.rng,
            node.clock.read(self.now_s),
            self.options,
            former_over_s,
        )
        node.commits_seen = 0

    def _crash(self, node: Node) -> None:
        if node.replica is not None:
            node.replica = None
            node.sync = None
            node.ended_at_s = self.now_s
            self.result.crashes += 1

    def _running(self) -> list[Node]:
        return [n for n in self.nodes.values() if n.replica is not None]

    def _inject(self) -> None:
        """Draw at most one fault or request."""
        draw = self.rng.random()
        cuts, crashes, changes = self.profile
        actions = (
            (0.30, self._propose),
            (0.01 * crashes, self._crash_one),
            (0.05, self._restart_one),
            (0.01 * cuts, self._cut_some),
            (0.01 * cuts, self._isolate_leader),
            (0.02 * cuts, self._cut_leader_from_one),
            (0.04, self.network.heal),
            (0.02, self._compact_one),
            (0.005 * crashes, self._fill_disk),
            (0.02 * changes, self._change_membership),
            (0.002 * crashes, self._lose_disk),
            (0.01, self._transfer),
        )
        for ratio, action in actions:
            if draw < ratio:
                action()
                return
            draw -= ratio

    def _propose(self) -> None:
        for node in self._running():
            assert node.replica is not None
            if node.replica.is_leader:
                self._proposed += 1
                payload = f'command {self._proposed}'.encode()
                node.replica.propose(payload)

    def _crash_one(self) -> None:
        self._crash(self.rng.choice(list(self.nodes.values())))

    def _restart_one(self) -> None:
        down = [n for n in self.nodes.values() if n.replica is None]
        if down:
            node = self.rng.choice(down)
            node.disk.is_full = False
            self._start(node)

    def _cut_some(self) -> None:
        names = list(self.nodes)
        name = self.rng.choice(names)
        others = [n for n in names if n != name]
        if self.rng.random() < 0.5:
            self.network.isolate(name, others)
        else:
            self.network.cut(name, self.rng.choice(others))

    def _isolate_leader(self) -> None:
        for node in self._running():
            if node.replica and node.replica.is_leader:
                name = node.identity.replica_id
                others = [n for n in self.nodes if n != name]
                self.network.isolate(name, others)

    def _cut_leader_from_one(self) -> None:
        """Cut a leader off from one replica that the others still reach."""
        for node in self._running():
            if node.replica and node.replica.is_leader:
                name = node.identity.replica_id
                other = self.rng.choice([n for n in self.nodes if n != name])
                self.network.cut(name, other)
                if self.rng.random() < 0.5:
                    self.network.cut(other, name)

    def _compact_one(self) -> None:
        node = self.rng.choice(list(self.nodes.values()))
        if node.replica is None:
            return
        node.replica.take_committed()
        data = b'state at %d' % node.replica.delivered_index * 20
        self._guard(node, node.replica.compact, data, self._clock(node))

    def _fill_disk(self) -> None:
        node = self.rng.choice(list(self.nodes.values()))
        node.disk.is_full = not node.disk.is_full

    def _change_membership(self) -> None:
        leaders = [
            n for n in self._running() if n.replica and n.replica.is_leader
        ]
        if not leaders:
            return
        leader = leaders[-1].replica
        assert leader is not None
        present = leader.membership
        wanted = self._draw_membership(present)
        if wanted is None:
            return
        if isinstance(
            leader.propose_membership(wanted, self._clock(leaders[-1])), Ok
        ):
            self.result.membership_changes += 1
            for name in wanted.members:
                if name not in self.nodes:
                    self._add_node(name)

    def _draw_membership(
        self, present: state.Membership
    ) -> state.Membership | None:
        """Add a learner, promote one, or remove a voter."""
        draw = self.rng.random()
        if present.learners and draw < 0.5:
            newcomer = present.learners[0]
            return dataclasses.replace(
                present,
                voters=(*present.voters, newcomer),
                learners=present.learners[1:],
            )
        if len(present.voters) > 3 and draw < 0.8:
            removed = self.rng.choice(present.voters)
            voters = tuple(v for v in present.voters if v != removed)
            return dataclasses.replace(present, voters=voters)
        if draw > 0.9:
            # A change of several voters at once, which a leader must refuse.
            names = list(self.nodes)
            voters = tuple(self.rng.sample(names, min(3, len(names))))
            return dataclasses.replace(present, voters=voters, learners=())
        if len(present.members) < 6:
            learner = f'control-{len(self.nodes)}'
            return dataclasses.replace(
                present, learners=(*present.learners, learner)
            )
        return None

    def _lose_disk(self) -> None:
        """Restart a replica under its old name with an empty folder.

        Only replicas whose incarnation all others have stored are protected
        against this, so only these are chosen.
        """
        protected = [
            node
            for node in self._running()
            if node.replica
            and node.identity.replica_id
            in node.replica.membership.incarnations
            and self._is_incarnation_stored_everywhere(
                node.identity.replica_id
            )
        ]
        # With a second lost disk of three voters the quorum is lost, which no
        # protocol tolerates.
        if not protected or self.result.lost_disks:
            return
        node = self.rng.choice(protected)
        self.result.lost_disks += 1
        self._crash(node)
        node.identity = coordination.ReplicaIdentity(
            node.identity.replica_id, f'{self.rng.random():.12f}'
        )
        node.disk = fakes.FakeDisk(self.rng, CRASH_RATIO)
        self._start(node)

    def _is_incarnation_stored_everywhere(self, name: str) -> bool:
        for node in self.nodes.values():
            if node.replica is None:
                return False
            # A binding that isn't committed may be overwritten, and one that
            # this node hasn't synced is lost with a crash.
            log = node.replica.log
            stored = min(node.replica.commit_index, log.synced_index)
            committed = log.membership_at(stored)
            if name not in committed.incarnations:
                return False
        return True

    def _transfer(self) -> None:
        for node in self._running():
            assert node.replica is not None
            node.replica.transfer_leadership(self._clock(node))

    def _clock(self, node: Node) -> float:
        return node.clock.read(self.now_s)

    def _guard(self, node: Node, action, *arguments) -> None:  # type: ignore[no-untyped-def]
        """Call a replica, and crash it if its disk raises CrashError."""
        try:
            action(*arguments)
        except fakes.CrashError:
            self._crash(node)

    def _advance(self) -> None:
        self.now_s += self.step_s * self.rng.uniform(0.2, 2)
        for node in self._running():
            assert node.replica is not None
            self._guard(node, node.replica.tick, self._clock(node))
        for delivery in self.network.take_due(self.now_s):
            self._deliver(delivery)
        for node in self._running():
            assert node.replica is not None
            self._guard(node, node.replica.flush, self._clock(node))
        for node in self._running():
            self._guard(node, self._sync, node)
        for node in self._running():
            self._send_outbox(node)

    def _sync(self, node: Node) -> None:
        """Begin a sync in the background, or end the current one."""
        replica = node.replica
        assert replica is not None
        if node.sync is not None and self.now_s >= node.sync.ends_s:
            sync, node.sync = node.sync, None
            try:
                sync.finish()
            except state_errors.StorageError as error:
                replica.handle_sync_failure(error, self._clock(node))
                return
            self.result.background_syncs += 1
            replica.handle_sync_done(sync.index, sync.term, self._clock(node))
        is_due = replica.is_leader and replica.is_sync_due()
        if node.sync is None and is_due:
            ends_s = self.now_s + self.rng.choice((0.0, 0.006, 0.05, 0.5))
            node.sync = Sync(
                ends_s,
                node.disk.begin_sync(),
                replica.log.last_index,
                replica.term,
            )

    def _deliver(self, delivery: fakes.Delivery) -> None:
        node = self.nodes.get(delivery.receiver)
        if node is None or node.replica is None:
            return
        identity = coordination.ReplicaIdentity(
            delivery.sender, delivery.incarnation
        )
        self._guard(
            node,
            node.replica.receive,
            identity,
            delivery.message,
            self._clock(node),
        )

    def _send_outbox(self, node: Node) -> None:
        assert node.replica is not None
        for outgoing in node.replica.take_outbox():
            self.network.send(
                self.now_s,
                fakes.Delivery(
                    node.identity.replica_id,
                    node.identity.incarnation,
                    outgoing.receiver,
                    outgoing.message,
                ),
            )

    def _check(self) -> None:
        with_lease = []
        for node in self._running():
            replica = node.replica
            assert replica is not None
            name = node.identity.replica_id
            if replica.is_leader:
                holder = self.leaders.setdefault(replica.term, name)
                if holder != name:
                    raise InvariantError(
                        f'{holder} and {name} lead term {replica.term}'
                    )
            if replica.has_lease(self._clock(node)):
                with_lease.append(name)
            self._check_commits(node, replica)
        if len(with_lease) > 1:
            raise InvariantError(f'{with_lease} hold the lease at once')

    def _check_commits(
        self, node: Node, replica: coordination.Replica
    ) -> None:
        if replica.commit_index > replica.log.last_index:
            raise InvariantError(
                f'{node.identity.replica_id} commits what it does not hold'
            )
        if replica.take_installed() is not None:
            self.result.snapshots_installed += 1
        for entry in replica.take_committed():
            value = (entry.term, entry.payload)
            known = self.committed.setdefault(entry.index, value)
            if known != value:
                raise InvariantError(
                    f'index {entry.index} was committed as {known} and as '
                    f'{value}'
                )

    def _recover(self) -> None:
        """End all faults and check that the cluster accepts and replicates."""
        self.network.heal()
        self.network.make_reliable()
        for node in self.nodes.values():
            node.disk.is_full = False
            node.disk._crash_ratio = 0.0
            if node.replica is None:
                self._start(node)
        ends_s = self.now_s + RECOVERY_S
        while self.now_s < ends_s:
            self._advance()
            self._check()
        # A replaced leader that doesn't know it yet may queue a proposal and
        # drop it unanswered, which is allowed, as clients resend. So the
        # proposal is made after some time without faults.
        self._propose()
        wanted = f'command {self._proposed}'.encode()
        ends_s = self.now_s + 1.0
        while self.now_s < ends_s:
            self._advance()
            self._check()
        if wanted not in {payload for _, payload in self.committed.values()}:
            raise InvariantError('nothing is accepted after all faults ended')
        self._check_replicated()

    def _check_replicated(self) -> None:
        """Check that a quorum has committed the newest entry."""
        newest = max(self.committed)
        holders = [
            node
            for node in self._running()
            if node.replica and node.replica.commit_index >= newest
        ]
        leader = next(
            n for n in self._running() if n.replica and n.replica.is_leader
        )
        assert leader.replica is not None
        voters = leader.replica.membership.voters
        count = sum(n.identity.replica_id in voters for n in holders)
        if count < leader.replica.membership.quorum_size():
            raise InvariantError('a quorum lacks committed entries')
