"""A data folder that loses power at random, and what it may hold then."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import os
import pathlib
import random
from typing import Any
from unittest import mock

from greengagering import state

CLUSTER = 'features'
REPLICA = 'control-1'
MEMBERSHIP = state.Membership(voters=(REPLICA,))
ROUNDS = 5
SECTOR_BYTES = 64
"""What a power loss keeps or loses as a whole; small, so that it splits
frames."""


class PowerLossError(Exception):
    """The power is lost during a sync."""


@dataclasses.dataclass
class PowerModel:
    """A folder under random writes, and what its disk holds for sure.

    Attributes:
        synced_bytes: synced length of each file, by inode.
        outcomes: logs that a power loss may leave: the last one that was
            synced, and those after each later write.
    """

    rng: random.Random
    path: pathlib.Path
    synced_bytes: dict[int, int] = dataclasses.field(default_factory=dict)
    outcomes: list[state.StoredLog] = dataclasses.field(default_factory=list)
    syncs_left: int = 1000
    losses_cut: int = 0

    def run(self) -> None:
        """Write, lose power and open the folder a few times."""
        state.format_folder(self.path, CLUSTER, REPLICA)
        self.outcomes = [state.StoredLog(state.Vote(0, ''), None, [])]
        for _ in range(ROUNDS):
            self.synced_bytes.clear()
            folder = state.open_folder(self.path, CLUSTER, REPLICA)
            stored = folder.load()
            assert stored in self.outcomes, (stored, self.outcomes)
            self.outcomes = [stored]
            for path in self.path.glob('segment-*'):
                self.synced_bytes[path.stat().st_ino] = path.stat().st_size
            with self._watch_syncs():
                self._write(folder)
            folder.close()
            self._lose()

    def _write(self, folder: state.DataFolder) -> None:
        self.syncs_left = self.rng.choice((1000, self.rng.randint(0, 12)))
        syncs: list[tuple[state.StoredLog, Callable[[], None]]] = []
        actions = (
            self._write_entries,
            self._write_entries,
            self._append,
            self._vote,
            self._snapshot,
        )
        with contextlib.suppress(PowerLossError):
            for _ in range(self.rng.randint(1, 12)):
                draw = self.rng.random()
                if draw < 0.2 and not syncs:
                    syncs.append((self.outcomes[-1], folder.begin_sync()))
                elif draw < 0.4 and syncs:
                    covered, sync = syncs.pop()
                    sync()
                    if self.rng.random() < 0.5:
                        folder.tell_synced()
                    # Unless a later sync or snapshot has covered it.
                    if covered in self.outcomes:
                        del self.outcomes[: self.outcomes.index(covered)]
                else:
                    self.rng.choice(actions)(folder)

    def _next_entries(self, first: int) -> list[state.LogEntry]:
        count = self.rng.randint(1, 3)
        payload = self.rng.randbytes(self.rng.choice((1, 100, 400)))
        kind = state.EntryKind.COMMAND
        return [
            state.LogEntry(index, 1, kind, payload)
            for index in range(first, first + count)
        ]

    def _last_index(self) -> int:
        last = self.outcomes[-1]
        if last.entries:
            return last.entries[-1].index
        return last.snapshot.index if last.snapshot else 0

    def _write_entries(self, folder: state.DataFolder) -> None:
        entries = self._next_entries(self._last_index() + 1)
        last = self.outcomes[-1]
        folder.write(entries)
        self._add(entries=last.entries + entries)

    def _append(self, folder: state.DataFolder) -> None:
        last = self.outcomes[-1]
        base = last.snapshot.index if last.snapshot else 0
        first = self.rng.randint(base + 1, self._last_index() + 1)
        entries = self._next_entries(first)
        kept = [e for e in last.entries if e.index < first]
        self._add(entries=kept + entries)
        folder.append(entries)
        del self.outcomes[:-1]

    def _vote(self, folder: state.DataFolder) -> None:
        vote = state.Vote(self.outcomes[-1].vote.term + 1, REPLICA)
        self._add(vote=vote)
        folder.save_vote(vote)
        del self.outcomes[:-1]

    def _snapshot(self, folder: state.DataFolder) -> None:
        last = self.outcomes[-1]
        if not last.entries:
            return
        index = self.rng.choice(last.entries).index
        tail = [e for e in last.entries if e.index > index]
        self._add(snapshot=_snapshot_at(index), entries=tail)
        folder.save_snapshot(_snapshot_at(index), tail)
        del self.outcomes[:-1]

    def _add(self, **changes: Any) -> None:
        last = self.outcomes[-1]
        self.outcomes.append(dataclasses.replace(last, **changes))

    @contextlib.contextmanager
    def _watch_syncs(self) -> Iterator[None]:
        def watch(descriptor: int) -> None:
            if not self.syncs_left:
                raise PowerLossError
            self.syncs_left -= 1
            status = os.fstat(descriptor)
            self.synced_bytes[status.st_ino] = status.st_size

        with mock.patch.object(os, 'fsync', watch):
            yield

    def _lose(self) -> None:
        """Lose what was not synced, by sectors, and maybe the rest."""
        for path in self.path.glob('segment-*[0-9]'):
            data = path.read_bytes()
            synced = self.synced_bytes.get(path.stat().st_ino, 0)
            kept = data[:synced]
            while len(kept) < len(data):
                sector = data[len(kept) : len(kept) + SECTOR_BYTES]
                is_kept = self.rng.random() < 0.7
                kept += sector if is_kept else bytes(len(sector))
            if self.rng.random() < 0.3:
                kept = kept[: self.rng.randint(synced, len(kept))]
            self.losses_cut += kept != data
            path.write_bytes(kept)


def _snapshot_at(index: int) -> state.Snapshot:
    return state.Snapshot(index, 1, MEMBERSHIP, b'state at %d' % index)
