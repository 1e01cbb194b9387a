"""The data folder of one control replica: segments and snapshots."""

import collections
from collections.abc import Callable
import dataclasses
import errno
import os
import pathlib
from typing import BinaryIO
from typing import NoReturn

from greengagering import folder_lock
from greengagering import logs
from greengagering.state import _codec
from greengagering.state import _durable_files
from greengagering.state import _folder_identity
from greengagering.state import _frames
from greengagering.state import _log_model
from greengagering.state import errors

SNAPSHOT_NAME = 'snapshot.bin'
SEGMENT_PREFIX = 'segment-'
SEGMENT_DIGITS = 12
FULL_ERRNOS = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)


@dataclasses.dataclass(frozen=True, slots=True)
class _EndedSync:
    """A sync that has ended, and the length of the segment that it covers."""

    segment_number: int
    covered_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Batch:
    """Body of one frame: a vote, entries, both, or just synced_bytes.

    Attributes:
        vote: the new vote, or None if it is unchanged.
        entries: entries that replace the log from the first one's index on.
        snapshot_index: set only in a segment's first frame: if a snapshot at
            this or a later index is durable, the frame's entries replace the
            whole log before the frame.
        synced_bytes: length of the segment that was known to be synced when
            the frame was written. Former versions don't write it, and ignore
            it.
    """

    vote: _log_model.Vote | None
    entries: list[_log_model.LogEntry]
    snapshot_index: int | None = None
    synced_bytes: int | None = None


def open_folder(
    path: pathlib.Path, cluster_id: str, replica_id: str
) -> 'DataFolder':
    """Lock and open the folder of a replica.

    Raises:
        FolderIdentityError: the folder belongs to another replica.
        FolderLockedError: another process has it open.
    """
    identity = _folder_identity.read_identity(path)
    wanted = (cluster_id, replica_id)
    if (identity.cluster_id, identity.replica_id) != wanted:
        raise errors.FolderIdentityError(
            f'data folder {path} belongs to replica {identity.replica_id} of '
            f'cluster {identity.cluster_id}, and the settings name '
            f'replica_id {replica_id} of cluster_id {cluster_id}'
        )
    return DataFolder(path, identity, _lock_folder(path))


