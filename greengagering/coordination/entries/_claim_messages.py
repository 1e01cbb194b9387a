"""Messages about claims: between entries and the leader, among entries."""

import dataclasses
import enum

from greengagering import state


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Request of an entry to the leader for claims."""

    entry_id: str
    boot_id: str
    address: str
    asks: tuple[state.ClaimAsk, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimResponse:
    """The leader's committed verdicts on requested claims."""

    boot_id: str
    answers: tuple[state.ClaimAnswer, ...]


class KeptState(enum.StrEnum):
    """Outcome of the work of a claim, as its holder knows it."""

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
    """A complete answer, kept for callers that send the key again."""

    status: int
    fields: tuple[HeaderField, ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeRequest:
    """Request of an entry to a claim's holder for the outcome of its work."""

    entry_id: str
    address: str
    boot_id: str
    key_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeResponse:
    """The holder's answer, once its work has ended.

    Attributes:
        boot_id: the process that the request was for.
        key_id: the key.
        state: answered, given up without running anything, or unknown.
        answer: the answer, where there is one.
    """

    boot_id: str
    key_id: str
    state: KeptState
    answer: KeptAnswer | None = None
