"""Learns how much best-effort images raise the tail latency of serving images."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

# Weight of a sample halves after about 200 newer ones of the same serving image.
FORGETTING = 0.9965
# How strongly an unseen pair is held to the prior.
PRIOR_WEIGHT = 0.02
# Rise of the latency, as a share of its target, by an unknown image that uses all
# cores of a worker.
PRIOR_COEFFICIENT = 1.5
PRIOR_BASE = 0.35
# Latencies above this share of the target tell no more about the cause.
MAX_RATIO = 3.0
MIN_LOAD = 0.005
SAMPLES_PER_SOLUTION = 40


class Regression:
    """Ridge regression of one serving image on the loads of best-effort images.

    Column 0 is the latency without best-effort work. Older samples count less.
    """

    __slots__ = ("_columns", "_products", "_targets", "_solution", "_fresh")

    def __init__(self) -> None:
        self._columns: dict[str, int] = {"": 0}
        self._products: list[list[float]] = [[0.0]]
        self._targets: list[float] = [0.0]
        self._solution: list[float] = [PRIOR_BASE]
        self._fresh = 0

    def add(self, loads: dict[str, float], ratio: float) -> None:
        """Add a sample: loads by image, as shares of a worker, and the latency."""
        row = [(0, 1.0)]
        row += [(self._column(image), load) for image, load in loads.items()]
        self._forget()
        for i, x in row:
            self._targets[i] += x * min(ratio, MAX_RATIO)
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
            self._solution.append(PRIOR_COEFFICIENT)
        return self._columns[image]

    def _forget(self) -> None:
        self._targets = [value * FORGETTING for value in self._targets]
        for line in self._products:
            for column in range(len(line)):
                line[column] *= FORGETTING

    def coefficient(self, image: str) -> float:
        """Return the rise of the latency by one worker's worth of an image."""
        self._solve_if_due()
        column = self._columns.get(image)
        return PRIOR_COEFFICIENT if column is None else self._solution[column]

    def _solve_if_due(self) -> None:
        if self._fresh >= SAMPLES_PER_SOLUTION:
            self._fresh = 0
            self._solution = self._solve()

    def _solve(self) -> list[float]:
        prior = [PRIOR_BASE] + [PRIOR_COEFFICIENT] * (len(self._columns) - 1)
        matrix = [list(line) for line in self._products]
        right = list(self._targets)
        for column, value in enumerate(prior):
            matrix[column][column] += PRIOR_WEIGHT
            right[column] += PRIOR_WEIGHT * value
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
        self, serving_image: str, loads: Iterable[tuple[str, float]], ratio: float
    ) -> None:
        """Learn from one report; ``ratio`` is the latency as a share of its target."""
        total: dict[str, float] = {}
        for image, load in loads:
            total[image] = total.get(image, 0.0) + load
        kept = {image: load for image, load in total.items() if load >= MIN_LOAD}
        regression = self._regressions.setdefault(serving_image, Regression())
        regression.add(kept, ratio)

    def rise(self, serving_image: str, image: str, load: float) -> float:
        """Return the expected rise of a serving image's latency by a load."""
        regression = self._regressions.get(serving_image)
        if regression is None:
            return PRIOR_COEFFICIENT * load
        return regression.coefficient(image) * load

    def describe(self) -> Iterator[tuple[str, str, float]]:
        """Yield serving image, best-effort image and learned coefficient."""
        for serving_image, regression in self._regressions.items():
            for image in list(regression._columns):
                yield serving_image, image, regression.coefficient(image)
