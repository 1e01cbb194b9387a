"""Fences of orders to workers: the leader's term, then the worker's process.

A worker's process refuses an order whose fence is lower than the highest that
it has seen, and a process that starts has seen none. Whatever is sent to a
worker's name may be carried out seconds later, by whichever process has that
name then. With a higher fence for each later process, it refuses what was
meant for earlier ones as soon as it has answered a poll of its own.
"""

FENCES_PER_TERM = 2**32
"""Fences that a term has for processes; far more than start in a term."""


def create_fence(term: int, process_number: int) -> int:
    """Return the fence of orders to a worker's process.

    Args:
        term: the leader's term.
        process_number: number of the process in that term; later processes
            of a worker have higher ones.
    """
    return term * FENCES_PER_TERM + min(process_number, FENCES_PER_TERM - 1)


def term_of(fence: int) -> int:
    """Return the term of the leader that gives orders with a fence."""
    return fence // FENCES_PER_TERM
