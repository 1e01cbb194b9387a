"""Services that run the product's nodes with the platform's interfaces."""

from typing import Any

import aiomisc

from greengagering import logs
from greengagering.platform import _settings
from greengagering import protocol
from greengagering.protocol import errors as protocol_errors


class ControlService(aiomisc.Service):
    """A control replica with the platform's HTTP interface."""

    def __init__(
        self,
        settings: protocol.ControlSettings,
        metrics_address: str,
        adviser_address: str,
    ) -> None:
        super().__init__()
        from greengagering.platform import _adviser_calls
        from greengagering.platform import _client_limits
        from greengagering.platform import _control_app
        from greengagering.platform import _machine_calls
        from greengagering.platform import _plans
        from greengagering.platform import _responses
        from greengagering.platform import _worker_calls
        from greengagering.transport import control

        self._node = control.create_control_node(
            settings,
            _worker_calls.WorkerCalls(),
            _machine_calls.MachineCalls(
                settings.platform_url.removeprefix('http://')
            ),
            _adviser_calls.AdviserCalls(adviser_address),
            _plans.read_stored_plan,
        )
        app = control.ControlApi(self._node).create_app()
        _control_app.ControlApp(self._node).add_routes(app)
        metrics = control.create_metrics_app(self._node.metrics.registry)
        refusals = self._node.metrics.refused_connections
        self._servers = [
            control.HttpServer(
                app,
                settings.http_address,
                'http_address',
                control.ServerOptions(
                    _client_limits.ControlLimits(self._node),
                    settings.max_connections,
                    settings.max_held_bytes,
                    _client_limits.PLAN_MEMORY_RATIO,
                    _responses.refusal_response,
                    refusals,
                ),
            ),
            control.HttpServer(
                metrics,
                metrics_address,
                'metrics_address',
                control.create_check_options(refusals),
            ),
        ]

    async def start(self) -> None:
        """Start the replica, then serve HTTP requests."""
        await self._node.start()
        for server in self._servers:
            await server.start()

    async def stop(self, exception: Exception | None = None) -> Any:
        """Transfer leadership, answer waiting requests, and close."""
        await self._node.stop()
        for server in self._servers:
            await server.close()

    def reload(self) -> None:
        """Reload the settings; only the seeds can change at run time."""
        try:
            host = _settings.load(_settings.ControlHost)
        except protocol_errors.InvalidInputError as error:
            logs.error('settings_kept', cause=str(error))
            return
        self._node.set_seeds(host.to_settings().seeds)
        logs.info('settings_reloaded', seeds=','.join(self._node.seeds))


class EntryService(aiomisc.Service):
    """An entry with the platform's HTTP interface."""

    def __init__(
        self, settings: protocol.GatewaySettings, metrics_address: str
    ) -> None:
        super().__init__()
        from greengagering.platform import _caller_app
        from greengagering.platform import _client_limits
        from greengagering.platform import _responses
        from greengagering.platform import _worker_calls
        from greengagering.transport import gateway

        self._node = gateway.GatewayNode(settings, _worker_calls.WorkerCalls())
        callers = _caller_app.CallerApp(self._node)
        metrics = gateway.create_metrics_app(self._node.metrics.registry)
        refusals = self._node.metrics.refused_connections
        self._servers = [
            gateway.HttpServer(
                metrics,
                metrics_address,
                'metrics_address',
                gateway.create_check_options(refusals),
            ),
            gateway.HttpServer(
                callers.create_app(),
                settings.http_address,
                'http_address',
                gateway.ServerOptions(
                    _client_limits.CallerLimits(self._node),
                    settings.max_connections,
                    settings.max_held_bytes,
                    _client_limits.JOB_MEMORY_RATIO,
                    _responses.refusal_response,
                    refusals,
                ),
            ),
            gateway.HttpServer(
                callers.create_ready_app(),
                settings.ready_address,
                'ready_address',
                gateway.create_check_options(refusals),
            ),
        ]

    async def start(self) -> None:
        """Start the node, then serve HTTP requests."""
        await self._node.start()
        for server in self._servers:
            await server.start()

    async def stop(self, exception: Exception | None = None) -> Any:
        """Wait for the calls in flight, then close."""
        await self._node.drain()
        for server in self._servers:
            await server.close()
        await self._node.stop()

    def reload(self) -> None:
        """Reload the settings; only the seeds can change at run time."""
        try:
            host = _settings.load(_settings.EntryHost)
        except protocol_errors.InvalidInputError as error:
            logs.error('settings_kept', cause=str(error))
            return
        seeds = host.to_settings().seeds
        self._node.set_seeds(seeds)
        logs.info('settings_reloaded', seeds=','.join(seeds))
