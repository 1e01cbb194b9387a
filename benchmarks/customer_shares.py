"""Compares ways to share too little room between customers.

Run "python -m benchmarks.customer_shares". Days are simulated with the real
scheduling code under a virtual clock, as in features/customer_shares.feature.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import functools
import itertools
from typing import Any
from unittest import mock

import fire
import tabulate

from features.support import demand_world
from greengagering.coordination.jobs import _work_index
from greengagering.coordination.scheduling import _admission
from greengagering.coordination.scheduling import _leader_core
from greengagering.coordination.scheduling import _shares

DAYS = 4
PATTERNS = {
    'one floods a queue of small jobs': demand_world.FLOODED,
    'then one of large jobs': demand_world.FLOODED_LARGE,
    'nobody floods': demand_world.SHARED_FLEET,
    'both while two queues burst': demand_world.FLOODED_OVERLAP,
}
GROUP_FIELDS = 4
"""Leading fields of a step's rank within which customers share."""

Works = list[tuple[_work_index.StepWork, str]]
Order = Iterator[tuple[_work_index.StepWork, str]]


def _groups(
    order: _shares.ShareOrder, works: Works, now_s: float, fields: int
) -> Iterator[Works]:
    ranked = [(order._rank(w, now_s), w, pool) for w, pool in works]
    ranked.sort(key=lambda item: item[0])
    order._sum_weights(works)
    for rank, group in itertools.groupby(ranked, lambda i: i[0][:fields]):
        is_beyond = rank[1]
        if not is_beyond or not order._is_room_due(works, now_s):
            yield [(work, pool) for _, work, pool in group]


def _shares_before_lateness(
    order: _shares.ShareOrder, works: Works, now_s: float
) -> Order:
    """Let a customer over its share wait behind others' late work too."""
    for group in _groups(order, works, now_s, GROUP_FIELDS - 1):
        deferred = []
        for work, pool in group:
            if order._is_over_share(work, pool):
                deferred.append((work, pool))
            else:
                yield work, pool
        yield from deferred


def _least_share_first(
    order: _shares.ShareOrder, works: Works, now_s: float
) -> Order:
    """Serve the customer with the least dominant share over its weight."""
    for group in _groups(order, works, now_s, GROUP_FIELDS):
        queues: dict[tuple[str, str], Works] = {}
        for work, pool in group:
            key = (pool, work.job.customer)
            queues.setdefault(key, []).append((work, pool))

        def use(key: tuple[str, str]) -> float:
            pool, customer = key
            weight = order._weights.get(customer)
            if weight is None or pool not in order._uses:
                return 0.0
            return order._uses[pool].of_customer(customer) / weight

        while queues:
            key = min(queues, key=use)
            yield queues[key].pop(0)
            if not queues[key]:
                del queues[key]


class _StartTags:
    """Start-time fair queuing of jobs by customer within each pool."""

    def __init__(self) -> None:
        self._tags: dict[str, float] = {}
        self._finish: dict[tuple[str, str], float] = {}
        self._virtual: dict[str, float] = {}

    def sort(
        self, order: _shares.ShareOrder, works: Works, now_s: float
    ) -> Order:
        for work, pool in sorted(works, key=lambda w: w[0].ready_since_s):
            job_id = work.job.spec.job_id
            if job_id in self._tags:
                continue
            key = (pool, work.job.customer)
            start = max(
                self._virtual.get(pool, 0.0), self._finish.get(key, 0.0)
            )
            self._tags[job_id] = start
            weight = order._weights.get(work.job.customer, 1.0)
            self._finish[key] = start + _size(work) / weight
        for group in _groups(order, works, now_s, GROUP_FIELDS):
            group.sort(key=lambda w: self._tags[w[0].job.spec.job_id])
            for work, pool in group:
                before = len(work.waiting)
                yield work, pool
                if len(work.waiting) < before:
                    tag = self._tags[work.job.spec.job_id]
                    self._virtual[pool] = max(
                        self._virtual.get(pool, 0.0), tag
                    )


class _RoundRobin:
    """Deficit round robin over customers within each pool."""

    def __init__(self) -> None:
        self._deficits: dict[tuple[str, str], float] = {}

    def sort(
        self, order: _shares.ShareOrder, works: Works, now_s: float
    ) -> Order:
        for group in _groups(order, works, now_s, GROUP_FIELDS):
            queues: dict[tuple[str, str], Works] = {}
            for work, pool in group:
                key = (pool, work.job.customer)
                queues.setdefault(key, []).append((work, pool))
            for key in list(self._deficits):
                if key not in queues:
                    del self._deficits[key]
            while queues:
                for key in list(queues):
                    weight = order._weights.get(key[1], 1.0)
                    deficit = self._deficits.get(key, 0.0) + weight
                    while queues[key] and deficit >= _size(queues[key][0][0]):
                        work, pool = queues[key].pop(0)
                        before = len(work.waiting)
                        size = _size(work) / before
                        yield work, pool
                        deficit -= size * (before - len(work.waiting))
                    self._deficits[key] = deficit
                    if not queues[key]:
                        del queues[key]


