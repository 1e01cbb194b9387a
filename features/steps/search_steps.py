"""Steps that run the fault searches."""

from typing import Any

from behave import then
from behave import when

from features.search import run


@when('{count:d} schedules of the {name} search run from seed {seed:d}')
def run_schedules(context: Any, count: int, name: str, seed: int) -> None:
    context.total, context.failures = run.run_search(name, seed, count)


@then('no schedule violates an invariant')
def check_invariants(context: Any) -> None:
    shown = [f'seed {f.seed}: {f.message}' for f in context.failures[:5]]
    assert not context.failures, '\n'.join(shown)


@then('the schedules exercised {names}')
def check_exercised(context: Any, names: str) -> None:
    for name in names.replace(' and ', ', ').split(', '):
        assert getattr(context.total, name) > 0, (name, context.total)
