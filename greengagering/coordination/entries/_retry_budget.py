"""A bound on retries as a share of the calls."""

RETRY_SHARE = 0.1
MIN_TOKENS = 10.0


class RetryBudget:
    """Each call earns a share of a retry, and each retry spends a whole one.

    Retries therefore can't multiply the load of upstreams that already fail.
    """

    def __init__(self) -> None:
        self._tokens = MIN_TOKENS

    @property
    def tokens(self) -> float:
        """Retries that may be spent now."""
        return self._tokens

    def earn(self) -> None:
        """Count a call."""
        self._tokens = min(self._tokens + RETRY_SHARE, MIN_TOKENS * 10)

    def spend(self) -> bool:
        """Take a retry if there is one left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
