"""The budget of the bytes that callers' requests may use in this process."""

from __future__ import annotations

# A larger request leaves a quarter of the budget to smaller ones: ordinary jobs have a
# specification of at most 4,000 bytes.
LARGE_REQUEST_BYTES = 65536
LARGE_SHARE = 0.75


class ByteBudget:
    """Counts reserved bytes up to a limit.

    ``used`` is the sum of all reservations that have not been released.
    """

    __slots__ = ("limit", "used")

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0

    def available(self, is_large: bool = False) -> int:
        """Return how many bytes a request can reserve; negative if over the limit."""
        limit = int(self.limit * LARGE_SHARE) if is_large else self.limit
        return limit - self.used


class Reservation:
    """The bytes that one connection has reserved, which one call releases."""

    __slots__ = ("budget", "size")

    def __init__(self, budget: ByteBudget) -> None:
        self.budget = budget
        self.size = 0

    def missing(self, size: int) -> int:
        """Return how many bytes of the budget are missing to reserve ``size`` more.

        A request counts as large together with its earlier reservations.
        """
        is_large = self.size + size > LARGE_REQUEST_BYTES
        return max(0, size - self.budget.available(is_large))

    def extend(self, size: int) -> None:
        """Reserve more bytes, which the caller has found to be available."""
        self.size += size
        self.budget.used += size

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
