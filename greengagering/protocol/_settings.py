"""Validated settings of each program."""

import pathlib
from typing import Annotated
from typing import TypeVar

import pydantic

from greengagering.protocol import _validation
from greengagering.protocol import bounds
from greengagering.protocol import errors

Settings = TypeVar('Settings', bound=_validation.InputModel)


def _check_url(value: str) -> str:
    if not value.startswith(('http://', 'https://')):
        raise ValueError('a URL starts with http:// or https://')
    return value.rstrip('/')


LOG_LEVELS = ('debug', 'info', 'warning', 'error')


def check_log_level(value: str) -> str:
    """Return a known log level.

    Raises:
        ValueError: the level is unknown.
    """
    if value not in LOG_LEVELS:
        raise ValueError(f'must be one of {", ".join(LOG_LEVELS)}')
    return value


Address = Annotated[str, pydantic.AfterValidator(bounds.check_address)]
Host = Annotated[str, pydantic.AfterValidator(bounds.check_host)]
Url = Annotated[str, pydantic.AfterValidator(_check_url)]
Name = Annotated[
    str,
    pydantic.StringConstraints(
        pattern=r'^[A-Za-z0-9][A-Za-z0-9._-]*$', max_length=63
    ),
]
LogLevel = Annotated[str, pydantic.AfterValidator(check_log_level)]
Seconds = Annotated[float, pydantic.Field(gt=0, le=86_400)]
ConnectionCount = Annotated[int, pydantic.Field(ge=1, le=100_000)]
HeldBytes = Annotated[int, pydantic.Field(ge=2**16, le=2**40)]


class ControlSettings(_validation.InputModel):
    """Settings of a control process.

    Attributes:
        cluster_id: name shared by every process of the system.
        replica_id: name of this replica; never reused after a lost disk.
            Left out where seeds are given: it comes from the data folder.
        data_centre: where this process runs.
        data_folder: folder for the log and snapshots.
        link_address: where other processes of the system connect.
        http_address: where operators connect.
        members: link address of each initial voter, by replica_id; left out
            where seeds are given.
        seeds: link addresses of the initial voters, of which some still run;
            lost replicas are then replaced without a ticket.
        is_first_start: whether the whole system starts for the first time, so
            that the seeds form a new group.
        voter_count: voters wanted, where seeds are given.
        joins_as_learner: whether to start without a vote, until a ticket adds
            this replica as a voter.
        platform_url: base URL of the platform that reboots VMs; platform/
            sets it to its machine service's.
        heartbeat_s: longest time between two messages of a leader.
        election_min_s: shortest time without a leader before an election.
        election_max_s: longest such time.
        entry_lease_s: how long an entry serves without an answer of the
            leader.
        clock_drift_ratio: upper limit of the relative difference between the
            rates of two clocks.
        max_connections: connections of operators and workers that may be open
            at the same time.
        max_link_connections: connections of other processes that may be open
            at the same time.
        max_held_bytes: bytes that all requests together may hold.
        max_stored_bytes: memory that stored jobs may take, as estimated.
        stop_timeout_s: longest graceful shutdown.
        log_level: debug, info, warning or error.
    """

    cluster_id: Name
    replica_id: Name | None = None
    data_centre: Name
    data_folder: str
    link_address: Address
    http_address: Address
    members: dict[Name, Address] = pydantic.Field(default_factory=dict)
    seeds: tuple[Address, ...] = ()
    is_first_start: bool = False
    voter_count: Annotated[int, pydantic.Field(ge=1, le=9)] = 3
    joins_as_learner: bool = False
    platform_url: Url
    heartbeat_s: Seconds = 0.08
    election_min_s: Seconds = 0.4
    election_max_s: Seconds = 0.8
    entry_lease_s: Seconds = 1.8
    clock_drift_ratio: Annotated[float, pydantic.Field(ge=0, lt=0.5)] = 0.05
    max_connections: ConnectionCount = 1600
    max_link_connections: ConnectionCount = 400
    max_held_bytes: HeldBytes = 36 * 2**20
    max_stored_bytes: HeldBytes = 128 * 2**20
    stop_timeout_s: Seconds = 10.0
    log_level: LogLevel = 'info'

    @pydantic.model_validator(mode='after')
    def _check_consistency(self) -> 'ControlSettings':
        if not self.seeds and self.replica_id is None:
            raise ValueError('set either seeds, or replica_id and members')
        is_named = self.seeds or self.replica_id in self.members
        if not is_named and not self.joins_as_learner:
            raise ValueError(
                f'replica_id {self.replica_id} is not among members '
                f'{sorted(self.members)}; set joins_as_learner for a replica '
                'that a running cluster will add'
            )
        if self.election_max_s <= self.election_min_s:
            raise ValueError(
                f'election_max_s {self.election_max_s:g} must be above '
                f'election_min_s {self.election_min_s:g}'
            )
        if self.heartbeat_s * 2 > self.election_min_s:
            raise ValueError(
                f'election_min_s {self.election_min_s:g} must be at least '
                f'twice heartbeat_s {self.heartbeat_s:g}'
            )
        return self


