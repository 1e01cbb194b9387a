"""Steps that run the programs on the platform as separate processes."""

import os
import signal
import subprocess
import sys
import time
from typing import Any

from behave import given
from behave import then
from behave import when

from features.support import platform_workers
from features.support import platform_world
from features.support import processes

TASK = {'count': 1, 'cpu': 500, 'memMb': 100, 'estMs': 400}
DONE_STATES = ('succeeded', 'failed', 'cancelled')


def world_of(context: Any) -> platform_world.PlatformWorld:
    """Return the scenario's world, which is closed after the scenario."""
    if not hasattr(context, 'platform_world'):
        world = platform_world.PlatformWorld(context.folder)
        context.platform_world = world
        context.add_cleanup(world.close)
    return context.platform_world


def create_job(context: Any, *steps: dict[str, Any]) -> tuple[str, bytes]:
    """Create the scenario's next job and return its id and body."""
    context.job_count = getattr(context, 'job_count', 0) + 1
    context.job_id = f'{context.job_count:016x}'
    context.job_body = platform_workers.job_body(*steps)
    world = world_of(context)
    platform_workers.register_job(
        world.ledger, context.job_id, context.job_body
    )
    return context.job_id, context.job_body


def submit_job(context: Any, entry: str, *steps: dict[str, Any]) -> None:
    """Submit a job, which must be accepted."""
    job_id, body = create_job(context, *steps)
    path = f'{platform_world.PREFIX}{job_id}'
    answer = world_of(context).call_entry(entry, 'POST', path, body)
    assert answer.status == 200, answer


def state_of(context: Any, entry: str, job_id: str) -> str:
    """Return the state of a job from an entry, or an empty string."""
    path = f'{platform_world.PREFIX}{job_id}'
    answer = world_of(context).call_entry(entry, 'GET', path)
    return answer.json()['state'] if answer.status == 200 else ''


def wait_ready(world: platform_world.PlatformWorld, url: str) -> None:
    """Wait until an entry passes its readiness check."""
    world.wait(
        lambda: world.call('GET', url, timeout_s=1).status == 200,
        'an entry is ready',
    )


def wait_succeeded(context: Any, job_id: str) -> None:
    """Wait until a job is shown as succeeded."""
    world_of(context).wait(
        lambda: state_of(context, 'entry-1', job_id) == 'succeeded',
        f'{job_id} is done',
    )


def voters(context: Any) -> list[str]:
    """Return the ids of the voters from the leader, or none without one."""
    world = world_of(context)
    for name in world.running_controls():
        answer = world.call_control(name, 'GET', '/v1/control')
        if answer.status == 200:
            return [
                member['replica_id']
                for member in answer.json()['members']
                if member['is_voter']
            ]
    return []


@given(
    '{controls:d} control replicas, {entries:d} entries and {workers:d} '
    'workers with a configuration'
)
def start_all(context: Any, controls: int, entries: int, workers: int) -> None:
    world = world_of(context)
    world.start_controls(controls)
    for number in range(entries):
        world.start_entry(f'entry-{number + 1}')
    for number in range(workers):
        world.start_worker(f'worker-{number + 1}')
    body = platform_world.configuration(3)
    assert world.call_leader('POST', '/config/replace', body).status == 200
    for number in range(entries):
        url = f'http://{world.hosts[f"entry-{number + 1}"]}:{world.ready_port}'
        wait_ready(world, f'{url}/ready')
    world.wait(
        lambda: all(worker.acknowledged for worker in world.workers),
        'a heartbeat of every worker was acknowledged',
    )


@given('a control replica with an empty disk whose seeds are gone')
def start_alone(context: Any) -> None:
    world = world_of(context)
    world.seeds = [f'127.0.0.99:{world.control_port}']
    world.start_control('control-1', is_first_start=False)


@given('a control replica whose link_port is "{value}"')
def start_wrong(context: Any, value: str) -> None:
    world = world_of(context)
    world.seeds = [f'127.0.0.2:{world.control_port}']
    world.link_port = value  # type: ignore[assignment]
    world.start_control('control-1', is_first_start=True)


@when('a job of {first:d} and then {second:d} tasks is submitted at {entry}')
def submit_two_steps(
    context: Any, first: int, second: int, entry: str
) -> None:
    submit_job(
        context,
        entry,
        {**TASK, 'count': first},
        {**TASK, 'count': second, 'after': [0]},
    )


