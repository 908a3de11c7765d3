"""Properties of the learned run times for any samples."""

from __future__ import annotations

import math
from datetime import timedelta

import msgpack
from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarlever.outcomes import failed
from fulmarlever.tests.base import TableTestCase
from fulmarleverd.scheduling.persistence.rows import pack_run_times, unpack_run_times
from fulmarleverd.scheduling.ports import StoredRow
from fulmarleverd.scheduling.run_times import RunTimes
from fulmarleverd.scheduling.run_times.histogram import (
    PERCENTILES,
    DecayedHistogram,
)
from fulmarleverd.scheduling.run_times.run_times import MAX_QUEUES, MAX_STEPS
from fulmarleverd.scheduling.specs import QueueSpec
from fulmarleverd.tests.scheduling.run_times.loads import make_job, make_step

SECONDS = st.floats(0.001, 10000.0)
DECLARED = st.one_of(st.just(0.0), st.floats(0.001, 10000.0))
SAMPLES = st.lists(st.tuples(DECLARED, SECONDS), max_size=60)
SHARES = (0.0, 0.05, 0.3, 0.5, 0.6, 0.9, 0.97, 0.99, 1.0)
# A fourth of the largest row in present deployments.
MAX_ROW_BYTES = 16384


def queue(name: str) -> QueueSpec:
    return QueueSpec(name, "h", "/", "desk")


def learn(samples: list[tuple[float, float]]) -> RunTimes:
    run_times = RunTimes()
    for declared_s, seconds in samples:
        run_times.record_end(make_step(declared_s), seconds)
    return run_times


def reloaded(run_times: RunTimes) -> RunTimes:
    """Return what a new owner reads from the row."""
    row = StoredRow("", "", pack_run_times(run_times.to_data(), MAX_ROW_BYTES))
    other = RunTimes()
    error = other.load_data(unpack_run_times(row))
    assert not failed(error), error
    return other


