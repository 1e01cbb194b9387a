"""Conversion of the operator's upkeep waves."""

from greengagering.platform import _formats
from greengagering.protocol import bounds
from greengagering import state

SOURCE = 'wave'


class _Wave(_formats.WireModel):
    """An upkeep wave.

    Attributes:
        wave: number of the wave.
        deadline_s: time allowed from acceptance to completion.
        max_count: most machines that may be down at the same time.
    """

    wave: bounds.Count
    machines: tuple[str, ...]
    deadline_s: bounds.DurationS
    max_count: bounds.Number


def parse_wave(body: bytes) -> state.UpkeepWave:
    """Convert a body to an upkeep wave.

    Raises:
        InvalidInputError: the body is malformed or has an invalid field.
    """
    wire = _formats.read_body(body, _Wave, SOURCE)
    return state.UpkeepWave(
        number=wire.wave,
        machines=tuple(dict.fromkeys(wire.machines)),
        deadline_s=wire.deadline_s,
        max_down_count=wire.max_count,
    )


def running_wave(blocked: dict[str, list[str]]) -> dict[str, object]:
    """Return the answer for a wave that isn't done.

    Args:
        blocked: the tasks that keep machines from their upkeep, by machine;
            they are named so that an operator can see why a wave is late.
    """
    answer: dict[str, object] = {'state': 'running'}
    if blocked:
        answer['blocked'] = [
            {'machine': machine, 'tasks': tasks}
            for machine, tasks in blocked.items()
        ]
    return answer
