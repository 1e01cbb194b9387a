"""Seeded random input for everything that reads input from outside."""

import copy
import json
import random
from typing import Any

from greengagering import coordination
from greengagering.platform import _jobs
from greengagering.platform import _plans
from greengagering.platform import _reports
from greengagering.platform import _waves
from greengagering import protocol
from greengagering.protocol import errors
from greengagering.protocol import link_pb2
from greengagering.protocol import links
from greengagering import state

TICKET: dict[str, Any] = {
    'number': 5,
    'author': 'operator-a',
    'reason': 'a change',
    'pools': [{'name': 'pool-a', 'service': 's', 'vms': ['vm-1', 'vm-2']}],
    'budgets': [{'service': 's', 'min_available_vms': 1, 'max_out_vms': 2}],
    'waves': [{'name': 'w', 'pools': ['pool-a'], 'max_parallel_vms': 2}],
    'control': [{'replica_id': 'control-1', 'address': '10.0.0.1:7100'}],
}
ANNOUNCEMENT: dict[str, Any] = {
    'vm': 'vm-1',
    'pool': 'pool-a',
    'address': '10.0.0.1:80',
    'data_centre': 'dc-1',
    'rack': 'rack-1',
    'slot_count': 8,
    'connection_count': 64,
    'boot_id': 'a',
    'boot_started_at_ms': 1,
    'sequence': 1,
    'in_flight_count': 0,
}
HEARTBEAT: dict[str, Any] = {
    'service': 'alpha',
    'address': '10.0.0.9:8080',
    'zone': 'z-1',
    'state': 'ready',
    'capacity': {'cpu': 16000, 'memMb': 32768, 'gpu': 0},
    'labels': ['a', 'r1-3'],
    'wallClockMs': 482113,
    'seq': 4,
    'born': 1000,
}
JOB: dict[str, Any] = {
    'spec': 'text',
    'steps': [
        {
            'count': 2,
            'cpu': 500,
            'memMb': 256,
            'estMs': 900,
            'maxPerServer': 2,
            'targetMs': 40,
            'mayMiss': 1,
        }
    ],
    'times': 2,
    'firstMs': 1000,
    'intervalMs': 500,
}
CONFIGURATION: dict[str, Any] = {
    'version': 7,
    'routes': [
        {
            'name': 'r-1',
            'host': 'a.example',
            'pathPrefix': '/quick/',
            'timeoutMs': 3000,
            'targetDurationMs': 600,
            'priority': 1,
            'service': 'alpha',
            'attempts': 2,
            'stretch': 1.6,
            'advice': {'decideMs': 5, 'eachMs': 1, 'validityMs': 900},
        }
    ],
    'services': [{'name': 'alpha', 'maxConns': 64}],
    'limits': {'maxBodyBytes': 1000},
    'tenants': [
        {
            'name': 'first',
            'apiKeys': ['secret-1'],
            'weight': 68,
            'maxCount': {'cpu': 7000, 'memMb': 12000, 'gpu': 0},
        }
    ],
}
WAVE: dict[str, Any] = {
    'wave': 1,
    'machines': ['m-1', 'm-2'],
    'deadlineS': 20,
    'maxCount': 1,
}
NESTED_DEPTH = 5000
"""More levels than any interpreter decodes by recursion."""

NESTED = '@nested@'
ODD_VALUES: tuple[Any, ...] = (
    None,
    True,
    -1,
    0,
    2**63,
    2**64 - 1,
    2**70,
    10**30,
    -(10**30),
    1.5,
    1e300,
    NESTED,
    '10.0.0.9:0',
    '10.0.0.9:99999',
    '10.0.0.9:\u00b2',
    '10.0.0.9:\u0663',
    'a b:80',
    '[::1:80',
    '..:80',
    '',
    ' ',
    'x' * 5000,
    '\u0000',
    '\ud83d',
    '../../etc',
    [],
    [[]],
    {},
    {'a': {}},
)
MESSAGE_KINDS = (
    'VoteRequest',
    'AppendRequest',
    'EntryReport',
    'LeaseGrant',
    'ClaimRequest',
    'NoSuchKind',
    '',
)


