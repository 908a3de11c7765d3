"""What was learned of one step of the jobs of one queue.

An error is the mean absolute logarithm of the ratio of an estimate to the actual time.
"""

from __future__ import annotations

import math
from collections.abc import Iterator, Sequence

from fulmarleverd.scheduling.run_times.histogram import (
    DECAY,
    HALF_LIFE_SAMPLES,
    MAX_TOTAL_SAMPLES,
    MEDIAN,
    PERCENTILES,
    DecayedHistogram,
    log_quantile,
)

# The declared time is used while this share of the runs took it within the tolerance.
# The second tolerance covers the delay with which the ends of short runs are seen.
MIN_RIGHT_SHARE = 0.9
TOLERANCE = 0.3
TOLERANCE_S = 0.1
# Before the first run the declared time counts as right in this many runs; this fades
# until the second number of runs is reached. With half of this, two long runs among
# the first twelve would put right declared times aside.
PRIOR_RIGHT = 32.0
PRIOR_RIGHT_FADES = 128.0
# The declared time weighs as much as this many runs.
PRIOR_SAMPLES = 8.0
# Errors before the first run, which weigh as much as ``PRIOR_SAMPLES`` runs.
PRIOR_SCALED_ERROR = 0.3
PRIOR_MEDIAN_ERROR = 1.0
PRIOR_OWN_ERROR = 0.3
# Keeps the weight of a source without errors finite, and bounds a single error.
MIN_ERROR = 0.05
MAX_ERROR = 5.0
# Ratios are counted in thousandths, times in milliseconds.
UNITS = 1000.0
MAX_RATIO = 100_000
MAX_TIME_MS = 100_000_000
# A quantile costs about 40 us, so the quantiles are computed once in this many samples
# of a long history, and after each of the first ones.
MAX_REFRESH_SAMPLES = 16
MAX_SAMPLES = 1_000_000
# Declared times are taken to lie within these, as callers may declare any.
MIN_DECLARED_S = 0.001
MAX_DECLARED_S = 1e6
# No sum of samples is larger.
MAX_SUM = 1e6
ROUND_DIGITS = 4
# The sums and mean errors, in the order in which they are stored.
SUMS = (
    "right",
    "declared",
    "declared_s",
    "scaled_error",
    "median_error",
    "own_error",
)


