"""Encoding of records and state as MessagePack, and ticket digests."""

import hashlib
from typing import Any
from typing import TypeVar

import msgspec

from greengagering.state import _model
from greengagering.state import errors

Decoded = TypeVar('Decoded')


class _StoredRecord(msgspec.Struct, array_like=True):
    """A record with its type name."""

    kind: str
    body: msgspec.Raw


def encode(value: Any) -> bytes:
    """Return the MessagePack encoding of a data class."""
    return msgspec.msgpack.encode(value)


def decode(data: bytes, kind: type[Decoded]) -> Decoded:
    """Return the data class that was encoded.

    Raises:
        StateError: the bytes don't encode a value of this type.
    """
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except msgspec.MsgspecError as error:
        raise errors.StateError(f'not a {kind.__name__}: {error}') from error


def encode_record(record: _model.Record) -> bytes:
    """Return a log record as MessagePack with its type name."""
    return msgspec.msgpack.encode([type(record).__name__, record])


def decode_record(data: bytes) -> _model.Record:
    """Return the record that was encoded.

    Raises:
        StateError: the type is unknown, or the body doesn't fit the type.
    """
    stored = decode(data, _StoredRecord)
    kind = _model.RECORD_TYPES.get(stored.kind)
    if kind is None:
        raise errors.StateError(f'unknown record type {stored.kind!r}')
    return decode(bytes(stored.body), kind)


def ticket_digest(ticket: _model.Ticket) -> str:
    """Return the SHA-256 of the ticket's canonical JSON."""
    canonical = msgspec.json.encode(ticket, order='sorted')
    return hashlib.sha256(canonical).hexdigest()
