"""Steps that send odd entries to processes on the platform."""

from typing import Any

from behave import then
from behave import when

from features.search import input_fuzz
from features.steps import odd_entry_steps
from features.steps import platform_path_steps
from features.support import platform_world

DEPTH = 30_000
"""Deep enough to fail by recursion, and less than the largest heartbeat."""

ODD_JOBS = 100
"""First id of the odd jobs, which no good one has."""

NESTED = b'{"a":' + b'[' * DEPTH + b']' * DEPTH + b'}'
FAILURES = (
    'event=step_failed',
    'event=message_failed',
    'event=message_unsent',
    'event=worker_call_failed',
    'Traceback',
)


def odd_control_requests() -> list[tuple[str, str, bytes | None]]:
    """Return requests that the leader must refuse."""
    with_field = odd_entry_steps.with_field
    beat = '/instances/i-odd/heartbeat'
    huge = odd_entry_steps.HUGE
    bodies = [
        with_field(input_fuzz.HEARTBEAT, 'born', huge),
        with_field(input_fuzz.HEARTBEAT, 'seq', huge),
        with_field(input_fuzz.HEARTBEAT, 'capacity.cpu', huge),
        with_field(input_fuzz.HEARTBEAT, 'address', '10.0.0.9:99999'),
        with_field(input_fuzz.HEARTBEAT, 'address', '10.0.0.9:\u00b2'),
        NESTED,
    ]
    return [
        *(('POST', beat, body) for body in bodies),
        ('POST', '/instances/i%0d%0aX/heartbeat', _heartbeat()),
        ('POST', '/config/replace', NESTED),
        (
            'POST',
            '/config/replace',
            with_field(input_fuzz.CONFIGURATION, 'version', huge),
        ),
        ('POST', '/wave-start', NESTED),
        ('POST', '/wave-start', with_field(input_fuzz.WAVE, 'wave', huge)),
        ('GET', '/wave-get/%C2%B2', None),
        ('GET', f'/wave-get/{"9" * 5000}', None),
        ('GET', '/v1/tickets/%C2%B2', None),
    ]


def _heartbeat() -> bytes:
    return odd_entry_steps.encode(input_fuzz.HEARTBEAT)


@when('odd heartbeats, configurations, waves, jobs and paths are sent')
def send_odd(context: Any) -> None:
    world = platform_path_steps.world_of(context)
    context.statuses = {}
    for number, request in enumerate(odd_control_requests()):
        answer = world.call_leader(*request)
        context.statuses[f'{number} {request[1][:30]}'] = answer.status
    jobs = [
        NESTED,
        odd_entry_steps.with_field(input_fuzz.JOB, 'firstMs', 1e300),
        odd_entry_steps.with_field(input_fuzz.JOB, 'steps.0.estMs', 1e300),
    ]
    for number, body in enumerate(jobs):
        path = f'{platform_world.PREFIX}{number + ODD_JOBS:016x}'
        answer = world.call_entry('entry-1', 'POST', path, body)
        context.statuses[f'job {number}'] = answer.status


@then('each is answered with a status from 400 to 499')
def check_statuses(context: Any) -> None:
    assert context.statuses
    wrong = {
        name: status
        for name, status in context.statuses.items()
        if not 400 <= status < 500
    }
    assert not wrong, wrong


@then('no process has ended or logged a failure')
def check_processes(context: Any) -> None:
    world = platform_path_steps.world_of(context)
    for name, process in world.processes.items():
        assert process.poll() is None, (name, process.returncode)
        log = world.log_of(name)
        assert not [text for text in FAILURES if text in log], log[-3000:]
