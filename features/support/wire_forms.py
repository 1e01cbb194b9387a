"""Forms of stored records and link messages: samples, and readers of a form.

Run "python -m features.support.wire_forms" to print the forms of this
version as JSON. former_forms.json holds those of an earlier landing.
"""

import base64
import dataclasses
import enum
import json
import types
import typing
from typing import Any

from greengagering.protocol import _link_codec
from greengagering import state
from greengagering.state import _model

STORED_STATES = (state.ControlState,)
"""Data classes that snapshots store, besides the records."""

_BUILTINS = {
    'None': type(None),
    'Any': Any,
    **{t.__name__: t for t in (str, int, float, bool, bytes)},
}
_COLLECTIONS = {t.__name__: t for t in (tuple, list, dict, set, frozenset)}


@dataclasses.dataclass
class Forms:
    """How one version writes its records and messages.

    Attributes:
        classes: fields of each data class, as name and type.
        enums: values of each enumeration.
        samples: encoded sample of each record, message and stored state.
    """

    classes: dict[str, list[tuple[str, str]]] = dataclasses.field(
        default_factory=dict
    )
    enums: dict[str, list[Any]] = dataclasses.field(default_factory=dict)
    samples: dict[str, str] = dataclasses.field(default_factory=dict)


def outer_types() -> dict[str, type[Any]]:
    """Return the types that leave a process, by name."""
    kinds = dict(_model.RECORD_TYPES) | dict(_link_codec._KINDS)
    return kinds | {kind.__name__: kind for kind in STORED_STATES}


def describe_forms() -> Forms:
    """Return the forms of this version, with a sample of each."""
    forms = Forms()
    for name, kind in outer_types().items():
        _describe(kind, forms)
        encoded = state.encode(make_sample(kind))
        forms.samples[name] = base64.b64encode(encoded).decode()
    return forms


def make_sample(kind: Any) -> Any:
    """Return a value of a type in which no field has its default."""
    if kind in (str, int, float, bool, bytes):
        return {str: 'text', int: 7, float: 2.5, bool: True, bytes: b'raw'}[
            kind
        ]
    if kind is Any:
        return 'any'
    if dataclasses.is_dataclass(kind):
        hints = typing.get_type_hints(kind)
        fields = [f for f in dataclasses.fields(kind) if f.init]
        create: Any = kind
        return create(**{f.name: make_sample(hints[f.name]) for f in fields})
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return list(kind)[-1]
    return _make_collection(kind)


def _make_collection(kind: Any) -> Any:
    origin, arguments = typing.get_origin(kind), typing.get_args(kind)
    if origin in (types.UnionType, typing.Union):
        return make_sample(next(a for a in arguments if a is not type(None)))
    if origin is dict:
        return {make_sample(arguments[0]): make_sample(arguments[1])}
    if origin is tuple and Ellipsis not in arguments:
        return tuple(make_sample(a) for a in arguments)
    return origin([make_sample(arguments[0])])


def create_reader(name: str, forms: Forms) -> Any:
    """Return the data class that a version of these forms reads."""
    return _Readers(forms).resolve(name)


class _Readers:
    """Classes made from forms, so that an old version's reader is at hand."""

    def __init__(self, forms: Forms) -> None:
        self._forms = forms
        self._made: dict[str, Any] = {}

    def resolve(self, text: str) -> Any:
        """Return the type that a description names."""
        names = {
            **_BUILTINS,
            **_COLLECTIONS,
            **{n: self._make(n) for n in self._names_in(text)},
        }
        return eval(text, {'__builtins__': {}}, names)

    def _names_in(self, text: str) -> list[str]:
        known = self._forms.classes.keys() | self._forms.enums.keys()
        words = ''.join(c if c.isalnum() else ' ' for c in text).split()
        return [word for word in words if word in known]

    def _make(self, name: str) -> Any:
        if name in self._made:
            return self._made[name]
        if name in self._forms.enums:
            values = self._forms.enums[name]
            members = {f'VALUE_{n}': v for n, v in enumerate(values)}
            create: Any = enum.Enum
            made: Any = create(name, members)
        else:
            fields = [
                (field, self.resolve(text))
                for field, text in self._forms.classes[name]
            ]
            made = dataclasses.make_dataclass(name, fields)
        self._made[name] = made
        return made


def _describe(kind: Any, forms: Forms) -> str:
    """Return a type's description, and add the classes that it uses."""
    if kind is type(None):
        return 'None'
    if kind is Any or getattr(kind, '__name__', '') in _BUILTINS:
        return 'Any' if kind is Any else str(kind.__name__)
    if dataclasses.is_dataclass(kind):
        return _describe_class(kind, forms)
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        forms.enums[kind.__name__] = [member.value for member in kind]
        return kind.__name__
    origin, arguments = typing.get_origin(kind), typing.get_args(kind)
    parts = [
        '...' if a is Ellipsis else _describe(a, forms) for a in arguments
    ]
    if origin in (types.UnionType, typing.Union):
        return ' | '.join(parts)
    return f'{origin.__name__}[{", ".join(parts)}]'


def _describe_class(kind: Any, forms: Forms) -> str:
    name = str(kind.__name__)
    if name not in forms.classes:
        forms.classes[name] = []
        hints = typing.get_type_hints(kind)
        forms.classes[name] = [
            (f.name, _describe(hints[f.name], forms))
            for f in dataclasses.fields(kind)
        ]
    return name


if __name__ == '__main__':
    print(json.dumps(dataclasses.asdict(describe_forms()), indent=1))
