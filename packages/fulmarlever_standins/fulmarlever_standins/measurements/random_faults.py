"""Random faults, drawn from a seed, on a cluster of real processes under load.

``python -m fulmarlever_standins.measurements.random_faults --seed 1 --seconds 60``
prints each fault when it starts, waits until the batch job is done and exits with
status 1 if an invariant was violated. Each fault is undone before the next one starts.
The seed determines the order of the faults; their effect depends on the machine.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import sys
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator

from fulmarlever.registry import Registry
from fulmarlever_standins.balancer import Balancer
from fulmarlever_standins.caller import Caller, CallerResult
from fulmarlever_standins.client import wait_for
from fulmarlever_standins.cluster import Cluster
from fulmarlever_standins.invariants import find_violations
from fulmarlever_standins.load import Load, LoadSpec
from fulmarlever_standins.operator import Operator

ZONES = ("a", "b")
SERVICE = "filling"
JOB = "label-run"
TASKS = 30
RATE_PER_S = 80.0
RECOVERY_TIMEOUT_S = 90.0
WORKERS = 3
SETTINGS = {"placer_lease_s": 4.0, "task_lease_s": 8.0, "drain_limit_s": 15.0}
CONFIG = f"""\
zones: [{", ".join(ZONES)}]
teams: {{orders: {{}}, packing: {{}}}}
services:
  {SERVICE}:
    team: orders
    urgency: critical
    target: 250ms
    instances: 4
    size: {{cores: 4, memory: 8GiB}}
    requests:
      - {{method: POST, path: /orders, idempotent: false}}
    max_run: 2s
    guaranteed_share: 60%
jobs:
  {JOB}:
    team: packing
    tasks: {TASKS}
    size: {{cores: 12, memory: 4GiB}}
    run: 5s
    work: {{seconds: 5}}
