"""Steps that send crowds of clients to the ports of running processes."""

import dataclasses
import json
import os
import pathlib
import re
import resource
import subprocess
import time
from typing import Any

from behave import given
from behave import then
from behave import when

from features.steps.platform_path_steps import create_job
from features.steps.platform_path_steps import wait_ready
from features.steps.platform_path_steps import world_of
from features.steps.whole_path_steps import call_url
from features.steps.whole_path_steps import pool_ticket
from features.steps.whole_path_steps import put_pool_in_force
from features.steps.whole_path_steps import start_upstreams
from features.support import crowd_kinds
from features.support import crowds
from features.support import loop_thread
from features.support import platform_world
from features.support import web

MEMORY_BOUND_MB = 128
"""Most memory that a process may have used: that of a small machine."""

FILE_BOUND = 512
"""Number of descriptors that a process may open."""

IDLE_POLL_S = 0.5
IDLE_TICKS = 10
"""Hundredths of a second that an idle process spends in IDLE_POLL_S."""

IDLE_TIMEOUT_S = 60.0

LIMITS = {
    'maxHeaderBytes': 16_384,
    'maxBodyBytes': crowd_kinds.BODY_BYTES,
    # Connections are to be bounded by their number here, not by time.
    'headerTimeoutMs': 600_000,
    'idleTimeoutMs': 600_000,
}
DEADLINE = {'Deadline-Ms': '30000'}


@dataclasses.dataclass(frozen=True)
class Port:
    """A port that a crowd is sent to.

    Attributes:
        process: name of the process that listens there.
        port: name of the attribute of PlatformWorld that holds the number.
    """

    process: str
    port: str


PORTS = {
    'the port for callers': Port('entry-1', 'entry_port'),
    "the entry's readiness port": Port('entry-1', 'ready_port'),
    "the entry's metrics port": Port('entry-1', 'metrics_port'),
    "the entry's link port": Port('entry-1', 'link_port'),
    'the port for workers and operators': Port('control-1', 'control_port'),
    "the control replica's metrics port": Port('control-1', 'metrics_port'),
    "the control replica's link port": Port('control-1', 'link_port'),
}


def _configuration() -> bytes:
    wire = json.loads(platform_world.configuration(3))
    wire['limits'] = LIMITS
    return json.dumps(wire).encode()


def _processes(context: Any) -> dict[str, subprocess.Popen[bytes]]:
    """Return the processes of the scenario, on the platform or not."""
    if hasattr(context, 'platform_world'):
        return dict(context.platform_world.processes)
    return {
        name: process.popen
        for name, process in context.system.processes.items()
    }


def _log_tails(context: Any) -> str:
    world = getattr(context, 'platform_world', context.system)
    return str(world.log_tails())


def _wait_idle(pid: int) -> None:
    """Wait until a process has read what the crowd's kernels hold for it."""
    ends_s = time.monotonic() + IDLE_TIMEOUT_S
    spent_ticks = _spent_ticks(pid)
    while time.monotonic() < ends_s:
        time.sleep(IDLE_POLL_S)
        former_ticks, spent_ticks = spent_ticks, _spent_ticks(pid)
        if spent_ticks - former_ticks <= IDLE_TICKS:
            return


def _spent_ticks(pid: int) -> int:
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().split()
    return int(fields[13]) + int(fields[14])


def _peak_memory_mb(pid: int) -> float:
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    found = re.search(r'VmHWM:\s+(\d+) kB', status)
    assert found is not None, status
    return int(found[1]) / 1024


@given('a control replica and an entry on small machines')
def start_small(context: Any) -> None:
    world = world_of(context)
    world.limits = {
        'memory_limit_mb': MEMORY_BOUND_MB,
        'file_limit': FILE_BOUND,
    }
    world.start_controls(1)
    world.start_entry('entry-1')
    world.start_worker('worker-1')
    for process in world.processes.values():
        limits = (FILE_BOUND, FILE_BOUND)
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, limits)
    answer = world.call_leader('POST', '/config/replace', _configuration())
    assert answer.status == 200, answer
    wait_ready(
        world, f'http://{world.hosts["entry-1"]}:{world.ready_port}/ready'
    )
    world.wait(
        lambda: all(worker.acknowledged for worker in world.workers),
        'a heartbeat of every worker was acknowledged',
    )


@given("a control replica and an entry of the product's own programs")
def start_own(context: Any) -> None:
    system = context.system
    limits = {
        'max_connections': FILE_BOUND // 2,
        'max_link_connections': FILE_BOUND // 10,
        'max_held_bytes': MEMORY_BOUND_MB * 2**20 // 8,
    }
    system.start_controls(1, **limits)
    system.start_entry('entry-1', **limits)
    context.entries = ['entry-1']
    for process in system.processes.values():
        files = (FILE_BOUND, FILE_BOUND)
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, files)
    system.wait_ready('entry-1')
    start_upstreams(context, 'dispatch-pool')
    put_pool_in_force(context)


