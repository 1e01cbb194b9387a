"""Processes, workers and proxied links that the soak plays with."""

import pathlib
import random
import signal

from features.support import link_proxy
from features.support import platform_workers
from features.support import platform_world
from features.support import ports
from features.support import processes

CONTROLS = 3
ENTRIES = 2
WORKERS = 4

SIGNAL_RATIO = 0.7
"""Changes of settings that are announced by a signal; the rest are silent."""


class SoakSystem(platform_world.PlatformWorld):
    """The platform's world with a proxy before each worker and entry."""

    def __init__(self, folder: pathlib.Path) -> None:
        super().__init__(folder)
        self.proxies: dict[str, link_proxy.LinkProxy] = {}
        self.ended_by_us: set[str] = set()
        self.full_disks: set[str] = set()

    def start_all(self) -> None:
        """Start every process and worker."""
        self.start_controls(CONTROLS)
        for number in range(ENTRIES):
            name = f'entry-{number + 1}'
            self.start_entry(name)
            target = f'{self.hosts[name]}:{self.front_port}'
            self.proxies[name] = self._open_proxy(target)
        for number in range(WORKERS):
            self._start_proxied_worker(f'worker-{number + 1}')

    def close(self) -> None:
        """End everything that the soak started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
        for proxy in self.proxies.values():
            self.thread.run(link_proxy.close_proxy(proxy))
        super().close()

    def running(self) -> list[str]:
        """Return the processes that run and that no fault holds."""
        return [
            name
            for name, process in self.processes.items()
            if process.poll() is None and name not in self.ended_by_us
        ]

    def running_controls(self) -> list[str]:
        """Return the control replicas that no fault holds."""
        return [n for n in self.running() if n.startswith('control')]

    def kill(self, name: str) -> None:
        """End a process without notice."""
        self.ended_by_us.add(name)
        super().kill(name)

    def ask_to_stop(self, name: str) -> None:
        """Send SIGTERM, without waiting for the end."""
        self.ended_by_us.add(name)
        self.processes[name].send_signal(signal.SIGTERM)

    def restart_stopped(self, name: str) -> None:
        """Start a process again that was asked to stop."""
        process = self.processes[name]
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait(platform_world.STOP_TIMEOUT_S)
        self.start(name)

    def start(self, name: str) -> None:
        """Start a process again, with the settings that it had."""
        self.ended_by_us.discard(name)
        role = name.partition('-')[0]
        if role == 'control':
            self.settings[name]['is_first_start'] = False
        self._start(name, role)

    def change_seeds(self, name: str, rng: random.Random) -> None:
        """Change a process's settings, with or without a signal.

        Until the interpreter runs the program's first line, no program can
        keep a signal from ending it, so none is sent before.
        """
        seeds = rng.sample(self.seeds, rng.randint(1, len(self.seeds)))
        self.settings[name]['seed_addresses'] = seeds
        self.write_settings(name)
        process = self.processes[name]
        if rng.random() < SIGNAL_RATIO and processes.handles_hangup(
            process.pid
        ):
            process.send_signal(signal.SIGHUP)

    def tear_last_segment(self, name: str, junk: bytes) -> None:
        """Leave a torn write at the end of a replica's newest segment."""
        newest = processes.newest_segment(self.data_folder(name))
        if newest is not None:
            with open(newest, 'ab') as segment:
                segment.write(junk)

    def pick_losable_disk(self, rng: random.Random) -> str | None:
        """Return a replica whose disk may go without losing too many.

        One loss is promised to be borne, so all replicas must run, and vote
        under the names of their present disks.
        """
        names = self.running_controls()
        if len(names) < CONTROLS:
            return None
        dumps = [self.dump(name) for name in names]
        if any(dump is None for dump in dumps):
            return None
        own = {dump['replica_id'] for dump in dumps}
        for dump in dumps:
            voters = {
                m['replica_id'] for m in dump['members'] if m['is_voter']
            }
            if voters != own or dump['storage_fault']:
                return None
        committed = max(dump['commit_index'] for dump in dumps)
        if any(dump['last_index'] < committed for dump in dumps):
            return None
        return rng.choice(names)

    def address_of(self, name: str) -> str:
        """Return where a worker or an entry is reached by others."""
        proxy = self.proxies[name]
        return f'{proxy.proxy_host}:{proxy.proxy_port}'

    def reset_link(self, name: str) -> None:
        """Cut the connections through a proxy."""
        self.thread.run(link_proxy.cut_connections(self.proxies[name]))

    def _open_proxy(self, target: str) -> link_proxy.LinkProxy:
        return self.thread.run(link_proxy.open_proxy(target))

    def _start_proxied_worker(self, name: str) -> None:
        listen_address = ports.free_address()
        self.proxies[name] = self._open_proxy(listen_address)
        worker = platform_workers.HttpWorker(
            name,
            platform_world.SERVICE,
            self.address_of(name),
            self.seeds,
            self.ledger,
            listen_address,
        )
        self.thread.run(worker.start())
        self.workers.append(worker)
