"""Which replica a data folder belongs to."""

import dataclasses
import pathlib
import secrets

from greengagering.state import _codec
from greengagering.state import _durable_files
from greengagering.state import errors

IDENTITY_NAME = 'identity.json'
"""Holds MessagePack despite its name, which existing folders have."""

INCARNATION_BYTES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class FolderIdentity:
    """Which replica of which cluster a folder belongs to.

    Attributes:
        cluster_id: cluster of the replica.
        replica_id: replica that owns the folder.
        incarnation: random name of this folder; a folder that is formatted
            again gets another one.
    """

    cluster_id: str
    replica_id: str
    incarnation: str


def format_folder(
    path: pathlib.Path, cluster_id: str, replica_id: str
) -> FolderIdentity:
    """Give an empty folder the identity of a new replica.

    Raises:
        FolderIdentityError: the folder already has an identity.
        StorageError: the folder can't be written.
    """
    identity_path = path / IDENTITY_NAME
    if identity_path.exists():
        raise errors.FolderIdentityError(
            f'data folder {path} already belongs to replica '
            f'{read_identity(path).replica_id}'
        )
    identity = FolderIdentity(
        cluster_id=cluster_id,
        replica_id=replica_id,
        incarnation=secrets.token_hex(INCARNATION_BYTES),
    )
    try:
        path.mkdir(parents=True, exist_ok=True)
        _durable_files.write_durably(identity_path, _codec.encode(identity))
    except OSError as error:
        raise errors.StorageError(f'data folder {path}: {error}') from error
    return identity


def is_formatted(path: pathlib.Path) -> bool:
    """Tell whether a folder has an identity."""
    return (path / IDENTITY_NAME).exists()


def read_identity(path: pathlib.Path) -> FolderIdentity:
    """Return the identity of a formatted folder.

    Raises:
        FolderIdentityError: the folder was never formatted.
    """
    try:
        data = (path / IDENTITY_NAME).read_bytes()
    except FileNotFoundError as error:
        raise errors.FolderIdentityError(
            f'data folder {path} has no identity; run "greengagering-control '
            'format" once for a new replica, never to bring back a lost one'
        ) from error
    return _codec.decode(data, FolderIdentity)
