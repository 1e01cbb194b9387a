"""Parsing and validation of a call's headers."""

from collections.abc import Mapping
import dataclasses

from greengagering import coordination
from greengagering import protocol
from greengagering.protocol import errors
from greengagering.protocol import headers

MAX_KEY_CHARACTERS = 255
MAX_TIME_DIGITS = 15


@dataclasses.dataclass(frozen=True, slots=True)
class CallOptions:
    """Options that a caller sets by headers.

    Attributes:
        call_class: urgent or patient.
        deadline_s: time left until the answer is due.
        idempotency_key: caller's key of non-idempotent work, or ''.
        key_issued_at_ms: Unix time at which the caller made the key.
    """

    call_class: coordination.CallClass
    deadline_s: float
    idempotency_key: str
    key_issued_at_ms: int


def parse_call_headers(
    fields: Mapping[str, str], default_deadline_s: float, max_deadline_s: float
) -> CallOptions:
    """Parse a call's headers.

    Raises:
        InvalidInputError: a header has a value that isn't allowed.
    """
    problems: list[errors.FieldError] = []
    options = CallOptions(
        call_class=_parse_class(fields, problems),
        deadline_s=_parse_deadline(
            fields, default_deadline_s, max_deadline_s, problems
        ),
        idempotency_key=_parse_key(fields, problems),
        key_issued_at_ms=_parse_issued_at(fields, problems),
    )
    if problems:
        raise errors.InvalidInputError('call', problems)
    return options


def _parse_class(
    fields: Mapping[str, str], problems: list[errors.FieldError]
) -> coordination.CallClass:
    text = fields.get(headers.CLASS, coordination.CallClass.URGENT)
    try:
        return coordination.CallClass(text)
    except ValueError:
        _add_problem(
            problems, headers.CLASS, text, 'must be urgent or patient'
        )
        return coordination.CallClass.URGENT


def _parse_deadline(
    fields: Mapping[str, str],
    default_s: float,
    max_s: float,
    problems: list[errors.FieldError],
) -> float:
    text = fields.get(headers.DEADLINE_MS)
    if text is None:
        return default_s
    max_ms = int(max_s * 1000)
    is_number = text.isascii() and text.isdigit()
    # Only the first twelve digits are compared; without leading zeros, a
    # longer text exceeds any maximum in use.
    if not is_number or not 1 <= int(text[:12]) <= max_ms:
        allowed = f'must be whole milliseconds from 1 to {max_ms}'
        _add_problem(problems, headers.DEADLINE_MS, text, allowed)
        return default_s
    return int(text) / 1000


def _parse_key(
    fields: Mapping[str, str], problems: list[errors.FieldError]
) -> str:
    text = fields.get(headers.IDEMPOTENCY_KEY, '')
    if headers.IDEMPOTENCY_KEY in fields and not text.strip():
        _add_problem(
            problems, headers.IDEMPOTENCY_KEY, text, 'must not be empty'
        )
    if not text.isprintable():
        # Bytes that aren't UTF-8 can't be passed on to control.
        allowed = 'must consist of printable characters'
        _add_problem(problems, headers.IDEMPOTENCY_KEY, text, allowed)
    if len(text) > MAX_KEY_CHARACTERS:
        allowed = f'must have at most {MAX_KEY_CHARACTERS} characters'
        _add_problem(problems, headers.IDEMPOTENCY_KEY, text, allowed)
    return text.strip()


def _parse_issued_at(
    fields: Mapping[str, str], problems: list[errors.FieldError]
) -> int:
    if headers.IDEMPOTENCY_KEY not in fields:
        return 0
    text = fields.get(headers.KEY_ISSUED_AT_MS, '')
    is_number = text.isascii() and text.isdigit()
    if not is_number or len(text) > MAX_TIME_DIGITS:
        allowed = (
            f'must be the Unix time in milliseconds at which the '
            f'{headers.IDEMPOTENCY_KEY} was made'
        )
        _add_problem(problems, headers.KEY_ISSUED_AT_MS, text, allowed)
        return 0
    return int(text)


def _add_problem(
    problems: list[errors.FieldError], name: str, value: str, message: str
) -> None:
    problems.append(errors.FieldError(name, protocol.shorten(value), message))
