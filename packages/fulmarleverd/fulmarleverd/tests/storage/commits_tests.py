from __future__ import annotations

import asyncio
import unittest

from hypothesis import given
from hypothesis import strategies as st

from fulmarlever.clock import Clock, ManualClock
from fulmarlever.outcomes import Conflict
from fulmarlever.structure.table import ABSENT, Applied, Change, WritePriority
from fulmarlever_standins.table import MemoryTable
from fulmarleverd.storage.commits import GroupCommits, WriteBudget

LINGER_S = 0.001
WRITES_PER_S = 10000.0


async def commit_all(table, changes, per_s=WRITES_PER_S):
    async def write(change):
        await asyncio.sleep(0)
        result = table.write(change)
        if isinstance(result, list):
            return Conflict("condition does not hold", tuple(result))
        return result

    commits = GroupCommits(write, WriteBudget(per_s, Clock()), LINGER_S)
    runner = asyncio.create_task(commits.run())
    results = await asyncio.gather(*(commits.commit(*change) for change in changes))
    runner.cancel()
    return results


def insert(key, priority=WritePriority.CLAIMS):
    return Change(conditions={key: ABSENT}, writes={key: 1}), priority


class GroupCommitTests(unittest.TestCase):
    def test_a_wave_shares_transactions(self):
        table = MemoryTable()
        wave = [insert(f"task/{n}", WritePriority.TASKS) for n in range(300)]
        results = asyncio.run(commit_all(table, wave))
        self.assertTrue(all(isinstance(result, Applied) for result in results))
        self.assertLessEqual(table.writes, 3)

    def test_a_conflict_fails_only_its_own_change(self):
        table = MemoryTable()
        table.write(Change(writes={"b": 0}))
        results = asyncio.run(
            commit_all(table, [insert("a"), insert("b"), insert("c")])
        )
        kinds = [type(result) for result in results]
        self.assertEqual(kinds, [Applied, Conflict, Applied])

    def test_urgent_changes_go_first(self):
        table = MemoryTable()
        wave = [insert(f"s{n}", WritePriority.STATUS) for n in range(200)]
        wave.append(insert("lease", WritePriority.LEASES))
        versions = asyncio.run(commit_all(table, wave))
        lease = versions[-1].versions["lease"]
        self.assertLess(lease, max(v for r in versions for v in r.versions.values()))

    @given(
        st.lists(
            st.tuples(st.sampled_from("abcd"), st.sampled_from("abcd"), st.booleans()),
            max_size=12,
        )
    )
    def test_conditions_hold_as_if_each_change_went_alone(self, rows):
        changes = []
        for key, condition, is_delete in rows:
            change = Change(conditions={condition: ABSENT})
            if is_delete:
                change.deletes.append(key)
            else:
                change.writes[key] = key
            changes.append((change, WritePriority.TASKS))
        table = MemoryTable()
        journal = []
        original = table.write

        def write(change):
            before = {row.key for row in table.read("abcd")}
            result = original(change)
            if isinstance(result, Applied):
                journal.append((before, change))
            return result

        table.write = write
        results = asyncio.run(commit_all(table, changes))
        for before, change in journal:
            self.assertTrue(before.isdisjoint(change.conditions))
            self.assertTrue(set(change.writes).isdisjoint(change.deletes))
        self.assertTrue(all(isinstance(r, Applied | Conflict) for r in results))


class WriteBudgetTests(unittest.TestCase):
    def test_rate_is_kept_over_a_burst(self):
        clock = ManualClock()
        budget = WriteBudget(40.0, clock)
        taken = 0
        for _ in range(1000):
            taken += budget.wait_s() == 0.0
            clock.advance(0.01)
        self.assertLessEqual(taken, 40 + 40 * 10)
        self.assertGreaterEqual(taken, 40 * 10)
