"""The budget of the bytes that callers' requests may use in this process."""

from __future__ import annotations

# A larger request leaves a quarter of the budget to smaller ones: ordinary jobs have a
# specification of at most 4,000 bytes.
LARGE_REQUEST_BYTES = 65536
LARGE_SHARE = 0.75


class ByteBudget:
    """Counts reserved bytes up to a limit.

    ``used`` is the sum of all reservations that have not been released. Large requests
    can reserve bytes up to ``large_limit`` only.
    """

    __slots__ = ("limit", "large_limit", "used")

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.large_limit = int(limit * LARGE_SHARE)
        self.used = 0


class Reservation:
    """The bytes that one connection has reserved, which one call releases."""

    __slots__ = ("budget", "size")

    def __init__(self, budget: ByteBudget) -> None:
        self.budget = budget
        self.size = 0

    def extend(self, size: int) -> bool:
        """Reserve more bytes; return whether they were available.

        A request counts as large together with its earlier reservations.
        """
        budget = self.budget
        total = self.size + size
        is_large = total > LARGE_REQUEST_BYTES
        limit = budget.large_limit if is_large else budget.limit
        if budget.used + size > limit:
            return False
        self.size = total
        budget.used += size
        return True

    def release(self) -> None:
        """Return everything that has been reserved; does nothing the second time."""
        self.budget.used -= self.size
        self.size = 0


class SpareChunks:
    """Chunks beyond the proportion to their bytes that all connections share.

    A single client with a body of tiny chunks is served, but not a crowd of them, as
    each chunk costs processor time. The balance grows with time up to ``burst``.
    """

    __slots__ = ("per_s", "burst", "_balance", "_updated_s")

    def __init__(self, per_s: float, burst: float, now_s: float) -> None:
        self.per_s = per_s
        self.burst = burst
        self._balance = burst
        self._updated_s = now_s

    def take(self, count: int, now_s: float) -> bool:
        """Take ``count`` chunks; return whether there were so many."""
        gained = (now_s - self._updated_s) * self.per_s
        self._balance = min(self.burst, self._balance + gained)
        self._updated_s = now_s
        if self._balance < count:
            return False
        self._balance -= count
        return True
