"""Steps about settings and the command line."""

import json
import socket
from typing import Any

from behave import given
from behave import then
from behave import when

from features.support import ports
from features.support import processes

VALID: dict[str, dict[str, Any]] = {
    'control': {
        'cluster_id': 'features',
        'replica_id': 'control-1',
        'data_centre': 'dc-1',
        'data_folder': 'set by the step',
        'link_address': '127.0.0.1:7100',
        'http_address': '127.0.0.1:7200',
        'members': {'control-1': '127.0.0.1:7100'},
        'platform_url': 'http://127.0.0.1:7400',
    },
    'entry': {
        'cluster_id': 'features',
        'entry_id': 'entry-1',
        'data_centre': 'dc-1',
        'link_address': '127.0.0.1:7100',
        'http_address': '127.0.0.1:7200',
        'controls': {'control-1': '127.0.0.1:7100'},
    },
}


@given('valid settings of {program}')
def valid_settings(context: Any, program: str) -> None:
    context.program = f'greengagering-{program}'
    context.values = dict(VALID[program])
    context.values['link_address'] = ports.free_address()
    context.values['http_address'] = ports.free_address()
    if program == 'control':
        context.values['data_folder'] = str(context.folder / 'data')
    context.path = context.folder / 'settings.json'
    _write(context)


@when('{field} is set to {value} and the program is run')
def run_with_field(context: Any, field: str, value: str) -> None:
    context.values[field] = json.loads(value)
    _write(context)
    _run(context)


@when('the settings file {state} and the program is run')
def run_with_file(context: Any, state: str) -> None:
    if state == 'is missing':
        context.path.unlink()
    elif state == 'is broken JSON':
        context.path.write_text('{"cluster_id": ')
    elif state == 'holds a list':
        context.path.write_text('[1, 2]')
    _run(context)


@when('the program is run')
def run_program(context: Any) -> None:
    _run(context)


@when(
    'the folder is formatted for control-1 and the program is run as control-2'
)
def run_as_other(context: Any) -> None:
    _run(context, 'format')
    assert context.done.returncode == 0, context.done.stderr
    context.values['replica_id'] = 'control-2'
    context.values['members'] = {'control-2': '127.0.0.1:7100'}
    _write(context)
    _run(context)


@when('the folder is formatted twice')
def format_twice(context: Any) -> None:
    _run(context, 'format')
    assert context.done.returncode == 0, context.done.stderr
    _run(context, 'format')


@when('another process listens on the http address and the program is run')
def run_with_taken_address(context: Any) -> None:
    host, port = context.values['http_address'].split(':')
    with socket.create_server((host, int(port))):
        _run(context)


@when('{program} is asked for help')
def ask_help(context: Any, program: str) -> None:
    context.done = processes.run_program(program, '--help')


@then('it ends with exit code {code:d}')
def check_code(context: Any, code: int) -> None:
    assert context.done.returncode == code, context.done


@then('the error names the settings file, {named} and {shown}')
def check_error(context: Any, named: str, shown: str) -> None:
    error = context.done.stderr
    for wanted in (f'settings file {context.path}', named, shown):
        assert wanted in error, (wanted, error)
    assert 'Traceback' not in error, error


@then('the error says that the folder {what}')
def check_folder_error(context: Any, what: str) -> None:
    error = context.done.stderr
    assert f'data folder {context.folder / "data"} {what}' in error, error
    assert 'Traceback' not in error, error


@then('the error names the http_address')
def check_address_error(context: Any) -> None:
    wanted = f'http_address {context.values["http_address"]}'
    assert wanted in context.done.stderr, context.done.stderr
    assert 'Traceback' not in context.done.stderr


@then('the help lists {command}')
def check_help(context: Any, command: str) -> None:
    text = context.done.stdout + context.done.stderr
    assert 'SYNOPSIS' in text, text
    assert command in text, text


def _write(context: Any) -> None:
    context.path.write_text(json.dumps(context.values))


def _run(context: Any, command: str = 'run') -> None:
    context.done = processes.run_program(
        context.program, command, str(context.path)
    )
