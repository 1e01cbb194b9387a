"""Assignment of calls to upstreams, and queues of the calls that wait."""

import dataclasses
from typing import Protocol
from typing import TypeVar

from result import Err
from result import Ok
from result import Result

from greengagering.coordination.entries._call_model import Assignment
from greengagering.coordination.entries._call_model import AttemptOutcome
from greengagering.coordination.entries._call_model import Call
from greengagering.coordination.entries._call_model import CallRefusal
from greengagering.coordination.entries._call_model import RefusalReason
from greengagering.coordination.entries._call_model import Target
from greengagering.coordination.entries._call_queue import CallQueue
from greengagering.coordination.entries._entry_messages import Upstream
from greengagering.coordination.entries._entry_messages import UpstreamState
from greengagering.coordination.entries._upstream_load import UpstreamLoad
from greengagering.coordination.entries._upstream_table import UpstreamTable
from greengagering import state

Item = TypeVar('Item')
SERVICE_TIME_WEIGHT = 0.1
"""Weight of a new sample in the moving averages of ServiceTimes."""

RETRY_AFTER_S = 1.0
"""Shortest time after which a caller with a refused call may retry."""

RANDOM_PAIR_TRIES = 3
"""Random pairs tried before every upstream of a service is examined."""


class ChoiceSource(Protocol):
    """Source of random choices."""

    def sample(self, population: list[Item], k: int) -> list[Item]:
        """Return k distinct members."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchOptions:
    """Limits of the dispatcher.

    Attributes:
        max_queued_calls: most calls that may wait for one service.
    """

    max_queued_calls: int = 2000


@dataclasses.dataclass(slots=True)
class ServiceTimes:
    """Moving averages of one service, to estimate how long a call waits.

    Attributes:
        run_s: mean time that a call holds a slot.
        dequeue_interval_s: mean time between two calls that leave the queue
            while it is not empty.
        dequeued_at_s: when a call last left the queue, or None if the queue
            has been empty since.
    """

    run_s: float = 0.0
    dequeue_interval_s: float = 0.0
    dequeued_at_s: float | None = None


class Dispatcher:
    """Chooses the less loaded of two random upstreams that serve a service."""

    def __init__(
        self,
        table: UpstreamTable,
        random: ChoiceSource,
        options: DispatchOptions | None = None,
    ) -> None:
        self.options = options or DispatchOptions()
        self._table = table
        self._random = random
        self._loads: dict[str, UpstreamLoad] = {}
        self._queues: dict[str, CallQueue] = {}
        self._times: dict[str, ServiceTimes] = {}
        self._serving: dict[str, list[Upstream]] = {}

    def rebuild(self, fleet: state.FleetState) -> None:
        """Recompute which upstreams serve each service."""
        self._serving = {pool.service: [] for pool in fleet.pools.values()}
        for vm in fleet.vms.values():
            upstream = self._table.get(vm.name)
            if upstream is not None and _is_serving(vm, upstream):
                service = fleet.pools[vm.pool].service
                self._serving[service].append(upstream)
                self._ensure_load(upstream)

    def submit(
        self, call: Call, now_s: float
    ) -> Result[Assignment | None, CallRefusal]:
        """Assign a slot to a call, queue it, or refuse it.

        Returns:
            The assignment, None for a queued call, or the refusal.
        """
        if call.service not in self._serving:
            return Err(CallRefusal(RefusalReason.UNKNOWN_SERVICE))
        if now_s >= call.deadline_s:
            return Err(CallRefusal(RefusalReason.DEADLINE_PASSED))
        queue = self._queue(call.service)
        if not len(queue):
            target = self._choose(call, now_s)
            if target is not None:
                return Ok(self._assign(call, target))
        refusal = self._find_refusal(call, queue, now_s)
        if refusal is not None:
            return Err(refusal)
        queue.push(call)
        return Ok(None)

    def release(
        self,
        call: Call,
        target: Target,
        outcome: AttemptOutcome,
        run_s: float,
        now_s: float,
    ) -> None:
        """Free the slot of an ended attempt, and record its outcome."""
        load = self._loads.get(target.vm)
        if load is None or load.boot_id != target.boot_id:
            return
        load.in_flight_count -= 1
        match outcome:
            case AttemptOutcome.ANSWERED:
                load.record_answer()
                self._record_run_time(call.service, run_s)
            case AttemptOutcome.FULL:
                load.record_full(now_s)
                call.avoided_vms.add(target.vm)
            case AttemptOutcome.FAILED:
                load.record_failure(now_s)
                call.avoided_vms.add(target.vm)
            case AttemptOutcome.ABANDONED:
                pass

    def assign_waiting(self, now_s: float) -> list[Assignment]:
        """Assign free slots to waiting calls."""
        assignments = []
        for service, queue in self._queues.items():
            while len(queue):
                if not self._has_open_upstream(service, now_s):
                    break
                call = queue.pop()
                assert call is not None
                # A call that has failed at every open upstream is sent to
                # one of them again, so that a target is always found.
                target = self._choose(call, now_s)
                assert target is not None
                self._record_dequeue(service, now_s)
                assignments.append(self._assign(call, target))
            if not len(queue):
                self._service_times(service).dequeued_at_s = None
        return assignments

    def expire(self, now_s: float) -> list[Call]:
        """Remove and return waiting calls whose deadline has passed."""
        expired = []
        for queue in self._queues.values():
            expired += queue.expire(now_s)
        return expired

    def drop_waiting(self) -> list[Call]:
        """Remove and return every waiting call."""
        dropped = []
        for queue in self._queues.values():
            while (call := queue.pop()) is not None:
                dropped.append(call)
        return dropped

    def cancel(self, call: Call) -> bool:
        """Remove a disconnected caller's call; return whether it waited."""
        return self._queue(call.service).remove(call)

    def in_flight(self, vm: str) -> int:
        """Return how many calls of this entry are in flight at a VM."""
        load = self._loads.get(vm)
        return load.in_flight_count if load else 0

    def total_in_flight(self) -> int:
        """Return how many calls of this entry are in flight in total."""
        return sum(load.in_flight_count for load in self._loads.values())

    def queued(self) -> dict[str, int]:
        """Return how many calls wait for each service."""
        return {name: len(queue) for name, queue in self._queues.items()}

    def loads(self) -> dict[str, UpstreamLoad]:
        """Return the load of each upstream by VM, for a state dump."""
        return self._loads

    def serving(self) -> dict[str, list[Upstream]]:
        """Return the upstreams of each service, for a state dump."""
        return self._serving

    def _queue(self, service: str) -> CallQueue:
        return self._queues.setdefault(service, CallQueue())

    def _service_times(self, service: str) -> ServiceTimes:
        return self._times.setdefault(service, ServiceTimes())

    def _ensure_load(self, upstream: Upstream) -> None:
        """Reset the load of an upstream that is new or has rebooted."""
        load = self._loads.get(upstream.vm)
        if load is None or load.boot_id != upstream.boot_id:
            self._loads[upstream.vm] = UpstreamLoad(upstream.boot_id)

    def _open_upstreams(self, service: str, now_s: float) -> list[Upstream]:
        return [
            upstream
            for upstream in self._serving.get(service, [])
            if self._loads[upstream.vm].is_open(
                upstream.facts.slot_count, now_s
            )
        ]

    def _has_open_upstream(self, service: str, now_s: float) -> bool:
        return any(
            self._loads[upstream.vm].is_open(upstream.facts.slot_count, now_s)
            for upstream in self._serving.get(service, [])
        )

    def _choose(self, call: Call, now_s: float) -> Upstream | None:
        serving = self._serving.get(call.service, [])
        for _ in range(RANDOM_PAIR_TRIES if len(serving) > 2 else 0):
            pair = self._random.sample(serving, 2)
            found = [u for u in pair if self._is_eligible(u, call, now_s)]
            if found:
                return min(found, key=self._load_ratio)
        candidates = self._open_upstreams(call.service, now_s)
        untried = [c for c in candidates if c.vm not in call.avoided_vms]
        candidates = untried or candidates
        if not candidates:
            return None
        if len(candidates) > 2:
            candidates = self._random.sample(candidates, 2)
        return min(candidates, key=self._load_ratio)

    def _is_eligible(
        self, upstream: Upstream, call: Call, now_s: float
    ) -> bool:
        load = self._loads[upstream.vm]
        is_open = load.is_open(upstream.facts.slot_count, now_s)
        return is_open and upstream.vm not in call.avoided_vms

    def _load_ratio(self, upstream: Upstream) -> float:
        load = self._loads[upstream.vm]
        return load.in_flight_count / upstream.facts.slot_count

    def _assign(self, call: Call, upstream: Upstream) -> Assignment:
        self._loads[upstream.vm].in_flight_count += 1
        call.attempts += 1
        target = Target(upstream.vm, upstream.address, upstream.boot_id)
        return Assignment(call, target)

    def _find_refusal(
        self, call: Call, queue: CallQueue, now_s: float
    ) -> CallRefusal | None:
        if len(queue) >= self.options.max_queued_calls:
            return CallRefusal(RefusalReason.QUEUE_FULL, RETRY_AFTER_S)
        times = self._service_times(call.service)
        ahead = queue.waiting(call.call_class)
        wait_s = times.dequeue_interval_s * ahead
        if now_s + wait_s + times.run_s > call.deadline_s:
            return CallRefusal(
                RefusalReason.DEADLINE_TOO_CLOSE,
                max(wait_s, RETRY_AFTER_S),
            )
        return None

    def _record_run_time(self, service: str, run_s: float) -> None:
        times = self._service_times(service)
        if not times.run_s:
            times.run_s = run_s
        times.run_s += SERVICE_TIME_WEIGHT * (run_s - times.run_s)

    def _record_dequeue(self, service: str, now_s: float) -> None:
        times = self._service_times(service)
        if times.dequeued_at_s is not None:
            interval_s = now_s - times.dequeued_at_s
            times.dequeue_interval_s += SERVICE_TIME_WEIGHT * (
                interval_s - times.dequeue_interval_s
            )
        times.dequeued_at_s = now_s


def _is_serving(vm: state.Vm, upstream: Upstream) -> bool:
    return (
        vm.phase is state.VmPhase.SERVING
        and upstream.state is UpstreamState.UP
    )
