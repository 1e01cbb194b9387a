"""What the clients of crowds send, by a name for the features."""

from collections.abc import Iterator
import itertools
import json

from features.support import crowds
from features.support import platform_world

BODY_BYTES = 262_144
ENDLESS_BYTES = 4 * 1024 * 1024
MANY = 480
MORE_THAN_FILES = 600
FEW = 60
QUIET_READERS = 150

PLAN_BYTES = 4 * 1024 * 1024
REPORT_BYTES = 64 * 1024
CALL_BYTES = 8 * 1024 * 1024
TICKET_BYTES = 1024 * 1024
CALL_LINE = 'POST /call/dispatch/x HTTP/1.1\r\n'
TICKET_LINE = 'POST /v1/tickets HTTP/1.1\r\n'
PLAN_LINE = 'POST /config/replace HTTP/1.1\r\n'
REPORT_LINE = 'POST /instances/i-1/heartbeat HTTP/1.1\r\n'
LINE = f'POST {platform_world.PREFIX}00000000000000ff HTTP/1.1\r\n'
HOST_FIELD = f'Host: {platform_world.HOST}\r\n'
TYPE = 'Content-Type: application/json\r\n'
START = (LINE + HOST_FIELD + TYPE).encode()
CHUNKED = START + b'Transfer-Encoding: chunked\r\n\r\n'
READ_LINE = f'GET {platform_world.PREFIX} HTTP/1.1\r\n'
READ = (READ_LINE + HOST_FIELD + '\r\n').encode()


def _sized(length: int, line: str = LINE) -> bytes:
    length_field = f'Content-Length: {length}\r\n\r\n'
    return (line + HOST_FIELD + TYPE + length_field).encode()


def _chunk(size: int) -> bytes:
    return f'{size:x}\r\n'.encode() + b'x' * size + b'\r\n'


def _large_job() -> bytes:
    """Return a valid job of the largest size, with as many steps as allowed.

    Its steps name earlier steps, which takes the most memory for its bytes.
    """
    steps = [
        {'count': 1, 'cpu': 1, 'memMb': 1, 'after': list(range(number))[-55:]}
        for number in range(1000)
    ]
    body = json.dumps({'spec': 'x', 'steps': steps}, separators=(',', ':'))
    return body.encode().ljust(BODY_BYTES)


def _large_jobs(count: int) -> crowds.Pieces:
    """Return pieces that are other large jobs for each client.

    Args:
        count: number of jobs that a client sends, one after the other.
    """
    numbers = itertools.count(1)
    body = _large_job()

    def pieces() -> Iterator[bytes]:
        for _ in range(count):
            job_id = f'{0xFF00000000000000 + next(numbers):016x}'
            line = f'POST {platform_world.PREFIX}{job_id} HTTP/1.1\r\n'
            yield _sized(BODY_BYTES, line) + body

    return pieces


SHORT_BODY = _sized(BODY_BYTES) + b'x' * (BODY_BYTES - 1)

CROWDS = {
    'a field value without end': crowds.Crowd(
        FEW, crowds.repeat(START + b'X-Long: ', b'v', ENDLESS_BYTES)
    ),
    'a field name without end': crowds.Crowd(
        FEW, crowds.repeat(START, b'n', ENDLESS_BYTES)
    ),
    'a request line without end': crowds.Crowd(
        FEW, crowds.repeat(b'GET /', b'p', ENDLESS_BYTES)
    ),
    'fields without end': crowds.Crowd(
        FEW,
        crowds.repeat(START, b'X-Some: ' + b'v' * 1000 + b'\r\n', 4_194_304),
    ),
    'empty lines without end': crowds.Crowd(
        MORE_THAN_FILES, crowds.repeat(b'', b'\r\n', 256 * 1024)
    ),
    'bytes that are not HTTP': crowds.Crowd(
        FEW, crowds.repeat(b'\x16\x03\x01', b'\x00\xff\x80', ENDLESS_BYTES)
    ),
    'whole bodies': crowds.Crowd(
        MANY, crowds.cut(SHORT_BODY + b'x', BODY_BYTES * 2)
    ),
    'whole jobs of many steps': crowds.Crowd(MANY, _large_jobs(1)),
    'large jobs one after the other': crowds.Crowd(4, _large_jobs(40)),
    'bodies that stop short of their end': crowds.Crowd(
        MANY, crowds.cut(SHORT_BODY, BODY_BYTES * 2)
    ),
    'bodies in pieces that stop short of their end': crowds.Crowd(
        MANY, crowds.cut(SHORT_BODY, 4096)
    ),
    'large chunks that stop short of their end': crowds.Crowd(
        MANY,
        crowds.cut(
            CHUNKED + _chunk(16_384) * 15 + _chunk(16_383), BODY_BYTES * 2
        ),
    ),
    'chunks of one byte that stop short of their end': crowds.Crowd(
        300, crowds.cut(CHUNKED + _chunk(1) * 32_768, 16_384)
    ),
    'chunk extensions without end': crowds.Crowd(
        FEW, crowds.repeat(CHUNKED + b'1;', b'e', ENDLESS_BYTES)
    ),
    'trailers without end': crowds.Crowd(
        FEW,
        crowds.repeat(
            CHUNKED + _chunk(1) + b'0\r\n',
            b'X-Some: ' + b'v' * 1000 + b'\r\n',
            ENDLESS_BYTES,
        ),
    ),
    'a body after its refusal': crowds.Crowd(
        FEW, crowds.repeat(_sized(2**30), b'x', ENDLESS_BYTES)
    ),
    'configurations that stop short of their end': crowds.Crowd(
        FEW,
        crowds.repeat(_sized(PLAN_BYTES, PLAN_LINE), b'x', PLAN_BYTES - 1),
    ),
    'calls that stop short of their end': crowds.Crowd(
        FEW,
        crowds.repeat(_sized(CALL_BYTES, CALL_LINE), b'x', CALL_BYTES - 1),
    ),
    'tickets that stop short of their end': crowds.Crowd(
        MANY // 2,
        crowds.repeat(
            _sized(TICKET_BYTES, TICKET_LINE), b'x', TICKET_BYTES - 1
        ),
    ),
    'reports that stop short of their end': crowds.Crowd(
        MANY,
        crowds.repeat(
            _sized(REPORT_BYTES, REPORT_LINE), b'x', REPORT_BYTES - 1
        ),
    ),
    'nothing': crowds.Crowd(MORE_THAN_FILES, crowds.cut(b'', 1)),
    'half a head': crowds.Crowd(MORE_THAN_FILES, crowds.cut(START, 4096)),
    'one request and then nothing': crowds.Crowd(
        MORE_THAN_FILES, crowds.cut(READ, 4096)
    ),
    'questions for the configuration whose answers they do not read': (
        crowds.Crowd(
            QUIET_READERS,
            crowds.cut(
                b'GET /config/read HTTP/1.1\r\nHost: control\r\n\r\n', 4096
            ),
            reads=False,
        )
    ),
    'one request and much behind it': crowds.Crowd(
        MANY, crowds.cut(READ + b'GET /' + b'p' * 240_000, 512 * 1024)
    ),
    'requests ahead of their answers': crowds.Crowd(
        FEW, crowds.repeat(b'', READ, 16 * 1024)
    ),
    'requests whose answers they do not read': crowds.Crowd(
        FEW, crowds.repeat(b'', READ, 16 * 1024), reads=False
    ),
}
