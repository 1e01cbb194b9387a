"""Responses and bodies of requests, for all HTTP interfaces."""

import asyncio
import resource
from typing import Any

from aiohttp import web

from greengagering.protocol import errors as protocol_errors
from greengagering.protocol import headers
from greengagering.protocol import pages

JSON_TYPE = 'application/json'
KILOBYTES_PER_MEGABYTE = 1024
PAGE_BYTES = resource.getpagesize()


def page_response(page: Any, status: int = 200) -> web.Response:
    """Return a page as a JSON response."""
    return web.Response(
        status=status, body=pages.encode_page(page), content_type=JSON_TYPE
    )


def error_response(
    status: int,
    page: pages.ErrorPage,
    outcome: headers.CallOutcome | None = None,
    retry_after_s: float = 0.0,
) -> web.Response:
    """Return an error response.

    Args:
        status: HTTP status.
        page: the error.
        outcome: outcome of a call, or None for other requests.
        retry_after_s: time until a retry makes sense; 0 omits the header.
    """
    response = page_response(page, status)
    if outcome is not None:
        response.headers[headers.OUTCOME] = outcome
        response.headers[headers.REASON] = page.kind
    if retry_after_s > 0:
        # The header's unit is whole seconds, so a shorter time rounds up.
        response.headers[headers.RETRY_AFTER] = str(int(retry_after_s + 0.999))
    return response


def invalid_response(
    error: protocol_errors.InvalidInputError,
    outcome: headers.CallOutcome | None = None,
) -> web.Response:
    """Return the response to input that fails validation."""
    page = pages.ErrorPage(
        kind=pages.ErrorKind.INVALID_INPUT,
        message=str(error),
        fields=tuple(error.fields),
    )
    return error_response(400, page, outcome)


async def read_body(
    request: web.Request, max_bytes: int, timeout_s: float
) -> bytes | web.Response:
    """Read a request's body within limits of size and time.

    The server passes whole requests on, so the time only ends a request whose
    framing the HTTP parser reads in another way than the server does.

    Returns:
        The body, or the response that names the exceeded limit.
    """
    length = request.content_length
    if length is not None and length > max_bytes:
        return _too_large(length, max_bytes)
    chunks = bytearray()
    try:
        async with asyncio.timeout(timeout_s):
            async for chunk in request.content.iter_any():
                chunks += chunk
                if len(chunks) > max_bytes:
                    return _too_large(len(chunks), max_bytes)
    except TimeoutError:
        page = pages.ErrorPage(
            pages.ErrorKind.TOO_SLOW,
            f'{len(chunks)} bytes of the body came within {timeout_s:g} s, '
            'and the rest did not',
        )
        return _force_close(
            error_response(408, page, headers.CallOutcome.NOT_RUN)
        )
    return bytes(chunks)


def too_large_page(size_bytes: int, max_bytes: int) -> pages.ErrorPage:
    """Return the error of a body that exceeds its limit."""
    return pages.ErrorPage(
        pages.ErrorKind.TOO_LARGE,
        f'the body has at least {size_bytes} bytes, and {max_bytes} are '
        'allowed',
        (
            protocol_errors.FieldError(
                'body', f'{size_bytes} bytes', f'at most {max_bytes} bytes'
            ),
        ),
    )


def _too_large(size_bytes: int, max_bytes: int) -> web.Response:
    page = too_large_page(size_bytes, max_bytes)
    return _force_close(error_response(413, page, headers.CallOutcome.NOT_RUN))


def _force_close(response: web.Response) -> web.Response:
    # The rest of the body must not be parsed as the next request.
    response.force_close()
    return response


def resident_memory_mb() -> float:
    """Return the resident memory of this process."""
    with open('/proc/self/statm') as statm:
        resident_pages = int(statm.read().split()[1])
    return resident_pages * PAGE_BYTES / 1024 / KILOBYTES_PER_MEGABYTE
