"""Claims of idempotency keys: which entry may run a key's work, once."""

import dataclasses
import enum

KEEP_MS = 15 * 60 * 1000
"""How long a claim is kept after it was made."""

MAX_SKEW_MS = 60 * 1000
"""Bound on the difference of the Unix clocks of callers and leaders."""

MAX_CLAIMS = 20_000


class ClaimVerdict(enum.StrEnum):
    """What became of an ask."""

    GRANTED = 'granted'
    HELD = 'held'
    EXPIRED = 'expired'
    FULL = 'full'


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimAsk:
    """An entry's wish to run a key's work.

    Attributes:
        key_id: hash of service and key.
        body_digest: hash of the request, to tell a resend from other work.
        issued_at_ms: Unix time at which the caller made the key.
        taken_from: boot of an entry that gave the claim up without running
            anything, or ''.
    """

    key_id: str
    body_digest: str
    issued_at_ms: int
    taken_from: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A key whose work one process of an entry may run."""

    body_digest: str
    entry_id: str
    boot_id: str
    claimed_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimsAsked:
    """Asks of one entry, decided in the order of the log."""

    entry_id: str
    boot_id: str
    asks: tuple[ClaimAsk, ...]
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimsPurged:
    """Claims made before a time are forgotten."""

    before_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimAnswer:
    """The verdict on one ask.

    Attributes:
        key_id: the key.
        verdict: what became of the ask.
        holder: the claim that stands, where one does.
    """

    key_id: str
    verdict: ClaimVerdict
    holder: Claim | None = None


def decide_claims(
    claims: dict[str, Claim], asked: ClaimsAsked
) -> tuple[ClaimAnswer, ...]:
    """Decide on asks in order, and record the claims that are granted."""
    return tuple(_decide(claims, asked, ask) for ask in asked.asks)


def purge_claims(claims: dict[str, Claim], purged: ClaimsPurged) -> None:
    """Forget claims that were made before a time."""
    old = [
        key_id
        for key_id, claim in claims.items()
        if claim.claimed_at_ms < purged.before_ms
    ]
    for key_id in old:
        del claims[key_id]


def _decide(
    claims: dict[str, Claim], asked: ClaimsAsked, ask: ClaimAsk
) -> ClaimAnswer:
    holder = claims.get(ask.key_id)
    if holder is not None:
        is_own = holder.boot_id == asked.boot_id
        is_taken = holder.boot_id == ask.taken_from
        is_same_work = holder.body_digest == ask.body_digest
        if not is_same_work or not (is_own or is_taken):
            return ClaimAnswer(ask.key_id, ClaimVerdict.HELD, holder)
        return _grant(claims, asked, ask)
    # A claim that was purged was made at most MAX_SKEW_MS before its key was
    # issued, so every key young enough to pass has not been purged.
    age_ms = asked.at_ms - ask.issued_at_ms
    if age_ms > KEEP_MS - MAX_SKEW_MS or age_ms < -MAX_SKEW_MS:
        return ClaimAnswer(ask.key_id, ClaimVerdict.EXPIRED)
    if len(claims) >= MAX_CLAIMS:
        return ClaimAnswer(ask.key_id, ClaimVerdict.FULL)
    return _grant(claims, asked, ask)


def _grant(
    claims: dict[str, Claim], asked: ClaimsAsked, ask: ClaimAsk
) -> ClaimAnswer:
    claim = Claim(
        body_digest=ask.body_digest,
        entry_id=asked.entry_id,
        boot_id=asked.boot_id,
        claimed_at_ms=asked.at_ms,
    )
    claims[ask.key_id] = claim
    return ClaimAnswer(ask.key_id, ClaimVerdict.GRANTED, claim)
