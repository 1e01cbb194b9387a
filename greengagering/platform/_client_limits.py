"""Limits on what clients send to the platform's programs."""

from greengagering.platform import _control_app
from greengagering.transport import control
from greengagering.transport import gateway

_LARGE_PATHS = ('/config/replace', '/wave-start', '/v1/tickets')


class CallerLimits(gateway.FixedLimits):
    """Limits of an entry on its callers."""

    def __init__(self, node: gateway.GatewayNode) -> None:
        super().__init__(body_timeout_s=node.settings.body_timeout_s)
        self._node = node

    def find_max_body_bytes(self, path: str) -> int:
        """Return the size of the largest body of a request to a path."""
        return (
            self._node.core.max_body_bytes
            or self._node.settings.max_body_bytes
        )


class ControlLimits(control.FixedLimits):
    """Limits of a control replica on workers and the operator."""

    def __init__(self) -> None:
        super().__init__(body_timeout_s=_control_app.BODY_TIMEOUT_S)

    def find_max_body_bytes(self, path: str) -> int:
        """Return the size of the largest body of a request to a path."""
        if path.startswith(_LARGE_PATHS):
            return _control_app.MAX_CONFIGURATION_BYTES
        return _control_app.MAX_HEARTBEAT_BYTES
