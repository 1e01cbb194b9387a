"""Assembles a leader's snapshot from its chunks."""

import dataclasses

from greengagering.coordination.agreement import _messages as messages


@dataclasses.dataclass(slots=True)
class _Transfer:
    """The received part of a snapshot from the leader of one term."""

    index: int
    leader_term: int
    data: bytearray


class SnapshotAssembler:
    """Collects chunks in order; a chunk at an unexpected offset is ignored."""

    def __init__(self) -> None:
        self._transfer: _Transfer | None = None

    def add(self, chunk: messages.SnapshotChunk) -> bytes | None:
        """Add a chunk; return the snapshot's data once it is complete."""
        transfer = self._transfer_of(chunk)
        if chunk.offset_bytes != len(transfer.data):
            return None
        transfer.data += chunk.data
        if not chunk.is_last:
            return None
        self._transfer = None
        return bytes(transfer.data)

    def next_offset_bytes(self) -> int:
        """Return the offset of the next byte that is needed."""
        return len(self._transfer.data) if self._transfer else 0

    def _transfer_of(self, chunk: messages.SnapshotChunk) -> _Transfer:
        """Return a chunk's transfer; a new one replaces any other transfer."""
        known = self._transfer
        wanted = (chunk.index, chunk.term)
        if known is not None and (known.index, known.leader_term) == wanted:
            return known
        self._transfer = _Transfer(chunk.index, chunk.term, bytearray())
        return self._transfer
