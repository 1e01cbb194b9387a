"""Chooses the machines of upkeep waves that are emptied next."""

import dataclasses
import math

from greengagering.coordination.capacity._emptying import MachineEmptier
from greengagering.coordination.capacity._machine_lists import MachineLists
from greengagering.coordination.capacity import _machines as machines
from greengagering.coordination.capacity._open_duties import DutyPhase
from greengagering.coordination.capacity._open_duties import OpenDuty
from greengagering.coordination.scheduling import JobScheduler
from greengagering import state

MACHINE_CYCLE_S = 4.5
"""Usual time to empty a machine, take it down and get it back."""

PLANNED_TIME_SHARE = 0.6
"""Share of a wave's remaining time that the plan uses; the rest is a reserve
for delays."""

BLOCKED_LOG_INTERVAL_S = 5.0
"""Time between two lines about a wave that can't go on."""


@dataclasses.dataclass(slots=True)
class WavePlan:
    """What a wave needs next.

    Attributes:
        settled: records for machines that have left the fleet.
        duties: upkeeps to begin.
    """

    settled: list[state.JobRecord] = dataclasses.field(default_factory=list)
    duties: list[state.Duty] = dataclasses.field(default_factory=list)


class UpkeepWaves:
    """Plans the upkeep waves of one term of a leader."""

    def __init__(
        self, scheduler: JobScheduler, emptier: MachineEmptier
    ) -> None:
        self._scheduler = scheduler
        self._emptier = emptier
        # When this leader first saw a wave.
        self._started_s: dict[int, float] = {}
        # When a line was last logged that the wave can't go on.
        self._blocked_logged_s: dict[int, float] = {}

    def plan(
        self,
        wave: state.WaveState,
        lists: MachineLists,
        open_duties: dict[str, OpenDuty],
        openable: set[str],
        now_s: float,
    ) -> WavePlan:
        """Return the upkeeps of a wave that are to begin now.

        Args:
            wave: the wave.
            lists: the machines.
            open_duties: duties that are not finished, by machine.
            openable: those of the wave's machines that may get a duty.
            now_s: the leader's clock.
        """
        plan = WavePlan()
        number = wave.wave.number
        started_s = self._started_s.setdefault(number, now_s)
        begun = set(wave.begun)
        remaining = [
            name
            for name in wave.wave.machines
            if name not in begun and lists.is_presence_known(name, started_s)
        ]
        by_name = lists.machines
        missing = [name for name in remaining if name not in by_name]
        if missing:
            # A machine that has left the fleet needs no upkeep.
            for name in missing:
                duty = state.Duty(name, state.DutyKind.UPKEEP, '', number)
                plan.settled.append(state.DutySettled(duty, is_done=True))
            return plan
        if not remaining:
            return plan
        # Includes machines that a former leader has taken down, as the list
        # shows them in upkeep.
        out_count = sum(
            _is_out(by_name.get(name), open_duties.get(name), number)
            for name in wave.wave.machines
        )
        time_left_s = started_s + wave.wave.deadline_s - now_s
        planned_s = max(time_left_s * PLANNED_TIME_SHARE, MACHINE_CYCLE_S)
        wanted = math.ceil(len(remaining) * MACHINE_CYCLE_S / planned_s)
        free_places = min(wanted, wave.wave.max_down_count) - out_count
        waiting = [by_name[name] for name in remaining]
        self._mark_upkeep_due(waiting)
        if free_places <= 0:
            return plan
        candidates = [
            machine
            for machine in waiting
            if machine.name in openable
            and machine.status is machines.MachineState.UP
        ]
        emptied_pools = {
            by_name[name].pool
            for name, opened in open_duties.items()
            if name in by_name
            and opened.duty.wave_number == number
            and opened.phase is DutyPhase.EMPTYING
        }
        blocked: dict[str, list[str]] = {}
        for machine in self._emptier.sort(candidates, emptied_pools):
            if len(plan.duties) >= free_places:
                return plan
            blocking = self._emptier.find_blocking(machine.worker_id)
            if blocking:
                blocked[machine.name] = blocking
                continue
            plan.duties.append(
                state.Duty(machine.name, state.DutyKind.UPKEEP, '', number)
            )
        if blocked and not (out_count or plan.duties):
            self._log_blocked(number, blocked, time_left_s, now_s)
        return plan

    def find_blocked(
        self,
        wave: state.WaveState,
        by_name: dict[str, machines.Machine],
        open_duties: dict[str, OpenDuty],
    ) -> dict[str, list[str]]:
        """Return the tasks that keep a wave's machines from their upkeep.

        See MachineManager.find_blocked.
        """
        blocked: dict[str, list[str]] = {}
        for name in wave.wave.machines:
            machine = by_name.get(name)
            if machine is None or name in wave.begun or name in open_duties:
                continue
            tasks = self._emptier.find_blocking(machine.worker_id)
            tasks += self._emptier.find_stuck(machine.worker_id)
            if tasks:
                blocked[name] = list(dict.fromkeys(tasks))
        return blocked

    def _mark_upkeep_due(self, waiting: list[machines.Machine]) -> None:
        """Mark workers whose upkeep is due, which lasting tasks then avoid."""
        for machine in waiting:
            view = self._scheduler.newest_incarnation(machine.worker_id)
            if view is not None:
                view.is_upkeep_due = True

    def _log_blocked(
        self,
        number: int,
        blocked: dict[str, list[str]],
        time_left_s: float,
        now_s: float,
    ) -> None:
        """Log that no machine of a wave can be taken down now, and why."""
        logged_s = self._blocked_logged_s.get(number, float('-inf'))
        if now_s < logged_s + BLOCKED_LOG_INTERVAL_S:
            return
        self._blocked_logged_s[number] = now_s
        machine, tasks = next(iter(blocked.items()))
        self._scheduler.log_decision(
            'wave_blocked',
            wave=number,
            machines=len(blocked),
            example=machine,
            task=tasks[0],
            time_left_s=round(time_left_s, 3),
        )


def _is_out(
    machine: machines.Machine | None,
    opened: OpenDuty | None,
    wave_number: int,
) -> bool:
    """Tell whether a machine counts against a wave's max_down_count."""
    if opened is not None:
        return opened.duty.wave_number == wave_number
    return (
        machine is not None and machine.status is machines.MachineState.UPKEEP
    )
