"""Test helpers that all packages share."""

from __future__ import annotations

import os
import unittest
from collections.abc import Callable, Iterable

from hypothesis import HealthCheck, settings

from fulmarlever.polling import poll_until

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)
# Other examples each time, for hunts by hand; a failure prints its example.
settings.register_profile("hunt", settings.get_profile("ci"), derandomize=False)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))

WAIT_STEP_S = 0.02


class TableTestCase(unittest.TestCase):
    """A test case whose tests loop over rows of parameters."""

    row = ""

    def each(self, rows: Iterable[tuple]) -> Iterable[tuple]:
        """Yield every row; failed assertions show the first item of the current row.

        The first row that fails ends the test.
        """
        for row in rows:
            self.row = str(row[0])
            yield row
        self.row = ""

    def _formatMessage(self, msg: str | None, standardMsg: str) -> str:
        text = super()._formatMessage(msg, standardMsg)
        return f"row {self.row!r}: {text}" if self.row else text


async def wait_until(
    condition: Callable[[], object], timeout_s: float = 10.0
) -> object:
    """Wait until the value of a condition is true and return the value.

    Raise ``AssertionError`` after ``timeout_s``.
    """
    value = await poll_until(condition, timeout_s, WAIT_STEP_S)
    if value is None:
        raise AssertionError(f"condition not met within {timeout_s} s")
    return value
