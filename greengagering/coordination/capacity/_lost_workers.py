"""Finds silent workers that the list of machines shows to be gone."""

from collections.abc import Iterable

from greengagering.coordination.capacity import _machines as machines
from greengagering.coordination.workers import WorkerView

MISSING_LIST_COUNT = 2
"""Lists in a row, each requested after a worker fell silent, that must hold no
machine with it before it counts as gone; a single list may be older than the
worker's return to it."""

LISTED_WITHIN_S = 3.0
"""Time after which a list holds a new worker. Before, it may be missing only
because the list is older than it."""


class LostWorkerFinder:
    """Remembers which machine each worker runs on, by the platform's lists.

    A silent worker may still run its tasks until its lease ends. It doesn't if
    its machine is down or another worker's, or if no machine has it any more:
    a machine may leave the fleet, one that moved to the standby pool has no
    worker at all, and a new leader doesn't know which machine a worker had
    before its first list.
    """

    def __init__(self) -> None:
        self._machine_by_worker: dict[str, str] = {}
        # Since when a worker has been silent, and the lists without it since.
        self._missing_counts: dict[str, tuple[float, int]] = {}

    def find_lost(
        self,
        listed: dict[str, machines.Machine],
        workers: Iterable[WorkerView],
        requested_at_s: float,
    ) -> list[WorkerView]:
        """Return the silent workers that can't run anything any more.

        Args:
            listed: the platform's list, by machine.
            workers: all workers that may still run something.
            requested_at_s: when the list was requested.
        """
        views = list(workers)
        listed_workers = {
            machine.worker_id
            for machine in listed.values()
            if machine.worker_id
        }
        for machine in listed.values():
            if machine.worker_id:
                self._machine_by_worker[machine.worker_id] = machine.name
        # The platform may list the workers of some services only.
        listed_services = {
            view.facts.service
            for view in views
            if view.facts.worker_id in listed_workers
        }
        counts, self._missing_counts = self._missing_counts, {}
        lost = []
        for view in views:
            suspect_s = view.suspect_since_s
            if suspect_s is None or suspect_s >= requested_at_s:
                continue
            if self._is_machine_lost(view, listed):
                lost.append(view)
                continue
            worker_id = view.facts.worker_id
            was_listed = worker_id in self._machine_by_worker
            may_be_missing = was_listed or (
                view.facts.service in listed_services
                and requested_at_s >= view.seen_at_s + LISTED_WITHIN_S
            )
            if worker_id in listed_workers or not may_be_missing:
                continue
            # Lists of an earlier silence, or of another term, don't count.
            since_s, count = counts.get(view.key, (suspect_s, 0))
            count = count + 1 if since_s == suspect_s else 1
            self._missing_counts[view.key] = (suspect_s, count)
            if count >= MISSING_LIST_COUNT:
                lost.append(view)
        return lost

    def _is_machine_lost(
        self, view: WorkerView, listed: dict[str, machines.Machine]
    ) -> bool:
        """Tell whether the machine of a worker is down or another's."""
        worker_id = view.facts.worker_id
        name = self._machine_by_worker.get(worker_id)
        present = listed.get(name) if name is not None else None
        if present is None:
            # The list is read in pages, so one that changes meanwhile may
            # lack a machine once.
            return False
        return (
            present.status is machines.MachineState.DOWN
            or present.worker_id not in ('', worker_id)
        )
