"""Polling of conditions."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


async def poll_until(
    condition: Callable[[], object], timeout_s: float, step_s: float
) -> object:
    """Call a condition every ``step_s`` until its value is true, and return the value.

    The condition may return a coroutine, which is awaited. Return ``None`` after
    ``timeout_s``.
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
