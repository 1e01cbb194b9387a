"""Order of a job's steps: which follow which, and how long they take."""

import dataclasses

from greengagering import state


@dataclasses.dataclass(frozen=True, slots=True)
class StepGraph:
    """What is derived from a job's steps once, as each step needs it.

    It is built in a time that grows no faster than the job: the leader builds
    it for each job that is accepted, and for all jobs when a term begins.

    Attributes:
        following: numbers of the steps that name a step in `after`, by its
            number.
        remaining_s: estimated time of the longest chain from a step on, by
            its number.
    """

    following: tuple[tuple[int, ...], ...]
    remaining_s: tuple[float, ...]


def build_graph(spec: state.JobSpec) -> StepGraph:
    """Return the graph of a job's steps, each of which names earlier ones."""
    following: list[list[int]] = [[] for _ in spec.steps]
    for number, step in enumerate(spec.steps):
        for earlier in dict.fromkeys(step.after):
            following[earlier].append(number)
    remaining_s = [0.0] * len(spec.steps)
    for number in reversed(range(len(spec.steps))):
        remaining_s[number] = spec.steps[number].estimate_s + max(
            (remaining_s[later] for later in following[number]), default=0.0
        )
    return StepGraph(tuple(map(tuple, following)), tuple(remaining_s))
