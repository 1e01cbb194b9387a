"""Lock of a data folder, which a process may take before its slow imports.

Uses nothing but the standard library, so that it is imported in no time.
"""

import fcntl
import pathlib
from typing import BinaryIO

from greengagering import clock

LOCK_NAME = 'lock'


class FolderLock:
    """A lock that ends with its process at the latest.

    Attributes:
        locked_at_s: steady time at which no other process held the folder
            any more.
    """

    def __init__(self, file: BinaryIO) -> None:
        self._file = file
        self.locked_at_s = clock.steady_s()

    def release(self) -> None:
        """Let other processes lock the folder."""
        self._file.close()


_early_locks: dict[pathlib.Path, FolderLock] = {}
"""Locks of this process that lock_folder has not returned yet."""


def lock_early(path: pathlib.Path) -> None:
    """Lock a folder for a later call of lock_folder, if that is possible.

    Raises:
        OSError: the folder can't be opened, or another process holds it.
    """
    key = path.absolute()
    if key not in _early_locks:
        _early_locks[key] = _lock(path)


def lock_folder(path: pathlib.Path) -> FolderLock:
    """Lock a folder, or return the lock that lock_early took.

    Raises:
        BlockingIOError: another process holds it.
        OSError: the folder can't be opened.
    """
    return _early_locks.pop(path.absolute(), None) or _lock(path)


def _lock(path: pathlib.Path) -> FolderLock:
    file = open(path / LOCK_NAME, 'ab')  # noqa: SIM115
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        file.close()
        raise
    return FolderLock(file)
