"""The part of the drain limit that requests in progress may use."""

from __future__ import annotations

from fulmarleverd.kernel import Kernel

HAND_OVER_S = 2.0
HAND_OVER_PART = 0.2


def requests_left_s(kernel: Kernel) -> float:
    """Return the seconds left for requests, less the time to hand slots over."""
    reserve_s = min(HAND_OVER_S, HAND_OVER_PART * kernel.settings.drain_limit_s)
    return max(0.0, kernel.drain_left_s() - reserve_s)
