"""Messages between control replicas."""

import dataclasses

from greengagering import state


@dataclasses.dataclass(frozen=True, slots=True)
class VoteRequest:
    """Asks for a vote, or with is_pre whether one would be granted.

    Attributes:
        term: term of the election.
        last_index: index of the candidate's last entry.
        last_term: term of that entry.
        is_pre: a pre-vote changes no term and no promise.
        is_transfer: the leader itself asked for this election.
    """

    term: int
    last_index: int
    last_term: int
    is_pre: bool
    is_transfer: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class VoteResponse:
    """Answers a VoteRequest of the same term and kind."""

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
        sent_at_s: the leader's own clock, echoed by the response.
    """

    term: int
    previous_index: int
    previous_term: int
    entries: tuple[state.LogEntry, ...]
    commit_index: int
    sent_at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class AppendResponse:
    """Answers an AppendRequest after the entries are durable.

    Attributes:
        term: the follower's term.
        is_success: whether the previous entry matched.
        match_index: last index known to match, when successful.
        conflict_index: index to resume from, when not.
        sent_at_s: echo of the request.
    """

    term: int
    is_success: bool
    match_index: int
    conflict_index: int
    sent_at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """One piece of a snapshot for a follower that is far behind."""

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
    """Tells the leader which byte of a snapshot is wanted next."""

    term: int
    index: int
    next_offset_bytes: int
    is_installed: bool
    sent_at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class TimeoutNow:
    """Asks the most advanced follower to start an election at once."""

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
