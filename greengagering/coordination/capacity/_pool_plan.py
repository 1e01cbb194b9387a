"""Plans how many machines each pool needs, and the moves between pools."""

from collections.abc import Collection
import dataclasses
import math

from greengagering.coordination.capacity import _machines as machines
from greengagering.coordination.scheduling import JobScheduler
from greengagering.coordination.scheduling import PoolNeed
from greengagering import state

POOL_PLAN_INTERVAL_S = 0.2
"""Least time between two plans of pool sizes; a fraction of the time that a
move takes."""

FILL_SHARE = 0.9
"""Share of a machine that tasks of mixed sizes use in practice."""

RESERVE_SHARE = 0.5
"""Size of a pool's reserve, as a share of an even split of all machines over
the pools. A pool without work keeps it for the start of its next burst while
no other pool is short, unless that burst is not due yet."""

MIN_MACHINES = 2
"""Smallest number of machines of a pool, as one may be lost or go down for
upkeep."""

PREPARED_SHARE = 0.6
"""Share of the machines for a predicted burst that its pool gets in advance;
the others arrive while these are filled."""

PREPARE_AHEAD_S = 2.0
"""How long before a predicted burst these machines are ordered; the time of a
move and of the worker's first report."""

PREPARE_AFTER_S = 1.0
"""How long these machines are kept if the predicted burst doesn't come."""

IDLE_BEFORE_MOVE_S = 1.5
"""How long a machine is idle before it moves to the standby pool; about the
machine time that a move costs."""

TERM_START_S = 1.0
"""Time from the start of a leader's term in which machines move only from
standby to pools that are short on what the log and the workers show. Callers
that had no answer meanwhile send their work again within this time, so before
it an idle machine doesn't show a lack of work."""


@dataclasses.dataclass(slots=True)
class _Pool:
    """A pool's machines, and how many it needs.

    Attributes:
        up: machines that serve.
        rooms: room of each of them.
        arriving: number of machines that are moving to it.
        needed: machines with which its work meets its objectives.
        wanted: machines that its work would use, late work included.
        reserve: machines that it keeps without any work.
    """

    up: list[machines.Machine] = dataclasses.field(default_factory=list)
    rooms: list[state.Room] = dataclasses.field(default_factory=list)
    arriving: int = 0
    needed: int = 0
    wanted: int = 0
    reserve: int = 0

    @property
    def kept(self) -> int:
        """Number of machines that it keeps while no other pool is short."""
        return max(self.needed, self.wanted, self.reserve)

    @property
    def missing(self) -> int:
        """Number of machines that it lacks for its work."""
        return max(self.needed - len(self.up) - self.arriving, 0)

    @property
    def missing_reserve(self) -> int:
        """Number of machines that it lacks to keep its reserve as well."""
        return max(self.kept - len(self.up) - self.arriving, 0)


