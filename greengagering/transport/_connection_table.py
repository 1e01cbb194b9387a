"""Bounds the connections of a server, and how long each may wait."""

from collections import OrderedDict
import dataclasses
import enum
from typing import Protocol

LINGER_S = 1.0
"""Time in which a refused client can read why, as closing a connection that
has unread bytes would drop the response."""


class Stage(enum.StrEnum):
    """What a connection waits for.

    Attributes:
        NEW: the first byte of its first request.
        IDLE: the first byte of its next request.
        HEAD: the rest of a head.
        BODY: the rest of a body.
        RUNNING: the response of a handler.
        UNREAD: the client, to read a response.
        CLOSING: the client, to close after a refusal.
    """

    NEW = 'new'
    IDLE = 'idle'
    HEAD = 'head'
    BODY = 'body'
    RUNNING = 'running'
    UNREAD = 'unread'
    CLOSING = 'closing'


class CloseCause(enum.StrEnum):
    """Why a server closes a client's connection."""

    INVALID = 'invalid'
    IDLE = 'idle'
    SLOW_HEAD = 'slow_head'
    SLOW_BODY = 'slow_body'
    SLOW_READER = 'slow_reader'
    TOO_MANY = 'too_many_connections'
    STOPPING = 'stopping'
    LINGERED = 'lingered'


_EVICTED_FIRST = (
    Stage.CLOSING,
    Stage.UNREAD,
    Stage.NEW,
    Stage.HEAD,
    Stage.IDLE,
    Stage.BODY,
)
"""Stages whose connections give way to new ones, in this order. A request that
runs is never given up."""


class TimeLimits(Protocol):
    """Times that clients may take; they may change at run time."""

    @property
    def header_timeout_s(self) -> float:
        """Time from the first byte of a head to its last."""
        ...

    @property
    def idle_timeout_s(self) -> float:
        """Time between two requests, and before the first."""
        ...

    @property
    def body_timeout_s(self) -> float:
        """Time from the end of a head to the end of its body."""
        ...


class Connection(Protocol):
    """A connection of a client."""

    def give_up(self, cause: CloseCause) -> None:
        """Close the connection; a request that hasn't run is refused."""
        ...


@dataclasses.dataclass(slots=True)
class _Entry:
    """What the table knows of a connection.

    Attributes:
        stage: what the connection waits for.
        since_s: when that stage began.
    """

    stage: Stage
    since_s: float


class ConnectionTable:
    """The connections of a server, ordered by how long they have waited."""

    def __init__(self, limits: TimeLimits, max_connections: int) -> None:
        self._limits = limits
        self._max_connections = max_connections
        self._entries: dict[Connection, _Entry] = {}
        # Those of a stage in the order in which they last moved on.
        self._stages: dict[Stage, OrderedDict[Connection, None]] = {
            stage: OrderedDict() for stage in Stage
        }

    def __len__(self) -> int:
        return len(self._entries)

    def connections(self, *stages: Stage) -> list[Connection]:
        """Return the connections in some stages, or in all without any."""
        return [
            connection
            for stage in stages or Stage
            for connection in self._stages[stage]
        ]

    def add(self, connection: Connection, now_s: float) -> bool:
        """Add a connection; another one is closed if there are too many.

        Returns:
            Whether there is room for it.
        """
        if len(self._entries) >= self._max_connections:
            other = self._find_evicted()
            if other is None:
                return False
            other.give_up(CloseCause.TOO_MANY)
        self._entries[connection] = _Entry(Stage.NEW, now_s)
        self._stages[Stage.NEW][connection] = None
        return True

    def remove(self, connection: Connection) -> None:
        """Forget a connection, if it is known."""
        entry = self._entries.pop(connection, None)
        if entry is not None:
            del self._stages[entry.stage][connection]

    def move(self, connection: Connection, stage: Stage, now_s: float) -> None:
        """Record what a connection waits for now, if it is known."""
        entry = self._entries.get(connection)
        if entry is None or entry.stage is stage:
            return
        del self._stages[entry.stage][connection]
        self._stages[stage][connection] = None
        entry.stage = stage
        entry.since_s = now_s

    def note_progress(self, connection: Connection) -> None:
        """Record that bytes of a body have come."""
        entry = self._entries.get(connection)
        if entry is not None:
            self._stages[entry.stage].move_to_end(connection)

    def close_overdue(self, now_s: float) -> None:
        """Give up the connections that have waited longer than they may."""
        for stage, cause, limit_s in (
            (Stage.NEW, CloseCause.IDLE, self._limits.idle_timeout_s),
            (Stage.IDLE, CloseCause.IDLE, self._limits.idle_timeout_s),
            (Stage.HEAD, CloseCause.SLOW_HEAD, self._limits.header_timeout_s),
            (Stage.BODY, CloseCause.SLOW_BODY, self._limits.body_timeout_s),
            (
                Stage.UNREAD,
                CloseCause.SLOW_READER,
                self._limits.idle_timeout_s,
            ),
            (Stage.CLOSING, CloseCause.LINGERED, LINGER_S),
        ):
            for connection in list(self._stages[stage]):
                if now_s - self._entries[connection].since_s >= limit_s:
                    connection.give_up(cause)
                elif stage is not Stage.BODY:
                    # Only bodies move on within their stage.
                    break

    def _find_evicted(self) -> Connection | None:
        for stage in _EVICTED_FIRST:
            for connection in self._stages[stage]:
                return connection
        return None
