"""Steps that merge logs into the event history of one id."""

import re
from typing import Any

from behave import given
from behave import then
from behave import when

from features.support import processes


@given('a log of {name} with')
def write_log(context: Any, name: str) -> None:
    if not hasattr(context, 'logs'):
        context.logs = []
    path = context.folder / f'{name}.log'
    path.write_text(context.text)
    context.logs.append(str(path))


@when('{name:w} is traced')
def trace(context: Any, name: str) -> None:
    context.ended = processes.run_program(
        'greengagering-ticket', 'trace', name, *context.logs
    )


@when('a missing file is traced')
def trace_nothing(context: Any) -> None:
    path = str(context.folder / 'nowhere.log')
    context.ended = processes.run_program(
        'greengagering-ticket', 'trace', 'aa00', path
    )


@when('the returns are shown')
def show_returns(context: Any) -> None:
    context.ended = processes.run_program(
        'greengagering-ticket', 'returns', *context.logs
    )


@then('the timeline is')
def check_timeline(context: Any) -> None:
    shown = []
    for line in context.ended.stdout.splitlines():
        found = re.match(r'  \S+ \S+ +(\S+) s  (.*?)(  |$)', line)
        shown.append(f'{found[1]} {found[2]}' if found else line)
    assert shown == context.text.splitlines(), context.ended


@then('the events are {names}')
def check_events(context: Any, names: str) -> None:
    wanted = re.split(', | and ', names)
    lines = context.ended.stdout.splitlines()
    assert [line.split()[3] for line in lines] == wanted, context.ended


@then('the line of {event} contains "{first}" and "{second}"')
def check_both(context: Any, event: str, first: str, second: str) -> None:
    check_line(context, event, first)
    check_line(context, event, second)


@then('the line of {event:w} contains "{text}"')
def check_line(context: Any, event: str, text: str) -> None:
    lines = context.ended.stdout.splitlines()
    (line,) = [line for line in lines if f' {event} ' in line]
    assert text in line, line


@then('it ends with code {code:d} and reports "{text}"')
def check_refused(context: Any, code: int, text: str) -> None:
    assert context.ended.returncode == code, context.ended
    assert text in context.ended.stderr, context.ended
