"""Validation of input, with errors that name each field and its value."""

import difflib
import json
from typing import Any
from typing import TypeVar

import pydantic

from greengagering.protocol import errors

Model = TypeVar('Model', bound=pydantic.BaseModel)

MAX_SHOWN_CHARACTERS = 80
MAX_SHOWN_ERRORS = 20
WHOLE_INPUT = '(whole input)'


class InputModel(pydantic.BaseModel):
    """Base of input models: strict types, no unknown fields, immutable."""

    model_config = pydantic.ConfigDict(
        extra='forbid', strict=True, frozen=True, allow_inf_nan=False
    )


def parse(model: type[Model], data: bytes | str, source: str) -> Model:
    """Validate JSON from outside.

    Args:
        model: model that the input must fit.
        data: the input.
        source: where it came from, for the error.

    Raises:
        InvalidInputError: every field at fault, with its value.
    """
    try:
        return model.model_validate_json(data)
    except pydantic.ValidationError as error:
        found = error.errors(include_url=False)[:MAX_SHOWN_ERRORS]
        fields = [_to_field_error(model, item) for item in found]
        raise errors.InvalidInputError(source, fields) from error


def _to_field_error(
    model: type[pydantic.BaseModel], item: Any
) -> errors.FieldError:
    location = tuple(
        part[:MAX_SHOWN_CHARACTERS] if isinstance(part, str) else part
        for part in item['loc']
    )
    field = '.'.join(str(part) for part in location) or WHOLE_INPUT
    message = item['msg'].removeprefix('Value error, ')
    if item['type'] == 'extra_forbidden':
        message = _describe_unknown(model, location)
    return errors.FieldError(field, shorten(item.get('input')), message)


def _describe_unknown(
    model: type[pydantic.BaseModel], location: tuple[str | int, ...]
) -> str:
    """Return a message that suggests the most similar known field.

    A field given in another unit, such as lease_ms for lease_s, is the usual
    mistake, so names are compared without their unit too.
    """
    known = _fields_at(model, location[:-1])
    name = str(location[-1])
    close = difflib.get_close_matches(name, known, n=1)
    if not close:
        stem = name.rsplit('_', 1)[0]
        close = [k for k in known if k.rsplit('_', 1)[0] == stem][:1]
    if close:
        return f'unknown field; did you mean {close[0]}?'
    return f'unknown field; known fields: {", ".join(known)}'


def _fields_at(
    model: type[pydantic.BaseModel], location: tuple[str | int, ...]
) -> list[str]:
    current: Any = model
    for part in location:
        if isinstance(part, int):
            continue
        annotation = current.model_fields[part].annotation
        current = _find_model(annotation)
        if current is None:
            return []
    return list(current.model_fields)


def _find_model(annotation: Any) -> type[pydantic.BaseModel] | None:
    if isinstance(annotation, type) and issubclass(
        annotation, pydantic.BaseModel
    ):
        return annotation
    for argument in getattr(annotation, '__args__', ()):
        found = _find_model(argument)
        if found is not None:
            return found
    return None


def shorten(value: Any) -> str:
    """Return a value as text, cut to MAX_SHOWN_CHARACTERS."""
    if isinstance(value, bytes):
        value = value.decode(errors='replace')
    if isinstance(value, str):
        text = repr(value[: MAX_SHOWN_CHARACTERS + 1])
    else:
        text = json.dumps(value, default=str)
    if len(text) > MAX_SHOWN_CHARACTERS:
        return text[:MAX_SHOWN_CHARACTERS] + '...'
    return text
