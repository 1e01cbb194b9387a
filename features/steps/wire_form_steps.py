"""Steps that exchange messages and records between two versions."""

import base64
import json
import pathlib
from typing import Any

from behave import given
from behave import then
from behave import when

from features.support import wire_forms
from greengagering import state

FORMER_FORMS = pathlib.Path(wire_forms.__file__).with_name('former_forms.json')


@given('the forms of the former landing')
def load_forms(context: Any) -> None:
    context.former = wire_forms.Forms(**json.loads(FORMER_FORMS.read_text()))
    context.decoded = []


@when('this version decodes every sample of it')
def decode_former(context: Any) -> None:
    kinds = wire_forms.outer_types()
    for name, sample in context.former.samples.items():
        state.decode(base64.b64decode(sample), kinds[name])
        context.decoded.append(name)


@when('a reader of those forms decodes what this version encodes')
def decode_by_former(context: Any) -> None:
    kinds = wire_forms.outer_types()
    for name in context.former.samples:
        reader = wire_forms.create_reader(name, context.former)
        sample = wire_forms.make_sample(kinds[name])
        state.decode(state.encode(sample), reader)
        context.decoded.append(name)


@then('every sample was decoded')
def check_decoded(context: Any) -> None:
    assert context.decoded == list(context.former.samples)
