"""HTTP interface of an entry, for callers and upstreams."""

import time

from aiohttp import web

from greengagering import protocol
from greengagering.protocol import errors as protocol_errors
from greengagering.protocol import pages
from greengagering.transport._call_handler import CallHandler
from greengagering.transport._entry_node import EntryNode
from greengagering.transport import _http
from greengagering.transport import _link_pages
from greengagering.transport import _metrics

MAX_ANNOUNCEMENT_BYTES = 16 * 1024
ANNOUNCEMENT_TIMEOUT_S = 5.0


class EntryApi:
    """Handlers of an entry's interface; see docs/INTERFACES.md."""

    def __init__(self, node: EntryNode) -> None:
        self._node = node
        self._calls = CallHandler(node)

    def create_app(self) -> web.Application:
        """Return the application with its routes."""
        app = web.Application(
            client_max_size=self._node.settings.max_body_bytes
        )
        app.add_routes(
            [
                web.route(
                    '*', '/call/{service}/{path:.*}', self._calls.handle
                ),
                web.post('/v1/announce', self.announce),
                web.get('/v1/dump', self.dump),
                web.get('/healthz', self.check_health),
                web.get('/readyz', self.check_readiness),
                web.get('/metrics', self.show_metrics),
            ]
        )
        return app

    async def announce(self, request: web.Request) -> web.Response:
        """Process an upstream's announcement."""
        body = await _http.read_body(
            request, MAX_ANNOUNCEMENT_BYTES, ANNOUNCEMENT_TIMEOUT_S
        )
        if isinstance(body, web.Response):
            return body
        try:
            announcement = protocol.parse_announcement(body)
        except protocol_errors.InvalidInputError as error:
            return _http.invalid_response(error)
        reply = self._node.announce(announcement)
        page = pages.AnnouncePage(
            reply.announce_interval_s, reply.pool, reply.phase
        )
        return _http.page_response(page)

    async def dump(self, request: web.Request) -> web.Response:
        """Show this process's own state."""
        return _http.page_response(_entry_dump(self._node))

    async def check_health(self, request: web.Request) -> web.Response:
        """Answer while the process runs."""
        return web.Response(text='alive\n')

    async def check_readiness(self, request: web.Request) -> web.Response:
        """Answer 200 while the balancer may send calls here."""
        if self._node.is_stopping:
            return web.Response(status=503, text='stopping\n')
        if not self._node.may_serve():
            return web.Response(status=503, text='no lease\n')
        return web.Response(text='ready\n')

    async def show_metrics(self, request: web.Request) -> web.Response:
        """Show the metrics."""
        registry = self._node.metrics.registry
        return _metrics.metrics_response(registry, request)


def _entry_dump(node: EntryNode) -> pages.EntryDump:
    core = node.core
    now_s = time.monotonic()
    lease_left_s = core.follower.lease_ends_s - now_s
    return pages.EntryDump(
        entry_id=core.identity.entry_id,
        boot_id=core.identity.boot_id,
        data_centre=core.identity.data_centre,
        revision=core.follower.revision,
        confirmed_revision=core.follower.confirmed_revision,
        leader_id=core.follower.leader_id,
        lease_left_s=round(max(lease_left_s, 0.0), 3),
        may_serve=node.may_serve(),
        is_leaving=core.follower.is_lease_returned,
        entries=tuple(e.entry_id for e in core.follower.entries),
        in_flight_count=core.dispatcher.total_in_flight(),
        queued=core.dispatcher.queued(),
        retry_tokens=round(node.retry_budget.tokens, 1),
        upstreams=tuple(_upstream_lines(node, now_s)),
        links=_link_pages.link_lines(node.mesh),
        resident_memory_mb=_http.resident_memory_mb(),
    )


def _upstream_lines(node: EntryNode, now_s: float) -> list[pages.UpstreamLine]:
    lines = []
    loads = node.core.dispatcher.loads()
    for upstream in node.core.table.all():
        load = loads.get(upstream.vm)
        blocked_for_s = 0.0
        if load is not None:
            blocked_for_s = max(0.0, load.blocked_until_s - now_s)
        lines.append(
            pages.UpstreamLine(
                vm=upstream.vm,
                pool=upstream.pool,
                address=upstream.address,
                state=upstream.state,
                boot_id=upstream.boot_id,
                in_flight_count=load.in_flight_count if load else 0,
                failures=load.failures if load else 0,
                blocked_for_s=round(blocked_for_s, 3),
            )
        )
    return lines
