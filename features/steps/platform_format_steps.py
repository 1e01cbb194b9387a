"""Steps that convert messages of the platform."""

import copy
import dataclasses
import json
import random
import types
from typing import Any

from behave import then
from behave import when

from greengagering.platform import _caller_app
from greengagering.platform import _jobs
from greengagering.platform import _plans
from greengagering.platform import _reports
from greengagering.protocol import errors as protocol_errors
from greengagering import state

JOB_ID = '0123456789abcdef'
CONFIGURATION: dict[str, Any] = {
    'version': 7,
    'routes': [
        {
            'name': 'r-1',
            'host': 'a.example',
            'pathPrefix': '/quick/',
            'kind': 'unsafe',
            'timeoutMs': 3000,
            'targetDurationMs': 600,
            'priority': 1,
            'service': 'alpha',
            'attempts': 2,
            'stretch': 1.6,
        },
        {
            'name': 'r-2',
            'host': 'a.example',
            'pathPrefix': '/slow/',
            'timeoutMs': 3000,
            'service': 'beta',
        },
    ],
    'services': [
        {'name': 'alpha', 'maxConns': 64, 'admissionControl': True},
        {'name': 'beta', 'maxConns': 32, 'standby': True},
    ],
    'limits': {'maxBodyBytes': 1000},
}
CUSTOMERS: list[dict[str, Any]] = [
    {
        'name': 'first',
        'apiKeys': ['secret-1', 'secret-2'],
        'priority': 1,
        'weight': 68,
        'maxCount': {'cpu': 7000, 'memMb': 12000, 'gpu': 0},
    },
    {'name': 'second', 'apiKeys': ['secret-3']},
]
JOB: dict[str, Any] = {
    'spec': 'text',
    'steps': [{'count': 2, 'cpu': 500, 'memMb': 256, 'estMs': 900}],
}
FULL_STEP: dict[str, Any] = {
    'count': 3,
    'cpu': 500,
    'memMb': 256,
    'gpu': 1,
    'estMs': 900,
    'after': [0],
    'savesProgress': True,
    'gang': True,
    'rackLocal': True,
    'requires': 'a',
    'dataRack': 'r1-3',
    'maxPerServer': 2,
    'speculative': True,
    'persistent': True,
    'image': 'img',
    'targetMs': 40,
    'fills': True,
    'mayMiss': 1,
}
HEARTBEAT: dict[str, Any] = {
    'service': 'alpha',
    'address': '10.0.0.9:8080',
    'zone': 'z-1',
    'version': 'v1',
    'slots': 8,
    'state': 'ready',
    'coldLeftMs': 0,
    'capacity': {'cpu': 16000, 'memMb': 32768, 'gpu': 0},
    'labels': ['a', 'r1-3'],
    'wallClockMs': 482113,
    'seq': 4,
    'born': 1000,
}


def read(context: Any, reader: Any, body: bytes) -> None:
    """Parse a body, and store the result or the error."""
    context.result = None
    context.refusal = None
    try:
        context.result = reader(body)
    except protocol_errors.InvalidInputError as error:
        context.refusal = error


def faulty_configuration(fault: str) -> bytes:
    """Return a configuration with a fault."""
    wire = copy.deepcopy(CONFIGURATION)
    route = wire['routes'][0]
    wire['tenants'] = copy.deepcopy(CUSTOMERS)
    tenant = wire['tenants'].__getitem__
    changes: dict[str, Any] = {
        'without a version': lambda: wire.pop('version'),
        'with version 0': lambda: wire.update(version=0),
        'with an unknown service': lambda: route.update(service='gamma'),
        'with two routes at one place': lambda: route.update(
            pathPrefix='/slow/'
        ),
        'with a time-out of 0': lambda: route.update(timeoutMs=0),
        'with a prefix without /': lambda: route.update(pathPrefix='quick'),
        'with a service named twice': lambda: wire['services'].append(
            {'name': 'alpha'}
        ),
        'with a text as priority': lambda: route.update(priority='first'),
        'with two customers of one name': lambda: tenant(1).update(
            name='first'
        ),
        'with a customer without a name': lambda: tenant(0).update(name=''),
        'with a key of two customers': lambda: tenant(1).update(
            apiKeys=['secret-3', 'secret-1']
        ),
        'with an empty key': lambda: tenant(0).update(apiKeys=['']),
        'with a number as key': lambda: tenant(0).update(apiKeys=[5]),
        'with a text as weight': lambda: tenant(0).update(weight='secret-1'),
        'with weight 0': lambda: tenant(0).update(weight=0),
        'with a negative weight': lambda: tenant(0).update(weight=-1),
        'with a negative limit': lambda: tenant(0)['maxCount'].update(cpu=-1),
        'with a text as limit': lambda: tenant(0)['maxCount'].update(
            gpu='secret-1'
        ),
        'with new fields': lambda: (
            wire.update(novelty=[1]),
            route.update(novelty={'a': 1}),
        ),
    }
    if fault != 'cut short':
        changes[fault]()
    body = json.dumps(wire).encode()
    return body[:-20] if fault == 'cut short' else body


def faulty_job(fault: str) -> bytes:
    """Return a job with a fault."""
    wire = copy.deepcopy(JOB)
    step = wire['steps'][0]
    changes: dict[str, Any] = {
        'without steps': lambda: wire.update(steps=[]),
        'with a step after itself': lambda: step.update(after=[0]),
        'with no tasks': lambda: step.update(count=0),
        'with a text of 4001 bytes': lambda: wire.update(spec='x' * 4001),
        'with a negative need': lambda: step.update(cpu=-1),
        'with 100001 tasks': lambda: step.update(count=100001),
    }
    if fault != 'cut short':
        changes[fault]()
    body = json.dumps(wire).encode()
    return body[:-5] if fault == 'cut short' else body


