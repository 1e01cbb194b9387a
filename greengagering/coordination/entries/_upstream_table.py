"""Table of upstreams that entries replicate without a leader."""

import zlib

from greengagering.coordination.entries._entry_messages import TableDigest
from greengagering.coordination.entries._entry_messages import Upstream
from greengagering.coordination.entries._entry_messages import UpstreamState

BUCKET_COUNT = 64
"""Hash buckets of a digest; equal on all entries that compare digests."""

_STATE_RANK = {
    UpstreamState.UP: 0,
    UpstreamState.SILENT: 1,
    UpstreamState.LEAVING: 2,
}


class UpstreamTable:
    """One value for each VM; merging is commutative and idempotent.

    A later boot wins over an earlier one. Within a boot, leaving is final;
    otherwise the higher sequence wins, and at the same sequence SILENT wins
    over UP. A late or repeated announcement therefore can't bring back an
    upstream that left, and all entries converge whatever the order in which
    messages arrive.
    """

    def __init__(self) -> None:
        self._upstreams: dict[str, Upstream] = {}
        self._buckets = [0] * BUCKET_COUNT

    def __len__(self) -> int:
        return len(self._upstreams)

    def get(self, vm: str) -> Upstream | None:
        """Return the value of a VM, or None."""
        return self._upstreams.get(vm)

    def all(self) -> list[Upstream]:
        """Return every value."""
        return list(self._upstreams.values())

    def merge(self, upstream: Upstream) -> bool:
        """Merge a value; return whether the table changed."""
        known = self._upstreams.get(upstream.vm)
        if known is not None:
            if _version(upstream) <= _version(known):
                return False
            self._buckets[_bucket(known.vm)] ^= _hash(known)
        self._upstreams[upstream.vm] = upstream
        self._buckets[_bucket(upstream.vm)] ^= _hash(upstream)
        return True

    def digest(self) -> TableDigest:
        """Return the hashes of the buckets."""
        return TableDigest(tuple(self._buckets))

    def differing(self, digest: TableDigest) -> list[Upstream]:
        """Return the values in buckets that differ from a peer's."""
        differs = [
            own != other
            for own, other in zip(self._buckets, digest.buckets, strict=True)
        ]
        return [
            upstream
            for upstream in self._upstreams.values()
            if differs[_bucket(upstream.vm)]
        ]


def _version(upstream: Upstream) -> tuple[int, str, bool, int, int]:
    is_leaving = upstream.state is UpstreamState.LEAVING
    return (
        *upstream.boot_order,
        is_leaving,
        upstream.sequence,
        _STATE_RANK[upstream.state],
    )


def _bucket(vm: str) -> int:
    return zlib.crc32(vm.encode()) % BUCKET_COUNT


def _hash(upstream: Upstream) -> int:
    return zlib.crc32(f'{upstream.vm}|{_version(upstream)}'.encode())
