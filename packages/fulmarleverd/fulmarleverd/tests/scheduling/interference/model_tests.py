"""Estimates of the headroom that best-effort images take from serving images."""

from __future__ import annotations

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from fulmarlever.tests.base import TableTestCase
from fulmarleverd.scheduling.interference.model import (
    PRIOR_COEFFICIENT,
    InterferenceModel,
    solve_linear,
)

COEFFICIENTS = st.lists(st.floats(0.0, 8.0), min_size=1, max_size=5)


class InterferenceModelTests(TableTestCase):
    @given(COEFFICIENTS, st.integers(0, 1000))
    def test_coefficients_are_learned_from_changes_of_load(
        self, true_coefficients, seed
    ):
        random = Random(seed)
        model = InterferenceModel()
        before = dict.fromkeys(map(str, range(len(true_coefficients))), 0.0)
        for _ in range(200):
            after = {image: random.uniform(0.0, 0.3) for image in before}
            headroom_decrease = sum(
                true_coefficients[int(image)] * (after[image] - before[image])
                for image in before
            )
            model.observe(
                "s", before, after, headroom_decrease + random.gauss(0.0, 0.05)
            )
            before = after
        for image, expected in enumerate(true_coefficients):
            self.assertAlmostEqual(
                model.headroom_taken("s", str(image), 1.0), expected, 0
            )

    def test_pair_without_samples_has_the_prior_coefficient(self):
        model = InterferenceModel()
        self.assertEqual(model.headroom_taken("s", "f", 0.5), PRIOR_COEFFICIENT * 0.5)
        model.observe("s", {}, {"g": 0.2}, 0.1)
        self.assertEqual(model.headroom_taken("s", "f", 0.5), PRIOR_COEFFICIENT * 0.5)

    def test_stored_coefficients_are_the_priors_of_a_later_owner(self):
        first, later = InterferenceModel(), InterferenceModel()
        for number in range(60):
            load = 0.1 * (number % 2)
            first.observe("s", {"f": 0.0}, {"f": load}, 7.0 * load)
        later.load_data(first.to_data())
        self.assertAlmostEqual(later.headroom_taken("s", "f", 1.0), 7.0, 0)
        self.assertEqual(later.headroom_taken("s", "g", 1.0), PRIOR_COEFFICIENT)

    @given(st.lists(st.floats(-5.0, 5.0), min_size=1, max_size=5), st.data())
    def test_solve_linear_recovers_the_solution(self, solution, data):
        size = len(solution)
        cells = st.lists(st.floats(-1.0, 1.0), min_size=size, max_size=size)
        rows = [data.draw(cells) for _ in range(size)]
        matrix = [
            [sum(r[i] * r[j] for r in rows) + (i == j) for j in range(size)]
            for i in range(size)
        ]
        right = [
            sum(matrix[i][j] * solution[j] for j in range(size)) for i in range(size)
        ]
        for value, expected in zip(solve_linear(matrix, right), solution, strict=True):
            self.assertAlmostEqual(value, expected, 5)
