"""Decoding and encoding of the platform's JSON bodies."""

from typing import Any
from typing import TypeVar

import msgspec

from greengagering.protocol import errors as protocol_errors

JSON_TYPE = 'application/json'
MAX_SHOWN_CHARACTERS = 200

Wire = TypeVar('Wire', bound=msgspec.Struct)


class WireModel(msgspec.Struct, rename='camel'):
    """Base of the platform's JSON bodies; unknown fields are ignored."""


def read_body(data: bytes, kind: type[Wire], source: str) -> Wire:
    """Decode and validate a body.

    Raises:
        InvalidInputError: the body is not JSON or does not match the model.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise invalid(source, '(body)', str(error)) from error


def invalid(
    source: str, field: str, message: str, value: Any = ''
) -> protocol_errors.InvalidInputError:
    """Create the error for an invalid field."""
    shown = str(value)[:MAX_SHOWN_CHARACTERS]
    return protocol_errors.InvalidInputError(
        source, [protocol_errors.FieldError(field, shown, message)]
    )


def write_body(value: Any) -> bytes:
    """Encode a value as a JSON body."""
    return msgspec.json.encode(value)
