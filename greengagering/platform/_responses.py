"""HTTP responses in the platform's format."""

from aiohttp import web

from greengagering.platform import _formats
from greengagering.transport import gateway


def json_response(body: dict[str, object], status: int = 200) -> web.Response:
    """Create a response with a JSON body."""
    return web.Response(
        status=status,
        body=_formats.write_body(body),
        content_type=_formats.JSON_TYPE,
    )


def error_response(
    status: int, message: str, retry_after_s: float = 0.0
) -> web.Response:
    """Create an error response, without Retry-After if retry_after_s is 0."""
    response = json_response({'error': message}, status)
    if retry_after_s > 0:
        # The header's unit is whole seconds, so fractions are rounded up.
        response.headers['Retry-After'] = str(int(retry_after_s + 0.999))
    return response


def refusal_response(refusal: gateway.Refusal) -> web.Response:
    """Create the response to a request that no handler sees."""
    return error_response(
        refusal.status, refusal.message, refusal.retry_after_s
    )
