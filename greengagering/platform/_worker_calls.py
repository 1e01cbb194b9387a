"""HTTP client of workers: orders and polls."""

import asyncio
import dataclasses
from typing import Annotated
from typing import Any
from typing import Literal

import aiohttp
import msgspec

from greengagering import coordination
from greengagering import logs
from greengagering.platform import _formats
from greengagering.platform import _jobs
from greengagering.protocol import bounds
from greengagering.protocol import errors as protocol_errors
from greengagering import state

CONNECT_TIMEOUT_S = 0.4
"""Timeout for opening a connection; a few round trips."""

ORDER_TIMEOUT_S = 0.5
"""Timeout of an order; workers answer within milliseconds."""

KEEPALIVE_S = 60.0
"""Time for which an idle connection is kept open; new connections cost the
users."""

CONNECTIONS_PER_WORKER = 16
"""Most connections to one worker: concurrent orders, polls, and those on which
an order that may be lost still awaits its answer."""

ENDS_PER_LIST = 500
"""Most ends in one response of a worker; after a full list there may be
more."""

INSTANCE_HEADER = 'Expect-Instance'
MISDIRECTED = 421
LISTS_SOURCE = 'lists'

_outcomes = coordination.OrderOutcome

_REASONS = {
    'fence': _outcomes.FENCED,
    'old': _outcomes.OLD_RUN,
    'late': _outcomes.LATE,
    'room': _outcomes.NO_ROOM,
    # The platform calls an adviser's permit a ticket; operators' tickets are
    # something else.
    'ticket': _outcomes.NO_PERMIT,
}
_STATUSES = {
    200: _outcomes.DONE,
    400: _outcomes.INVALID,
    MISDIRECTED: _outcomes.OTHER_LIFE,
    429: _outcomes.UNHEALTHY,
    503: _outcomes.UNHEALTHY,
}
_ENDINGS = {
    'done': state.RunEnding.DONE,
    'failed': state.RunEnding.FAILED,
    'stopped': state.RunEnding.STOPPED,
    'lapsed': state.RunEnding.LAPSED,
    'broken': state.RunEnding.BROKEN,
    'alone': state.RunEnding.ALONE,
}

TaskName = Annotated[
    str,
    msgspec.Meta(pattern=r'^[0-9A-Za-z_-]{1,64}(\.[0-9]{1,9}){3}$'),
]
"""Name of a task: its job, then the numbers of occurrence, step and task."""


class _Answer(_formats.WireModel):
    """A worker's response to an order.

    Attributes:
        wall_clock_ms: the worker's monotonic clock; despite its name, not
            the time of day.
    """

    wall_clock_ms: bounds.SteadyMs | None = None
    reason: str = ''


class _Lists(_formats.WireModel):
    """A worker's lists of runs; see _RunningRow and _EndedRow.

    A row that can't be read must not hide the others.
    """

    running: msgspec.Raw
    ended: msgspec.Raw
    wall_clock_ms: bounds.SteadyMs | None = None
    born: bounds.UnixMs | None = None


class _RunningRow(msgspec.Struct, array_like=True):
    """A run in progress.

    Attributes:
        percent: percentage of full speed.
        figure: tail latency in ms of a serving task, millicores used by
            another.
    """

    task: TaskName
    run: bounds.Count
    saved: str
    percent: bounds.Figure
    figure: bounds.Figure | None = None


class _EndedRow(msgspec.Struct, array_like=True):
    """A run that has ended."""

    number: bounds.Number
    task: TaskName
    run: bounds.Count
    how: Literal['done', 'failed', 'stopped', 'lapsed', 'broken', 'alone']
    saved: str


@dataclasses.dataclass(frozen=True, slots=True)
class _Failure:
    """A request without a response.

    Attributes:
        is_refused: whether the connection was refused, so that no process
            listens at the worker's address.
    """

    is_refused: bool


