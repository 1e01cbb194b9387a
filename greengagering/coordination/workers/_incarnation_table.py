"""Table of the workers' incarnations that the leader knows."""

from greengagering.coordination.workers import _fences
from greengagering.coordination.workers._run_view import RunObserver
from greengagering.coordination.workers._worker_view import WorkerView
from greengagering import state


class IncarnationTable:
    """Incarnations by key, with indexes by worker name and by address.

    The indexes keep a look-up fast however many workers there are.

    Attributes:
        views: every incarnation by its key.
    """

    def __init__(self, observer: RunObserver | None = None) -> None:
        self._observer = observer
        self.views: dict[str, WorkerView] = {}
        self._by_worker: dict[str, list[WorkerView]] = {}
        self._by_address: dict[str, list[WorkerView]] = {}
        self._process_count = 0

    def clear(self) -> None:
        """Remove every incarnation."""
        for view in self.views.values():
            _detach(view)
        self.views.clear()
        self._by_worker.clear()
        self._by_address.clear()
        self._process_count = 0

    def add(self, view: WorkerView, term: int) -> None:
        """Add an incarnation, and give it its fence in the leader's term."""
        view.fence = self._choose_fence(view.facts, term)
        self.views[view.key] = view
        view.observer = self._observer
        if self._observer is not None:
            for run in view.runs.values():
                self._observer.add_run(run)
        facts = view.facts
        self._by_worker.setdefault(facts.worker_id, []).append(view)
        self._by_address.setdefault(facts.address, []).append(view)

    def _choose_fence(self, facts: state.WorkerFacts, term: int) -> int:
        """Return a fence above those of the worker's earlier incarnations.

        An incarnation that becomes known after a later one must not get a
        higher fence than that: whoever has the name would refuse the later
        one's orders.
        """
        later = [
            other.fence
            for other in self._by_worker.get(facts.worker_id, ())
            if other.facts.born_ms > facts.born_ms
        ]
        if later:
            return min(later)
        self._process_count += 1
        return _fences.create_fence(term, self._process_count)

    def remove(self, key: str) -> WorkerView | None:
        """Remove an incarnation; return its view, or None if unknown."""
        view = self.views.pop(key, None)
        if view is not None:
            _detach(view)
            facts = view.facts
            _remove(self._by_worker, facts.worker_id, view)
            _remove(self._by_address, facts.address, view)
        return view

    def newest(self, worker_id: str) -> WorkerView | None:
        """Return a worker's latest incarnation, or None."""
        return max(
            self._by_worker.get(worker_id, ()),
            key=lambda view: view.facts.born_ms,
            default=None,
        )

    def of_worker(self, worker_id: str) -> list[WorkerView]:
        """Return a worker's incarnations."""
        return list(self._by_worker.get(worker_id, ()))

    def related(self, facts: state.WorkerFacts) -> list[WorkerView]:
        """Return the other incarnations with the same name or address."""
        found = self.of_worker(facts.worker_id)
        found += [
            view
            for view in self._by_address.get(facts.address, ())
            if view not in found
        ]
        return [view for view in found if view.key != facts.key]

    def is_outdated(self, facts: state.WorkerFacts) -> bool:
        """Tell whether a later incarnation has this name or address."""
        return any(
            view.facts.born_ms > facts.born_ms for view in self.related(facts)
        )


def _detach(view: WorkerView) -> None:
    """Report the runs of an incarnation as removed, and its later ones not.

    Nothing of it can run any more, but others may still hold the view.
    """
    observer, view.observer = view.observer, None
    if observer is not None:
        for run in view.runs.values():
            observer.remove_run(run)


def _remove(
    index: dict[str, list[WorkerView]], name: str, view: WorkerView
) -> None:
    left = [other for other in index[name] if other is not view]
    if left:
        index[name] = left
    else:
        del index[name]
