"""Priority queue of the waiting calls of one service."""

import collections
import heapq

from greengagering.coordination.entries._call_model import Call
from greengagering.coordination.entries._call_model import CallClass

PATIENT_INTERVAL = 8
"""One slot in this many goes to a patient call while both classes wait."""


class CallQueue:
    """Urgent calls first; within a class, the earliest deadline first.

    A fixed share of the slots goes to patient calls, so that a long burst of
    urgent calls can't starve them.
    """

    def __init__(self) -> None:
        self._heaps: dict[CallClass, list[tuple[float, int, Call]]] = {
            CallClass.URGENT: [],
            CallClass.PATIENT: [],
        }
        self._waiting: collections.Counter[CallClass] = collections.Counter()
        self._pushes = 0
        self._consecutive_urgent = 0

    def __len__(self) -> int:
        return self._waiting.total()

    def waiting(self, call_class: CallClass) -> int:
        """Return how many calls of a class wait."""
        return self._waiting[call_class]

    def push(self, call: Call) -> None:
        """Add a call."""
        self._pushes += 1
        call.is_waiting = True
        heap = self._heaps[call.call_class]
        heapq.heappush(heap, (call.deadline_s, self._pushes, call))
        self._waiting[call.call_class] += 1

    def pop(self) -> Call | None:
        """Remove and return the call that is served next, or None."""
        call_class = self._next_class()
        call = self._pop_class(call_class)
        if call is None:
            return None
        if call_class is CallClass.URGENT:
            self._consecutive_urgent += 1
        else:
            self._consecutive_urgent = 0
        return call

    def remove(self, call: Call) -> bool:
        """Remove a call; return False if it wasn't waiting."""
        if not call.is_waiting:
            return False
        call.is_waiting = False
        self._waiting[call.call_class] -= 1
        # The heap entry stays until it is popped; pop skips it.
        return True

    def expire(self, now_s: float) -> list[Call]:
        """Remove and return the calls whose deadline has passed."""
        expired = []
        for heap in self._heaps.values():
            while heap and (heap[0][0] <= now_s or not heap[0][2].is_waiting):
                call = heapq.heappop(heap)[2]
                if self.remove(call):
                    expired.append(call)
        return expired

    def _next_class(self) -> CallClass:
        is_patient_due = self._consecutive_urgent >= PATIENT_INTERVAL - 1
        if self._waiting[CallClass.PATIENT] and (
            is_patient_due or not self._waiting[CallClass.URGENT]
        ):
            return CallClass.PATIENT
        return CallClass.URGENT

    def _pop_class(self, call_class: CallClass) -> Call | None:
        heap = self._heaps[call_class]
        while heap:
            call = heapq.heappop(heap)[2]
            if self.remove(call):
                return call
        return None
