from __future__ import annotations

import unittest

from fulmarlever.clock import ManualClock
from fulmarlever.structure.table import Change
from fulmarlever_standins.table import MemoryTable
from fulmarleverd.placement.lease import ZoneLease
from fulmarleverd.tests.base import FakePlatform, make_kernel

LEASE_S = 6.0


class LeaseTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.table = MemoryTable(self.clock)
        self.first = self.make_lease("entry-a-1")
        self.second = self.make_lease("entry-a-2")

    def make_lease(self, vm: str) -> ZoneLease:
        kernel = make_kernel(self.clock, vm=vm)
        platform = FakePlatform(kernel, self.table)
        return ZoneLease(platform, self.clock, "a", f"{vm}#1", LEASE_S)

    async def advance(self, seconds: float, *leases: ZoneLease) -> None:
        for _ in range(int(seconds)):
            self.clock.advance(1.0)
            for lease in leases:
                await lease.step()

    async def test_takeover_waits_until_the_lease_has_expired(self):
        await self.advance(3, self.first, self.second)
        self.assertTrue(self.first.is_valid)
        for _ in range(12):
            await self.advance(1, self.second)
            self.assertFalse(self.first.is_valid and self.second.is_valid)
        self.assertTrue(self.second.is_valid)
        self.assertEqual(
            (self.second.epoch, self.second.row.former), (2, ("entry-a-1#1",))
        )
        await self.advance(2, self.first)
        self.assertFalse(self.first.is_held)

    async def test_takeover_fails_if_the_holder_renews_after_the_read(self):
        await self.advance(1, self.first)
        await self.advance(8, self.second)
        platform = self.second.platform
        read = platform.read

        async def read_then_renew(keys, prefixes=()):
            rows = await read(keys, prefixes)
            await self.first.step()
            return rows

        platform.read = read_then_renew
        await self.advance(1, self.second)
        self.assertTrue(self.first.is_valid)
        self.assertFalse(self.second.is_held)

    async def test_lease_expires_in_an_outage_and_is_renewed_in_its_epoch(self):
        await self.advance(2, self.first, self.second)
        for lease in (self.first, self.second):
            lease.platform.is_table_up = False
        await self.advance(20, self.first, self.second)
        self.assertTrue(self.first.is_held)
        self.assertFalse(self.first.is_valid)
        self.first.platform.is_table_up = True
        await self.advance(2, self.first)
        self.assertTrue(self.first.is_valid)
        self.assertEqual(self.first.epoch, 1)

    async def test_rows_are_read_again_after_lost_answers(self):
        self.first.platform.lose_answers = 1
        await self.advance(1, self.first)
        self.assertFalse(self.first.is_held)
        await self.advance(1, self.first)
        self.assertTrue(self.first.is_valid)
        self.assertEqual(self.first.epoch, 1)
        self.first.platform.lose_answers = 1
        await self.advance(2, self.first)
        self.assertTrue(self.first.is_valid)

    async def test_late_write_of_a_frozen_holder_is_refused(self):
        await self.advance(1, self.first)
        change = Change({self.first.key: self.first.version}, {"task/a/j/0": {}})
        await self.advance(10, self.second)
        self.assertEqual(self.table.write(change), [self.first.key])

    async def test_restarted_holder_waits_like_another_daemon(self):
        await self.advance(1, self.first)
        restarted = ZoneLease(
            self.first.platform, self.clock, "a", "entry-a-1#2", LEASE_S
        )
        await self.advance(6, restarted)
        self.assertFalse(restarted.is_held)
        await self.advance(4, restarted)
        self.assertEqual(restarted.epoch, 2)