class GatewaySettings(_validation.InputModel):
    """Settings of an entry that passes jobs on to control.

    Attributes:
        cluster_id: name shared by every process of the system.
        entry_id: name of this entry.
        data_centre: where this process runs.
        link_address: where other processes of the system connect.
        http_address: where callers connect.
        ready_address: where the load balancer checks readiness.
        seeds: link addresses of some control replicas.
        max_body_bytes: largest body of a call.
        default_deadline_s: deadline of a call that names none.
        max_deadline_s: longest deadline that a caller may name.
        body_timeout_s: time in which a caller must have sent its body.
        max_connections: connections of callers that may be open at the same
            time.
        max_link_connections: connections of other processes that may be open
            at the same time.
        max_held_bytes: bytes that all requests together may hold.
        stop_timeout_s: longest graceful shutdown.
        log_level: debug, info, warning or error.
    """

    cluster_id: Name
    entry_id: Name
    data_centre: Name
    link_address: Address
    http_address: Address
    ready_address: Address
    seeds: tuple[Address, ...]
    max_body_bytes: Annotated[int, pydantic.Field(ge=1, le=2**28)] = 2**18
    default_deadline_s: Seconds = 3.0
    max_deadline_s: Seconds = 60.0
    body_timeout_s: Seconds = 3.0
    max_connections: ConnectionCount = 2000
    max_link_connections: ConnectionCount = 400
    max_held_bytes: HeldBytes = 24 * 2**20
    stop_timeout_s: Seconds = 4.0
    log_level: LogLevel = 'info'

    @pydantic.field_validator('seeds')
    @classmethod
    def _require_seed(cls, value: tuple[str, ...]) -> tuple[str, ...]:
        if not value:
            raise ValueError('at least one control replica is needed')
        return value


class EntrySettings(_validation.InputModel):
    """Settings of an entry process.

    Attributes:
        cluster_id: name shared by every process of the system.
        entry_id: name of this entry.
        data_centre: where this process runs.
        link_address: where other processes of the system connect.
        advertised_address: address by which others reach link_address, if it
            differs.
        http_address: where callers and upstreams connect.
        controls: link address of each control replica, by replica_id.
        announce_interval_s: how often upstreams announce themselves.
        silence_timeout_s: silence after which an upstream gets no new call.
        max_queued_calls: most calls that may wait for one service.
        max_body_bytes: largest body of a call or an answer.
        default_deadline_s: deadline of a call that names none.
        max_deadline_s: longest deadline that a caller may name.
        body_timeout_s: time in which a caller must have sent its body.
        max_header_bytes: most bytes of a request line, and of all header
            fields together.
        header_timeout_s: time from the first byte of a head to its last.
        idle_timeout_s: time between two requests, and before the first.
        max_connections: connections of callers and upstreams that may be open
            at the same time.
        max_link_connections: connections of other processes that may be open
            at the same time.
        max_held_bytes: bytes that all requests together may hold.
        stop_timeout_s: longest graceful shutdown.
        log_level: debug, info, warning or error.
    """

    cluster_id: Name
    entry_id: Name
    data_centre: Name
    link_address: Address
    advertised_address: Address | None = None
    http_address: Address
    controls: dict[Name, Address]
    announce_interval_s: Seconds = 0.5
    silence_timeout_s: Seconds = 2.0
    max_queued_calls: Annotated[int, pydantic.Field(ge=1, le=100_000)] = 2000
    max_body_bytes: Annotated[int, pydantic.Field(ge=1, le=2**28)] = 2**23
    default_deadline_s: Seconds = 10.0
    max_deadline_s: Seconds = 3600.0
    body_timeout_s: Seconds = 10.0
    max_header_bytes: Annotated[int, pydantic.Field(ge=256, le=2**20)] = 2**14
    header_timeout_s: Seconds = 10.0
    idle_timeout_s: Seconds = 120.0
    max_connections: ConnectionCount = 2000
    max_link_connections: ConnectionCount = 400
    max_held_bytes: HeldBytes = 64 * 2**20
    stop_timeout_s: Seconds = 30.0
    log_level: LogLevel = 'info'

    @pydantic.field_validator('controls')
    @classmethod
    def _require_control(cls, value: dict[str, str]) -> dict[str, str]:
        if not value:
            raise ValueError('at least one control replica is needed')
        return value

    @pydantic.model_validator(mode='after')
    def _check_consistency(self) -> 'EntrySettings':
        if self.silence_timeout_s < 2 * self.announce_interval_s:
            raise ValueError(
                f'silence_timeout_s {self.silence_timeout_s:g} must be at '
                'least twice announce_interval_s '
                f'{self.announce_interval_s:g}'
            )
        return self


def load_settings(model: type[Settings], path: str) -> Settings:
    """Read and validate a settings file.

    Raises:
        InvalidInputError: the file can't be read or a field is wrong.
    """
    source = f'settings file {path}'
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as error:
        reason = error.strerror or str(error)
        field = errors.FieldError('--settings', path, reason)
        raise errors.InvalidInputError(source, [field]) from error
    return _validation.parse(model, data, source)