class PropertiesTests(TableTestCase):
    # Guards against orders that compare infinite or undefined numbers.
    @given(SAMPLES, st.floats(0.001, 10000.0))
    def test_estimates_are_finite_and_positive(self, samples, declared_s):
        run_times = learn(samples)
        step = make_step(declared_s)
        estimates = [run_times.expected_s(step)]
        estimates += [run_times.quantile_s(step, share) for share in SHARES]
        estimates += [run_times.remaining_s(step.job)]
        estimates += [run_times.remaining_work_core_s(step.job)]
        for estimate in estimates:
            self.assertTrue(math.isfinite(estimate))
            self.assertGreater(estimate, 0.0)

    # Guards against an owner that fails, or whose row no other can read, because a
    # caller declares the smallest or the largest number.
    @given(
        st.sampled_from((5e-324, 1e-300, 1e-9, 1e9, 1e15, 1e300)),
        SAMPLES,
        st.booleans(),
    )
    def test_extreme_declared_times_do_no_harm(self, declared_s, samples, is_first):
        extreme = [(declared_s, 1.0)] * 20
        run_times = learn(extreme + samples if is_first else samples + extreme)
        for step in (make_step(declared_s), make_step(1.0)):
            estimate_s = reloaded(run_times).expected_s(step)
            self.assertTrue(0.0 < estimate_s < math.inf)
            self.assertEqual(estimate_s, run_times.expected_s(step))

    # Guards against samples of clocks that jump.
    @given(st.sampled_from((0.0, -1.0, math.inf, -math.inf, math.nan, 1e-9)))
    def test_impossible_times_are_ignored(self, seconds):
        run_times = learn([(1.0, seconds)])
        self.assertEqual(list(run_times.entries()), [])

    # Guards against a quantile below a smaller one.
    @given(SAMPLES, DECLARED)
    def test_quantiles_rise_with_the_share(self, samples, declared_s):
        run_times = learn(samples)
        step = make_step(declared_s)
        quantiles = [run_times.quantile_s(step, share) for share in SHARES]
        for lower, upper in zip(quantiles, quantiles[1:], strict=False):
            self.assertLessEqual(lower, upper * (1.0 + 1e-9))

    # Guards against estimates that fall although all runs take longer.
    @given(
        st.floats(0.01, 1000.0), st.floats(0.01, 1000.0), SECONDS, st.integers(1, 200)
    )
    def test_estimates_rise_with_the_samples(self, first, second, declared_s, count):
        shorter, longer = sorted((first, second))
        step = make_step(declared_s)
        estimates = [
            learn([(declared_s, seconds)] * count).expected_s(step)
            for seconds in (shorter, longer)
        ]
        self.assertLessEqual(estimates[0], estimates[1] * (1.0 + 1e-9))

    # Guards against estimates outside of what the sources say.
    @given(SAMPLES, SECONDS)
    def test_estimates_lie_within_the_sources(self, samples, declared_s):
        run_times = learn(samples)
        ratios = [seconds / declared for declared, seconds in samples if declared]
        ratios = [min(100.0, max(0.001, ratio)) for ratio in ratios]
        sources = [declared_s, *(seconds for _, seconds in samples)]
        sources += [declared_s * ratio for ratio in ratios]
        expected_s = run_times.expected_s(make_step(declared_s))
        # The histogram keeps a value to about 6 %, a time to a millisecond.
        self.assertGreaterEqual(expected_s, min(sources) / 1.07 - 0.001)
        self.assertLessEqual(expected_s, max(sources) * 1.07 + 0.001)

    # Guards against a new owner that estimates otherwise than the one before.
    @given(SAMPLES, DECLARED)
    def test_stored_data_gives_equal_estimates(self, samples, declared_s):
        run_times = learn(samples)
        other = reloaded(run_times)
        step = make_step(declared_s)
        self.assertEqual(other.expected_s(step), run_times.expected_s(step))
        for share in SHARES:
            self.assertEqual(
                other.quantile_s(step, share), run_times.quantile_s(step, share)
            )
        self.assertEqual(other.to_data(), run_times.to_data())

    # Guards against a new owner that forgets what it read with its first samples.
    @given(st.lists(st.floats(0.5, 2.0), min_size=100, max_size=100), SECONDS)
    def test_learning_goes_on_after_a_reload(self, samples, declared_s):
        run_times = learn([(declared_s, seconds) for seconds in samples])
        other = reloaded(run_times)
        step = make_step(declared_s)
        before_s = run_times.expected_s(step)
        for _ in range(16):
            other.record_end(make_step(declared_s), 1.0)
        self.assertLess(abs(math.log(other.expected_s(step) / before_s)), math.log(2.0))

    # Guards against a row that the store rejects, and against memory without bound, as
    # callers choose the number of steps and operators the queues.
    @settings(max_examples=5, deadline=timedelta(seconds=20))
    @given(st.integers(1, 60), st.integers(1, 20), st.integers(1, 200))
    def test_size_is_bounded(self, queues, steps, name_length):
        run_times = RunTimes()
        for number in range(queues):
            name = f"{number}".ljust(name_length, "q")
            job = make_job("j", *[1.0 + number] * steps, queue=queue(name))
            for step in job.occurrences[0]:
                run_times.record_end(step, 2.0 + step.number)
        entries = list(run_times.entries())
        self.assertLessEqual(len(entries), MAX_QUEUES * MAX_STEPS)
        self.assertLessEqual(len({name for name, _, _ in entries}), MAX_QUEUES)
        value = pack_run_times(run_times.to_data(), MAX_ROW_BYTES)
        self.assertLessEqual(len(value), MAX_ROW_BYTES)
        self.assertIsNone(
            RunTimes().load_data(unpack_run_times(StoredRow("", "", value)))
        )

    # Guards against a row that does not fit: the entries with most runs are kept.
    def test_a_full_row_keeps_the_entries_with_most_runs(self):
        run_times = RunTimes()
        for number in range(MAX_QUEUES):
            for _ in range(1 + number):
                run_times.record_end(make_step(1.0, queue(f"q{number:02}")), 2.0)
        value = pack_run_times(run_times.to_data(), 500)
        self.assertLessEqual(len(value), 500)
        _, entries = unpack_run_times(StoredRow("", "", value))
        names = [entry[0] for entry in entries]
        expected = [f"q{number:02}" for number in reversed(range(MAX_QUEUES))]
        self.assertGreater(len(names), 2)
        self.assertEqual(names, expected[: len(names)])

    # Guards against a term that fails for a row of another version or a damaged one.
    def test_malformed_data_changes_nothing(self):
        data = learn([(1.0, 4.0)] * 20).to_data()
        entry = data[1][0]
        rows = (
            ("other version", [2, data[1]]),
            ("no list", {}),
            ("empty", []),
            ("no entries", [1, None]),
            ("short entry", [1, [["plans", 0]]]),
            ("no sums", [1, [[*entry[:3], [], *entry[4:]]]]),
            ("negative sum", [1, [[*entry[:3], [-1.0] * 6, *entry[4:]]]]),
            ("sum is not a number", [1, [[*entry[:3], [math.nan] * 6, *entry[4:]]]]),
            ("huge error", [1, [[*entry[:3], [1.0] * 3 + [1e154] * 3, *entry[4:]]]]),
            ("few quantiles", [1, [[*entry[:4], entry[4][:2], entry[5]]]]),
            ("falling quantiles", [1, [[*entry[:5], entry[5][::-1][:-1] + [1]]]]),
            ("zero quantile", [1, [[*entry[:5], [0] * len(PERCENTILES)]]]),
            ("huge quantile", [1, [[*entry[:5], [2**60] * len(PERCENTILES)]]]),
            ("text", [1, [["plans", "x", *entry[2:]]]]),
            ("no samples", [1, [["plans", 0, 0, *entry[3:]]]]),
            ("good entry before a bad one", [1, [entry, ["plans", 1]]]),
        )
        for _, malformed in self.each(rows):
            run_times = RunTimes()
            self.assertTrue(failed(run_times.load_data(malformed)))
            self.assertEqual(list(run_times.entries()), [])

    # Guards against a row whose bytes are damaged.
    def test_rows_that_cannot_be_decoded_are_failures(self):
        rows = (("empty", b""), ("cut", b"\x92\x01"), ("number", msgpack.packb(7)))
        for _, value in self.each(rows):
            self.assertTrue(failed(unpack_run_times(StoredRow("", "", value))))


class DecayedHistogramTests(TableTestCase):
    # Guards against counts that overflow, or a history that is lost, after long use.
    def test_quantiles_stay_right_after_many_samples(self):
        histogram = DecayedHistogram(100_000)
        for number in range(12_000):
            histogram.record(1000 if number % 4 else 3000)
        values = dict(zip(PERCENTILES, histogram.percentiles(), strict=True))
        for percentile, expected in ((5.0, 1000), (50.0, 1000), (90.0, 3000)):
            self.assertAlmostEqual(values[percentile] / expected, 1.0, delta=0.05)

    # Guards against a stored distribution that shifts with each change of owner.
    @given(st.lists(st.integers(1, 100_000), min_size=1, max_size=50))
    def test_a_restored_histogram_has_the_same_quantiles(self, samples):
        histogram = DecayedHistogram(100_000)
        for sample in samples:
            histogram.record(sample)
        values = histogram.percentiles()
        restored = DecayedHistogram.from_percentiles(values, 100_000, len(samples))
        self.assertEqual(restored.percentiles(), values)
