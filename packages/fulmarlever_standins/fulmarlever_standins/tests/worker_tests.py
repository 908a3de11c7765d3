from __future__ import annotations

import asyncio

from aiohttp import ClientError

from fulmarlever.structure.size import Size
from fulmarlever.tests.base import wait_until
from fulmarlever_standins.checkpoints import CheckpointStore
from fulmarlever_standins.platform import Platform
from fulmarlever_standins.tests.base import ADDRESS, ServerTestCase
from fulmarlever_standins.worker import Worker
from fulmarlever_standins.worker_api import WorkerApi

LONG_WORK = {"seconds": 60.0}
SHORT_WORK = {"seconds": 0.1}
SERVICE = {"name": "filling", "slots": 8, "connections": 64}


class WorkerTestCase(ServerTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.platform = Platform()
        platform = await self.serve(self.platform.build_app())
        store = CheckpointStore(self.session, platform, "a")
        self.worker = Worker("w-1", ADDRESS, Size(8.0, 1000.0), store)
        self.url = await self.serve(WorkerApi(self.worker).build_app())
        watcher = asyncio.create_task(self.worker.watch())
        self.addAsyncCleanup(self.worker.close, 0.0)
        self.addCleanup(watcher.cancel)

    async def call(self, name: str, **fields) -> tuple[int, dict]:
        order = {"task": "labels/0", "attempt": 1, "epoch": 1, "zone": "a"}
        return await self.post(f"{self.url}/v1/{name}", order | fields)

    async def start(self, **fields) -> tuple[int, dict]:
        defaults = {"lease_s": 30.0, "size": {"cores": 4.0}, "work": LONG_WORK}
        return await self.call("start", **(defaults | fields))

    async def states(self) -> dict[str, str]:
        _, data = await self.call("sync")
        return {task["task"]: task["state"] for task in data["tasks"]}

    async def has_state(self, state: str) -> bool:
        return (await self.states()).get("labels/0") == state


class WorkerTests(WorkerTestCase):
    async def test_status_of_each_order_after_a_start(self):
        rows = (
            ("the same start", "start", {}, 200),
            ("an older attempt", "start", {"attempt": 0}, 409),
            ("an older epoch", "start", {"attempt": 2, "epoch": 0}, 409),
            ("a late order", "start", {"task": "labels/1", "not_after_s": 1.0}, 409),
            ("a later attempt", "start", {"attempt": 2, "epoch": 2}, 200),
            ("another task that fits", "start", {"task": "labels/1", "epoch": 2}, 200),
            (
                "a task that does not fit",
                "start",
                {"task": "labels/2", "epoch": 2},
                507,
            ),
            ("a stop of an older attempt", "stop", {"epoch": 2}, 409),
            ("a stop of an older epoch", "stop", {"attempt": 2}, 409),
            ("a sync of an older epoch", "sync", {}, 409),
        )
        await self.start()
        for name, call, fields, expected in rows:
            with self.subTest(name):
                send = self.start if call == "start" else self.call
                positional = (call,) if call != "start" else ()
                status, _ = await send(*positional, **fields)
                self.assertEqual(status, expected)
        runs = [run.to_record() for run in self.worker.history]
        self.assertEqual([run["attempt"] for run in runs], [1, 2, 1])
        self.assertEqual(runs[0]["state"], "stopped")
        self.assertEqual(self.worker.max_reserved.cores, 8.0)

    async def test_stop_of_an_unknown_task_fences_its_attempt(self):
        status, data = await self.call("stop")
        self.assertEqual((status, data["state"]), (200, "stopped"))
        self.assertEqual((await self.start())[0], 409)
        self.assertEqual((await self.start(attempt=2))[0], 200)

    async def test_worker_stops_a_task_whose_lease_expires(self):
        await self.start(lease_s=0.2)
        await wait_until(lambda: self.has_state("stopped"))
        self.assertEqual(self.worker.runs["labels/0"].reason, "the lease is over")

    async def test_renewal_extends_a_lease_unless_it_is_late(self):
        renew = [{"task": "labels/0", "attempt": 1, "lease_s": 60.0}]
        rows = ((1, None, "running"), (2, 1.0, "stopped"))
        for attempt, not_after_s, expected in rows:
            with self.subTest(expected):
                renew[0]["attempt"] = attempt
                await self.start(attempt=attempt, lease_s=0.2)
                await self.call("sync", renew=renew, not_after_s=not_after_s)
                await asyncio.sleep(0.4)
                self.assertTrue(await self.has_state(expected))

    async def test_finished_task_is_reported_until_acknowledged(self):
        await self.start(work=SHORT_WORK)
        await wait_until(lambda: self.has_state("done"))
        acknowledge = [{"task": "labels/0", "attempt": 1}]
        await self.call("sync", acknowledge=acknowledge)
        self.assertEqual(await self.states(), {})
        self.assertEqual((await self.start())[0], 409)

    async def test_stopped_task_resumes_from_its_checkpoint(self):
        await self.start(work={"seconds": 1.0})
        run = self.worker.runs["labels/0"]
        await wait_until(lambda: run.progress > 0.1)
        _, stopped = await self.call("stop", checkpoint=True)
        self.assertEqual(stopped["state"], "stopped")
        _, started = await self.start(attempt=2, checkpoint=stopped["checkpoint"])
        self.assertEqual(started["state"], "running")
        resumed = self.worker.runs["labels/0"]
        self.assertGreaterEqual(resumed.progress, stopped["progress"])

    async def test_task_keeps_running_when_its_checkpoint_cannot_be_written(self):
        await self.start()
        await self.post(f"{self.platform_url()}/faults", {"objects": "down"})
        self.assertEqual((await self.call("stop", checkpoint=True))[0], 503)
        self.assertTrue(await self.has_state("running"))

    async def test_faults_make_starts_and_tasks_fail(self):
        await self.post(f"{self.url}/faults", {"fail_starts": True})
        self.assertEqual((await self.start())[0], 500)
        faults = {"fail_starts": False, "fail_tasks": True}
        await self.post(f"{self.url}/faults", faults)
        await self.start(work=SHORT_WORK)
        await wait_until(lambda: self.has_state("failed"))

    def platform_url(self) -> str:
        return self.worker.checkpoints.url.removeprefix("http://").split("/")[0]


class BackendServerTests(WorkerTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        _, data = await self.start(service=SERVICE)
        self.server = f"{data['address']}:{data['port']}"

    async def send(self, work_ms: int = 0, **headers) -> int:
        headers = {"X-Request-Id": "r-1", "X-Work-Ms": str(work_ms)} | headers
        async with self.session.post(
            f"http://{self.server}/orders", data=b"body", headers=headers
        ) as answer:
            await answer.read()
            return answer.status

    async def record(self) -> dict:
        return await self.get(f"{self.url}/record/labels/0")

    async def test_ninth_request_is_refused_and_counted(self):
        sends = [self.send(work_ms=300) for _ in range(9)]
        statuses = await asyncio.gather(*sends)
        self.assertEqual(sorted(statuses), [200] * 8 + [503])
        record = await self.record()
        self.assertEqual((record["overruns"], record["max_in_progress"]), (1, 8))
        self.assertEqual(record["runs"], {"r-1": 8})

    async def test_connection_over_the_limit_is_refused_and_counted(self):
        address, port = self.server.split(":")
        for _ in range(64):
            _, writer = await asyncio.open_connection(address, int(port))
            self.addCleanup(writer.close)
        self.assertEqual(await self.send(), 503)
        record = await self.record()
        self.assertEqual((record["overruns"], record["max_connections"]), (2, 65))

    async def test_backend_faults_requested_by_header(self):
        for fault in ("close", "truncate"):
            with self.subTest(fault), self.assertRaises(ClientError):
                await self.send(**{"X-Fault": fault})
        self.assertEqual(await self.send(**{"X-Fault": "error"}), 500)

    async def test_planned_stop_finishes_requests_and_announces_leaving(self):
        slow = asyncio.create_task(self.send(work_ms=500))
        await wait_until(lambda: self.worker.runs["labels/0"].in_progress)
        stop = asyncio.create_task(self.call("stop", drain_s=1.0))
        backend = self.worker.runs["labels/0"].backend
        await wait_until(lambda: backend.leaving_since is not None)
        async with self.session.get(f"http://{self.server}/") as answer:
            self.assertEqual(answer.headers["X-Backend-State"], "leaving")
        self.assertEqual(await slow, 200)
        self.assertEqual((await stop)[0], 200)
        with self.assertRaises(ClientError):
            await self.send()
