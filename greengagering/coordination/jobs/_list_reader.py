"""Looks at workers, and what their lists of runs and ends say."""

from greengagering.coordination.jobs._leader_core import LeaderCore
from greengagering.coordination.jobs._leader_core import to_ms
from greengagering.coordination.jobs import _orders as orders
from greengagering.coordination.jobs import _sharing
from greengagering.coordination.jobs._successions import Successions
from greengagering.coordination.jobs import _worker_view as worker_view
from greengagering.coordination.jobs._worker_view import RunPhase
from greengagering.coordination.jobs._worker_view import RunView
from greengagering.coordination.jobs._worker_view import WorkerView
from greengagering import state

EARLY_FAILURE_S = 1.0
"""Run time of a lasting task below which its failure tells of the worker."""

LOOK_SPACING_S = 0.08
"""Time from a worker's listed end to the next look at it while nothing waits
for room there, so that ends close together share a look."""

STOP_GRACE_S = 1.0
"""Time in which a stopped run must have ended; workers take 0.9 s at most."""


class ListReader:
    """Decides when a worker is looked at, and takes its lists.

    Attributes:
        ending_counts: ends of runs, by how they ended.
    """

    def __init__(self, core: LeaderCore, successions: Successions) -> None:
        self.ending_counts: dict[str, int] = {}
        self._core = core
        self._successions = successions
        self._spaced_looks: dict[str, float] = {}

    def clear(self) -> None:
        """Forget which looks were put off."""
        self._spaced_looks.clear()

    def next_look(
        self, life_key: str, now_s: float
    ) -> orders.LookOrder | None:
        """Return the next look at a worker, or None while none is needed.

        A look that waits grants nothing: unanswered, it would leave open
        until when the worker may go on.
        """
        view = self._core.workers.get(life_key)
        life = self._core.jobs.lives.get(life_key)
        if view is None or life is None or not self._core.is_leading:
            return None
        if view.successor or view.is_over:
            return None
        if not view.is_read and now_s < view.blocked_until_s:
            return None
        if view.proposed_end > life.noted_end:
            return None
        if now_s < self._spaced_looks.get(life_key, now_s):
            return None
        is_idle = not (view.runs or view.strays)
        if view.is_read and is_idle and view.suspect_since_s is None:
            return None
        until_ms = 0
        clock_ms = view.clock_ms(now_s)
        is_sound = view.is_read and view.suspect_since_s is None
        is_grant_due = (
            now_s >= view.granted_at_s + worker_view.GRANT_INTERVAL_S
        )
        if is_sound and is_grant_due and clock_ms is not None:
            until_ms = clock_ms + to_ms(worker_view.LEASE_S)
        wait_ms = 0
        if is_sound and not (until_ms or view.is_list_due):
            wait_s = worker_view.LOOK_WAIT_S
            if _sharing.is_shared(view):
                wait_s = _sharing.LOOK_S
            wait_ms = to_ms(wait_s)
        # A later life under the same name would take the number for one of
        # its own ends, so it is sent only while this life answers.
        noted_end = life.noted_end if is_sound else 0
        return orders.LookOrder(
            view.facts, self._core.fence, noted_end, until_ms, wait_ms
        )

    def begin_look(self, order: orders.LookOrder, now_s: float) -> int:
        """Note that a look is on its way; return the number of its grant."""
        view = self._core.workers.get(order.life.key)
        if view is None or not order.until_ms:
            return 0
        return view.begin_grant(now_s)

    def note_look(
        self,
        order: orders.LookOrder,
        grant: int,
        answer: orders.LookAnswer,
        sent_at_s: float,
        now_s: float,
    ) -> None:
        """Take a worker's lists, or the lack of them."""
        view = self._core.workers.get(order.life.key)
        if view is None or order.fence != self._core.fence:
            return
        if answer.outcome is orders.OrderOutcome.NOT_SENT:
            view.withdraw_grant(grant)
            return
        is_read = answer.outcome is orders.OrderOutcome.DONE
        if grant and answer.outcome is not orders.OrderOutcome.NO_ANSWER:
            view.settle_grant(grant, now_s, is_carried_out=is_read)
        if not is_read:
            self._note_unread(view, answer, now_s)
            return
        if answer.born_ms not in (None, view.facts.born_ms):
            self._successions.note_other_life(view, now_s)
            return
        if view.suspect_since_s is not None:
            self._core.decide('worker_regained', life=view.key)
        if view.left_at_s < sent_at_s:
            # It answers a look that was sent after the notice, which was an
            # earlier life's.
            view.left_at_s = float('inf')
            self._core.decide('leave_outdated', life=view.key)
        is_first = not view.is_read
        view.is_list_due = False
        view.listed_clock_ms = answer.clock_ms
        view.note_clock(answer.clock_ms, now_s)
        view.note_read(now_s)
        if is_first:
            self._core.decide(
                'worker_read',
                life=view.key,
                service=view.facts.service,
                running=len(answer.running),
                ended=len(answer.ended),
            )
        self._space_looks(view, answer, now_s)
        self._take_ends(view, answer, now_s)
        self._match_runs(view, answer, sent_at_s, now_s)
        self._core.orders += _sharing.find_paces(view, self._core.fence)
        self._core.is_plan_due = True

    def _space_looks(
        self, view: WorkerView, answer: orders.LookAnswer, now_s: float
    ) -> None:
        """Put the next look off, unless room that it finds is waited for."""
        is_waited_for = view.facts.service in self._core.short_services
        if answer.ended and not is_waited_for:
            self._spaced_looks[view.key] = now_s + LOOK_SPACING_S

    def wake_spaced(self, now_s: float) -> None:
        due = [k for k, at_s in self._spaced_looks.items() if at_s <= now_s]
        for key in due:
            del self._spaced_looks[key]
            self._core.woken.add(key)

    def _note_unread(
        self, view: WorkerView, answer: orders.LookAnswer, now_s: float
    ) -> None:
        kinds = orders.OrderOutcome
        if answer.outcome is kinds.OTHER_LIFE:
            self._successions.note_other_life(view, now_s)
        elif answer.outcome is kinds.FENCED:
            self._core.decide('fenced', life=view.key, fence=self._core.fence)
            view.note_missed(now_s)
        else:
            self._core.suspect(view, now_s, 'look')

    def _take_ends(
        self, view: WorkerView, answer: orders.LookAnswer, now_s: float
    ) -> None:
        fresh = [e for e in answer.ended if e.number > view.proposed_end]
        if not fresh:
            return
        view.proposed_end = fresh[-1].number
        self._core.proposals.append(state.EndsNoted(view.key, tuple(fresh)))
        for end in fresh:
            # The worker lists an end once its room is free.
            run = view.remove_run(end.key.name)
            self._note_ending(view, run, end, now_s)

    def _note_ending(
        self,
        view: WorkerView,
        run: RunView | None,
        end: state.RunEnd,
        now_s: float,
    ) -> None:
        ending = str(end.ending)
        self.ending_counts[ending] = self.ending_counts.get(ending, 0) + 1
        ran_s = view.ran_s(run) if run is not None else None
        if end.ending is state.RunEnding.DONE:
            view.note_success(_run_ratio(run, ran_s))
            work = self._core.index.find(end.key)
            if work is not None and ran_s is not None:
                work.run_times_s.append(ran_s)
            return
        self._core.decide(
            'run_ended',
            run=end.key.name,
            life=view.key,
            ending=str(end.ending),
            ran_s=round(ran_s, 3) if ran_s is not None else None,
        )
        if end.ending is state.RunEnding.FAILED:
            is_early = ran_s is None or ran_s < EARLY_FAILURE_S
            if run is None or is_early or not run.step.is_lasting:
                view.note_failure(now_s)
            work = self._core.index.find(end.key)
            if work is not None:
                index = int(end.key.task.rpartition('.')[2])
                work.failed_at.setdefault(index, set()).add(view.key)

    def _match_runs(
        self,
        view: WorkerView,
        answer: orders.LookAnswer,
        sent_at_s: float,
        now_s: float,
    ) -> None:
        """Compare what runs with what was allotted."""
        listed = {item.key.name: item for item in answer.running}
        view.strays = frozenset(listed.keys() - view.runs.keys())
        for name, item in listed.items():
            run = view.runs.get(name)
            if run is None:
                self._stop_stray(view, item)
                continue
            run.is_listed = True
            run.percent = item.percent
            run.figure = item.figure
            run.saved = item.saved
            if run.phase in (RunPhase.ORDERED, RunPhase.UNCERTAIN):
                run.phase = RunPhase.RUNNING
                run.phase_at_s = now_s
                run.started_at_s = now_s
                run.started_clock_ms = answer.clock_ms
                self._stop_if_unwanted(view, run, now_s)
        if not answer.is_complete:
            return
        for run in list(view.runs.values()):
            grace_s = STOP_GRACE_S if run.phase is RunPhase.STOPPED else 0.0
            if run.key.name in listed or run.phase_at_s + grace_s >= sent_at_s:
                continue
            is_settled = run.phase in (RunPhase.RUNNING, RunPhase.STOPPED)
            is_of_former_leader = (
                run.phase is RunPhase.UNCERTAIN and run.tries == 0
            )
            if is_settled or is_of_former_leader:
                # Neither runs nor ended, and can't begin any more.
                self._core.decide(
                    'run_absent', run=run.key.name, life=view.key
                )
                self._core.void(view, run)

    def _stop_stray(self, view: WorkerView, item: orders.ListedRun) -> None:
        self._core.decide('run_stray', run=item.key.name, life=view.key)
        self._core.orders.append(
            orders.StopOrder(view.facts, item.key, self._core.fence)
        )

    def _stop_if_unwanted(
        self, view: WorkerView, run: RunView, now_s: float
    ) -> None:
        job = self._core.jobs.jobs.get(run.key.job_id)
        if job is None or job.status is not state.JobStatus.ACTIVE:
            self._core.stop_run(view, run, now_s)


def _run_ratio(run: RunView | None, ran_s: float | None) -> float | None:
    """Return run time over estimate; saved progress hides the rest."""
    if run is None or ran_s is None or run.step.is_lasting:
        return None
    if run.step.estimate_s <= 0 or run.key.run > 1:
        return None
    return ran_s / run.step.estimate_s
