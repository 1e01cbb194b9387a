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
