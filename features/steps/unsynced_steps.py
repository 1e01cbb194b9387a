"""Steps about power losses that tear unsynced writes of a data folder."""

from concurrent import futures
import dataclasses
import pathlib
import random
import resource
from typing import Any

from behave import given
from behave import then
from behave import when
import msgspec

from features.steps.storage_steps import copy_folder
from features.steps.storage_steps import entry
from features.steps.storage_steps import NEWER_VOTE
from features.steps.storage_steps import newest_segment
from features.steps.storage_steps import open_copy
from features.steps.storage_steps import snapshot_at
from features.support import power_model
from greengagering import state
from greengagering.state import _frames
from greengagering.state import errors


WRITES_BESIDE_SYNCS = 60
WRITES_WITHOUT_WAIT = 10
"""Number of writes after which a sync has ended, however slow the disk is."""


class FormerBatch(msgspec.Struct):
    """Body of a frame as the former version reads and writes it."""

    vote: state.Vote | None
    entries: list[state.LogEntry]
    snapshot_index: int | None = None


@dataclasses.dataclass
class Segment:
    """A folder that is written to, and where the frames of its writes begin.

    Attributes:
        frames: begin and end of the frame that holds each entry, by index.
    """

    folder: state.DataFolder
    path: pathlib.Path
    frames: dict[int, tuple[int, int]] = dataclasses.field(
        default_factory=dict
    )

    def write(self, *indexes: int) -> None:
        """Write entries without a sync, each in a frame of its own."""
        for index in indexes:
            begin = self.path.stat().st_size
            self.folder.write([entry(index, term=2)])
            self.frames[index] = (begin, self.path.stat().st_size)

    def sync(self) -> None:
        """Sync what was written."""
        self.folder.begin_sync()()

    def lose(self, *indexes: int) -> None:
        """Overwrite the frames of entries with zeros."""
        with open(self.path, 'r+b') as file:
            for index in indexes:
                begin, end = self.frames[index]
                file.seek(begin)
                file.write(bytes(end - begin))


def open_segment(context: Any) -> Segment:
    """Open a copy of the folder for writing."""
    copy_folder(context)
    folder = open_copy(context)
    folder.load()
    return Segment(folder, newest_segment(context.copy))


def lose_power(context: Any, segment: Segment, *indexes: int) -> None:
    """End the process, lose the frames of entries, and open the folder."""
    segment.folder.close()
    segment.lose(*indexes)
    folder = open_copy(context)
    context.error = None
    try:
        context.stored = folder.load()
    except errors.DamagedSegmentError as error:
        context.error = error
        context.lost_at = segment.frames[min(indexes)][0]
    finally:
        folder.close()


@when(
    'five entries are written without a sync, and a power loss loses the '
    'second and the fourth'
)
def lose_two(context: Any) -> None:
    segment = open_segment(context)
    segment.write(41, 42, 43, 44, 45)
    lose_power(context, segment, 42, 44)


@when(
    'an entry is written and synced, a second and a third one are written, '
    'and the {lost} is lost'
)
def lose_of_three(context: Any, lost: str) -> None:
    segment = open_segment(context)
    segment.write(41)
    segment.sync()
    segment.write(42, 43)
    lose_power(context, segment, {'first': 41, 'second': 42}[lost])


@when(
    'a sync begins between two writes and ends after them, a third entry is '
    'written, and the {lost} is lost'
)
def lose_beside_sync(context: Any, lost: str) -> None:
    segment = open_segment(context)
    segment.write(41)
    sync = segment.folder.begin_sync()
    segment.write(42)
    sync()
    segment.write(43)
    lose_power(context, segment, {'first': 41, 'second': 42}[lost])


@when(
    'two entries are written without a sync, a vote is saved, and the first '
    'entry is lost'
)
def lose_before_vote(context: Any) -> None:
    segment = open_segment(context)
    segment.write(41, 42)
    segment.folder.save_vote(NEWER_VOTE)
    lose_power(context, segment, 41)


