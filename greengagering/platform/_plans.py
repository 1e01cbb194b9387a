"""Conversion of the operator's configuration to a plan."""

import functools
import hashlib
import math

from typing import Any

import msgspec

from greengagering.platform import _formats
from greengagering.protocol import bounds
from greengagering import state

SOURCE = 'configuration'
DEFAULT_MAX_BODY_BYTES = 262_144
MS_PER_S = 1000


class _Advice(_formats.WireModel):
    decide_ms: float = 0.0
    each_ms: float = 0.0
    validity_ms: float = 0.0


class _Route(_formats.WireModel):
    """A queue.

    Attributes:
        target_duration_ms: constant part of a job's objective, the time
            within which it should finish. The other part is stretch times the
            estimated time of the job's longest chain of steps.
        timeout_ms: validated but not used; each call has its own deadline.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    timeout_ms: float
    target_duration_ms: float = 0.0
    priority: int = 0
    attempts: int = 1
    stretch: float = 1.0
    advice: _Advice | None = None
    public: bool = False


class _Service(_formats.WireModel):
    """A pool of workers.

    Attributes:
        admission_control: workers refuse runs that exceed their capacity.
    """

    name: str
    max_conns: int = 64
    admission_control: bool = False
    standby: bool = False


class _Amount(_formats.WireModel):
    """What a customer may have running; 0 is no limit."""

    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


class _Tenant(_formats.WireModel):
    """A customer.

    Attributes:
        max_count: what its tasks may have running at the same time, over all
            workers.
    """

    name: str
    api_keys: tuple[str, ...] = ()
    weight: float = 1.0
    max_count: _Amount = msgspec.field(default_factory=_Amount)


class _Limits(_formats.WireModel):
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES
    # Former versions accepted any value of these, so a stored one may have it.
    max_header_bytes: Any = 0
    header_timeout_ms: Any = 0
    idle_timeout_ms: Any = 0


class _Configuration(_formats.WireModel):
    version: int
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: tuple[_Tenant, ...] = ()


def parse_plan(body: bytes) -> state.RoutePlan:
    """Convert a new configuration to a plan.

    Raises:
        InvalidInputError: the body is malformed or has an invalid field.
    """
    wire = _read(body)
    _check_ranges(wire)
    return _to_plan(wire, body)


def read_stored_plan(body: bytes) -> state.RoutePlan:
    """Convert the source of a plan in force.

    A former version accepted numbers of any size that could be stored. If
    such a plan counted as invalid, it would be in force and serve no call.

    Raises:
        InvalidInputError: the body is malformed or has an invalid field.
    """
    return _to_plan(_read(body), body)


@functools.lru_cache(maxsize=1)
def _read(body: bytes) -> _Configuration:
    """Decode a configuration, and check what a plan needs to make sense.

    The newest result is kept: a leader that has accepted a configuration
    reads it again as the source of the plan in force.
    """
    wire = _formats.read_body(body, _Configuration, SOURCE)
    _check(wire)
    return wire


def _to_plan(wire: _Configuration, body: bytes) -> state.RoutePlan:
    return state.RoutePlan(
        number=wire.version,
        queues=tuple(_to_queue(route) for route in wire.routes),
        services=tuple(_to_service(service) for service in wire.services),
        max_body_bytes=wire.limits.max_body_bytes,
        source=body,
        customers=tuple(_to_customer(tenant) for tenant in wire.tenants),
        client_limits=_to_client_limits(wire.limits),
    )


def _to_client_limits(wire: _Limits) -> state.ClientLimits:
    """Return the limits that are given, and the usual ones for the others."""
    usual = state.ClientLimits()
    return state.ClientLimits(
        _read_limit(wire.max_header_bytes, usual.max_header_bytes),
        _read_limit(wire.header_timeout_ms, usual.header_timeout_ms),
        _read_limit(wire.idle_timeout_ms, usual.idle_timeout_ms),
    )


def _read_limit(value: Any, usual: int) -> int:
    if not _is_whole(value) or not 0 < value <= bounds.MAX_DURATION_MS:
        return usual
    return int(value)


def _is_whole(value: Any) -> bool:
    if type(value) is float:
        return value.is_integer()
    return type(value) is int


def _check(wire: _Configuration) -> None:
    if wire.version < 1:
        raise _formats.invalid(
            SOURCE, 'version', 'must be positive', wire.version
        )
    services = [service.name for service in wire.services]
    _check_unique('services', services)
    _check_unique('routes', [f'{r.host}{r.path_prefix}' for r in wire.routes])
    for number, route in enumerate(wire.routes):
        field = f'routes.{number}'
        if route.service not in services:
            raise _formats.invalid(
                SOURCE, f'{field}.service', 'unknown service', route.service
            )
        if route.timeout_ms <= 0:
            raise _formats.invalid(
                SOURCE,
                f'{field}.timeoutMs',
                'must be positive',
                route.timeout_ms,
            )
        if not route.path_prefix.startswith('/'):
            raise _formats.invalid(
                SOURCE,
                f'{field}.pathPrefix',
                'must begin with /',
                route.path_prefix,
            )
    _check_customers(wire.tenants)


def _check_ranges(wire: _Configuration) -> None:
    """Check that every number can be stored and is plausible."""
    check = functools.partial(_formats.check_range, SOURCE)
    check('version', wire.version, 1, bounds.MAX_VERSION)
    check(
        'limits.maxBodyBytes',
        wire.limits.max_body_bytes,
        0,
        bounds.MAX_EXACT,
    )
    for name, value in (
        ('maxHeaderBytes', wire.limits.max_header_bytes),
        ('headerTimeoutMs', wire.limits.header_timeout_ms),
        ('idleTimeoutMs', wire.limits.idle_timeout_ms),
    ):
        field = f'limits.{name}'
        if not _is_whole(value):
            raise _formats.invalid(
                SOURCE, field, 'must be a whole number', value
            )
        check(field, value, 0, bounds.MAX_DURATION_MS)
    for number, route in enumerate(wire.routes):
        _check_route_ranges(f'routes.{number}', route)
    for number, service in enumerate(wire.services):
        field = f'services.{number}.maxConns'
        check(field, service.max_conns, 0, bounds.MAX_EXACT)
    for number, tenant in enumerate(wire.tenants):
        field = f'tenants.{number}'
        check(f'{field}.weight', tenant.weight, 0, bounds.MAX_RANK)
        for name, amount in _limits_of(tenant):
            check(f'{field}.maxCount.{name}', amount, 0, bounds.MAX_EXACT)


def _check_route_ranges(field: str, route: _Route) -> None:
    rank, duration = bounds.MAX_RANK, bounds.MAX_DURATION_MS
    advice = route.advice or _Advice()
    for name, value, lowest, highest in (
        ('timeoutMs', route.timeout_ms, 0, duration),
        ('targetDurationMs', route.target_duration_ms, 0, duration),
        ('priority', route.priority, -rank, rank),
        ('attempts', route.attempts, -rank, rank),
        ('stretch', route.stretch, 0, rank),
        ('advice.decideMs', advice.decide_ms, 0, duration),
        ('advice.eachMs', advice.each_ms, 0, duration),
        ('advice.validityMs', advice.validity_ms, 0, duration),
    ):
        _formats.check_range(SOURCE, f'{field}.{name}', value, lowest, highest)


def _limits_of(tenant: _Tenant) -> tuple[tuple[str, int], ...]:
    most = tenant.max_count
    return (('cpu', most.cpu), ('memMb', most.mem_mb), ('gpu', most.gpu))


def _check_customers(tenants: tuple[_Tenant, ...]) -> None:
    """Check the customers. No message contains a key, as it may be logged."""
    _check_unique('tenants', [tenant.name for tenant in tenants])
    owners: dict[str, str] = {}
    for number, tenant in enumerate(tenants):
        field = f'tenants.{number}'
        _check_customer(field, tenant)
        for position, key in enumerate(tenant.api_keys):
            place = f'{field}.apiKeys.{position}'
            if not key:
                raise _formats.invalid(SOURCE, place, 'must not be empty')
            owner = owners.setdefault(key, tenant.name)
            if owner != tenant.name:
                raise _formats.invalid(
                    SOURCE, place, f'also a key of {owner!r}', tenant.name
                )


def _check_customer(field: str, tenant: _Tenant) -> None:
    if not tenant.name:
        raise _formats.invalid(SOURCE, f'{field}.name', 'must not be empty')
    if not (math.isfinite(tenant.weight) and tenant.weight > 0):
        raise _formats.invalid(
            SOURCE, f'{field}.weight', 'must be positive', tenant.weight
        )
    for name, amount in _limits_of(tenant):
        if amount < 0:
            raise _formats.invalid(
                SOURCE,
                f'{field}.maxCount.{name}',
                'must not be negative',
                amount,
            )


def _check_unique(field: str, values: list[str]) -> None:
    seen = set()
    for value in values:
        if value in seen:
            raise _formats.invalid(SOURCE, field, 'named twice', value)
        seen.add(value)


def _to_queue(route: _Route) -> state.Queue:
    advice = None
    if route.advice is not None:
        advice = state.AdvicePolicy(
            decide_s=route.advice.decide_ms / MS_PER_S,
            each_s=route.advice.each_ms / MS_PER_S,
            validity_s=route.advice.validity_ms / MS_PER_S,
        )
    return state.Queue(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        service=route.service,
        priority=route.priority,
        attempt_limit=max(route.attempts, 1),
        stretch=route.stretch,
        target_s=route.target_duration_ms / MS_PER_S,
        advice=advice,
        is_public=route.public,
    )


def _to_customer(tenant: _Tenant) -> state.Customer:
    return state.Customer(
        name=tenant.name,
        key_digests=tuple(digest_key(key) for key in tenant.api_keys),
        weight=tenant.weight,
        limit=state.Room(
            tenant.max_count.cpu,
            tenant.max_count.mem_mb,
            tenant.max_count.gpu,
        ),
    )


def digest_key(key: str) -> str:
    """Return the SHA-256 of a customer's key in hexadecimal."""
    # A header's bytes that aren't UTF-8 reach here as surrogates.
    return hashlib.sha256(key.encode(errors='surrogateescape')).hexdigest()


def _to_service(service: _Service) -> state.WorkerService:
    return state.WorkerService(
        name=service.name,
        is_standby=service.standby,
        guards_capacity=service.admission_control,
        connection_limit=service.max_conns,
    )
