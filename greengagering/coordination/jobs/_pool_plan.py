"""How many machines each pool of workers needs now."""

from collections.abc import Collection
import dataclasses
import math

from greengagering.coordination.jobs._director import JobDirector
from greengagering.coordination.jobs import _machines as machines
from greengagering.coordination.jobs._pool_need import PoolNeed
from greengagering import state

PLAN_INTERVAL_S = 0.2
"""Time between two plans; a fraction of the time that a move takes."""

FILL_SHARE = 0.9
"""Share of a machine that tasks of mixed sizes fill in practice."""

RESERVE_SHARE = 0.5
"""Share of an even split of all machines over the pools that a pool keeps
without any work while no other pool is short, for the first work of its next
burst, unless that is not due yet."""

LEAST_MACHINES = 2
"""Machines that a pool keeps in any case: one may be lost or go down."""

PREPARED_SHARE = 0.6
"""Share of a predicted burst's machines that its pool gets ahead; the others
come while the first are filled."""

PREPARE_AHEAD_S = 2.0
"""How long before a predicted burst they are ordered: a move and a report."""

PREPARE_BEYOND_S = 1.0
"""How long a burst that does not come is waited for."""

IDLE_BEFORE_MOVE_S = 1.5
"""How long a machine idles before it leaves its pool; about what a move
costs in seconds of a machine."""


@dataclasses.dataclass(slots=True)
class _Pool:
    """A pool's machines and its need.

    Attributes:
        up: machines that serve, by name.
        arriving: machines on their way to it.
        needed: machines that its work needs now to be in time.
        wanted: machines that its late work would fill besides.
        reserve: machines that it keeps without any work.
    """

    up: list[machines.Machine] = dataclasses.field(default_factory=list)
    arriving: int = 0
    needed: int = 0
    wanted: int = 0
    reserve: int = 0

    @property
    def kept(self) -> int:
        """Machines that it keeps while no other pool is short."""
        return max(self.needed, self.wanted, self.reserve)

    @property
    def missing(self) -> int:
        """Machines that it lacks."""
        return max(self.needed - len(self.up) - self.arriving, 0)

    @property
    def missing_reserve(self) -> int:
        """Machines that it lacks of those that it keeps."""
        return max(self.kept - len(self.up) - self.arriving, 0)