@when(
    'two entries are written, a sync of both ends and is told, and the first '
    'entry is lost'
)
def lose_after_sync(context: Any) -> None:
    segment = open_segment(context)
    segment.write(41, 42)
    segment.sync()
    segment.folder.tell_synced()
    lose_power(context, segment, 41)


@when('five entries are appended, and as many written and synced one by one')
def write_one_by_one(context: Any) -> None:
    segment = open_segment(context)
    context.frames_before = count_frames(segment)
    for index in range(41, 46):
        segment.folder.append([entry(index, term=2)])
    for index in range(46, 51):
        segment.write(index)
        segment.sync()
        segment.folder.tell_synced()
    segment.folder.close()
    context.frames_after = count_frames(segment)


def count_frames(segment: Segment) -> int:
    """Return the number of frames of a segment."""
    return len(_frames.scan_frames(segment.path.read_bytes()).bodies)


@then('the segment holds ten records more')
def check_ten(context: Any) -> None:
    assert context.frames_after == context.frames_before + 10


@when(
    'two entries are written, and a vote is saved in the last room of the '
    'folder'
)
def vote_in_last_room(context: Any) -> None:
    segment = open_segment(context)
    segment.write(41, 42)
    size = segment.path.stat().st_size
    batch = FormerBatch(NEWER_VOTE, [])
    vote_bytes = len(_frames.pack_frame(msgspec.msgpack.encode(batch)))
    limits = resource.getrlimit(resource.RLIMIT_FSIZE)
    # The vote's frame is somewhat longer, and another one takes more.
    room_bytes = size + vote_bytes + 30
    resource.setrlimit(resource.RLIMIT_FSIZE, (room_bytes, limits[1]))
    try:
        segment.folder.save_vote(NEWER_VOTE)
    finally:
        resource.setrlimit(resource.RLIMIT_FSIZE, limits)
    assert segment.path.stat().st_size > size
    segment.folder.close()
    context.stored = open_copy(context).load()


@then('the vote is acknowledged, and read back with the entries')
def check_vote_kept(context: Any) -> None:
    added = [entry(41, term=2), entry(42, term=2)]
    assert context.stored.vote == NEWER_VOTE
    assert context.stored.entries == context.entries + added


@when(
    'a sync begins, a snapshot at 80 starts another segment, the sync ends, '
    'two entries are written, and the first is lost'
)
def lose_after_snapshot(context: Any) -> None:
    segment = open_segment(context)
    segment.write(*range(41, 81))
    sync = segment.folder.begin_sync()
    segment.folder.save_snapshot(snapshot_at(80), [])
    segment.path = newest_segment(context.copy)
    segment.write(81)
    sync()
    segment.write(82)
    lose_power(context, segment, 81)


@then('it holds the snapshot at 80 and no entries')
def check_snapshot_only(context: Any) -> None:
    assert context.error is None, context.error
    assert context.stored.snapshot == snapshot_at(80)
    assert context.stored.entries == []


@when('entries are written while syncs run on another thread')
def write_beside_syncs(context: Any) -> None:
    segment = open_segment(context)
    context.synced = 40
    running: tuple[int, futures.Future[None]] | None = None
    with futures.ThreadPoolExecutor(1) as pool:
        for index in range(41, 41 + WRITES_BESIDE_SYNCS):
            if running is not None and index % WRITES_WITHOUT_WAIT == 0:
                futures.wait([running[1]])
            if running is not None and running[1].done():
                context.synced, running = running[0], None
            if running is None:
                sync = segment.folder.begin_sync()
                running = (index - 1, pool.submit(sync))
            segment.write(index)
            context.told = context.synced
    context.segment = segment


