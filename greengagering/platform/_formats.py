"""Decoding and encoding of the platform's JSON bodies."""

import re
from typing import Any
from typing import TypeVar

import msgspec

from greengagering import logs
from greengagering.protocol import errors as protocol_errors
from greengagering import state
from greengagering.state import errors as state_errors

JSON_TYPE = 'application/json'
MAX_SHOWN_CHARACTERS = 150
BODY = '(body)'

_PATH = re.compile(r' - at `\$([^`]*)`$')
_PATH_PART = re.compile(r'\.(\w+)|\[(\d+)\]')

Wire = TypeVar('Wire')
Row = TypeVar('Row')


class WireModel(msgspec.Struct, rename='camel'):
    """Base of the platform's JSON bodies; unknown fields are ignored."""


def read_body(data: bytes, kind: type[Wire], source: str) -> Wire:
    """Decode and validate a body.

    Raises:
        InvalidInputError: the body is not JSON or does not match the model.
    """
    try:
        return state.decode_json(data, kind)
    except state_errors.DecodeError as error:
        found = _PATH.search(error.cause)
        path = found[1] if found else ''
        # A value of a wrong type isn't shown, as it may be a key.
        is_key_possible = ', got ' in error.cause
        value = '' if is_key_possible else _find_number(data, path)
        raise invalid(source, BODY + path, error.cause, value) from error


def read_rows(
    data: msgspec.Raw, kind: type[Row], source: str
) -> tuple[list[Row], list[msgspec.Raw]]:
    """Decode the rows of a list, each by itself if one of them is invalid.

    Args:
        data: the list.
        kind: type of a row.
        source: name of the list, for the log.

    Returns:
        The valid rows and the others.

    Raises:
        InvalidInputError: the data is not a list.
    """
    try:
        return state.decode_json(bytes(data), list[kind]), []  # type: ignore[valid-type]
    except state_errors.DecodeError:
        pass
    read: list[Row] = []
    unread: list[msgspec.Raw] = []
    cause = ''
    for row in read_body(bytes(data), list[msgspec.Raw], source):
        try:
            read.append(read_body(bytes(row), kind, source))
        except protocol_errors.InvalidInputError as error:
            unread.append(row)
            cause = cause or str(error)
    logs.warning(
        'rows_unreadable', list=source, count=len(unread), cause=cause
    )
    return read, unread


def _find_number(data: bytes, path: str) -> Any:
    """Return the number at a path of an invalid body, or ''."""
    try:
        value: Any = state.decode_json(data, object)
        for name, index in _PATH_PART.findall(path):
            value = value[name] if name else value[int(index)]
    except (state_errors.DecodeError, LookupError, TypeError):
        # The body, or a number in it, can't be read at all.
        return ''
    return value if type(value) in (int, float) else ''


def invalid(
    source: str, field: str, message: str, value: Any = ''
) -> protocol_errors.InvalidInputError:
    """Create the error for an invalid field."""
    return protocol_errors.InvalidInputError(
        source,
        [
            protocol_errors.FieldError(
                _shorten(field), _shorten(value), _shorten(message)
            )
        ],
    )


def check_range(
    source: str, field: str, value: float, lowest: float, highest: float
) -> None:
    """Check a number of a body.

    Raises:
        InvalidInputError: it is outside the range.
    """
    if not lowest <= value <= highest:
        raise invalid(
            source, field, f'must be from {lowest} to {highest}', value
        )


def _shorten(value: Any) -> str:
    # A path may hold bytes that aren't UTF-8, which can't be encoded.
    text = str(value).encode(errors='backslashreplace').decode()
    if len(text) > MAX_SHOWN_CHARACTERS:
        return f'{text[:MAX_SHOWN_CHARACTERS]}...'
    return text


def write_body(value: Any) -> bytes:
    """Encode a value as a JSON body."""
    return msgspec.json.encode(value)
