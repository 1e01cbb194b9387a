"""Opens a control replica's data folder, and prepares it for a new one."""

import pathlib
import secrets

from greengagering import logs
from greengagering import protocol
from greengagering import state
from greengagering.state import errors as state_errors
from greengagering.transport import _addresses

REPLICA_ID_SUFFIX_BYTES = 4


def open_own_folder(settings: protocol.ControlSettings) -> state.DataFolder:
    """Open the replica's data folder; where seeds are given, format it first.

    Raises:
        StorageError: the folder belongs to another replica, is in use, or
            can't be written.
    """
    path = pathlib.Path(settings.data_folder)
    if settings.seeds and not state.is_formatted(path):
        # What was not moved when a former start was cut short.
        _move_log(path, cause='the log has no identity')
        replica_id = _create_replica_id(settings, path)
        state.format_folder(path, settings.cluster_id, replica_id)
    own_id = settings.replica_id or state.read_identity(path).replica_id
    return state.open_folder(path, settings.cluster_id, own_id)


def set_log_aside(
    settings: protocol.ControlSettings,
    error: state_errors.DamagedSegmentError,
) -> None:
    """Empty a folder whose log is damaged, and keep the log in a subfolder.

    The next opening gives the folder the identity of a new replica, which
    joins the group like one that lost its disk.

    Raises:
        DamagedSegmentError: there is no other replica to learn from.
        StorageError: the folder can't be written.
    """
    others = [a for a in settings.seeds if a != settings.link_address]
    if not others or settings.voter_count == 1 or settings.replica_id:
        raise error
    _move_log(pathlib.Path(settings.data_folder), cause=str(error))


def address_to_id(address: str) -> str:
    """Return the id of a first voter, which the others derive as well."""
    endpoint = _addresses.parse_address(address)
    return f'{endpoint.host}-{endpoint.port}'


def _move_log(path: pathlib.Path, cause: str) -> None:
    kept_in = state.set_log_aside(path)
    if kept_in is not None:
        logs.error('damaged_log_set_aside', cause=cause, kept_in=str(kept_in))


def _create_replica_id(
    settings: protocol.ControlSettings, path: pathlib.Path
) -> str:
    """Return an id for a replica whose data folder is empty.

    The first voters know each other only by address, so their ids are derived
    from it. A later replica may start at the address of one that lost its
    disk and must not be taken for it, so its id gets a random suffix.
    """
    address = address_to_id(settings.link_address)
    is_first_voter = (
        settings.is_first_start
        and settings.link_address in settings.seeds
        and not state.has_log_aside(path)
    )
    if is_first_voter:
        return address
    return f'{address}-{secrets.token_hex(REPLICA_ID_SUFFIX_BYTES)}'
