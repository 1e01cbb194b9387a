"""Handles workers' reports and their notices to leave."""

from greengagering.coordination.scheduling import _customer_limits
from greengagering.coordination.scheduling._leader_core import LeaderCore
from greengagering.coordination.workers import SILENCE_S
from greengagering.coordination.workers import WorkerReport
from greengagering.coordination.workers import WorkerView
from greengagering import state

MAX_BORN_AHEAD_MS = 600_000
"""How far the start of an incarnation may lie ahead of the leader's time of
day before it is implausible; the clocks of machines differ by less."""

MAX_SHOWN_CHARACTERS = 40
"""Most characters of a refused value that the refusal repeats."""

MAX_LATE_REPORTS = 1000
"""Most reports by which a late one is behind the newest; they come about once
a second."""


class WorkerReports:
    """Updates the leader's views of workers from what they report."""

    def __init__(self, core: LeaderCore) -> None:
        self._core = core

    def find_fault(self, report: WorkerReport, now_s: float) -> str:
        """Return why a report must not be used, or ''."""
        return self._find_service_fault(
            report.facts
        ) or self._find_start_fault(report, now_s)

    def _find_service_fault(self, facts: state.WorkerFacts) -> str:
        """Return what is wrong with the service that a report names, or ''.

        An incarnation serves one service for as long as it runs. It may go on
        while the plan doesn't have that service, so only a new one is
        compared with the plan.
        """
        shown = facts.service[:MAX_SHOWN_CHARACTERS]
        view = self._core.workers.get(facts.key)
        if view is not None:
            if facts.service == view.facts.service:
                return ''
            return (
                f'field service: {facts.key} serves {view.facts.service} '
                f'(value: {shown})'
            )
        plan = self._core.jobs.plan
        if plan is None or any(
            service.name == facts.service for service in plan.services
        ):
            return ''
        return f'field service: is not in the plan (value: {shown})'

    def _find_start_fault(self, report: WorkerReport, now_s: float) -> str:
        """Return what is wrong with the start that a report names, or ''.

        The later of two incarnations replaces the earlier one, so a start far
        in the future would replace a worker that goes on. It counts only once
        that worker is silent: time of day may be wrong here, and then a
        worker that has restarted reports such a start too.
        """
        ahead_ms = report.facts.born_ms - self._core.now_ms
        if (
            ahead_ms <= MAX_BORN_AHEAD_MS
            or report.facts.key in self._core.workers
        ):
            return ''
        for view in self._core.incarnations.related(report.facts):
            is_heard = now_s < view.heard_at_s + SILENCE_S
            if is_heard and view.suspect_since_s is None and not view.is_over:
                return (
                    f'field born: is {ahead_ms} ms ahead, while {view.key} '
                    f'goes on (value: {report.facts.born_ms})'
                )
        return ''

    def handle_report(
        self, report: WorkerReport, now_s: float
    ) -> state.JobRecord | None:
        """Handle a worker's report.

        Returns:
            A record to commit before the report is acknowledged, or None.
        """
        key = report.facts.key
        view = self._core.workers.get(key)
        if view is None:
            self._log_seen_again(key, now_s)
            if self._core.incarnations.is_outdated(report.facts):
                return None
            return state.LifeSeen(
                report.facts, is_restarted=self._is_restarted(report.facts)
            )
        life = self._core.jobs.lives[key]
        is_newest = self._is_newest(view, report)
        if is_newest:
            view.mark_reported(report.sequence, now_s)
            view.update_clock(report.clock_ms, now_s)
            if view.suspect_since_s is not None:
                self._core.poll_candidates.add(key)
            if report.facts.room != view.room:
                self._follow_room(view, report.facts.room)
        if report.is_draining and not life.is_draining:
            # That is final, so it also holds in a late report.
            view.is_draining = True
            return state.LifeDraining(key)
        stored = life.facts.room
        is_changed = not report.facts.room == stored == view.proposed_room
        if is_newest and is_changed:
            view.proposed_room = report.facts.room
            return state.LifeSeen(report.facts)
        return None

    def _is_restarted(self, facts: state.WorkerFacts) -> bool:
        """Tell whether a new incarnation had an earlier one with its name.

        One that reports again after it was declared over isn't a new one.
        """
        worker_id = facts.worker_id
        former_ms = self._core.jobs.ended_workers.get(worker_id, facts.born_ms)
        return former_ms != facts.born_ms or bool(
            self._core.incarnations.of_worker(worker_id)
        )

    def _log_seen_again(self, key: str, now_s: float) -> None:
        """Log that an incarnation reports that this leader declared over."""
        ended = self._core.ended_lives.find(key)
        if ended is not None:
            cause, over_at_s = ended
            self._core.log_decision(
                'life_seen_again',
                life=key,
                cause=cause,
                over_s_ago=round(now_s - over_at_s, 3),
            )

    def _is_newest(self, view: WorkerView, report: WorkerReport) -> bool:
        """Tell whether a report is newer than the others of its worker.

        A number that is far below the newest isn't a late report's. The
        newest one was implausible then, and would hide all that follow.
        """
        behind = view.sequence - report.sequence
        if behind > MAX_LATE_REPORTS:
            self._core.log_decision(
                'report_number_reset',
                life=view.key,
                former=view.sequence,
                number=report.sequence,
            )
            return True
        return behind < 0

    def _follow_room(self, view: WorkerView, room: state.Room) -> None:
        """Use the room that a worker reports from now on."""
        former = view.room
        view.change_room(room)
        self._core.is_plan_due = True
        self._core.log_decision(
            'worker_room_changed',
            life=view.key,
            former=_customer_limits.format_room(former),
            room=_customer_limits.format_room(room),
            free_millicores=view.free_cpu,
            runs=len(view.runs),
        )

    def handle_leave(self, worker_id: str, now_s: float) -> None:
        """Handle a worker's notice that it ends now, with all of its runs.

        The notice doesn't say which incarnation sent it, and a delayed one
        may arrive after a restart. So it counts only for an incarnation that
        has reported that it drains.
        """
        view = self._core.newest_incarnation(worker_id)
        if view is None or not view.is_draining:
            return
        view.left_at_s = now_s
        self._core.log_decision(
            'worker_left', life=view.key, runs=len(view.runs)
        )
