"""Fake of the platform that moves machines and takes them down."""

from collections.abc import Callable
import dataclasses

from features.search.replica_search import InvariantError
from greengagering import coordination
from greengagering import state

MOVE_S = 1.5
UPKEEP_S = 2.0

_states = coordination.MachineState
_outcomes = coordination.DutyOutcome


@dataclasses.dataclass
class FakeMachine:
    """A machine, whose worker is another one after each move or upkeep.

    Attributes:
        name: its name.
        pool: its pool, or the one that it is moving to.
        room: its capacity.
        status: its state.
        worker_id: its worker, or ''.
        wave_number: the wave of the upkeep that it is down for, or 0.
        upkept: the waves of its past upkeeps.
        fence: highest fence of its orders.
        returns_at_s: when it is up again.
        worker_count: number of workers that it has had.
    """

    name: str
    pool: str
    room: state.Room
    status: coordination.MachineState = _states.UP
    worker_id: str = ''
    wave_number: int = 0
    upkept: set[int] = dataclasses.field(default_factory=set)
    fence: int = 0
    returns_at_s: float = float('inf')
    worker_count: int = 0

    def listed(self) -> coordination.Machine:
        """Return its entry in the platform's list."""
        return coordination.Machine(
            self.name,
            self.pool,
            self.status,
            self.worker_id,
            'rack-1',
            self.room,
        )


class FakePlatform:
    """The platform's machines.

    An order for what is done already has no effect and is confirmed, as the
    platform can't tell it from a repeated one.

    Attributes:
        machines: every machine by name.
        standby: the standby pool, whose machines have no workers, or ''.
        waves: accepted waves by number.
        confirmed_again: number of orders confirmed without effect.
        busy_until_s: time until which it accepts no orders.
        refuses_until_s: time until which it refuses moves for good.
    """

    def __init__(
        self,
        start_worker: Callable[[FakeMachine, str], None],
        end_worker: Callable[[str], None],
        standby: str,
    ) -> None:
        self.machines: dict[str, FakeMachine] = {}
        self.standby = standby
        self.waves: dict[int, state.UpkeepWave] = {}
        self.confirmed_again = 0
        self.busy_until_s = float('-inf')
        self.refuses_until_s = float('-inf')
        self._start_worker = start_worker
        self._end_worker = end_worker

    def listed(self) -> tuple[coordination.Machine, ...]:
        """Return the list of machines as it is now."""
        return tuple(machine.listed() for machine in self.machines.values())

    def add(self, name: str, pool: str, room: state.Room) -> None:
        """Add a machine that is up."""
        machine = FakeMachine(name, pool, room)
        self.machines[name] = machine
        self._start_next_worker(machine)

    def carry_out(
        self, order: coordination.DutyOrder, now_s: float
    ) -> coordination.DutyOutcome:
        """Carry out an order for a machine.

        Raises:
            InvariantError: more machines of a wave are down than it allows.
        """
        if now_s < self.busy_until_s:
            return _outcomes.NOT_NOW
        duty = order.duty
        machine = self.machines[duty.machine]
        if order.fence < machine.fence:
            return _outcomes.FENCED
        machine.fence = order.fence
        is_move = duty.kind is state.DutyKind.MOVE
        if is_move and now_s < self.refuses_until_s:
            return _outcomes.REFUSED
        if is_move and machine.pool == duty.pool:
            self.confirmed_again += 1
            return _outcomes.DONE
        if not is_move and duty.wave_number in machine.upkept:
            self.confirmed_again += 1
            return _outcomes.DONE
        if machine.status is not _states.UP:
            return _outcomes.BUSY
        if machine.worker_id:
            self._end_worker(machine.worker_id)
        machine.worker_id = ''
        if is_move:
            machine.status = _states.MOVING
            machine.pool = duty.pool
            machine.returns_at_s = now_s + MOVE_S
        else:
            machine.status = _states.UPKEEP
            machine.wave_number = duty.wave_number
            machine.upkept.add(duty.wave_number)
            machine.returns_at_s = now_s + UPKEEP_S
            self._check_wave(duty.wave_number)
        return _outcomes.DONE

    def advance(self, now_s: float) -> None:
        """Bring back the machines that are due, with new workers."""
        for machine in self.machines.values():
            if now_s >= machine.returns_at_s:
                machine.returns_at_s = float('inf')
                machine.status = _states.UP
                machine.wave_number = 0
                self._start_next_worker(machine)

    def _start_next_worker(self, machine: FakeMachine) -> None:
        if machine.pool != self.standby:
            machine.worker_id = f'{machine.name}-{machine.worker_count}'
            machine.worker_count += 1
            self._start_worker(machine, machine.worker_id)

    def _check_wave(self, number: int) -> None:
        down = [
            m.name for m in self.machines.values() if m.wave_number == number
        ]
        limit = self.waves[number].max_down_count
        if len(down) > limit:
            raise InvariantError(
                f'{len(down)} of {limit} machines are down in wave {number}'
            )
