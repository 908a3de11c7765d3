"""Text and values of one writer that nobody can use do not disturb the others."""

from __future__ import annotations

import asyncio

from fulmarlever_standins.authority.simulated_cluster import SimulatedCluster, job
from fulmarlever_standins.authority.worker import WorkerCore
from fulmarlever_standins.tests.authority.base import SimulatedClusterTestCase
from fulmarleverd.scheduling.specs import StepSpec

# Half of a surrogate pair, which no encoding can express.
HALF = "\udc9a"
LINES = "w9:1\r\nX-Other: 1"
WORKERS = 4
TASK = StepSpec(count=8, cpu_m=1000, estimate_s=0.5)


class OwnerKeepsItsTermTests(SimulatedClusterTestCase):
    async def check_service(
        self, cluster: SimulatedCluster, disturb: object, name: str
    ) -> None:
        """Disturb the cluster; the owner has to go on and to complete new jobs."""
        owner = await cluster.wait_for_owner()
        term = owner.term
        disturb()
        await asyncio.sleep(2.0)
        self.assertIsNone(await owner.submit(job("j", TASK)))
        await cluster.wait_for_state(owner, "j", "completed", 5.0)
        await asyncio.sleep(5.0)
        self.assertIs(cluster.owner(), owner, name)
        self.assertIs(owner.term, term, name)

    # Regression (LOST): an entry with text that cannot be encoded ended the term of
    # each owner in turn, so that no task of any job started.
    def test_entries_with_unreadable_text(self):
        rows = (
            ("address", "other", {"address": f"{HALF}:8161"}),
            ("address of several lines", "other", {"address": f"{LINES}:81"}),
            ("address with spaces", "other", {"address": "w 9:81"}),
            ("address beyond ASCII", "other", {"address": "wörker:81"}),
            ("id", HALF, {}),
            ("id of several lines", LINES, {}),
            ("zone", "other", {"zone": HALF}),
            ("service", "other", {"service": HALF}),
            ("label", "other", {"labels": [HALF, "r1-1"]}),
            ("machine", "other", {"machine": HALF}),
            ("under a live worker's id", "w0", {"address": f"{HALF}:8161"}),
            ("zone of a live worker", "w0", {"zone": HALF}),
        )
        for name, key, fields in self.each(rows):

            async def scenario(cluster, name=name, key=key, fields=fields):
                cluster.add_daemons("vm-1", "vm-2")
                workers = cluster.add_workers(WORKERS)
                entry = {**workers[0].entry(), **fields}
                store = cluster.network.store

                def disturb() -> None:
                    store.put_json("servers", key, entry)

                await self.check_service(cluster, disturb, name)

            self.run_scenario(scenario)

    # Guards against a worker whose answers end the owner's term, or leave a run on its
    # way for good.
    def test_workers_with_malformed_answers(self):
        sound = {"clockMs": 5000, "born": 1, "running": [], "finished": []}
        rows = (
            ("no report", 200, ["x"]),
            ("task of another type", 200, {**sound, "running": [[["t"], 1, "", 0]]}),
            ("unreadable task", 200, {**sound, "running": [[HALF, 1, "", 0]]}),
            ("unreadable checkpoint", 200, {**sound, "running": [["t", 1, HALF, 0]]}),
            ("unreadable end", 200, {**sound, "finished": [[1, HALF, 1, "done", ""]]}),
            ("end of another type", 200, {**sound, "finished": [[1, {}, 1, [], {}]]}),
            ("figures that are none", 200, {**sound, "running": [["t", 1, "", "x"]]}),
            ("clock", 200, {**sound, "clockMs": 10**400}),
            ("reason of another type", 409, {"reason": ["fence"], "clockMs": "x"}),
            ("reason unreadable", 409, {"reason": HALF}),
            ("text", 500, HALF),
        )
        for name, status, body in self.each(rows):

            async def scenario(cluster, name=name, status=status, body=body):
                cluster.add_daemons("vm-1", "vm-2")
                workers = cluster.add_workers(WORKERS)

                async def answer(*args: object) -> tuple:
                    return status, body

                def disturb() -> None:
                    workers[0].handle = answer

                await self.check_service(cluster, disturb, name)

            self.run_scenario(scenario)

    def test_starts_with_malformed_answers_are_not_left_on_their_way(self):
        rows = (
            ("reason of another type", 409, {"reason": {}}),
            ("unknown status", 500, {"reason": HALF}),
            ("unknown reason", 409, {"reason": "odd"}),
        )
        for name, status, body in self.each(rows):

            async def scenario(cluster, status=status, body=body):
                cluster.add_daemons("vm-1")
                for worker in cluster.add_workers(WORKERS)[1:]:
                    self.refuse_starts(worker, status, body)
                owner = await cluster.wait_for_owner()
                await owner.submit(job("j", TASK))
                await cluster.wait_for_state(owner, "j", "completed", 10.0)

            cluster = self.run_scenario(scenario)
            self.assertEqual(len(cluster.record.starts), TASK.count, name)

    def refuse_starts(self, worker: WorkerCore, status: int, body: object) -> None:
        """Let a worker answer each start with a status and a body."""
        handle = worker.handle

        async def answer(path: str, request: dict, target: str) -> tuple:
            if path == "/run-start":
                return status, body
            return await handle(path, request, target)

        worker.handle = answer

    # Guards against a fault in what is done for one worker that ends the whole term.
    def test_an_unexpected_error_concerns_one_worker(self):
        for path in self.each(("/hold", "/run-start", "/run-stop")):

            async def scenario(cluster, path=path):
                cluster.add_daemons("vm-1", "vm-2")
                workers = cluster.add_workers(WORKERS)
                handle = workers[0].handle

                async def fail(called: str, body: dict, target: str) -> tuple:
                    if called == path:
                        raise RuntimeError("a fault in the product")
                    return await handle(called, body, target)

                def disturb() -> None:
                    workers[0].handle = fail

                await self.check_service(cluster, disturb, path)

            self.run_scenario(scenario)

    # Guards against a report that cannot be processed and ends the term.
    def test_an_unexpected_error_in_a_report_concerns_its_worker(self):
        async def scenario(cluster):
            cluster.add_daemons("vm-1", "vm-2")
            cluster.add_workers(WORKERS)
            owner = await cluster.wait_for_owner()
            reports = owner.term._reports
            process = reports.process

            def fail(worker: object, *args: object) -> None:
                if worker.id == "w0":
                    raise RuntimeError("a fault in the product")
                process(worker, *args)

            def disturb() -> None:
                reports.process = fail

            await self.check_service(cluster, disturb, "report")

        self.run_scenario(scenario)
