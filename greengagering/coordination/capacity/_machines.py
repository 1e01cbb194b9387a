"""Machines in the platform's list, and calls to the platform about them."""

import dataclasses
import enum

from greengagering import state


class MachineState(enum.StrEnum):
    """State of a machine in the platform's list.

    UNKNOWN: the list has an entry of the machine that can't be read.
    """

    UP = 'up'
    MOVING = 'moving'
    UPKEEP = 'upkeep'
    DOWN = 'down'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class Machine:
    """A machine, which runs one worker at a time.

    Attributes:
        name: its name, which stays when its worker changes.
        pool: service that it belongs to; a service's machines are its pool.
        status: its state.
        worker_id: its current worker, or ''.
        rack: its failure domain, or ''.
        room: its capacity.
    """

    name: str
    pool: str
    status: MachineState
    worker_id: str
    rack: str
    room: state.Room


class DutyOutcome(enum.StrEnum):
    """The platform's answer to a duty.

    BUSY: the machine is not up, or is leaving; a retry may succeed.
    FENCED: a newer leader has given orders for this machine.
    REFUSED: the duty will never be carried out as ordered.
    NOT_NOW: the platform currently accepts no more calls.
    NO_ANSWER: the duty may have been carried out, or may still be.
    """

    DONE = 'done'
    BUSY = 'busy'
    FENCED = 'fenced'
    REFUSED = 'refused'
    NOT_NOW = 'not_now'
    NO_ANSWER = 'no_answer'


@dataclasses.dataclass(frozen=True, slots=True)
class DutyOrder:
    """A duty with the identity and fence of the leader that orders it.

    Attributes:
        duty: the duty.
        holder: replica id of the leader.
        fence: number of the leader's term.
        number: number of this call to the platform, which matches an answer
            to it.
    """

    duty: state.Duty
    holder: str
    fence: int
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class ListMachines:
    """A request for the platform's list of machines.

    Attributes:
        number: number of the request, which matches an answer to it.
    """

    number: int


MachineCall = DutyOrder | ListMachines
