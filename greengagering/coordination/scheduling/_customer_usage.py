"""Sums the room that each customer's runs use over all workers."""

from greengagering.coordination.workers import RunView
from greengagering import state

NO_ROOM = state.Room()


class CustomerUsage:
    """Room that the runs of each customer use, wherever they are.

    A run counts from the proposal to assign it until its end is proved: its
    worker has listed the end, it is voided, or its incarnation is over. So it
    also counts while its start is unanswered, while its worker is silent and
    while it is being stopped. The incarnations' table reports both moments, so
    the sum can't differ from the runs of the views.
    """

    def __init__(self) -> None:
        self._rooms: dict[str, state.Room] = {}
        self._run_counts: dict[str, int] = {}

    def add_run(self, run: RunView) -> None:
        """Count a run."""
        if run.customer:
            self._change(run, 1)

    def remove_run(self, run: RunView) -> None:
        """Count a run no longer."""
        if run.customer:
            self._change(run, -1)

    def used(self, customer: str) -> state.Room:
        """Return the room that a customer's runs use."""
        return self._rooms.get(customer, NO_ROOM)

    def customers(self) -> list[str]:
        """Return the customers that have runs."""
        return list(self._rooms)

    def _change(self, run: RunView, sign: int) -> None:
        customer = run.customer
        count = self._run_counts.get(customer, 0) + sign
        if count:
            self._run_counts[customer] = count
            self._rooms[customer] = add_room(
                self.used(customer), run.step.room, sign
            )
        else:
            del self._run_counts[customer]
            del self._rooms[customer]


def add_room(room: state.Room, each: state.Room, count: int) -> state.Room:
    """Return a room with that of a number of tasks added.

    Filling tasks count with all their cores: how much leftover time they get
    isn't known, and limits are on what runs.
    """
    return state.Room(
        room.cpu_millicores + each.cpu_millicores * count,
        room.memory_mb + each.memory_mb * count,
        room.gpu_count + each.gpu_count * count,
    )
