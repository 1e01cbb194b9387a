"""Assignment of each upstream to one owner entry by rendezvous hashing."""

import hashlib
import heapq

HASH_BYTES = 8


def owner_of(vm: str, entries: list[str]) -> str:
    """Return the owner of a VM: the entry that detects its silence.

    Every entry that knows the same live entries computes the same owner, and
    when one entry comes or goes, only the VMs that it owns change owners.

    Args:
        vm: name of the VM.
        entries: live entries, at least one.
    """
    return max(entries, key=lambda entry: _weight(vm, entry))


def rank_owners(vm: str, entries: list[str], count: int) -> list[str]:
    """Return the owner of a VM and those that own it after it, in order.

    Args:
        vm: name of the VM.
        entries: live entries.
        count: most entries to return.
    """
    return heapq.nlargest(count, entries, key=lambda entry: _weight(vm, entry))


def _weight(vm: str, entry: str) -> bytes:
    data = f'{entry}\n{vm}'.encode()
    return hashlib.blake2b(data, digest_size=HASH_BYTES).digest()
