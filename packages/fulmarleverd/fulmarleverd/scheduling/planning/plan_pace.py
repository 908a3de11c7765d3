"""How long the owner waits between two plans."""

from __future__ import annotations

from fulmarleverd.scheduling.planning.start_rate import MAX_REFILL_S

PAUSE_S = 0.004
# After a plan that could not start anything; little has changed a moment later.
IDLE_PAUSE_S = 0.02
# After each plan, other work gets this multiple of the plan's duration.
PAUSE_PER_PLAN = 2.0
# A plan takes longer than its work if the process or its VM stands still meanwhile.
MAX_PAUSE_S = 1.0
# While the rate of starts is limited, so that a plan starts more than one task and the
# processor is left to reports.
LIMITED_PAUSE_S = 0.1
LIMITED_PAUSE_PER_PLAN = 5.0


def pause_s(started: int, took_s: float, is_limiting: bool) -> float:
    """Return the seconds to wait after a plan that took ``took_s`` seconds.

    While the rate of starts is limiting, a plan and its pause take no longer than the
    starts of that time are kept.
    """
    if not is_limiting:
        shortest_s = PAUSE_S if started else IDLE_PAUSE_S
        return max(shortest_s, min(MAX_PAUSE_S, PAUSE_PER_PLAN * took_s))
    longest_s = MAX_REFILL_S - took_s
    return max(LIMITED_PAUSE_S, min(longest_s, LIMITED_PAUSE_PER_PLAN * took_s))
