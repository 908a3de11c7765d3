"""Waiting for a condition by asking for it again and again."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


async def poll_until(
    condition: Callable[[], object], timeout_s: float, step_s: float
) -> object:
    """Return the first true value of a condition, or ``None`` when time is over.

    The condition is a plain call or returns a coroutine.
    """
    loop = asyncio.get_running_loop()
    end = loop.time() + timeout_s
    while loop.time() < end:
        value = condition()
        if asyncio.iscoroutine(value):
            value = await value
        if value:
            return value
        await asyncio.sleep(step_s)
    return None
