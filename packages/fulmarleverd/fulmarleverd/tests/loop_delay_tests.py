"""The measured delay of an event loop whose callbacks block it."""

from __future__ import annotations

import asyncio
import time
import unittest

from fulmarleverd.loop_delay import DECAY, PERIOD_S, LoopDelay

BLOCKED_S = 0.3
# Timers and a busy machine add to what the test itself blocks.
SLACK_S = 0.05


class LoopDelayTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.delay = LoopDelay()
        self.delay.start()
        self.addCleanup(self.delay.stop)

    def block(self) -> None:
        time.sleep(BLOCKED_S)

    async def test_a_blocked_loop_is_late(self) -> None:
        before_s = self.delay.total_s()
        self.block()
        # The timer is overdue, but has not run yet.
        late_s = self.delay.total_s() - before_s
        self.assertGreaterEqual(late_s, BLOCKED_S - PERIOD_S)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        self.assertGreaterEqual(self.delay.recent_s, BLOCKED_S - PERIOD_S)

    async def test_the_punctual_time_stands_still_while_the_loop_is_late(self) -> None:
        loop = asyncio.get_running_loop()
        started_s, punctual_s = loop.time(), self.delay.punctual_time()
        self.block()
        passed_s = self.delay.punctual_time() - punctual_s
        self.assertLess(
            passed_s, loop.time() - started_s - BLOCKED_S + PERIOD_S + SLACK_S
        )

    async def test_the_delay_is_forgotten(self) -> None:
        self.block()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        blocked_s = self.delay.recent_s
        await asyncio.sleep(5 * PERIOD_S)
        self.assertLess(self.delay.recent_s, blocked_s * DECAY + SLACK_S)

    async def test_a_stopped_measurement_counts_as_punctual(self) -> None:
        self.delay.stop()
        before_s = self.delay.total_s()
        self.block()
        self.assertEqual(self.delay.total_s(), before_s)
        self.assertEqual(self.delay.recent_s, 0.0)
