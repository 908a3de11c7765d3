"""Policies that decide whether an idempotent request may be retried."""

from __future__ import annotations

from abc import ABC, abstractmethod

from fulmarlever.registry import Registry

RETRY: Registry[type[RetryPolicy]] = Registry("retry policy")

MAX_SAVED_RETRIES = 10.0
"""The size of the token bucket: the retries that may follow each other at once."""


class RetryPolicy(ABC):
    """Allows or refuses the retries of one service in this daemon."""

    __slots__ = ()

    @abstractmethod
    def count_request(self, ratio: float) -> None:
        """Count the first attempt of a request.

        ``ratio`` is the number of retries that each request allows, such as 0.1.
        """

    @abstractmethod
    def take(self) -> bool:
        """Return whether one more retry is allowed, and count it if it is."""


@RETRY.register("budget")
class RetryBudget(RetryPolicy):
    """A token bucket filled by requests; limits retries to a fraction of them."""

    __slots__ = ("tokens",)

    def __init__(self) -> None:
        self.tokens = 1.0

    def count_request(self, ratio: float) -> None:
        """Add ``ratio`` tokens, up to the size of the bucket."""
        self.tokens = min(MAX_SAVED_RETRIES, self.tokens + ratio)

    def take(self) -> bool:
        """Take a token and return true, or return false if less than one is left."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@RETRY.register("always")
class AlwaysRetry(RetryPolicy):
    """Allows every retry; the naive baseline, which multiplies load under faults."""

    __slots__ = ()

    def count_request(self, ratio: float) -> None:
        """Ignore the request."""

    def take(self) -> bool:
        """Return true."""
        return True
