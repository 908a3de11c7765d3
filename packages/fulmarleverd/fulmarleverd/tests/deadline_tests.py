"""Time limits of steps that wait for others, on a late and on a punctual loop."""

from __future__ import annotations

import asyncio
import time
import unittest

from fulmarleverd.deadline import Deadline
from fulmarleverd.loop_delay import LoopDelay

LIMIT_S = 0.2


async def answer(after_s: float) -> str:
    await asyncio.sleep(after_s)
    return "answer"


class DeadlineTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.delay = LoopDelay()
        self.delay.start()
        self.addCleanup(self.delay.stop)

    async def test_an_answer_in_time_is_returned(self) -> None:
        self.assertEqual(
            await Deadline(LIMIT_S, self.delay).wait(answer(0.0)), "answer"
        )

    async def test_a_late_answer_is_cancelled(self) -> None:
        waiting = asyncio.create_task(answer(10.0))
        with self.assertRaises(TimeoutError):
            await Deadline(LIMIT_S, self.delay).wait(waiting)
        await asyncio.gather(waiting, return_exceptions=True)
        self.assertTrue(waiting.cancelled())

    async def test_a_step_ends_with_its_own_limit_or_the_whole_one(self) -> None:
        whole = Deadline(LIMIT_S, self.delay)
        for limit_s, expected_s in ((0.05, 0.05), (5.0, LIMIT_S)):
            left_s = whole.sooner(limit_s).left_s()
            self.assertLessEqual(left_s, expected_s)
            self.assertGreater(left_s, 0.0)

    async def test_the_time_limit_stands_still_while_the_loop_is_late(self) -> None:
        deadline = Deadline(LIMIT_S, self.delay)
        for _ in range(4):
            time.sleep(LIMIT_S)
            await asyncio.sleep(0)
        self.assertGreater(deadline.left_s(), 0.0)

    async def test_a_failure_is_passed_on(self) -> None:
        async def fail() -> None:
            raise OSError("refused")

        with self.assertRaises(OSError):
            await Deadline(LIMIT_S, self.delay).wait(fail())

    # Regression: the wait was a task of its own, and what it got was lost.
    async def test_a_permit_is_not_lost_by_a_cancellation(self) -> None:
        for steps in range(6):
            with self.subTest(steps=steps):
                permits = asyncio.Semaphore(0)
                deadline = Deadline(5.0, self.delay)
                waiting = asyncio.create_task(deadline.wait(permits.acquire()))
                await asyncio.sleep(0.01)
                permits.release()
                for _ in range(steps):
                    await asyncio.sleep(0)
                waiting.cancel()
                await asyncio.gather(waiting, return_exceptions=True)
                self.assertEqual(permits.locked(), not waiting.cancelled())
