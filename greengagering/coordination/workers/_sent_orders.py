"""Orders that were sent and may still be carried out."""

import collections
from typing import Generic, TypeVar

from greengagering.coordination.workers._orders import LookOrder
from greengagering.coordination.workers._orders import StartOrder
from greengagering.coordination.workers._worker_view import MAX_ORDER_DELAY_S
from greengagering.coordination.workers._worker_view import MAX_SEND_DELAY_S

MAX_ORDER_AGE_S = MAX_SEND_DELAY_S + MAX_ORDER_DELAY_S
"""Longest time from the decision to send an order until it is carried out."""

Sent = TypeVar('Sent', bound=StartOrder | LookOrder)


class SentOrders(Generic[Sent]):
    """Sendings of orders without a final answer, by worker.

    Orders name the worker, so whichever process has its name carries them
    out. A sending therefore belongs to no incarnation and to no run of the
    leader's views: it counts until it is answered, or MAX_ORDER_AGE_S has
    passed.
    Noting and closing one takes the same time however many there are.
    """

    def __init__(self) -> None:
        # Each sending is an object of its own; the soonest to expire is first.
        self._open: collections.OrderedDict[int, tuple[float, Sent]] = (
            collections.OrderedDict()
        )
        self._by_worker: dict[str, dict[int, Sent]] = {}

    def __len__(self) -> int:
        return len(self._open)

    def clear(self) -> None:
        """Forget every sending."""
        self._open.clear()
        self._by_worker.clear()

    def note(self, order: Sent, now_s: float) -> None:
        """Note a sending, or that it is sent later than noted before."""
        number = id(order)
        self._open[number] = (now_s + MAX_ORDER_AGE_S, order)
        self._open.move_to_end(number)
        sent = self._by_worker.setdefault(order.life.worker_id, {})
        sent[number] = order
        self._forget_expired(now_s)

    def close(self, order: Sent) -> None:
        """Remove a sending that can't be carried out any more."""
        if self._open.pop(id(order), None) is not None:
            self._remove(order)

    def find(self, worker_id: str, now_s: float) -> list[Sent]:
        """Return the sendings that a worker may still carry out."""
        self._forget_expired(now_s)
        return list(self._by_worker.get(worker_id, {}).values())

    def last_until_s(self, worker_id: str, now_s: float) -> float | None:
        """Return until when one may be carried out, or None if none may."""
        found = self.find(worker_id, now_s)
        return max((self._open[id(order)][0] for order in found), default=None)

    def _forget_expired(self, now_s: float) -> None:
        while self._open:
            until_s, order = next(iter(self._open.values()))
            if now_s < until_s:
                break
            self.close(order)

    def _remove(self, order: Sent) -> None:
        worker_id = order.life.worker_id
        sent = self._by_worker[worker_id]
        del sent[id(order)]
        if not sent:
            del self._by_worker[worker_id]
