"""Fakes of the disk, the network and the clock."""

from collections.abc import Callable
import dataclasses
import heapq
import random
from typing import Any

from greengagering import coordination
from greengagering import state
from greengagering.state import errors as state_errors


class CrashError(Exception):
    """The process crashes during a write."""


class FakeDisk:
    """A LogStorage that can crash before or after a write takes effect."""

    def __init__(self, rng: random.Random, crash_ratio: float) -> None:
        self.is_full = False
        self.writes = 0
        self._rng = rng
        self._crash_ratio = crash_ratio
        self._vote = state.Vote(0, '')
        self._snapshot: state.Snapshot | None = None
        self._entries: list[state.LogEntry] = []
        self._unsynced: list[list[state.LogEntry]] = []

    @property
    def unsynced_count(self) -> int:
        """Number of writes that no sync has covered."""
        return len(self._unsynced)

    def load(self) -> state.StoredLog:
        """Return the stored log with a random part of the unsynced writes."""
        for entries in self._unsynced[: self._rng.randint(0, 3)]:
            self._keep(entries)
        self._unsynced.clear()
        return state.StoredLog(self._vote, self._snapshot, list(self._entries))

    def save_vote(self, vote: state.Vote) -> None:
        """Store a vote, unless the disk is full or the process crashes."""
        is_crash_after = self._begin_write()
        self._vote = vote
        self._end_write(is_crash_after)

    def append(self, entries: list[state.LogEntry]) -> None:
        """Store entries, replacing the log from the first index on."""
        is_crash_after = self._begin_write()
        self._keep(entries)
        self._end_write(is_crash_after)

    def write(self, entries: list[state.LogEntry]) -> None:
        """Write entries that a crash may lose until the next sync."""
        is_crash_after = self._begin_write(is_synced=False)
        self._unsynced.append(list(entries))
        self._end_write(is_crash_after)

    def begin_sync(self) -> Callable[[], None]:
        """Return a function that syncs the writes so far."""
        batches = list(self._unsynced)

        def sync() -> None:
            is_crash_after = self._begin_write(is_synced=False)
            for entries in batches:
                # Another sync may have covered the batch, or a crash may have
                # lost it.
                if self._unsynced and self._unsynced[0] is entries:
                    self._keep(self._unsynced.pop(0))
            self._end_write(is_crash_after)

        return sync

    def tell_synced(self) -> None:
        """Do nothing: the fake disk knows what was synced."""

    def _keep(self, entries: list[state.LogEntry]) -> None:
        first = entries[0].index
        kept = [e for e in self._entries if e.index < first]
        self._entries = kept + list(entries)

    def save_snapshot(
        self, snapshot: state.Snapshot, tail: list[state.LogEntry]
    ) -> None:
        """Store a snapshot and the entries after it."""
        is_crash_after = self._begin_write()
        self._snapshot = snapshot
        self._entries = list(tail)
        self._end_write(is_crash_after)

    def _begin_write(self, *, is_synced: bool = True) -> bool:
        """Fail or crash before the write; return whether to crash after it.

        A synced write makes all earlier ones durable.
        """
        self.writes += 1
        if self.is_full:
            raise state_errors.StorageFullError('the fake disk is full')
        draw = self._rng.random()
        if draw < self._crash_ratio:
            raise CrashError
        if is_synced:
            for entries in self._unsynced:
                self._keep(entries)
            self._unsynced.clear()
        return draw < 2 * self._crash_ratio

    def _end_write(self, is_crash_after: bool) -> None:
        if is_crash_after:
            raise CrashError


@dataclasses.dataclass(frozen=True)
class Delivery:
    """A message in delivery, with its sender and receiver."""

    sender: str
    incarnation: str
    receiver: str
    message: Any


@dataclasses.dataclass
class NetworkOptions:
    """How a fake network behaves.

    Attributes:
        min_delay_s: minimum delay of a message.
        max_delay_s: maximum delay; delays differ, so messages overtake each
            other.
        loss_ratio: ratio of messages lost, and of the others delayed by up
            to 3 s more.
        duplicate_ratio: ratio of messages that arrive twice.
    """

    min_delay_s: float = 0.001
    max_delay_s: float = 0.03
    loss_ratio: float = 0.02
    duplicate_ratio: float = 0.02


class FakeNetwork:
    """A network that delays, loses, duplicates and reorders messages.

    It can also cut the path between processes in one or both directions.
    """

    def __init__(self, rng: random.Random, options: NetworkOptions) -> None:
        self.options = options
        self._rng = rng
        self._queue: list[tuple[float, int, Delivery]] = []
        self._sent = 0
        self._cut: set[tuple[str, str]] = set()

    def cut(self, sender: str, receiver: str) -> None:
        """Silently drop all messages from one process to another."""
        self._cut.add((sender, receiver))

    def isolate(self, name: str, others: list[str]) -> None:
        """Cut a process off in both directions."""
        for other in others:
            self._cut |= {(name, other), (other, name)}

    def heal(self) -> None:
        """Remove all cuts."""
        self._cut.clear()

    def make_reliable(self) -> None:
        """Stop losing and duplicating messages."""
        self.options = NetworkOptions(loss_ratio=0, duplicate_ratio=0)

    def send(self, now_s: float, delivery: Delivery) -> None:
        """Queue a message for delivery, unless it is cut or lost."""
        options = self.options
        if (delivery.sender, delivery.receiver) in self._cut:
            return
        if self._rng.random() < options.loss_ratio:
            return
        copies = 1
        if self._rng.random() < options.duplicate_ratio:
            copies = 2
        for _ in range(copies):
            delay_s = self._rng.uniform(
                options.min_delay_s, options.max_delay_s
            )
            if self._rng.random() < options.loss_ratio:
                # Some messages are delayed for much longer.
                delay_s += self._rng.uniform(0, 3)
            self._sent += 1
            heapq.heappush(
                self._queue, (now_s + delay_s, self._sent, delivery)
            )

    def take_due(self, now_s: float) -> list[Delivery]:
        """Return and remove the messages that have arrived."""
        due = []
        while self._queue and self._queue[0][0] <= now_s:
            delivery = heapq.heappop(self._queue)[2]
            if (delivery.sender, delivery.receiver) not in self._cut:
                due.append(delivery)
        return due


@dataclasses.dataclass(frozen=True)
class SkewedClock:
    """A monotonic clock with an offset and a bounded drift."""

    offset_s: float
    rate: float

    def read(self, true_s: float) -> float:
        """Return this clock's reading at a true time."""
        return self.offset_s + self.rate * true_s


def draw_clock(rng: random.Random, drift_ratio: float) -> SkewedClock:
    """Return a clock; the rates of any two differ by at most the drift."""
    half = drift_ratio / 2
    return SkewedClock(
        offset_s=rng.uniform(0, 1000), rate=rng.uniform(1 - half, 1 + half)
    )


def lone_control() -> coordination.ControlCore:
    """Return the core of a single replica with an empty disk."""
    rng = random.Random(1)
    replica = coordination.Replica(
        coordination.ReplicaIdentity('control-1', 'folder'),
        state.Membership(voters=('control-1',)),
        FakeDisk(rng, 0.0),
        rng,
        0.0,
    )
    return coordination.ControlCore(replica, coordination.LeaseOptions(), 0.0)
