"""Parsing of host:port addresses."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class HostPort:
    """A TCP endpoint."""

    host: str
    port: int

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


def parse_address(address: str) -> HostPort:
    """Split host:port; the text was validated when the settings were read."""
    host, _, port = address.rpartition(':')
    return HostPort(host.strip('[]'), int(port))
