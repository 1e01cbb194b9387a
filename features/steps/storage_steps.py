"""Steps about the data folder of a control replica."""

from collections.abc import Iterator
import contextlib
import errno
import fcntl
import os
import pathlib
import resource
import shutil
from typing import Any
from unittest import mock

from behave import given
from behave import then
from behave import when

from greengagering import clock
from greengagering import folder_lock
from greengagering import state
from greengagering.state import errors

CLUSTER = 'features'
REPLICA = 'control-1'
MEMBERSHIP = state.Membership(voters=(REPLICA,))
VOTE = state.Vote(7, REPLICA)
NEWER_VOTE = state.Vote(8, REPLICA)
MAX_SNAPSHOT_STEPS = 12


def entry(index: int, term: int = 1) -> state.LogEntry:
    """Return an entry whose payload holds its index."""
    payload = f'payload {index}'.encode()
    return state.LogEntry(index, term, state.EntryKind.COMMAND, payload)


def open_copy(context: Any) -> state.DataFolder:
    """Open a copy of the folder."""
    return state.open_folder(context.copy, CLUSTER, REPLICA)


def copy_folder(context: Any) -> pathlib.Path:
    """Copy the folder, and return the path of the copy."""
    context.copies = getattr(context, 'copies', 0) + 1
    context.copy = context.folder / f'copy-{context.copies}'
    shutil.copytree(context.data, context.copy)
    return context.copy


def newest_segment(folder: pathlib.Path) -> pathlib.Path:
    """Return the newest segment of a folder."""
    return sorted(folder.glob('segment-*'))[-1]


def snapshot_at(index: int) -> state.Snapshot:
    """Return a snapshot whose data holds its index."""
    return state.Snapshot(index, 1, MEMBERSHIP, b'state at %d' % index)


@given(
    'a data folder with votes, 40 entries, a snapshot at 20 and a rewritten '
    'tail'
)
def make_folder(context: Any) -> None:
    context.data = context.folder / 'data'
    state.format_folder(context.data, CLUSTER, REPLICA)
    folder = state.open_folder(context.data, CLUSTER, REPLICA)
    folder.load()
    folder.save_vote(state.Vote(1, REPLICA))
    folder.append([entry(n) for n in range(1, 31)])
    tail = [entry(n) for n in range(21, 31)]
    folder.save_snapshot(snapshot_at(20), tail)
    folder.append([entry(n) for n in range(31, 46)])
    folder.save_vote(VOTE)
    # A new leader replaces entries that the former one left uncommitted.
    folder.append([entry(n, term=2) for n in range(36, 40)])
    context.last_frame_at = newest_segment(context.data).stat().st_size
    folder.append([entry(40, term=2)])
    folder.close()
    context.entries = [entry(n) for n in range(21, 36)]
    context.entries += [entry(n, term=2) for n in range(36, 41)]


@when('the folder is opened again')
def open_again(context: Any) -> None:
    copy_folder(context)
    context.stored = open_copy(context).load()


@then('it holds the vote, the snapshot and the entries')
def check_stored(context: Any) -> None:
    assert context.stored.vote == VOTE
    assert context.stored.snapshot == snapshot_at(20)
    assert context.stored.entries == context.entries


@when('the newest segment is cut at each length of its last frame')
def cut_tail(context: Any) -> None:
    context.results = []
    size = newest_segment(context.data).stat().st_size
    for length in range(context.last_frame_at, size):
        segment = newest_segment(copy_folder(context))
        with open(segment, 'r+b') as file:
            file.truncate(length)
        folder = open_copy(context)
        context.results.append(folder.load())
        # The lost entry can be appended again in the same place.
        folder.append([entry(40, term=2)])
        folder.close()
        assert open_copy(context).load().entries == context.entries


@then('each opening holds every entry but those of the last frame')
def check_cut(context: Any) -> None:
    assert len(context.results) > 20
    for stored in context.results:
        assert stored.entries == context.entries[:-1]
        assert stored.vote == VOTE


def _flip(path: pathlib.Path, offset: int) -> None:
    data = bytearray(path.read_bytes())
    data[offset] ^= 0xFF
    path.write_bytes(data)


@when(
    'each byte before the last frame of the newest segment is damaged in turn'
)
def damage_each(context: Any) -> None:
    context.refusals = []
    copy_folder(context)
    segment = newest_segment(context.copy)
    for offset in range(context.last_frame_at):
        _flip(segment, offset)
        context.refusals.append(_refusal(context))
        _flip(segment, offset)


