"""The part of the drain limit that is left for requests in progress."""

from __future__ import annotations

from fulmarleverd.kernel import Kernel

# Time kept back from the drain limit for releasing slots to other daemons.
MAX_RELEASE_RESERVE_S = 2.0
RELEASE_RESERVE_FRACTION = 0.2


def request_drain_left_s(kernel: Kernel) -> float:
    """Return the seconds left for requests, without the reserve to release slots."""
    reserve_s = min(
        MAX_RELEASE_RESERVE_S, RELEASE_RESERVE_FRACTION * kernel.settings.drain_limit_s
    )
    return max(0.0, kernel.drain_left_s() - reserve_s)
