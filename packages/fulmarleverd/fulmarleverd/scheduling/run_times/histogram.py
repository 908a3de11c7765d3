"""A streaming quantile histogram whose samples lose weight as newer ones arrive."""

from __future__ import annotations

import math
from bisect import bisect_left
from collections.abc import Sequence

from hdrh.histogram import HdrHistogram

# The percentiles that are kept and stored.
PERCENTILES = (5.0, 25.0, 50.0, 75.0, 90.0, 97.0, 99.0)
MEDIAN = PERCENTILES.index(50.0)
# The weight of a sample halves after this many newer ones: enough for a quantile of 97
# of 100, few enough that a shift of the work is followed within a few hundred runs.
HALF_LIFE_SAMPLES = 128
DECAY = 2.0 ** (-1.0 / HALF_LIFE_SAMPLES)
# The weight of all samples of a long history, in samples.
MAX_TOTAL_SAMPLES = 1.0 / (1.0 - DECAY)
# One digit keeps a value to about 3 % in about 6 KB, two digits would take 25 KB.
SIGNIFICANT_DIGITS = 1
FIRST_WEIGHT = 1024.0
# Counts are scaled back once the weight of a sample exceeds this, so that their sum
# stays within 64 bits.
MAX_WEIGHT = 2.0**40
RESCALE_SHIFT = 30


class DecayedHistogram:
    """Counts of whole numbers from 1 to ``highest``; others are clamped.

    Instead of reducing all counts with each sample, each sample counts more than the
    one before.
    """

    __slots__ = ("_histogram", "_highest", "_weight")

    def __init__(self, highest: int) -> None:
        self._highest = highest
        self._histogram = HdrHistogram(1, highest, SIGNIFICANT_DIGITS)
        self._weight = FIRST_WEIGHT

    @classmethod
    def from_percentiles(
        cls, values: Sequence[int], highest: int, samples: float
    ) -> DecayedHistogram:
        """Build a histogram with the given values at ``PERCENTILES``."""
        histogram = cls(highest)
        total = min(max(1.0, samples), MAX_TOTAL_SAMPLES) * FIRST_WEIGHT
        counted = 0
        for value, percentile in zip(values, PERCENTILES, strict=True):
            # One more than the share, so that rounding reaches no larger value.
            upper = math.ceil(total * percentile / 100.0) + 1
            histogram._count(value, upper - counted)
            counted = upper
        histogram._count(values[-1], max(0, round(total) - counted))
        return histogram

    def record(self, value: float) -> None:
        """Add a sample."""
        self._count(round(value), int(self._weight))
        self._weight /= DECAY
        if self._weight > MAX_WEIGHT:
            self._rescale()

    def _count(self, value: int, count: int) -> None:
        if count > 0:
            value = max(1, min(self._highest, value))
            self._histogram.record_value(value, count)

    def _rescale(self) -> None:
        old = self._histogram
        self._histogram = HdrHistogram(1, self._highest, SIGNIFICANT_DIGITS)
        for item in old.get_recorded_iterator():
            value = old.get_lowest_equivalent_value(item.value_iterated_to)
            self._count(value, int(item.count_at_value_iterated_to) >> RESCALE_SHIFT)
        self._weight /= 2.0**RESCALE_SHIFT

    def percentiles(self) -> tuple[int, ...]:
        """Return the values at ``PERCENTILES``; there must be a sample."""
        values = self._histogram.get_percentile_to_value_dict(PERCENTILES)
        return tuple(self._middle(values[percentile]) for percentile in PERCENTILES)

    def _middle(self, highest: int) -> int:
        """Return the middle of the values that are counted as one."""
        lowest = self._histogram.get_lowest_equivalent_value(highest)
        return max(1, (lowest + highest) // 2)


def log_quantile(values: Sequence[int], share: float) -> float:
    """Return the logarithm of the quantile of a share, from 0 to 1.

    ``values`` are those at ``PERCENTILES``. Between two of them the logarithm is
    interpolated; outside, the nearest one is taken.
    """
    percentile = 100.0 * share
    above = bisect_left(PERCENTILES, percentile)
    if above == 0:
        return math.log(values[0])
    if above == len(PERCENTILES):
        return math.log(values[-1])
    low, high = math.log(values[above - 1]), math.log(values[above])
    width = PERCENTILES[above] - PERCENTILES[above - 1]
    return low + (high - low) * (percentile - PERCENTILES[above - 1]) / width
