"""HTTP headers of callers and upstreams; see docs/INTERFACES.md."""

import enum

CLASS = 'Greengagering-Class'
DEADLINE_MS = 'Greengagering-Deadline-Ms'
OUTCOME = 'Greengagering-Outcome'
REASON = 'Greengagering-Reason'
CALL_ID = 'Greengagering-Call-Id'
VM = 'Greengagering-Vm'
IDEMPOTENCY_KEY = 'Idempotency-Key'
KEY_ISSUED_AT_MS = 'Greengagering-Key-Issued-At-Ms'
RETRY_AFTER = 'Retry-After'


class CallOutcome(enum.StrEnum):
    """What a caller may conclude about its call.

    ANSWERED: an upstream ran it, and the complete answer follows.
    NOT_RUN: no upstream ran any of it.
    UNKNOWN: an upstream may have run it.
    """

    ANSWERED = 'answered'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
