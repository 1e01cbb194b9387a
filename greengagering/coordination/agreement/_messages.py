"""Messages between control replicas."""

import dataclasses

from greengagering import state


@dataclasses.dataclass(frozen=True, slots=True)
class VoteRequest:
    """Requests a vote, or a pre-vote if is_pre is set.

    Attributes:
        term: term of the election.
        last_index: index of the candidate's last entry.
        last_term: term of that entry.
        is_pre: whether the sender only asks if a vote would be granted; the
            answer changes neither the term nor the stored vote.
        is_transfer: whether the leader itself requested this election.
    """

    term: int
    last_index: int
    last_term: int
    is_pre: bool
    is_transfer: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class VoteResponse:
    """Answers a VoteRequest of the same is_pre.

    The term is that of the request if the vote is granted, else that of the
    sender.
    """

    term: int
    is_pre: bool
    is_granted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class AppendRequest:
    """Carries entries, the commit index, and the leader's heartbeat.

    Attributes:
        term: the leader's term.
        previous_index: index before the first entry.
        previous_term: term of the entry at previous_index.
        entries: consecutive entries, possibly none.
        commit_index: the leader's commit index.
        sent_at_s: the leader's own clock, copied into the response.
        leaderless_s: see Replica.leaderless_s; infinity from a leader of the
            former version, which doesn't send it.
    """

    term: int
    previous_index: int
    previous_term: int
    entries: tuple[state.LogEntry, ...]
    commit_index: int
    sent_at_s: float
    leaderless_s: float = float('inf')


@dataclasses.dataclass(frozen=True, slots=True)
class AppendResponse:
    """Answers an AppendRequest after the entries are durable.

    Attributes:
        term: the follower's term.
        is_success: whether the previous entry matched.
        match_index: last index known to match, when successful.
        conflict_index: index to resume from, when not.
        sent_at_s: copied from the request.
    """

    term: int
    is_success: bool
    match_index: int
    conflict_index: int
    sent_at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """One part of a snapshot, for a follower whose next entry is compacted."""

    term: int
    index: int
    snapshot_term: int
    membership: state.Membership
    offset_bytes: int
    data: bytes
    is_last: bool
    sent_at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotResponse:
    """Answers a SnapshotChunk with the offset of the next byte to send."""

    term: int
    index: int
    next_offset_bytes: int
    is_installed: bool
    sent_at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class TimeoutNow:
    """Asks a voter that holds the whole log to start an election at once."""

    term: int


ReplicaMessage = (
    VoteRequest
    | VoteResponse
    | AppendRequest
    | AppendResponse
    | SnapshotChunk
    | SnapshotResponse
    | TimeoutNow
)