@when('a lasting job is submitted at {entry}')
def submit_lasting_job(context: Any, entry: str) -> None:
    for worker in world_of(context).workers:
        worker.worker.run_s = 100.0
    submit_job(context, entry, {**TASK, 'count': 2, 'persistent': True})


@when('it is cancelled at {entry} once it runs')
def cancel_job(context: Any, entry: str) -> None:
    world = world_of(context)
    job_id = context.job_id
    world.wait(
        lambda: (
            sum(name.startswith(job_id) for name in world.ledger.running) == 2
        ),
        'both tasks run',
    )
    path = f'{platform_world.PREFIX}{job_id}'
    assert world.call_entry(entry, 'DELETE', path).status == 200


@when(
    'the leader is lost while {count:d} jobs of {tasks:d} tasks are submitted'
)
def submit_jobs_and_kill_leader(context: Any, count: int, tasks: int) -> None:
    world = world_of(context)
    (leader,) = [
        name
        for name in world.running_controls()
        if world.call_control(name, 'GET', '/v1/control').status == 200
    ]
    context.accepted = []
    for number in range(count):
        if number == count // 2:
            world.kill(leader)
        job_id, body = create_job(context, {**TASK, 'count': tasks})
        path = f'{platform_world.PREFIX}{job_id}'

        def is_accepted(path: str = path, body: bytes = body) -> bool:
            entry = f'entry-{1 + (int(time.monotonic()) % 2)}'
            return world.call_entry(entry, 'POST', path, body).status == 200

        world.wait(is_accepted, 'a job is accepted')
        context.accepted.append(job_id)


@when('replica {name} ends, loses its disk and starts again')
def lose_disk(context: Any, name: str) -> None:
    world = world_of(context)
    end_caught_up(world, name)
    world.lose_disk(name)
    world.start_control(name, is_first_start=False)


def end_caught_up(world: platform_world.PlatformWorld, name: str) -> None:
    """Kill a replica once it holds all that the leader has committed."""

    def is_caught_up() -> bool:
        dumps = [world.dump(n) for n in world.running_controls()]
        committed = [
            dump['commit_index']
            for dump in dumps
            if dump is not None and dump['role'] == 'leader'
        ]
        own = world.dump(name)
        return (
            own is not None
            and bool(committed)
            and own['last_index'] >= max(committed)
        )

    # The group works as soon as two replicas run, so this one may still be
    # starting and have no data folder to lose.
    world.wait(is_caught_up, f'{name} has caught up')
    world.kill(name)


@when('replica {name} ends permanently')
def kill_control(context: Any, name: str) -> None:
    world_of(context).kill(name)


@when('replica {name} starts with an empty disk')
def start_new_replica(context: Any, name: str) -> None:
    world_of(context).start_control(name, is_first_start=False)


@when('entry {name} is asked to stop')
def stop_entry(context: Any, name: str) -> None:
    world = world_of(context)
    world.processes[name].send_signal(signal.SIGTERM)


@when('the seeds of {name} change and it gets SIGHUP')
def change_seeds(context: Any, name: str) -> None:
    world = world_of(context)
    world.settings[name]['seed_addresses'] = world.seeds[:2]
    world.write_settings(name)
    world.processes[name].send_signal(signal.SIGHUP)


@when('a control program is started whose imports take long')
def start_slow_imports(context: Any) -> None:
    stub = context.folder / 'stub' / 'absl'
    stub.mkdir(parents=True)
    stub.joinpath('__init__.py').write_text('import time\ntime.sleep(600)\n')
    context.process = subprocess.Popen(
        [sys.executable, '-m', 'greengagering.platform', 'control'],
        env={**os.environ, 'PYTHONPATH': str(stub.parent)},
        stdin=subprocess.DEVNULL,
    )
    context.add_cleanup(context.process.wait)
    context.add_cleanup(context.process.kill)


@then('it ignores SIGHUP before they are done')
def check_hangup(context: Any) -> None:
    process = context.process
    ends_s = time.monotonic() + platform_world.WAIT_TIMEOUT_S
    while not processes.handles_hangup(process.pid):
        assert process.poll() is None, process.returncode
        assert time.monotonic() < ends_s, 'SIGHUP would still end the process'
        time.sleep(platform_world.POLL_S)
    process.send_signal(signal.SIGHUP)
    time.sleep(platform_world.POLL_S)
    assert process.poll() is None, process.returncode


