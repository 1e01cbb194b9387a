"""Parsing of host:port addresses."""

import dataclasses

from greengagering.protocol import bounds


@dataclasses.dataclass(frozen=True, slots=True)
class HostPort:
    """A TCP endpoint."""

    host: str
    port: int

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


def parse_address(address: str) -> HostPort:
    """Split host:port.

    Raises:
        ValueError: it is not a valid address.
    """
    host, _, port = bounds.check_address(address).rpartition(':')
    return HostPort(host.strip('[]'), int(port))
