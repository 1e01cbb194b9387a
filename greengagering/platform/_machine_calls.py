"""HTTP client of the platform's machine service."""

import asyncio
from typing import Any
from typing import Literal

import aiohttp
import msgspec

from greengagering import coordination
from greengagering import logs
from greengagering.platform import _formats
from greengagering.protocol import bounds
from greengagering.protocol import errors as protocol_errors
from greengagering import state

LIST_TIMEOUT_S = 3.0
"""Timeout for reading all pages of the list; the platform may be slow."""

DUTY_TIMEOUT_S = 3.0
"""Timeout of a request to carry out a duty."""

MAX_PAGES = 1000
"""Most pages of a list; a longer list is treated as unreadable."""

LIST_SOURCE = 'machines'
HOLDER_HEADER = 'Lease-Holder'
FENCE_HEADER = 'Fence-Token'

_outcomes = coordination.DutyOutcome
_REASONS = {'fence': _outcomes.FENCED, 'busy': _outcomes.BUSY}
_STATES = {
    'up': coordination.MachineState.UP,
    'moving': coordination.MachineState.MOVING,
    'upkeep': coordination.MachineState.UPKEEP,
    'down': coordination.MachineState.DOWN,
}


class _Capacity(_formats.WireModel):
    cpu: bounds.Amount = 0
    mem_mb: bounds.Amount = 0
    gpu: bounds.Amount = 0


class _Machine(_formats.WireModel):
    """A machine.

    Attributes:
        state: a state that isn't named makes the row invalid, as it says
            nothing of the machine.
        labels: the machine's kind, then its rack.
        id: id of the worker on the machine, or None.
    """

    machine: str
    pool: str
    state: Literal['up', 'moving', 'upkeep', 'down']
    labels: tuple[str, ...] = ()
    capacity: _Capacity = msgspec.field(default_factory=_Capacity)
    id: str | None = None


class _MachineName(_formats.WireModel):
    """The part of a row that tells whose it is."""

    machine: str


class _Page(_formats.WireModel):
    machines: msgspec.Raw
    next_token: str | int | None = None


class _Refusal(_formats.WireModel):
    reason: str = ''


class MachineCalls:
    """HTTP implementation of transport's MachineClient."""

    def __init__(self, address: str) -> None:
        self._base = f'http://{address}'
        self._session: aiohttp.ClientSession | None = None
        self._is_unavailable = False
        # The machines of the newest list, by name.
        self._known: dict[str, coordination.Machine] = {}

    async def list_machines(self) -> tuple[coordination.Machine, ...] | None:
        """Return every machine, or None if the list can't be read."""
        try:
            async with asyncio.timeout(LIST_TIMEOUT_S):
                listed, unread = await self._read_pages()
        except (
            TimeoutError,
            aiohttp.ClientError,
            OSError,
            protocol_errors.InvalidInputError,
        ) as error:
            if not self._is_unavailable:
                logs.warning('machine_service_lost', cause=repr(error))
            self._is_unavailable = True
            return None
        if self._is_unavailable:
            logs.info('machine_service_regained')
        self._is_unavailable = False
        machines = {item.machine: _to_machine(item) for item in listed}
        if unread:
            # An entry that can't be read may be any of the machines that the
            # list lacks, and they must not be taken for gone.
            unknown = {name: _unknown_machine(name) for name in unread if name}
            machines = {**unknown, **self._known, **machines}
        self._known = machines
        return tuple(machines.values())

    async def carry_out(
        self, order: coordination.DutyOrder
    ) -> coordination.DutyOutcome:
        """Request that a machine is moved or taken down for upkeep."""
        duty = order.duty
        body: dict[str, Any] = {'machine': duty.machine}
        if duty.kind is state.DutyKind.MOVE:
            path = '/machine-move'
            body['pool'] = duty.pool
        else:
            path = '/machine-upkeep'
            body['wave'] = duty.wave_number
        headers = {
            'Content-Type': _formats.JSON_TYPE,
            HOLDER_HEADER: order.holder,
            FENCE_HEADER: str(order.fence),
        }
        try:
            async with asyncio.timeout(DUTY_TIMEOUT_S):
                async with self._get_session().post(
                    self._base + path,
                    data=_formats.write_body(body),
                    headers=headers,
                ) as response:
                    data = await response.read()
                    return _read_outcome(response.status, data)
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            logs.warning(
                'duty_no_answer', machine=duty.machine, cause=repr(error)
            )
            return _outcomes.NO_ANSWER

    async def close(self) -> None:
        """Close every connection."""
        if self._session is not None:
            await self._session.close()

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                cookie_jar=aiohttp.DummyCookieJar()
            )
        return self._session

    async def _read_pages(self) -> tuple[list[_Machine], list[str]]:
        """Return the entries that can be read, and the names of the others.

        The name of an entry is '' if it can't be read either.
        """
        listed: list[_Machine] = []
        names: list[str] = []
        token: str | int | None = None
        for _ in range(MAX_PAGES):
            params = {} if token is None else {'pageToken': str(token)}
            async with self._get_session().get(
                f'{self._base}/machines', params=params
            ) as response:
                data = await response.read()
                response.raise_for_status()
            page = _formats.read_body(data, _Page, LIST_SOURCE)
            read, unread = _formats.read_rows(
                page.machines, _Machine, LIST_SOURCE
            )
            listed += read
            names += map(_read_name, unread)
            token = page.next_token
            if token in (None, ''):
                return listed, names
        raise aiohttp.ClientError(f'the list has over {MAX_PAGES} pages')


def _read_name(row: msgspec.Raw) -> str:
    """Return the machine that an invalid row names, or ''."""
    try:
        return _formats.read_body(
            bytes(row), _MachineName, LIST_SOURCE
        ).machine
    except protocol_errors.InvalidInputError:
        # The row has been logged as unreadable.
        return ''


def _unknown_machine(name: str) -> coordination.Machine:
    return coordination.Machine(
        name=name,
        pool='',
        status=coordination.MachineState.UNKNOWN,
        worker_id='',
        rack='',
        room=state.Room(0, 0, 0),
    )


def _to_machine(item: _Machine) -> coordination.Machine:
    return coordination.Machine(
        name=item.machine,
        pool=item.pool,
        status=_STATES[item.state],
        worker_id=item.id or '',
        rack=item.labels[-1] if len(item.labels) > 1 else '',
        room=state.Room(
            item.capacity.cpu, item.capacity.mem_mb, item.capacity.gpu
        ),
    )


def _read_outcome(status: int, data: bytes) -> coordination.DutyOutcome:
    if status == 200:
        return _outcomes.DONE
    if status == 400:
        return _outcomes.REFUSED
    if status == 409:
        try:
            refusal = _formats.read_body(data, _Refusal, 'refusal')
        except protocol_errors.InvalidInputError as error:
            logs.warning('refusal_unreadable', cause=str(error))
            refusal = _Refusal()
        # Other reasons, such as a machine that is not part of the wave, are
        # permanent, so the duty is not retried.
        return _REASONS.get(refusal.reason, _outcomes.REFUSED)
    return _outcomes.NOT_NOW
