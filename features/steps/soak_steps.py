"""Steps that run seeds of the soak test."""

from typing import Any

from behave import then
from behave import when

from features.soak import run


@when('seed {seed:d} of the soak test is run')
def play_seed(context: Any, seed: int) -> None:
    context.result = run.play(seed, context.folder)


@then('no guarantee was violated')
def check_invariants(context: Any) -> None:
    assert not context.result.violations, context.result


@then(
    'jobs were accepted, cancelled and done, and configurations acknowledged'
)
def check_exercise(context: Any) -> None:
    result = context.result
    assert result.accepted > 0, result
    assert result.cancelled > 0, result
    assert result.done > 0, result
    assert result.acknowledged > 0, result
    assert result.intrusions > 0, result
