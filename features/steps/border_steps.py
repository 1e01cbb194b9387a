"""Steps that read random input."""

from typing import Any

from behave import then
from behave import when

from features.search import border_fuzz


@when('{count:d} rounds of random input are read from seed {seed:d}')
def read_input(context: Any, count: int, seed: int) -> None:
    context.fuzz = border_fuzz.BorderFuzz(seed)
    context.fuzz.run(count)


@then('some input was taken and some was refused')
def check_counts(context: Any) -> None:
    assert context.fuzz.taken > 100, context.fuzz.taken
    assert context.fuzz.refused > 1000, context.fuzz.refused
