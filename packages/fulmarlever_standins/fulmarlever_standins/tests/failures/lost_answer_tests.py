from __future__ import annotations

import asyncio

from fulmarlever_standins.caller import Reply
from fulmarlever_standins.tests.failures.base import FailureTestCase


class LostAnswerTests(FailureTestCase):
    async def test_repeated_keys_run_once_while_answers_to_table_writes_are_lost(self):
        async def faults():
            await asyncio.sleep(0.5)
            await self.cluster.set_platform_faults(lose_answers=0.3)
            await asyncio.sleep(5.0)
            await self.cluster.set_platform_faults(lose_answers=0.0)

        # Two equal streams send each key twice, mostly through different entry VMs.
        fields = {"post_part": 1.0, "rate_per_s": 40.0, "work_ms": 20}
        streams = (
            self.run_load(6.0, faults(), **fields),
            self.run_load(6.0, asyncio.sleep(0), **fields),
        )
        first, second = await asyncio.gather(*streams)
        totals = await self.cluster.backend_totals()
        self.assertEqual({k: n for k, n in totals.keys.items() if n > 1}, {})
        self.assertGreater(len(totals.keys), 0)
        self.check_replies_match_runs((*first, *second), totals.runs)

    def check_replies_match_runs(self, results, runs):
        replies: dict[str, set[Reply]] = {}
        for result in results:
            self.assertNotEqual(result.reply, Reply.WRONG, result)
            replies.setdefault(result.request.request_id, set()).add(result.reply)
        for request_id, pair in replies.items():
            if Reply.SERVED in pair:
                self.assertEqual(runs.get(request_id), 1, (request_id, pair))
            if pair == {Reply.NOT_RUN}:
                self.assertNotIn(request_id, runs, pair)
