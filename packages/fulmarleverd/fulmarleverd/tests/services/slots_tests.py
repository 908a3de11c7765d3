from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from fulmarlever.structure.fleet import VM, VMState
from fulmarlever.structure.table import Change
from fulmarlever.tests.base import TableTestCase, wait_until
from fulmarleverd.requests.fair_share import fair_share
from fulmarleverd.tests.requests.path_base import PathTestCase
from fulmarleverd.tests.requests.slot_world import VMS, SlotWorld

LEAVING_LIMIT_S = 3.0


class FairShareTests(TableTestCase):
    @given(
        st.lists(st.text(min_size=1, max_size=8), min_size=1, max_size=12, unique=True),
        st.integers(0, 64),
        st.text(max_size=8),
    )
    def test_shares_add_up_and_differ_by_one_at_most(self, vms, slots, server):
        shares = [fair_share(server, slots, sorted(vms), vm) for vm in vms]
        self.assertEqual(sum(shares), slots)
        self.assertLessEqual(max(shares) - min(shares), 1)

    def test_rest_is_spread_over_the_vms(self):
        extra = Counter()
        for index in range(300):
            for vm in VMS:
                extra[vm] += fair_share(f"filling/{index}", 8, VMS, vm) - 2
        self.assertEqual(sum(extra.values()), 600)
        self.assertLess(max(extra.values()) - min(extra.values()), 60)

    def test_vm_that_is_not_listed_gets_none(self):
        self.assertEqual(fair_share("filling/0", 8, VMS, "entry-b-9"), 0)


class WaitingTests(PathTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.serve(slots=1)
        self.kernel = await self.daemon()
        await self.owning(self.kernel)
        self.pool = self.kernel.find("slots").pool

    async def test_slot_goes_to_the_one_that_waited_longest(self):
        slot = self.pool.take("filling")
        order = []

        async def wait(number):
            got = await self.pool.wait("filling", 5.0)
            order.append(number)
            self.pool.return_to_pool(got)

        tasks = [asyncio.ensure_future(wait(number)) for number in range(5)]
        await wait_until(lambda: self.pool.waiting("filling") == 5)
        self.pool.return_to_pool(slot)
        await asyncio.gather(*tasks)
        self.assertEqual(order, list(range(5)))
        self.assertEqual(self.pool.free_slots("filling"), 1)

    async def test_slot_is_not_lost_with_a_waiter_that_gave_up(self):
        slot = self.pool.take("filling")
        self.assertIsNone(await self.pool.wait("filling", 0.01))
        gone = asyncio.ensure_future(self.pool.wait("filling", 5.0))
        await wait_until(lambda: self.pool.waiting("filling") == 1)
        self.pool.return_to_pool(slot)
        gone.cancel()
        await asyncio.gather(gone, return_exceptions=True)
        self.assertEqual(self.pool.free_slots("filling"), 1)

    async def test_waiter_gets_the_slot_of_a_server_that_failed_for_a_moment(self):
        share = self.pool.of_service("filling")[0]
        share.start_backoff(self.kernel.clock.monotonic())
        self.assertIsNone(self.pool.take("filling"))
        self.assertIsNotNone(await self.pool.wait("filling", 5.0))


class LeavingTests(PathTestCase):
    """Each sign that a server leaves ends its new requests within the limit."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.leaving, self.staying = await self.serve(2)
        self.kernel = await self.daemon()
        self.platform = self.kernel.find("platform")
        self.worker = VM("worker-0", "a", "worker", "127.0.0.1", 1)
        self.platform.vm_list = {"worker-0": self.worker}
        await self.owning(self.kernel)
        slots = self.kernel.find("slots")
        await wait_until(lambda: "worker-0" in slots._seen_workers)

    def change_row(self, **changes):
        row = self.table.read(["servers/a"])[0].value
        row["servers"]["filling/0"].update(changes)
        self.table.write(Change(writes={"servers/a": row}))

    def row_says_leaving(self):
        self.change_row(leaving=True)

    def list_says_leaving(self):
        leaving = replace(self.worker, state=VMState.LEAVING)
        self.platform.vm_list = {"worker-0": leaving}

    def worker_is_gone_from_the_list(self):
        self.platform.vm_list = {}

    def row_loses_the_server(self):
        row = self.table.read(["servers/a"])[0].value
        del row["servers"]["filling/0"]
        self.table.write(Change(writes={"servers/a": row}))

    def answer_says_leaving(self):
        self.leaving.state = "leaving"

    async def ask_until(self, condition):
        async def once():
            results = await asyncio.gather(*(self.ask(self.kernel) for _ in range(8)))
            self.assertEqual({status for status, _, _ in results}, {200})
            return condition()

        await wait_until(once)

    async def check_sign(self, sign):
        await self.ask_until(lambda: self.leaving.runs)
        sign()
        loop = asyncio.get_running_loop()
        end = loop.time() + LEAVING_LIMIT_S
        (share,) = [
            s
            for s in self.kernel.find("slots").servers("filling")
            if s.server.name == "filling/0"
        ]
        await self.ask_until(lambda: share.is_leaving)
        self.assertLess(loop.time(), end)
        before = sum(self.leaving.runs.values())
        for _ in range(30):
            await self.ask(self.kernel)
        self.assertEqual(sum(self.leaving.runs.values()), before)

    async def test_row(self):
        await self.check_sign(self.row_says_leaving)

    async def test_vm_list(self):
        await self.check_sign(self.list_says_leaving)

    async def test_worker_gone(self):
        await self.check_sign(self.worker_is_gone_from_the_list)

    async def test_server_gone_from_the_row(self):
        await self.check_sign(self.row_loses_the_server)

    async def test_own_answer(self):
        await self.check_sign(self.answer_says_leaving)

    async def test_server_that_moved_is_used_at_its_new_address(self):
        self.leaving.state = "leaving"
        await self.ask_until(lambda: self.leaving.runs)
        self.change_row(port=self.staying.port)
        pool = self.kernel.find("slots").pool
        await wait_until(lambda: pool.capacity("filling") == 16)


class LosslessStopTests(TableTestCase):
    def test_daemon_that_stops_hands_its_slots_over(self):
        world = SlotWorld()
        self.addCleanup(world.close)
        world.advance(6)
        leaver = world.daemons[VMS[0]]
        leaver.slots._is_releasing_all = True
        world.advance(3)
        self.assertEqual(world.owned(VMS[0]), 0)
        world.kill(VMS[0])
        world.advance(3)
        self.assertEqual(world.owned(VMS[1]) + world.owned(VMS[2]), 16)
