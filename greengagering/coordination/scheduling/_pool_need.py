"""Room that a service's running and waiting tasks need."""

import dataclasses
import math

from greengagering.coordination.scheduling import _customer_limits
from greengagering.coordination.scheduling._isolation import isolate_step
from greengagering.coordination.scheduling._leader_core import LeaderCore
from greengagering import state


@dataclasses.dataclass(slots=True)
class PoolNeed:
    """Room for the running and waiting tasks of a service.

    Attributes:
        lasting_cores: cores of lasting tasks.
        lasting_memory_mb: memory of lasting tasks.
        finite_cores: cores of finite tasks whose job can meet its objective.
        finite_memory_mb: memory of such tasks.
        late_cores: cores of finite tasks whose job can't meet its objective.
        late_memory_mb: memory of such tasks.
        isolated_workers: workers that are kept, or needed, for tasks that run
            alone.
        min_workers: smallest number of workers, whatever their size, that
            limits on a step's tasks per worker allow.
    """

    lasting_cores: float = 0.0
    lasting_memory_mb: float = 0.0
    finite_cores: float = 0.0
    finite_memory_mb: float = 0.0
    late_cores: float = 0.0
    late_memory_mb: float = 0.0
    isolated_workers: int = 0
    min_workers: int = 0

    def add(
        self, step: state.StepSpec, task_count: int, *, is_late: bool = False
    ) -> None:
        """Add tasks of a step.

        Args:
            step: the step.
            task_count: number of tasks.
            is_late: whether the job can't meet its objective any more.
        """
        cores = 0.0 if step.fills else step.room.cpu_millicores / 1000
        if step.is_lasting:
            self.lasting_cores += cores * task_count
            self.lasting_memory_mb += step.room.memory_mb * task_count
        elif is_late:
            self.late_cores += cores * task_count
            self.late_memory_mb += step.room.memory_mb * task_count
        else:
            self.finite_cores += cores * task_count
            self.finite_memory_mb += step.room.memory_mb * task_count
        if step.max_per_worker:
            step_workers = math.ceil(step.task_count / step.max_per_worker)
            self.min_workers = max(self.min_workers, step_workers)


def find_needs(core: LeaderCore, now_s: float) -> dict[str, PoolNeed]:
    """Return the room that running and waiting tasks need, by service.

    Waiting tasks that their customer's limit holds back need none. Tasks of
    jobs beyond their customer's rate count as late.
    """
    needs: dict[str, PoolNeed] = {}
    core.limits.follow_plan(core.jobs.plan)
    allowance = _customer_limits.LimitAllowance(core.limits)
    for steps in core.index.steps.values():
        for work in steps.values():
            if work.suspects:
                need = needs.setdefault(core.service_of(work.job), PoolNeed())
                need.isolated_workers += len(isolate_step(work).isolated)
            startable = allowance.take(
                work.job.customer, work.step, len(work.waiting)
            )
            if startable:
                need = needs.setdefault(core.service_of(work.job), PoolNeed())
                is_beyond = core.job_rates.is_beyond(work.job.spec.job_id)
                need.add(
                    work.step,
                    startable,
                    is_late=work.is_late(now_s) or is_beyond,
                )
    for view in core.workers.values():
        need = needs.setdefault(view.facts.service, PoolNeed())
        need.isolated_workers += view.is_isolated
        for run in view.runs.values():
            run_work = core.index.find(run.key)
            begun_at_s = run.started_at_s or now_s
            is_late = run_work is not None and run_work.is_late(begun_at_s)
            is_beyond = core.job_rates.is_beyond(run.key.job_id)
            need.add(run.step, 1, is_late=is_late or is_beyond)
    return needs