"""

Fault = Callable[[Cluster, random.Random], Awaitable[None]]
FAULTS: Registry[Fault] = Registry("fault")


@FAULTS.register("kill a daemon and start it again")
async def kill_daemon(cluster: Cluster, rng: random.Random) -> None:
    """Kill a daemon and start it again after up to 8 s."""
    name = rng.choice(cluster.topology.entries).name
    await cluster.kill(name)
    await asyncio.sleep(rng.uniform(0.0, 8.0))
    await cluster.start_daemon(name)


@FAULTS.register("stop a daemon and start it again")
async def stop_daemon(cluster: Cluster, rng: random.Random) -> None:
    """Stop a daemon gracefully and start it again."""
    name = rng.choice(cluster.topology.entries).name
    await cluster.stop(name)
    await cluster.start_daemon(name)


@FAULTS.register("freeze a daemon")
async def freeze_daemon(cluster: Cluster, rng: random.Random) -> None:
    """Freeze a daemon for up to 12 s."""
    await _freeze_for_a_while(cluster, rng.choice(cluster.topology.entries).name, rng)


@FAULTS.register("freeze a worker")
async def freeze_worker(cluster: Cluster, rng: random.Random) -> None:
    """Freeze a worker for up to 12 s."""
    await _freeze_for_a_while(cluster, rng.choice(cluster.topology.workers).name, rng)


@FAULTS.register("break the table")
async def break_table(cluster: Cluster, rng: random.Random) -> None:
    """Make the table unavailable or slow, or lose its answers, for up to 8 s."""
    changes = rng.choice(
        (
            {"table": "down"},
            {"table": "slow", "slow_s": 0.7},
            {"lose_answers": 0.4},
        )
    )
    await cluster.set_platform_faults(**changes)
    await asyncio.sleep(rng.uniform(1.0, 8.0))
    await cluster.set_platform_faults(table="ok", lose_answers=0.0)


@FAULTS.register("cut the zones from each other")
async def cut_zones(cluster: Cluster, rng: random.Random) -> None:
    """Cut the two zones from each other for up to 10 s."""
    await cluster.cut(*ZONES)
    await asyncio.sleep(rng.uniform(1.0, 10.0))
    await cluster.heal(*ZONES)


@FAULTS.register("cut a zone from the platform")
async def cut_platform(cluster: Cluster, rng: random.Random) -> None:
    """Cut a zone from the platform for up to 10 s."""
    await cluster.set_platform_faults(cut=[rng.choice(ZONES)])
    await asyncio.sleep(rng.uniform(1.0, 10.0))
    await cluster.set_platform_faults(cut=[])


async def _freeze_for_a_while(cluster: Cluster, name: str, rng: random.Random) -> None:
    cluster.freeze(name)
    await asyncio.sleep(rng.uniform(0.5, 12.0))
    cluster.thaw(name)


class FaultRun:
    """A run of random faults on a cluster, one after the other, under load.

    ``seed`` determines the faults and the requests.
    """

    def __init__(self, cluster: Cluster, seed: int) -> None:
        self.cluster = cluster
        self.seed = seed
        self.rng = random.Random(seed)
        self.operator = Operator(cluster)

    async def run(self, duration_s: float) -> list[str]:
        """Inject faults for some seconds; return one line per violated invariant."""
        await self._configure()
        async with (
            Balancer(self.cluster.topology.entries) as balancer,
            Caller() as caller,
        ):
            spec = LoadSpec(SERVICE, RATE_PER_S, work_ms=100, seed=self.seed)
            load = Load(spec, balancer, caller)
            results, _ = await asyncio.gather(
                load.run(duration_s), self._inject(duration_s)
            )
        await wait_for(self._is_job_done, "the end of the job", RECOVERY_TIMEOUT_S)
        return await self._check_results(results)

    async def _configure(self) -> None:
        path = self.cluster.directory / "config.yaml"
        path.write_text(CONFIG)
        await self.operator.check_output("apply", str(path))
        await wait_for(self._has_all_servers, "backend servers", RECOVERY_TIMEOUT_S)

    async def _has_all_servers(self) -> bool:
        records = await self.cluster.worker_records()
        return sum(len(record["services"]) for record in records.values()) >= 4

    async def _inject(self, duration_s: float) -> None:
        end = time.monotonic() + duration_s
        names = list(FAULTS)
        while time.monotonic() < end:
            name = self.rng.choice(names)
            print(f"[{end - time.monotonic():5.1f} s left] {name}", flush=True)
            await FAULTS.find(name)(self.cluster, self.rng)
            await asyncio.sleep(self.rng.uniform(0.0, 2.0))

    async def _is_job_done(self) -> bool:
        done = await self.operator.run("jobs", "--output", "json")
        if done.code != 0:
            return False
        jobs = json.loads(done.output)["jobs"]
        return any(job["name"] == JOB and job["state"] == "done" for job in jobs)

    async def _check_results(self, results: list[CallerResult]) -> list[str]:
        totals = await self.cluster.backend_totals()
        counts = Counter(str(result.reply) for result in results)
        details = Counter(r.detail for r in results if str(r.reply) != "served")
        print(f"replies: {dict(counts)}")
        for detail, count in details.most_common(8):
            print(f"  {count:5} {detail[:120]}")
        records = await self.cluster.worker_records()
        return [*find_violations(results, totals), *_find_task_faults(records)]


def _find_task_faults(records: dict[str, dict]) -> Iterator[str]:
    """Yield one line per violated invariant of tasks.

    Each task has exactly one finished run, no two of its runs have the same attempt
    number, and no worker got a start that did not fit.
    """
    for name, record in records.items():
        if record["overruns"]:
            yield f"{name}: {record['overruns']} starts that did not fit"
    for index in range(TASKS):
        task = f"{JOB}/{index}"
        runs = [
            run
            for record in records.values()
            for run in record["runs"]
            if run["task"] == task
        ]
        done = sum(run["state"] == "done" for run in runs)
        attempts = [run["attempt"] for run in runs]
        if done != 1 or len(set(attempts)) != len(attempts):
            yield f"{task}: {done} finished runs, attempts {sorted(attempts)}"


async def run_faults(seed: int, duration_s: float) -> int:
    """Run random faults on a new cluster; return the exit code, 1 for violations."""
    cluster = Cluster.from_zones(ZONES, 2, WORKERS, SETTINGS)
    async with cluster:
        violations = await FaultRun(cluster, seed).run(duration_s)
        if violations:
            print(cluster.log_tails(), file=sys.stderr)
    for line in violations:
        print(f"violation: {line}")
    print(f"seed {seed}: {len(violations)} violations")
    return 1 if violations else 0


def main() -> None:
    """Read the command line and run the faults of one seed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    args = parser.parse_args()
    sys.exit(asyncio.run(run_faults(args.seed, args.seconds)))


if __name__ == "__main__":
    main()
