"""Settings files that the platform renders, and their conversion."""

from typing import Annotated
from typing import Any
from typing import TypeVar

import pydantic

from greengagering import logs
from greengagering.platform import _settings_path
from greengagering.protocol import Address
from greengagering.protocol import bounds
from greengagering.protocol import ControlSettings
from greengagering.protocol import GatewaySettings
from greengagering.protocol import Host
from greengagering.protocol import InputModel
from greengagering.protocol import load_settings
from greengagering.protocol import Name
from greengagering.protocol import shorten

HostSettings = TypeVar('HostSettings', bound=InputModel)


def _require_seed(addresses: tuple[Any, ...]) -> tuple[Any, ...]:
    if not any(map(_is_address, addresses)):
        raise ValueError('at least one must be host:port, as in 10.0.0.1:80')
    return addresses


def _is_address(address: Any) -> bool:
    if not isinstance(address, str):
        return False
    try:
        bounds.check_address(address)
    except ValueError:
        return False
    return True


Seeds = Annotated[tuple[Any, ...], pydantic.AfterValidator(_require_seed)]
"""Addresses of control replicas. Others serve as well as an invalid one, so
that is left out."""


ENTRY_MEMORY_LIMIT_MB = 200.0
CONTROL_MEMORY_LIMIT_MB = 296.0
FILE_LIMIT = 4096
"""These are the smallest machines that the platform has for each role."""

MemoryLimitMb = Annotated[float, pydantic.Field(ge=1, le=2**20)]
FileLimit = Annotated[int, pydantic.Field(ge=16, le=2**20)]


class ControlHost(InputModel):
    """A control machine's settings, as deploy/control.json renders them.

    Attributes:
        host: this machine's address.
        link_port: port for links, the same on every machine.
        seed_addresses: HTTP addresses of the first replicas; their links
            listen on the same hosts.
        adviser_address: service that permits steps to run on workers.
        tolerated_losses: control machines that may be lost at the same time.
        metrics_port: port for metrics on this machine.
        memory_limit_mb: memory that the process may use.
        file_limit: descriptors that the process may have open.
    """

    host: Host
    data_centre: Name
    data_folder: str
    http_address: Address
    link_port: bounds.Port
    seed_addresses: Seeds
    is_first_start: bool
    tolerated_losses: int
    machine_service_address: str
    adviser_address: str
    metrics_port: bounds.Port
    memory_limit_mb: MemoryLimitMb = CONTROL_MEMORY_LIMIT_MB
    file_limit: FileLimit = FILE_LIMIT
    log_level: str = 'info'

    @pydantic.model_validator(mode='after')
    def _require_first_seeds(self) -> 'ControlHost':
        # They are the first voters, which must be the same on every machine.
        if self.is_first_start and not all(
            map(_is_address, self.seed_addresses)
        ):
            raise ValueError(
                'at a first start every one of seed_addresses must be '
                'host:port, as in 10.0.0.1:80'
            )
        return self

    @property
    def metrics_address(self) -> str:
        """Address of the metrics server."""
        return f'{self.host}:{self.metrics_port}'

    def to_settings(self) -> ControlSettings:
        """Convert to the product's own settings."""
        return ControlSettings(
            cluster_id='greengagering',
            data_centre=self.data_centre,
            data_folder=self.data_folder,
            link_address=f'{self.host}:{self.link_port}',
            http_address=self.http_address,
            seeds=_link_addresses(self.seed_addresses, self.link_port),
            is_first_start=self.is_first_start,
            voter_count=2 * self.tolerated_losses + 1,
            platform_url=f'http://{self.machine_service_address}',
            max_connections=int(self.file_limit * CONTROL_CLIENT_SHARE),
            max_link_connections=int(self.file_limit * LINK_SHARE),
            max_held_bytes=_find_bytes(
                self.memory_limit_mb, HELD_MEMORY_SHARE
            ),
            max_stored_bytes=_find_bytes(
                self.memory_limit_mb, STORED_MEMORY_SHARE
            ),
            log_level=self.log_level,
        )


class EntryHost(InputModel):
    """An entry machine's settings, as deploy/entry.json renders them.

    Attributes:
        host: this machine's address.
        link_port: port for links, the same on every machine.
        seed_addresses: HTTP addresses of some control replicas.
        grace_s: time from SIGTERM until the platform kills the process.
        metrics_port: port for metrics on this machine.
        memory_limit_mb: memory that the process may use.
        file_limit: descriptors that the process may have open.
    """

    entry_id: Name
    host: Host
    data_centre: Name
    http_address: Address
    ready_address: Address
    link_port: bounds.Port
    seed_addresses: Seeds
    grace_s: float
    metrics_port: bounds.Port
    memory_limit_mb: MemoryLimitMb = ENTRY_MEMORY_LIMIT_MB
    file_limit: FileLimit = FILE_LIMIT
    log_level: str = 'info'

    @property
    def metrics_address(self) -> str:
        """Address of the metrics server."""
        return f'{self.host}:{self.metrics_port}'

    def to_settings(self) -> GatewaySettings:
        """Convert to the product's own settings."""
        return GatewaySettings(
            cluster_id='greengagering',
            entry_id=self.entry_id,
            data_centre=self.data_centre,
            link_address=f'{self.host}:{self.link_port}',
            http_address=self.http_address,
            ready_address=self.ready_address,
            seeds=_link_addresses(self.seed_addresses, self.link_port),
            stop_timeout_s=self.grace_s * STOP_TIMEOUT_SHARE,
            max_connections=int(self.file_limit * CALLER_SHARE),
            max_link_connections=int(self.file_limit * LINK_SHARE),
            max_held_bytes=_find_bytes(
                self.memory_limit_mb, HELD_MEMORY_SHARE
            ),
            log_level=self.log_level,
        )


CALLER_SHARE = 0.5
"""Share of an entry's descriptors that connections of callers may take."""

CONTROL_CLIENT_SHARE = 0.4
"""Share of a control replica's descriptors that connections of workers and
the operator may take; a leader needs the rest for its own to the workers."""

LINK_SHARE = 0.1
"""Share of the descriptors that connections of other processes may take."""

HELD_MEMORY_SHARE = 0.125
"""Share of the memory that requests may hold. They are copied while they are
read and parsed, and the process itself needs a third of the memory."""

STORED_MEMORY_SHARE = 0.3
"""Share of a control replica's memory that stored jobs may take."""

STOP_TIMEOUT_SHARE = 0.5
"""Share of the grace period after which a stopping entry abandons the calls
that are still in flight, so that enough time is left to close in order."""


def _find_bytes(memory_limit_mb: float, share: float) -> int:
    return int(memory_limit_mb * 2**20 * share)


def load(kind: type[HostSettings]) -> HostSettings:
    """Read and validate the settings file.

    Raises:
        InvalidInputError: the file can't be read or has an invalid field.
    """
    return load_settings(kind, str(_settings_path.settings_path()))


def _link_addresses(
    addresses: tuple[Any, ...], link_port: int
) -> tuple[str, ...]:
    hosts = []
    for address in addresses:
        if _is_address(address):
            hosts.append(address.rpartition(':')[0])
        else:
            logs.warning('seed_invalid', address=shorten(address))
    return tuple(f'{host}:{link_port}' for host in hosts)
