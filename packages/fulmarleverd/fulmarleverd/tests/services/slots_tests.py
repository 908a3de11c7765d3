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
from fulmarleverd.tests.requests.zone_model import VMS, ZoneModel

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

    def test_remainder_is_spread_over_the_vms(self):
        extra = Counter()
        for index in range(300):
            for vm in VMS:
                extra[vm] += fair_share(f"filling/{index}", 8, VMS, vm) - 2
        self.assertEqual(sum(extra.values()), 600)
        self.assertLess(max(extra.values()) - min(extra.values()), 60)

    def test_vm_that_is_not_listed_gets_no_slot(self):
        self.assertEqual(fair_share("filling/0", 8, VMS, "entry-b-9"), 0)


class WaitingTests(PathTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.serve(slots=1)
        self.kernel = await self.daemon()
        await self.wait_for_slots(self.kernel)
        self.pool = self.kernel.find("slots").pool

    async def test_slot_goes_to_the_request_that_waited_longest(self):
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

    async def test_slot_is_not_lost_when_its_waiter_is_cancelled(self):
        slot = self.pool.take("filling")
        self.assertIsNone(await self.pool.wait("filling", 0.01))
        cancelled = asyncio.ensure_future(self.pool.wait("filling", 5.0))
        await wait_until(lambda: self.pool.waiting("filling") == 1)
        self.pool.return_to_pool(slot)
        cancelled.cancel()
        await asyncio.gather(cancelled, return_exceptions=True)
        self.assertEqual(self.pool.free_slots("filling"), 1)

    async def test_waiter_gets_a_slot_after_the_backoff_of_a_server(self):
        share = self.pool.of_service("filling")[0]
        share.start_backoff(self.kernel.clock.monotonic())
        self.assertIsNone(self.pool.take("filling"))
        self.assertIsNotNone(await self.pool.wait("filling", 5.0))


class LeavingTests(PathTestCase):
    """A server that leaves gets no new request after ``LEAVING_LIMIT_S``.

    Each test marks the server as leaving through another source of information.
    """

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.leaving, self.staying = await self.serve(2)
        self.kernel = await self.daemon()
        self.platform = self.kernel.find("platform")
        self.worker = VM("worker-0", "a", "worker", "127.0.0.1", 1)
        self.platform.vm_list = {"worker-0": self.worker}
        await self.wait_for_slots(self.kernel)
        slots = self.kernel.find("slots")
        await wait_until(lambda: "worker-0" in slots._seen_workers)

    def change_row(self, **changes):
        row = self.table.read(["servers/a"])[0].value
        row["servers"]["filling/0"].update(changes)
        self.table.write(Change(writes={"servers/a": row}))

    def set_leaving_in_row(self):
        self.change_row(leaving=True)

    def set_leaving_in_list(self):
        leaving = replace(self.worker, state=VMState.LEAVING)
        self.platform.vm_list = {"worker-0": leaving}

    def remove_worker_from_list(self):
        self.platform.vm_list = {}

    def remove_server_from_row(self):
        row = self.table.read(["servers/a"])[0].value
        del row["servers"]["filling/0"]
        self.table.write(Change(writes={"servers/a": row}))

    def set_leaving_in_answers(self):
        self.leaving.state = "leaving"

    async def ask_until(self, condition):
        async def once():
            results = await asyncio.gather(*(self.ask(self.kernel) for _ in range(8)))
            self.assertEqual({status for status, _, _ in results}, {200})
            return condition()

        await wait_until(once)

    async def check_source(self, mark_leaving):
        await self.ask_until(lambda: self.leaving.runs)
        mark_leaving()
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

    async def test_server_leaving_in_its_row(self):
        await self.check_source(self.set_leaving_in_row)

    async def test_worker_leaving_in_the_vm_list(self):
        await self.check_source(self.set_leaving_in_list)

    async def test_worker_missing_from_the_vm_list(self):
        await self.check_source(self.remove_worker_from_list)

    async def test_server_missing_from_the_row(self):
        await self.check_source(self.remove_server_from_row)

    async def test_answer_with_the_state_leaving(self):
        await self.check_source(self.set_leaving_in_answers)

    async def test_server_that_moved_is_used_at_its_new_address(self):
        self.leaving.state = "leaving"
        await self.ask_until(lambda: self.leaving.runs)
        self.change_row(port=self.staying.port)
        pool = self.kernel.find("slots").pool
        await wait_until(lambda: pool.capacity("filling") == 16)


class StopTests(TableTestCase):
    def test_stopping_daemon_releases_its_slots_to_peers(self):
        model = ZoneModel()
        self.addCleanup(model.close)
        model.advance(6)
        stopping = model.daemons[VMS[0]]
        stopping.slots._is_releasing_all = True
        model.advance(3)
        self.assertEqual(model.owned(VMS[0]), 0)
        model.kill(VMS[0])
        model.advance(3)
        self.assertEqual(model.owned(VMS[1]) + model.owned(VMS[2]), 16)
