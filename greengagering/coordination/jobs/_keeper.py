"""The leader's duties at machines: emptying, upkeep and moves."""

import dataclasses
import enum
import math

from greengagering.coordination.jobs._director import JobDirector
from greengagering.coordination.jobs import _machines as machines
from greengagering.coordination.jobs import _placement
from greengagering.coordination.jobs._pool_plan import PoolPlan
from greengagering.coordination.jobs._worker_view import RunPhase
from greengagering.coordination.jobs._worker_view import RunView
from greengagering.coordination.jobs._worker_view import WorkerView
from greengagering import state

FULL_PERCENT = 100
LIST_INTERVAL_S = 0.5
"""Time between two readings of the machines while a duty is open."""

IDLE_LIST_INTERVAL_S = 5.0
"""Time between two readings otherwise; machines then change by themselves
only."""

LISTS_WITHOUT = 2
"""Lists, read after a wave was accepted, that a machine must be missing from
before it counts as gone from the fleet."""

DUTY_RETRY_S = 0.5
"""Pause before an unanswered or postponed duty is sent again."""

TAKEOVER_PAUSE_S = 3.2
"""Time after an earlier leader's order for a machine without an order of this
one, so that two leaders never take turns there within the platform's 3 s."""

RETURN_TIMEOUT_S = 8.0
"""Time from a duty to the machine's next worker, after which the machine
counts as lost; the platform takes 1.5 to 2 s."""

OFF_UPKEEP_S = 3.5
"""Time after which a machine that stands by is back from its upkeep once it is
listed as up: the platform takes 2 s, and the rest is for a list that lags."""

WAVE_CYCLE_S = 4.5
"""Usual time to empty a machine, keep it down, and have it back."""

WAVE_TIME_SHARE = 0.6
"""Share of a wave's time that is planned for; the rest is for surprises."""

PATIENCE_S = 2.5
"""Time for finite tasks to end by themselves on a machine being emptied."""


class DutyPhase(enum.Enum):
    """How far a duty has come."""

    EMPTYING = enum.auto()
    COMMITTING = enum.auto()
    SENDING = enum.auto()
    RETURNING = enum.auto()


@dataclasses.dataclass(slots=True)
class OpenDuty:
    """A duty that the leader carries out.

    Attributes:
        duty: what is done.
        worker_id: the worker whose life it ends, or ''.
        phase: how far it has come.
        phase_at_s: when the phase began.
        retry_at_s: when the platform may be asked again.
        is_asked: whether a call to the platform is on its way.
    """

    duty: state.Duty
    worker_id: str
    phase: DutyPhase
    phase_at_s: float
    retry_at_s: float = float('-inf')
    is_asked: bool = False