class LearnedTimes:
    """The ratios of actual to declared times, the actual times, and the errors.

    ``samples`` counts the runs; ``declared`` and ``right`` are decayed counts of those
    with a declared time, and of those that took it. ``declared_s`` is the mean declared
    time. ``ratios`` and ``times_ms`` are the values at ``PERCENTILES``; ``ratios`` is
    empty without declared times. ``uses_declared`` tells whether declared times have
    been right often enough to be kept.

    Estimates change at each refresh only, and then ``version`` does, too. Without runs
    of the step itself, the estimate is ``_factor`` times the declared time to the power
    of ``_exponent``.
    """

    __slots__ = (
        "samples",
        *SUMS,
        "ratios",
        "times_ms",
        "version",
        "uses_declared",
        "_factor",
        "_exponent",
        "_ratio_histogram",
        "_time_histogram",
        "_samples_since_refresh",
    )

    def __init__(self) -> None:
        self.samples = 0
        self.right = 0.0
        self.declared = 0.0
        self.declared_s = 0.0
        self.scaled_error = PRIOR_SCALED_ERROR
        self.median_error = PRIOR_MEDIAN_ERROR
        self.own_error = PRIOR_OWN_ERROR
        self.ratios: tuple[int, ...] = ()
        self.times_ms: tuple[int, ...] = ()
        self.version = 0
        self.uses_declared = True
        self._factor = self._exponent = 1.0
        self._ratio_histogram: DecayedHistogram | None = None
        self._time_histogram: DecayedHistogram | None = None
        self._samples_since_refresh = 0

    # Samples

    def record(
        self, declared_s: float, seconds: float, own: tuple[float, int] = (0.0, 0)
    ) -> None:
        """Add a run that took ``seconds``, where ``declared_s`` were declared.

        ``own`` are the usual seconds of the earlier runs of its step and their number.
        """
        declared_s = _bounded(declared_s)
        self._record_errors(declared_s, seconds, own)
        self.samples = min(MAX_SAMPLES, self.samples + 1)
        if self._time_histogram is None:
            self._restore_histograms()
        self._time_histogram.record(UNITS * seconds)
        if declared_s:
            self._ratio_histogram.record(
                min(float(MAX_RATIO), UNITS * seconds / declared_s)
            )
            self.declared = self.declared * DECAY + 1.0
            self.right = self.right * DECAY + is_right(declared_s, seconds)
            self.declared_s += (declared_s - self.declared_s) / min(
                self.samples, HALF_LIFE_SAMPLES
            )
        self._samples_since_refresh += 1
        if self._samples_since_refresh >= min(
            MAX_REFRESH_SAMPLES, 1 + self.samples // 8
        ):
            self.refresh()

    def _record_errors(
        self, declared_s: float, seconds: float, own: tuple[float, int]
    ) -> None:
        if not self.times_ms:
            return
        weight = 1.0 / min(self.samples + PRIOR_SAMPLES, HALF_LIFE_SAMPLES)
        if declared_s:
            error = _error(self.scaled_s(declared_s), seconds)
            self.scaled_error += weight * (error - self.scaled_error)
        error = _error(self.median_s, seconds)
        self.median_error += weight * (error - self.median_error)
        own_s, runs = own
        if runs:
            error = _error(own_s, seconds) / (1.0 + 1.0 / runs)
            self.own_error += weight * (error - self.own_error)

    def _restore_histograms(self) -> None:
        """Create the histograms from the stored quantiles, if there are any."""
        self._time_histogram = _restored(self.times_ms, MAX_TIME_MS, self.samples)
        self._ratio_histogram = _restored(self.ratios, MAX_RATIO, self.declared)

    def refresh(self) -> None:
        """Compute the quantiles again after new samples, and round the sums."""
        if not self._samples_since_refresh:
            return
        self._samples_since_refresh = 0
        self.version += 1
        self.times_ms = self._time_histogram.percentiles()
        if self.declared:
            self.ratios = self._ratio_histogram.percentiles()
        for name in SUMS:
            setattr(self, name, round(getattr(self, name), ROUND_DIGITS))
        self._update_estimates()

    def _update_estimates(self) -> None:
        """Compute what the estimates need from the quantiles and sums."""
        prior = PRIOR_RIGHT * max(0.0, 1.0 - self.samples / PRIOR_RIGHT_FADES)
        right, declared = self.right + prior, self.declared + prior
        self.uses_declared = right >= MIN_RIGHT_SHARE * declared
        median, scaled = _weight(self.median_error), _weight(self.scaled_error)
        median *= self._trust / (median + scaled)
        scaled = self._trust - median
        # The logarithm of the declared time counts in the scaled time and as a prior.
        self._exponent = 1.0 - median
        self._factor = math.exp(
            median * math.log(self.median_s) + scaled * math.log(self.median_ratio)
        )

    # Estimates

    @property
    def right_share(self) -> float:
        """Return the share of runs that took the declared time, 1 if none had one."""
        return self.right / self.declared if self.declared else 1.0

    @property
    def median_s(self) -> float:
        """Return the median of the actual times."""
        return self.times_ms[MEDIAN] / UNITS

    @property
    def median_ratio(self) -> float:
        """Return the median ratio of actual to declared time, 1 if not known."""
        return self.ratios[MEDIAN] / UNITS if self.ratios else 1.0

    def scaled_s(self, declared_s: float) -> float:
        """Return a declared time corrected by the median ratio."""
        return declared_s * self.median_ratio

    def expected_s(self, declared_s: float, own: tuple[float, int]) -> float:
        """Return the estimate of all sources, each weighted by its error.

        A ``declared_s`` of 0 is unknown. ``own`` are the usual seconds of the step's
        own runs and their number. The weight of the declared time falls with the number
        of runs.
        """
        if not self.times_ms:
            return declared_s
        declared_s = _bounded(declared_s)
        if declared_s and not own[1]:
            return self._factor * declared_s**self._exponent
        total = weights = 0.0
        for seconds, error in self._sources(declared_s, own):
            weight = _weight(error)
            weights += weight
            total += weight * math.log(seconds)
        log_s = total / weights
        if declared_s:
            log_s += (1.0 - self._trust) * (math.log(declared_s) - log_s)
        return math.exp(log_s)

    def _sources(
        self, declared_s: float, own: tuple[float, int]
    ) -> Iterator[tuple[float, float]]:
        """Yield the seconds and the error of each source of an estimate."""
        yield self.median_s, self.median_error
        if declared_s:
            yield self.scaled_s(declared_s), self.scaled_error
        own_s, runs = own
        if runs:
            yield own_s, self.own_error * (1.0 + 1.0 / runs)

    @property
    def _trust(self) -> float:
        """Return the weight of what was learned against the declared time."""
        return self.samples / (self.samples + PRIOR_SAMPLES)

    def tail_factor(self, share: float) -> float:
        """Return the quantile of a share divided by the median."""
        if not self.times_ms:
            return 1.0
        weight = _weight(self.median_error)
        total = weight * _log_tail(self.times_ms, share)
        weights = weight
        if self.ratios:
            weight = _weight(self.scaled_error)
            total += weight * _log_tail(self.ratios, share)
            weights += weight
        return math.exp(self._trust * total / weights)

    # Storage

    def to_data(self) -> list:
        """Return the quantiles and sums as plain data."""
        self.refresh()
        sums = [getattr(self, name) for name in SUMS]
        return [self.samples, sums, list(self.ratios), list(self.times_ms)]

    @classmethod
    def from_data(cls, data: Sequence) -> LearnedTimes:
        """Build the state from plain data; raise ValueError if it is malformed."""
        samples, sums, ratios, times_ms = data
        learned = cls()
        learned.samples = int(samples)
        if not 0 < learned.samples <= MAX_SAMPLES:
            raise ValueError("number of samples out of range")
        for name, value in zip(SUMS, sums, strict=True):
            limit = MAX_ERROR if name.endswith("_error") else MAX_SUM
            if not 0.0 <= float(value) <= limit:
                raise ValueError(f"{name} out of range")
            setattr(learned, name, float(value))
        learned.ratios = _checked(ratios, MAX_RATIO) if ratios else ()
        learned.times_ms = _checked(times_ms, MAX_TIME_MS)
        learned._update_estimates()
        return learned


