"""Limits of an entry on what callers send, as its server asks for them."""

from greengagering.transport import gateway


class CallerLimits:
    """Limits of an entry on its callers."""

    max_header_bytes = 16 * 1024

    def __init__(self, node: gateway.GatewayNode) -> None:
        self._node = node

    def find_max_body_bytes(self, path: str) -> int:
        """Return the size of the largest body of a request to a path."""
        return (
            self._node.core.max_body_bytes
            or self._node.settings.max_body_bytes
        )
