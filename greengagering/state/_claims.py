"""Claims of idempotency keys.

A claim allows one process of one entry to run the work of a key once.
"""

import dataclasses
import enum

CLAIM_RETENTION_MS = 15 * 60 * 1000
"""How long a claim is kept after it was granted."""

MAX_SKEW_MS = 60 * 1000
"""Bound on the difference of the Unix clocks of callers and leaders."""

MAX_CLAIMS = 20_000


class ClaimVerdict(enum.StrEnum):
    """The decision on a requested claim."""

    GRANTED = 'granted'
    HELD = 'held'
    EXPIRED = 'expired'
    FULL = 'full'


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimAsk:
    """A request of an entry for a claim.

    Attributes:
        key_id: hash of service and key.
        body_digest: hash of the caller's request, to distinguish a resend
            from another request under the same key.
        issued_at_ms: Unix time at which the caller created the key.
        taken_from: boot id of an entry that gave the claim up without running
            the work, or ''.
    """

    key_id: str
    body_digest: str
    issued_at_ms: int
    taken_from: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A granted claim: the process of an entry that may run a key's work."""

    body_digest: str
    entry_id: str
    boot_id: str
    claimed_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimsAsked:
    """Claim requests of one entry, decided in log order."""

    entry_id: str
    boot_id: str
    asks: tuple[ClaimAsk, ...]
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimsPurged:
    """Claims granted before a time are removed."""

    before_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimAnswer:
    """The answer to one claim request.

    Attributes:
        key_id: hash of service and key.
        verdict: the decision.
        holder: the claim that is in force, or None.
    """

    key_id: str
    verdict: ClaimVerdict
    holder: Claim | None = None


def decide_claims(
    claims: dict[str, Claim], asked: ClaimsAsked
) -> tuple[ClaimAnswer, ...]:
    """Decide on requests in order, and add the granted claims."""
    return tuple(_decide(claims, asked, request) for request in asked.asks)


def purge_claims(claims: dict[str, Claim], purged: ClaimsPurged) -> None:
    """Remove claims that were granted before a time."""
    old = [
        key_id
        for key_id, claim in claims.items()
        if claim.claimed_at_ms < purged.before_ms
    ]
    for key_id in old:
        del claims[key_id]


def _decide(
    claims: dict[str, Claim], asked: ClaimsAsked, request: ClaimAsk
) -> ClaimAnswer:
    holder = claims.get(request.key_id)
    if holder is not None:
        is_own = holder.boot_id == asked.boot_id
        is_handed_over = holder.boot_id == request.taken_from
        is_same_work = holder.body_digest == request.body_digest
        if not is_same_work or not (is_own or is_handed_over):
            return ClaimAnswer(request.key_id, ClaimVerdict.HELD, holder)
        return _grant(claims, asked, request)
    # A claim is granted at most MAX_SKEW_MS before the issue time of its key,
    # so a key that passes this age check can't belong to a purged claim.
    age_ms = asked.at_ms - request.issued_at_ms
    if age_ms > CLAIM_RETENTION_MS - MAX_SKEW_MS or age_ms < -MAX_SKEW_MS:
        return ClaimAnswer(request.key_id, ClaimVerdict.EXPIRED)
    if len(claims) >= MAX_CLAIMS:
        return ClaimAnswer(request.key_id, ClaimVerdict.FULL)
    return _grant(claims, asked, request)


def _grant(
    claims: dict[str, Claim], asked: ClaimsAsked, request: ClaimAsk
) -> ClaimAnswer:
    claim = Claim(
        body_digest=request.body_digest,
        entry_id=asked.entry_id,
        boot_id=asked.boot_id,
        claimed_at_ms=asked.at_ms,
    )
    claims[request.key_id] = claim
    return ClaimAnswer(request.key_id, ClaimVerdict.GRANTED, claim)
