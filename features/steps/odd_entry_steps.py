"""Steps that feed odd entries to the readers of input from outside."""

import asyncio
import copy
import json
import types
from typing import Any

from behave import then
from behave import when

from features.search import input_fuzz
from greengagering import coordination
from greengagering.platform import _caller_app
from greengagering.platform import _jobs
from greengagering.platform import _plans
from greengagering.platform import _reports
from greengagering.platform import _waves
from greengagering import protocol
from greengagering.protocol import bounds
from greengagering.protocol import errors as protocol_errors
from greengagering.protocol import headers
from greengagering.transport import _call_headers

NESTED = b'[' * 200_000 + b']' * 200_000
HUGE = 10**30
PLACEHOLDER = '@nested@'
TEXTS = {
    'a port of 30 digits': f'10.0.0.9:{"1" * 30}',
    '300 characters': 'i' * 300,
}
MAX_REFUSAL_CHARACTERS = 700


def parse_value(text: str) -> Any:
    """Return the value that a scenario's text means."""
    if text == 'nested too deeply':
        return PLACEHOLDER
    if text in TEXTS:
        return TEXTS[text]
    if text == '10^5000':
        return '@10^5000@'
    if text == '1e400':
        return '@1e400@'
    return json.loads(text.replace('10^30', str(HUGE)))


def encode(document: Any) -> bytes:
    """Return a document as JSON, with what json can't encode itself."""
    text = json.dumps(document, ensure_ascii=False).encode()
    text = text.replace(f'"{PLACEHOLDER}"'.encode(), NESTED)
    text = text.replace(b'"@1e400@"', b'1e400')
    return text.replace(b'"@10^5000@"', b'1' + b'0' * 5000)


def with_field(example: dict[str, Any], path: str, value: Any) -> bytes:
    """Return an example as JSON with another value of a field."""
    document = copy.deepcopy(example)
    *parts, last = path.split('.')
    inner: Any = document
    for part in parts:
        inner = inner[int(part) if part.isdecimal() else part]
    inner[last] = value
    return encode(document)


def read(context: Any, reader: Any, *arguments: Any) -> None:
    """Read input, and store the result or the refusal."""
    context.result = None
    context.refusal = None
    try:
        context.result = reader(*arguments)
    except protocol_errors.InvalidInputError as error:
        context.refusal = error


@when("the heartbeat's {field} is {value}")
def read_heartbeat(context: Any, field: str, value: str) -> None:
    worker_id, example = 'i-1', input_fuzz.HEARTBEAT
    if field == 'id':
        worker_id = parse_value(value)
        body = encode(example)
    else:
        body = with_field(example, field, parse_value(value))
    read(context, _reports.parse_heartbeat, worker_id, body)


@when('heartbeats with the addresses "{addresses}" are read')
def read_addresses(context: Any, addresses: str) -> None:
    context.refusals = []
    for address in addresses.split():
        body = with_field(input_fuzz.HEARTBEAT, 'address', address)
        read(context, _reports.parse_heartbeat, 'i-1', body)
        context.refusals.append(context.refusal)


@then('none is refused')
def check_none_refused(context: Any) -> None:
    assert context.refusals
    assert not any(context.refusals), context.refusals


@when("the job's {field} is {value}")
def read_job(context: Any, field: str, value: str) -> None:
    body = with_field(input_fuzz.JOB, field, parse_value(value))
    read(context, _jobs.parse_job, '0123456789abcdef', body)


@when("the configuration's {field} is {value}")
def read_configuration(context: Any, field: str, value: str) -> None:
    body = with_field(input_fuzz.CONFIGURATION, field, parse_value(value))
    read(context, _plans.parse_plan, body)


@when("the wave's {field} is {value}")
def read_wave(context: Any, field: str, value: str) -> None:
    body = with_field(input_fuzz.WAVE, field, parse_value(value))
    read(context, _waves.parse_wave, body)


@when("the announcement's {field} is {value}")
def read_announcement(context: Any, field: str, value: str) -> None:
    body = with_field(input_fuzz.ANNOUNCEMENT, field, parse_value(value))
    read(context, protocol.parse_announcement, body)


@then('the refusal names {named} and {shown}')
def check_refusal(context: Any, named: str, shown: str) -> None:
    assert context.refusal is not None, context.result
    text = str(context.refusal)
    assert len(text) < MAX_REFUSAL_CHARACTERS, len(text)
    assert shown in text, text
    fields = [error.field for error in context.refusal.fields]
    assert fields == [named], fields


def _digits(text: str) -> str:
    return '9' * 5000 if text == '5000 digits' else text


class _Node:
    """Replaces the node of an entry; every call is done."""

    settings = types.SimpleNamespace(
        default_deadline_s=3.0, max_deadline_s=60.0
    )
    open_requests = 0
    is_stopping = False

    def __init__(self) -> None:
        self.calls: list[Any] = []

    async def call(self, *arguments: Any) -> coordination.JobAnswer:
        """Record a call."""
        self.calls.append(arguments)
        return coordination.JobAnswer('a', coordination.JobOutcome.DONE)


@when("a call's Deadline-Ms is {text}")
def read_deadline(context: Any, text: str) -> None:
    node: Any = _Node()
    request: Any = types.SimpleNamespace(
        headers={'Deadline-Ms': _digits(text)}
    )
    app = _caller_app.CallerApp(node)
    context.deadline_s = app._read_deadline_s(request)


@then('its deadline is {wanted}')
def check_deadline(context: Any, wanted: str) -> None:
    deadlines = {'1 s': 1.0, 'the default': 3.0, 'the longest': 60.0}
    assert context.deadline_s == deadlines[wanted], context.deadline_s


@when("a call's Host is {host}")
def call_host(context: Any, host: str) -> None:
    context.node = _Node()
    node: Any = context.node
    request: Any = types.SimpleNamespace(
        method='GET',
        path='/quick/',
        host=host.replace('\\udcff', '\udcff'),
        headers={},
    )
    app = _caller_app.CallerApp(node)
    context.response = asyncio.run(app.handle(request))


@then('it is answered {status:d} and passed on {count:d} times')
def check_call(context: Any, status: int, count: int) -> None:
    assert context.response.status == status, context.response.status
    assert len(context.node.calls) == count, context.node.calls


@when('the path names the number {text}')
def read_number(context: Any, text: str) -> None:
    context.number = bounds.read_digits(_digits(text), bounds.MAX_EXACT)


@when('a call has the key {key} of the time {time}')
def read_key(context: Any, key: str, time: str) -> None:
    fields = {
        headers.IDEMPOTENCY_KEY: key.replace('\\udcff', '\udcff'),
        headers.KEY_ISSUED_AT_MS: _digits(time),
    }
    read(context, _call_headers.parse_call_headers, fields, 1.0, 60.0)


@then('it is {wanted:d}')
def check_number(context: Any, wanted: int) -> None:
    assert context.number == wanted, context.number


@then('it is no number')
def check_no_number(context: Any) -> None:
    assert context.number is None, context.number
