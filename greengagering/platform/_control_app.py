"""HTTP handlers of a control replica for workers and the operator."""

from collections.abc import Awaitable
from collections.abc import Callable

from aiohttp import web
from result import Err

from greengagering import logs
from greengagering.platform import _formats
from greengagering.platform import _plans
from greengagering.platform import _reports
from greengagering.platform import _responses
from greengagering.platform import _waves
from greengagering import protocol
from greengagering.protocol import bounds
from greengagering.protocol import errors as protocol_errors
from greengagering import state
from greengagering.transport import control

MAX_CONFIGURATION_BYTES = 4 * 1024 * 1024
MAX_HEARTBEAT_BYTES = 64 * 1024
BODY_TIMEOUT_S = 3.0
RETRY_AFTER_S = 1.0
"""Value of Retry-After when there is no leader; an election takes less."""

COMMITS_PER_HEARTBEAT = 3
"""Most records committed for one heartbeat: the first heartbeat of a worker
that is already draining adds the worker, then marks it as draining."""


Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class ControlApp:
    """Handlers of the platform's requests to a control replica."""

    def __init__(self, node: control.ControlNode) -> None:
        self._node = node

    def add_routes(self, app: web.Application) -> None:
        """Add the platform's routes to the product's own application."""
        app.add_routes(
            [
                web.post(
                    '/instances/{id}/heartbeat',
                    self._only_on_leader(self.handle_heartbeat),
                ),
                web.post(
                    '/instances/{id}/leave',
                    self._only_on_leader(self.handle_leave),
                ),
                web.post(
                    '/config/replace',
                    self._only_on_leader(
                        self.replace_configuration, is_logged=True
                    ),
                ),
                web.get(
                    '/config/read',
                    self._only_on_leader(self.read_configuration),
                ),
                web.post(
                    '/wave-start',
                    self._only_on_leader(self.start_wave, is_logged=True),
                ),
                web.get(
                    '/wave-get/{number}', self._only_on_leader(self.show_wave)
                ),
            ]
        )

    async def handle_heartbeat(self, request: web.Request) -> web.Response:
        """Process a worker's heartbeat and commit what it changes."""
        body = await control.read_body(
            request, MAX_HEARTBEAT_BYTES, BODY_TIMEOUT_S
        )
        if isinstance(body, web.Response):
            return body
        worker_id = request.match_info['id']
        try:
            report = _reports.parse_heartbeat(worker_id, body)
        except protocol_errors.InvalidInputError as error:
            return _refuse_report(worker_id, str(error))
        fault = self._node.core.jobs.find_report_fault(
            report, self._node.now_s()
        )
        if fault:
            return _refuse_report(worker_id, fault)
        for _ in range(COMMITS_PER_HEARTBEAT):
            record = self._node.core.jobs.handle_report(
                report, self._node.now_s()
            )
            if record is None:
                break
            if isinstance(await self._node.commit(record), Err):
                return _no_leader_response()
        return _responses.json_response(
            {'heartbeatUrl': self._node.settings.http_address}
        )

    async def handle_leave(self, request: web.Request) -> web.Response:
        """Record that a worker is shutting down."""
        self._node.core.jobs.handle_leave(
            request.match_info['id'], self._node.now_s()
        )
        return _responses.json_response({})

    async def replace_configuration(
        self, request: web.Request
    ) -> web.Response:
        """Accept a configuration.

        One that is not newer than the current one is acknowledged and
        ignored.
        """
        arrived_s = self._node.now_s()
        body = await control.read_body(
            request, MAX_CONFIGURATION_BYTES, BODY_TIMEOUT_S
        )
        if isinstance(body, web.Response):
            return body
        read_s = self._node.now_s()
        try:
            plan = _plans.parse_plan(body)
        except protocol_errors.InvalidInputError as error:
            logs.info('plan_invalid', cause=str(error))
            return _responses.error_response(400, str(error))
        present = self._node.core.state.jobs.plan
        if present is not None and present.number >= plan.number:
            logs.info(
                'plan_outdated', number=plan.number, present=present.number
            )
            return _responses.json_response({})
        parsed_s = self._node.now_s()
        result = await self._node.commit(state.PlanReplaced(plan))
        stages = {
            'read_s': round(read_s - arrived_s, 3),
            'parse_s': round(parsed_s - read_s, 3),
            'commit_s': round(self._node.now_s() - parsed_s, 3),
        }
        if isinstance(result, Err):
            logs.info(
                'plan_unconfirmed',
                number=plan.number,
                cause=str(result.err_value),
                **stages,
            )
            return _no_leader_response()
        logs.info(
            'plan_accepted',
            number=plan.number,
            queues=len(plan.queues),
            services=len(plan.services),
            **stages,
        )
        return _responses.json_response({})

    async def read_configuration(self, request: web.Request) -> web.Response:
        """Return the newest configuration, byte for byte as it was sent."""
        plan = self._node.core.state.jobs.plan
        if plan is None:
            # No configuration was accepted yet; the leader answers the same.
            return _no_leader_response()
        return web.Response(body=plan.source, content_type=_formats.JSON_TYPE)

    async def start_wave(self, request: web.Request) -> web.Response:
        """Accept an upkeep wave; a repeated request has no effect."""
        body = await control.read_body(
            request, MAX_CONFIGURATION_BYTES, BODY_TIMEOUT_S
        )
        if isinstance(body, web.Response):
            return body
        try:
            wave = _waves.parse_wave(body)
        except protocol_errors.InvalidInputError as error:
            logs.info('wave_invalid', cause=str(error))
            return _responses.error_response(400, str(error))
        if wave.number not in self._node.core.state.jobs.waves:
            record = state.WaveAccepted(wave, self._node.now_ms())
            if isinstance(await self._node.commit(record), Err):
                return _no_leader_response()
            logs.info(
                'wave_accepted',
                wave=wave.number,
                machines=len(wave.machines),
                deadline_s=wave.deadline_s,
                max_down=wave.max_down_count,
            )
        return _responses.json_response({})

    async def show_wave(self, request: web.Request) -> web.Response:
        """Return the state of an upkeep wave."""
        text = request.match_info['number']
        waves = self._node.core.state.jobs.waves
        number = bounds.read_digits(text, bounds.MAX_EXACT)
        wave = waves.get(number) if number is not None else None
        if wave is None:
            shown = protocol.shorten(text)
            return _responses.error_response(404, f'no wave {shown}')
        if self._node.core.jobs.is_wave_done(wave):
            return _responses.json_response({'state': 'succeeded'})
        blocked = self._node.core.machine_manager.find_blocked(wave)
        return _responses.json_response(_waves.running_wave(blocked))

    def _only_on_leader(
        self, handler: Handler, *, is_logged: bool = False
    ) -> Handler:
        """Wrap a handler so that it runs only on the leader.

        Args:
            handler: the handler.
            is_logged: whether a line tells that another replica has to handle
                a request; for the operator's orders, which are few.
        """

        async def handle(request: web.Request) -> web.StreamResponse:
            response = self._redirect_to_leader(request)
            if response is not None:
                if is_logged:
                    logs.info(
                        'order_passed_on',
                        path=protocol.shorten(request.path),
                        status=response.status,
                        location=response.headers.get('Location', ''),
                    )
                return response
            return await handler(request)

        return handle

    def _redirect_to_leader(self, request: web.Request) -> web.Response | None:
        """Return the response that replaces a handler's on a non-leader.

        Returns:
            None if this replica is the leader; a redirect if the leader is
            known; otherwise an error.
        """
        if self._node.has_lease():
            return None
        leader = self._node.leader_address()
        if not leader or leader == self._node.settings.link_address:
            return _no_leader_response()
        # Every control process uses the same HTTP port.
        port = self._node.settings.http_address.rpartition(':')[2]
        host = leader.rpartition(':')[0]
        location = f'http://{host}:{port}{request.path_qs}'
        return web.Response(status=307, headers={'Location': location})


def _refuse_report(worker_id: str, cause: str) -> web.Response:
    logs.info(
        'report_unreadable', worker=protocol.shorten(worker_id), cause=cause
    )
    return _responses.error_response(400, cause)


def _no_leader_response() -> web.Response:
    return _responses.error_response(
        503, 'no control process leads just now', RETRY_AFTER_S
    )
