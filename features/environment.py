"""Sets up and tears down each scenario."""

import pathlib
import shutil
import tempfile
from typing import Any

from features.support.system import System


def before_scenario(context: Any, scenario: Any) -> None:
    """Create the folder and the system of a scenario."""
    context.folder = pathlib.Path(tempfile.mkdtemp(prefix='greengagering-'))
    context.system = System(context.folder)


def after_scenario(context: Any, scenario: Any) -> None:
    """Stop what the scenario started; print the logs if it failed."""
    if scenario.status.has_failed():
        print(context.system.log_tails())
    context.system.close()
    shutil.rmtree(context.folder, ignore_errors=True)


def before_all(context: Any) -> None:
    """Initialize the counts of scenarios for the summary."""
    context.counts = {'passed': 0, 'failed': 0, 'skipped': 0}


def after_feature(context: Any, feature: Any) -> None:
    """Add a feature's scenarios to the counts."""
    for scenario in feature.walk_scenarios():
        name = scenario.status.name
        if name not in context.counts:
            name = 'failed'
        context.counts[name] += 1


def after_all(context: Any) -> None:
    """Print the summary."""
    counts = context.counts
    print(
        f'scenarios: {counts["passed"]} passed, {counts["failed"]} failed, '
        f'{counts["skipped"]} skipped'
    )