class PoolPlanner:
    """Chooses moves of machines between pools, standby pools included."""

    def __init__(self) -> None:
        self._planned_at_s = float('-inf')
        self._term_started_at_s = float('-inf')
        self._logged = ''
        self._idle_since_s: dict[str, float] = {}
        self._given_sizes: dict[str, int] = {}

    def start_term(self, now_s: float) -> None:
        """Forget what an earlier term has observed."""
        self._term_started_at_s = now_s
        self._idle_since_s.clear()
        self._given_sizes.clear()

    def find_moves(
        self,
        scheduler: JobScheduler,
        known: dict[str, machines.Machine],
        duties: Collection[state.Duty],
        now_s: float,
    ) -> list[state.Duty]:
        """Return the moves to begin now.

        Args:
            scheduler: the job scheduler, which knows work and workers.
            known: machines by name.
            duties: open duties.
            now_s: the leader's clock.
        """
        plan = scheduler.jobs.plan
        if plan is None or now_s < self._planned_at_s + POOL_PLAN_INTERVAL_S:
            return []
        self._planned_at_s = now_s
        standby = [s.name for s in plan.services if s.is_standby]
        pools = {s.name: _Pool() for s in plan.services}
        self._collect_machines(pools, scheduler, known, duties, now_s)
        self._set_needs(pools, scheduler, standby, now_s)
        self._log(pools, scheduler)
        self._note_arriving(pools, scheduler)
        if now_s < self._term_started_at_s + TERM_START_S:
            return _supply_from_standby(pools, standby)
        moves = self._supply_short_pools(pools, standby, scheduler)
        if standby and not moves:
            moves = self._return_idle(pools, standby, now_s)
        return moves

    def _log(self, pools: dict[str, _Pool], scheduler: JobScheduler) -> None:
        # Each as 'name=up+arriving/needed'. Operators choose the names, so
        # these are no names of fields.
        sizes = ','.join(
            f'{name}={len(pool.up)}+{pool.arriving}/{pool.needed}'
            for name, pool in pools.items()
        )
        if sizes != self._logged:
            self._logged = sizes
            scheduler.log_decision('pools_planned', pools=sizes)

    def _note_arriving(
        self, pools: dict[str, _Pool], scheduler: JobScheduler
    ) -> None:
        """Tell the scheduler the room that waiting tasks will get."""
        scheduler.waits.arriving_cores = {
            name: pool.arriving
            * sum(room.cpu_millicores for room in pool.rooms)
            / len(pool.rooms)
            / 1000
            for name, pool in pools.items()
            if pool.arriving and pool.rooms
        }

    def _collect_machines(
        self,
        pools: dict[str, _Pool],
        scheduler: JobScheduler,
        known: dict[str, machines.Machine],
        duties: Collection[state.Duty],
        now_s: float,
    ) -> None:
        busy = {duty.machine for duty in duties}
        for duty in duties:
            # A machine that goes down for upkeep is not counted, so another
            # one replaces it: its lasting tasks need room elsewhere before it
            # can go down.
            if duty.pool in pools:
                pools[duty.pool].arriving += 1
        for machine in known.values():
            pool = pools.get(machine.pool)
            if pool is None or machine.name in busy:
                self._idle_since_s.pop(machine.name, None)
                continue
            if machine.status is not machines.MachineState.UP:
                self._idle_since_s.pop(machine.name, None)
                # A former leader's order moves it.
                if machine.status is machines.MachineState.MOVING:
                    pool.arriving += 1
                continue
            pool.up.append(machine)
            view = scheduler.newest_incarnation(machine.worker_id)
            # The platform's list is older than the worker's report.
            pool.rooms.append(machine.room if view is None else view.room)
            if view is None or view.runs or not view.is_read:
                self._idle_since_s.pop(machine.name, None)
            else:
                self._idle_since_s.setdefault(machine.name, now_s)

    def _set_needs(
        self,
        pools: dict[str, _Pool],
        scheduler: JobScheduler,
        standby: list[str],
        now_s: float,
    ) -> None:
        needs = scheduler.find_needs(now_s)
        machine_count = sum(len(p.up) + p.arriving for p in pools.values())
        # A plan may have no service.
        even_share = machine_count / max(len(pools), 1)
        reserve = math.ceil(RESERVE_SHARE * even_share)
        for name, pool in pools.items():
            if name in standby:
                continue
            rooms = pool.rooms
            if not rooms:
                rooms = [r for other in pools.values() for r in other.rooms]
                rooms = rooms[:1]
            pool.needed = MIN_MACHINES
            pool.reserve = max(reserve, MIN_MACHINES)
            if scheduler.demand.is_unknown(name, now_s):
                # The operator's size is all that is known of its bursts.
                if not scheduler.demand.is_bursting(name):
                    self._given_sizes[name] = len(pool.up)
                given = self._given_sizes.get(name, 0)
                pool.reserve = max(pool.reserve, given)
            if scheduler.demand.is_resting(name, now_s):
                pool.reserve = MIN_MACHINES
            if not rooms:
                continue
            need = needs.get(name, PoolNeed())
            rate_cores, rate_memory = 0.0, 0.0
            if now_s >= self._term_started_at_s + TERM_START_S:
                rate_cores, rate_memory = scheduler.demand.rate(
                    name, now_s, scheduler.limits.limits
                )
            cores = need.lasting_cores + max(need.finite_cores, rate_cores)
            memory = need.lasting_memory_mb + max(
                need.finite_memory_mb, rate_memory
            )
            pool.needed = max(
                _count_machines(rooms, cores, memory),
                need.min_workers,
                MIN_MACHINES,
            )
            pool.wanted = need.isolated_workers + _count_machines(
                rooms, cores + need.late_cores, memory + need.late_memory_mb
            )
        self._raise_reserves(pools, scheduler, now_s)

    def _raise_reserves(
        self, pools: dict[str, _Pool], scheduler: JobScheduler, now_s: float
    ) -> None:
        """Raise the reserves of the pools that may burst next.

        The machines come from those that no pool needs, so a wrong prediction
        costs only their idle time.
        """
        prediction = scheduler.demand.next_bursts()
        if prediction is None:
            return
        names, at_s = prediction
        if not at_s - PREPARE_AHEAD_S <= now_s <= at_s + PREPARE_AFTER_S:
            return
        for name in names:
            pool = pools.get(name)
            if pool is None or not pool.up:
                continue
            cores = scheduler.demand.burst_cores(name) * PREPARED_SHARE
            count = _count_machines(pool.rooms, cores / len(names), 0.0)
            pool.reserve = max(pool.reserve, pool.needed + count)

    def _supply_short_pools(
        self,
        pools: dict[str, _Pool],
        standby: list[str],
        scheduler: JobScheduler,
    ) -> list[state.Duty]:
        """Return moves to the pools that lack machines.

        Work that can't meet its objective any more is worth little to its
        callers. So it gets only machines that no pool needs, and loses those
        that another pool needs, but no running task is stopped for that.

        The pool that lacks the fewest machines comes first. It may lack them
        for the lasting tasks of a machine that a wave waits for, and a pool
        in its burst can spare a few.

        Idle machines beyond their pool's reserve are moved first, as they
        would move in any case; then standby machines, then other pools'
        reserves, then the machines with the fewest runs.
        """
        excess_machines, reserves, busy = self._find_spare(
            pools, standby, scheduler
        )
        standing_by = [m for name in standby for m in pools[name].up]
        donors = excess_machines + standing_by + reserves + busy
        moves = _move_to_short_pools(pools, standby, donors)
        taken = {move.machine for move in moves}
        free = [
            m for m in excess_machines + standing_by if m.name not in taken
        ]
        for name, pool in pools.items():
            if name not in standby and not pool.missing:
                moves += _pop_moves(free, name, pool.missing_reserve)
        return moves

    def _find_spare(
        self,
        pools: dict[str, _Pool],
        standby: list[str],
        scheduler: JobScheduler,
    ) -> tuple[
        list[machines.Machine], list[machines.Machine], list[machines.Machine]
    ]:
        """Find the machines that pools can spare.

        Returns:
            Idle machines beyond their pool's reserve, idle ones within it,
            and busy ones, those with the fewest runs first.
        """
        excess_machines: list[machines.Machine] = []
        reserves: list[tuple[int, machines.Machine]] = []
        busy: list[tuple[int, machines.Machine]] = []
        for name, pool in pools.items():
            surplus = len(pool.up) - max(pool.needed, MIN_MACHINES)
            if name in standby or surplus <= 0 or pool.missing:
                continue
            movable = [
                (len(view.runs), machine)
                for machine in pool.up
                if (view := scheduler.newest_incarnation(machine.worker_id))
                and view.is_read
                and not any(r.step.is_lasting for r in view.runs.values())
            ]
            movable.sort(key=lambda item: item[0])
            idle = [m for count, m in movable[:surplus] if not count]
            excess = max(len(pool.up) - pool.kept, 0)
            excess_machines += idle[:excess]
            rest = idle[excess:]
            reserves += zip(range(len(rest), 0, -1), rest, strict=True)
            busy += [item for item in movable[:surplus] if item[0]]
        busy.sort(key=lambda item: item[0])
        # The largest reserve first, so that what is left is spread evenly.
        reserves.sort(key=lambda item: -item[0])
        return (
            excess_machines,
            [machine for _, machine in reserves],
            [machine for _, machine in busy],
        )

    def _return_idle(
        self, pools: dict[str, _Pool], standby: list[str], now_s: float
    ) -> list[state.Duty]:
        """Return moves to standby of idle machines that no pool keeps."""
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
            moves += _pop_moves(idle, standby[0], surplus)
        return moves


