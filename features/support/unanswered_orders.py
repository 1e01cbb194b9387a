"""Orders and polls that get no answer and are carried out seconds later."""

from collections.abc import Callable
import dataclasses
import heapq
import itertools
import random

from features.support.demand_workers import Worker
from greengagering import coordination
from greengagering.platform import _worker_calls
from greengagering import state
from greengagering.transport import _limited_client

ANSWER_S = 0.004
"""Time from an order until its answer."""

ORDER_TIMEOUT_S = _worker_calls.ORDER_TIMEOUT_S
"""Time after which the leader takes an order for unanswered; for a poll, from
the end of its wait."""

ORDERS_PER_WORKER = _limited_client.MAX_ORDERS_PER_WORKER
MAX_WAIT_S = _limited_client.MAX_WAIT_S
SLOT_HOLD_S = _limited_client.SLOT_HOLD_S

MIN_LATE_S = 2.0
MAX_LATE_S = 12.0
"""Shortest and longest time after which an order without an answer is carried
out."""

AnyOrder = coordination.Order | coordination.LookOrder


@dataclasses.dataclass(frozen=True)
class OrderLoss:
    """A time in which orders and polls get no answer, and take effect late.

    Attributes:
        share: share of the orders and polls to the workers concerned.
        worker_share: share of the workers that are concerned.
        start_s: when it begins, counted from the first jobs.
        length_s: how long it lasts.
        polls_only: whether only polls are concerned, and no orders.
    """

    share: float
    worker_share: float = 1.0
    start_s: float = 0.0
    length_s: float = float('inf')
    polls_only: bool = False


class LossDraw:
    """Draws which orders get no answer, and when they are carried out."""

    def __init__(
        self, losses: tuple[OrderLoss, ...], first_s: float, seed: int
    ) -> None:
        self.is_lossy = bool(losses)
        self._losses = losses
        self._first_s = first_s
        self._rng = random.Random(f'losses of {seed}')  # noqa: S311
        self._seed = seed

    def late_s(self, order: AnyOrder, now_s: float) -> float | None:
        """Return how late an order is carried out, or None if at once."""
        for number, loss in enumerate(self._losses):
            ends_s = self._first_s + loss.start_s + loss.length_s
            if not self._first_s + loss.start_s <= now_s < ends_s:
                continue
            is_poll = isinstance(order, coordination.LookOrder)
            if loss.polls_only and not is_poll:
                continue
            worker_id = order.life.worker_id
            draw = random.Random(  # noqa: S311
                f'{worker_id} in {number} of {self._seed}'
            )
            is_concerned = draw.random() < loss.worker_share
            if is_concerned and self._rng.random() < loss.share:
                return self._rng.uniform(MIN_LATE_S, MAX_LATE_S)
        return None


class LateOrders:
    """Orders and polls without an answer, until they are carried out.

    Each is carried out at most once.
    """

    def __init__(self) -> None:
        self._numbers = itertools.count()
        self._waiting: list[tuple[float, int, AnyOrder]] = []

    def add(self, order: AnyOrder, at_s: float) -> None:
        """Add an order that is carried out at a time."""
        heapq.heappush(self._waiting, (at_s, next(self._numbers), order))

    def take_due(self, now_s: float) -> list[AnyOrder]:
        """Return and remove the orders that are carried out now."""
        due = []
        while self._waiting and self._waiting[0][0] <= now_s:
            due.append(heapq.heappop(self._waiting)[2])
        return due


@dataclasses.dataclass
class WaitingOrder:
    """An order that waits for one of its worker's slots."""

    order: coordination.Order
    since_s: float


class OrderSlots:
    """Limits the orders to one worker that are not answered yet.

    It stands for LimitedClient, which runs on an event loop.
    """

    def __init__(self) -> None:
        # When held slots become free, with their orders.
        self._held: dict[str, list[tuple[float, coordination.Order]]] = {}
        self._waiting: dict[str, list[WaitingOrder]] = {}

    def add(self, order: coordination.Order, now_s: float) -> None:
        """Add an order that is to be sent."""
        waiting = self._waiting.setdefault(order.life.key, [])
        waiting.append(WaitingOrder(order, now_s))

    def free(self, order: coordination.Order) -> None:
        """Free the slot of an order that is answered, if it holds one."""
        held = self._held.get(order.life.key, [])
        for item in held:
            if item[1] is order:
                held.remove(item)
                return

    def take_sendable(
        self, now_s: float
    ) -> tuple[list[coordination.Order], list[coordination.Order]]:
        """Return and remove the orders to send now, and those to drop."""
        sendable: list[coordination.Order] = []
        dropped: list[coordination.Order] = []
        for key, waiting in self._waiting.items():
            held = self._held.setdefault(key, [])
            held[:] = [item for item in held if item[0] > now_s]
            while waiting and len(held) < ORDERS_PER_WORKER:
                item = waiting.pop(0)
                if now_s > item.since_s + MAX_WAIT_S:
                    dropped.append(item.order)
                    continue
                held.append((now_s + SLOT_HOLD_S, item.order))
                sendable.append(item.order)
        return sendable, dropped


@dataclasses.dataclass
class _SentOrder:
    order: coordination.Order
    sent_at_s: float
    answered_at_s: float
    grant: int = 0
    is_lost: bool = False


@dataclasses.dataclass
class _SentPoll:
    order: coordination.LookOrder
    sent_at_s: float
    grant: int
    is_lost: bool = False


