"""Machines as the platform lists them, and calls to the platform."""

import dataclasses
import enum

from greengagering import state


class MachineState(enum.StrEnum):
    """What the platform says of a machine."""

    UP = 'up'
    MOVING = 'moving'
    UPKEEP = 'upkeep'
    DOWN = 'down'


@dataclasses.dataclass(frozen=True, slots=True)
class Machine:
    """A machine, of which a worker is one life.

    Attributes:
        name: its name, which stays.
        pool: service that it belongs to.
        status: what it does.
        worker_id: its worker, or ''.
        rack: failure domain, or ''.
        room: its capacity.
    """

    name: str
    pool: str
    status: MachineState
    worker_id: str
    rack: str
    room: state.Room


class DutyOutcome(enum.StrEnum):
    """What the platform answered to a duty.

    BUSY: the machine is not up, or is leaving; later it may be.
    FENCED: a newer leader has given orders for this machine.
    REFUSED: it will never be carried out, as asked.
    NOT_NOW: the platform takes no more calls just now.
    NO_ANSWER: it may have been carried out, or may still be.
    """

    DONE = 'done'
    BUSY = 'busy'
    FENCED = 'fenced'
    REFUSED = 'refused'
    NOT_NOW = 'not_now'
    NO_ANSWER = 'no_answer'


@dataclasses.dataclass(frozen=True, slots=True)
class DutyOrder:
    """A duty with the proof of who orders it.

    Attributes:
        duty: what is to be done.
        holder: the leader's name.
        fence: number of the leader's term.
    """

    duty: state.Duty
    holder: str
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class ListMachines:
    """A wish to read the platform's list of machines.

    Attributes:
        number: grows with each wish of a keeper.
    """

    number: int


MachineCall = DutyOrder | ListMachines
