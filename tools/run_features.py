"""Runs the features in parallel and prints a summary of their scenarios.

A unit of work is a feature, or a single scenario of a feature tagged @split.
A feature tagged @alone runs after all others, with nothing beside it.
A failure of a scenario listed in KNOWN-RED.txt is printed, but does not fail
the run.
"""

import concurrent.futures
import dataclasses
import json
import os
import pathlib
import queue
import re
import subprocess
import sys
import tempfile
import time
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
SLOTS = 4
"""Units that run in parallel: half of the usual machine's processors."""

HEAVY = ('fault_search', 'control_faults', 'claims', 'waves', 'tickets')
"""Features that are started first because they take the longest."""


@dataclasses.dataclass(frozen=True)
class Outcome:
    """Outcome of a scenario.

    Attributes:
        name: feature file and scenario title.
        status: passed, failed, skipped or another status name of behave.
        message: the failed step and its error message, or empty.
    """

    name: str
    status: str
    message: str = ''


@dataclasses.dataclass(frozen=True)
class UnitResult:
    """Output of a unit of work, and the outcomes of its scenarios."""

    unit: str
    output: str
    outcomes: list[Outcome]
    seconds: float


def main(arguments: list[str]) -> int:
    """Run the features and return the exit code."""
    units = arguments or find_units()
    slots: queue.Queue[int] = queue.Queue()
    for number in range(SLOTS):
        slots.put(number)
    outcomes: list[Outcome] = []
    with concurrent.futures.ThreadPoolExecutor(SLOTS) as pool:
        futures = [
            pool.submit(run_unit, unit, slots)
            for unit in units
            if not runs_alone(unit)
        ]
        for future in concurrent.futures.as_completed(futures):
            result = future.result()
            outcomes += result.outcomes
            print_result(result)
    for unit in filter(runs_alone, units):
        result = run_unit(unit, slots)
        outcomes += result.outcomes
        print_result(result)
    return print_summary(outcomes)


def runs_alone(unit: str) -> bool:
    """Return whether a unit must have nothing beside it."""
    path = ROOT / unit.partition(':')[0]
    return '@alone' in path.read_text().partition('\n')[0]


def find_units() -> list[str]:
    """Return the units of work, those of HEAVY features first."""
    units = []
    for path in sorted((ROOT / 'features').glob('*.feature')):
        name = str(path.relative_to(ROOT))
        lines = path.read_text().splitlines()
        if '@split' not in lines[0]:
            units.append(name)
            continue
        units += [
            f'{name}:{number}'
            for number, line in enumerate(lines, 1)
            if re.match(r'\s*Scenario', line)
        ]
    return sorted(units, key=lambda unit: not any(h in unit for h in HEAVY))


def run_unit(unit: str, slots: 'queue.Queue[int]') -> UnitResult:
    """Run one unit in a separate process."""
    slot = slots.get()
    started_s = time.monotonic()
    try:
        with tempfile.TemporaryDirectory() as folder:
            report = pathlib.Path(folder, 'report.json')
            done = subprocess.run(
                [
                    str(pathlib.Path(sys.executable).parent / 'behave'),
                    '--no-capture',
                    '--format=progress',
                    '--format=json',
                    f'--outfile={os.devnull}',
                    f'--outfile={report}',
                    unit,
                ],
                cwd=ROOT,
                env={**os.environ, 'FEATURE_PORT_SLOT': f'{slot}/{SLOTS}'},
                stdin=subprocess.DEVNULL,
                capture_output=True,
                text=True,
            )
            outcomes = read_report(unit, report)
    finally:
        slots.put(slot)
    if done.returncode and not any(o.status == 'failed' for o in outcomes):
        outcomes.append(Outcome(f'{unit} (as a whole)', 'failed'))
    seconds = time.monotonic() - started_s
    return UnitResult(unit, done.stdout + done.stderr, outcomes, seconds)


def read_report(unit: str, report: pathlib.Path) -> list[Outcome]:
    """Return the outcomes in a report, without unselected scenarios."""
    try:
        features = json.loads(report.read_text())
    except (OSError, ValueError):
        return [Outcome(f'{unit} (no report)', 'failed')]
    is_part = ':' in unit
    return [
        Outcome(
            _name_scenario(feature, element),
            element['status'],
            _find_message(element),
        )
        for feature in features
        for element in feature['elements']
        if element['type'] == 'scenario'
        and not (is_part and element['status'] == 'skipped')
    ]


def _name_scenario(feature: dict[str, Any], element: dict[str, Any]) -> str:
    path = feature['location'].partition(':')[0]
    # The name of an outline's example ends with a space.
    return f'{path}: {element["name"].strip()}'


def _find_message(element: dict[str, Any]) -> str:
    """Return the name and error message of the step that failed, or empty."""
    for step in element['steps']:
        message = step.get('result', {}).get('error_message', '')
        if message:
            text = message if isinstance(message, str) else '\n'.join(message)
            return f'{step["name"]}:\n{text}'
    return ''


def print_result(result: UnitResult) -> None:
    """Print a line about a unit, and its whole output if a scenario failed."""
    failed = [o for o in result.outcomes if o.status != 'passed']
    count = len(result.outcomes)
    print(f'{result.seconds:6.1f} s  {count:3} scenarios  {result.unit}')
    if failed:
        print(result.output)
    for outcome in failed:
        if outcome.message:
            print(f'{outcome.name}: {outcome.message}')
    sys.stdout.flush()


def read_known_red() -> set[str]:
    """Return the names of the scenarios listed in KNOWN-RED.txt."""
    if not KNOWN_RED.exists():
        return set()
    found = re.findall(r'^test: (.+)$', KNOWN_RED.read_text(), re.MULTILINE)
    return {name.strip() for name in found}


def print_summary(outcomes: list[Outcome]) -> int:
    """Print the summary and return the exit code."""
    known = read_known_red()
    failed = [o for o in outcomes if o.status not in ('passed', 'skipped')]
    known_failed = [o for o in failed if o.name in known]
    unknown = [o for o in failed if o.name not in known]
    for outcome in unknown:
        print(f'failed: {outcome.name}')
    for outcome in known_failed:
        print(f'known red, see KNOWN-RED.txt: {outcome.name}')
    passed = sum(o.status == 'passed' for o in outcomes)
    skipped = sum(o.status == 'skipped' for o in outcomes)
    if known_failed:
        print(f'{len(known_failed)} known red passed over')
    print(
        f'scenarios: {passed} passed, {len(unknown)} failed, {skipped} skipped'
    )
    return 1 if unknown or not passed else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
