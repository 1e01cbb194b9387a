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
        least_workers: workers needed however large they are.
    """

    lasting_cores: float = 0.0
    lasting_memory_mb: float = 0.0
    finite_cores: float = 0.0
    finite_memory_mb: float = 0.0
    least_workers: int = 0

    def add(self, step: state.StepSpec, task_count: int) -> None:
        """Add tasks of a step."""
        cores = 0.0 if step.fills else step.room.cpu_millicores / 1000
        if step.is_lasting:
            self.lasting_cores += cores * task_count
            self.lasting_memory_mb += step.room.memory_mb * task_count
        else:
            self.finite_cores += cores * task_count
            self.finite_memory_mb += step.room.memory_mb * task_count
        if step.max_per_worker:
            least = math.ceil(step.task_count / step.max_per_worker)
            self.least_workers = max(self.least_workers, least)
