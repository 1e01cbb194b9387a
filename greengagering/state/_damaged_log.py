"""Sets the log of a data folder aside, so that a new replica can use it."""

import pathlib

from greengagering.state import _durable_files
from greengagering.state import _folder
from greengagering.state import _folder_identity
from greengagering.state import errors

ASIDE_PREFIX = 'damaged-'


def set_log_aside(path: pathlib.Path) -> pathlib.Path | None:
    """Move the identity and the log of a folder into a subfolder of it.

    The identity goes first. So the replica that the folder belonged to never
    starts from a part of its log, and a call that was cut short leaves a
    folder without an identity, whose log the next call moves.

    Args:
        path: data folder, which this process has locked if it has an identity.

    Returns:
        The subfolder, or None if there was nothing to move.

    Raises:
        StorageError: the folder can't be written.
    """
    patterns = (
        f'{_folder_identity.IDENTITY_NAME}*',
        f'{_folder.SNAPSHOT_NAME}*',
        f'{_folder.SEGMENT_PREFIX}*',
    )
    files = [
        file for pattern in patterns for file in sorted(path.glob(pattern))
    ]
    if not files:
        return None
    try:
        aside = path / f'{ASIDE_PREFIX}{_next_number(path)}'
        aside.mkdir()
        for file in files:
            file.rename(aside / file.name)
            _durable_files.sync_folder(aside)
            _durable_files.sync_folder(path)
    except OSError as error:
        raise errors.StorageError(f'data folder {path}: {error}') from error
    return aside


def has_log_aside(path: pathlib.Path) -> bool:
    """Tell whether the log of an earlier replica was set aside in a folder."""
    return any(path.glob(f'{ASIDE_PREFIX}*'))


def _next_number(path: pathlib.Path) -> int:
    names = [p.name for p in path.glob(f'{ASIDE_PREFIX}*')]
    numbers = [name.removeprefix(ASIDE_PREFIX) for name in names]
    return 1 + max((int(n) for n in numbers if n.isdecimal()), default=0)