@when(
    'two entries are written without a sync, and a power loss keeps only the '
    'second'
)
def lose_first_write(context: Any) -> None:
    copy_folder(context)
    segment = newest_segment(context.copy)
    folder = open_copy(context)
    folder.load()
    first_at = segment.stat().st_size
    folder.write([entry(41, term=2)])
    second_at = segment.stat().st_size
    folder.write([entry(42, term=2)])
    folder.close()
    with open(segment, 'r+b') as file:
        file.seek(first_at)
        file.write(bytes(second_at - first_at))
    assert _refusal(context) is None, 'the folder is refused as damaged'
    context.stored = open_copy(context).load()


@when('a byte of the snapshot is damaged')
def damage_snapshot(context: Any) -> None:
    copy_folder(context)
    _flip(context.copy / 'snapshot.bin', 40)
    context.refusals = [_refusal(context)]


def _refusal(context: Any) -> errors.DamagedSegmentError | None:
    folder = open_copy(context)
    try:
        folder.load()
    except errors.DamagedSegmentError as error:
        return error
    finally:
        folder.close()
    return None


@then('the opening is refused with the file, an offset and the remedy')
@then('each opening is refused with the file, an offset and the remedy')
def check_refusals(context: Any) -> None:
    assert context.refusals
    for refusal in context.refusals:
        assert refusal is not None
        assert str(context.copy) in refusal.path
        assert refusal.offset_bytes >= 0
        assert 'replace this replica' in str(refusal)


@when('a snapshot at 30 is saved and each step of it is cut short in turn')
def cut_snapshot(context: Any) -> None:
    tail = context.entries[10:]
    context.results = []
    old = copy_folder(context)
    new = copy_folder(context)
    folder = open_copy(context)
    folder.load()
    folder.save_snapshot(snapshot_at(30), tail)
    folder.close()
    # First a crash between the new segment and the snapshot, then one between
    # the snapshot and the removal of the old segment.
    for has_snapshot in (False, True):
        copy_folder(context)
        shutil.copy(newest_segment(new), context.copy)
        if has_snapshot:
            shutil.copy(new / 'snapshot.bin', context.copy)
        (context.copy / 'snapshot.bin.tmp').write_bytes(b'half of a sna')
        assert newest_segment(old) != newest_segment(context.copy)
        context.results.append(open_copy(context).load())


@then('each opening holds entries 31 to 40 and a state up to 30')
def check_snapshot_cut(context: Any) -> None:
    before, after = context.results
    assert before.snapshot == snapshot_at(20)
    assert before.entries == context.entries
    assert after.snapshot == snapshot_at(30)
    assert after.entries == context.entries[10:]
    assert before.vote == after.vote == VOTE


@when(
    'a snapshot at 50 with no tail is saved and the old segment stays behind'
)
def install_snapshot(context: Any) -> None:
    copy_folder(context)
    old_segment = newest_segment(context.copy)
    kept = old_segment.read_bytes()
    folder = open_copy(context)
    folder.load()
    # Entries of another leader that lie beyond the snapshot and conflict
    # with it.
    folder.append([entry(n, term=2) for n in range(41, 61)])
    kept = old_segment.read_bytes()
    folder.save_snapshot(snapshot_at(50), [])
    folder.close()
    old_segment.write_bytes(kept)
    context.stored = open_copy(context).load()


@then('the opening holds the snapshot at 50 and no entries')
def check_installed(context: Any) -> None:
    assert context.stored.snapshot == snapshot_at(50)
    assert context.stored.entries == []
    assert context.stored.vote == VOTE


@when('the folder is opened while it is open')
def open_twice(context: Any) -> None:
    copy_folder(context)
    first = open_copy(context)
    try:
        open_copy(context)
        context.error = ''
    except errors.FolderLockedError as error:
        context.error = str(error)
    finally:
        first.close()


@then('the second opening says that another process uses it')
def check_locked(context: Any) -> None:
    assert 'in use by another process' in context.error


@given('a folder that a process locks early')
def lock_early(context: Any) -> None:
    copy_folder(context)
    folder_lock.lock_early(context.copy)
    context.early_until_s = clock.steady_s()


@then("another process can't lock it")
def check_locked_for_others(context: Any) -> None:
    with open(context.copy / folder_lock.LOCK_NAME, 'ab') as file:
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            return
    raise AssertionError('the folder is not locked')


