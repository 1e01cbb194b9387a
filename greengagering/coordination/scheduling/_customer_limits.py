"""Decides how many of a customer's tasks its limit lets start."""

from collections.abc import Iterator
import dataclasses

from greengagering.coordination.scheduling import _customer_usage
from greengagering import state

HELD_MEMORY_S = 10.0
"""Time without a task that a limit holds back after which a customer counts as
below its limit again. Runs end and start all the time at a limit, and each
would otherwise log that it is left and met."""


@dataclasses.dataclass(slots=True)
class _Held:
    """A customer at its limit.

    Attributes:
        since_s: when its limit began to hold tasks back.
        newest_s: when its limit last held tasks back.
    """

    since_s: float
    newest_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LimitChange:
    """A customer that has met its limit, or has left it.

    Attributes:
        customer: its name.
        is_met: whether its limit holds tasks back now.
        limit: its limit; zeroes are none.
        used: room that its runs use.
        waiting: tasks that its limit holds back.
        held_s: how long it was at its limit.
    """

    customer: str
    is_met: bool
    limit: state.Room
    used: state.Room
    waiting: int = 0
    held_s: float = 0.0


class CustomerLimits:
    """Limits of the plan in force against the room that is used.

    A task starts only where all runs of its customer and itself stay within
    the limit. The users' pages allow more than the limit; this is left for
    what the leader can't know.

    Attributes:
        usage: room that each customer's runs use.
        limits: limit by customer, for those that have one.
    """

    def __init__(self) -> None:
        self.usage = _customer_usage.CustomerUsage()
        self._plan: state.RoutePlan | None = None
        self.limits: dict[str, state.Room] = {}
        self._held: dict[str, _Held] = {}
        self._held_counts: dict[str, int] = {}

    @property
    def customers_at_limit(self) -> list[str]:
        """Customers whose limit holds tasks back."""
        return list(self._held)

    @property
    def held_task_count(self) -> int:
        """Number of tasks that limits held back in the last plan of tasks."""
        return sum(self._held_counts.values())

    def forget_held(self) -> None:
        """Forget who is at its limit; another leader logs that now."""
        self._held.clear()
        self._held_counts.clear()

    def follow_plan(self, plan: state.RoutePlan | None) -> None:
        """Use the limits of the plan in force.

        A customer that the plan doesn't name has no limit: its jobs run on
        under the terms at acceptance, and it can't submit others.
        """
        if plan is self._plan:
            return
        self._plan = plan
        customers = plan.customers if plan is not None else ()
        self.limits = {
            customer.name: customer.limit
            for customer in customers
            if customer.limit != _customer_usage.NO_ROOM
        }

    def count_startable(
        self,
        customer: str,
        step: state.StepSpec,
        count: int,
        planned: state.Room = _customer_usage.NO_ROOM,
    ) -> int:
        """Return how many of `count` waiting tasks of a step may start.

        A gang starts whole or not at all.

        Args:
            customer: the customer of their job, or ''.
            step: the step.
            count: number of its waiting tasks.
            planned: room to count as used besides what is used.
        """
        limit = self.limits.get(customer)
        if limit is None:
            return count
        used = _customer_usage.add_room(self.usage.used(customer), planned, 1)
        startable = _count_fitting(limit, used, step.room, count)
        if step.is_gang and startable < count:
            return 0
        return startable

    def is_exceeded(self, customer: str) -> bool:
        """Tell whether a customer's runs use more than its limit.

        So it is after a limit was lowered.
        """
        limit = self.limits.get(customer)
        if limit is None:
            return False
        used = self.usage.used(customer)
        return any(
            most and now > most for most, now, _ in _rows(limit, used, used)
        )

    def begin_plan(self) -> None:
        """Begin a plan of tasks."""
        self._held_counts.clear()

    def note_held(self, customer: str, count: int) -> None:
        """Note tasks that a limit holds back in this plan."""
        held = self._held_counts.get(customer, 0)
        self._held_counts[customer] = held + count

    def end_plan(self, now_s: float) -> list[LimitChange]:
        """End a plan of tasks; return who met or left its limit."""
        changes = []
        for customer, count in self._held_counts.items():
            held = self._held.get(customer)
            if held is not None:
                held.newest_s = now_s
                continue
            self._held[customer] = _Held(now_s, now_s)
            changes.append(self._change(customer, True, waiting=count))
        left = [
            customer
            for customer, held in self._held.items()
            if now_s >= held.newest_s + HELD_MEMORY_S
        ]
        for customer in left:
            held_s = now_s - self._held.pop(customer).since_s
            changes.append(self._change(customer, False, held_s=held_s))
        return changes

    def _change(
        self,
        customer: str,
        is_met: bool,
        *,
        waiting: int = 0,
        held_s: float = 0.0,
    ) -> LimitChange:
        return LimitChange(
            customer,
            is_met,
            self.limits.get(customer, _customer_usage.NO_ROOM),
            self.usage.used(customer),
            waiting,
            held_s,
        )


class LimitAllowance:
    """What limits still let start, less what was taken of it.

    It counts no start; pools plan with it.
    """

    def __init__(self, limits: CustomerLimits) -> None:
        self._limits = limits
        self._planned: dict[str, state.Room] = {}

    def take(self, customer: str, step: state.StepSpec, count: int) -> int:
        """Return how many of `count` tasks may start beside those taken."""
        planned = self._planned.get(customer, _customer_usage.NO_ROOM)
        taken = self._limits.count_startable(customer, step, count, planned)
        if taken and customer:
            self._planned[customer] = _customer_usage.add_room(
                planned, step.room, taken
            )
        return taken


def format_room(room: state.Room) -> str:
    """Return a room in the form of logs: millicores/MB/accelerators."""
    return f'{room.cpu_millicores}/{room.memory_mb}/{room.gpu_count}'


def find_excess(customer: state.Customer, spec: state.JobSpec) -> str:
    """Return why a job can never run within its customer's limit, or ''.

    That is so if one of its tasks, or a gang as a whole, exceeds the limit.
    """
    for number, step in enumerate(spec.steps):
        count = step.task_count if step.is_gang else 1
        needed = _customer_usage.add_room(
            _customer_usage.NO_ROOM, step.room, count
        )
        rows = _rows(customer.limit, needed, needed)
        for (most, need, _), unit in zip(rows, _UNITS, strict=True):
            if most and need > most:
                subject = 'the gang' if step.is_gang else 'a task'
                return (
                    f'{subject} of step {number} needs {need} {unit}; '
                    f'the limit of {customer.name} is {most} {unit}'
                )
    return ''


_UNITS = ('millicores', 'MB of memory', 'accelerators')


def _rows(
    limit: state.Room, used: state.Room, each: state.Room
) -> Iterator[tuple[int, int, int]]:
    """Return limit, use and need of each resource."""
    yield limit.cpu_millicores, used.cpu_millicores, each.cpu_millicores
    yield limit.memory_mb, used.memory_mb, each.memory_mb
    yield limit.gpu_count, used.gpu_count, each.gpu_count


def _count_fitting(
    limit: state.Room, used: state.Room, each: state.Room, count: int
) -> int:
    """Return how many of `count` tasks fit beside what is used.

    None does while any resource is used beyond its limit, whether or not the
    tasks need of it.
    """
    for most, now, need in _rows(limit, used, each):
        if not most:
            continue
        if now > most:
            return 0
        if need:
            count = min(count, (most - now) // need)
    return count