@when('a job is submitted at a queue that is not there')
def submit_to_unknown_queue(context: Any) -> None:
    job_id, body = create_job(context, TASK)
    answer = world_of(context).call_entry(
        'entry-1', 'POST', f'/nowhere/{job_id}', body
    )
    assert answer.status == 404, answer


@then('it is shown as {wanted:w} at {entry}')
def check_state(context: Any, wanted: str, entry: str) -> None:
    world_of(context).wait(
        lambda: state_of(context, entry, context.job_id) == wanted,
        f'{context.job_id} is {wanted}',
    )


@then('it is cancelled at {entry}, and nothing of it runs')
def check_cancelled(context: Any, entry: str) -> None:
    world = world_of(context)
    check_state(context, 'cancelled', entry)
    world.wait(
        lambda: (
            not any(
                name.startswith(context.job_id)
                for name in world.ledger.running
            )
        ),
        'nothing runs',
    )


@then('the same job submitted again is acknowledged and starts nothing')
def check_repetition(context: Any) -> None:
    world = world_of(context)
    before = world.ledger.start_count
    path = f'{platform_world.PREFIX}{context.job_id}'
    for entry in ('entry-1', 'entry-2'):
        answer = world.call_entry(entry, 'POST', path, context.job_body)
        assert answer.status == 200, answer
    time.sleep(1)
    assert world.ledger.start_count == before


@then('{entry} shows {count:d} pending jobs')
def check_pending(context: Any, entry: str, count: int) -> None:
    answer = world_of(context).call_entry(entry, 'GET', platform_world.PREFIX)
    assert answer.json() == {'pending': count}, answer


@then('{entry} answers {status:d} to a job at a queue that is not there')
def check_no_queue(context: Any, entry: str, status: int) -> None:
    job_id, body = create_job(context, TASK)
    answer = world_of(context).call_entry(
        entry, 'POST', f'/nowhere/{job_id}', body
    )
    assert answer.status == status, answer


@then('{entry} answers {status:d} to a job with broken JSON')
def check_broken(context: Any, entry: str, status: int) -> None:
    job_id, body = create_job(context, TASK)
    path = f'{platform_world.PREFIX}{job_id}'
    answer = world_of(context).call_entry(entry, 'POST', path, body[:-4])
    assert answer.status == status, answer
    assert state_of(context, entry, job_id) == ''


@then('{entry} answers {status:d} to a job of {size:d} bytes')
def check_large(context: Any, entry: str, status: int, size: int) -> None:
    job_id, body = create_job(context, TASK)
    path = f'{platform_world.PREFIX}{job_id}'
    answer = world_of(context).call_entry(
        entry, 'POST', path, body + b' ' * (size - len(body))
    )
    assert answer.status == status, answer


@then('{entry} answers {status:d} when asked for a job that nobody submitted')
def check_unknown(context: Any, entry: str, status: int) -> None:
    path = f'{platform_world.PREFIX}{"f" * 16}'
    answer = world_of(context).call_entry(entry, 'GET', path)
    assert answer.status == status, answer


@then('control answers {status:d} to a configuration with an unknown service')
def check_invalid(context: Any, status: int) -> None:
    body = platform_world.configuration(9).replace(
        b'"service": "alpha"', b'"service": "beta"'
    )
    answer = world_of(context).call_leader('POST', '/config/replace', body)
    assert answer.status == status, answer
    assert b'beta' in answer.body


@then(
    'control acknowledges an older configuration, and reads back the newest '
    'byte by byte'
)
def check_read_back(context: Any) -> None:
    world = world_of(context)
    older = platform_world.configuration(2, '/older/')
    assert world.call_leader('POST', '/config/replace', older).status == 200
    answer = world.call_leader('GET', '/config/read')
    assert answer.body == platform_world.configuration(3), answer


@then(
    'every accepted job is shown as succeeded, and no task was started twice '
    'after its end'
)
def check_all_done(context: Any) -> None:
    # The ledger raises an error if a task is started after its recorded end,
    # or while another run of it is in progress.
    for job_id in context.accepted:
        wait_succeeded(context, job_id)


