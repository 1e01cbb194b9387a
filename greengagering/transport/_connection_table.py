"""Bounds the connections of a server, and what their requests may hold."""

from collections import OrderedDict
import dataclasses
import enum
from typing import Protocol

SMALL_SHARE = 0.25
"""Share of the bytes that requests may hold which is kept for small ones, so
that large bodies of some clients don't keep all others out."""

SMALL_REQUEST_BYTES = 64 * 1024
"""Size up to which what a request holds counts as small: that of a job whose
text and steps have some thousand bytes, while it runs."""

STALLED_S = 0.5
"""Silence after which a body that has begun gives way to another large one."""

UNREAD_STALLED_S = 2.5
"""Time after which a response of which nothing was read gives way; each is
looked at once a second."""

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
    MEMORY = 'memory'
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
        progress_at_s: when bytes of a body last came, or of a response went,
            in that stage; else as since_s.
        held_bytes: bytes reserved for its request.
    """

    stage: Stage
    since_s: float
    progress_at_s: float
    held_bytes: int = 0


class ConnectionTable:
    """The connections of a server, ordered by how long they have waited."""

    def __init__(
        self, limits: TimeLimits, max_connections: int, max_held_bytes: int
    ) -> None:
        self.held_bytes = 0
        self._limits = limits
        self._max_connections = max_connections
        self._max_held_bytes = max_held_bytes
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
        self._entries[connection] = _Entry(Stage.NEW, now_s, now_s)
        self._stages[Stage.NEW][connection] = None
        return True

    def remove(self, connection: Connection) -> None:
        """Forget a connection, if it is known, and release what it holds."""
        entry = self._entries.pop(connection, None)
        if entry is not None:
            self.held_bytes -= entry.held_bytes
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
        entry.progress_at_s = now_s

    def note_progress(self, connection: Connection, now_s: float) -> None:
        """Record that bytes of a body have come, or of a response gone."""
        entry = self._entries.get(connection)
        if entry is not None:
            entry.progress_at_s = now_s
            self._stages[entry.stage].move_to_end(connection)

    def reserve_more(
        self, connection: Connection, added_bytes: int, now_s: float
    ) -> bool:
        """Reserve memory for a response beside that for its request.

        Returns:
            Whether there is room.
        """
        entry = self._entries.get(connection)
        held_bytes = entry.held_bytes if entry is not None else 0
        return self.reserve(connection, held_bytes + added_bytes, now_s)

    def reserve(
        self, connection: Connection, wanted_bytes: int, now_s: float
    ) -> bool:
        """Reserve memory for a connection's request, in place of its former.

        Responses that nobody reads and bodies that have stalled are given up
        if that makes room. A request that is alone always has room, however
        little memory there is.

        Returns:
            Whether there is room.
        """
        entry = self._entries.get(connection)
        if entry is None:
            return False
        limit = self._max_held_bytes
        is_small = wanted_bytes <= SMALL_REQUEST_BYTES
        if not is_small:
            limit = int(limit * (1 - SMALL_SHARE))
        added_bytes = wanted_bytes - entry.held_bytes
        while (
            self.held_bytes > entry.held_bytes
            and self.held_bytes + added_bytes > limit
        ):
            stalled = self._find_stalled(
                connection, now_s, 0.0 if is_small else STALLED_S
            )
            if stalled is None:
                return False
            stalled.give_up(CloseCause.MEMORY)
        self.held_bytes += added_bytes
        entry.held_bytes = wanted_bytes
        return True

    def release(self, connection: Connection) -> None:
        """Release the memory reserved for a connection's request."""
        entry = self._entries.get(connection)
        if entry is not None:
            self.held_bytes -= entry.held_bytes
            entry.held_bytes = 0

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
                entry = self._entries[connection]
                # A body must end in time, even if bytes of it still come.
                is_body = stage is Stage.BODY
                from_s = entry.since_s if is_body else entry.progress_at_s
                if now_s - from_s >= limit_s:
                    connection.give_up(cause)
                elif not is_body:
                    break

    def _find_evicted(self) -> Connection | None:
        for stage in _EVICTED_FIRST:
            for connection in self._stages[stage]:
                return connection
        return None

    def _find_stalled(
        self, connection: Connection, now_s: float, silence_s: float
    ) -> Connection | None:
        for stage, least_s in (
            (Stage.UNREAD, UNREAD_STALLED_S),
            (Stage.BODY, silence_s),
        ):
            for other in self._stages[stage]:
                entry = self._entries[other]
                if other is connection or not entry.held_bytes:
                    continue
                if now_s - entry.progress_at_s >= least_s:
                    return other
                break
        return None
