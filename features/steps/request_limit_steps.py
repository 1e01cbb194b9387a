"""Steps that send single requests at the limits of what an entry serves."""

import asyncio
from collections.abc import Callable
import json
import re
from typing import Any

from behave import given
from behave import then
from behave import when

from features.steps.platform_path_steps import create_job
from features.steps.platform_path_steps import start_all
from features.steps.platform_path_steps import wait_ready
from features.steps.platform_path_steps import world_of
from features.support import platform_world

ANSWER_TIMEOUT_S = 20.0
DEADLINE = 'Deadline-Ms: 15000\r\n'
UNKNOWN_JOB = 0xABCD_0000_0000_0000
TASK = {'count': 1, 'cpu': 500, 'memMb': 100, 'estMs': 400}
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
USUAL_LIMITS = {
    'maxHeaderBytes': 16_384,
    'maxBodyBytes': 262_144,
    'headerTimeoutMs': 3_000,
    'idleTimeoutMs': 15_000,
}

Sender = Callable[[str, bytes, dict[str, str]], list[bytes]]
"""Returns the pieces of a request from its path, body and parameters."""


def _head(path: str, *fields: str) -> bytes:
    lines = (
        f'POST {path} HTTP/1.1\r\n',
        f'Host: {platform_world.HOST}\r\n',
        DEADLINE,
        *(f'{field}\r\n' for field in fields),
        '\r\n',
    )
    return ''.join(lines).encode()


