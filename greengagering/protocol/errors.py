"""Errors of the protocol layer."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class FieldError:
    """One field that can't be accepted.

    Attributes:
        field: path of the field, with dots between its parts.
        value: the value as it was given, shortened.
        message: what is wrong and what would be right.
    """

    field: str
    value: str
    message: str

    def __str__(self) -> str:
        return f'field {self.field}: {self.message} (value: {self.value})'


class ProtocolError(Exception):
    """Base class of every error that the protocol layer raises."""


class InvalidInputError(ProtocolError):
    """Input from outside that doesn't fit its model.

    Attributes:
        source: file or request that held the input.
        fields: every field at fault.
    """

    def __init__(self, source: str, fields: list[FieldError]) -> None:
        self.source = source
        self.fields = fields
        details = '; '.join(str(field) for field in fields)
        super().__init__(f'{source}: {details}')


class UnknownMessageError(ProtocolError):
    """A message between processes that this version can't decode."""