def _size(work: _work_index.StepWork) -> float:
    step = work.step
    cores = step.room.cpu_millicores / 1000
    return cores * step.estimate_s * len(work.waiting)


@contextlib.contextmanager
def _fleet_shares() -> Iterator[None]:
    def is_over(
        order: _shares.ShareOrder, work: _work_index.StepWork, _pool: str
    ) -> bool:
        job = work.job
        weight = order._weights.get(job.customer)
        if weight is None or work.step.is_lasting:
            return False
        # All pools are about equally large in these patterns.
        uses = [_find_use(order, queue.name) for queue in demand_world.QUEUES]
        used = sum(
            use.of_others(job.customer, job.spec.job_id)
            for use in uses
            if use is not None
        )
        return used / len(uses) > weight / sum(order._weights.values())

    with mock.patch.object(_shares.ShareOrder, '_is_over_share', is_over):
        yield


def _find_use(order: _shares.ShareOrder, pool: str) -> _shares.PoolUse | None:
    if pool not in order._uses and pool in order._pools:
        workers = order._pools[pool].workers
        order._uses[pool] = _shares.PoolUse(workers, order._jobs)
    return order._uses.get(pool)


@contextlib.contextmanager
def _ordered(create: Callable[[], Any]) -> Iterator[None]:
    sort = create()

    def patched(
        order: _shares.ShareOrder, works: Works, now_s: float
    ) -> Order:
        yield from sort(order, works, now_s)

    with mock.patch.object(_shares.ShareOrder, 'sort', patched):
        yield


VARIANTS: dict[str, Callable[[], contextlib.AbstractContextManager[Any]]] = {
    'unchanged': contextlib.nullcontext,
    'no refusals': functools.partial(
        mock.patch.object, _admission.Admission, 'judge', lambda *_: None
    ),
    'order without customers': functools.partial(
        mock.patch.object, _leader_core.LeaderCore, 'weights', {}
    ),
    'rates only': functools.partial(
        mock.patch.object,
        _shares.ShareOrder,
        '_is_over_share',
        lambda *_: False,
    ),
    'shares only': functools.partial(
        mock.patch.object, _shares.JobRates, 'is_beyond', lambda *_: False
    ),
    'shares before lateness': functools.partial(
        _ordered, lambda: _shares_before_lateness
    ),
    'shares of the fleet': _fleet_shares,
    'least dominant share first': functools.partial(
        _ordered, lambda: _least_share_first
    ),
    'start-time fair queuing': functools.partial(
        _ordered, lambda: _StartTags().sort
    ),
    'deficit round robin': functools.partial(
        _ordered, lambda: _RoundRobin().sort
    ),
}


def main(days: int = DAYS, patterns: int = len(PATTERNS)) -> None:
    """Print one row for each pattern and variant.

    Args:
        days: number of random days of each.
        patterns: number of patterns, from the first on.
    """
    rows = []
    for pattern_name, pattern in list(PATTERNS.items())[:patterns]:
        for name, variant in VARIANTS.items():
            results = []
            for seed in range(1, days + 1):
                with variant():
                    world = demand_world.DemandWorld(pattern, seed)
                    results.append(world.simulate())
            rows.append([pattern_name, name, *_summarize(results)])
    headers = (
        'pattern',
        'variant',
        'owed, earned',
        'others',
        'worst tenth of customers',
        'least weight',
        'worst windows',
        'worst queue',
        'largest jobs in time',
        'not owed, in time',
        'refused',
        'returns',
        'accepted',
    )
    print(tabulate.tabulate(rows, headers=headers))


def _summarize(results: list[demand_world.DemandResult]) -> list[float]:
    count = len(results)
    least = f'customer-{demand_world.CUSTOMER_COUNT}'
    return [
        round(sum(r.owed_share for r in results) / count, 3),
        round(sum(r.others_share for r in results) / count, 3),
        round(sum(r.worst_customers for r in results) / count, 3),
        round(sum(r.by_customer.get(least, 1.0) for r in results) / count, 3),
        round(sum(r.owed_windows for r in results) / count, 3),
        round(sum(min(r.owed_by_queue.values()) for r in results) / count, 3),
        round(sum(r.largest_in_time for r in results) / count, 3),
        round(sum(r.beyond_in_time for r in results) / count),
        round(sum(len(r.refused) for r in results) / count),
        round(sum(r.returns for r in results) / count),
        round(sum(r.returns_accepted for r in results) / count),
    ]


if __name__ == '__main__':
    fire.Fire(main)