class DataFolder:
    """LogStorage on disk.

    Votes and entries are appended to one segment at a time, one checksummed
    frame for each batch. A snapshot starts a new segment, and the older ones
    are removed after it is durable.

    Each frame tells up to where the segment was known to be synced, because
    a power loss may keep a write and lose one before it while neither is
    synced. What was lost there was never acknowledged, unlike what a frame
    behind it tells to be synced.
    """

    def __init__(
        self,
        path: pathlib.Path,
        identity: _folder_identity.FolderIdentity,
        lock: folder_lock.FolderLock,
    ) -> None:
        self.path = path
        self.identity = identity
        # Bytes written, synced or not; reported as metric synced_bytes.
        self.written_bytes = 0
        self.is_failed = False
        self._lock = lock
        self._segment: BinaryIO | None = None
        self._segment_bytes = 0
        self._synced_bytes = 0
        self._segment_number = 0
        # Filled on other threads, and emptied by the next write.
        self._ended_syncs: collections.deque[_EndedSync] = collections.deque()
        # Where the frames begin that no later one tells to be synced.
        self._untold_starts: list[int] = []
        self._vote = _log_model.Vote(term=0, voted_for='')

    @property
    def locked_at_s(self) -> float:
        """Steady time since which no other process has used the folder."""
        return self._lock.locked_at_s

    def load(self) -> _log_model.StoredLog:
        """Read the snapshot and segments, and cut unsynced writes that tore.

        Raises:
            DamagedSegmentError: synced data is damaged.
            StorageError: the folder can't be read or written.
        """
        try:
            return self._load()
        except OSError as error:
            raise errors.StorageError(
                f'data folder {self.path}: {error}'
            ) from error

    def _load(self) -> _log_model.StoredLog:
        snapshot = self._read_snapshot()
        entries: list[_log_model.LogEntry] = []
        numbers = self._segment_numbers()
        floor = snapshot.index if snapshot else 0
        for number in numbers:
            is_newest = number == numbers[-1]
            self._read_segment(number, entries, floor, is_newest=is_newest)
        entries = [entry for entry in entries if entry.index > floor]
        self._open_segment(numbers[-1] if numbers else 1)
        return _log_model.StoredLog(self._vote, snapshot, entries)

    def save_vote(self, vote: _log_model.Vote) -> None:
        """Append a vote; see LogStorage."""
        self._append_batch(_Batch(vote=vote, entries=[]))
        self._vote = vote

    def append(self, entries: list[_log_model.LogEntry]) -> None:
        """Append entries; see LogStorage."""
        self._append_batch(_Batch(vote=None, entries=entries))

    def write(self, entries: list[_log_model.LogEntry]) -> None:
        """Write entries without a sync; see LogStorage."""
        self._write_batch(_Batch(vote=None, entries=entries))

    def begin_sync(self) -> Callable[[], None]:
        """Return a function that syncs the writes so far; see LogStorage."""
        self._refuse_if_failed()
        if self._segment is None:
            raise errors.StorageError('the data folder is closed')
        # The segment may be closed and replaced while the sync runs.
        descriptor = os.dup(self._segment.fileno())
        ended = _EndedSync(self._segment_number, self._segment_bytes)

        def sync() -> None:
            try:
                os.fsync(descriptor)
            except OSError as error:
                self.is_failed = True
                raise errors.StorageError(
                    f'data folder {self.path}: {error}'
                ) from error
            finally:
                os.close(descriptor)
            self._ended_syncs.append(ended)

        return sync

    def tell_synced(self) -> None:
        """Write how far the segment is synced; see LogStorage.

        A frame that was synced alone needs none: it tells that all before it
        was synced, and the last frame of a file is never told.
        """
        self._take_ended_syncs()
        if self._synced_bytes < self._segment_bytes:
            # The end of the next sync will tell.
            return
        if len(self._untold_starts) < 2:
            return
        try:
            self._write_batch(_Batch(vote=None, entries=[]))
        except errors.StorageFullError as error:
            # The next batch that finds room tells it too.
            logs.info('synced_length_untold', cause=str(error))
            return
        self._untold_starts.clear()

    def save_snapshot(
        self, snapshot: _log_model.Snapshot, tail: list[_log_model.LogEntry]
    ) -> None:
        """Replace the log before a snapshot; see LogStorage."""
        self._refuse_if_failed()
        # Until the snapshot is durable, the new segment continues the present
        # one, so a power loss must not tear that any more.
        self._sync_segment()
        try:
            # The new segment becomes durable before its snapshot, so a crash
            # between the two leaves the old log complete.
            self._start_segment(snapshot, tail)
            frame = _frames.pack_frame(_codec.encode(snapshot))
            _durable_files.write_durably(self.path / SNAPSHOT_NAME, frame)
            self._remove_old_segments()
        except OSError as error:
            self._undo_segment()
            self._undo_write(error)

    def close(self) -> None:
        """Release the files and the lock."""
        if self._segment is not None:
            self._segment.close()
            self._segment = None
        self._lock.release()

    def _read_snapshot(self) -> _log_model.Snapshot | None:
        path = self.path / SNAPSHOT_NAME
        if not path.exists():
            return None
        data = path.read_bytes()
        scan = _frames.scan_frames(data)
        if scan.intact_bytes < len(data):
            raise errors.DamagedSegmentError(str(path), scan.intact_bytes)
        return _codec.decode(scan.bodies[0], _log_model.Snapshot)

    def _read_segment(
        self,
        number: int,
        entries: list[_log_model.LogEntry],
        floor: int,
        *,
        is_newest: bool,
    ) -> None:
        path = self._segment_path(number)
        data = path.read_bytes()
        scan = _frames.scan_frames(data)
        is_damaged = scan.intact_bytes < len(data)
        # A later segment is started only after a sync of the earlier ones.
        if is_damaged and not (is_newest and _is_torn(scan)):
            raise errors.DamagedSegmentError(str(path), scan.intact_bytes)
        for body in scan.bodies:
            batch = _codec.decode(body, _Batch)
            if batch.vote is not None:
                self._vote = batch.vote
            replaces_log = batch.snapshot_index is not None
            if replaces_log and floor >= (batch.snapshot_index or 0):
                entries.clear()
            _replace_tail(entries, batch.entries)
        if is_damaged:
            logs.info(
                'unsynced_writes_cut',
                segment=number,
                offset_bytes=scan.intact_bytes,
                cut_bytes=len(data) - scan.intact_bytes,
                intact_records_cut=len(scan.later_bodies),
            )
        if is_newest:
            # A process that ended without a power loss leaves its unsynced
            # writes; from here on they count as synced.
            with open(path, 'r+b') as segment:
                segment.truncate(scan.intact_bytes)
                os.fsync(segment.fileno())

    def _segment_numbers(self) -> list[int]:
        names = [p.name for p in self.path.glob(f'{SEGMENT_PREFIX}*')]
        whole = [
            n for n in names if not n.endswith(_durable_files.TEMPORARY_SUFFIX)
        ]
        return sorted(int(name.removeprefix(SEGMENT_PREFIX)) for name in whole)

    def _segment_path(self, number: int) -> pathlib.Path:
        return self.path / f'{SEGMENT_PREFIX}{number:0{SEGMENT_DIGITS}d}'

    def _open_segment(self, number: int) -> None:
        if self._segment is not None:
            self._segment.close()
        path = self._segment_path(number)
        is_new = not path.exists()
        self._segment = open(path, 'ab', buffering=0)  # noqa: SIM115
        self._segment_number = number
        self._segment_bytes = path.stat().st_size
        self._synced_bytes = self._segment_bytes
        self._untold_starts.clear()
        if is_new:
            _durable_files.sync_folder(self.path)

    def _start_segment(
        self, snapshot: _log_model.Snapshot, tail: list[_log_model.LogEntry]
    ) -> None:
        number = self._segment_number + 1
        kept = [entry for entry in tail if entry.index > snapshot.index]
        batch = _Batch(
            self._vote, kept, snapshot_index=snapshot.index, synced_bytes=0
        )
        frame = _frames.pack_frame(_codec.encode(batch))
        _durable_files.write_durably(self._segment_path(number), frame)
        self._open_segment(number)

    def _remove_old_segments(self) -> None:
        for number in self._segment_numbers():
            if number < self._segment_number:
                self._segment_path(number).unlink()
        _durable_files.sync_folder(self.path)

    def _append_batch(self, batch: _Batch) -> None:
        self._write_batch(batch)
        self._sync_segment()
        self.tell_synced()

    def _sync_segment(self) -> None:
        """Make the writes so far durable, if no sync has done so.

        Raises:
            StorageError: the disk refuses.
        """
        self._take_ended_syncs()
        if self._segment is None or self._synced_bytes == self._segment_bytes:
            return
        try:
            os.fsync(self._segment.fileno())
        except OSError as error:
            self._fail(error)
        self._synced_bytes = self._segment_bytes

    def _take_ended_syncs(self) -> None:
        """Raise the synced length by what ended syncs cover."""
        while self._ended_syncs:
            ended = self._ended_syncs.popleft()
            # A sync may end after a snapshot has replaced its segment.
            if ended.segment_number == self._segment_number:
                self._synced_bytes = max(
                    self._synced_bytes, ended.covered_bytes
                )

    def _write_batch(self, batch: _Batch) -> None:
        self._refuse_if_failed()
        if self._segment is None:
            raise errors.StorageError('the data folder is closed')
        self._take_ended_syncs()
        batch = dataclasses.replace(batch, synced_bytes=self._synced_bytes)
        frame = _frames.pack_frame(_codec.encode(batch))
        try:
            _write_all(self._segment, frame)
        except OSError as error:
            self._undo_write(error)
        self._untold_starts = [
            start
            for start in self._untold_starts
            if start >= self._synced_bytes
        ]
        self._untold_starts.append(self._segment_bytes)
        self._segment_bytes += len(frame)
        self.written_bytes += len(frame)

    def _refuse_if_failed(self) -> None:
        if self.is_failed:
            raise errors.StorageError(
                f'data folder {self.path} failed a write or fsync; restart '
                'the process after the disk has been repaired'
            )

    def _undo_write(self, error: OSError) -> NoReturn:
        """Cut off a partial write to a full disk; else refuse further writes.

        Raises:
            StorageFullError: the disk is full; a later write may succeed.
            StorageError: no write is possible until the folder is reopened.
        """
        if error.errno not in FULL_ERRNOS or self._segment is None:
            self._fail(error)
        try:
            os.ftruncate(self._segment.fileno(), self._segment_bytes)
        except OSError as cut_error:
            self._fail(cut_error)
        raise errors.StorageFullError(
            f'data folder {self.path} is full'
        ) from error

    def _undo_segment(self) -> None:
        """Remove a segment that was not started completely.

        When the folder is opened again, its copy of the log would replace
        what was appended to the present segment.
        """
        path = self._segment_path(self._segment_number + 1)
        try:
            path.unlink(missing_ok=True)
            _durable_files.sync_folder(self.path)
        except OSError as error:
            self._fail(error)

    def _fail(self, error: OSError) -> NoReturn:
        """Refuse further writes.

        After a failed fsync, also one for lack of space, the kernel may have
        dropped the dirty pages, so the content of the file is unknown until
        it is read again.

        Raises:
            StorageError: always.
        """
        self.is_failed = True
        raise errors.StorageError(
            f'data folder {self.path}: {error}'
        ) from error


def _is_torn(scan: _frames.FrameScan) -> bool:
    """Tell whether the damage behind the intact frames is in unsynced writes.

    An intact frame behind the damage tells whether it was synced. A frame of a
    former version doesn't tell, so it counts as if it was.
    """
    for body in scan.later_bodies:
        try:
            synced_bytes = _codec.decode(body, _Batch).synced_bytes
        except errors.DecodeError:
            return False
        if synced_bytes is None or synced_bytes > scan.intact_bytes:
            return False
    return True


def _replace_tail(
    entries: list[_log_model.LogEntry], newer: list[_log_model.LogEntry]
) -> None:
    """Append newer entries over any older ones at the same indexes."""
    if not newer:
        return
    while entries and entries[-1].index >= newer[0].index:
        entries.pop()
    entries.extend(newer)


def _lock_folder(path: pathlib.Path) -> folder_lock.FolderLock:
    try:
        return folder_lock.lock_folder(path)
    except BlockingIOError as error:
        raise errors.FolderLockedError(
            f'data folder {path} is in use by another process'
        ) from error


def _write_all(file: BinaryIO, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[file.write(view) :]
