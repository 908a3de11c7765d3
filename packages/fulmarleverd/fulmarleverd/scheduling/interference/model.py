"""Learns how much headroom best-effort images take from serving images.

The headroom of a serving task is its latency target divided by its tail latency. It
falls linearly with the load of a best-effort image on the worker, by a coefficient of
the pair of images, whatever the serving task's own load is. So the coefficients are
learned from the changes between two reports of one task. A load is the part of a
worker's cores in use, as a fraction of 1.
"""

from __future__ import annotations

from collections.abc import Iterable

# Forgetting factor: the weight of a sample halves after about 700 newer samples of the
# same serving image.
FORGETTING_FACTOR = 0.999
# The sums are scaled back to a weight of 1 once a new sample's weight exceeds this, so
# that they stay within the range of floating-point numbers.
MAX_SAMPLE_WEIGHT = 1e6
# Weight of the prior coefficient of a pair of images, as a ridge penalty.
PRIOR_WEIGHT = 0.01
# Headroom that an image without samples takes if it uses all cores of a worker.
PRIOR_COEFFICIENT = 3.0
# Smaller changes of a load are ignored.
MIN_LOAD_CHANGE = 0.01
# The coefficients are computed again after this many samples.
SAMPLES_PER_SOLUTION = 20

# Values by best-effort image: loads, changes of loads or coefficients.
Loads = dict[str, float]


class Regression:
    """Ridge regression of one serving image on the loads of best-effort images.

    Instead of reducing all sums with each sample, the weight of each new sample is
    greater than that of the one before by the inverse of ``FORGETTING_FACTOR``.
    """

    __slots__ = (
        "_sample_weight",
        "_columns",
        "_products",
        "_targets",
        "_solution",
        "_samples_since_solution",
        "_prior",
    )

    def __init__(self, prior: Loads | None = None) -> None:
        self._prior = prior or {}
        self._sample_weight = 1.0
        self._columns: dict[str, int] = {}
        self._products: list[list[float]] = []
        self._targets: list[float] = []
        self._solution: list[float] = []
        self._samples_since_solution = 0

    def add(self, changes: Loads, headroom_decrease: float) -> None:
        """Add a sample: the changes of loads and the decrease of headroom with them."""
        sample = [(self._column(image), change) for image, change in changes.items()]
        self._increase_sample_weight()
        weight = self._sample_weight
        for i, x in sample:
            self._targets[i] += weight * x * headroom_decrease
            for j, y in sample:
                self._products[i][j] += weight * x * y
        self._samples_since_solution += 1

    def _column(self, image: str) -> int:
        if image not in self._columns:
            self._columns[image] = len(self._columns)
            for row in self._products:
                row.append(0.0)
            self._products.append([0.0] * len(self._columns))
            self._targets.append(0.0)
            self._solution.append(self._prior_coefficient(image))
        return self._columns[image]

    def _prior_coefficient(self, image: str) -> float:
        """Return the coefficient assumed for an image without samples."""
        return self._prior.get(image, PRIOR_COEFFICIENT)

    def _increase_sample_weight(self) -> None:
        """Make all earlier samples count less than the next one."""
        self._sample_weight /= FORGETTING_FACTOR
        if self._sample_weight > MAX_SAMPLE_WEIGHT:
            scale = 1.0 / self._sample_weight
            self._targets = [value * scale for value in self._targets]
            self._products = [[v * scale for v in row] for row in self._products]
            self._sample_weight = 1.0

    def coefficient(self, image: str) -> float:
        """Return the headroom that an image takes if it uses all cores of a worker."""
        if self._samples_since_solution >= SAMPLES_PER_SOLUTION:
            self._samples_since_solution = 0
            self._solution = self._solve()
        column = self._columns.get(image)
        return (
            self._prior_coefficient(image) if column is None else self._solution[column]
        )

    def coefficients(self) -> Loads:
        """Return the coefficients of all known images, rounded to two decimals."""
        images = {*self._columns, *self._prior}
        return {image: round(self.coefficient(image), 2) for image in sorted(images)}

    def _solve(self) -> list[float]:
        scale = 1.0 / self._sample_weight
        matrix = [[value * scale for value in row] for row in self._products]
        right = [value * scale for value in self._targets]
        for image, column in self._columns.items():
            matrix[column][column] += PRIOR_WEIGHT
            right[column] += PRIOR_WEIGHT * self._prior_coefficient(image)
        return [max(0.0, value) for value in solve_linear(matrix, right)]


def solve_linear(matrix: list[list[float]], right: list[float]) -> list[float]:
    """Solve a positive definite linear system by Gaussian elimination.

    ``matrix`` is a square list of rows; it and ``right`` are modified.
    """
    size = len(right)
    for pivot in range(size):
        for row in range(pivot + 1, size):
            factor = matrix[row][pivot] / matrix[pivot][pivot]
            if factor:
                for column in range(pivot, size):
                    matrix[row][column] -= factor * matrix[pivot][column]
                right[row] -= factor * right[pivot]
    solution = [0.0] * size
    for row in range(size - 1, -1, -1):
        known = sum(
            matrix[row][column] * solution[column] for column in range(row + 1, size)
        )
        solution[row] = (right[row] - known) / matrix[row][row]
    return solution


class InterferenceModel:
    """The headroom taken by best-effort images, one regression per serving image."""

    __slots__ = ("_regressions",)

    def __init__(self) -> None:
        self._regressions: dict[str, Regression] = {}

    def observe(
        self, serving_image: str, before: Loads, after: Loads, headroom_decrease: float
    ) -> None:
        """Learn from two successive reports of one serving task.

        ``before`` and ``after`` are the best-effort loads on its worker, and
        ``headroom_decrease`` is how much headroom the task lost between the reports.
        """
        changes = {
            image: change
            for image in before.keys() | after.keys()
            if abs(change := after.get(image, 0.0) - before.get(image, 0.0))
            >= MIN_LOAD_CHANGE
        }
        if changes:
            regression = self._regressions.setdefault(serving_image, Regression())
            regression.add(changes, headroom_decrease)

    def headroom_taken(self, serving_image: str, image: str, load: float) -> float:
        """Return the headroom that a load of an image takes from a serving image."""
        regression = self._regressions.get(serving_image)
        if regression is None:
            return PRIOR_COEFFICIENT * load
        return regression.coefficient(image) * load

    def total_headroom_taken(self, serving_image: str, loads: Loads) -> float:
        """Return the headroom that all loads together take from a serving image."""
        return sum(
            self.headroom_taken(serving_image, image, load)
            for image, load in loads.items()
        )

    def to_data(self) -> dict[str, Loads]:
        """Return the coefficients by serving image and best-effort image."""
        return {
            image: regression.coefficients()
            for image, regression in self._regressions.items()
        }

    def load_data(self, data: dict[str, Loads]) -> None:
        """Use stored coefficients of an earlier owner as priors.

        Serving images that already have samples keep their own regression.
        """
        for image, coefficients in data.items():
            self._regressions.setdefault(image, Regression(dict(coefficients)))


def sum_loads(loads: Iterable[tuple[str, float]]) -> Loads:
    """Return the total load of each image from pairs of image and load."""
    total: Loads = {}
    for image, load in loads:
        total[image] = total.get(image, 0.0) + load
    return total
