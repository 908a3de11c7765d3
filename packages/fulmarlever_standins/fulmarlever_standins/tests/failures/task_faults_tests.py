from __future__ import annotations

import asyncio
import unittest

from fulmarlever_standins.client import wait_for
from fulmarlever_standins.cluster import Cluster
from fulmarlever_standins.operator import Operator

LIMIT_S = 40.0
PLACER_LEASE_S = 3.0
TASK_LEASE_S = 5.0
TASKS = 6
CONFIG = f"""\
zones: [a]
teams: {{packing: {{}}}}
jobs:
  label-run:
    team: packing
    tasks: {TASKS}
    size: {{cores: 10, memory: 2GiB}}
    run: 3s
    work: {{seconds: 3}}
"""


class BatchFailureTests(unittest.IsolatedAsyncioTestCase):
    """Each test injects one fault while six tasks keep two workers full."""

    settings = {
        "placer_lease_s": PLACER_LEASE_S,
        "task_lease_s": TASK_LEASE_S,
        "worker_sync_s": 0.5,
        "table_timeout_s": 1.0,
    }

    async def asyncSetUp(self):
        self.cluster = Cluster.from_zones(("a",), 2, 2, self.settings)
        self.addAsyncCleanup(self.cluster.close)
        await self.cluster.start()
        self.operator = Operator(self.cluster)
        path = self.cluster.directory / "config.yaml"
        path.write_text(CONFIG)
        await self.operator.check_output("apply", str(path))
        await wait_for(self.is_running, "running tasks", LIMIT_S)

    async def runs(self) -> list[dict]:
        records = await self.cluster.worker_records()
        return [
            {"worker": name, **run}
            for name, record in records.items()
            for run in record["runs"]
        ]

    async def is_running(self) -> bool:
        return len(await self.runs()) >= 3

    async def find_placer(self) -> str:
        listing = await self.operator.read_json("status")
        return next(d["vm"] for d in listing["daemons"] if d["is_placer"])

    async def is_done(self) -> bool:
        result = await self.operator.run("jobs", "--output", "json")
        return result.code == 0 and '"state": "done"' in result.output

    async def check(self, frozen: str = "") -> list[dict]:
        """Wait for the end of the job and return all runs after these checks.

        Each task has exactly one completed run, its attempts differ, and its runs on
        workers other than the suspended one do not overlap.
        """
        await wait_for(self.is_done, "the end of the job", LIMIT_S)
        runs = await self.runs()
        log = self.cluster.log_tails()
        for index in range(TASKS):
            own = [run for run in runs if run["task"] == f"label-run/{index}"]
            attempts = [run["attempt"] for run in own]
            self.assertEqual(len(attempts), len(set(attempts)), (own, log))
            done = [run for run in own if run["state"] == "done"]
            self.assertEqual(len(done), 1, (own, log))
            self.check_no_overlap([run for run in own if run["worker"] != frozen])
        records = await self.cluster.worker_records()
        self.assertEqual(sum(r["overruns"] for r in records.values()), 0, log)
        return runs

    def check_no_overlap(self, runs: list[dict]) -> None:
        ordered = sorted(runs, key=lambda run: run["start"])
        for earlier, later in zip(ordered, ordered[1:], strict=False):
            self.assertLessEqual(earlier["end"], later["start"])

    async def test_job_completes_after_the_placer_is_killed(self):
        await self.cluster.kill(await self.find_placer())
        runs = await self.check()
        self.assertEqual(len(runs), TASKS)

    async def test_job_completes_after_the_placer_is_suspended(self):
        name = await self.find_placer()
        self.cluster.freeze(name)
        await asyncio.sleep(2 * PLACER_LEASE_S)
        self.cluster.thaw(name)
        await self.check()

    async def test_job_completes_after_an_outage_longer_than_the_placers_lease(self):
        await self.cluster.set_platform_faults(table="down", objects="down")
        await asyncio.sleep(2 * PLACER_LEASE_S)
        await self.cluster.set_platform_faults(table="ok", objects="ok")
        await self.check()

    async def test_job_completes_while_answers_to_writes_are_lost(self):
        await self.cluster.set_platform_faults(lose_answers=0.3)
        runs = await self.check()
        self.assertGreaterEqual(len(runs), TASKS)

    async def test_job_completes_after_a_worker_is_suspended(self):
        worker = (await self.runs())[0]["worker"]
        self.cluster.freeze(worker)
        await asyncio.sleep(3 * TASK_LEASE_S)
        self.cluster.thaw(worker)
        await self.check(frozen=worker)

    async def test_job_completes_after_a_suspension_shorter_than_the_leases(self):
        worker = (await self.runs())[0]["worker"]
        self.cluster.freeze(worker)
        await asyncio.sleep(0.75 * TASK_LEASE_S)
        self.cluster.thaw(worker)
        await self.check()

    async def test_job_completes_after_a_worker_is_killed(self):
        worker = (await self.runs())[0]["worker"]
        await self.cluster.kill(worker)
        await wait_for(self.is_done, "the end of the job", LIMIT_S)
        done = [run["task"] for run in await self.runs() if run["state"] == "done"]
        self.assertEqual(len(done), len(set(done)))
