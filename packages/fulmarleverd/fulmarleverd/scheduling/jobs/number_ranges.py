"""A compact set of whole numbers that are added roughly in order."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Iterable


class NumberRanges:
    """A set of numbers from 0 on, kept as ranges from a start up to, excluding, an end.

    Its size grows with the number of gaps, not with that of the numbers.
    """

    __slots__ = ("_starts", "_ends")

    def __init__(self, ranges: Iterable[tuple[int, int]] = ()) -> None:
        self._starts: list[int] = []
        self._ends: list[int] = []
        for start, end in ranges:
            if not (self._ends[-1] if self._ends else -1) < start < end:
                raise ValueError(f"the range {start} to {end} is out of order")
            self._starts.append(start)
            self._ends.append(end)

    def __contains__(self, number: int) -> bool:
        return self.first_missing(number) > number

    def __len__(self) -> int:
        """Return how many numbers the set has."""
        return sum(self._ends) - sum(self._starts)

    def first_missing(self, number: int) -> int:
        """Return the lowest number from ``number`` on that is not in the set."""
        index = bisect_right(self._starts, number) - 1
        return max(number, self._ends[index]) if index >= 0 else number

    def add(self, number: int) -> None:
        """Add a number, unless the set has it."""
        if number in self:
            return
        index = bisect_left(self._starts, number)
        joins_earlier = index > 0 and self._ends[index - 1] == number
        joins_later = index < len(self._starts) and self._starts[index] == number + 1
        if joins_earlier and joins_later:
            self._ends[index - 1] = self._ends.pop(index)
            del self._starts[index]
        elif joins_earlier:
            self._ends[index - 1] = number + 1
        elif joins_later:
            self._starts[index] = number
        else:
            self._starts.insert(index, number)
            self._ends.insert(index, number + 1)

    def to_list(self) -> list[tuple[int, int]]:
        """Return the ranges in order."""
        return list(zip(self._starts, self._ends, strict=True))
