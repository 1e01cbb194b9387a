"""Data classes of the replicated log and the protocol of its storage."""

from collections.abc import Callable
import dataclasses
import enum
from typing import Protocol


class EntryKind(enum.IntEnum):
    """What a log entry carries."""

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
    """Control replicas that take part in agreement.

    Attributes:
        voters: replicas whose votes and copies count.
        learners: replicas that receive the log and don't vote.
        incarnations: incarnation of the data folder bound to each replica
            that has been heard once; a replica that lost its disk returns
            with another incarnation and is not heard under its old name.
        addresses: where each replica listens, as host:port.
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
        """Return how many voters make a majority."""
        return len(self.voters) // 2 + 1


@dataclasses.dataclass(frozen=True, slots=True)
class Vote:
    """The term and vote that a replica has promised."""

    term: int
    voted_for: str


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The folded state up to an index, in place of the log before it."""

    index: int
    term: int
    membership: Membership
    data: bytes


@dataclasses.dataclass(slots=True)
class StoredLog:
    """What a storage holds when a replica starts."""

    vote: Vote
    snapshot: Snapshot | None
    entries: list[LogEntry]


class LogStorage(Protocol):
    """Durable storage of one replica.

    Every method but write returns only once its effect survives a crash, and
    raises StorageError when that can't be had.
    """

    def load(self) -> StoredLog:
        """Return what survived."""
        ...

    def save_vote(self, vote: Vote) -> None:
        """Keep a term and vote."""
        ...

    def append(self, entries: list[LogEntry]) -> None:
        """Keep entries; an index that exists is replaced, with its tail."""
        ...

    def write(self, entries: list[LogEntry]) -> None:
        """Write entries as append does, durable with the next sync."""
        ...

    def begin_sync(self) -> Callable[[], None]:
        """Return what makes all that is written by now durable.

        It may run on another thread, and raises StorageError.
        """
        ...

    def save_snapshot(self, snapshot: Snapshot, tail: list[LogEntry]) -> None:
        """Keep a snapshot and the entries after it, and drop the rest."""
        ...
