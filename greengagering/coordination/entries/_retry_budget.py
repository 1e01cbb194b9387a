"""Limit on retries as a share of the calls."""

RETRY_SHARE = 0.1
"""Tokens that a call adds; a retry takes one."""

INITIAL_TOKENS = 10.0
"""Tokens at the start; ten times as many is the maximum."""


class RetryBudget:
    """Token bucket: each call adds a share of a token, each retry takes one.

    Retries therefore can't multiply the load of upstreams that already fail.
    """

    def __init__(
        self,
        share: float = RETRY_SHARE,
        initial_tokens: float = INITIAL_TOKENS,
    ) -> None:
        self._share = share
        self._tokens = initial_tokens
        self._most_tokens = initial_tokens * 10

    @property
    def tokens(self) -> float:
        """Tokens left; a retry is allowed while there is at least one."""
        return self._tokens

    def earn(self) -> None:
        """Add the tokens of one call."""
        self._tokens = min(self._tokens + self._share, self._most_tokens)

    def spend(self) -> bool:
        """Take the token of a retry; return False if there is none left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
