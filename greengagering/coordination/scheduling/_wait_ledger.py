"""Accounts for the time that tasks wait, by what they wait for."""

from collections.abc import Iterable

from greengagering.coordination.jobs import StepWork
from greengagering.coordination.scheduling._leader_core import LeaderCore
from greengagering.coordination.workers import RunPhase
from greengagering.coordination.workers import RunView
from greengagering.coordination.workers import WaitCause
from greengagering.coordination.workers import WaitTimes
from greengagering.coordination.workers import WorkerView

OBSERVE_INTERVAL_S = 0.24
"""Least time between two observations of the tasks that wait; a little less
than the longest time between two plans. One looks at every worker."""

LATE_START_S = 0.3
"""Time from the order to start a run to its confirmation from which the start
is logged as late; workers answer within milliseconds."""

LATE_END_S = 0.3
"""The same for the time from a run's end to the list that holds it."""


class WaitLedger:
    """Sums of waiting times, and log events of what was late.

    Attributes:
        task_seconds: seconds that tasks waited, summed over all tasks.
        late_job_seconds: seconds by cause along the chains of steps that
            ended last in late jobs; see _find_chain_seconds.
        arriving_cores: cores of the machines that move to a service's pool,
            by service.
    """

    def __init__(self, core: LeaderCore) -> None:
        self.task_seconds = WaitTimes()
        self.late_job_seconds: dict[str, float] = {}
        self.arriving_cores: dict[str, float] = {}
        self._core = core
        self._observed_at_s: float | None = None
        # Runs whose start is ordered and was not known to be confirmed when
        # it was last looked at.
        self._open_starts: dict[str, tuple[WorkerView, RunView]] = {}

    def clear(self) -> None:
        """Discard what is known of the present term's runs."""
        self._observed_at_s = None
        self._open_starts.clear()
        self.arriving_cores.clear()

    def note_ordered(
        self, view: WorkerView, run: RunView, now_s: float
    ) -> None:
        """Note that a run's start is ordered."""
        run.waits.begin(WaitCause.ORDER, now_s)
        run.waits.sent_count += 1
        self._open_starts[run.key.name] = (view, run)

    def note_unsent(self, run: RunView, now_s: float) -> None:
        """Note that a run's order was not sent."""
        if run.phase in (RunPhase.ORDERED, RunPhase.UNCERTAIN):
            run.waits.end(now_s, WaitCause.SLOT)
            run.waits.begin(WaitCause.SLOT, now_s)

    def note_suspect(self, run: RunView, now_s: float) -> None:
        """Note that a start is due again and waits for its worker."""
        if run.phase in (RunPhase.ORDERED, RunPhase.UNCERTAIN):
            run.waits.begin(WaitCause.SUSPECT, now_s)

    def note_started(
        self, view: WorkerView, run: RunView, now_s: float
    ) -> None:
        """Note that a start is confirmed, and log one that is late."""
        self._open_starts.pop(run.key.name, None)
        waits = run.waits
        waits.end(now_s)
        self.task_seconds.add_all(waits)
        if waits.total_s >= LATE_START_S:
            self._core.log_decision(
                'start_late',
                run=run.key.name,
                life=view.key,
                sent=waits.sent_count,
                **waits.fields(),
            )

    def note_ended(
        self,
        view: WorkerView,
        run: RunView,
        now_s: float,
    ) -> None:
        """Note that a run's end is listed, and log one that is late.

        The worker gives no time of an end. After an unanswered poll it may
        have been any since then, so the wait is an upper bound.
        """
        lost_at_s = view.poll_lost_at_s
        if lost_at_s is not None:
            started_s = run.started_at_s or run.phase_at_s
            late_s = now_s - max(lost_at_s, started_s)
            run.waits.add(WaitCause.POLL, late_s)
            self.task_seconds.add(WaitCause.POLL, late_s)
            if late_s >= LATE_END_S:
                self._core.log_decision(
                    'end_late',
                    run=run.key.name,
                    life=view.key,
                    at_most_s=round(late_s, 3),
                )
        work = self._core.index.find(run.key)
        if work is not None:
            work.last_run = run
            work.last_ended_s = now_s

    def observe(self, now_s: float) -> None:
        """Add the time since the last observation for the tasks that wait."""
        last_s = self._observed_at_s
        if last_s is not None and now_s < last_s + OBSERVE_INTERVAL_S:
            return
        self._observed_at_s = now_s
        if last_s is None:
            return
        works: dict[str, list[StepWork]] = {}
        for steps in self._core.index.steps.values():
            for work in steps.values():
                if work.waiting:
                    service = self._core.service_of(work.job)
                    works.setdefault(service, []).append(work)
        if not works:
            return
        held = self._find_held_cores(works)
        for service, waiting in works.items():
            cores = sum(
                len(w.waiting) * w.step.room.cpu_millicores / 1000
                for w in waiting
            )
            shares = _allot(cores, held[service])
            for work in waiting:
                waited_s = now_s - max(last_s, work.ready_since_s)
                for cause, share in shares.items():
                    work.waits.add(cause, share * waited_s)
                    self.task_seconds.add(
                        cause, share * waited_s * len(work.waiting)
                    )

    def _find_held_cores(
        self, services: Iterable[str]
    ) -> dict[str, dict[WaitCause, float]]:
        """Return the cores that tasks can't use for now, by service."""
        held = {
            service: dict.fromkeys(
                (
                    WaitCause.SUSPECT,
                    WaitCause.UNRESOLVED,
                    WaitCause.ARRIVING,
                    WaitCause.UNUSABLE,
                ),
                0.0,
            )
            for service in services
        }
        for view in self._core.workers.values():
            cores = held.get(view.facts.service)
            if cores is None or view.is_over or view.is_reserved:
                continue
            free = max(view.free_cpu, 0) / 1000
            if view.suspect_since_s is not None:
                cores[WaitCause.SUSPECT] += free
            elif not view.is_usable(self._core.now_s):
                cores[WaitCause.UNUSABLE] += free
        for name, (view, run) in list(self._open_starts.items()):
            is_open = run.phase in (RunPhase.ORDERED, RunPhase.UNCERTAIN)
            if not is_open or view.runs.get(name) is not run:
                del self._open_starts[name]
                continue
            cores = held.get(view.facts.service)
            if cores is not None and run.unresolved_starts:
                cores[WaitCause.UNRESOLVED] += (
                    run.step.room.cpu_millicores / 1000
                )
        for service, arriving in self.arriving_cores.items():
            if service in held:
                held[service][WaitCause.ARRIVING] += arriving
        return held

    def note_finished(self, steps: Iterable[StepWork], now_s: float) -> None:
        """Log where the time went, if a job's objective is missed."""
        ended = {w.number: w for w in steps if w.last_run is not None}
        if not ended:
            return
        last = max(ended.values(), key=lambda work: work.last_ended_s)
        if last.job.spec.first_due_ms or now_s <= last.objective_end_s:
            return
        seconds = _find_chain_seconds(last, ended)
        for cause, of_cause_s in seconds.items():
            self.late_job_seconds[cause] = (
                self.late_job_seconds.get(cause, 0.0) + of_cause_s
            )
        self._core.log_decision(
            'job_late',
            job=last.job.spec.job_id,
            late_s=round(now_s - last.objective_end_s, 3),
            steps=len(ended),
            **{
                f'{cause}_s': round(of_cause_s, 3)
                for cause, of_cause_s in seconds.items()
            },
        )