@when('the process opens the folder')
def open_locked(context: Any) -> None:
    context.opened = open_copy(context)


@then('the folder counts as locked since the early lock, until it is closed')
def check_early_lock(context: Any) -> None:
    assert context.opened.locked_at_s <= context.early_until_s
    check_locked_for_others(context)
    context.opened.close()
    open_copy(context).close()


@when("the folder can't grow and an entry is appended")
def append_to_full(context: Any) -> None:
    copy_folder(context)
    context.opened = open_copy(context)
    context.opened.load()
    size = newest_segment(context.copy).stat().st_size
    limits = resource.getrlimit(resource.RLIMIT_FSIZE)
    resource.setrlimit(resource.RLIMIT_FSIZE, (size + 10, limits[1]))
    context.error = ''
    try:
        context.opened.append([entry(41, term=2)])
    except errors.StorageFullError as error:
        context.error = str(error)
    finally:
        resource.setrlimit(resource.RLIMIT_FSIZE, limits)


@then('the append is refused because the folder is full')
def check_full(context: Any) -> None:
    assert f'data folder {context.copy} is full' in context.error


@when('the folder can grow and the same entry is appended')
def append_again(context: Any) -> None:
    context.opened.append([entry(41, term=2)])
    context.opened.close()


@then('the entry is read back once')
def check_once(context: Any) -> None:
    stored = open_copy(context).load()
    assert stored.entries == [*context.entries, entry(41, term=2)]


@when('an entry is appended and its sync fails for lack of space')
def fail_sync(context: Any) -> None:
    copy_folder(context)
    context.opened = open_copy(context)
    context.opened.load()
    context.refusals = []
    full = OSError(errno.ENOSPC, 'no space')
    with mock.patch.object(os, 'fsync', side_effect=full):
        append_refused(context, 41)
    append_refused(context, 41)


def append_refused(context: Any, index: int) -> None:
    """Append an entry, and record the error."""
    try:
        context.opened.append([entry(index, term=2)])
    except errors.StorageError as error:
        context.refusals.append(error)


@then('the append is refused and the next one too')
def check_both_refused(context: Any) -> None:
    assert len(context.refusals) == 2
    assert not any(
        isinstance(error, errors.StorageFullError)
        for error in context.refusals
    )


@then('every acknowledged entry is read back when the folder is opened anew')
def check_acknowledged(context: Any) -> None:
    context.opened.close()
    context.stored = open_copy(context).load()
    assert context.stored.entries[: len(context.entries)] == context.entries


@when(
    'the disk is full at each step of a snapshot in turn and an entry is '
    'appended after it'
)
def fail_snapshot(context: Any) -> None:
    context.results = []
    failed_steps = 0
    for step in range(MAX_SNAPSHOT_STEPS):
        copy_folder(context)
        folder = open_copy(context)
        folder.load()
        with full_after(step) as calls:
            try:
                folder.save_snapshot(snapshot_at(30), context.entries[10:])
            except errors.StorageFullError:
                failed_steps += 1
        folder.save_vote(NEWER_VOTE)
        folder.append([entry(41, term=2)])
        folder.close()
        context.results.append(open_copy(context).load())
        if calls[0] <= step:
            break
    assert failed_steps == len(context.results) - 1 >= 4


@contextlib.contextmanager
def full_after(count: int) -> Iterator[list[int]]:
    """Let a number of syncs succeed, and refuse later ones for space.

    Yields:
        A list that holds the number of syncs asked for.
    """
    calls = [0]
    sync = os.fsync

    def limited(descriptor: int) -> None:
        calls[0] += 1
        if calls[0] == count + 1:
            raise OSError(errno.ENOSPC, 'no space')
        sync(descriptor)

    with mock.patch.object(os, 'fsync', limited):
        yield calls


@then('each opening holds every entry and the newest vote')
def check_nothing_lost(context: Any) -> None:
    expected = [*context.entries, entry(41, term=2)]
    for stored in context.results:
        first = stored.snapshot.index + 1
        assert stored.entries == [e for e in expected if e.index >= first]
        assert stored.vote == NEWER_VOTE


@then('a snapshot succeeds once there is space again')
def check_snapshot_again(context: Any) -> None:
    folder = open_copy(context)
    stored = folder.load()
    folder.save_snapshot(snapshot_at(40), stored.entries[-1:])
    folder.close()
    stored = open_copy(context).load()
    assert stored.snapshot == snapshot_at(40)
    assert stored.entries == [entry(41, term=2)]