class WorkerCalls:
    """HTTP implementation of transport's WorkerClient."""

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    async def start(
        self, order: coordination.StartOrder
    ) -> coordination.OrderAnswer:
        """Start a run."""
        body: dict[str, Any] = {
            'task': order.key.task_name,
            'run': order.key.run,
            'spec': order.text,
            'untilMs': order.until_ms,
            'fence': order.fence,
        }
        if order.saved:
            body['saved'] = order.saved
        if order.permit:
            body['ticket'] = order.permit
        return await self._order('/run-start', order.life, body)

    async def stop(
        self, order: coordination.StopOrder
    ) -> coordination.OrderAnswer:
        """Stop a run."""
        body = {
            'task': order.key.task_name,
            'run': order.key.run,
            'fence': order.fence,
        }
        return await self._order('/run-stop', order.life, body)

    async def pace(
        self, order: coordination.PaceOrder
    ) -> coordination.OrderAnswer:
        """Change the percentage of full speed at which a run proceeds."""
        body = {
            'task': order.key.task_name,
            'run': order.key.run,
            'percent': order.percent,
            'fence': order.fence,
        }
        return await self._order('/pace', order.life, body)

    async def poll(
        self, order: coordination.LookOrder
    ) -> coordination.LookAnswer:
        """Poll a worker for its lists of running and ended runs."""
        body = {'fence': order.fence, 'ackCursor': order.noted_end}
        if order.until_ms:
            body['untilMs'] = order.until_ms
        if order.wait_ms:
            body['waitMs'] = order.wait_ms
        timeout_s = ORDER_TIMEOUT_S + order.wait_ms / 1000
        response = await self._post('/hold', order.life, body, timeout_s)
        if isinstance(response, _Failure):
            return coordination.LookAnswer(
                _outcomes.NO_ANSWER, is_refused=response.is_refused
            )
        status, data = response
        if status != 200:
            answer = _read_answer(status, data)
            return coordination.LookAnswer(answer.outcome, answer.clock_ms)
        try:
            lists = _formats.read_body(data, _Lists, LISTS_SOURCE)
            return _read_lists(order.life.key, lists)
        except protocol_errors.InvalidInputError as error:
            logs.warning(
                'lists_unreadable', life=order.life.key, cause=str(error)
            )
            return coordination.LookAnswer(_outcomes.NO_ANSWER)

    async def close(self) -> None:
        """Close every connection."""
        if self._session is not None:
            await self._session.close()

    async def _order(
        self, path: str, life: state.WorkerFacts, body: dict[str, Any]
    ) -> coordination.OrderAnswer:
        response = await self._post(path, life, body, ORDER_TIMEOUT_S)
        if isinstance(response, _Failure):
            return coordination.OrderAnswer(_outcomes.NO_ANSWER)
        return _read_answer(*response)

    async def _post(
        self,
        path: str,
        life: state.WorkerFacts,
        body: dict[str, Any],
        timeout_s: float,
    ) -> tuple[int, bytes] | _Failure:
        """Send a request once; return status and body, or why there are none.

        A request on a connection that breaks isn't sent again: the worker may
        have carried it out, or still do so, and a refusal of a second sending
        would be taken for the outcome of both. The scheduler repeats what is
        still needed, and accounts for each sending.
        """
        if self._session is None:
            self._session = _create_session()
        data = _formats.write_body(body)
        headers = {
            'Content-Type': _formats.JSON_TYPE,
            INSTANCE_HEADER: life.worker_id,
        }
        url = f'http://{life.address}{path}'
        try:
            async with (
                asyncio.timeout(timeout_s),
                self._session.post(
                    url, data=data, headers=headers, allow_redirects=False
                ) as response,
            ):
                return response.status, await response.read()
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            logs.debug(
                'worker_no_answer',
                life=life.key,
                path=path,
                cause=repr(error),
            )
            return _Failure(_is_refused(error))


def _is_refused(error: Exception) -> bool:
    """Tell whether an error is the refusal of a new connection."""
    return isinstance(error, aiohttp.ClientConnectorError) and isinstance(
        error.os_error, ConnectionRefusedError
    )


def _create_session() -> aiohttp.ClientSession:
    connector = aiohttp.TCPConnector(
        limit=0,
        limit_per_host=CONNECTIONS_PER_WORKER,
        keepalive_timeout=KEEPALIVE_S,
    )
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
    return aiohttp.ClientSession(
        connector=connector,
        timeout=timeout,
        cookie_jar=aiohttp.DummyCookieJar(),
    )


def _read_answer(status: int, data: bytes) -> coordination.OrderAnswer:
    answer = _Answer()
    try:
        answer = _formats.read_body(data, _Answer, 'answer')
    except protocol_errors.InvalidInputError as error:
        # The status alone determines the outcome.
        logs.debug('answer_without_body', status=status, cause=str(error))
    if status == 409:
        outcome = _REASONS.get(answer.reason, _outcomes.INVALID)
    elif status in _STATUSES:
        outcome = _STATUSES[status]
    elif 400 <= status < 500:
        outcome = _outcomes.INVALID
    else:
        # Only a refusal proves that the order is not carried out.
        logs.warning('status_unknown', status=status)
        return coordination.OrderAnswer(_outcomes.NO_ANSWER)
    return coordination.OrderAnswer(outcome, answer.wall_clock_ms)


def _read_lists(life_key: str, lists: _Lists) -> coordination.LookAnswer:
    """Convert a worker's lists, without the rows that can't be read.

    A running row may stand for a run that the leader has assigned. Without
    it the lists count as incomplete, so that no run is taken for absent and
    started elsewhere. An ended row is of a run that is over in any case.
    """
    running, unread = _formats.read_rows(
        lists.running, _RunningRow, f'running at {life_key}'
    )
    ended, unread_ends = _formats.read_rows(
        lists.ended, _EndedRow, f'ended at {life_key}'
    )
    is_list_full = len(ended) + len(unread_ends) >= ENDS_PER_LIST
    return coordination.LookAnswer(
        outcome=_outcomes.DONE,
        clock_ms=lists.wall_clock_ms,
        born_ms=lists.born,
        running=tuple(_to_listed_run(row) for row in running),
        ended=tuple(
            state.RunEnd(
                number=row.number,
                key=_jobs.parse_task_name(row.task, row.run),
                ending=_ENDINGS[row.how],
                saved=row.saved,
            )
            for row in ended
        ),
        is_complete=not (unread or is_list_full),
    )


def _to_listed_run(row: _RunningRow) -> coordination.ListedRun:
    return coordination.ListedRun(
        key=_jobs.parse_task_name(row.task, row.run),
        saved=row.saved,
        percent=min(int(row.percent), 100),
        figure=int(row.figure) if row.figure is not None else None,
    )
