"""Data classes of the replicated log and the interface of its storage."""

from collections.abc import Callable
import dataclasses
import enum
from typing import Protocol


class EntryKind(enum.IntEnum):
    """The kind of a log entry's payload."""

    NOOP = 0
    COMMAND = 1
    MEMBERSHIP = 2


@dataclasses.dataclass(frozen=True, slots=True)
class LogEntry:
    """One position of the replicated log."""

    index: int
    term: int
    kind: EntryKind
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Membership:
    """The control replicas that are members of the cluster.

    Attributes:
        voters: replicas that count in elections and commits.
        learners: replicas that receive the log and don't vote.
        incarnations: incarnation of the data folder by replica, from its
            first answer on. Messages with another incarnation are rejected,
            so a replica that lost its disk can't vote under its old name.
        addresses: listening address of each replica, as host:port.
    """

    voters: tuple[str, ...]
    learners: tuple[str, ...] = ()
    incarnations: dict[str, str] = dataclasses.field(default_factory=dict)
    addresses: dict[str, str] = dataclasses.field(default_factory=dict)

    @property
    def members(self) -> tuple[str, ...]:
        """Voters and learners."""
        return self.voters + self.learners

    def quorum_size(self) -> int:
        """Return the number of voters in a majority."""
        return len(self.voters) // 2 + 1


@dataclasses.dataclass(frozen=True, slots=True)
class Vote:
    """A replica's durable term and its vote in that term."""

    term: int
    voted_for: str


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The state up to an index, which replaces the log up to there."""

    index: int
    term: int
    membership: Membership
    data: bytes


@dataclasses.dataclass(slots=True)
class StoredLog:
    """What the storage holds when a replica starts."""

    vote: Vote
    snapshot: Snapshot | None
    entries: list[LogEntry]


class LogStorage(Protocol):
    """Durable storage of one replica.

    Every method but write, begin_sync and tell_synced returns after its effect
    is durable, and raises StorageError on failure.
    """

    def load(self) -> StoredLog:
        """Return the stored log."""
        ...

    def save_vote(self, vote: Vote) -> None:
        """Store a term and vote."""
        ...

    def append(self, entries: list[LogEntry]) -> None:
        """Store entries, replacing the log from the first index on."""
        ...

    def write(self, entries: list[LogEntry]) -> None:
        """Write entries as append does; the next sync makes them durable."""
        ...

    def begin_sync(self) -> Callable[[], None]:
        """Return a function that makes the writes so far durable.

        It may run on another thread, and raises StorageError on failure.
        """
        ...

    def tell_synced(self) -> None:
        """Write how far the log is synced, so that a load can tell.

        Called when a sync has ended. Without it a load can't tell damage of
        the last writes from writes that were never synced. It isn't synced
        itself, and a full disk is no error.
        """
        ...

    def save_snapshot(self, snapshot: Snapshot, tail: list[LogEntry]) -> None:
        """Store a snapshot and the entries after it, and drop the rest."""
        ...
