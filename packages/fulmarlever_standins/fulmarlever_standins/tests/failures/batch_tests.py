from __future__ import annotations

from collections import defaultdict

import yaml

from fulmarlever_standins.client import wait_for
from fulmarlever_standins.tests.failures.base import FailureTestCase

JOB_LIMIT_S = 60.0
JOBS = {
    "jobs": {
        "label-run": {
            "team": "orders",
            "tasks": 6,
            "size": {"cores": 12, "memory": "1GiB"},
            "run": "6s",
            "work": {"seconds": 6},
        }
    }
}


class BatchTests(FailureTestCase):
    zones = ("a",)
    workers = 3
    instances = 1
    settings = {"task_lease_s": 4.0, "placer_lease_s": 4.0}

    async def test_each_task_completes_once_despite_frozen_worker_and_killed_placer(
        self,
    ):
        path = self.cluster.directory / "jobs.yaml"
        path.write_text(yaml.safe_dump(JOBS))
        await self.operator.check_output("submit", str(path))
        await wait_for(self.count_running, "running tasks", 10.0)
        worker = await self.find_busiest_worker()
        self.cluster.freeze(worker)
        await self.cluster.kill(await self.find_placer())
        await wait_for(lambda: self.is_done(worker), "the end of the job", JOB_LIMIT_S)
        self.cluster.thaw(worker)
        await wait_for(
            lambda: self.has_stopped(worker),
            "the end of the runs with expired leases",
            10.0,
        )
        self.check_runs(await self.cluster.worker_records())

    async def find_placer(self) -> str:
        daemons = (await self.operator.read_json("status"))["daemons"]
        return next(daemon["vm"] for daemon in daemons if daemon["is_placer"])

    async def batch_runs(self, *excluded: str) -> list[tuple[str, dict]]:
        records = {
            vm.name: await self.cluster.control.get(vm.control_address, "/record")
            for vm in self.cluster.topology.workers
            if vm.name not in excluded
        }
        return list(batch_runs_of(records))

    async def count_running(self) -> bool:
        runs = await self.batch_runs()
        return sum(run["state"] == "running" for _, run in runs) >= 4

    async def find_busiest_worker(self) -> str:
        workers = [worker for worker, _ in await self.batch_runs()]
        return max(workers, key=workers.count)

    async def is_done(self, frozen: str) -> bool:
        done = {run["task"] for _, run in await self.batch_runs(frozen)}
        jobs = (await self.operator.read_json("jobs"))["jobs"]
        return bool(done) and [job["state"] for job in jobs] == ["done"]

    async def has_stopped(self, worker: str) -> bool:
        runs = await self.batch_runs()
        return all(run["state"] != "running" for w, run in runs if w == worker)

    def check_runs(self, records):
        states, attempts = defaultdict(list), defaultdict(list)
        for _, run in batch_runs_of(records):
            states[run["task"]].append(run["state"])
            attempts[run["task"]].append(run["attempt"])
        self.assertEqual(len(states), JOBS["jobs"]["label-run"]["tasks"])
        for task, found in states.items():
            self.assertEqual(found.count("done"), 1, (task, found))
            numbers = attempts[task]
            self.assertEqual(len(set(numbers)), len(numbers), (task, numbers))
        self.assertTrue(any("stopped" in found for found in states.values()))
        for record in records.values():
            self.assertEqual(record["overruns"], 0)


def batch_runs_of(records):
    for worker, record in records.items():
        for run in record["runs"]:
            if run["task"] not in record["services"]:
                yield worker, run
