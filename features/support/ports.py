"""Free ports on loopback."""

import socket

HOST = '127.0.0.1'

_given: set[int] = set()


def free_address() -> str:
    """Return an address that nobody listens on and nobody was given."""
    while True:
        with socket.socket() as probe:
            probe.bind((HOST, 0))
            port = probe.getsockname()[1]
        if port not in _given:
            _given.add(port)
            return f'{HOST}:{port}'