@when('clients send {what} to the own program of {name}')
def send_to_own(context: Any, what: str, name: str) -> None:
    host, _, port = context.system.http[name].partition(':')
    # The scenario's system closes its event loop before any cleanup.
    thread = loop_thread.LoopThread()
    context.add_cleanup(thread.close)
    crowd = thread.start(
        crowds.send_crowd(crowd_kinds.CROWDS[what], host, int(port))
    ).result()
    context.crowd = crowd
    context.add_cleanup(lambda: thread.run(crowd.close()))


@then('an ordinary call is answered beside them')
def call_ordinary(context: Any) -> None:
    answer = context.system.thread.run(
        web.request(
            'POST', call_url(context, 'entry-1', 'dispatch'), b'ordinary'
        )
    )
    assert answer.status == 200, f'{answer} {_log_tails(context)}'
    assert answer.body == b'ordinary'


@then('an ordinary ticket is accepted beside them')
def submit_ticket(context: Any) -> None:
    answer = context.system.submit(pool_ticket(2, context.vms))
    assert answer.status == 200, f'{answer} {_log_tails(context)}'


@given('a configuration of {size:d} bytes is in force')
def put_large(context: Any, size: int) -> None:
    world = world_of(context)
    wire = json.loads(_configuration())
    wire['version'] += 1
    body = json.dumps(wire).encode().ljust(size)
    context.configuration = body
    answer = world.call_leader('POST', '/config/replace', body)
    assert answer.status == 200, answer


@when('clients send {what} to {where}')
def send(context: Any, what: str, where: str) -> None:
    world = world_of(context)
    port = PORTS[where]
    crowd = world.thread.start(
        crowds.send_crowd(
            crowd_kinds.CROWDS[what],
            world.hosts[port.process],
            getattr(world, port.port),
        )
    ).result()
    context.crowd = crowd
    context.add_cleanup(lambda: world.thread.run(crowd.close()))


@when('the process of {where} is asked to stop')
def stop(context: Any, where: str) -> None:
    context.code = world_of(context).terminate(PORTS[where].process)


@then('it ends with code {code:d}')
def check_code(context: Any, code: int) -> None:
    assert context.code == code, f'{context.code} {_log_tails(context)}'


@then('every process has stayed within its machine')
def check_processes(context: Any) -> None:
    found = []
    for name, process in _processes(context).items():
        assert process.poll() is None, f'{name} ended: {_log_tails(context)}'
        _wait_idle(process.pid)
        files = len(os.listdir(f'/proc/{process.pid}/fd'))
        found.append((name, round(_peak_memory_mb(process.pid)), files))
    shown = f'{found}, {context.crowd.count_open()} connections open'
    print(f'    {shown}')
    for name, memory_mb, files in found:
        assert memory_mb <= MEMORY_BOUND_MB, f'{name}: {memory_mb} MB, {shown}'
        assert files < FILE_BOUND, f'{name}: {files} descriptors, {shown}'


@then('an ordinary job is accepted beside them')
def submit_ordinary(context: Any) -> None:
    world = world_of(context)
    job_id, body = create_job(
        context, {'count': 1, 'cpu': 500, 'memMb': 100, 'estMs': 400}
    )
    url = (
        f'http://{world.hosts["entry-1"]}:{world.entry_port}'
        f'{platform_world.PREFIX}{job_id}'
    )
    fields = {'Host': platform_world.HOST, **DEADLINE}
    answer = world.call('POST', url, body, fields, timeout_s=45)
    assert answer.status == 200, f'{answer} {world.log_tails()}'


@then('the configuration is read beside them')
def read_configuration(context: Any) -> None:
    world = world_of(context)
    url = f'http://{world.hosts["control-1"]}:{world.control_port}'
    answer = world.call('GET', f'{url}/config/read', timeout_s=45)
    assert answer.status == 200, f'{answer} {world.log_tails()}'
    assert answer.body == _configuration()


@then(
    'the operator, who asks again after a 503, reads the configuration beside '
    'them'
)
def come_to_read(context: Any) -> None:
    answer = world_of(context).call_leader('GET', '/config/read')
    assert answer.status == 200, answer
    assert answer.body == context.configuration


@then('the readiness check and the metrics are answered beside them')
def check_others(context: Any) -> None:
    world = world_of(context)
    entry, control = world.hosts['entry-1'], world.hosts['control-1']
    for url in (
        f'http://{entry}:{world.ready_port}/ready',
        f'http://{entry}:{world.metrics_port}/metrics',
        f'http://{control}:{world.metrics_port}/metrics',
    ):
        answer = world.call('GET', url, timeout_s=45)
        assert answer.status == 200, f'{url}: {answer} {world.log_tails()}'
