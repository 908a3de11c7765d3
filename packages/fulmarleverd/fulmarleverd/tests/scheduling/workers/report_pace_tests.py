"""Pauses between the calls to workers that run nothing."""

from __future__ import annotations

import asyncio
from unittest import mock

from fulmarleverd.loop_delay import LoopDelay
from fulmarleverd.scheduling.ports import WorkerReport
from fulmarleverd.scheduling.specs import StepSpec
from fulmarleverd.scheduling.workers import report_pace
from fulmarleverd.scheduling.workers.report_pace import (
    IDLE_CALLS_PER_S,
    WAIT_IDLE_S,
    first_pause_s,
    idle_pause_s,
)
from fulmarleverd.scheduling.workers.worker_loop import WorkerLoop
from fulmarleverd.tests.scheduling.base import OwnerTestCase

LONG_PAUSE_S = 60.0


class CountedCalls:
    """Fake calls that a worker without runs answers at once."""

    def __init__(self) -> None:
        self.count = 0

    async def extend_lease(self, *args: object) -> WorkerReport:
        self.count += 1
        return WorkerReport(1000, "1", ())


class ReportPaceTests(OwnerTestCase):
    def test_the_calls_to_idle_workers_are_bounded(self):
        rows = (("small", 300), ("at the bound", 1000), ("large", 3000))
        for _, workers in self.each(rows):
            period_s = WAIT_IDLE_S + idle_pause_s(workers)
            self.assertLessEqual(workers / period_s, IDLE_CALLS_PER_S)
            is_paused = workers > IDLE_CALLS_PER_S * WAIT_IDLE_S
            self.assertEqual(idle_pause_s(workers) > 0.0, is_paused)

    def test_first_calls_are_spread_over_a_period(self):
        pauses = sorted(first_pause_s(f"w{number}", 3000) for number in range(3000))
        period_s = 3000 / IDLE_CALLS_PER_S
        for number in range(0, 3000, 300):
            share = pauses[number] / period_s
            self.assertAlmostEqual(share, number / 3000, delta=0.05)
        self.assertEqual(first_pause_s("w1", 300), 0.0)

    # Guards against ends of runs that are noticed late.
    def test_a_run_ends_the_pause(self):
        async def play(worker, loop, calls):
            task = asyncio.create_task(loop.run())
            while not calls.count:
                await asyncio.sleep(0.001)
            await asyncio.sleep(0.01)
            self.assertEqual(calls.count, 1)
            self.start(self.add_job("j", StepSpec()), worker)
            async with asyncio.timeout(5.0):
                while calls.count < 2:
                    await asyncio.sleep(0.001)
            task.cancel()

        self.lease.may_extend = True
        worker = self.workers[0]
        calls = CountedCalls()
        loop = WorkerLoop(self.owner, worker, calls, self.reports, LoopDelay())
        few_per_s = len(self.workers) / LONG_PAUSE_S
        with mock.patch.object(report_pace, "IDLE_CALLS_PER_S", few_per_s):
            asyncio.run(play(worker, loop, calls))
