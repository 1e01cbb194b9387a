"""Upkeep waves as the operator sends them."""

from greengagering.platform import _formats
from greengagering import state

SOURCE = 'wave'


class _Wave(_formats.WireModel):
    """A wave.

    Attributes:
        wave: its number.
        max_count: machines that may be down at once.
    """

    wave: int
    machines: tuple[str, ...]
    deadline_s: float
    max_count: int


def parse_wave(body: bytes) -> state.UpkeepWave:
    """Return the wave that a body describes.

    Raises:
        InvalidInputError: it can't be read or contradicts itself.
    """
    wire = _formats.read_body(body, _Wave, SOURCE)
    if wire.max_count < 1:
        raise _formats.invalid(
            SOURCE, 'maxCount', 'must be positive', wire.max_count
        )
    return state.UpkeepWave(
        number=wire.wave,
        machines=tuple(dict.fromkeys(wire.machines)),
        deadline_s=wire.deadline_s,
        max_down_count=wire.max_count,
    )
