"""Calls, and what the dispatcher decides about them."""

import dataclasses
import enum


class CallClass(enum.StrEnum):
    """How soon a caller needs its answer."""

    URGENT = 'urgent'
    PATIENT = 'patient'


class RefusalReason(enum.StrEnum):
    """Why a call was refused without running."""

    UNKNOWN_SERVICE = 'unknown_service'
    NO_LEASE = 'no_lease'
    STOPPING = 'stopping'
    QUEUE_FULL = 'queue_full'
    DEADLINE_TOO_CLOSE = 'deadline_too_close'
    DEADLINE_PASSED = 'deadline_passed'
    NO_UPSTREAM = 'no_upstream'
    RETRIES_SPENT = 'retries_spent'
    KEY_REUSED = 'key_reused'
    KEY_EXPIRED = 'key_expired'
    CLAIMS_FULL = 'claims_full'
    CLAIM_UNAVAILABLE = 'claim_unavailable'
    OUTCOME_UNKNOWN = 'outcome_unknown'


@dataclasses.dataclass(eq=False, slots=True)
class Call:
    """One call that waits for or holds an upstream's slot.

    Attributes:
        call_id: unique name, for logs and for the upstream.
        service: service that the caller asked for.
        call_class: urgent or patient.
        deadline_s: entry's clock by which the answer is due.
        attempts: number of times that it was assigned to an upstream.
        avoided_vms: VMs whose upstreams failed or refused it.
        is_waiting: whether it still waits in a queue.
    """

    call_id: str
    service: str
    call_class: CallClass
    deadline_s: float
    attempts: int = 0
    avoided_vms: set[str] = dataclasses.field(default_factory=set)
    is_waiting: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Upstream that has a slot for a call."""

    vm: str
    address: str
    boot_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """A call and the upstream that it is assigned to."""

    call: Call
    target: Target


@dataclasses.dataclass(frozen=True, slots=True)
class CallRefusal:
    """Refusal of a call that was not run.

    Attributes:
        reason: machine-readable cause.
        retry_after_s: time after which to retry, or 0 if waiting doesn't help.
    """

    reason: RefusalReason
    retry_after_s: float = 0.0


class AttemptOutcome(enum.StrEnum):
    """How an attempt to run a call at an upstream ended."""

    ANSWERED = 'answered'
    FULL = 'full'
    FAILED = 'failed'
    ABANDONED = 'abandoned'
