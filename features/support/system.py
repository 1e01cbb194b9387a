"""A whole system on loopback: processes, stand-ins and proxies."""

from collections.abc import Callable
import json
import pathlib
import time
from typing import Any

from features.support import link_proxy
from features.support.link_proxy import LinkProxy
from features.support.loop_thread import LoopThread
from features.support import ports
from features.support import processes
from features.support import web
from greengagering import standins

CLUSTER_ID = 'features'
WAIT_TIMEOUT_S = 45.0
POLL_S = 0.05
SILENT_S = 3600.0


class FeatureError(AssertionError):
    """A condition did not hold in time."""


class System:
    """Starts the processes of a scenario, and stops them afterwards."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.thread = LoopThread()
        self.processes: dict[str, processes.SystemProcess] = {}
        self.http: dict[str, str] = {}
        self.link: dict[str, str] = {}
        self.upstreams: dict[str, standins.UpstreamStandin] = {}
        self.proxies: dict[str, LinkProxy] = {}
        self.members: dict[str, str] = {}
        self.platform_address = ports.free_address()
        self.platform = standins.PlatformStandin(self.platform_address)
        self.thread.run(self.platform.start())
        self._settings: dict[str, pathlib.Path] = {}

    def __enter__(self) -> 'System':
        """Return the system itself."""
        return self

    def __exit__(self, *exception: object) -> None:
        """Stop everything, also after an error."""
        self.close()

    def close(self) -> None:
        """Stop everything that this scenario started."""
        for process in self.processes.values():
            if process.is_running:
                process.kill()
        for upstream in self.upstreams.values():
            self.thread.run(upstream.close())
        self.thread.run(self.platform.close())
        for proxy in self.proxies.values():
            self.thread.run(link_proxy.close_proxy(proxy))
        self.thread.close()

    def start_controls(self, count: int, **overrides: Any) -> None:
        """Format and start control replicas that know each other."""
        names = [f'control-{number + 1}' for number in range(count)]
        for name in names:
            self.prepare_address(name)
        self.members = {name: self.link[name] for name in names}
        for name in names:
            self.write_control_settings(name, **overrides)
            self.format(name)
            self.start(name)

    def prepare_address(self, name: str) -> None:
        """Choose the addresses of a process, and open a proxy for its link."""
        listens = ports.free_address()
        proxy = self.thread.run(link_proxy.open_proxy(listens))
        self.proxies[name] = proxy
        self.link[name] = f'{ports.HOST}:{proxy.proxy_port}'
        # self.link[name] is the proxy's address; the process itself listens on
        # the address under this second key.
        self.link[f'{name} listens'] = listens
        self.http[name] = ports.free_address()

    def write_control_settings(self, name: str, **overrides: Any) -> None:
        """Write the settings of a control replica."""
        members = dict(self.members)
        # A replica listens on the proxy's target; others use the proxy.
        self._write_settings(
            name,
            {
                'cluster_id': CLUSTER_ID,
                'replica_id': name,
                'data_centre': 'dc-1',
                'data_folder': str(self.folder / f'{name}-data'),
                'link_address': self.link[f'{name} listens'],
                'http_address': self.http[name],
                'members': members,
                'platform_url': f'http://{self.platform_address}',
                **overrides,
            },
        )

    def format(self, name: str) -> None:
        """Prepare the data folder of a control replica."""
        done = processes.run_program(
            'greengagering-control', 'format', str(self._settings[name])
        )
        assert done.returncode == 0, done.stderr

    def start_entry(self, name: str, **overrides: Any) -> None:
        """Start an entry."""
        if name not in self.http:
            self.prepare_address(name)
        self._write_settings(
            name,
            {
                'cluster_id': CLUSTER_ID,
                'entry_id': name,
                'data_centre': 'dc-1',
                'link_address': self.link[f'{name} listens'],
                'advertised_address': self.link[name],
                'http_address': self.http[name],
                'controls': self.members,
                **overrides,
            },
        )
        self.start(name)

    def start(self, name: str) -> None:
        """Start a process whose settings file exists."""
        program = 'greengagering-entry'
        if name.startswith('control'):
            program = 'greengagering-control'
        self.processes[name] = processes.SystemProcess(
            program,
            ['run', str(self._settings[name])],
            self.folder / f'{name}.log',
        )

    def start_upstream(
        self, vm: str, pool: str, entries: list[str], **options: Any
    ) -> standins.UpstreamStandin:
        """Start a stand-in upstream on the loop of this process."""
        values = {
            'vm': vm,
            'pool': pool,
            'address': ports.free_address(),
            'entries': tuple(self.http[name] for name in entries),
            'platform_url': f'http://{self.platform_address}',
            'reboot_s': 0.3,
            **options,
        }
        upstream = standins.UpstreamStandin(standins.UpstreamOptions(**values))
        self.upstreams[vm] = upstream
        self.thread.run(upstream.start())
        return upstream

    def silence(self, name: str) -> None:
        """Hold back all data of a process's link; connections stay open."""
        self.delay(name, SILENT_S)

    def heal(self, name: str) -> None:
        """Stop delaying the data of a process's link."""
        self.delay(name, 0)

    def get(self, name: str, path: str) -> web.Answer:
        """Send a GET to a process."""
        return self.thread.run(
            web.request('GET', f'http://{self.http[name]}{path}')
        )

    def dump(self, name: str) -> dict[str, Any]:
        """Return the state dump of a process; empty if it does not answer."""
        answer = self.get(name, '/v1/dump')
        return answer.json() if answer.status == 200 else {}

    def leader(self) -> str:
        """Wait for a leader with a lease, and return its name."""
        found: list[str] = []

        def find() -> bool:
            for name in self.members:
                if self.processes[name].is_running:
                    dump = self.dump(name)
                    if dump.get('has_lease'):
                        found.append(name)
                        return True
            return False

        self.wait_until(find, 'a control replica leads')
        return found[-1]

    def submit(self, ticket: dict[str, Any]) -> web.Answer:
        """Submit a ticket, and retry while there is no leader."""
        return self.ask_control('POST', '/v1/tickets', ticket)

    def ask_control(
        self, method: str, path: str, body: Any = None
    ) -> web.Answer:
        """Send a request to the control replicas until one answers it.

        An answer of 503, or none, is not counted.
        """
        data = json.dumps(body).encode() if body is not None else None
        answers: list[web.Answer] = []

        def ask() -> bool:
            for name in self.members:
                if not self.processes[name].is_running:
                    continue
                url = f'http://{self.http[name]}{path}'
                answer = self.thread.run(
                    web.request(method, url, data, timeout_s=10)
                )
                if answer.status not in (0, 503):
                    answers.append(answer)
                    return True
            return False

        self.wait_until(ask, f'control answers {method} {path}')
        return answers[-1]

    def wait_in_force(self, number: int) -> dict[str, Any]:
        """Wait until a ticket is in force and return its page."""
        pages: list[dict[str, Any]] = []

        def is_in_force() -> bool:
            page = self.ask_control('GET', f'/v1/tickets/{number}').json()
            pages.append(page)
            return page.get('in_force_at_ms', 0) > 0

        self.wait_until(is_in_force, f'ticket {number} is in force')
        return pages[-1]

    def wait_in_step(self) -> None:
        """Wait until every control replica holds what the leader committed."""
        wanted = self.dump(self.leader())['commit_index']
        self.wait_until(
            lambda: all(
                self.dump(name).get('commit_index', 0) >= wanted
                for name in self.members
            ),
            f'every control replica holds entry {wanted}',
        )

    def wait_ready(self, name: str) -> None:
        """Wait until a process passes its readiness check."""
        self.wait_until(
            lambda: self.get(name, '/readyz').status == 200,
            f'{name} is ready',
        )

    def wait_serving(self, entry: str, count: int) -> None:
        """Wait until an entry knows at least count upstreams that are up."""

        def is_known() -> bool:
            upstreams = self.dump(entry).get('upstreams', [])
            return sum(u['state'] == 'up' for u in upstreams) >= count

        self.wait_until(is_known, f'{entry} knows {count} upstreams')

    def wait_until(
        self,
        condition: Callable[[], bool],
        what: str,
        timeout_s: float = WAIT_TIMEOUT_S,
    ) -> None:
        """Wait for a condition; the timeout only ends a run that failed.

        Raises:
            FeatureError: the condition did not hold in time.
        """
        ends_s = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > ends_s:
                raise FeatureError(
                    f'timed out waiting until {what}\n{self.log_tails()}'
                )
            time.sleep(POLL_S)

    def log_tails(self) -> str:
        """Return the last lines of every process's log."""
        parts = []
        for name, process in self.processes.items():
            lines = process.log_text().splitlines()[-12:]
            parts.append('\n'.join([f'--- {name}', *lines]))
        return '\n'.join(parts)

    def settings_path(self, name: str) -> pathlib.Path:
        """Return the path of a process's settings file."""
        return self._settings[name]

    def _write_settings(self, name: str, values: dict[str, Any]) -> None:
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(values, indent=2))
        self._settings[name] = path

    def delay(self, name: str, delay_s: float) -> None:
        """Delay all data to and from a process's link."""
        proxy = self.proxies[name]
        self.thread.loop.call_soon_threadsafe(
            proxy.set_delay, delay_s, delay_s
        )
