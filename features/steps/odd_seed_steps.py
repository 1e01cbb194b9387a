"""Steps that read settings with odd seeds."""

import json
from typing import Any

from behave import then
from behave import when

from features.steps import odd_entry_steps
from greengagering.platform import _settings
from greengagering import protocol


def control_host(seeds: str, *, is_first_start: bool) -> Any:
    """Return a control machine's settings."""
    return {
        'host': '10.0.0.1',
        'data_centre': 'z-1',
        'data_folder': '/nowhere',
        'http_address': '10.0.0.1:80',
        'link_port': 7000,
        'seed_addresses': [*seeds.split()] + [5] * (not is_first_start),
        'is_first_start': is_first_start,
        'tolerated_losses': 1,
        'machine_service_address': '10.0.0.9:80',
        'adviser_address': '',
        'metrics_port': 9464,
    }


@when('settings with the seeds "{seeds}" are read')
def read_seeds(context: Any, seeds: str) -> None:
    _read_settings(context, control_host(seeds, is_first_start=False))


@when('settings of a first start with the seeds "{seeds}" are read')
def read_first_seeds(context: Any, seeds: str) -> None:
    _read_settings(context, control_host(seeds, is_first_start=True))


def _read_settings(context: Any, document: Any) -> None:
    path = context.folder / 'settings.json'
    path.write_text(json.dumps(document))
    odd_entry_steps.read(
        context, protocol.load_settings, _settings.ControlHost, str(path)
    )


@then('the seeds "{seeds}" are used')
def check_seeds(context: Any, seeds: str) -> None:
    assert context.refusal is None, context.refusal
    used = context.result.to_settings().seeds
    assert used == tuple(seeds.split()), used


@then('the settings are refused, naming {field}')
def check_settings_refused(context: Any, field: str) -> None:
    assert context.refusal is not None, context.result
    assert field in str(context.refusal), context.refusal