class OrderTransit:
    """Carries the leader's orders and polls to the simulated workers.

    Attributes:
        poll_count: number of polls that were sent.
        twice_count: number of starts of a task that ran on another worker.
        unsent_count: number of orders that were dropped for want of a slot.
    """

    def __init__(
        self,
        scheduler: coordination.JobScheduler,
        workers: dict[str, Worker],
        run_s: Callable[[state.RunKey], float],
        draw: LossDraw,
    ) -> None:
        self.poll_count = 0
        self.twice_count = 0
        self.unsent_count = 0
        self._scheduler = scheduler
        self._workers = workers
        self._run_s = run_s
        self._draw = draw
        self._late = LateOrders()
        self._slots = OrderSlots()
        self._orders: list[_SentOrder] = []
        self._polls: dict[str, list[_SentPoll]] = {}
        self._woken: set[str] = set()

    def clear(self) -> None:
        """Lose the orders in transit, and the answers."""
        self._slots = OrderSlots()
        self._orders.clear()
        self._polls.clear()

    def send_orders(self, now_s: float) -> None:
        """Send the orders that the leader has given."""
        orders = self._scheduler.take_orders()
        if self._draw.is_lossy:
            for order in orders:
                self._slots.add(order, now_s)
            orders, dropped = self._slots.take_sendable(now_s)
            self.unsent_count += len(dropped)
            for order in dropped:
                self._scheduler.handle_unsent_order(order, now_s)
        for order in orders:
            self._orders.append(self._send_order(order, now_s))

    def _send_order(
        self, order: coordination.Order, now_s: float
    ) -> _SentOrder:
        late_s = self._draw.late_s(order, now_s)
        if late_s is None:
            return _SentOrder(order, now_s, now_s + ANSWER_S)
        self._late.add(order, now_s + late_s)
        grant = 0
        if isinstance(order, coordination.StartOrder):
            grant = self._scheduler.open_start_grant(order, now_s)
        timeout_s = now_s + ORDER_TIMEOUT_S
        return _SentOrder(order, now_s, timeout_s, grant, is_lost=True)

    def answer_orders(self, now_s: float) -> None:
        """Carry out the orders that are due, and give the answers."""
        for late in self._late.take_due(now_s):
            worker = self._workers.get(late.life.worker_id)
            if worker is None:
                continue
            if isinstance(late, coordination.LookOrder):
                worker.take_poll(late, now_s)
            else:
                self._carry_out(worker, late, now_s)
        due = [sent for sent in self._orders if sent.answered_at_s <= now_s]
        self._orders = [s for s in self._orders if s.answered_at_s > now_s]
        for sent in due:
            if self._draw.is_lossy:
                self._slots.free(sent.order)
            self._answer_order(sent, now_s)

    def _answer_order(self, sent: _SentOrder, now_s: float) -> None:
        order, grant = sent.order, sent.grant
        worker = self._workers.get(order.life.worker_id)
        outcome = coordination.OrderOutcome.NO_ANSWER
        if worker is not None and not sent.is_lost:
            outcome = self._carry_out(worker, order, now_s)
            if isinstance(order, coordination.StartOrder):
                grant = self._scheduler.open_start_grant(order, now_s)
        answer = coordination.OrderAnswer(outcome, int(now_s * 1000))
        self._scheduler.handle_order_answer(
            order, grant, answer, now_s, sent.sent_at_s
        )

    def _carry_out(
        self, worker: Worker, order: coordination.Order, now_s: float
    ) -> coordination.OrderOutcome:
        if isinstance(order, coordination.StopOrder):
            return worker.stop(order)
        if not isinstance(order, coordination.StartOrder):
            return coordination.OrderOutcome.DONE
        name = order.key.task_name
        former = worker.runs.get(name)
        outcome = worker.start(order, self._run_s(order.key), now_s)
        if worker.runs.get(name) is not former:
            self.twice_count += any(
                name in other.runs
                for other in self._workers.values()
                if other is not worker
            )
        return outcome

    def send_polls(self, now_s: float) -> None:
        """Send the polls that are due, as OrderRunner does."""
        woken, self._woken = self._woken, set()
        if self._draw.is_lossy:
            woken |= self._scheduler.take_poll_candidates()
        for life_key in list(self._scheduler.workers):
            if self._polls.get(life_key) and life_key not in woken:
                continue
            poll = self._scheduler.next_poll(life_key, now_s)
            if poll is not None:
                sent = self._send_poll(poll, now_s)
                self._polls.setdefault(life_key, []).append(sent)

    def _send_poll(
        self, poll: coordination.LookOrder, now_s: float
    ) -> _SentPoll:
        self.poll_count += 1
        grant = self._scheduler.open_poll_grant(poll, now_s)
        late_s = self._draw.late_s(poll, now_s)
        if late_s is not None:
            self._late.add(poll, now_s + late_s)
        return _SentPoll(poll, now_s, grant, is_lost=late_s is not None)

    def answer_polls(self, now_s: float) -> None:
        """Give the answers to polls that are due."""
        for life_key, polls in list(self._polls.items()):
            for sent in list(polls):
                answer = self._find_answer(sent, now_s)
                if answer is None:
                    continue
                polls.remove(sent)
                self._woken.add(life_key)
                self._scheduler.handle_poll_answer(
                    sent.order, sent.grant, answer, sent.sent_at_s, now_s
                )

    def _find_answer(
        self, sent: _SentPoll, now_s: float
    ) -> coordination.LookAnswer | None:
        """Return the answer to a poll, or None if it isn't due yet."""
        worker = self._workers.get(sent.order.life.worker_id)
        waits_until_s = sent.sent_at_s + sent.order.wait_ms / 1000
        if sent.is_lost and now_s < waits_until_s + ORDER_TIMEOUT_S:
            return None
        if worker is None or sent.is_lost:
            return coordination.LookAnswer(coordination.OrderOutcome.NO_ANSWER)
        worker.take_poll(sent.order, now_s)
        if not worker.ended and now_s < waits_until_s:
            return None
        return worker.list_runs(now_s)
