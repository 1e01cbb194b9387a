"""The configuration's limits on what clients send, as servers ask for them."""

from greengagering.platform import _control_app
from greengagering.platform import _plans
from greengagering import state
from greengagering.transport import control
from greengagering.transport import gateway

JOB_MEMORY_RATIO = 8
"""Size of a parsed job as a multiple of its body's; it is largest for steps
that name many earlier ones."""

PLAN_MEMORY_RATIO = 4
"""The same of a configuration."""

_LARGE_PATHS = ('/config/replace', '/wave-start', '/v1/tickets')


class _PlanLimits:
    """Limits that the configuration in force sets for every server."""

    @property
    def max_header_bytes(self) -> int:
        """Most bytes of a request line, and of all header fields together."""
        return self._client_limits.max_header_bytes

    @property
    def header_timeout_s(self) -> float:
        """Time from the first byte of a head to its last."""
        return self._client_limits.header_timeout_ms / _plans.MS_PER_S

    @property
    def idle_timeout_s(self) -> float:
        """Time between two requests, and before the first."""
        return self._client_limits.idle_timeout_ms / _plans.MS_PER_S

    @property
    def _client_limits(self) -> state.ClientLimits:
        raise NotImplementedError


class CallerLimits(_PlanLimits):
    """Limits of an entry on its callers."""

    def __init__(self, node: gateway.GatewayNode) -> None:
        self._node = node

    @property
    def body_timeout_s(self) -> float:
        """Time from the end of a head to the end of its body."""
        return self._node.settings.body_timeout_s

    def find_max_body_bytes(self, path: str) -> int:
        """Return the size of the largest body of a request to a path."""
        return (
            self._node.core.max_body_bytes
            or self._node.settings.max_body_bytes
        )

    @property
    def _client_limits(self) -> state.ClientLimits:
        return self._node.core.client_limits


class ControlLimits(_PlanLimits):
    """Limits of a control replica on workers and the operator."""

    def __init__(self, node: control.ControlNode) -> None:
        self._node = node

    @property
    def body_timeout_s(self) -> float:
        """Time from the end of a head to the end of its body."""
        return _control_app.BODY_TIMEOUT_S

    def find_max_body_bytes(self, path: str) -> int:
        """Return the size of the largest body of a request to a path."""
        if path.startswith(_LARGE_PATHS):
            return _control_app.MAX_CONFIGURATION_BYTES
        return _control_app.MAX_HEARTBEAT_BYTES

    @property
    def _client_limits(self) -> state.ClientLimits:
        plan = self._node.core.state.jobs.plan
        return plan.client_limits if plan else state.ClientLimits()
