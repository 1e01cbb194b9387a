"""Files that are on the disk, or not there at all, after a power loss."""

import os
import pathlib

TEMPORARY_SUFFIX = '.tmp'


def write_durably(path: pathlib.Path, data: bytes) -> None:
    """Replace a file.

    Raises:
        OSError: the disk refuses; the file is as it was, or replaced.
    """
    temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
    try:
        with open(temporary, 'wb') as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
    except OSError:
        # On a full disk the partial file would take the space of the log.
        temporary.unlink(missing_ok=True)
        raise
    temporary.rename(path)
    sync_folder(path.parent)


def sync_folder(path: pathlib.Path) -> None:
    """Make new names and removals in a folder durable."""
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
