"""Options, roles and messages to send of a control replica."""

import dataclasses
import enum
from typing import Protocol

from greengagering.coordination.agreement import _messages as messages


class Role(enum.StrEnum):
    """The role of a replica in its current term."""

    FOLLOWER = 'follower'
    PRE_CANDIDATE = 'pre_candidate'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


class RandomSource(Protocol):
    """Source of random election timeouts."""

    def uniform(self, a: float, b: float) -> float:
        """Return a number between a and b."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaOptions:
    """Timeouts and limits of the consensus protocol.

    Attributes:
        heartbeat_s: longest time between two messages of a leader to the
            same replica.
        election_min_s: minimum election timeout.
        election_max_s: maximum election timeout, and the time after which a
            leader without contact to a quorum steps down.
        clock_drift_ratio: bound on the difference of two clocks' speeds.
        max_batch_entries: entries in one message.
        max_batch_bytes: payload in one message.
        snapshot_chunk_bytes: snapshot bytes in one message.
        max_pending_entries: uncommitted entries before proposals are refused.
        max_lag_entries: entries that a replica may lag behind the commit
            index and still become a voter; a few batches.
        flush_interval_s: minimum time between two batches while the earlier
            one is not committed; twice the time of a disk sync, so that
            followers keep up.
        syncs_in_background: whether a leader sends entries before its own
            disk has synced them, while the caller of this class runs the
            syncs.
        steady_lead_s: time for which a leader must have led to end the time
            without one, see Replica.leaderless_s; the interval of workers'
            reports, and the timeout of a report to a process that is gone.
    """

    heartbeat_s: float = 0.08
    election_min_s: float = 0.4
    election_max_s: float = 0.8
    clock_drift_ratio: float = 0.05
    max_batch_entries: int = 512
    max_batch_bytes: int = 256 * 1024
    snapshot_chunk_bytes: int = 256 * 1024
    max_pending_entries: int = 10_000
    max_lag_entries: int = 64
    flush_interval_s: float = 0.012
    syncs_in_background: bool = False
    steady_lead_s: float = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaIdentity:
    """A replica's name and the incarnation of its data folder."""

    replica_id: str
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """A message to be sent to another replica."""

    receiver: str
    message: messages.ReplicaMessage
