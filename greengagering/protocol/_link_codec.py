"""Encoding of messages between processes of the system."""

from typing import Any

from greengagering import coordination
from greengagering.protocol import errors
from greengagering.protocol import link_pb2
from greengagering import state
from greengagering.state import errors as state_errors

LinkMessage = (
    coordination.ReplicaMessage
    | coordination.EntryReport
    | coordination.EntryMessage
    | coordination.ClaimRequest
    | coordination.ClaimResponse
    | coordination.OutcomeRequest
    | coordination.OutcomeResponse
    | coordination.JobMessage
    | coordination.AgentMessage
)

_KINDS: dict[str, type[Any]] = {
    kind.__name__: kind
    for kind in (
        coordination.VoteRequest,
        coordination.VoteResponse,
        coordination.AppendRequest,
        coordination.AppendResponse,
        coordination.SnapshotChunk,
        coordination.SnapshotResponse,
        coordination.TimeoutNow,
        coordination.EntryReport,
        coordination.LeaseGrant,
        coordination.FeedDelta,
        coordination.FeedSnapshot,
        coordination.HeartbeatBatch,
        coordination.UpstreamChanges,
        coordination.TableDigest,
        coordination.ClaimRequest,
        coordination.ClaimResponse,
        coordination.OutcomeRequest,
        coordination.OutcomeResponse,
        coordination.JobCall,
        coordination.JobAnswer,
        coordination.ControlProbe,
        coordination.ControlStatus,
        coordination.AgentOrders,
        coordination.AgentAnswers,
    )
}


def encode_message(message: LinkMessage) -> link_pb2.Message:
    """Return a message in the form that frames carry."""
    return link_pb2.Message(
        kind=type(message).__name__, body=state.encode(message)
    )


def decode_message(message: link_pb2.Message) -> LinkMessage:
    """Return the message that was encoded.

    Raises:
        UnknownMessageError: this version lacks the type, or the body
            doesn't fit it.
    """
    kind = _KINDS.get(message.kind)
    if kind is None:
        raise errors.UnknownMessageError(
            f'unknown message type {message.kind!r}'
        )
    try:
        return state.decode(message.body, kind)
    except state_errors.StateError as error:
        raise errors.UnknownMessageError(str(error)) from error
