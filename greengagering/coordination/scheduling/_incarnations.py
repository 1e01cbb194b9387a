"""Declares workers' incarnations over: replaced, left or lease expired."""

from greengagering.coordination.scheduling._leader_core import LeaderCore
from greengagering.coordination.workers import SILENCE_S
from greengagering.coordination.workers import WorkerView
from greengagering import state

RESTART_PAUSE_S = 0.6
"""Time without polls and orders for a restarted worker; just above the timeout
of an order, so that an order that the leader itself sent to the earlier
incarnation before has been answered or has timed out. It may still be carried
out later, within MAX_ORDER_DELAY_S: blocked_runs and the lease that mark_read
assumes allow for that."""

LEAVE_GRACE_S = 1.0
"""Time after a worker's notice to leave by which its process has ended, if the
worker got the acknowledgement; without one it goes on for some seconds."""


class IncarnationTracker:
    """Declares incarnations over once nothing of them can run any more."""

    def __init__(self, core: LeaderCore) -> None:
        self._core = core

    def mark_replaced(
        self, view: WorkerView, other: WorkerView, now_s: float
    ) -> None:
        """Mark the earlier of two incarnations as replaced by the later.

        A report alone doesn't prove that another worker has taken an address,
        so the earlier one is polled then, and goes on until end_displaced.

        Args:
            view: an incarnation.
            other: another one with the same name or address.
            now_s: the leader's clock.
        """
        older, newer = sorted((other, view), key=lambda v: v.facts.born_ms)
        if older.facts.worker_id != newer.facts.worker_id:
            older.is_list_due = True
            self._core.poll_candidates.add(older.key)
            return
        older.successor = newer.key
        if not newer.is_read:
            newer.paused_until_s = now_s + RESTART_PAUSE_S

    def end_displaced(self, view: WorkerView) -> None:
        """Declare over the earlier workers at the address of `view`.

        `view` has answered a poll there. Orders name their worker, so it
        refuses those that were meant for the earlier ones.
        """
        facts = view.facts
        for other in self._core.incarnations.related(facts):
            if (
                other.facts.worker_id != facts.worker_id
                and other.facts.address == facts.address
                and other.facts.born_ms < facts.born_ms
            ):
                self._core.declare_over(other, 'address reused', is_crash=True)

    def handle_other_incarnation(self, view: WorkerView, now_s: float) -> None:
        """Handle an answer that is, or may be, another incarnation's.

        An answer whose clock lags behind may be this one's own, delayed.
        """
        self._core.mark_suspect(view, now_s, 'other life')
        successor = self._core.workers.get(view.successor)
        if successor is not None:
            self._end_if_successor_has_no_runs(view, successor)

    def _end_left(self, view: WorkerView, now_s: float) -> None:
        """Declare a worker over that has left, once its end is proved.

        One without runs may go on, too: it would list ends again that were
        counted, or run what was meant for an incarnation that it replaced.
        """
        if view.is_gone:
            self._core.declare_over(view, 'left')
        elif view.runs and view.suspect_since_s is None:
            # A poll that was sent before the notice may still wait there.
            view.is_list_due = True
            self._core.poll_candidates.add(view.key)
        elif now_s >= view.lease_ends_at_s():
            self._core.declare_over(view, state.LEASE_LAPSED)

    def _end_replaced(self, view: WorkerView) -> None:
        successor = self._core.workers.get(view.successor)
        if successor is None or successor.is_over:
            newest = self._core.incarnations.newest(view.facts.worker_id)
            if newest is None or newest is view or newest.is_over:
                # Nothing of the successor can run any more either.
                self._core.declare_over(view, 'reborn', is_crash=True)
                return
            view.successor = newest.key
            successor = newest
        self._end_if_successor_has_no_runs(view, successor)

    def _end_if_successor_has_no_runs(
        self, view: WorkerView, successor: WorkerView
    ) -> None:
        """Declare `view` over once `successor` has none of its runs.

        Orders name the worker, so a later incarnation under the same name may
        accept those that were meant for this one. Therefore the lists of the
        later one must have been read, and it must have confirmed that it
        refuses the runs of which a start order may still arrive. Lists that
        are asked for after that must lack these runs. From the first poll on
        it refuses what former leaders sent.
        """
        may_have_runs = (
            not successor.is_read
            or successor.blocked_runs
            or successor.may_stop_unlisted
            or successor.unassigned & view.runs.keys()
        )
        if not may_have_runs:
            self._core.declare_over(view, 'reborn', is_crash=True)

    def end_incarnations(self, now_s: float) -> None:
        """Declare over what was replaced, has left or has no lease left."""
        for view in list(self._core.workers.values()):
            if view.is_over:
                continue
            if view.successor:
                self._end_replaced(view)
                continue
            if now_s >= view.left_at_s + LEAVE_GRACE_S:
                self._end_left(view, now_s)
                continue
            is_silent = view.suspect_since_s is not None or (
                now_s >= view.heard_at_s + SILENCE_S
            )
            if not is_silent:
                continue
            if view.suspect_since_s is None and view.runs:
                # A worker with runs is polled; a poll that fails makes it
                # suspect.
                continue
            if now_s >= view.lease_ends_at_s():
                self._core.declare_over(view, state.LEASE_LAPSED)
