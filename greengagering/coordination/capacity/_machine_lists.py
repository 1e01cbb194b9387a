"""The machines of the fleet, by the platform's newest lists."""

from greengagering.coordination.capacity import _machines as machines

MISSING_LIST_COUNT = 2
"""Lists in a row that a machine must be missing from before it counts as gone
from the fleet. The list is read in pages, so one that changes meanwhile may
lack a machine; and a single list may be older than the machine."""


class MachineLists:
    """The newest lists of machines.

    Attributes:
        machines: newest entry of each machine that any of them has, by name.
        newest: the machines of the newest list, by name.
    """

    def __init__(self) -> None:
        self.machines: dict[str, machines.Machine] = {}
        self.newest: dict[str, machines.Machine] = {}
        # With the times at which they were received.
        self._lists: list[tuple[float, dict[str, machines.Machine]]] = []

    def clear(self) -> None:
        """Forget every list."""
        self.machines = {}
        self.newest = {}
        self._lists.clear()

    def add(self, listed: tuple[machines.Machine, ...], now_s: float) -> None:
        """Add a list that was just received."""
        self.newest = {machine.name: machine for machine in listed}
        self._lists.append((now_s, self.newest))
        del self._lists[:-MISSING_LIST_COUNT]
        self.machines = {}
        for _, by_name in self._lists:
            self.machines.update(by_name)

    @property
    def lacks_machines(self) -> bool:
        """Whether the newest list lacks a machine that an earlier one has."""
        return len(self.newest) < len(self.machines)

    def is_presence_known(self, name: str, since_s: float) -> bool:
        """Tell whether a machine is certainly there, or certainly missing.

        Args:
            name: the machine.
            since_s: when it was first asked for. A single list may be older
                than the machine.
        """
        if name in self.machines:
            return True
        fresh = [at_s for at_s, _ in self._lists if at_s > since_s]
        return len(fresh) >= MISSING_LIST_COUNT
