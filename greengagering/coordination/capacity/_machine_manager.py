"""Upkeep and moves of machines, which the leader empties first."""

from greengagering.coordination.capacity._emptying import MachineEmptier
from greengagering.coordination.capacity._lost_workers import LostWorkerFinder
from greengagering.coordination.capacity._machine_lists import MachineLists
from greengagering.coordination.capacity import _machines as machines
from greengagering.coordination.capacity._open_duties import DutyPhase
from greengagering.coordination.capacity._open_duties import EmptyingPauses
from greengagering.coordination.capacity._open_duties import OpenDuty
from greengagering.coordination.capacity._pool_plan import PoolPlanner
from greengagering.coordination.capacity._upkeep_waves import UpkeepWaves
from greengagering.coordination.scheduling import JobScheduler
from greengagering.coordination.workers import WorkerView
from greengagering import state

LIST_INTERVAL_S = 0.5
"""Time between two requests for the list of machines while a duty is open, a
worker is silent or new, or a wave is unfinished."""

IDLE_LIST_INTERVAL_S = 5.0
"""Time between two requests otherwise, while machines change only without an
order of the leader."""

DUTY_RETRY_S = 0.5
"""Pause before a duty that was unanswered or refused for now is sent again."""

SETTLE_TIMEOUT_S = 1.0
"""Time after which a duty whose outcome isn't committed yet is taken up again,
as the record of it may not have been proposed; a commit takes some 10 ms."""

TAKEOVER_PAUSE_S = 3.2
"""Time after a former leader's order for a machine during which this leader
gives none, so that orders of two leaders never alternate there within the
platform's 3 s."""

RETURN_TIMEOUT_S = 8.0
"""Time from a duty's confirmation after which a machine without a new worker
counts as lost; the platform takes 1.5 to 2 s."""

SAME_WORKER_UPKEEP_S = 3.5
"""Time after which a machine that is listed as up with the worker that it had
before, or still without one, counts as back from its upkeep: the platform
takes 2 s, and the rest allows for a stale list."""

STUCK_TIMEOUT_S = 1.0
"""Time without a way to empty a machine after which it goes back to work: its
lasting tasks have no place elsewhere, and their jobs don't allow all of them
to be out."""

EMPTYING_MIN_S = 3.0
"""Time for which a machine is emptied before it is given up. A machine from
standby, which may give its tasks a place, needs 1.5 s for its move, and is
then polled."""


