"""Steps that feed random input to the input validation."""

from typing import Any

from behave import then
from behave import when

from features.search import input_fuzz


@when('{count:d} rounds of random input are read from seed {seed:d}')
def read_input(context: Any, count: int, seed: int) -> None:
    context.fuzz = input_fuzz.InputFuzz(seed)
    context.fuzz.run(count)


@then('some input was accepted and some was refused')
def check_counts(context: Any) -> None:
    assert context.fuzz.accepted > 100, context.fuzz.accepted
    assert context.fuzz.refused > 1000, context.fuzz.refused
