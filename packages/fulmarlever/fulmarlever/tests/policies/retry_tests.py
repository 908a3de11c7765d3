from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from fulmarlever.policies.retry import MAX_SAVED_RETRIES, RETRY

ratios = st.sampled_from((0.0, 0.1, 0.25, 1.0))


class RetryBudgetTests(unittest.TestCase):
    @given(st.lists(st.booleans(), max_size=300), ratios)
    def test_retries_are_at_most_a_fraction_of_requests(self, tries, ratio):
        budget = RETRY.find("budget")()
        requests = retries = 0
        for is_request in tries:
            if is_request:
                budget.count_request(ratio)
                requests += 1
            else:
                retries += budget.take()
            self.assertLessEqual(retries, 1 + ratio * requests + 1e-6)

    def test_unused_retries_are_saved_up_to_a_limit(self):
        budget = RETRY.find("budget")()
        for _ in range(1000):
            budget.count_request(0.5)
        self.assertEqual(sum(budget.take() for _ in range(1000)), MAX_SAVED_RETRIES)

    def test_naive_policy_allows_every_retry(self):
        always = RETRY.find("always")()
        always.count_request(0.1)
        self.assertEqual(sum(always.take() for _ in range(1000)), 1000)