def _allot(
    cores: float, held: dict[WaitCause, float]
) -> dict[WaitCause, float]:
    """Return the share of the waiting cores that each cause keeps waiting.

    Causes that can end soonest come first; what is left waits for room.
    """
    if cores <= 0:
        return {WaitCause.ROOM: 1.0}
    shares: dict[WaitCause, float] = {}
    left = cores
    for cause, held_cores in held.items():
        taken = min(left, held_cores)
        if taken > 0:
            shares[cause] = taken / cores
            left -= taken
    if left > 0:
        shares[WaitCause.ROOM] = left / cores
    return shares


def _find_chain_seconds(
    last: StepWork, ended: dict[int, StepWork]
) -> dict[str, float]:
    """Return the seconds by cause along the chain that ended last.

    `run` is the time in which the last task of each step ran, without what
    its end was noted late; `repeat` the time of earlier runs of it; `other`
    what is not accounted for, such as commits.
    """
    total = WaitTimes()
    run_s = repeat_s = other_s = 0.0
    work: StepWork | None = last
    while work is not None:
        run = work.last_run
        if run is None:
            break
        room_waits = run.room_waits or WaitTimes()
        total.add_all(room_waits)
        total.add_all(run.waits)
        # The end of a run may be listed before its start is confirmed.
        waited_s = room_waits.total_s + run.waits.total_s
        poll_s = run.waits.seconds.get(WaitCause.POLL, 0.0)
        started_s = run.started_at_s or (
            work.ready_since_s + waited_s - poll_s
        )
        run_s += work.last_ended_s - started_s - poll_s
        left_s = started_s - work.ready_since_s - waited_s + poll_s
        if run.key.run > 1:
            repeat_s += left_s
        else:
            other_s += left_s
        earlier = [ended[n] for n in work.step.after if n in ended]
        work = max(earlier, key=lambda w: w.last_ended_s, default=None)
    seconds = {str(cause): value for cause, value in total.seconds.items()}
    seconds['run'] = max(run_s, 0.0)
    seconds['repeat'] = max(repeat_s, 0.0)
    seconds['other'] = max(other_s, 0.0)
    return seconds
