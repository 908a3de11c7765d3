from __future__ import annotations

import unittest
from pathlib import Path

import aiohttp

from fulmarlever.tests.base import wait_until
from fulmarlever_standins.cluster import Cluster
from fulmarlever_standins.operator import Operator

SETTINGS = {
    "table_timeout_s": 0.7,
    "placer_lease_s": 1.5,
    "task_lease_s": 4,
    "worker_sync_s": 0.5,
}
CONFIGURATION = """
zones: [a]
teams: {packing: {}}
"""
JOBS = """
jobs:
  labels:
    team: packing
    kind: label
    tasks: 4
    size: {cores: 2, memory: 1GiB}
    run: 20s
    work: {seconds: 12}
"""


class ProcessesTests(unittest.IsolatedAsyncioTestCase):
    """Runs a zone of real processes, in which placer, a worker and the table fail."""

    async def asyncSetUp(self):
        self.cluster = Cluster.from_zones(["a"], workers=2, settings=SETTINGS)
        self.addAsyncCleanup(self.cluster.close)
        await self.cluster.start()
        self.operator = Operator(self.cluster)

    async def rows(self, prefix: str) -> dict[str, dict]:
        body = {"keys": [], "prefixes": [prefix]}
        url = f"http://{self.cluster.topology.platform}/v1/table/read"
        async with aiohttp.request("POST", url, json=body) as response:
            answer = await response.json()
        return {row["key"]: row["value"] for row in answer["rows"]}

    async def runs_of(self, worker: str) -> list[dict]:
        (vm,) = [vm for vm in self.cluster.topology.workers if vm.name == worker]
        return (await self.cluster.control.get(vm.control, "/record"))["runs"]

    async def tasks(self, state: str) -> list[dict]:
        rows = await self.rows("task/")
        return [row for row in rows.values() if row["state"] == state]

    async def run_command(self, name: str, text: str, *words: str) -> None:
        path = Path(self.cluster.directory / name)
        path.write_text(text)
        await self.operator.show(*words, str(path))

    async def are_all_running(self) -> bool:
        return len(await self.tasks("running")) == 4

    async def test_tasks_survive_failures_of_placer_worker_and_table(self):
        await self.run_command("site.yaml", CONFIGURATION, "apply")
        await self.run_command("jobs.yaml", JOBS, "submit")
        await wait_until(self.are_all_running)

        holder = (await self.rows("placer/"))["placer/a"]["holder"]
        await self.cluster.kill(holder)

        async def is_taken_over() -> bool:
            return (await self.rows("placer/"))["placer/a"]["epoch"] == 2

        await wait_until(is_taken_over)
        self.assertEqual({t["attempt"] for t in await self.tasks("running")}, {1})

        lost = (await self.tasks("running"))[0]["worker"]
        await self.cluster.kill(lost)

        async def are_all_elsewhere() -> bool:
            running = await self.tasks("running")
            return len(running) == 4 and all(t["worker"] != lost for t in running)

        await wait_until(are_all_elsewhere, timeout_s=20)

        await self.cluster.faults(table="down")
        (survivor,) = [
            vm.name for vm in self.cluster.topology.workers if vm.name != lost
        ]

        async def are_all_done() -> bool:
            runs = await self.runs_of(survivor)
            return sum(run["state"] == "done" for run in runs) == 4

        await wait_until(are_all_done, timeout_s=40)
        await self.cluster.faults(table="ok")

        async def is_recorded() -> bool:
            job = (await self.rows("job/"))["job/labels"]
            return job["state"] == "done"

        await wait_until(is_recorded, timeout_s=20)
        runs = await self.runs_of(survivor)
        done = [run["task"] for run in runs if run["state"] == "done"]
        self.assertEqual(sorted(done), [f"labels/{i}" for i in range(4)])