class MachineKeeper:
    """Carries out waves and moves, one duty per machine at a time."""

    def __init__(self, director: JobDirector, holder: str) -> None:
        self.machines: dict[str, machines.Machine] = {}
        self.open: dict[str, OpenDuty] = {}
        self.pool_plan = PoolPlan()
        self._director = director
        self._holder = holder
        self._now_ms = 0
        self._own_orders: set[str] = set()
        self._fence = 0
        self._listed_at_s = float('-inf')
        self._awaited_list: machines.ListMachines | None = None
        self._list_count = 0
        self._listed_once = False
        self._lists_s: list[float] = []
        self._calls: list[machines.MachineCall] = []
        self._wave_started_s: dict[int, float] = {}
        self._machine_of: dict[str, str] = {}

    @property
    def jobs(self) -> state.JobsState:
        """Committed state."""
        return self._director.jobs

    def step(self, now_s: float, now_ms: int) -> list[state.JobRecord]:
        """Do what is due, and return the records to propose."""
        self._now_ms = now_ms
        if self._fence != self._director.fence:
            self._lead(now_s)
        if not self._director.is_leading or self.jobs.plan is None:
            return []
        self._list_machines(now_s)
        if not self._listed_once:
            return []
        records: list[state.JobRecord] = []
        for wave in self.jobs.waves.values():
            records += self._advance_wave(wave, now_s)
        self._plan_moves(now_s)
        for opened in list(self.open.values()):
            records += self._advance(opened, now_s)
        return records

    def take_calls(self) -> list[machines.MachineCall]:
        """Return the calls to the platform, once."""
        taken = self._calls
        self._calls = []
        return taken

    def note_applied(self, record: state.JobRecord, now_s: float) -> None:
        """Follow a record that was folded into the state just now."""
        if not isinstance(record, state.DutyOrdered):
            return
        opened = self.open.get(record.duty.machine)
        if opened is not None and opened.phase is DutyPhase.COMMITTING:
            opened.phase = DutyPhase.SENDING
            opened.phase_at_s = now_s

    def note_machines(
        self,
        call: machines.ListMachines,
        listed: tuple[machines.Machine, ...] | None,
        now_s: float,
    ) -> None:
        """Take the platform's list, or None where it could not be read."""
        if call != self._awaited_list:
            # An earlier lead asked, so it may be older than what is known.
            return
        self._awaited_list = None
        if listed is None:
            return
        self._end_lost_lives({machine.name: machine for machine in listed})
        self._listed_once = True
        self._lists_s = [*self._lists_s[-LISTS_WITHOUT:], now_s]
        self.machines = {machine.name: machine for machine in listed}
        for opened in list(self.open.values()):
            machine = self.machines.get(opened.duty.machine)
            if opened.phase is DutyPhase.RETURNING and (
                machine is None or self._is_back(opened, machine)
            ):
                del self.open[opened.duty.machine]

    def _end_lost_lives(self, listed: dict[str, machines.Machine]) -> None:
        """End silent lives whose machine the platform says is not theirs.

        A worker that can't be reached may run on; one whose machine is down,
        gone or another worker's can't. Its lease may be open for long.
        """
        for machine in listed.values():
            if machine.worker_id:
                self._machine_of[machine.worker_id] = machine.name
        for view in list(self._director.workers.values()):
            suspect_s = view.suspect_since_s
            if suspect_s is None or suspect_s >= self._listed_at_s:
                continue
            name = self._machine_of.get(view.facts.worker_id)
            if name is None:
                continue
            present = listed.get(name)
            is_lost = (
                present is None
                or present.status is machines.MachineState.DOWN
                or present.worker_id not in ('', view.facts.worker_id)
            )
            if is_lost:
                self._director.end_life(view, 'machine lost')

    def note_duty(
        self,
        order: machines.DutyOrder,
        outcome: machines.DutyOutcome,
        now_s: float,
    ) -> list[state.JobRecord]:
        """Take the platform's answer; return the records to propose."""
        opened = self.open.get(order.duty.machine)
        if opened is None or order.fence != self._fence:
            return []
        opened.is_asked = False
        self._director.decide(
            'duty_answered',
            machine=order.duty.machine,
            kind=str(order.duty.kind),
            pool=order.duty.pool,
            wave=order.duty.wave_number,
            outcome=str(outcome),
        )
        kinds = machines.DutyOutcome
        if outcome is kinds.DONE:
            opened.phase = DutyPhase.RETURNING
            opened.phase_at_s = now_s
            view = self._view_of(opened.worker_id)
            if view is not None:
                self._director.end_life(view, str(order.duty.kind))
            return [state.DutySettled(order.duty, is_done=True)]
        if outcome is kinds.REFUSED:
            del self.open[order.duty.machine]
            self._release(opened)
            return [state.DutySettled(order.duty, is_done=False)]
        opened.retry_at_s = now_s + DUTY_RETRY_S
        return []

    def _lead(self, now_s: float) -> None:
        self._fence = self._director.fence
        self._own_orders.clear()
        self._awaited_list = None
        self._listed_once = False
        self._lists_s.clear()
        self._listed_at_s = float('-inf')
        self.machines.clear()
        self.open.clear()
        self._calls.clear()
        self._wave_started_s.clear()

    def _list_machines(self, now_s: float) -> None:
        if self._awaited_list or now_s < self._listed_at_s + LIST_INTERVAL_S:
            return
        interval_s = IDLE_LIST_INTERVAL_S
        has_wave = any(
            len(wave.begun) < len(wave.wave.machines)
            for wave in self.jobs.waves.values()
        )
        has_silent = any(
            view.suspect_since_s is not None and view.runs
            for view in self._director.workers.values()
        )
        # A worker's machine must be known before the worker falls silent.
        has_new = any(
            view.seen_at_s > self._listed_at_s
            for view in self._director.workers.values()
        )
        is_urgent = self.open or has_wave or has_silent or has_new
        if is_urgent or not self._listed_once:
            interval_s = LIST_INTERVAL_S
        if now_s < self._listed_at_s + interval_s:
            return
        self._list_count += 1
        self._awaited_list = machines.ListMachines(self._list_count)
        self._listed_at_s = now_s
        self._calls.append(self._awaited_list)

    def _is_back(self, opened: OpenDuty, machine: machines.Machine) -> bool:
        if machine.status is not machines.MachineState.UP:
            return False
        if opened.duty.kind is state.DutyKind.MOVE:
            return machine.pool == opened.duty.pool
        if not (opened.worker_id or machine.worker_id):
            # It stands by, and is off before its upkeep and after.
            return self._listed_at_s >= opened.phase_at_s + OFF_UPKEEP_S
        return machine.worker_id != opened.worker_id

    def _advance_wave(
        self, wave: state.WaveState, now_s: float
    ) -> list[state.JobRecord]:
        number = wave.wave.number
        started_s = self._wave_started_s.setdefault(number, now_s)
        begun = set(wave.begun)
        left = [m for m in wave.wave.machines if m not in begun]
        left = [m for m in left if self._is_known(m, started_s)]
        gone = [m for m in left if m not in self.machines]
        if gone:
            # A machine that has left the fleet needs no upkeep.
            return [
                state.DutySettled(
                    state.Duty(m, state.DutyKind.UPKEEP, '', number),
                    is_done=True,
                )
                for m in gone
            ]
        if not left:
            return []
        # Machines that an earlier leader has taken down are listed so.
        in_work = {
            name for name in wave.wave.machines if self._is_out(name, number)
        }
        time_left_s = started_s + wave.wave.deadline_s - now_s
        planned_s = max(time_left_s * WAVE_TIME_SHARE, WAVE_CYCLE_S)
        wanted = math.ceil(len(left) * WAVE_CYCLE_S / planned_s)
        room = min(wanted, wave.wave.max_down_count) - len(in_work)
        self._mark_due(left)
        if room <= 0:
            return []
        candidates = [
            m
            for m in left
            if m not in self.open
            and self.machines[m].status is machines.MachineState.UP
        ]
        for name in self._order_emptying(candidates, number)[:room]:
            duty = state.Duty(name, state.DutyKind.UPKEEP, '', number)
            self._begin(duty, now_s)
        return []

    def _mark_due(self, left: list[str]) -> None:
        """Let lasting tasks prefer workers that this wave takes no more."""
        for name in left:
            view = self._view_of(self.machines[name].worker_id)
            if view is not None:
                view.is_upkeep_due = True

    def _order_emptying(self, candidates: list[str], number: int) -> list[str]:
        """Order machines for a wave.

        Lasting tasks move a few at a time, so one machine of each pool that
        hosts some is begun at once, and the others by their cost.
        """
        candidates = sorted(candidates, key=self._cost_of_emptying)
        emptied_pools = {
            self.machines[name].pool
            for name, opened in self.open.items()
            if name in self.machines
            and opened.duty.wave_number == number
            and opened.phase is DutyPhase.EMPTYING
        }
        hosts = []
        for name in candidates:
            pool = self.machines[name].pool
            lasting, _ = self._cost_of_emptying(name)
            if lasting and pool not in emptied_pools:
                emptied_pools.add(pool)
                hosts.append(name)
        return hosts + [name for name in candidates if name not in hosts]

    def _is_known(self, name: str, started_s: float) -> bool:
        """Tell whether a machine is listed, or certainly not there.

        A list may be older than a machine that the wave names.
        """
        if name in self.machines:
            return True
        fresh = [at_s for at_s in self._lists_s if at_s > started_s]
        return len(fresh) >= LISTS_WITHOUT

    def _is_out(self, name: str, wave_number: int) -> bool:
        """Tell whether a machine counts as down for a wave."""
        opened = self.open.get(name)
        if opened is not None:
            return opened.duty.wave_number == wave_number
        machine = self.machines.get(name)
        return (
            machine is not None
            and machine.status is machines.MachineState.UPKEEP
        )

    def _cost_of_emptying(self, name: str) -> tuple[int, int]:
        view = self._view_of(self.machines[name].worker_id)
        if view is None:
            return (0, 0)
        lasting = sum(1 for run in view.runs.values() if run.step.is_lasting)
        return (lasting, len(view.runs))

    def _begin(self, duty: state.Duty, now_s: float) -> None:
        machine = self.machines[duty.machine]
        opened = OpenDuty(duty, machine.worker_id, DutyPhase.EMPTYING, now_s)
        ordered = self.jobs.duties.get(duty.machine)
        if ordered is not None:
            # An earlier leader may have sent it already.
            opened.duty = ordered
            opened.phase = DutyPhase.SENDING
        self.open[duty.machine] = opened
        view = self._view_of(machine.worker_id)
        if view is not None:
            view.is_reserved = True
        self._director.decide(
            'duty_begun',
            machine=duty.machine,
            kind=str(duty.kind),
            pool=duty.pool,
            wave=duty.wave_number,
            runs=len(view.runs) if view is not None else 0,
        )

    def _advance(
        self, opened: OpenDuty, now_s: float
    ) -> list[state.JobRecord]:
        if opened.phase is DutyPhase.RETURNING:
            if now_s >= opened.phase_at_s + RETURN_TIMEOUT_S:
                del self.open[opened.duty.machine]
            return []
        machine = self.machines.get(opened.duty.machine)
        if machine is not None and machine.worker_id != opened.worker_id:
            self._follow_worker(opened, machine)
        if opened.phase is DutyPhase.EMPTYING:
            if self._is_empty(opened, now_s) and self._may_order(opened):
                opened.phase = DutyPhase.COMMITTING
                opened.phase_at_s = now_s
                self._own_orders.add(opened.duty.machine)
                return [state.DutyOrdered(opened.duty, self._now_ms)]
        elif opened.phase is DutyPhase.SENDING:
            self._send(opened, now_s)
        return []

    def _follow_worker(
        self, opened: OpenDuty, machine: machines.Machine
    ) -> None:
        opened.worker_id = machine.worker_id
        view = self._view_of(machine.worker_id)
        if view is not None:
            view.is_reserved = True

    def _send(self, opened: OpenDuty, now_s: float) -> None:
        if opened.is_asked or now_s < opened.retry_at_s:
            return
        if not (self._is_empty(opened, now_s) and self._may_order(opened)):
            return
        opened.is_asked = True
        self._calls.append(
            machines.DutyOrder(opened.duty, self._holder, self._fence)
        )

    def _may_order(self, opened: OpenDuty) -> bool:
        """Tell whether no earlier leader has just ordered this machine."""
        machine = opened.duty.machine
        ordered_at_ms = self.jobs.ordered_at_ms.get(machine)
        if ordered_at_ms is None or machine in self._own_orders:
            return True
        age_s = abs(self._now_ms - ordered_at_ms) / 1000
        return age_s >= TAKEOVER_PAUSE_S

    def _is_empty(self, opened: OpenDuty, now_s: float) -> bool:
        """Stop what may be stopped; tell whether nothing runs any more."""
        view = self._view_of(opened.worker_id)
        if view is None:
            return True
        for run in list(view.runs.values()):
            if run.phase is not RunPhase.RUNNING:
                continue
            if run.step.is_lasting:
                if self._may_stop(run):
                    self._director.stop_run(view, run, now_s)
            elif opened.duty.kind is state.DutyKind.UPKEEP and (
                run.step.saves_progress
                or now_s >= opened.phase_at_s + PATIENCE_S
            ):
                # A move is not worth the work that a stop throws away.
                self._director.stop_run(view, run, now_s)
        return not view.runs

    def _may_stop(self, run: RunView) -> bool:
        """Tell whether a lasting task may be out, and has another place."""
        job = self.jobs.jobs.get(run.key.job_id)
        if job is None or job.status is not state.JobStatus.ACTIVE:
            return True
        away = 0
        for index in range(run.step.task_count):
            task_key = f'{run.key.step_key}.{index}'
            if task_key != run.key.task and not self._is_at_work(
                job, task_key
            ):
                away += 1
        if run.step.may_miss is not None and away >= run.step.may_miss:
            return False
        if run.step.may_miss is None and away:
            return False
        work = self._director.index.find(run.key)
        if work is None:
            return True
        workers = self._director.usable_workers(job)
        return _placement.has_place(work, workers)

    def _is_at_work(self, job: state.Job, task_key: str) -> bool:
        task = job.tasks.get(task_key)
        if task is None:
            return False
        for run_number, life_key in task.live_runs.items():
            view = self._director.workers.get(life_key)
            name = state.RunKey(job.spec.job_id, task_key, run_number).name
            run = view.runs.get(name) if view is not None else None
            if view is None or run is None:
                continue
            is_running = run.phase is RunPhase.RUNNING
            if is_running and view.suspect_since_s is None:
                return run.is_listed and run.percent >= FULL_PERCENT
        return False

    def _plan_moves(self, now_s: float) -> None:
        for duty in self.jobs.duties.values():
            # What an earlier leader left open is finished first.
            if duty.machine not in self.open and (
                duty.machine in self.machines
            ):
                self._begin(duty, now_s)
        for duty in self.pool_plan.find_moves(
            self._director,
            self.machines,
            [opened.duty for opened in self.open.values()],
            now_s,
        ):
            self._begin(duty, now_s)

    def _release(self, opened: OpenDuty) -> None:
        view = self._view_of(opened.worker_id)
        if view is not None:
            view.is_reserved = False

    def _view_of(self, worker_id: str) -> WorkerView | None:
        return self._director.newest_life(worker_id)
