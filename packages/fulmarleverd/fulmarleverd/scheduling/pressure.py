"""Learns how much best-effort images take from the headroom of serving images.

The headroom of a serving task is its latency target divided by its tail latency. It
falls linearly with the load of a best-effort image on the worker, by a coefficient of
the pair of images, whatever the serving task's own load is. So the coefficients are
learned from the changes between two reports of one task.
"""

from __future__ import annotations

from collections.abc import Iterable

# Weight of a sample halves after about 700 newer ones of the same serving image.
FORGETTING = 0.999
# How strongly an unseen pair is held to the prior.
PRIOR_WEIGHT = 0.01
# Headroom that an unknown image takes if it uses all cores of a worker.
PRIOR_COEFFICIENT = 3.0
MIN_CHANGE = 0.01
SAMPLES_PER_SOLUTION = 20

Loads = dict[str, float]


class Regression:
    """Ridge regression of one serving image on the loads of best-effort images."""

    __slots__ = ("_columns", "_products", "_targets", "_solution", "_fresh", "_prior")

    def __init__(self, prior: Loads | None = None) -> None:
        self._prior = prior or {}
        self._columns: dict[str, int] = {}
        self._products: list[list[float]] = []
        self._targets: list[float] = []
        self._solution: list[float] = []
        self._fresh = 0

    def add(self, changes: Loads, fall: float) -> None:
        """Add a sample: changes of load by image, and the fall of the headroom."""
        row = [(self._column(image), change) for image, change in changes.items()]
        self._forget()
        for i, x in row:
            self._targets[i] += x * fall
            for j, y in row:
                self._products[i][j] += x * y
        self._fresh += 1

    def _column(self, image: str) -> int:
        if image not in self._columns:
            self._columns[image] = len(self._columns)
            for line in self._products:
                line.append(0.0)
            self._products.append([0.0] * len(self._columns))
            self._targets.append(0.0)
            self._solution.append(self._expected(image))
        return self._columns[image]

    def _expected(self, image: str) -> float:
        """Return the coefficient of an image without any sample."""
        return self._prior.get(image, PRIOR_COEFFICIENT)

    def _forget(self) -> None:
        self._targets = [value * FORGETTING for value in self._targets]
        for line in self._products:
            for column in range(len(line)):
                line[column] *= FORGETTING

    def coefficient(self, image: str) -> float:
        """Return the headroom taken by one worker's worth of an image."""
        if self._fresh >= SAMPLES_PER_SOLUTION:
            self._fresh = 0
            self._solution = self._solve()
        column = self._columns.get(image)
        return self._expected(image) if column is None else self._solution[column]

    def coefficients(self) -> Loads:
        """Return the coefficients of all images, rounded."""
        images = {*self._columns, *self._prior}
        return {image: round(self.coefficient(image), 2) for image in sorted(images)}

    def _solve(self) -> list[float]:
        matrix = [list(line) for line in self._products]
        right = list(self._targets)
        for image, column in self._columns.items():
            matrix[column][column] += PRIOR_WEIGHT
            right[column] += PRIOR_WEIGHT * self._expected(image)
        return [max(0.0, value) for value in solve_linear(matrix, right)]


def solve_linear(matrix: list[list[float]], right: list[float]) -> list[float]:
    """Solve a positive definite system by elimination; the arguments are changed."""
    size = len(right)
    for pivot in range(size):
        for line in range(pivot + 1, size):
            factor = matrix[line][pivot] / matrix[pivot][pivot]
            if factor:
                for column in range(pivot, size):
                    matrix[line][column] -= factor * matrix[pivot][column]
                right[line] -= factor * right[pivot]
    solution = [0.0] * size
    for line in range(size - 1, -1, -1):
        known = sum(
            matrix[line][column] * solution[column] for column in range(line + 1, size)
        )
        solution[line] = (right[line] - known) / matrix[line][line]
    return solution


class PressureModel:
    """One regression for each serving image."""

    __slots__ = ("_regressions",)

    def __init__(self) -> None:
        self._regressions: dict[str, Regression] = {}

    def observe(
        self, serving_image: str, before: Loads, after: Loads, fall: float
    ) -> None:
        """Learn from two reports of one serving task."""
        changes = {
            image: change
            for image in before.keys() | after.keys()
            if abs(change := after.get(image, 0.0) - before.get(image, 0.0))
            >= MIN_CHANGE
        }
        if changes:
            regression = self._regressions.setdefault(serving_image, Regression())
            regression.add(changes, fall)

    def headroom_taken(self, serving_image: str, image: str, load: float) -> float:
        """Return the headroom that a load takes from a serving image."""
        regression = self._regressions.get(serving_image)
        if regression is None:
            return PRIOR_COEFFICIENT * load
        return regression.coefficient(image) * load

    def total_headroom_taken(self, serving_image: str, loads: Loads) -> float:
        """Return the headroom that all loads of a worker take."""
        return sum(
            self.headroom_taken(serving_image, image, load)
            for image, load in loads.items()
        )

    def to_data(self) -> dict[str, Loads]:
        """Return what has been learned, as plain data for the store."""
        return {
            image: regression.coefficients()
            for image, regression in self._regressions.items()
        }

    def load_data(self, data: dict[str, Loads]) -> None:
        """Begin with what an earlier owner has learned."""
        for image, coefficients in data.items():
            self._regressions.setdefault(image, Regression(dict(coefficients)))


def sum_loads(loads: Iterable[tuple[str, float]]) -> Loads:
    """Return the total load of each image."""
    total: Loads = {}
    for image, load in loads:
        total[image] = total.get(image, 0.0) + load
    return total
