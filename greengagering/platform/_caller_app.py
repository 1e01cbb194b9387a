"""HTTP handlers of an entry for callers and the load balancer."""

import re

from aiohttp import web

from greengagering import coordination
from greengagering import logs
from greengagering.platform import _jobs
from greengagering.platform import _plans
from greengagering.platform import _responses
from greengagering import protocol
from greengagering.protocol import bounds
from greengagering.protocol import errors as protocol_errors
from greengagering import state
from greengagering.transport import gateway

DEADLINE_HEADER = 'Deadline-Ms'
KEY_HEADER = 'Authorization'
KEY_SCHEME = 'Token'
CHALLENGE_HEADER = 'WWW-Authenticate'
ANSWER_MARGIN_S = 0.05
"""Time reserved for the response to reach the caller before its deadline."""

_PORT = re.compile(r':\d*$')

_KINDS = {
    'POST': coordination.CallKind.SUBMIT,
    'GET': coordination.CallKind.SHOW,
    'DELETE': coordination.CallKind.CANCEL,
}


class CallerApp:
    """Handlers of the platform's requests to an entry."""

    def __init__(self, node: gateway.GatewayNode) -> None:
        self._node = node

    def create_app(self) -> web.Application:
        """Create the application for callers."""
        app = web.Application()
        app.router.add_route('*', '/{path:.*}', self.handle)
        return app

    def create_ready_app(self) -> web.Application:
        """Create the application for the load balancer."""
        app = web.Application()
        app.router.add_get('/ready', self.check_readiness)
        return app

    async def check_readiness(self, request: web.Request) -> web.Response:
        """Answer 200 while this entry accepts new connections, else 503."""
        status = 200 if self._node.is_ready() else 503
        return web.Response(status=status)

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Handle one request of a caller."""
        self._node.open_requests += 1
        try:
            response = await self._handle(request)
        finally:
            self._node.open_requests -= 1
        if self._node.is_stopping:
            response.force_close()
        return response

    async def _handle(self, request: web.Request) -> web.Response:
        kind = _KINDS.get(request.method)
        if kind is None:
            return _responses.error_response(
                405, f'method {request.method} is not served'
            )
        host = _PORT.sub('', request.host)
        try:
            # Bytes that aren't UTF-8 can't be passed on to control.
            request.path.encode()
            bounds.check_host(host)
        except ValueError as error:
            logs.info('call_invalid', host=protocol.shorten(host))
            return _responses.error_response(
                400, f'the Host header or the path is invalid: {error}'
            )
        job_id = _jobs.find_job_id(request.path)
        spec = None
        if kind is coordination.CallKind.SUBMIT:
            parsed = await self._read_job(request, job_id)
            if isinstance(parsed, web.Response):
                return parsed
            spec = parsed
        elif not job_id:
            if kind is coordination.CallKind.CANCEL:
                return _responses.error_response(404, 'the path names no job')
            kind = coordination.CallKind.COUNT
        answer = await self._node.call(
            kind,
            host,
            request.path,
            self._read_deadline_s(request),
            job_id,
            spec,
            read_key_digest(request),
        )
        return _create_response(kind, answer)

    async def _read_job(
        self, request: web.Request, job_id: str
    ) -> state.JobSpec | web.Response:
        settings = self._node.settings
        limit = self._node.core.max_body_bytes or settings.max_body_bytes
        body = await gateway.read_body(request, limit, settings.body_timeout_s)
        if isinstance(body, web.Response):
            return body
        if not job_id:
            return _responses.error_response(404, 'the path names no job')
        try:
            return _jobs.parse_job(job_id, body)
        except protocol_errors.InvalidInputError as error:
            logs.info('job_invalid', job=job_id, cause=str(error))
            return _responses.error_response(400, str(error))

    def _read_deadline_s(self, request: web.Request) -> float:
        settings = self._node.settings
        text = request.headers.get(DEADLINE_HEADER, '')
        if not (text.isascii() and text.isdigit()):
            return settings.default_deadline_s
        most_ms = int(settings.max_deadline_s * 1000)
        wanted_ms = bounds.read_digits(text, most_ms)
        if wanted_ms is None:
            return settings.max_deadline_s
        return max(wanted_ms / 1000 - ANSWER_MARGIN_S, 0.0)


def read_key_digest(request: web.Request) -> str:
    """Return the digest of the key that a request carries, or ''."""
    scheme, _, key = request.headers.get(KEY_HEADER, '').partition(' ')
    key = key.strip()
    if scheme.lower() != KEY_SCHEME.lower() or not key:
        return ''
    return _plans.digest_key(key)


def _create_response(
    kind: coordination.CallKind, answer: coordination.JobAnswer
) -> web.Response:
    if answer.outcome is not coordination.JobOutcome.DONE:
        response = _responses.error_response(
            _jobs.find_status_code(answer),
            answer.detail or answer.outcome,
            answer.retry_after_s,
        )
        if response.status == _jobs.UNKNOWN_KEY_STATUS:
            response.headers[CHALLENGE_HEADER] = KEY_SCHEME
        return response
    if kind is coordination.CallKind.SHOW:
        return _responses.json_response({'state': answer.job_state})
    if kind is coordination.CallKind.COUNT:
        return _responses.json_response({'pending': answer.pending_count})
    return _responses.json_response({})
