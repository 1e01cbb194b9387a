"""Puts a leader's snapshot together from its chunks."""

import dataclasses

from greengagering.coordination.agreement import _messages as messages


@dataclasses.dataclass(slots=True)
class _Transfer:
    """A snapshot that arrives in chunks from the leader of one term."""

    index: int
    leader_term: int
    data: bytearray


class SnapshotInbox:
    """Takes chunks in order; lost and repeated ones cost only time."""

    def __init__(self) -> None:
        self._transfer: _Transfer | None = None

    def take(self, chunk: messages.SnapshotChunk) -> bytes | None:
        """Take a chunk; return the whole snapshot once it is complete."""
        transfer = self._match(chunk)
        if chunk.offset_bytes != len(transfer.data):
            return None
        transfer.data += chunk.data
        if not chunk.is_last:
            return None
        self._transfer = None
        return bytes(transfer.data)

    def next_offset_bytes(self) -> int:
        """Return which byte is wanted next."""
        return len(self._transfer.data) if self._transfer else 0

    def _match(self, chunk: messages.SnapshotChunk) -> _Transfer:
        """Return the transfer that a chunk belongs to, new if need be."""
        known = self._transfer
        wanted = (chunk.index, chunk.term)
        if known is not None and (known.index, known.leader_term) == wanted:
            return known
        self._transfer = _Transfer(chunk.index, chunk.term, bytearray())
        return self._transfer
