"""Compares the plan of pools with baselines and a bound on random days.

Run "python -m benchmarks.demand_bursts". Days are simulated with the real
scheduling code under a virtual clock, as in features/demand_bursts.feature.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
from unittest import mock

import fire
import tabulate

from features.support import demand_world
from greengagering.coordination.jobs import _work_index
from greengagering.coordination.scheduling import _placement
from greengagering.coordination.scheduling import _shares

DAYS = 6

PATTERNS = {
    'bursts, 34 s': demand_world.four_bursting_queues(),
    'bursts, 50 s': demand_world.four_bursting_queues(day_s=50.0),
    'surges, a third fewer machines': demand_world.SHORT_FLEET,
    'bursts, 34 s, four times as large': demand_world.LARGE_FLEET,
}


@contextlib.contextmanager
def _first_come() -> Iterator[None]:
    def rank(
        work: _work_index.StepWork, _now_s: float, _is_beyond: bool
    ) -> tuple[float, ...]:
        return (work.ready_since_s,)

    with mock.patch.object(_shares, 'rank', rank):
        yield


@contextlib.contextmanager
def _first_fit() -> Iterator[None]:
    def rank(*_arguments: object) -> tuple[float, ...]:
        return (0.0,)

    with mock.patch.object(_placement._StepRoom, '_rank', rank):
        yield


VARIANTS: dict[str, Callable[[], contextlib.AbstractContextManager[None]]] = {
    'unchanged': contextlib.nullcontext,
    'first come, first served': _first_come,
    'first fit': _first_fit,
    'static pools': demand_world.static_pools,
}


def main(days: int = DAYS) -> None:
    """Print one row for each pattern and variant.

    Args:
        days: number of random days of each.
    """
    rows = []
    for pattern_name, pattern in PATTERNS.items():
        for name, variant in VARIANTS.items():
            with variant():
                results = [
                    demand_world.DemandWorld(pattern, seed).simulate()
                    for seed in range(1, days + 1)
                ]
            rows.append([pattern_name, name, *_summarize(results)])
    headers = (
        'pattern',
        'variant',
        'share earned',
        'worst windows',
        'worst queue',
        'pool seconds over oracle',
        'moves a day',
        'polls a day',
    )
    print(tabulate.tabulate(rows, headers=headers))


def _summarize(results: list[demand_world.DemandResult]) -> list[float]:
    count = len(results)
    pool_s = sum(r.pool_s for r in results)
    oracle_s = sum(r.oracle_s for r in results)
    return [
        round(sum(r.share for r in results) / count, 3),
        round(sum(r.worst_windows for r in results) / count, 3),
        round(sum(min(r.by_queue.values()) for r in results) / count, 3),
        round(pool_s / oracle_s, 2),
        round(sum(r.moves for r in results) / count),
        round(sum(r.polls for r in results) / count),
    ]


if __name__ == '__main__':
    fire.Fire(main)
