"""The connections of a server, by what they wait for."""

from collections import OrderedDict
import enum
from typing import Protocol


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
    STOPPING = 'stopping'
    LINGERED = 'lingered'


class Connection(Protocol):
    """A connection of a client."""

    def give_up(self, cause: CloseCause) -> None:
        """Close the connection; a request that hasn't run is refused."""
        ...


class ConnectionTable:
    """The connections of a server, by what they wait for, longest first."""

    def __init__(self) -> None:
        self._stages: dict[Stage, OrderedDict[Connection, None]] = {
            stage: OrderedDict() for stage in Stage
        }
        self._stage_of: dict[Connection, Stage] = {}

    def __len__(self) -> int:
        return len(self._stage_of)

    def connections(self, *stages: Stage) -> list[Connection]:
        """Return the connections in some stages, or in all without any."""
        return [
            connection
            for stage in stages or Stage
            for connection in self._stages[stage]
        ]

    def add(self, connection: Connection) -> None:
        """Add a connection."""
        self._stage_of[connection] = Stage.NEW
        self._stages[Stage.NEW][connection] = None

    def remove(self, connection: Connection) -> None:
        """Forget a connection, if it is known."""
        stage = self._stage_of.pop(connection, None)
        if stage is not None:
            del self._stages[stage][connection]

    def move(self, connection: Connection, stage: Stage) -> None:
        """Record what a connection waits for now, if it is known."""
        former = self._stage_of.get(connection)
        if former is None or former is stage:
            return
        del self._stages[former][connection]
        self._stages[stage][connection] = None
        self._stage_of[connection] = stage