@then('it votes under a new name, and its old name is gone')
def check_rejoined(context: Any) -> None:
    world = world_of(context)
    host = world.hosts['control-1']
    old = f'{host}-{world.link_port}'

    def is_replaced() -> bool:
        names = voters(context)
        return old not in names and any(n.startswith(old) for n in names)

    world.wait(is_replaced, 'the replica votes again')


@then('{new_replica} votes, and {lost} is gone')
def check_replaced(context: Any, new_replica: str, lost: str) -> None:
    world = world_of(context)
    gone = f'{world.hosts[lost]}-{world.link_port}'
    there = f'{world.hosts[new_replica]}-{world.link_port}'

    def is_replaced() -> bool:
        names = voters(context)
        return gone not in names and any(n.startswith(there) for n in names)

    world.wait(is_replaced, 'the new replica votes')


@then('a newer configuration is accepted')
def check_accepted(context: Any) -> None:
    body = platform_world.configuration(11, '/newer/')
    answer = world_of(context).call_leader('POST', '/config/replace', body)
    assert answer.status in (200, 307), answer
    if answer.status == 307:
        world = world_of(context)
        answer = world.call('POST', answer.fields['Location'], body)
        assert answer.status == 200, answer


@then('it does not become leader and answers 503 for {seconds:g} s')
def check_alone(context: Any, seconds: float) -> None:
    world = world_of(context)
    world.wait(lambda: world.dump('control-1') is not None, 'it answers')
    ends_s = time.monotonic() + seconds
    while time.monotonic() < ends_s:
        answer = world.call_control('control-1', 'GET', '/config/read')
        assert answer.status == 503, answer
        time.sleep(0.1)


@then(
    'it is no longer ready, still answers calls for {seconds:g} s, and ends '
    'with code {code:d}'
)
def check_stop(context: Any, seconds: float, code: int) -> None:
    world = world_of(context)
    url = f'http://{world.hosts["entry-1"]}:{world.ready_port}/ready'
    world.wait(
        lambda: world.call('GET', url, timeout_s=1).status == 503,
        'it is not ready',
    )
    ends_s = time.monotonic() + seconds
    while time.monotonic() < ends_s:
        answer = world.call_entry('entry-1', 'GET', platform_world.PREFIX)
        assert answer.status == 200, answer
        time.sleep(0.1)
    ended = world.processes['entry-1'].wait(platform_world.STOP_TIMEOUT_S)
    assert ended == code, ended


@then('it logs the new seeds and continues to answer')
def check_reloaded(context: Any) -> None:
    world = world_of(context)
    world.wait(
        lambda: 'event=settings_reloaded' in world.log_of('entry-1'),
        'the settings are read again',
    )
    answer = world.call_entry('entry-1', 'GET', platform_world.PREFIX)
    assert answer.status == 200, answer


@then('it ends with code {code:d} and names {field} and "{value}"')
def check_exit(context: Any, code: int, field: str, value: str) -> None:
    world = world_of(context)
    ended = world.processes['control-1'].wait(platform_world.STOP_TIMEOUT_S)
    log = world.log_of('control-1')
    assert ended == code, log
    assert field in log, log
    assert value in log, log


@then("the leader's log shows that it was accepted and finished, by its id")
def check_log(context: Any) -> None:
    world = world_of(context)
    logs = ''.join(world.log_of(name) for name in world.running_controls())
    for event in ('job_accepted', 'job_finished'):
        assert f'event={event} job={context.job_id}' in logs, logs[-2000:]


@then('a trace of its id over all logs shows both events in this order')
def check_trace(context: Any) -> None:
    world = world_of(context)
    files = [str(world.folder / f'{name}.log') for name in world.processes]
    ended = processes.run_program(
        'greengagering-ticket', 'trace', context.job_id, *files
    )
    lines = ended.stdout.splitlines()
    events = [line.split()[3] for line in lines]
    accepted, finished = (
        events.index('job_accepted'),
        events.index('job_finished'),
    )
    assert accepted < finished, ended


@then("the entry's log shows the reason by its id")
def check_entry_log(context: Any) -> None:
    log = world_of(context).log_of('entry-1')
    wanted = f'event=call_refused job={context.job_id}'
    assert wanted in log, log[-2000:]
    assert 'outcome=no_queue' in log, log[-2000:]