def _pad_fields(path: str, body: bytes, size: int, unit: int = 0) -> bytes:
    """Return a head whose fields and their last empty line have a size."""
    length = f'Content-Length: {len(body)}'
    bare = _head(path, length)
    left = size - (len(bare) - bare.index(b'\r\n') - 2)
    if not unit:
        padding = f'X-Pad: {"v" * (left - len("X-Pad: ") - 2)}'
        return _head(path, length, padding)
    names = [f'x{"y" * (unit - 5)}:1'] * (left // unit - 1)
    rest = left - len(names) * unit
    return _head(path, length, *names, f'x:{"1" * (rest - 4)}')


def _in_chunks(body: bytes, size: int, extension: str = '') -> bytes:
    return b''.join(
        f'{len(body[n : n + size]):x}{extension}\r\n'.encode()
        + body[n : n + size]
        + b'\r\n'
        for n in range(0, len(body), size)
    )


def _pad(body: bytes, size: int) -> bytes:
    return body + b' ' * (size - len(body))


def _cut(content: bytes, size: int) -> list[bytes]:
    return [content[n : n + size] for n in range(0, len(content), size)]


def _send_fields(path: str, body: bytes, given: dict[str, str]) -> list[bytes]:
    return [_pad_fields(path, body, int(given['size'])) + body]


def _send_many_fields(
    path: str, body: bytes, given: dict[str, str]
) -> list[bytes]:
    head = _pad_fields(path, body, int(given['size']), int(given['unit']))
    return [head + body]


def _send_body(path: str, body: bytes, given: dict[str, str]) -> list[bytes]:
    body = _pad(body, int(given['size']))
    return [_head(path, f'Content-Length: {len(body)}') + body]


def _send_pieces(path: str, body: bytes, given: dict[str, str]) -> list[bytes]:
    return _cut(_send_body(path, body, given)[0], int(given['unit']))


def _send_chunks(path: str, body: bytes, given: dict[str, str]) -> list[bytes]:
    content = _in_chunks(_pad(body, int(given['size'])), int(given['unit']))
    return [_chunked_head(path) + content + b'0\r\n\r\n']


def _chunked_head(path: str, *fields: str) -> bytes:
    return _head(path, 'Transfer-Encoding: chunked', *fields)


def _send_extensions(
    path: str, body: bytes, given: dict[str, str]
) -> list[bytes]:
    content = _in_chunks(body, 50, ';name=value')
    return [_chunked_head(path) + content + b'0;last\r\nX-Sum: 1\r\n\r\n']


def _send_wrong_chunk(
    path: str, body: bytes, given: dict[str, str]
) -> list[bytes]:
    return [_chunked_head(path) + b'3\r\nabcdef\r\n0\r\n\r\n']


def _send_line(path: str, body: bytes, given: dict[str, str]) -> list[bytes]:
    rest = 'p' * (int(given['size']) - len(path) - len('POST ?x= HTTP/1.1'))
    return [_head(f'{path}?x={rest}', 'Content-Length: 0')]


def _send_length(path: str, body: bytes, given: dict[str, str]) -> list[bytes]:
    return [_head(path, f'Content-Length: {given["size"]}')]


def _send_empty_lines(
    path: str, body: bytes, given: dict[str, str]
) -> list[bytes]:
    lines = b'\r\n' * (int(given.get('size') or 4) // 2)
    return [lines, _head(path, f'Content-Length: {len(body)}') + body]


SENDERS: dict[str, Sender] = {
    r'with fields of (?P<size>\d+) bytes in all': _send_fields,
    r'with fields of (?P<unit>\d+) bytes each, (?P<size>\d+) in all': (
        _send_many_fields
    ),
    r'with a body of (?P<size>\d+) bytes at once': _send_body,
    r'with a body of (?P<size>\d+) bytes in pieces of (?P<unit>\d+)': (
        _send_pieces
    ),
    r'with a body of (?P<size>\d+) bytes in chunks of (?P<unit>\d+)': (
        _send_chunks
    ),
    r'with extensions of chunks and trailers': _send_extensions,
    r'after some empty lines': _send_empty_lines,
    r'after (?P<size>\d+) bytes of empty lines': _send_empty_lines,
    r'piece by piece of 1 byte': lambda path, body, given: _cut(
        _head(path, f'Content-Length: {len(body)}') + body, 1
    ),
    r'with a request line of (?P<size>\d+) bytes': _send_line,
    r'with a stated length of (?P<size>\d+) bytes': _send_length,
    r'with a chunk longer than its stated size': _send_wrong_chunk,
    r'with both a length and chunks': lambda path, body, given: [
        _chunked_head(path, 'Content-Length: 3') + b'0\r\n\r\n'
    ],
    r'with two lengths': lambda path, body, given: [
        _head(path, 'Content-Length: 3', 'Content-Length: 4') + b'abcd'
    ],
    r'with a length that is no number': lambda path, body, given: [
        _head(path, 'Content-Length: 0x10')
    ],
    r'with a compressed transfer coding': lambda path, body, given: [
        _head(path, 'Transfer-Encoding: gzip, chunked')
    ],
    r'after bytes that are not HTTP': lambda path, body, given: [
        b'\x16\x03\x01\x00' + _head(path, 'Content-Length: 0')
    ],
}


def _create_pieces(how: str, path: str, body: bytes) -> list[bytes]:
    for pattern, sender in SENDERS.items():
        found = re.fullmatch(pattern, how)
        if found is not None:
            return sender(path, body, found.groupdict())
    raise AssertionError(f'no way to send {how}')


async def _exchange(
    host: str, port: int, pieces: list[bytes], waits: bool = False
) -> bytes:
    """Send pieces on a new connection, and return the start of the answer.

    Args:
        host: where the server listens.
        port: where the server listens.
        pieces: what is sent.
        waits: whether the last piece is sent after a 100 response only.
    """
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            for piece in pieces[:-1]:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0)
            if waits:
                said = await reader.readexactly(len(CONTINUE))
                assert said == CONTINUE, said
            writer.write(pieces[-1])
            return await reader.readuntil(b'\r\n\r\n')
        finally:
            writer.close()


def _send_job(context: Any, entry: str, how: str) -> tuple[int, str]:
    """Send a new job, and return the status of the answer and the job's id."""
    world = world_of(context)
    job_id, body = create_job(context, TASK)
    path = f'{platform_world.PREFIX}{job_id}'
    waits = how == 'once it has said to continue'
    if waits:
        length = f'Content-Length: {len(body)}'
        pieces = [_head(path, length, 'Expect: 100-continue'), body]
    else:
        pieces = _create_pieces(how, path, body)
    answer = world.thread.run(
        _exchange(world.hosts[entry], world.entry_port, pieces, waits)
    )
    return int(answer.split()[1]), job_id


def _configure(context: Any, limits: dict[str, int] | None) -> None:
    context.version = getattr(context, 'version', 10) + 1
    wire = json.loads(platform_world.configuration(context.version))
    del wire['limits']
    if limits is not None:
        wire['limits'] = limits
    body = json.dumps(wire).encode()
    answer = world_of(context).call_leader('POST', '/config/replace', body)
    assert answer.status == 200, answer


@given(
    '{controls:d} control replicas, {entries:d} entries and {workers:d} '
    'workers with the usual limits'
)
def start_usual(
    context: Any, controls: int, entries: int, workers: int
) -> None:
    world_of(context).limits = {'memory_limit_mb': 128, 'file_limit': 512}
    start_all(context, controls, entries, workers)
    _configure(context, USUAL_LIMITS)
    world = world_of(context)
    url = f'http://{world.hosts["entry-1"]}:{world.ready_port}/ready'
    wait_ready(world, url)
    _come_to(context, 'entry-1', 200, 'with a body of 3000 bytes at once')


@then('{entry} answers {status:d} to a job sent {how}')
def check_answer(context: Any, entry: str, status: int, how: str) -> None:
    found, _ = _send_job(context, entry, how)
    assert found == status, f'{found}: {world_of(context).log_tails()}'


@then('{entry} refuses with {status:d} a job sent {how}')
def check_refusal(context: Any, entry: str, status: int, how: str) -> None:
    found, job_id = _send_job(context, entry, how)
    assert found == status, f'{found}: {world_of(context).log_tails()}'
    path = f'{platform_world.PREFIX}{job_id}'
    answer = world_of(context).call_entry(entry, 'GET', path)
    assert answer.status == 410, answer


def _come_to(context: Any, entry: str, status: int, how: str) -> None:
    world_of(context).wait(
        lambda: _send_job(context, entry, how)[0] == status,
        f'{entry} answers {status} to a job sent {how}',
    )


@then('{entry} comes to answer {status:d} to a job sent {how}')
def come_to_answer(context: Any, entry: str, status: int, how: str) -> None:
    _come_to(context, entry, status, how)


@then('{entry} comes to refuse with {status:d} a job sent {how}')
def come_to_refuse(context: Any, entry: str, status: int, how: str) -> None:
    _come_to(context, entry, status, how)


@when('a configuration without limits is accepted')
def configure_none(context: Any) -> None:
    _configure(context, None)


@when('a configuration allows heads of {size:d} bytes')
def configure_heads(context: Any, size: int) -> None:
    _configure(context, {**USUAL_LIMITS, 'maxHeaderBytes': size})


@when('a client sends {count:d} requests at once on one connection')
def send_ahead(context: Any, count: int) -> None:
    world = world_of(context)
    prefix = platform_world.PREFIX
    # Those with odd numbers are for jobs that nobody submitted.
    paths = [
        prefix if number % 2 == 0 else f'{prefix}{UNKNOWN_JOB + number:016x}'
        for number in range(count)
    ]
    requests = b''.join(
        f'GET {path} HTTP/1.1\r\nHost: {platform_world.HOST}\r\n\r\n'.encode()
        for path in paths
    )
    context.statuses = world.thread.run(
        _read_statuses(
            world.hosts['entry-1'], world.entry_port, requests, count
        )
    )


async def _read_statuses(
    host: str, port: int, requests: bytes, count: int
) -> list[int]:
    statuses = []
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(requests)
            for _ in range(count):
                head = await reader.readuntil(b'\r\n\r\n')
                length = re.search(rb'(?i)content-length: (\d+)', head)
                assert length is not None, head
                await reader.readexactly(int(length[1]))
                statuses.append(int(head.split()[1]))
        finally:
            writer.close()
    return statuses


@then('it gets {count:d} answers in the order of its requests')
def check_order(context: Any, count: int) -> None:
    expected = [200 if number % 2 == 0 else 410 for number in range(count)]
    assert context.statuses == expected, context.statuses


@then(
    'the metrics of {entry} count at least {count:d} connections refused as '
    '{cause}'
)
def check_metrics(context: Any, entry: str, count: int, cause: str) -> None:
    world = world_of(context)
    url = f'http://{world.hosts[entry]}:{world.metrics_port}/metrics'
    text = world.call('GET', url).body.decode()
    found = re.search(
        rf'refused_connections_total{{cause="{cause}",server="http_address"}} '
        r'(\d+)',
        text,
    )
    assert found is not None and int(found[1]) >= count, text[:3000]


@then(
    'the log of {entry} tells the client, the cause and the size of a refusal'
)
def check_log(context: Any, entry: str) -> None:
    log = world_of(context).log_of(entry)
    lines = [n for n in log.splitlines() if 'event=connection_refused' in n]
    for field in ('client=127.0.0.1', 'cause=invalid', 'received_bytes='):
        assert any(field in line for line in lines), lines[:3]


@then(
    '{name} answers {status:d} to a configuration of {size:d} bytes at '
    '{target}'
)
def send_configuration(
    context: Any, name: str, status: int, size: int, target: str
) -> None:
    world = world_of(context)
    context.version += 1
    wire = json.loads(platform_world.configuration(context.version))
    body = json.dumps(wire).encode().ljust(size)
    head = (
        f'POST {target} HTTP/1.1\r\nHost: control\r\n'
        f'Content-Length: {size}\r\n\r\n'
    )
    answer = world.thread.run(
        _exchange(
            world.hosts[name], world.control_port, [head.encode() + body]
        )
    )
    assert int(answer.split()[1]) == status, answer
