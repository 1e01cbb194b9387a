"""The programs on the platform as processes, one address per machine."""

from collections.abc import Callable
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import time
from typing import Any

from features.search import worker_fakes
from features.support.loop_thread import LoopThread
from features.support import platform_workers
from features.support import ports
from features.support import web

HOST = 'jobs.example'
PREFIX = '/quick/'
SERVICE = 'alpha'
WAIT_TIMEOUT_S = 20.0
POLL_S = 0.05
STOP_TIMEOUT_S = 20.0


class PlatformWorld:
    """Starts control replicas, entries and workers, and stops them."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.thread = LoopThread()
        self.ledger = worker_fakes.Ledger()
        self.ledger.attempt_limit = 2
        self.workers: list[platform_workers.HttpWorker] = []
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.hosts: dict[str, str] = {}
        self.settings: dict[str, dict[str, Any]] = {}
        self.limits: dict[str, int] = {}
        self.control_port = ports.free_port()
        self.link_port = ports.free_port()
        self.entry_port = ports.free_port()
        self.ready_port = ports.free_port()
        self.metrics_port = ports.free_port()
        self.seeds: list[str] = []

    def close(self) -> None:
        """Stop everything that this scenario started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait(STOP_TIMEOUT_S)
        for worker in self.workers:
            self.thread.run(worker.close())
        self.thread.close()

    def start_controls(self, count: int) -> None:
        """Start control replicas that form a new group."""
        names = [f'control-{number + 1}' for number in range(count)]
        for name in names:
            self._assign_host(name)
        self.seeds = [f'{self.hosts[n]}:{self.control_port}' for n in names]
        for name in names:
            self.start_control(name, is_first_start=True)

    def start_control(self, name: str, *, is_first_start: bool) -> None:
        """Start one control replica."""
        if name not in self.hosts:
            self._assign_host(name)
        host = self.hosts[name]
        self.settings[name] = {
            'host': host,
            'data_centre': 'z-1',
            'data_folder': str(self.data_folder(name)),
            'http_address': f'{host}:{self.control_port}',
            'link_port': self.link_port,
            'seed_addresses': self.seeds,
            'is_first_start': is_first_start,
            'tolerated_losses': 1,
            'adviser_address': '',
            'machine_service_address': f'127.0.0.1:{ports.free_port()}',
            'metrics_port': self.metrics_port,
        }
        self._start(name, 'control')

    def start_entry(self, name: str) -> None:
        """Start an entry."""
        self._assign_host(name)
        host = self.hosts[name]
        self.settings[name] = {
            'entry_id': name,
            'host': host,
            'data_centre': 'z-1',
            'http_address': f'{host}:{self.entry_port}',
            'ready_address': f'{host}:{self.ready_port}',
            'link_port': self.link_port,
            'seed_addresses': self.seeds,
            'grace_s': 6,
            'metrics_port': self.metrics_port,
        }
        self._start(name, 'entry')

    def start_worker(self, name: str) -> None:
        """Start a worker that reports to the control replicas."""
        worker = platform_workers.HttpWorker(
            name, SERVICE, ports.free_address(), self.seeds, self.ledger
        )
        worker.worker.run_s = 0.4
        self.thread.run(worker.start())
        self.workers.append(worker)

    def kill(self, name: str) -> None:
        """Kill a process."""
        self.processes[name].kill()
        self.processes[name].wait(STOP_TIMEOUT_S)

    def terminate(self, name: str) -> int:
        """Stop a process with SIGTERM and return its exit code."""
        self.processes[name].send_signal(signal.SIGTERM)
        return self.processes[name].wait(STOP_TIMEOUT_S)

    def pause(self, name: str) -> None:
        """Freeze a process until resume is called."""
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Let a paused process run on."""
        self.processes[name].send_signal(signal.SIGCONT)

    def lose_disk(self, name: str) -> None:
        """Delete the data folder of a stopped replica."""
        shutil.rmtree(self.data_folder(name))

    def data_folder(self, name: str) -> pathlib.Path:
        """Return the data folder of a replica."""
        return self.folder / f'{name}-data'

    def call(
        self,
        method: str,
        url: str,
        body: bytes | None = None,
        fields: dict[str, str] | None = None,
        timeout_s: float = 5.0,
    ) -> web.Answer:
        """Send a request."""
        return self.thread.run(
            web.request(method, url, body, fields, timeout_s)
        )

    def call_entry(
        self,
        entry: str,
        method: str,
        path: str,
        body: bytes | None = None,
        key: str = '',
    ) -> web.Answer:
        """Send a caller's request to an entry, with a key unless it is ''."""
        url = f'http://{self.hosts[entry]}:{self.entry_port}{path}'
        fields = {'Host': HOST}
        if key:
            fields['Authorization'] = f'Token {key}'
        return self.call(method, url, body, fields)

    def call_control(
        self, name: str, method: str, path: str, body: bytes | None = None
    ) -> web.Answer:
        """Send a request to a control replica."""
        url = f'http://{self.hosts[name]}:{self.control_port}{path}'
        return self.call(method, url, body)

    def call_leader(
        self, method: str, path: str, body: bytes | None = None
    ) -> web.Answer:
        """Send a request to the running control replicas until one answers it.

        An answer of 503, or none, is not counted.
        """
        answers: list[web.Answer] = []

        def is_answered() -> bool:
            for name in self.running_controls():
                answer = self.call_control(name, method, path, body)
                answers.append(answer)
                if answer.status not in (0, 503):
                    return True
            return False

        self.wait(is_answered, f'{method} {path}')
        return answers[-1]

    def running_controls(self) -> list[str]:
        """Return the control replicas whose processes run."""
        return [
            name
            for name, process in self.processes.items()
            if name.startswith('control') and process.poll() is None
        ]

    def dump(self, name: str) -> Any:
        """Return the state dump of a control replica, or None."""
        answer = self.call_control(name, 'GET', '/v1/dump')
        return answer.json() if answer.status == 200 else None

    def wait(self, condition: Callable[[], bool], what: str) -> None:
        """Wait until a condition holds.

        Raises:
            AssertionError: it did not hold within WAIT_TIMEOUT_S.
        """
        ends_s = time.monotonic() + WAIT_TIMEOUT_S
        while not condition():
            assert time.monotonic() < ends_s, f'{what}: {self.log_tails()}'
            time.sleep(POLL_S)

    def log_tails(self) -> str:
        """Return the last lines of each process's log."""
        tails = []
        for name in self.processes:
            lines = self.log_of(name).splitlines()[-8:]
            tails.append('\n'.join([f'--- {name}', *lines]))
        return '\n'.join(tails)

    def log_of(self, name: str) -> str:
        """Return the log of a process."""
        return (self.folder / f'{name}.log').read_text(errors='replace')

    def write_settings(self, name: str) -> pathlib.Path:
        """Write a process's settings file."""
        path = self.folder / f'{name}.json'
        # The replacement is atomic: a process that reads its settings while
        # they change must see the old or the new ones, never an empty file.
        new_path = path.with_suffix('.json.new')
        new_path.write_text(json.dumps(self.settings[name]))
        new_path.replace(path)
        return path

    def _assign_host(self, name: str) -> None:
        # As on the platform, all machines use the same ports.
        self.hosts[name] = f'127.0.0.{len(self.hosts) + 2}'

    def _start(self, name: str, role: str) -> None:
        self.settings[name] |= self.limits
        path = self.write_settings(name)
        with open(self.folder / f'{name}.log', 'ab') as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, '-m', 'greengagering.platform', role],
                stdout=log,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
                env={**os.environ, 'GREENGAGERING_CONFIG': str(path)},
            )


def configuration(
    version: int, *prefixes: str, keys: dict[str, list[str]] | None = None
) -> bytes:
    """Return a configuration with a queue for PREFIX and each other prefix.

    Args:
        version: its version.
        prefixes: prefixes of further queues.
        keys: keys of each customer, by its name.
    """
    routes = [
        {
            'name': f'r-{prefix.strip("/")}',
            'host': HOST,
            'pathPrefix': prefix,
            'timeoutMs': 3000,
            'targetDurationMs': 600,
            'priority': 0,
            'service': SERVICE,
            'attempts': 2,
            'stretch': 1.6,
        }
        for prefix in (PREFIX, *prefixes)
    ]
    wire: dict[str, Any] = {
        'version': version,
        'routes': routes,
        'services': [{'name': SERVICE, 'maxConns': 64}],
        'limits': {'maxBodyBytes': 2000},
    }
    if keys:
        wire['tenants'] = [
            {'name': name, 'apiKeys': held} for name, held in keys.items()
        ]
    return json.dumps(wire).encode()
