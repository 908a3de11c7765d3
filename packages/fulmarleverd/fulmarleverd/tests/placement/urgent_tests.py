from __future__ import annotations

import unittest
from pathlib import Path

import aiohttp

from fulmarlever.tests.base import wait_until
from fulmarlever_standins.cluster import Cluster
from fulmarlever_standins.operator import Operator

URGENT_START_S = 5.9
CONFIGURATION = "{zones: [a], teams: {packing: {}}}"
FLOOD = """
jobs:
  flood: {team: packing, kind: label, tasks: 64, urgency: low,
    size: {cores: 4, memory: 1GiB}, run: 600s, work: {seconds: 600}}
"""
URGENT = """
jobs:
  urgent: {team: packing, kind: dryer, tasks: 2, urgency: critical,
    size: {cores: 8, memory: 1GiB}, run: 60s, work: {seconds: 60}}
"""


class UrgentTests(unittest.IsolatedAsyncioTestCase):
    async def count_running(self, owner: str) -> int:
        url = f"http://{self.cluster.topology.platform}/v1/table/read"
        body = {"keys": [], "prefixes": [f"task/a/{owner}/"]}
        async with aiohttp.request("POST", url, json=body) as response:
            rows = (await response.json())["rows"]
        return sum(row["value"]["state"] == "running" for row in rows)

    async def run_command(self, verb: str, text: str) -> None:
        path = Path(self.cluster.directory / "file.yaml")
        path.write_text(text)
        await Operator(self.cluster).show(verb, str(path))

    async def test_urgent_tasks_start_in_time_on_full_worker_processes(self):
        self.cluster = Cluster.from_zones(["a"], workers=2)
        self.addAsyncCleanup(self.cluster.close)
        await self.cluster.start()
        await self.run_command("apply", CONFIGURATION)
        await self.run_command("submit", FLOOD)

        async def is_full() -> bool:
            return await self.count_running("flood") == 16

        async def is_urgent_running() -> bool:
            return await self.count_running("urgent") == 2

        await wait_until(is_full, timeout_s=20)
        await self.run_command("submit", URGENT)
        await wait_until(is_urgent_running, timeout_s=URGENT_START_S)