def faulty_heartbeat(fault: str) -> bytes:
    """Return a heartbeat with a fault."""
    if fault == 'of junk bytes':
        return bytes(range(200))
    wire = copy.deepcopy(HEARTBEAT)
    changes: dict[str, Any] = {
        'without a capacity': lambda: wire.pop('capacity'),
        'with a number as service': lambda: wire.update(service=5),
        'in an unknown state': lambda: wire.update(state='asleep'),
        'with a broken address': lambda: wire.update(address='nowhere'),
        'with negative capacity': lambda: wire['capacity'].update(cpu=-1),
    }
    changes[fault]()
    return json.dumps(wire).encode()


@when('a configuration {fault} is read')
def read_configuration(context: Any, fault: str) -> None:
    context.body = faulty_configuration(fault)
    read(context, _plans.parse_plan, context.body)


@when('a job with every field is read')
def read_full_job(context: Any) -> None:
    wire = copy.deepcopy(JOB)
    wire['steps'].append(FULL_STEP)
    wire.update(times=3, firstMs=1000, intervalMs=500)
    body = json.dumps(wire).encode()
    read(context, lambda data: _jobs.parse_job(JOB_ID, data), body)


@when('a job {fault} is read')
def read_job(context: Any, fault: str) -> None:
    body = faulty_job(fault)
    read(context, lambda data: _jobs.parse_job(JOB_ID, data), body)


@when('a heartbeat {fault} is read')
def read_heartbeat(context: Any, fault: str) -> None:
    body = faulty_heartbeat(fault)
    read(context, lambda data: _reports.parse_heartbeat('i-1', data), body)


@when('{count:d} mutated configurations, jobs and heartbeats are read')
def read_mutations(context: Any, count: int) -> None:
    rng = random.Random(7)
    readers = (
        (CONFIGURATION, _plans.parse_plan),
        (JOB, lambda data: _jobs.parse_job(JOB_ID, data)),
        (HEARTBEAT, lambda data: _reports.parse_heartbeat('i-1', data)),
    )
    context.counts = {'read': 0, 'refused': 0}
    for _ in range(count):
        example, reader = rng.choice(readers)
        body = bytearray(json.dumps(example).encode())
        for _ in range(rng.randint(1, 6)):
            body[rng.randrange(len(body))] = rng.randrange(256)
        try:
            reader(bytes(body))
            context.counts['read'] += 1
        except protocol_errors.InvalidInputError as error:
            assert error.fields
            context.counts['refused'] += 1


@then('each is read, or refused with its field')
def check_mutations(context: Any) -> None:
    assert min(context.counts.values()) > 100, context.counts


@then('it is refused, naming {field}')
def check_refusal(context: Any, field: str) -> None:
    assert context.refusal is not None, context.result
    named = [error.field for error in context.refusal.fields]
    assert any(field in name for name in named), named


@then(
    'its queues and services are those of the example, and its source is '
    'kept byte by byte'
)
def check_plan(context: Any) -> None:
    plan = context.result
    assert plan.number == 7
    assert plan.source == context.body
    assert plan.max_body_bytes == 1000
    assert plan.queues == (
        state.Queue(
            'r-1', 'a.example', '/quick/', 'alpha', 1, 2, 1.6, 0.6, None
        ),
        state.Queue('r-2', 'a.example', '/slow/', 'beta'),
    )
    assert plan.services == (
        state.WorkerService('alpha', False, True, 64),
        state.WorkerService('beta', True, False, 32),
    )


@when('the header {header} is read')
def read_key(context: Any, header: str) -> None:
    text = header.replace('\\udcff', '\udcff')
    request: Any = types.SimpleNamespace(headers={'Authorization': text})
    context.result = _caller_app.read_key_digest(request)


@then('{key} is read as the key')
def check_key(context: Any, key: str) -> None:
    text = key.replace('\\udcff', '\udcff')
    wanted = '' if key == 'no key' else _plans.digest_key(text)
    assert context.result == wanted, context.result


@then('the refusal contains no key')
def check_no_key(context: Any) -> None:
    assert 'secret' not in str(context.refusal), context.refusal


@then('its customers hold what was sent, and no key outside the source')
def check_customers(context: Any) -> None:
    plan = context.result
    assert plan.customers == (
        state.Customer(
            'first',
            (_plans.digest_key('secret-1'), _plans.digest_key('secret-2')),
            68.0,
            state.Room(7000, 12000, 0),
        ),
        state.Customer('second', (_plans.digest_key('secret-3'),)),
    )
    assert 'secret' not in str(dataclasses.replace(plan, source=b''))


@then('each field of its step holds what was sent')
def check_full_job(context: Any) -> None:
    spec = context.result
    assert (spec.job_id, spec.text) == (JOB_ID, 'text')
    assert spec.occurrence_count == 3
    assert (spec.first_due_ms, spec.interval_ms) == (1000, 500)
    assert spec.steps[1] == state.StepSpec(
        task_count=3,
        room=state.Room(500, 256, 1),
        estimate_s=0.9,
        after=(0,),
        saves_progress=True,
        is_gang=True,
        is_rack_local=True,
        required_label='a',
        data_rack='r1-3',
        max_per_worker=2,
        is_speculative=True,
        is_lasting=True,
        image='img',
        tail_target_ms=40,
        fills=True,
        may_miss=1,
    )