def is_right(declared_s: float, seconds: float) -> bool:
    """Return whether a run took its declared time, within the tolerance."""
    return abs(seconds - declared_s) <= max(TOLERANCE * declared_s, TOLERANCE_S)


def _bounded(declared_s: float) -> float:
    """Return a declared time within its bounds, 0 if none was declared."""
    if not declared_s:
        return 0.0
    return max(MIN_DECLARED_S, min(MAX_DECLARED_S, declared_s))


def _error(estimate_s: float, seconds: float) -> float:
    return min(MAX_ERROR, abs(math.log(estimate_s / seconds)))


def _weight(error: float) -> float:
    return 1.0 / (error + MIN_ERROR) ** 2


def _log_tail(values: Sequence[int], share: float) -> float:
    return log_quantile(values, share) - math.log(values[MEDIAN])


def _restored(values: Sequence[int], highest: int, samples: float) -> DecayedHistogram:
    if not values:
        return DecayedHistogram(highest)
    return DecayedHistogram.from_percentiles(
        values, highest, min(samples, MAX_TOTAL_SAMPLES)
    )


def _checked(values: Sequence, highest: int) -> tuple[int, ...]:
    """Return stored quantiles; raise ValueError if they are malformed."""
    checked = tuple(int(value) for value in values)
    if len(checked) != len(PERCENTILES) or list(checked) != sorted(checked):
        raise ValueError("malformed quantiles")
    if checked[0] < 1 or checked[-1] > 2 * highest:
        raise ValueError("quantiles out of range")
    return checked
