"""Bounds of numbers, names and addresses that come from outside.

The types hold for msgspec and pydantic models alike. Whatever they accept can
be encoded, added up and shown.
"""

import ipaddress
import re
from typing import Annotated

import msgspec
import pydantic

MAX_EXACT = 2**53 - 1
"""Largest whole number that every JSON reader keeps exactly. Records hold up
to 2**64 - 1, so sums of such numbers can be stored too."""

MAX_VERSION = 2**63 - 1
"""Largest version; versions are only compared, and may be times in ns."""

MAX_UNIX_MS = 253_402_300_799_999
"""End of the year 9999; later times can't be shown as dates."""

MAX_STEADY_MS = 100 * 366 * 86_400_000
"""Longest time since a machine's start, 100 years: clocks and intervals."""

MAX_DURATION_MS = 10 * 366 * 86_400_000
"""Longest duration, ten years: its product with the largest counts and
amounts is finite."""

MAX_AMOUNT = 10**9
"""Largest amount of a resource: a million cores, or a petabyte of memory."""

MAX_RANK = 10**9
"""Largest priority, weight or factor, by absolute value."""

MAX_PORT = 65535
MAX_HOST_CHARACTERS = 253
"""Longest host name that the DNS can hold."""

MAX_NAME_CHARACTERS = 255
"""Longest id in a path; longer than any host name."""

Port = Annotated[int, pydantic.Field(ge=1, le=MAX_PORT)]
Count = Annotated[
    int,
    msgspec.Meta(ge=0, le=MAX_EXACT),
    pydantic.Field(ge=0, le=MAX_EXACT),
]
Number = Annotated[
    int,
    msgspec.Meta(ge=1, le=MAX_EXACT),
    pydantic.Field(ge=1, le=MAX_EXACT),
]
UnixMs = Annotated[
    int,
    msgspec.Meta(ge=0, le=MAX_UNIX_MS),
    pydantic.Field(ge=0, le=MAX_UNIX_MS),
]
UnixMsFloat = Annotated[float, msgspec.Meta(ge=0, le=MAX_UNIX_MS)]
SteadyMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_STEADY_MS)]
DurationMs = Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_MS)]
DurationS = Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_MS / 1000)]
Amount = Annotated[int, msgspec.Meta(ge=0, le=MAX_AMOUNT)]
Figure = Annotated[float, msgspec.Meta(ge=0, le=MAX_AMOUNT)]

_HOST = re.compile(
    r'[A-Za-z0-9_]([A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?'
    r'(\.[A-Za-z0-9_]([A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?)*'
)


def check_address(value: str) -> str:
    """Return an address as host:port.

    Raises:
        ValueError: the host or the port is missing or invalid.
    """
    host, separator, port = value.rpartition(':')
    if not separator or not host:
        raise ValueError('an address is host:port, as in 10.0.0.1:7100')
    check_host(host)
    if read_digits(port, MAX_PORT) in (None, 0):
        raise ValueError(f'the port must be a number from 1 to {MAX_PORT}')
    return value


def check_host(value: str) -> str:
    """Return a host name, IPv4 address or IPv6 address in brackets.

    Raises:
        ValueError: it is none of these.
    """
    is_valid = len(value) <= MAX_HOST_CHARACTERS
    if value.startswith('[') and value.endswith(']'):
        try:
            ipaddress.IPv6Address(value[1:-1])
        except ValueError:
            is_valid = False
    elif _HOST.fullmatch(value) is None:
        is_valid = False
    if not is_valid:
        raise ValueError(
            'the host must be a name, an IPv4 address or an IPv6 address in '
            'brackets'
        )
    return value


def check_id(value: str) -> str:
    """Return an id that can be sent as a header and shown on one line.

    Raises:
        ValueError: it is empty, too long, or has other characters.
    """
    if not 1 <= len(value) <= MAX_NAME_CHARACTERS:
        raise ValueError(f'1 to {MAX_NAME_CHARACTERS} characters are allowed')
    if not (value.isascii() and value.isprintable()):
        raise ValueError('only printable ASCII characters are allowed')
    return value


def read_digits(text: str, most: int) -> int | None:
    """Return a number of ASCII digits, or None if it is none or too large.

    str.isdigit alone also accepts digits that int can't convert.
    """
    if not (text.isascii() and text.isdigit()):
        return None
    digits = text.lstrip('0') or '0'
    if len(digits) > len(str(most)) or int(digits) > most:
        return None
    return int(digits)
