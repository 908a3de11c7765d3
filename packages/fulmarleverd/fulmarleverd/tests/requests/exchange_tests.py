from __future__ import annotations

import asyncio
import json
from dataclasses import replace

from fulmarlever.tests.base import wait_until
from fulmarleverd.tests.requests.fakes import spec
from fulmarleverd.tests.requests.path_base import PathTestCase

SMALL_ANSWERS = replace(spec(retry_budget=0.0), max_answer_bytes=1000, max_run_s=1.0)


class ExchangeTests(PathTestCase):
    specs = (SMALL_ANSWERS,)

    async def asyncSetUp(self):
        await super().asyncSetUp()
        (self.server,) = await self.serve()
        self.kernel = await self.daemon()
        await self.wait_for_slots(self.kernel)
        self.pool = self.kernel.find("slots").pool

    def problem(self, result):
        status, headers, body = result
        self.assertEqual(headers["Content-Type"], "application/problem+json")
        return status, json.loads(body)["outcome"]

    async def test_incomplete_answer_is_an_unknown_outcome(self):
        for fault in ("close", "truncate", "without-length", "garbage"):
            headers = {"X-Fault": fault, "X-Request-Id": fault}
            with self.subTest(fault):
                result = await self.ask(self.kernel, method="POST", headers=headers)
                self.assertEqual(self.problem(result), (502, "unknown"))
                self.assertEqual(self.server.runs[fault], 1)

    async def test_oversized_answer_is_an_unknown_outcome(self):
        for size in (1000, 5_000_000):
            headers = {"X-Answer-Bytes": str(size)}
            with self.subTest(size):
                result = await self.ask(self.kernel, method="POST", headers=headers)
                self.assertEqual(self.problem(result), (502, "unknown"))

    async def test_slot_of_a_lost_answer_stays_in_use_until_the_run_limit(self):
        await self.ask(self.kernel, method="POST", headers={"X-Fault": "truncate"})
        self.assertEqual(self.pool.free_slots("filling"), 7)
        await wait_until(lambda: self.pool.free_slots("filling") == 8)

    async def test_late_answer_frees_its_slot_and_is_dropped(self):
        headers = {"X-Deadline-Ms": "50", "X-Work-Ms": "300", "X-Request-Id": "late"}
        result = await self.ask(self.kernel, method="POST", headers=headers)
        self.assertEqual(self.problem(result), (502, "unknown"))
        self.assertEqual(self.pool.free_slots("filling"), 7)
        await wait_until(lambda: self.pool.free_slots("filling") == 8)
        self.assertEqual(self.pool.abandoned, 0)
        _, _, body = await self.ask(self.kernel, headers={"X-Request-Id": "next"})
        self.assertEqual(body, b"next:")

    async def test_stale_bytes_on_an_idle_connection_are_dropped(self):
        for number in range(16):
            headers = {"X-Request-Id": f"a{number}", "X-Fault": "twice"}
            _, _, body = await self.ask(self.kernel, headers=headers)
            self.assertEqual(body, f"a{number}:".encode())
            await asyncio.sleep(0.03)

    async def test_answers_out_of_order_reach_their_own_callers(self):
        concurrent = asyncio.Semaphore(50)

        async def ask(number):
            work_ms = str(number * 37 % 50)
            headers = {"X-Request-Id": f"r{number}", "X-Work-Ms": work_ms}
            async with concurrent:
                _, _, body = await self.ask(
                    self.kernel, method="POST", headers=headers, data=f"body {number}"
                )
            self.assertEqual(body, f"r{number}:body {number}".encode())

        await asyncio.gather(*(ask(number) for number in range(200)))
        self.assertEqual(self.server.overruns, 0)
        self.assertLessEqual(self.server.max_connections, 8)

    async def test_disconnected_caller_does_not_free_the_slot_early(self):
        asking = asyncio.ensure_future(
            self.ask(self.kernel, method="POST", headers={"X-Work-Ms": "200"})
        )
        await wait_until(lambda: self.server.in_progress)
        asking.cancel()
        await asyncio.gather(asking, return_exceptions=True)
        self.assertEqual(self.pool.free_slots("filling"), 7)
        await wait_until(lambda: self.pool.free_slots("filling") == 8)
        self.assertEqual(self.server.in_progress, 0)

    async def test_leaving_server_gets_no_new_request(self):
        self.server.state = "leaving"
        status, _, _ = await self.ask(self.kernel)
        self.assertEqual(status, 200)
        result = await self.ask(self.kernel, headers={"X-Deadline-Ms": "200"})
        self.assertEqual(self.problem(result)[1], "not-run")
        self.assertEqual(sum(self.server.runs.values()), 1)

    async def test_refused_connection_is_not_run(self):
        await self.server.stop()
        result = await self.ask(self.kernel, method="POST")
        self.assertEqual(self.problem(result), (503, "not-run"))
        self.assertIn("Retry-After", result[1])
        self.assertEqual(self.pool.abandoned, 0)


class RetryTests(PathTestCase):
    specs = (spec(retry_budget=0.1),)

    async def test_only_idempotent_requests_are_sent_again(self):
        (server,) = await self.serve()
        kernel = await self.daemon()
        await self.wait_for_slots(kernel)
        for method, runs in (("POST", 1), ("PATCH", 1), ("GET", 2)):
            headers = {"X-Fault": "close", "X-Request-Id": method}
            with self.subTest(method):
                status, _, _ = await self.ask(kernel, method=method, headers=headers)
                self.assertEqual((status, server.runs[method]), (502, runs))

    async def test_retries_stay_a_fraction_of_the_requests(self):
        (server,) = await self.serve(slots=200)
        kernel = await self.daemon()
        await self.wait_for_slots(kernel)
        headers = {"X-Fault": "close"}
        for _ in range(60):
            await self.ask(kernel, headers=headers)
        self.assertLessEqual(sum(server.runs.values()), 60 * 1.1 + 1)
        self.assertGreater(sum(server.runs.values()), 60)
