from __future__ import annotations

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from fulmarlever.tests.base import TableTestCase
from fulmarleverd.scheduling.pressure import (
    PRIOR_COEFFICIENT,
    PressureModel,
    solve_linear,
)

COEFFICIENTS = st.lists(st.floats(0.0, 8.0), min_size=1, max_size=5)


class PressureTests(TableTestCase):
    @given(COEFFICIENTS, st.integers(0, 1000))
    def test_coefficients_are_recovered_from_changes(self, truth, seed):
        random = Random(seed)
        model = PressureModel()
        before = dict.fromkeys(map(str, range(len(truth))), 0.0)
        for _ in range(200):
            after = {image: random.uniform(0.0, 0.3) for image in before}
            fall = sum(
                truth[int(image)] * (after[image] - before[image]) for image in before
            )
            model.observe("s", before, after, fall + random.gauss(0.0, 0.05))
            before = after
        for image, expected in enumerate(truth):
            self.assertAlmostEqual(
                model.headroom_taken("s", str(image), 1.0), expected, 0
            )

    def test_an_unknown_pair_has_the_prior(self):
        model = PressureModel()
        self.assertEqual(model.headroom_taken("s", "f", 0.5), PRIOR_COEFFICIENT * 0.5)
        model.observe("s", {}, {"g": 0.2}, 0.1)
        self.assertEqual(model.headroom_taken("s", "f", 0.5), PRIOR_COEFFICIENT * 0.5)

    def test_a_later_owner_begins_with_what_was_learned(self):
        first, later = PressureModel(), PressureModel()
        for number in range(60):
            load = 0.1 * (number % 2)
            first.observe("s", {"f": 0.0}, {"f": load}, 7.0 * load)
        later.load_data(first.to_data())
        self.assertAlmostEqual(later.headroom_taken("s", "f", 1.0), 7.0, 0)
        self.assertEqual(later.headroom_taken("s", "g", 1.0), PRIOR_COEFFICIENT)

    @given(st.lists(st.floats(-5.0, 5.0), min_size=1, max_size=5), st.data())
    def test_elimination_solves_what_it_was_given(self, wanted, data):
        size = len(wanted)
        cells = st.lists(st.floats(-1.0, 1.0), min_size=size, max_size=size)
        rows = [data.draw(cells) for _ in range(size)]
        matrix = [
            [sum(r[i] * r[j] for r in rows) + (i == j) for j in range(size)]
            for i in range(size)
        ]
        right = [
            sum(matrix[i][j] * wanted[j] for j in range(size)) for i in range(size)
        ]
        for found, expected in zip(solve_linear(matrix, right), wanted, strict=True):
            self.assertAlmostEqual(found, expected, 5)
