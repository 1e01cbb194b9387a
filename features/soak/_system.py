"""Processes, workers and proxied links of the soak test."""

from collections.abc import Callable
import pathlib
import random
import signal

from features.support import crowd_kinds
from features.support import crowds
from features.support import link_proxy
from features.support import platform_workers
from features.support import platform_world
from features.support import ports
from features.support import processes

CONTROLS = 3
ENTRIES = 2
WORKERS = 4

SIGNAL_RATIO = 0.7
"""Share of the settings changes after which SIGHUP is sent."""


class SoakSystem(platform_world.PlatformWorld):
    """A PlatformWorld with a proxy in front of each worker and entry."""

    def __init__(self, folder: pathlib.Path) -> None:
        super().__init__(folder)
        self.proxies: dict[str, link_proxy.LinkProxy] = {}
        self.ended_by_faults: set[str] = set()
        self.full_disks: set[str] = set()

    def start_all(self) -> None:
        """Start every process and worker."""
        self.start_controls(CONTROLS)
        for number in range(ENTRIES):
            name = f'entry-{number + 1}'
            self.start_entry(name)
            target = f'{self.hosts[name]}:{self.entry_port}'
            self.proxies[name] = self._open_proxy(target)
        for number in range(WORKERS):
            self._start_proxied_worker(f'worker-{number + 1}')

    def close(self) -> None:
        """Stop everything that the soak test started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
        for proxy in self.proxies.values():
            self.thread.run(link_proxy.close_proxy(proxy))
        super().close()

    def running(self) -> list[str]:
        """Return the running processes that no fault has ended."""
        return [
            name
            for name, process in self.processes.items()
            if process.poll() is None and name not in self.ended_by_faults
        ]

    def running_controls(self) -> list[str]:
        """Return the running control replicas that no fault has ended."""
        return [n for n in self.running() if n.startswith('control')]

    def kill(self, name: str) -> None:
        """Kill a process."""
        self.ended_by_faults.add(name)
        super().kill(name)

    def ask_to_stop(self, name: str) -> None:
        """Send SIGTERM without waiting for the process to end."""
        self.ended_by_faults.add(name)
        self.processes[name].send_signal(signal.SIGTERM)

    def restart_stopped(self, name: str) -> None:
        """Restart a process after ask_to_stop, killing it if it still runs."""
        process = self.processes[name]
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait(platform_world.STOP_TIMEOUT_S)
        self.start(name)

    def start(self, name: str) -> None:
        """Restart a process with its previous settings."""
        self.ended_by_faults.discard(name)
        role = name.partition('-')[0]
        if role == 'control':
            self.settings[name]['is_first_start'] = False
        self._start(name, role)

    def change_seeds(self, name: str, rng: random.Random) -> None:
        """Change a process's settings, and send SIGHUP in some cases.

        A program can't handle signals before the interpreter runs its first
        line, and until then SIGHUP would end it. So the signal is sent only
        once the process handles it.
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
        """Append a torn write to a replica's newest segment."""
        newest = processes.newest_segment(self.data_folder(name))
        if newest is not None:
            with open(newest, 'ab') as segment:
                segment.write(junk)

    def pick_losable_disk(self, rng: random.Random) -> str | None:
        """Return a replica whose disk may be lost, or None.

        The cluster tolerates the loss of one replica. So all replicas must be
        running, vote under the ids of their current disks, have no storage
        fault, and hold every committed record.
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
        """Return the proxy's address of a worker or an entry."""
        proxy = self.proxies[name]
        return f'{proxy.proxy_host}:{proxy.proxy_port}'

    def reset_link(self, name: str) -> None:
        """Close the connections through a proxy."""
        self.thread.run(link_proxy.cut_connections(self.proxies[name]))

    def start_crowd(self, name: str, what: str) -> Callable[[], None]:
        """Send a crowd to a process, and return what makes it leave."""
        is_entry = name.startswith('entry')
        port = self.entry_port if is_entry else self.control_port
        crowd = crowd_kinds.CROWDS[what]
        sending = self.thread.start(
            crowds.send_crowd(crowd, self.hosts[name], port)
        )

        def leave() -> None:
            if sending.done():
                self.thread.run(sending.result().close())
            else:
                sending.cancel()

        return leave

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
