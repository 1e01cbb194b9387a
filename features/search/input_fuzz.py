"""Seeded random input for everything that reads input from outside."""

import copy
import json
import random
from typing import Any

from greengagering import protocol
from greengagering.protocol import errors
from greengagering.protocol import link_pb2
from greengagering.protocol import links

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
ODD_VALUES: tuple[Any, ...] = (
    None,
    True,
    -1,
    0,
    2**70,
    1.5,
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

    def _read(self, reader: Any, value: Any) -> None:
        try:
            if reader is protocol.parse_ticket:
                reader(value, 'ticket')
            else:
                reader(value)
            self.accepted += 1
        except errors.InvalidInputError as error:
            self.refused += 1
            assert error.fields
            for field in error.fields:
                assert field.field
                assert len(field.value) < 200
        except errors.UnknownMessageError:
            self.refused += 1

    def _mutate(self, valid: dict[str, Any]) -> bytes:
        document = json.loads(json.dumps(valid))
        for _ in range(self.rng.randint(0, 2)):
            self._mutate_one(document)
        data = json.dumps(document).encode()
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
        return link_pb2.Message(
            kind=self.rng.choice(MESSAGE_KINDS),
            body=self.rng.randbytes(size),
        )


def _announce(data: bytes) -> None:
    protocol.parse_announcement(data).to_upstream()


def _decode(message: link_pb2.Message) -> None:
    links.decode_message(message)
