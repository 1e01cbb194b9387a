"""Routing of callers' paths to queues."""

import dataclasses

from greengagering import state


@dataclasses.dataclass(frozen=True, slots=True)
class RoutedPath:
    """A queue, and the rest of the path after the queue's prefix."""

    queue: state.Queue
    rest: str


def find_queue(
    plan: state.RoutePlan, host: str, path: str
) -> RoutedPath | None:
    """Return the queue of the host with the longest matching prefix."""
    best: state.Queue | None = None
    for queue in plan.queues:
        if queue.host != host or not path.startswith(queue.path_prefix):
            continue
        if best is None or len(queue.path_prefix) > len(best.path_prefix):
            best = queue
    if best is None:
        return None
    return RoutedPath(best, path[len(best.path_prefix) :])
