"""Assignment of each upstream to one home entry by rendezvous hashing."""

import hashlib

HASH_BYTES = 8


def home_of(vm: str, entries: list[str]) -> str:
    """Return the entry that watches a VM's silence.

    Every entry that knows the same live entries gets the same answer, and a
    change of one entry moves only the VMs that it watches.

    Args:
        vm: name of the VM.
        entries: live entries, at least one.
    """
    return max(entries, key=lambda entry: _weight(vm, entry))


def _weight(vm: str, entry: str) -> bytes:
    data = f'{entry}\n{vm}'.encode()
    return hashlib.blake2b(data, digest_size=HASH_BYTES).digest()