class MachineManager:
    """Carries out upkeep waves and moves, one duty per machine at a time.

    Attributes:
        open_duties: duties that are not finished, by machine.
        pool_planner: plans the moves.
    """

    def __init__(self, scheduler: JobScheduler, holder: str) -> None:
        self.open_duties: dict[str, OpenDuty] = {}
        self.pool_planner = PoolPlanner()
        self._scheduler = scheduler
        self._holder = holder
        self._now_ms = 0
        self._ordered_in_term: set[str] = set()
        self._settled_at_s: dict[str, float] = {}
        self._fence = 0
        self._list_requested_at_s = float('-inf')
        self._pending_list: machines.ListMachines | None = None
        self._list_count = 0
        self._call_count = 0
        self._has_listed = False
        self._lists = MachineLists()
        self._calls: list[machines.MachineCall] = []
        self._lost_workers = LostWorkerFinder()
        self._emptier = MachineEmptier(scheduler)
        self._waves = UpkeepWaves(scheduler, self._emptier)
        self._pauses = EmptyingPauses()

    @property
    def known_machines(self) -> dict[str, machines.Machine]:
        """Newest entry of each machine that any of the newest lists has."""
        return self._lists.machines

    @property
    def jobs(self) -> state.JobsState:
        """Committed state of the jobs."""
        return self._scheduler.jobs

    def step(self, now_s: float, now_ms: int) -> list[state.JobRecord]:
        """Advance waves, moves and duties; return the records to propose."""
        self._now_ms = now_ms
        if self._fence != self._scheduler.fence:
            self._reset(now_s)
        if not self._scheduler.is_leading or self.jobs.plan is None:
            return []
        self._list_machines(now_s)
        if not self._has_listed:
            return []
        self._emptier.begin_step()
        records: list[state.JobRecord] = []

        def advance_wave(wave: state.WaveState) -> None:
            if self._scheduler.is_wave_done(wave):
                return
            plan = self._waves.plan(
                wave,
                self._lists,
                self.open_duties,
                {m for m in wave.wave.machines if self._may_open(m, now_s)},
                now_s,
            )
            records.extend(plan.settled)
            for duty in plan.duties:
                self._open_duty(duty, now_s)

        def advance_duty(opened: OpenDuty) -> None:
            records.extend(self._advance_duty(opened, now_s))

        run_part = self._scheduler.run_part
        run_part(self._reopen_duties, now_s)
        for wave in self.jobs.waves.values():
            run_part(advance_wave, wave)
        run_part(self._plan_moves, now_s)
        for opened in list(self.open_duties.values()):
            run_part(advance_duty, opened)
        return records

    def find_blocked(self, wave: state.WaveState) -> dict[str, list[str]]:
        """Return the tasks that keep a wave's machines from their upkeep.

        Args:
            wave: the wave.

        Returns:
            The lasting tasks that can't leave their machine now, by the
            names of the machines that are not being emptied.
        """
        self._emptier.begin_step()
        return self._waves.find_blocked(
            wave, self.known_machines, self.open_duties
        )

    def take_calls(self) -> list[machines.MachineCall]:
        """Return and clear the calls to the platform."""
        taken = self._calls
        self._calls = []
        return taken

    def handle_applied(self, record: state.JobRecord, now_s: float) -> None:
        """Start sending a duty whose order was just committed."""
        if isinstance(record, state.DutySettled):
            self._settled_at_s.pop(record.duty.machine, None)
        if not isinstance(record, state.DutyOrdered):
            return
        opened = self.open_duties.get(record.duty.machine)
        if opened is not None and opened.phase is DutyPhase.COMMITTING:
            opened.phase = DutyPhase.SENDING
            opened.phase_at_s = now_s

    def handle_machine_list(
        self,
        call: machines.ListMachines,
        listed: tuple[machines.Machine, ...] | None,
        now_s: float,
    ) -> None:
        """Update the machines from the platform's list.

        Args:
            call: the request that was answered.
            listed: the machines, or None if the list could not be read.
            now_s: the leader's clock.
        """
        if call != self._pending_list:
            # Requested in an earlier term, so it may be older than the state.
            return
        self._pending_list = None
        if listed is None:
            return
        self._lists.add(listed, now_s)
        for view in self._lost_workers.find_lost(
            self._lists.newest,
            self._scheduler.workers.values(),
            self._list_requested_at_s,
        ):
            self._scheduler.declare_over(view, 'machine lost', is_crash=True)
        self._has_listed = True
        for opened in list(self.open_duties.values()):
            machine = self.known_machines.get(opened.duty.machine)
            if opened.phase is DutyPhase.RETURNING and (
                machine is None or self._is_back(opened, machine)
            ):
                self._close_duty(opened)

    def handle_duty_outcome(
        self,
        order: machines.DutyOrder,
        outcome: machines.DutyOutcome,
        now_s: float,
    ) -> list[state.JobRecord]:
        """Handle the platform's answer to a duty.

        Returns:
            The records to propose.
        """
        opened = self.open_duties.get(order.duty.machine)
        is_current = order.fence == self._scheduler.fence
        if (
            opened is None
            or not is_current
            or order.number != opened.call_number
        ):
            self._scheduler.log_decision(
                'duty_answer_outdated',
                machine=order.duty.machine,
                call=order.number,
                outcome=str(outcome),
            )
            return []
        opened.call_number = 0
        self._scheduler.log_decision(
            'duty_answered',
            machine=order.duty.machine,
            kind=str(order.duty.kind),
            pool=order.duty.pool,
            wave=order.duty.wave_number,
            outcome=str(outcome),
            worker=opened.worker_id,
            sent=opened.sent_count,
            sent_s_ago=round(now_s - opened.sent_at_s, 3),
        )
        if opened.phase is DutyPhase.RETURNING:
            # The list has shown that it was carried out.
            return []
        kinds = machines.DutyOutcome
        if outcome is kinds.DONE:
            return self._settle(opened, now_s)
        if outcome is kinds.REFUSED:
            del self.open_duties[order.duty.machine]
            self._scheduler.release_worker(opened.worker_id)
            self._settled_at_s[order.duty.machine] = now_s
            return [state.DutySettled(order.duty, is_done=False)]
        opened.retry_at_s = now_s + DUTY_RETRY_S
        return []

    def _settle(self, opened: OpenDuty, now_s: float) -> list[state.JobRecord]:
        """Settle a duty that is known to be carried out."""
        opened.phase = DutyPhase.RETURNING
        opened.phase_at_s = now_s
        self._settled_at_s[opened.duty.machine] = now_s
        view = self._scheduler.workers.get(opened.ends_life)
        if view is not None:
            self._scheduler.declare_over(view, str(opened.duty.kind))
        return [state.DutySettled(opened.duty, is_done=True)]

    def _close_duty(self, opened: OpenDuty) -> None:
        """Remove a duty whose machine is back, or isn't awaited any more."""
        del self.open_duties[opened.duty.machine]
        self._end_reservation(opened)

    def _end_reservation(self, opened: OpenDuty) -> None:
        machine = self.known_machines.get(opened.duty.machine)
        if machine is not None and machine.worker_id == opened.worker_id:
            # An earlier order had carried the duty out, and this worker has
            # joined after it.
            self._scheduler.release_worker(opened.worker_id)
        else:
            self._scheduler.abandon_worker(opened.worker_id)

    def _reset(self, now_s: float) -> None:
        self._fence = self._scheduler.fence
        self._ordered_in_term.clear()
        self._settled_at_s.clear()
        self._pending_list = None
        self._has_listed = False
        self._lists.clear()
        self._list_requested_at_s = float('-inf')
        self.open_duties.clear()
        self._calls.clear()
        self._waves = UpkeepWaves(self._scheduler, self._emptier)
        self._pauses = EmptyingPauses()
        self.pool_planner.start_term(now_s)

    def _list_machines(self, now_s: float) -> None:
        if (
            self._pending_list
            or now_s < self._list_requested_at_s + LIST_INTERVAL_S
        ):
            return
        interval_s = IDLE_LIST_INTERVAL_S
        has_wave = any(
            len(wave.begun) < len(wave.wave.machines)
            for wave in self.jobs.waves.values()
        )
        has_silent = any(
            view.suspect_since_s is not None and view.runs
            for view in self._scheduler.workers.values()
        )
        # The machine of a new worker must be known before the worker can fall
        # silent.
        has_new = any(
            view.seen_at_s > self._list_requested_at_s
            for view in self._scheduler.workers.values()
        )
        is_urgent = (
            self.open_duties
            or has_wave
            or has_silent
            or has_new
            or self._lists.lacks_machines
        )
        if is_urgent or not self._has_listed:
            interval_s = LIST_INTERVAL_S
        if now_s < self._list_requested_at_s + interval_s:
            return
        self._list_count += 1
        self._pending_list = machines.ListMachines(self._list_count)
        self._list_requested_at_s = now_s
        self._calls.append(self._pending_list)

    def _is_back(self, opened: OpenDuty, machine: machines.Machine) -> bool:
        is_up = machine.status is machines.MachineState.UP
        if opened.call_number or not is_up:
            return False
        if opened.duty.kind is state.DutyKind.MOVE:
            return machine.pool == opened.duty.pool
        if machine.worker_id == opened.worker_id:
            # A standby machine has no worker before its upkeep or after it,
            # and the upkeep may have been carried out by an earlier order.
            return (
                self._list_requested_at_s
                >= opened.phase_at_s + SAME_WORKER_UPKEEP_S
            )
        return True

    def _open_duty(self, duty: state.Duty, now_s: float) -> None:
        machine = self.known_machines[duty.machine]
        opened = OpenDuty(duty, machine.worker_id, DutyPhase.EMPTYING, now_s)
        ordered = self.jobs.duties.get(duty.machine)
        if ordered is not None:
            # A former leader may have sent this order already.
            opened.duty = ordered
            opened.phase = DutyPhase.SENDING
            opened.is_inherited = True
        self.open_duties[duty.machine] = opened
        self._reserve_worker(machine)
        view = self._find_worker(machine.worker_id)
        self._scheduler.log_decision(
            'duty_begun',
            machine=duty.machine,
            kind=str(duty.kind),
            pool=duty.pool,
            wave=duty.wave_number,
            phase=opened.phase.name.lower(),
            worker=opened.worker_id,
            is_known=view is not None,
            runs=len(view.runs) if view is not None else 0,
        )

    def _advance_duty(
        self, opened: OpenDuty, now_s: float
    ) -> list[state.JobRecord]:
        if opened.phase is DutyPhase.RETURNING:
            if now_s >= opened.phase_at_s + RETURN_TIMEOUT_S:
                self._close_duty(opened)
            return []
        machine = self.known_machines.get(opened.duty.machine)
        if machine is not None and machine.worker_id != opened.worker_id:
            self._reserve_next_worker(opened, machine)
        if machine is not None and self._is_moved(opened, machine):
            return self._settle_listed_move(opened, machine, now_s)
        if opened.phase is DutyPhase.EMPTYING:
            if self._emptier.empty(opened, now_s) and self._may_order(opened):
                opened.phase = DutyPhase.COMMITTING
                opened.phase_at_s = now_s
                self._ordered_in_term.add(opened.duty.machine)
                return [state.DutyOrdered(opened.duty, self._now_ms)]
            self._give_up_stuck(opened, now_s)
        elif opened.phase is DutyPhase.SENDING:
            self._send(opened, now_s)
        return []

    def _give_up_stuck(self, opened: OpenDuty, now_s: float) -> None:
        """Put a machine back to work that can't be emptied now.

        While it waits it runs nothing new, and it may wait for good.
        """
        stuck = self._emptier.find_stuck(opened.worker_id)
        if not stuck:
            opened.stuck_since_s = None
            return
        if opened.stuck_since_s is None:
            opened.stuck_since_s = now_s
        if now_s < max(
            opened.stuck_since_s + STUCK_TIMEOUT_S,
            opened.phase_at_s + EMPTYING_MIN_S,
        ):
            return
        machine = opened.duty.machine
        pause_s = self._pauses.begin(machine, now_s)
        self._scheduler.log_decision(
            'duty_given_up',
            machine=machine,
            kind=str(opened.duty.kind),
            wave=opened.duty.wave_number,
            worker=opened.worker_id,
            tasks=len(stuck),
            task=stuck[0],
            open_s=round(now_s - opened.phase_at_s, 3),
            pause_s=pause_s,
        )
        del self.open_duties[machine]
        self._scheduler.release_worker(opened.worker_id)

    def _reserve_next_worker(
        self, opened: OpenDuty, machine: machines.Machine
    ) -> None:
        former, opened.worker_id = opened.worker_id, machine.worker_id
        self._scheduler.abandon_worker(former)
        self._reserve_worker(machine)
        view = self._find_worker(machine.worker_id)
        self._scheduler.log_decision(
            'duty_worker_changed',
            machine=machine.name,
            phase=opened.phase.name.lower(),
            former=former,
            worker=machine.worker_id,
            is_known=view is not None,
            runs=len(view.runs) if view is not None else 0,
        )

    def _reserve_worker(self, machine: machines.Machine) -> None:
        if machine.worker_id:
            self._scheduler.reserve_worker(machine.worker_id)

    def _is_moved(self, opened: OpenDuty, machine: machines.Machine) -> bool:
        """Tell whether the list shows that a move has been carried out."""
        return (
            opened.phase is DutyPhase.SENDING
            and opened.duty.kind is state.DutyKind.MOVE
            and machine.pool == opened.duty.pool
        )

    def _settle_listed_move(
        self, opened: OpenDuty, machine: machines.Machine, now_s: float
    ) -> list[state.JobRecord]:
        """Settle a move before the order is answered, and use its worker.

        The duty stays open until then, so that no order for the machine's
        next move is under way together with this one.
        """
        self._scheduler.log_decision(
            'move_listed',
            machine=machine.name,
            pool=machine.pool,
            worker=machine.worker_id,
            sent=opened.sent_count,
        )
        records = self._settle(opened, now_s)
        self._end_reservation(opened)
        if self._is_back(opened, machine):
            self._close_duty(opened)
        return records

    def _send(self, opened: OpenDuty, now_s: float) -> None:
        """Send the order of a duty whose machine is empty.

        The platform also confirms an order that an earlier one has carried
        out, and the machine may have another worker then. So a confirmation
        ends the incarnation to which the first order was sent, and none if a
        former leader may have sent it before.
        """
        if opened.call_number or now_s < opened.retry_at_s:
            return
        if not (
            self._emptier.empty(opened, now_s) and self._may_order(opened)
        ):
            return
        if not (opened.sent_count or opened.is_inherited):
            view = self._find_worker(opened.worker_id)
            opened.ends_life = view.key if view is not None else ''
        self._call_count += 1
        opened.call_number = self._call_count
        opened.sent_count += 1
        opened.sent_at_s = now_s
        self._calls.append(
            machines.DutyOrder(
                opened.duty, self._holder, self._fence, self._call_count
            )
        )

    def _may_order(self, opened: OpenDuty) -> bool:
        """Tell whether the takeover pause of a duty's machine is over."""
        machine = opened.duty.machine
        ordered_at_ms = self.jobs.ordered_at_ms.get(machine)
        if ordered_at_ms is None or machine in self._ordered_in_term:
            return True
        age_s = abs(self._now_ms - ordered_at_ms) / 1000
        return age_s >= TAKEOVER_PAUSE_S

    def _reopen_duties(self, now_s: float) -> None:
        """Continue the duties that a former leader left open.

        They come before new ones, as the machines of a wave among them count
        as down.
        """
        for duty in self.jobs.duties.values():
            if duty.machine in self.known_machines and self._may_open(
                duty.machine, now_s
            ):
                self._open_duty(duty, now_s)

    def _plan_moves(self, now_s: float) -> None:
        for duty in self.pool_planner.find_moves(
            self._scheduler,
            self.known_machines,
            [opened.duty for opened in self.open_duties.values()],
            now_s,
        ):
            if self._may_open(duty.machine, now_s):
                self._open_duty(duty, now_s)

    def _may_open(self, name: str, now_s: float) -> bool:
        """Tell whether a duty of a machine may be opened.

        It has neither an open one nor one to settle, and isn't given up.
        Until the outcome of its last duty is committed, the state still has
        that duty, which would be taken for a former leader's.
        """
        settled_at_s = self._settled_at_s.get(name, float('-inf'))
        return (
            name not in self.open_duties
            and now_s >= settled_at_s + SETTLE_TIMEOUT_S
            and not self._pauses.is_paused(name, now_s)
        )

    def _find_worker(self, worker_id: str) -> WorkerView | None:
        return self._scheduler.newest_incarnation(worker_id)
