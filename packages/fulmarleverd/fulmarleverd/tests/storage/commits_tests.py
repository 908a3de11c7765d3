from __future__ import annotations

import asyncio
import unittest

from hypothesis import given
from hypothesis import strategies as st

from fulmarlever.clock import Clock, ManualClock
from fulmarlever.outcomes import Conflict
from fulmarlever.structure.table import ABSENT, Applied, Change, WritePriority
from fulmarlever_standins.table import MemoryTable
from fulmarleverd.storage.commits import GroupCommitQueue, WriteRateLimiter

BATCH_DELAY_S = 0.001
WRITES_PER_S = 10000.0


async def commit_all(table, changes, per_s=WRITES_PER_S):
    async def write(change):
        await asyncio.sleep(0)
        result = table.write(change)
        if isinstance(result, list):
            return Conflict("condition does not hold", tuple(result))
        return result

    commits = GroupCommitQueue(write, WriteRateLimiter(per_s, Clock()), BATCH_DELAY_S)
    runner = asyncio.create_task(commits.run())
    results = await asyncio.gather(*(commits.commit(*change) for change in changes))
    runner.cancel()
    return results


def insert(key, priority=WritePriority.CLAIMS):
    return Change(conditions={key: ABSENT}, writes={key: 1}), priority


class GroupCommitTests(unittest.TestCase):
    def test_queued_changes_share_transactions(self):
        table = MemoryTable()
        changes = [insert(f"task/{n}", WritePriority.TASKS) for n in range(300)]
        results = asyncio.run(commit_all(table, changes))
        self.assertTrue(all(isinstance(result, Applied) for result in results))
        self.assertLessEqual(table.writes, 3)

    def test_conflict_fails_only_its_own_change(self):
        table = MemoryTable()
        table.write(Change(writes={"b": 0}))
        results = asyncio.run(
            commit_all(table, [insert("a"), insert("b"), insert("c")])
        )
        kinds = [type(result) for result in results]
        self.assertEqual(kinds, [Applied, Conflict, Applied])

    def test_urgent_lanes_are_sent_first(self):
        table = MemoryTable()
        changes = [insert(f"s{n}", WritePriority.STATUS) for n in range(200)]
        changes.append(insert("lease", WritePriority.LEASES))
        results = asyncio.run(commit_all(table, changes))
        lease = results[-1].versions["lease"]
        self.assertLess(lease, max(v for r in results for v in r.versions.values()))

    @given(
        st.lists(
            st.tuples(st.sampled_from("abcd"), st.sampled_from("abcd"), st.booleans()),
            max_size=12,
        )
    )
    def test_conditions_hold_as_if_each_change_were_sent_alone(self, rows):
        changes = []
        for key, condition, is_delete in rows:
            change = Change(conditions={condition: ABSENT})
            if is_delete:
                change.deletes.append(key)
            else:
                change.writes[key] = key
            changes.append((change, WritePriority.TASKS))
        table = MemoryTable()
        applied = []
        original = table.write

        def write(change):
            before = {row.key for row in table.read("abcd")}
            result = original(change)
            if isinstance(result, Applied):
                applied.append((before, change))
            return result

        table.write = write
        results = asyncio.run(commit_all(table, changes))
        for before, change in applied:
            self.assertTrue(before.isdisjoint(change.conditions))
            self.assertTrue(set(change.writes).isdisjoint(change.deletes))
        self.assertTrue(all(isinstance(r, Applied | Conflict) for r in results))


class WriteRateLimiterTests(unittest.TestCase):
    def test_rate_is_limited_after_the_first_burst(self):
        clock = ManualClock()
        limiter = WriteRateLimiter(40.0, clock)
        taken = 0
        for _ in range(1000):
            taken += limiter.try_acquire() == 0.0
            clock.advance(0.01)
        self.assertLessEqual(taken, 40 + 40 * 10)
        self.assertGreaterEqual(taken, 40 * 10)
