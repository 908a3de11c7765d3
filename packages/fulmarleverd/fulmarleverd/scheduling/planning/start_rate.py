"""Limits the starts per second to what the owner's VM can carry.

The rate follows the delay of the owner's event loop, and of the fastest answers to its
starts if the VM's link is full (additive increase, multiplicative decrease). Without a
limit, an owner that is short of processor time reads the reports of running tasks too
late, and then spends its time on the consequences.
"""

from __future__ import annotations

from fulmarlever.clock import Clock
from fulmarleverd.loop_delay import LoopDelay

# Assumed for each core of the VM before the delay tells more.
INITIAL_STARTS_PER_CORE_S = 1500.0
MIN_STARTS_PER_S = 10.0
MAX_STARTS_PER_S = 5000.0
# Unused starts that are kept for the next plan, in seconds of the rate.
BURST_S = 0.1
# While the loop is punctual, the starts of a longer time without a plan may be made at
# once. It covers the pauses between plans, so that these do not lower the rate.
MAX_REFILL_S = 1.0
ADJUST_PERIOD_S = 0.1
# Above this delay the loop has more work than it can do.
MAX_DELAY_S = 0.2
# If even the fastest of several workers takes longer to answer, the link is full.
MAX_LEAST_ANSWER_S = 0.3
MIN_ANSWERS = 5
# Above this delay nothing is started, and the rate falls faster: the rate was far too
# high, and the work in hand has to be done first.
STOP_DELAY_S = 0.6
# The delay shows the effect of a decrease only after the work in hand is done.
DECREASE_PERIOD_S = 0.5
DECREASE_FACTOR = 0.75
FAST_DECREASE_FACTOR = 0.4
# A limit above this multiple of the starts that were made has no effect.
FAR_TOO_HIGH_FACTOR = 2.0
# While no decrease was needed yet, the rate grows by this factor in each period.
PROBE_FACTOR = 1.15
# Afterwards it grows by this many starts per second in each period.
INCREASE_STARTS_PER_S = 4.0
# The weight of the last period in the averages.
MEAN_WEIGHT = 0.1
# The owner is overloaded while this share of the last periods used up their starts. On
# a VM that is never late, a burst uses them up for a moment only.
OVERLOADED_SHARE = 0.6
# For this long after the tokens were used up, the rate counts as the limit of starts.
LIMITING_S = 1.0


class StartRate:
    """A token bucket whose rate adapts to the delay of the event loop.

    ``per_s`` is the present limit in starts per second. It grows only while it is used
    up. ``made_per_s`` is the average of the starts made in the last seconds. ``cores``
    are those that the owner itself may use.
    """

    __slots__ = (
        "per_s",
        "made_per_s",
        "_made",
        "_delay",
        "_clock",
        "_tokens",
        "_refilled_at_s",
        "_adjusted_at_s",
        "_decreased_at_s",
        "_has_decreased",
        "_is_used_up",
        "_share_used_up",
        "_used_up_at_s",
        "_least_answer_s",
        "_answers",
    )

    def __init__(self, delay: LoopDelay, clock: Clock, cores: float = 1.0) -> None:
        initial_per_s = max(MIN_STARTS_PER_S, INITIAL_STARTS_PER_CORE_S * cores)
        self.per_s = self.made_per_s = initial_per_s
        self._made = 0
        self._delay = delay
        self._clock = clock
        self._tokens = self.per_s * BURST_S
        self._refilled_at_s = self._adjusted_at_s = clock.monotonic()
        self._decreased_at_s = float("-inf")
        self._has_decreased = False
        self._is_used_up = False
        self._share_used_up = 0.0
        self._used_up_at_s = float("-inf")
        self._least_answer_s = float("inf")
        self._answers = 0

    def available(self) -> int:
        """Return how many starts may be made now."""
        now = self._clock.monotonic()
        self._adjust(now)
        refilled = (now - self._refilled_at_s) * self.per_s * self._punctual_share()
        self._refilled_at_s = now
        most_s = BURST_S if self._is_late() else MAX_REFILL_S
        unused = min(self.per_s * BURST_S, self._tokens)
        self._tokens = min(self.per_s * most_s, unused + refilled)
        available = 0 if self._is_far_behind() else max(0, int(self._tokens))
        if not available:
            self._mark_used_up(now)
        return available

    def _punctual_share(self) -> float:
        """Return the share of the rate that a late loop still carries, from 0 to 1.

        The work in hand has to be done first, and the rate falls in steps only.
        """
        left_s = STOP_DELAY_S - self._delay.recent_s
        return max(0.0, min(1.0, left_s / (STOP_DELAY_S - MAX_DELAY_S)))

    def _is_late(self) -> bool:
        return self._delay.recent_s > MAX_DELAY_S

    def _is_far_behind(self) -> bool:
        return self._delay.recent_s > STOP_DELAY_S

    def take(self, starts: int) -> None:
        """Count starts; a gang may take more than are available."""
        self._made += starts
        self._tokens -= starts
        if self._tokens < 1.0:
            self._mark_used_up(self._clock.monotonic())

    def _mark_used_up(self, now_s: float) -> None:
        self._is_used_up = True
        self._used_up_at_s = now_s

    def record_answer(self, took_s: float) -> None:
        """Add the seconds that the answer to a start took, or its time limit."""
        self._answers += 1
        self._least_answer_s = min(self._least_answer_s, took_s)

    @property
    def is_limiting(self) -> bool:
        """Return whether more starts were wanted of late than could be made."""
        return self._clock.monotonic() - self._used_up_at_s < LIMITING_S

    @property
    def is_overloaded(self) -> bool:
        """Return whether the VM has long carried fewer starts than were wanted."""
        return self._has_decreased and self._share_used_up > OVERLOADED_SHARE

    def _adjust(self, now_s: float) -> None:
        period_s = now_s - self._adjusted_at_s
        if period_s < ADJUST_PERIOD_S:
            return
        self._adjusted_at_s = now_s
        self._average(period_s)
        if self._is_late() or self._is_link_full():
            self._decrease(now_s)
        elif self._is_used_up:
            self._increase()
        self._is_used_up = False

    def _average(self, period_s: float) -> None:
        """Add a period to the averages, weighted by its length."""
        weight = min(1.0, MEAN_WEIGHT * period_s / ADJUST_PERIOD_S)
        self.made_per_s += weight * (self._made / period_s - self.made_per_s)
        self._share_used_up += weight * (self._is_used_up - self._share_used_up)
        self._made = 0

    def _is_link_full(self) -> bool:
        if self._answers < MIN_ANSWERS:
            return False
        is_full = self._least_answer_s > MAX_LEAST_ANSWER_S
        self._answers = 0
        self._least_answer_s = float("inf")
        return is_full

    def _decrease(self, now_s: float) -> None:
        if now_s - self._decreased_at_s < DECREASE_PERIOD_S:
            return
        self._decreased_at_s = now_s
        self._has_decreased = True
        is_far_too_high = self.per_s > FAR_TOO_HIGH_FACTOR * self.made_per_s
        is_fast = self._is_far_behind() or is_far_too_high
        factor = FAST_DECREASE_FACTOR if is_fast else DECREASE_FACTOR
        self.per_s = max(MIN_STARTS_PER_S, self.per_s * factor)

    def _increase(self) -> None:
        if self._has_decreased:
            increased = self.per_s + INCREASE_STARTS_PER_S
        else:
            increased = self.per_s * PROBE_FACTOR
        self.per_s = min(MAX_STARTS_PER_S, increased)
