"""What the work at hand of a service needs."""

import dataclasses
import math

from greengagering import state


@dataclasses.dataclass(slots=True)
class PoolNeed:
    """Room for the tasks of a service that run or wait.

    Attributes:
        lasting_cores: cores of its lasting tasks.
        lasting_memory_mb: memory of its lasting tasks.
        finite_cores: cores of its finite tasks.
        finite_memory_mb: memory of its finite tasks.
        late_cores: cores of waiting tasks whose job can't be in time.
        late_memory_mb: memory of such tasks.
        least_workers: workers needed however large they are.
    """

    lasting_cores: float = 0.0
    lasting_memory_mb: float = 0.0
    finite_cores: float = 0.0
    finite_memory_mb: float = 0.0
    late_cores: float = 0.0
    late_memory_mb: float = 0.0
    least_workers: int = 0

    def add(
        self, step: state.StepSpec, task_count: int, *, is_late: bool = False
    ) -> None:
        """Add tasks of a step.

        Args:
            step: the step.
            task_count: how many of its tasks.
            is_late: whether the job misses its objective in any case.
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
            least = math.ceil(step.task_count / step.max_per_worker)
            self.least_workers = max(self.least_workers, least)
