"""Responses to requests that are refused before a handler sees them."""

import dataclasses
from http import HTTPStatus
from typing import Protocol

from aiohttp import web

from greengagering.protocol import errors as protocol_errors
from greengagering.protocol import headers
from greengagering.protocol import pages
from greengagering.transport import _http


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request is refused; no part of it has run.

    Attributes:
        status: HTTP status.
        kind: machine-readable cause.
        message: explanation for a person.
        fields: fields at fault, if any.
        retry_after_s: time until a retry makes sense; 0 is unknown.
    """

    status: int
    kind: pages.ErrorKind
    message: str
    fields: tuple[protocol_errors.FieldError, ...] = ()
    retry_after_s: float = 0.0


class RefusalFormat(Protocol):
    """Creates the response that tells a client of a refusal."""

    def __call__(self, refusal: Refusal) -> web.Response:
        """Return the response."""
        ...


def page_refusal(refusal: Refusal) -> web.Response:
    """Return a refusal as one of the product's own error pages."""
    page = pages.ErrorPage(refusal.kind, refusal.message, refusal.fields)
    return _http.error_response(
        refusal.status,
        page,
        headers.CallOutcome.NOT_RUN,
        refusal.retry_after_s,
    )


def encode_response(response: web.Response) -> bytes:
    """Return a response as bytes, after which the connection is closed."""
    body = response.body
    assert isinstance(body, bytes)
    reason = HTTPStatus(response.status).phrase
    lines = [f'HTTP/1.1 {response.status} {reason}']
    lines += [f'{name}: {value}' for name, value in response.headers.items()]
    lines += [f'Content-Length: {len(body)}', 'Connection: close', '', '']
    return '\r\n'.join(lines).encode('latin-1') + body
