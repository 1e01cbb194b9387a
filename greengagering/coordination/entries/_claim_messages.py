"""Messages about claims, between entries and the leader and among entries."""

import dataclasses
import enum

from greengagering import state


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRequest:
    """An entry asks the leader for claims."""

    entry_id: str
    boot_id: str
    address: str
    asks: tuple[state.ClaimAsk, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimResponse:
    """The leader's committed verdicts."""

    boot_id: str
    answers: tuple[state.ClaimAnswer, ...]


class KeptState(enum.StrEnum):
    """What the holder of a claim knows of its work."""

    ANSWERED = 'answered'
    GIVEN_UP = 'given_up'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderField:
    """One HTTP header of a kept answer."""

    name: str
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class KeptAnswer:
    """A whole answer, kept for callers that send the key again."""

    status: int
    fields: tuple[HeaderField, ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeRequest:
    """An entry asks a claim's holder for the outcome of its work."""

    entry_id: str
    address: str
    boot_id: str
    key_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeResponse:
    """The holder's answer, once its work has ended.

    Attributes:
        boot_id: the process that the request asked about.
        key_id: the key.
        state: answered, given up without running anything, or unknown.
        answer: the answer, where there is one.
    """

    boot_id: str
    key_id: str
    state: KeptState
    answer: KeptAnswer | None = None
