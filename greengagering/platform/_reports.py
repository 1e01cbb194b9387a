"""Conversion of workers' heartbeats."""

from greengagering import coordination
from greengagering.platform import _formats
from greengagering.protocol import bounds
from greengagering import state

SOURCE = 'heartbeat'
STATES = ('ready', 'draining')


class _Capacity(_formats.WireModel):
    cpu: bounds.Amount
    mem_mb: bounds.Amount
    gpu: bounds.Amount = 0


class _Heartbeat(_formats.WireModel):
    """A worker's heartbeat.

    Attributes:
        labels: the worker's kind, then its rack.
        wall_clock_ms: the worker's monotonic clock; despite its name, not
            the time of day.
        born: Unix time of the worker's start in milliseconds.
    """

    service: str
    address: str
    zone: str
    state: str
    capacity: _Capacity
    seq: bounds.Count
    labels: tuple[str, ...] = ()
    wall_clock_ms: bounds.SteadyMs | None = None
    born: bounds.UnixMs = 0


def parse_heartbeat(worker_id: str, body: bytes) -> coordination.WorkerReport:
    """Convert a heartbeat.

    Raises:
        InvalidInputError: the body is malformed or has an invalid field; it
            may come from another program and must not add a worker.
    """
    wire = _formats.read_body(body, _Heartbeat, SOURCE)
    if wire.state not in STATES:
        raise _formats.invalid(SOURCE, 'state', 'unknown', wire.state)
    for field, value, check in (
        ('id', worker_id, bounds.check_id),
        ('address', wire.address, bounds.check_address),
    ):
        try:
            check(value)
        except ValueError as error:
            raise _formats.invalid(SOURCE, field, str(error), value) from error
    rack = wire.labels[-1] if len(wire.labels) > 1 else ''
    facts = state.WorkerFacts(
        worker_id=worker_id,
        born_ms=wire.born,
        service=wire.service,
        address=wire.address,
        data_centre=wire.zone,
        rack=rack,
        labels=wire.labels,
        room=state.Room(
            wire.capacity.cpu, wire.capacity.mem_mb, wire.capacity.gpu
        ),
    )
    return coordination.WorkerReport(
        facts=facts,
        sequence=wire.seq,
        clock_ms=wire.wall_clock_ms,
        is_draining=wire.state == 'draining',
    )
