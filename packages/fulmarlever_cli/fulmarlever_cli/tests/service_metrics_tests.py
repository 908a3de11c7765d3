from __future__ import annotations

import bisect
import math

from hypothesis import given
from hypothesis import strategies as st

from fulmarlever.tests.base import TableTestCase
from fulmarlever_cli.service_metrics import ServiceMetrics, sum_reports

BOUNDS = (0.01, 0.1, 1.0)


def make_buckets(values: list[float]) -> dict[str, int]:
    counts = {str(b): sum(v <= b for v in values) for b in BOUNDS}
    return {**counts, "+Inf": len(values)}


def make_report(values: list[float], refused: int = 0) -> dict:
    data = {
        "team": "a",
        "target_s": 0.25,
        "guaranteed": 0.5,
        "buckets": make_buckets(values),
        "answered": {"2xx": len(values)},
        "refused": {"deadline": refused},
    }
    return {"vm": "v", "services": {"s": data}, "evictions": 0}


QUANTILES = [
    ("none", [], 0.5, None),
    ("inside the first bucket", [0.005] * 10, 0.5, 0.005),
    ("inside a later bucket", [0.005, 0.05], 1.0, 0.1),
    ("above the last bound", [5.0], 0.99, 1.0),
]


class ServiceMetricsTests(TableTestCase):
    def test_quantiles(self):
        for _, values, fraction, expected in self.each(QUANTILES):
            metrics = sum_reports([make_report(values)])["s"]
            quantile = metrics.quantile_s(fraction)
            if expected is None:
                self.assertIsNone(quantile)
            else:
                self.assertAlmostEqual(quantile, expected)

    @given(
        st.lists(st.lists(st.floats(0, 0.99), max_size=20), min_size=1, max_size=4),
        st.sampled_from([0.5, 0.9, 0.99]),
    )
    def test_quantile_lies_in_the_bucket_of_the_exact_quantile(self, samples, fraction):
        metrics = sum_reports(make_report(sample) for sample in samples)["s"]
        values = sorted(value for sample in samples for value in sample)
        self.assertEqual(metrics.total, len(values))
        if values:
            exact = values[max(0, math.ceil(fraction * len(values)) - 1)]
            index = bisect.bisect_left(BOUNDS, exact)
            lower_bound = BOUNDS[index - 1] if index else 0.0
            quantile = metrics.quantile_s(fraction)
            self.assertTrue(
                lower_bound <= quantile <= BOUNDS[index] + 1e-12, (quantile, exact)
            )

    def test_subtract_earlier_reading(self):
        later = sum_reports([make_report([0.005, 0.05, 0.05], refused=3)])["s"]
        later.subtract(sum_reports([make_report([0.005], refused=1)])["s"])
        self.assertEqual((later.total, later.total_refused), (2, 2))
        self.assertGreater(later.quantile_s(0.01), 0.01)

    def test_no_quantile_without_answers(self):
        self.assertIsNone(ServiceMetrics("s").quantile_s(0.5))
