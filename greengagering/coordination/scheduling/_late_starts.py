"""Keeps starts that are carried out late from running beside later runs."""

from greengagering.coordination.scheduling._leader_core import LeaderCore
from greengagering.coordination.scheduling._leader_core import ORDER_RETRY_S
from greengagering.coordination.workers import Order
from greengagering.coordination.workers import OrderAnswer
from greengagering.coordination.workers import OrderOutcome
from greengagering.coordination.workers import StartOrder
from greengagering.coordination.workers import StopOrder
from greengagering.coordination.workers import WorkerView

LEASE_TAKEN = (
    OrderOutcome.DONE,
    OrderOutcome.OLD_RUN,
    OrderOutcome.NO_ROOM,
)
"""Outcomes of a start order whose lease the worker has taken, even where it
did not start the run."""


class LateStartGuard:
    """Notes what is sent, and has processes that are new here refuse it.

    A run may leave the leader's view, and its worker's incarnation may be
    over, while a sending of its start has no answer. A process that is seen
    under the worker's name after that, be it a later one or the same again,
    would carry it out, as it has neither run nor refused the run.
    """

    def __init__(self, core: LeaderCore) -> None:
        self._core = core

    def take_sendable(self, orders: list[Order], now_s: float) -> list[Order]:
        """Return the orders that may be sent, and note their starts.

        Orders wait while the leader has no lease. Meanwhile a run may have
        left the view, or its worker may have been replaced; its start would
        be carried out by the replacement. Or the worker may take no new run
        any more.
        """
        sendable: list[Order] = []
        for order in orders:
            if isinstance(order, StartOrder):
                if self._is_outdated(order, now_s):
                    continue
                self._core.sent_starts.note(order, now_s)
            sendable.append(order)
        return sendable

    def _is_outdated(self, order: StartOrder, now_s: float) -> bool:
        view = self._core.workers.get(order.life.key)
        run = view.runs.get(order.key.name) if view is not None else None
        if view is not None and run is not None:
            is_ending = view.is_over or bool(view.successor)
            is_gone = is_ending or run.is_stopping
            if not (is_gone or self._core.withdraw_start(view, run, now_s)):
                return False
            run.starts_under_way -= 1
        self._core.log_decision(
            'start_dropped', run=order.key.name, life=order.life.key
        )
        return True

    def close_answered(
        self,
        order: Order,
        answer: OrderAnswer,
        view: WorkerView | None,
        now_s: float,
    ) -> None:
        """Forget a sending that is answered, unless by another incarnation.

        Any answer but DONE proves that it is not carried out. DONE may be the
        answer of an incarnation that isn't known yet, which then has the run.

        Args:
            order: the order.
            answer: the outcome.
            view: the incarnation that it was sent to, or None if it is over.
            now_s: the leader's clock.
        """
        outcome = answer.outcome
        if outcome is OrderOutcome.NO_ANSWER:
            return
        is_foreign = view is None or view.is_clock_foreign(
            answer.clock_ms, now_s
        )
        is_start = isinstance(order, StartOrder)
        if is_start and is_foreign and outcome in LEASE_TAKEN:
            self._core.note_mixed_grant(order.life.worker_id, now_s)
        if outcome is OrderOutcome.DONE and is_foreign:
            return
        self.close(order)

    def close(self, order: Order) -> None:
        """Forget a sending that is not carried out, or has been."""
        if isinstance(order, StartOrder):
            self._core.sent_starts.close(order)

    def refuse_late_starts(self, view: WorkerView, now_s: float) -> None:
        """Order a process that is new here to refuse what it may still get.

        It gets no run before it has confirmed that. Runs that an earlier
        incarnation still has are refused as well: they are lost with it.
        """
        worker_id = view.facts.worker_id
        for sent in (self._core.sent_starts, self._core.sent_grants):
            until_s = sent.last_until_s(worker_id, now_s)
            if until_s is not None:
                # A refused start extends the lease as well.
                view.raise_lease_end(until_s)
        mixed_at_s = self._core.mixed_grants.find(worker_id)
        if mixed_at_s is not None:
            view.raise_lease_end(mixed_at_s)
        late = self._core.sent_starts.find(worker_id, now_s)
        if not late:
            return
        for order in late:
            view.blocked_runs[order.key.name] = order.key
        self._core.log_decision(
            'late_starts_blocked',
            life=view.key,
            former=late[-1].life.key,
            runs=len(view.blocked_runs),
        )
        self._order_blocks(view, now_s)

    def repeat_blocks(self, now_s: float) -> None:
        """Repeat the orders to refuse runs that are not confirmed yet."""
        for view in self._core.workers.values():
            if view.blocked_runs and not (view.is_over or view.successor):
                self._order_blocks(view, now_s)

    def _order_blocks(self, view: WorkerView, now_s: float) -> None:
        """Order a worker to refuse its blocked runs, by stopping them."""
        if now_s < view.blocks_sent_at_s + ORDER_RETRY_S:
            return
        view.blocks_sent_at_s = now_s
        self._core.orders += [
            StopOrder(view.facts, key, view.fence)
            for key in view.blocked_runs.values()
        ]