class PoolPlan:
    """Chooses moves between pools, and to and from the standby pool."""

    def __init__(self) -> None:
        self._planned_at_s = float('-inf')
        self._logged: dict[str, str] = {}
        self._idle_since_s: dict[str, float] = {}

    def find_moves(
        self,
        director: JobDirector,
        known: dict[str, machines.Machine],
        duties: Collection[state.Duty],
        now_s: float,
    ) -> list[state.Duty]:
        """Return the moves to begin now.

        Args:
            director: the leader's view of work and workers.
            known: machines by name.
            duties: duties that are open.
            now_s: the leader's clock.
        """
        plan = director.jobs.plan
        if plan is None or now_s < self._planned_at_s + PLAN_INTERVAL_S:
            return []
        self._planned_at_s = now_s
        standby = [s.name for s in plan.services if s.is_standby]
        pools = {s.name: _Pool() for s in plan.services}
        self._fill(pools, director, known, duties, now_s)
        self._set_needs(pools, director, standby, now_s)
        self._log(pools, director)
        moves = self._fill_short(pools, standby, director)
        if standby and not moves:
            moves = self._return_idle(pools, standby, now_s)
        return moves

    def _log(self, pools: dict[str, _Pool], director: JobDirector) -> None:
        sizes = {
            name: f'{len(pool.up)}+{pool.arriving}/{pool.needed}'
            for name, pool in pools.items()
        }
        if sizes != self._logged:
            self._logged = sizes
            director.decide('pools_planned', **sizes)

    def _fill(
        self,
        pools: dict[str, _Pool],
        director: JobDirector,
        known: dict[str, machines.Machine],
        duties: Collection[state.Duty],
        now_s: float,
    ) -> None:
        busy = {duty.machine for duty in duties}
        for duty in duties:
            # A machine that goes down for upkeep is replaced meanwhile, as
            # its lasting tasks need another place before it can go.
            if duty.pool in pools:
                pools[duty.pool].arriving += 1
        for machine in known.values():
            pool = pools.get(machine.pool)
            if pool is None or machine.name in busy:
                self._idle_since_s.pop(machine.name, None)
                continue
            if machine.status is not machines.MachineState.UP:
                self._idle_since_s.pop(machine.name, None)
                continue
            pool.up.append(machine)
            view = director.newest_life(machine.worker_id)
            if view is None or view.runs:
                self._idle_since_s.pop(machine.name, None)
            else:
                self._idle_since_s.setdefault(machine.name, now_s)

    def _set_needs(
        self,
        pools: dict[str, _Pool],
        director: JobDirector,
        standby: list[str],
        now_s: float,
    ) -> None:
        needs = director.find_needs(now_s)
        machine_count = sum(len(p.up) + p.arriving for p in pools.values())
        reserve = math.ceil(RESERVE_SHARE * machine_count / len(pools))
        for name, pool in pools.items():
            if name in standby:
                continue
            rooms = [machine.room for machine in pool.up]
            if not rooms:
                rooms = [
                    machine.room
                    for other in pools.values()
                    for machine in other.up
                ][:1]
            pool.needed = LEAST_MACHINES
            pool.reserve = max(reserve, LEAST_MACHINES)
            if director.demand.is_resting(name, now_s):
                pool.reserve = LEAST_MACHINES
            if not rooms:
                continue
            need = needs.get(name, PoolNeed())
            rate_cores, rate_memory = director.demand.rate(name, now_s)
            cores = need.lasting_cores + max(need.finite_cores, rate_cores)
            memory = need.lasting_memory_mb + max(
                need.finite_memory_mb, rate_memory
            )
            pool.needed = max(
                _count_machines(rooms, cores, memory),
                need.least_workers,
                LEAST_MACHINES,
            )
            pool.wanted = _count_machines(
                rooms, cores + need.late_cores, memory + need.late_memory_mb
            )
        self._prepare(pools, director, now_s)

    def _prepare(
        self, pools: dict[str, _Pool], director: JobDirector, now_s: float
    ) -> None:
        """Keep machines in the pools whose turn may be about to come.

        They come from those that no pool needs, so a burst that does not come
        costs their idle time only.
        """
        prediction = director.demand.next_bursts()
        if prediction is None:
            return
        names, at_s = prediction
        if not at_s - PREPARE_AHEAD_S <= now_s <= at_s + PREPARE_BEYOND_S:
            return
        for name in names:
            pool = pools.get(name)
            if pool is None or not pool.up:
                continue
            cores = director.demand.burst_cores(name) * PREPARED_SHARE
            rooms = [machine.room for machine in pool.up]
            count = _count_machines(rooms, cores / len(names), 0.0)
            pool.reserve = max(pool.reserve, pool.needed + count)

    def _fill_short(
        self,
        pools: dict[str, _Pool],
        standby: list[str],
        director: JobDirector,
    ) -> list[state.Duty]:
        """Return moves to the pools whose work needs more machines.

        Work that can't be in time any more earns its callers little, so it
        gets machines that no pool needs, and gives up those that another
        pool needs; a running task is not stopped for that.

        The pool that lacks the fewest is served first: that may be for the
        lasting tasks of a machine that a wave waits for, and a pool in its
        burst hardly misses a few.
        Machines that idle beyond their pool's reserve come first, as they
        would move in any case; then those that stand by, then other pools'
        reserves, then those that have the least left to do.
        """
        short = [n for n in pools if n not in standby and pools[n].missing]
        short.sort(key=lambda name: pools[name].missing)
        beyond, reserves, busy = self._find_spare(pools, standby, director)
        standing_by = [m for name in standby for m in pools[name].up]
        donors = beyond + standing_by + reserves + busy
        moves: list[state.Duty] = []
        for name in short:
            moves += _take_moves(donors, name, pools[name].missing)
        taken = {move.machine for move in moves}
        free = [m for m in beyond + standing_by if m.name not in taken]
        for name, pool in pools.items():
            if name not in standby and not pool.missing:
                moves += _take_moves(free, name, pool.missing_reserve)
        return moves

    def _find_spare(
        self,
        pools: dict[str, _Pool],
        standby: list[str],
        director: JobDirector,
    ) -> tuple[
        list[machines.Machine], list[machines.Machine], list[machines.Machine]
    ]:
        """Return the machines that pools can spare.

        Returns:
            Those that idle beyond their pool's reserve, those that idle
            within it, and those at work, with the least first.
        """
        beyond: list[machines.Machine] = []
        reserves: list[machines.Machine] = []
        busy: list[tuple[int, machines.Machine]] = []
        for name, pool in pools.items():
            surplus = len(pool.up) - max(pool.needed, LEAST_MACHINES)
            if name in standby or surplus <= 0 or pool.missing:
                continue
            movable = [
                (len(view.runs), machine)
                for machine in pool.up
                if (view := director.newest_life(machine.worker_id))
                and not any(r.step.is_lasting for r in view.runs.values())
            ]
            movable.sort(key=lambda item: item[0])
            idle = [m for count, m in movable[:surplus] if not count]
            excess = max(len(pool.up) - pool.kept, 0)
            beyond += idle[:excess]
            reserves += idle[excess:]
            busy += [item for item in movable[:surplus] if item[0]]
        busy.sort(key=lambda item: item[0])
        return beyond, reserves, [machine for _, machine in busy]

    def _return_idle(
        self, pools: dict[str, _Pool], standby: list[str], now_s: float
    ) -> list[state.Duty]:
        """Return moves of idle machines that no pool needs."""
        moves: list[state.Duty] = []
        for name, pool in pools.items():
            surplus = len(pool.up) - pool.kept
            if name in standby or surplus <= 0:
                continue
            idle = [
                machine
                for machine in pool.up
                if now_s
                >= self._idle_since_s.get(machine.name, now_s)
                + IDLE_BEFORE_MOVE_S
            ]
            moves += _take_moves(idle, standby[0], surplus)
        return moves


def _count_machines(
    rooms: list[state.Room], cores: float, memory_mb: float
) -> int:
    """Return how many machines of a pool tasks fill."""
    own_cores = sum(r.cpu_millicores for r in rooms) / len(rooms)
    own_memory = sum(r.memory_mb for r in rooms) / len(rooms)
    share = max(
        cores * 1000 / max(own_cores, 1), memory_mb / max(own_memory, 1)
    )
    return math.ceil(share / FILL_SHARE)


def _take_moves(
    donors: list[machines.Machine], pool: str, count: int
) -> list[state.Duty]:
    """Take the first donors, and return their moves to a pool."""
    taken = donors[:count]
    del donors[:count]
    return [state.Duty(m.name, state.DutyKind.MOVE, pool) for m in taken]
