"""HTTP interface of a control process, for operators."""

from aiohttp import web
from result import Err

from greengagering.coordination import errors as coordination_errors
from greengagering import logs
from greengagering import protocol
from greengagering.protocol import bounds
from greengagering.protocol import errors as protocol_errors
from greengagering.protocol import pages
from greengagering import state
from greengagering.transport._control_node import ControlNode
from greengagering.transport import _control_pages
from greengagering.transport import _http
from greengagering.transport import _metrics

MAX_TICKET_BYTES = 1024 * 1024
TICKET_TIMEOUT_S = 10.0
RETRY_AFTER_S = 1.0


class ControlApi:
    """Handlers of the operators' interface; see docs/INTERFACES.md."""

    def __init__(self, node: ControlNode) -> None:
        self._node = node

    def create_app(self) -> web.Application:
        """Return the application with its routes."""
        app = web.Application(client_max_size=MAX_TICKET_BYTES)
        app.add_routes(
            [
                web.post('/v1/tickets', self.submit_ticket),
                web.post('/v1/tickets/check', self.check_ticket),
                web.get('/v1/tickets', self.show_history),
                web.get('/v1/tickets/{number}', self.show_ticket),
                web.get('/v1/fleet', self.show_fleet),
                web.get('/v1/waves/{name}', self.show_wave),
                web.get('/v1/vms/{vm}/account', self.explain_vm),
                web.get('/v1/control', self.show_members),
                web.get('/v1/dump', self.dump),
                web.get('/healthz', self.check_health),
                web.get('/readyz', self.check_readiness),
                web.get('/metrics', self.show_metrics),
            ]
        )
        return app

    async def submit_ticket(self, request: web.Request) -> web.Response:
        """Accept or refuse a ticket; submitting it again is safe."""
        ticket = await self._read_ticket(request)
        if isinstance(ticket, web.Response):
            return ticket
        result = await self._node.submit(ticket)
        if isinstance(result, Err):
            return self._refuse_ticket(ticket, result.err_value)
        accepted = result.ok_value
        self._node.metrics.tickets.inc({'outcome': 'accepted'})
        logs.info(
            'ticket_accepted',
            number=ticket.number,
            author=ticket.author,
            revision=accepted.revision,
        )
        return _http.page_response(_control_pages.ticket_page(accepted))

    async def check_ticket(self, request: web.Request) -> web.Response:
        """Check whether a ticket would be accepted now; change nothing."""
        ticket = await self._read_ticket(request)
        if isinstance(ticket, web.Response):
            return ticket
        control = self._read_state()
        if isinstance(control, web.Response):
            return control
        digest = state.ticket_digest(ticket)
        checked = state.check_ticket(control, ticket, digest)
        if isinstance(checked, Err):
            return _refusal_response(checked.err_value)
        page = pages.CheckPage(
            number=ticket.number,
            touched=tuple(ticket.touched()),
            is_resend=checked.ok_value.earlier is not None,
        )
        return _http.page_response(page)

    async def show_history(self, request: web.Request) -> web.Response:
        """Show every accepted ticket."""
        control = self._read_state()
        if isinstance(control, web.Response):
            return control
        return _http.page_response(_control_pages.history_page(control))

    async def show_ticket(self, request: web.Request) -> web.Response:
        """Show one accepted ticket and whether it is in force."""
        control = self._read_state()
        if isinstance(control, web.Response):
            return control
        text = request.match_info['number']
        number = bounds.read_digits(text, bounds.MAX_EXACT)
        entry = control.history.get(number) if number is not None else None
        if entry is None:
            return _not_found('number', text, 'no accepted ticket has it')
        return _http.page_response(_control_pages.ticket_page(entry))

    async def show_fleet(self, request: web.Request) -> web.Response:
        """Show services, entries and VMs."""
        control = self._read_state()
        if isinstance(control, web.Response):
            return control
        return _http.page_response(_control_pages.fleet_page(self._node))

    async def show_wave(self, request: web.Request) -> web.Response:
        """Show a wave's progress."""
        control = self._read_state()
        if isinstance(control, web.Response):
            return control
        name = request.match_info['name']
        page = _control_pages.wave_page(self._node, name)
        if page is None:
            return _not_found('wave', name, 'no accepted ticket holds it')
        return _http.page_response(page)

    async def explain_vm(self, request: web.Request) -> web.Response:
        """Show a VM's events and the tickets that caused them."""
        control = self._read_state()
        if isinstance(control, web.Response):
            return control
        vm = request.match_info['vm']
        events = control.vm_events.get(vm)
        if events is None:
            return _not_found('vm', vm, 'nothing is known of it')
        return _http.page_response(pages.AccountPage(vm, tuple(events)))

    async def show_members(self, request: web.Request) -> web.Response:
        """Show the control replicas and a membership change in progress."""
        control = self._read_state()
        if isinstance(control, web.Response):
            return control
        return _http.page_response(_control_pages.members_page(self._node))

    async def dump(self, request: web.Request) -> web.Response:
        """Show this process's own state, leader or not."""
        return _http.page_response(_control_pages.control_dump(self._node))

    async def check_health(self, request: web.Request) -> web.Response:
        """Answer while the process runs."""
        return web.Response(text='alive\n')

    async def check_readiness(self, request: web.Request) -> web.Response:
        """Answer 200 while requests of operators may be sent here."""
        if self._node.is_stopping:
            return web.Response(status=503, text='stopping\n')
        if not self._node.replica.leader_id:
            return web.Response(status=503, text='no leader known\n')
        return web.Response(text='ready\n')

    async def show_metrics(self, request: web.Request) -> web.Response:
        """Show the metrics."""
        registry = self._node.metrics.registry
        return _metrics.metrics_response(registry, request)

    async def _read_ticket(
        self, request: web.Request
    ) -> state.Ticket | web.Response:
        body = await _http.read_body(
            request, MAX_TICKET_BYTES, TICKET_TIMEOUT_S
        )
        if isinstance(body, web.Response):
            return body
        try:
            return protocol.parse_ticket(body, 'ticket')
        except protocol_errors.InvalidInputError as error:
            self._node.metrics.tickets.inc({'outcome': 'invalid'})
            return _http.invalid_response(error)

    def _read_state(self) -> state.ControlState | web.Response:
        now_s = self._node.now_s()
        result = self._node.core.read_state(now_s)
        if isinstance(result, Err):
            return _unavailable_response(result.err_value)
        return result.ok_value

    def _refuse_ticket(
        self,
        ticket: state.Ticket,
        error: state.Refusal | coordination_errors.CoordinationError,
    ) -> web.Response:
        if not isinstance(error, state.Refusal):
            self._node.metrics.tickets.inc({'outcome': 'unavailable'})
            return _unavailable_response(error)
        self._node.metrics.tickets.inc({'outcome': 'refused'})
        logs.info(
            'ticket_refused',
            number=ticket.number,
            author=ticket.author,
            kind=error.kind,
        )
        return _refusal_response(error)


def _refusal_response(refusal: state.Refusal) -> web.Response:
    page = pages.ErrorPage(
        kind=refusal.kind,
        message=refusal.message,
        fields=(
            protocol_errors.FieldError(
                refusal.field, refusal.value, refusal.message
            ),
        ),
        holder=refusal.holder,
    )
    return _http.error_response(409, page)


def _unavailable_response(
    error: coordination_errors.CoordinationError,
) -> web.Response:
    kind = pages.ErrorKind.OVERLOADED
    leader_id = ''
    if isinstance(error, coordination_errors.NotLeaderError):
        kind = pages.ErrorKind.NOT_LEADER
        leader_id = error.leader_id
    page = pages.ErrorPage(kind, str(error), leader_id=leader_id)
    return _http.error_response(503, page, retry_after_s=RETRY_AFTER_S)


def _not_found(field: str, value: str, message: str) -> web.Response:
    error = protocol_errors.FieldError(field, protocol.shorten(value), message)
    page = pages.ErrorPage(pages.ErrorKind.NOT_FOUND, str(error), (error,))
    return _http.error_response(404, page)
