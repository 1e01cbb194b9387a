"""Why runs are ordered to stop, and how it is known that they are void."""

import enum


class StopCause(enum.StrEnum):
    """Why a run is ordered to stop.

    EMPTYING: its machine is emptied for a move or an upkeep.
    DRAINING: its worker drains, and another has room.
    STALLED: it makes no progress, and another worker has room.
    JOB_FINISHED: its job or task has finished, or its job was cancelled.
    UNRESOLVED: its worker may run it or not, after unanswered start orders.
    WITHDRAWN: before its start was confirmed, its worker began to drain or to
        be emptied, or its worker's room or its customer's limit was lowered.
    """

    EMPTYING = 'emptying'
    DRAINING = 'draining'
    STALLED = 'stalled'
    JOB_FINISHED = 'job_finished'
    UNRESOLVED = 'unresolved'
    WITHDRAWN = 'withdrawn'


class VoidCause(enum.StrEnum):
    """How it is known that a run neither runs nor can start any more.

    REFUSED: its worker refused the only order to start it.
    NOT_ORDERED: its start was withdrawn before it was ordered.
    ABSENT: its worker doesn't list it.
    """

    REFUSED = 'refused'
    NOT_ORDERED = 'not_ordered'
    ABSENT = 'absent'
