"""Prints measurements as a table and writes them as JSON."""

import dataclasses
import json
import pathlib

from hdrh.histogram import HdrHistogram
import tabulate

MAX_MICROSECONDS = 3_600_000_000
DIGITS = 3


@dataclasses.dataclass(frozen=True)
class Figure:
    """One measured value."""

    name: str
    value: float
    unit: str


class Times:
    """Durations in a histogram."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, MAX_MICROSECONDS, DIGITS)

    def add(self, seconds: float) -> None:
        """Record a duration."""
        self._histogram.record_value(max(1, int(seconds * 1e6)))

    @property
    def count(self) -> int:
        """Number of recorded durations."""
        return self._histogram.get_total_count()

    def percentile_ms(self, percent: float) -> float:
        """Return a percentile in milliseconds."""
        return self._histogram.get_value_at_percentile(percent) / 1000

    def figures(self, name: str) -> list[Figure]:
        """Return the median and the 99th percentile."""
        return [
            Figure(f'{name} p50', self.percentile_ms(50), 'ms'),
            Figure(f'{name} p99', self.percentile_ms(99), 'ms'),
        ]


def report(figures: list[Figure], json_path: str) -> None:
    """Print figures, and write them to json_path if it is not empty."""
    rows = [(f.name, f'{f.value:.4g}', f.unit) for f in figures]
    print(tabulate.tabulate(rows, ('figure', 'value', 'unit')))
    if json_path:
        values = [dataclasses.asdict(figure) for figure in figures]
        pathlib.Path(json_path).write_text(json.dumps(values, indent=2))
