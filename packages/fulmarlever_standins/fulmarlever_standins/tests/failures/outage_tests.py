from __future__ import annotations

import asyncio

from fulmarlever_standins.tests.failures.base import FailureTestCase


class OutageTests(FailureTestCase):
    async def test_table_down_silent_and_slow(self):
        async def faults():
            for state in ("down", "hold", "slow"):
                await asyncio.sleep(0.5)
                await self.cluster.faults(table=state, slow_s=1.5)
                await asyncio.sleep(2.5)
                await self.wait_serving("entry-a-1", "entry-b-1")
                await self.cluster.faults(table="ok")

        results = await self.load(10.0, faults())
        await self.check(results)
        await self.wait_serving("entry-a-1", "entry-a-2", "entry-b-1", "entry-b-2")


class LostAnswerTests(FailureTestCase):
    async def test_repeated_keys_run_once_while_answers_of_writes_are_lost(self):
        async def faults():
            await asyncio.sleep(0.5)
            await self.cluster.faults(lose_answers=0.3)
            await asyncio.sleep(5.0)
            await self.cluster.faults(lose_answers=0.0)

        # Two equal streams send every key twice, through different entry VMs.
        fields = {"post_part": 1.0, "rate_per_s": 40.0, "work_ms": 20}
        streams = (
            self.load(6.0, faults(), **fields),
            self.load(6.0, asyncio.sleep(0), **fields),
        )
        first, second = await asyncio.gather(*streams)
        totals = await self.cluster.records()
        self.assertEqual({k: n for k, n in totals.keys.items() if n > 1}, {})
        self.assertGreater(len(totals.keys), 0)
        self.check_pairs(first, second, totals.runs)

    def check_pairs(self, first, second, runs):
        replies = {}
        for result in (*first, *second):
            replies.setdefault(result.request.request_id, []).append(result.reply)
        for request_id, pair in replies.items():
            self.assertNotIn("wrong", pair, request_id)
            if "served" in pair:
                self.assertEqual(runs.get(request_id), 1, (request_id, pair))
            if set(pair) == {"not-run"}:
                self.assertNotIn(request_id, runs, pair)
