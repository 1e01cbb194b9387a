"""Steps that call processes on the platform with customers' keys."""

from concurrent import futures
import time
from typing import Any

from behave import then
from behave import when

from features.steps import platform_path_steps as path_steps
from features.support import platform_world
from features.support import web

SECRET = 'secret'
WAITING_CALL_S = 0.3
"""Time for a request to reach the socket of a paused process."""


def configure(context: Any, keys: dict[str, list[str]]) -> None:
    """Have a newer configuration with these customers accepted."""
    context.version = getattr(context, 'version', 3) + 1
    body = platform_world.configuration(context.version, keys=keys)
    world = path_steps.world_of(context)
    answer = world.call_leader('POST', '/config/replace', body)
    assert answer.status == 200, answer


def entries(context: Any) -> list[str]:
    """Return the names of the entries."""
    names = path_steps.world_of(context).hosts
    return [name for name in names if name.startswith('entry')]


def show(context: Any, entry: str, job_id: str, key: str) -> web.Answer:
    """Ask for a job; an answer of 503 or 504 is not counted."""
    world = path_steps.world_of(context)
    answers: list[web.Answer] = []

    def is_answered() -> bool:
        path = f'{platform_world.PREFIX}{job_id}'
        answers.append(world.call_entry(entry, 'GET', path, key=key))
        return answers[-1].status not in (0, 503, 504)

    world.wait(is_answered, f'{entry} answers')
    return answers[-1]


@when(
    'a configuration gives first the key {first} and second the key {second}'
)
def give_keys(context: Any, first: str, second: str) -> None:
    path_steps.submit_job(context, 'entry-1', path_steps.TASK)
    context.first_job_id = context.job_id
    configure(context, {'first': [first], 'second': [second]})


@when('a job is submitted at {entry} with the key {key}')
def submit_with_key(context: Any, entry: str, key: str) -> None:
    job_id, body = path_steps.create_job(context, path_steps.TASK)
    path = f'{platform_world.PREFIX}{job_id}'
    world = path_steps.world_of(context)
    answer = world.call_entry(entry, 'POST', path, body, key)
    assert answer.status == 200, answer
    context.first_job_id = job_id


@when(
    '{entry} is paused, called with the key {key}, and resumed after first '
    'got the key {new_key} instead'
)
def pause_entry(context: Any, entry: str, key: str, new_key: str) -> None:
    world = path_steps.world_of(context)
    job_id, body = path_steps.create_job(context, path_steps.TASK)
    context.waiting_job_id = job_id
    path = f'{platform_world.PREFIX}{job_id}'
    world.pause(entry)
    with futures.ThreadPoolExecutor(1) as pool:
        waiting = pool.submit(world.call_entry, entry, 'POST', path, body, key)
        time.sleep(WAITING_CALL_S)
        configure(context, {'first': [new_key], 'second': ['secret-2']})
        world.resume(entry)
        context.waiting_answer = waiting.result()
    context.new_key = new_key


@then(
    'the call that waited at {entry} was answered 401 and its job is unknown'
)
def check_waiting_call(context: Any, entry: str) -> None:
    assert context.waiting_answer.status == 401, context.waiting_answer
    answer = show(context, entry, context.waiting_job_id, context.new_key)
    assert answer.status == 410, answer


@then('every entry answers {status:d} to the key {key}')
def check_key(context: Any, status: int, key: str) -> None:
    for entry in entries(context):
        answer = show(context, entry, context.first_job_id, key)
        assert answer.status == status, (entry, answer)


@then('every entry answers 401 with a challenge to the key {key}')
def check_refused(context: Any, key: str) -> None:
    for entry in entries(context):
        answer = show(context, entry, context.first_job_id, key)
        assert answer.status == 401, (entry, answer)
        assert answer.fields['WWW-Authenticate'] == 'Token', answer


@then('every entry answers 401 with a challenge to no key')
def check_no_key(context: Any) -> None:
    check_refused(context, '')


@then('no log and no page of a process contains a key')
def check_no_secret(context: Any) -> None:
    world = path_steps.world_of(context)
    for name, process in world.processes.items():
        assert SECRET not in world.log_of(name), name
        if process.poll() is not None:
            continue
        host = world.hosts[name]
        pages = [f'http://{host}:{world.metrics_port}/metrics']
        if name.startswith('control'):
            base = f'http://{host}:{world.control_port}/v1'
            pages += [f'{base}/dump', f'{base}/control', f'{base}/fleet']
        for page in pages:
            answer = world.call('GET', page)
            assert answer.status in (200, 503), (page, answer)
            assert SECRET.encode() not in answer.body, page
    logs = ''.join(world.log_of(name) for name in world.processes)
    for event in ('customers_changed', 'key_refused', 'call_refused'):
        assert event in logs, event
