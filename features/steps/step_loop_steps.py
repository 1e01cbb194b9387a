"""Steps about a step loop whose steps take long."""

import asyncio
import time
from typing import Any
from unittest import mock

import aioprometheus
from behave import given
from behave import then
from behave import when

from greengagering import logs
from greengagering.transport import _metrics
from greengagering.transport._step_loop import StepLoop

REPORTS = 2


@given('a loop whose steps take {seconds:g} s')
def set_step(context: Any, seconds: float) -> None:
    context.step_s = seconds


@when('it runs until its second report')
def run_loop(context: Any) -> None:
    context.late_seconds = mock.create_autospec(aioprometheus.Histogram)

    async def run() -> None:
        reports = 0
        is_finished = asyncio.Event()

        def report() -> None:
            nonlocal reports
            reports += 1
            if reports == REPORTS:
                is_finished.set()

        loop = StepLoop(
            lambda: time.sleep(context.step_s), report, context.late_seconds
        )
        loop.start()
        await is_finished.wait()
        await asyncio.sleep(0)
        await loop.stop()

    with mock.patch.object(logs, 'warning') as warning:
        asyncio.run(run())
    context.lines = warning.call_args_list


@then('it has logged that it was at least {seconds:g} s late')
def check_line(context: Any, seconds: float) -> None:
    (line,) = context.lines
    assert line.args == ('loop_late',), line
    assert line.kwargs['late_s'] >= seconds, line
    assert line.kwargs['longest_step_s'] >= seconds, line


@then('every tick that was late is counted')
def check_metric(context: Any) -> None:
    observed = [
        call.args[1] for call in context.late_seconds.observe.mock_calls
    ]
    assert observed, 'no tick was counted'
    assert all(late_s >= context.step_s for late_s in observed), observed
    assert _metrics.create_control_metrics().loop_late_seconds is not None
