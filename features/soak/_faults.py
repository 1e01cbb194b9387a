"""Faults that are injected into processes, links, disks and workers."""

import asyncio
from collections.abc import Callable
import dataclasses
import random
import signal
import time

from features.soak._system import SoakSystem
from features.support import link_proxy
from features.support import processes

SHORT_S = (0.3, 2.0)
"""Range of the duration of short faults: some end before a new leader is
elected, some after."""

LONG_S = (2.0, 6.0)

OVERLAPPING_FAULTS = 3
"""Most faults that are active at the same time."""

CROWDS = (
    'a field value without end',
    'fields without end',
    'empty lines without end',
    'bytes that are not HTTP',
    'whole bodies',
    'bodies in pieces that stop short of their end',
    'chunks of one byte that stop short of their end',
    'trailers without end',
    'nothing',
    'half a head',
    'one request and then nothing',
    'requests whose answers they do not read',
)
"""Crowds that hand in no job, as the callers know of theirs only."""

JUNK_BYTES = 37
"""Length of the random bytes that simulate a write torn by a power loss."""


@dataclasses.dataclass
class Repair:
    """Action that ends a fault, and its time."""

    at_s: float
    fault: str
    undo: Callable[[], None]


class FaultInjector:
    """Injects random faults, some of which overlap."""

    def __init__(self, system: SoakSystem, rng: random.Random) -> None:
        self._system = system
        self._rng = rng
        self._repairs: list[Repair] = []
        self.history: list[str] = []

    def step(self) -> None:
        """End faults that are due; begin one unless too many are active."""
        now_s = time.monotonic()
        due = [r for r in self._repairs if r.at_s <= now_s]
        self._repairs = [r for r in self._repairs if r.at_s > now_s]
        self._end(due)
        if len(self._repairs) < OVERLAPPING_FAULTS:
            self._rng.choice(self._kinds())()

    def end_all(self) -> None:
        """End every fault."""
        self._end(self._repairs)
        self._repairs = []

    def _end(self, repairs: list[Repair]) -> None:
        for repair in repairs:
            self._record(f'end {repair.fault}')
            repair.undo()

    def _kinds(self) -> list[Callable[[], None]]:
        return [
            self._kill,
            self._kill,
            self._pause,
            self._pause,
            self._stop_and_restart,
            self._reload,
            self._power_loss,
            self._switch_off,
            self._lose_disk,
            self._fill_disk,
            self._crash_worker,
            self._crash_worker,
            self._delay_link,
            self._reset_link,
            self._silence_link,
            self._silence_link,
            self._send_crowd,
            self._send_crowd,
        ]

    def _record(self, text: str) -> None:
        self.history.append(f'{time.monotonic():.3f} {text}')

    def _begin(
        self,
        fault: str,
        length_s: tuple[float, float],
        undo: Callable[[], None],
    ) -> None:
        self._record(f'begin {fault}')
        ends_s = time.monotonic() + self._rng.uniform(*length_s)
        self._repairs.append(Repair(ends_s, fault, undo))

    def _pick_running(self) -> str | None:
        names = self._system.running()
        return self._rng.choice(names) if names else None

    def _kill(self) -> None:
        name = self._pick_running()
        if name is not None:
            self._system.kill(name)
            self._begin(
                f'kill {name}', SHORT_S, lambda: self._system.start(name)
            )

    def _pause(self) -> None:
        name = self._pick_running()
        if name is None:
            return
        process = self._system.processes[name]
        process.send_signal(signal.SIGSTOP)
        self._begin(
            f'pause {name}',
            LONG_S if self._rng.random() < 0.4 else SHORT_S,
            lambda: process.send_signal(signal.SIGCONT),
        )

    def _stop_and_restart(self) -> None:
        name = self._pick_running()
        if name is None:
            return
        self._system.ask_to_stop(name)
        self._begin(
            f'stop {name}', LONG_S, lambda: self._system.restart_stopped(name)
        )

    def _reload(self) -> None:
        name = self._pick_running()
        if name is not None:
            self._record(f'reload {name}')
            self._system.change_seeds(name, self._rng)

    def _power_loss(self) -> None:
        """Kill all control replicas at once, some with a torn write."""
        self._kill_all('power loss', self._system.running_controls())

    def _switch_off(self) -> None:
        """Kill the whole system at once; workers run on."""
        self._kill_all('switched off', self._system.running())

    def _kill_all(self, fault: str, names: list[str]) -> None:
        controls = self._system.running_controls()
        for name in names:
            self._system.kill(name)
            if name in controls and self._rng.random() < 0.5:
                junk = self._rng.randbytes(JUNK_BYTES)
                self._system.tear_last_segment(name, junk)

        def restart() -> None:
            for name in names:
                self._system.start(name)

        self._begin(fault, SHORT_S, restart)

    def _lose_disk(self) -> None:
        name = self._system.pick_losable_disk(self._rng)
        if name is None:
            return
        self._system.kill(name)
        self._system.lose_disk(name)
        self._begin(
            f'lost disk of {name}',
            SHORT_S,
            lambda: self._system.start(name),
        )

    def _fill_disk(self) -> None:
        names = self._system.running_controls()
        if not names:
            return
        name = self._rng.choice(names)
        process = self._system.processes[name]
        processes.fill_disk(process.pid, self._system.data_folder(name))
        self._system.full_disks.add(name)

        def free() -> None:
            self._system.full_disks.discard(name)
            if process.poll() is None:
                processes.free_disk(process.pid)

        self._begin(f'full disk of {name}', LONG_S, free)

    def _crash_worker(self) -> None:
        worker = self._rng.choice(self._system.workers).worker
        if not worker.is_up:
            return
        worker.crash()
        self._begin(
            f'crash {worker.worker_id}',
            SHORT_S,
            lambda: worker.start_process(time.monotonic()),
        )

    def _delay_link(self) -> None:
        name, proxy = self._pick_link()
        delay_s = self._rng.uniform(0.05, 0.4)
        self._on_loop(lambda: proxy.set_delay(delay_s, delay_s))
        self._begin(
            f'delay {name} by {delay_s:.2f} s',
            LONG_S,
            lambda: self._on_loop(lambda: proxy.set_delay(0, 0)),
        )

    def _reset_link(self) -> None:
        name, _ = self._pick_link()
        self._record(f'reset {name}')
        self._system.reset_link(name)

    def _silence_link(self) -> None:
        """Hold back data in one or both directions; connections stay open."""
        name, proxy = self._pick_link()

        async def hold(data: bytes) -> bytes:
            await asyncio.sleep(LONG_S[1])
            return data

        reads, writes = self._rng.choice(
            ((hold, None), (None, hold), (hold, hold))
        )
        self._on_loop(lambda: proxy.set_content_processors(reads, writes))

        def heal() -> None:
            self._on_loop(lambda: proxy.set_content_processors(None, None))
            self._system.reset_link(name)

        self._begin(f'silence {name}', LONG_S, heal)

    def _send_crowd(self) -> None:
        name = self._pick_running()
        if name is None:
            return
        what = self._rng.choice(CROWDS)
        leave = self._system.start_crowd(name, what)
        self._begin(f'crowd at {name}: {what}', LONG_S, leave)

    def _pick_link(self) -> tuple[str, link_proxy.LinkProxy]:
        name = self._rng.choice(sorted(self._system.proxies))
        return name, self._system.proxies[name]

    def _on_loop(self, action: Callable[[], None]) -> None:
        self._system.thread.loop.call_soon_threadsafe(action)
