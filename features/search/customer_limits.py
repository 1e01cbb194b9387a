"""Checks starts against customers' limits, and the leader's counts."""

from features.search.replica_search import InvariantError
from features.search import worker_fakes
from greengagering import coordination
from greengagering import state


class LimitLedger:
    """Limits that were in force, and the customers of all jobs.

    Attributes:
        customers: customer by job id.
    """

    def __init__(self) -> None:
        self.customers: dict[str, str] = {}
        # All plans in their order; a plan without customers has no limit.
        self._plans: list[dict[str, state.Room]] = [{}]
        self._plan_number = 0

    @property
    def newest_number(self) -> int:
        """Number of the limits that are in force."""
        return len(self._plans) - 1

    def has_limits(self) -> bool:
        """Tell whether the plan in force has customers."""
        return bool(self._plans[-1])

    def add_plan(self, plan: state.RoutePlan) -> bool:
        """Note a committed plan; tell whether it is a new one."""
        if plan.number <= self._plan_number:
            return False
        self._plan_number = plan.number
        self._plans.append({c.name: c.limit for c in plan.customers})
        return True

    def check_start(
        self, ledger: worker_fakes.Ledger, key: state.RunKey, number: int
    ) -> None:
        """Check the sum of what really runs, right after a start.

        Args:
            ledger: what all workers run.
            key: the run that has started.
            number: number of the limits that were in force when its order was
                sent; the highest since then counts.

        Raises:
            InvariantError: the customer has more running than its limit.
        """
        customer = self.customers[key.job_id]
        used = [0, 0]
        for name in ledger.running:
            job_id, _, _, _ = name.split('.')
            if self.customers.get(job_id) != customer:
                continue
            step = ledger.specs[job_id].steps[int(name.split('.')[2])]
            used[0] += step.room.cpu_millicores
            used[1] += step.room.memory_mb
        limits = [
            plan.get(customer, state.Room()) for plan in self._plans[number:]
        ]
        for now, mosts in (
            (used[0], [limit.cpu_millicores for limit in limits]),
            (used[1], [limit.memory_mb for limit in limits]),
        ):
            if all(mosts) and now > max(mosts):
                raise InvariantError(
                    f'{customer} has {used} running with the start of '
                    f'{key.name}; its limits were {limits}'
                )


def check_usage(scheduler: coordination.JobScheduler) -> None:
    """Check a leader's running count against a recount from committed state.

    The recount takes the committed runs whose end is not committed, adds the
    proposed runs, and subtracts those whose end is proposed.

    Raises:
        InvariantError: they differ.
    """
    jobs = scheduler.jobs
    rooms: dict[str, list[int]] = {}
    committed: dict[str, set[str]] = {}
    for life_key, life in jobs.lives.items():
        committed[life_key] = set(life.runs)
        view = scheduler.workers[life_key]
        for name, key in life.runs.items():
            if name not in view.runs:
                if view.proposed_end <= life.noted_end:
                    raise InvariantError(f'{name} has no end and no view')
                continue
            _add(rooms, jobs.jobs[key.job_id], key)
    for life_key, view in scheduler.workers.items():
        for name, run in view.runs.items():
            if name not in committed.get(life_key, set()):
                _add(rooms, jobs.jobs[run.key.job_id], run.key)
    usage = scheduler.limits.usage
    for customer in {*rooms, *usage.customers()}:
        used = usage.used(customer)
        counted = state.Room(*rooms.get(customer, (0, 0, 0)))
        if used != counted:
            raise InvariantError(
                f'{customer} counts as using {used}, a recount says {counted}'
            )


def _add(
    rooms: dict[str, list[int]], job: state.Job, key: state.RunKey
) -> None:
    if not job.customer:
        return
    room = job.spec.steps[key.step_number].room
    sums = rooms.setdefault(job.customer, [0, 0, 0])
    sums[0] += room.cpu_millicores
    sums[1] += room.memory_mb
    sums[2] += room.gpu_count
