"""Free ports on loopback."""

import os
import random
import socket

HOST = '127.0.0.1'

# Below the range of the kernel's ephemeral ports. Otherwise an outgoing
# connection could take a port after it was chosen and before it is used.
FIRST_PORT = 15_000
LAST_PORT = 32_000

# Concurrent test processes choose from separate ranges, because a process
# can't see which ports another one has chosen but does not listen on yet.
SLOT_VARIABLE = 'FEATURE_PORT_SLOT'

_given: set[int] = set()


def _port_range() -> tuple[int, int]:
    slot, _, slots = os.environ.get(SLOT_VARIABLE, '0/1').partition('/')
    width = (LAST_PORT - FIRST_PORT) // int(slots)
    first = FIRST_PORT + int(slot) * width
    return first, first + width - 1


def free_port() -> int:
    """Return a port that is not in use and was not returned before."""
    while True:
        port = random.randint(*_port_range())
        if port not in _given and _is_free(port):
            _given.add(port)
            return port


def free_address() -> str:
    """Return a loopback address with a free port."""
    return f'{HOST}:{free_port()}'


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True