class InputFuzz:
    """Feeds random input to readers, and counts accepted and refused input."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.accepted = 0
        self.refused = 0

    def run(self, rounds: int) -> None:
        """Feed mutated and random input to every reader.

        Raises:
            Exception: a reader raised an error that it does not declare.
        """
        for _ in range(rounds):
            self._read(protocol.parse_ticket, self._mutate(TICKET))
            self._read(_announce, self._mutate(ANNOUNCEMENT))
            self._read(_decode, self._random_message())
            self._read(_report, self._mutate(HEARTBEAT))
            self._read(_parse_job, self._mutate(JOB))
            self._read(_plans.parse_plan, self._mutate(CONFIGURATION))
            self._read(_waves.parse_wave, self._mutate(WAVE))

    def _read(self, reader: Any, value: Any) -> None:
        try:
            if reader is protocol.parse_ticket:
                read = reader(value, 'ticket')
            else:
                read = reader(value)
        except errors.InvalidInputError as error:
            self.refused += 1
            assert error.fields
            for field in error.fields:
                assert field.field
                assert len(field.field) < 400
                assert len(field.value) < 200
        except errors.UnknownMessageError:
            self.refused += 1
        else:
            self.accepted += 1
            # What is accepted can be stored and passed on.
            assert state.decode(state.encode(read), type(read)) == read

    def _mutate(self, valid: dict[str, Any]) -> bytes:
        document = json.loads(json.dumps(valid))
        for _ in range(self.rng.randint(0, 2)):
            self._mutate_one(document)
        nested = '[' * NESTED_DEPTH + ']' * NESTED_DEPTH
        text = json.dumps(document).replace(f'"{NESTED}"', nested)
        data = text.encode()
        if self.rng.random() < 0.2:
            data = self._cut_or_flip(data)
        return data

    def _mutate_one(self, value: Any) -> None:
        """Replace, drop or add something at a random depth."""
        if isinstance(value, list):
            if value and self.rng.random() < 0.8:
                inner = value[0]
                if isinstance(inner, dict):
                    self._mutate_one(inner)
                    return
            value.append(self._odd_value())
            return
        if not value:
            return
        key = self.rng.choice(list(value))
        draw = self.rng.random()
        if isinstance(value[key], list) and draw < 0.5:
            self._mutate_one(value[key])
        elif draw < 0.7:
            value[key] = self._odd_value()
        elif draw < 0.85:
            del value[key]
        else:
            value[f'{key}_ms'] = self._odd_value()

    def _odd_value(self) -> Any:
        return copy.deepcopy(self.rng.choice(ODD_VALUES))

    def _cut_or_flip(self, data: bytes) -> bytes:
        position = self.rng.randrange(len(data))
        if self.rng.random() < 0.5:
            return data[:position]
        flipped = bytearray(data)
        flipped[position] ^= 1 << self.rng.randrange(8)
        return bytes(flipped)

    def _random_message(self) -> link_pb2.Message:
        size = self.rng.choice((0, 1, 10, 100))
        body = self.rng.randbytes(size)
        if self.rng.random() < 0.1:
            # A map with an unknown field, and lists of one element each.
            body = b'\x81\xa1z' + b'\x91' * NESTED_DEPTH + b'\xc0'
        return link_pb2.Message(kind=self.rng.choice(MESSAGE_KINDS), body=body)


def _announce(data: bytes) -> coordination.Upstream:
    return protocol.parse_announcement(data).to_upstream()


def _report(data: bytes) -> coordination.WorkerReport:
    return _reports.parse_heartbeat('i-1', data)


def _parse_job(data: bytes) -> state.JobSpec:
    return _jobs.parse_job('0123456789abcdef', data)


def _decode(message: link_pb2.Message) -> links.LinkMessage:
    return links.decode_message(message)
