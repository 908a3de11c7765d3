from __future__ import annotations

from aiohttp import ClientError, ClientTimeout

from fulmarlever.clock import ManualClock
from fulmarlever.structure.table import Change
from fulmarlever_standins.platform import Platform
from fulmarlever_standins.table import MemoryTable
from fulmarlever_standins.tests.base import ServerTestCase

WRITE = {"conditions": {"a": 0}, "writes": {"a": 1}}
SHORT_TIMEOUT = ClientTimeout(total=0.2)


class PlatformTests(ServerTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.platform = Platform()
        self.url = await self.serve(self.platform.build_app())

    async def write(self, **options) -> int | type:
        url = f"{self.url}/v1/table/write"
        try:
            return (await self.post(url, WRITE, **options))[0]
        except TimeoutError:
            return TimeoutError
        except ClientError:
            return ClientError

    async def set_faults(self, **faults):
        status, _ = await self.post(f"{self.url}/faults", faults)
        self.assertEqual(status, 200)

    async def test_effect_of_each_fault_on_a_write(self):
        cut = {"headers": {"X-Zone": "a"}, "timeout": SHORT_TIMEOUT}
        rows = (
            ("ok", {}, {}, 200, 1),
            ("down", {"table": "down"}, {}, 503, 0),
            ("hold", {"table": "hold"}, {"timeout": SHORT_TIMEOUT}, TimeoutError, 0),
            ("slow", {"table": "slow", "slow_s": 0.01}, {}, 200, 1),
            ("cut zone", {"cut": ["a"]}, cut, TimeoutError, 0),
            ("other zone cut", {"cut": ["b"]}, cut, 200, 1),
            ("answer lost", {"lose_answers": 1.0}, {}, ClientError, 1),
        )
        for name, faults, options, expected, row_count in rows:
            with self.subTest(name):
                self.platform.table = MemoryTable()
                await self.set_faults(**faults)
                self.assertEqual(await self.write(**options), expected)
                self.assertEqual(self.platform.table.row_count, row_count)
                await self.set_faults(table="ok", cut=[], lose_answers=0.0)

    async def test_slow_write_takes_effect_after_a_client_timeout(self):
        await self.set_faults(table="slow", slow_s=0.2)
        short = ClientTimeout(total=0.05)
        self.assertEqual(await self.write(timeout=short), TimeoutError)
        self.assertEqual(self.platform.table.row_count, 0)
        await self.set_faults(table="ok")
        while not self.platform.table.row_count:
            await self.get(f"{self.url}/counters")

    async def test_conditional_write_conflicts(self):
        self.assertEqual([await self.write(), await self.write()], [200, 409])

    async def test_object_is_not_replaced_with_if_none_match(self):
        url = f"http://{self.url}/v1/objects/checkpoint/job/0"
        headers = {"If-None-Match": "*"}
        for data, expected in ((b"one", 204), (b"two", 412)):
            async with self.session.put(url, data=data, headers=headers) as answer:
                self.assertEqual(answer.status, expected)
        async with self.session.get(url) as answer:
            self.assertEqual(await answer.read(), b"one")

    async def test_vm_list_is_delayed_by_its_lag(self):
        self.platform.vms.clock = clock = ManualClock()
        await self.post(f"{self.url}/v1/vms", {"name": "w-1"})
        await self.set_faults(list_lag_s=5.0)
        self.assertEqual((await self.get(f"{self.url}/v1/vms"))["vms"], [])
        clock.advance(5.0)
        self.assertEqual(
            (await self.get(f"{self.url}/v1/vms"))["vms"], [{"name": "w-1"}]
        )

    async def test_unchanged_vm_list_is_not_sent_again(self):
        url = f"http://{self.url}/v1/vms"
        async with self.session.get(url) as answer:
            headers = {"If-None-Match": answer.headers["ETag"]}
        rows = (("unchanged", None, 304), ("changed", {"name": "w-1"}, 200))
        for name, vm, expected in rows:
            with self.subTest(name):
                if vm is not None:
                    await self.post(url.removeprefix("http://"), vm)
                async with self.session.get(url, headers=headers) as answer:
                    self.assertEqual(answer.status, expected)

    async def test_unknown_faults_and_states_are_rejected(self):
        for faults in ({"tabel": "down"}, {"table": "dwon"}):
            status, _ = await self.post(f"{self.url}/faults", faults)
            self.assertEqual(status, 400)

    async def test_rewriting_a_row_cancels_its_expiry(self):
        clock = ManualClock()
        table = MemoryTable(clock)
        table.write(Change(writes={"a": 1, "b": 1}, ttl_s={"a": 10.0, "b": 10.0}))
        table.write(Change(writes={"a": 2}))
        clock.advance(11.0)
        self.assertEqual([row.key for row in table.read(prefixes=[""])], ["a"])
