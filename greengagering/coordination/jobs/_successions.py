"""Which lives of workers are over: replaced, left, or past their lease."""

from greengagering.coordination.jobs._leader_core import LeaderCore
from greengagering.coordination.jobs._leader_core import ORDER_RETRY_S
from greengagering.coordination.jobs import _orders as orders
from greengagering.coordination.jobs import _worker_view as worker_view
from greengagering.coordination.jobs._worker_view import RunPhase
from greengagering.coordination.jobs._worker_view import WorkerView

REBIRTH_PAUSE_S = 0.6
"""Time after which no order that was sent to an earlier life of a worker can
reach the later one; just above the time-out of an order."""

LEAVE_GRACE_S = 1.0
"""Time from a worker's notice that it ends now until it has ended."""


class Successions:
    """Ends lives that are proved over, and keeps later ones apart."""

    def __init__(self, core: LeaderCore) -> None:
        self._core = core

    def succeed(
        self, view: WorkerView, other: WorkerView, now_s: float
    ) -> None:
        """Settle which of two lives at one name or address is the later."""
        older, newer = sorted((other, view), key=lambda v: v.facts.born_ms)
        older.successor = newer.key
        if older.facts.worker_id != newer.facts.worker_id:
            # Orders name the worker, and the newer one refuses them.
            self._core.end_life(older, 'address reused')
        elif not newer.is_read:
            newer.blocked_until_s = now_s + REBIRTH_PAUSE_S

    def note_other_life(self, view: WorkerView, now_s: float) -> None:
        """Another life answers where this one was."""
        self._core.suspect(view, now_s, 'other life')
        successor = self._core.workers.get(view.successor)
        if successor is not None:
            self._end_after(view, successor, now_s)

    def _end_replaced(self, view: WorkerView, now_s: float) -> None:
        successor = self._core.workers.get(view.successor)
        if successor is None or successor.is_over:
            newest = self._core.lives.newest(view.facts.worker_id)
            if newest is None or newest is view or newest.is_over:
                # Nothing of the successor runs any more either.
                self._core.end_life(view, 'reborn')
                return
            view.successor = newest.key
            view.is_poisoned = False
            successor = newest
        self._end_after(view, successor, now_s)

    def _end_after(
        self, view: WorkerView, successor: WorkerView, now_s: float
    ) -> None:
        """End a life once its successor holds none of its runs.

        Orders name the worker, and a later life under the same name may take
        them, so the later one must have been read, and have refused the runs
        whose orders are still open.
        """
        if not successor.is_read:
            return
        if not view.is_poisoned:
            view.is_poisoned = True
            for run in view.runs.values():
                if run.phase in (RunPhase.ORDERED, RunPhase.UNCERTAIN):
                    successor.poisons[run.key.name] = run.key
        if successor.poisons.keys() & view.runs.keys():
            self._order_poisons(successor, now_s)
        elif not successor.strays & view.runs.keys():
            self._core.end_life(view, 'reborn')

    def _order_poisons(self, successor: WorkerView, now_s: float) -> None:
        if now_s < successor.poisoned_at_s + ORDER_RETRY_S:
            return
        successor.poisoned_at_s = now_s
        for key in successor.poisons.values():
            self._core.orders.append(
                orders.StopOrder(successor.facts, key, self._core.fence)
            )

    def find_lapsed(self, now_s: float) -> None:
        for view in list(self._core.workers.values()):
            if view.is_over:
                continue
            if view.successor:
                self._end_replaced(view, now_s)
                continue
            if now_s >= view.left_at_s + LEAVE_GRACE_S:
                self._core.end_life(view, 'left')
                continue
            is_silent = view.suspect_since_s is not None or (
                now_s >= view.heard_at_s + worker_view.SILENCE_S
            )
            if not is_silent:
                continue
            if view.suspect_since_s is None and view.runs:
                continue
            if now_s >= view.lapse_at_s():
                self._core.end_life(view, 'lease lapsed')
