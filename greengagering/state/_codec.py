"""Encoding of records and state as MessagePack, and ticket digests."""

from collections.abc import Callable
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
    """Return the MessagePack encoding of a data class.

    Raises:
        EncodeError: a part of it has no encoding.
    """
    try:
        return msgspec.msgpack.encode(value)
    except (OverflowError, UnicodeEncodeError) as error:
        raise errors.EncodeError(
            f'{type(value).__name__} has no encoding: {error}'
        ) from error


def decode(data: bytes, kind: type[Decoded]) -> Decoded:
    """Return the data class that was encoded as MessagePack.

    Raises:
        DecodeError: the bytes don't encode a value of this type.
    """
    return _decode(msgspec.msgpack.decode, data, kind)


def decode_json(data: bytes, kind: type[Decoded]) -> Decoded:
    """Return the value that JSON encodes.

    Raises:
        DecodeError: the bytes don't encode a value of this type.
    """
    return _decode(msgspec.json.decode, data, kind)


def _decode(
    decoder: Callable[..., Any], data: bytes, kind: type[Decoded]
) -> Decoded:
    name = getattr(kind, '__name__', str(kind))
    try:
        decoded: Decoded = decoder(data, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise errors.DecodeError(name, str(error)) from error
    except RecursionError:
        # Fields that the type doesn't have are decoded to any depth. The
        # error's traceback would hold a line for each level.
        raise errors.DecodeError(name, 'is nested too deeply') from None
    return decoded


def encode_record(record: _model.Record) -> bytes:
    """Return a log record as MessagePack with its type name.

    Raises:
        EncodeError: a part of it has no encoding.
    """
    return encode([type(record).__name__, record])


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
