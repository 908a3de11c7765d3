from __future__ import annotations

import asyncio

from fulmarlever.tests.base import wait_until
from fulmarleverd.tests.requests.path_base import PathTestCase


class PathTests(PathTestCase):
    async def test_answer_of_the_backend_server_is_returned(self):
        (server,) = await self.serve()
        kernel = await self.daemon()
        await self.wait_for_slots(kernel)
        headers = {"X-Request-Id": "r1", "X-Answer-Bytes": "3"}
        status, got, body = await self.ask(
            kernel, "/filling/a?b=c", "POST", data=b"hello", headers=headers
        )
        self.assertEqual((status, body), (200, b"r1:hello..."))
        self.assertNotIn("X-Backend-State", got)
        self.assertEqual(got["Server"], "fulmarlever")

    async def test_daemons_use_all_slots_and_no_more(self):
        (server,) = await self.serve()
        kernels = [await self.daemon(f"entry-a-{i}") for i in range(1, 4)]
        pools = [kernel.find("slots").pool for kernel in kernels]
        await wait_until(
            lambda: sorted(pool.capacity("filling") for pool in pools) == [2, 3, 3]
        )
        headers = {"X-Work-Ms": "20"}
        asks = [self.ask(kernels[i % 3], headers=headers) for i in range(60)]
        results = await asyncio.gather(*asks)
        self.assertEqual({status for status, _, _ in results}, {200})
        self.assertEqual(server.overruns, 0)
        self.assertEqual(server.max_in_progress, 8)
        self.assertLessEqual(server.max_connections, 8)

    async def test_request_without_a_local_slot_is_forwarded(self):
        (server,) = await self.serve(slots=1)
        kernels = [await self.daemon(f"entry-a-{i}") for i in range(1, 3)]
        pools = [kernel.find("slots").pool for kernel in kernels]
        await wait_until(
            lambda: sorted(pool.capacity("filling") for pool in pools) == [0, 1]
        )
        await wait_until(
            lambda: any(
                k.find("membership").view("load").get(vm, {}).get("filling")
                for k, vm in zip(kernels, ("entry-a-2", "entry-a-1"), strict=True)
            )
        )
        for kernel in kernels:
            status, _, body = await self.ask(kernel, headers={"X-Request-Id": "q"})
            self.assertEqual((status, body), (200, b"q:"))

    async def test_stop_finishes_requests_and_releases_all_slots(self):
        (server,) = await self.serve()
        kernel = await self.daemon()
        await self.wait_for_slots(kernel)
        asking = asyncio.ensure_future(self.ask(kernel, headers={"X-Work-Ms": "300"}))
        await wait_until(lambda: server.in_progress)
        await kernel.stop()
        status, _, _ = await asking
        self.assertEqual(status, 200)
        self.assertEqual(self.table.read(["slots/a"])[0].value["shares"], {})

    async def test_request_that_would_start_too_late_is_refused_and_does_not_run(self):
        (server,) = await self.serve()
        kernel = await self.daemon()
        await self.wait_for_slots(kernel)
        work = {"X-Work-Ms": "200"}
        for _ in range(10):
            await self.ask(kernel, headers=work)
        headers = work | {"X-Deadline-Ms": "700"}
        asks = [
            self.ask(kernel, headers=headers | {"X-Request-Id": f"r{n}"})
            for n in range(40)
        ]
        results = await asyncio.gather(*asks)
        statuses = [status for status, _, _ in results]
        self.assertLessEqual(set(statuses), {200, 503, 504}, statuses)
        self.assertGreaterEqual(statuses.count(200), 16)
        for n, status in enumerate(statuses):
            self.assertEqual(server.runs[f"r{n}"], status == 200)

    async def test_stop_ends_at_the_drain_limit_when_requests_and_table_hang(self):
        (server,) = await self.serve()
        limit_s = 2.0
        kernel = await self.daemon(drain_limit_s=limit_s)
        await self.wait_for_slots(kernel)
        headers = {"X-Work-Ms": "20000"}
        asking = asyncio.ensure_future(self.ask(kernel, headers=headers))
        await wait_until(lambda: server.in_progress)
        kernel.find("platform").is_table_up = False
        loop = asyncio.get_running_loop()
        begun_at = loop.time()
        await kernel.stop()
        # The services share one limit; each alone would double it.
        self.assertLess(loop.time() - begun_at, 2 * limit_s)
        await asyncio.gather(asking, return_exceptions=True)
