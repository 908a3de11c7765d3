"""The calm parts of a play, in which no fault is in progress."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

# Not a multiple of the owner's period, so that it is seen at various moments of it.
POLL_S = 0.23
# A part of a play counts as calm this long after the last fault.
SETTLED_AFTER_S = 4.0


class Calm:
    """Whether any fault is in progress, and since when none is."""

    def __init__(self) -> None:
        self._faults = 0
        self._since_s = asyncio.get_running_loop().time()

    @contextmanager
    def interrupted(self) -> Iterator[None]:
        """Count a fault as in progress."""
        self._faults += 1
        try:
            yield
        finally:
            self._faults -= 1
            self._since_s = asyncio.get_running_loop().time()

    @property
    def seconds(self) -> float:
        """Return for how long no fault has been in progress."""
        if self._faults:
            return 0.0
        return asyncio.get_running_loop().time() - self._since_s

    async def wait(self, seconds: float) -> None:
        """Wait until no fault has been in progress for some seconds."""
        while self.seconds < seconds:
            await asyncio.sleep(POLL_S)