def _supply_from_standby(
    pools: dict[str, _Pool], standby: list[str]
) -> list[state.Duty]:
    """Return moves of standby machines to the pools that lack machines."""
    donors = [machine for name in standby for machine in pools[name].up]
    return _move_to_short_pools(pools, standby, donors)


def _move_to_short_pools(
    pools: dict[str, _Pool],
    standby: list[str],
    donors: list[machines.Machine],
) -> list[state.Duty]:
    """Remove donors, and return their moves to the pools that lack machines.

    The pool that lacks the fewest comes first.
    """
    short = [n for n in pools if n not in standby and pools[n].missing]
    moves: list[state.Duty] = []
    for name in sorted(short, key=lambda name: pools[name].missing):
        moves += _pop_moves(donors, name, pools[name].missing)
    return moves


def _count_machines(
    rooms: list[state.Room], cores: float, memory_mb: float
) -> int:
    """Return how many average machines tasks of a total size need."""
    own_cores = sum(r.cpu_millicores for r in rooms) / len(rooms)
    own_memory = sum(r.memory_mb for r in rooms) / len(rooms)
    share = max(
        cores * 1000 / max(own_cores, 1), memory_mb / max(own_memory, 1)
    )
    return math.ceil(share / FILL_SHARE)


def _pop_moves(
    donors: list[machines.Machine], pool: str, count: int
) -> list[state.Duty]:
    """Remove the first donors, and return their moves to a pool."""
    taken = donors[:count]
    del donors[:count]
    return [state.Duty(m.name, state.DutyKind.MOVE, pool) for m in taken]
