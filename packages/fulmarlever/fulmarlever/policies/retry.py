"""Policies that say whether an idempotent request may be sent again."""

from __future__ import annotations

from abc import ABC, abstractmethod

from fulmarlever.registry import Registry

RETRY: Registry[type[RetryPolicy]] = Registry("retry policy")

MAX_SAVED_RETRIES = 10.0


class RetryPolicy(ABC):
    """The retries of one service in this daemon."""

    __slots__ = ()

    @abstractmethod
    def count_request(self, ratio: float) -> None:
        """Count a first try; ``ratio`` is the number of retries that it allows."""

    @abstractmethod
    def take(self) -> bool:
        """Return whether one more retry is allowed, and count it if so."""


@RETRY.register("budget")
class RetryBudget(RetryPolicy):
    """A token bucket filled by requests, so that retries stay a fraction of them."""

    __slots__ = ("tokens",)

    def __init__(self) -> None:
        self.tokens = 1.0

    def count_request(self, ratio: float) -> None:
        """Add the tokens that one request brings."""
        self.tokens = min(MAX_SAVED_RETRIES, self.tokens + ratio)

    def take(self) -> bool:
        """Return whether a whole token was left, and take it."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@RETRY.register("always")
class AlwaysRetry(RetryPolicy):
    """Allows every retry: a naive version that multiplies load under faults."""

    __slots__ = ()

    def count_request(self, ratio: float) -> None:
        """Count nothing."""

    def take(self) -> bool:
        """Return true."""
        return True