@then('damage of what a sync covered is refused, and any later one is cut')
def check_each_loss(context: Any) -> None:
    segment = context.segment
    segment.folder.close()
    data = segment.path.read_bytes()
    last = 40 + WRITES_BESIDE_SYNCS
    assert 41 < context.told < last, context.told
    for index in range(41, last):
        segment.path.write_bytes(data)
        lose_power(context, segment, index)
        if index <= context.told:
            assert context.error is not None, index
        elif context.error is None:
            # Else the folder saw the end of a sync before the writer did.
            assert context.stored.entries[-1].index == index - 1, index


@then('the last entry that it holds is {index:d}')
def check_last(context: Any, index: int) -> None:
    assert context.error is None, context.error
    assert context.stored.entries[-1].index == index, context.stored


@then('another entry {index:d} is read back, and nothing behind it')
def check_nothing_behind(context: Any, index: int) -> None:
    folder = open_copy(context)
    folder.load()
    folder.append([entry(index, term=3)])
    folder.close()
    folder = open_copy(context)
    stored = folder.load()
    folder.close()
    assert stored.entries[:-1] == context.stored.entries
    assert stored.entries[-1] == entry(index, term=3)


@then('the opening is refused at what was lost')
def check_refused(context: Any) -> None:
    assert context.error is not None, context.stored.entries[-1]
    assert context.error.offset_bytes == context.lost_at


@given('that the former version wrote the folder')
def make_former(context: Any) -> None:
    path = newest_segment(context.data)
    path.write_bytes(rewrite_by_former(path.read_bytes()))
    body = _frames.scan_frames(path.read_bytes()).bodies[-1]
    last_bytes = len(_frames.pack_frame(body))
    context.last_frame_at = path.stat().st_size - last_bytes


def rewrite_by_former(data: bytes) -> bytes:
    """Return a segment as the former version would have written it."""
    scan = _frames.scan_frames(data)
    assert scan.intact_bytes == len(data)
    bodies = [state.decode(body, FormerBatch) for body in scan.bodies]
    frames = [
        _frames.pack_frame(msgspec.msgpack.encode(body)) for body in bodies
    ]
    return b''.join(frames)


@when(
    'the former version writes two entries without a sync, and a power loss '
    'keeps only the second'
)
def lose_former(context: Any) -> None:
    segment = open_segment(context)
    size = segment.path.stat().st_size
    segment.write(41, 42)
    segment.folder.close()
    data = segment.path.read_bytes()
    first, second = _frames.scan_frames(data[size:]).bodies
    frames = [
        rewrite_by_former(_frames.pack_frame(b)) for b in (first, second)
    ]
    segment.path.write_bytes(data[:size] + b''.join(frames))
    segment.frames[41] = (size, size + len(frames[0]))
    lose_power(context, segment, 41)


@then('the former version reads every entry that this one writes')
def check_former_reads(context: Any) -> None:
    data = newest_segment(context.data).read_bytes()
    bodies = _frames.scan_frames(data).bodies
    batches = [state.decode(body, FormerBatch) for body in bodies]
    indexes = {e.index for batch in batches for e in batch.entries}
    assert indexes >= {e.index for e in context.entries}


@when(
    'a damaged byte in the last record of a former version is followed by two '
    'records of this one'
)
def damage_former(context: Any) -> None:
    segment = open_segment(context)
    begin = segment.path.stat().st_size - 1
    segment.frames[40] = (begin, begin + 1)
    segment.write(41, 42)
    lose_power(context, segment, 40)
    context.lost_at = context.last_frame_at


@when('{count:d} folders lose power at random several times')
def lose_at_random(context: Any, count: int) -> None:
    context.losses_cut = 0
    for seed in range(count):
        path = context.folder / f'random-{seed}'
        model = power_model.PowerModel(random.Random(seed), path)
        try:
            model.run()
        except (AssertionError, errors.StateError) as error:
            raise AssertionError(f'seed {seed}') from error
        context.losses_cut += model.losses_cut


@then('each opening holds all that was synced, and no write behind a lost one')
def check_random(context: Any) -> None:
    assert context.losses_cut > 100, context.losses_cut
