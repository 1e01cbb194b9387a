"""Errors of the state layer."""


class StateError(Exception):
    """Base class of every error that the state layer raises."""


class DecodeError(StateError):
    """Bytes that don't encode a value of the wanted type.

    Attributes:
        cause: what is wrong, without the type's name.
    """

    def __init__(self, kind_name: str, cause: str) -> None:
        self.cause = cause
        super().__init__(f'not a {kind_name}: {cause}')


class EncodeError(StateError):
    """A value that has no encoding, such as a number of over 64 bits."""


class StorageError(StateError):
    """The data folder can't be read or written safely."""


class DamagedSegmentError(StorageError):
    """A segment or snapshot holds a damaged frame that isn't a torn tail.

    Only the newest segment may have a torn tail. In an older segment and in
    the snapshot any damaged frame is an error, so the message speaks of intact
    records also where none follow in the file.

    Attributes:
        path: file that holds the damage.
        offset_bytes: position of the damaged frame.
    """

    def __init__(self, path: str, offset_bytes: int) -> None:
        self.path = path
        self.offset_bytes = offset_bytes
        super().__init__(
            f'segment {path} is damaged at offset {offset_bytes}, and intact '
            'records follow; move the data folder away and replace this '
            'replica under a new replica_id (docs/OPERATIONS.md)'
        )


class FolderLockedError(StorageError):
    """Another process holds the lock of the data folder."""


class FolderIdentityError(StorageError):
    """The data folder belongs to another replica or to none."""


class StorageFullError(StorageError):
    """A disk, quota or file size limit is reached; the data isn't durable."""
