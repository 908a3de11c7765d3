"""More batch work than the fleet can do: which sizes of jobs are served."""

from __future__ import annotations

import asyncio
import random

from fulmarlever_standins.authority.simulated_cluster import (
    LABELS_QUEUE,
    Daemon,
    SimulatedCluster,
    job,
)
from fulmarlever_standins.tests.authority.base import SimulatedClusterTestCase
from fulmarleverd.scheduling.order import HARD_DEADLINE_FACTOR
from fulmarleverd.scheduling.specs import JobSpec, StepSpec

WORKERS = 4
TASK_S = 0.64
OBJECTIVE_S = LABELS_QUEUE.stretch * TASK_S + LABELS_QUEUE.target_latency_s
# The gate of the users: the largest tenth of a kind, and the fifth below it, are served
# at least this share as often as the whole kind.
LEAST_OF_ALL = 0.5
STREAM_S = 30.0
SEED = 14


class Order:
    """A job of the stream, and whether it completed while it was of use."""

    def __init__(self, number: int, rng: random.Random) -> None:
        tasks = min(36, max(1, round(rng.lognormvariate(1.5, 0.8))))
        cores = min(13.0, max(1.0, rng.lognormvariate(1.45, 0.4)))
        self.work = tasks * cores
        self.spec: JobSpec = job(
            f"b{number}",
            StepSpec(
                count=tasks,
                cpu_m=int(cores * 1000),
                memory_mb=100,
                estimate_s=TASK_S,
            ),
        )
        self.is_served = False

    async def follow(self, owner: Daemon, cluster: SimulatedCluster) -> None:
        """Hand the job in and see whether it completes in time to be of use."""
        await owner.submit(self.spec, LABELS_QUEUE)
        limit_s = HARD_DEADLINE_FACTOR * OBJECTIVE_S
        try:
            await cluster.wait_for_state(owner, self.spec.id, "completed", limit_s)
            self.is_served = True
        except AssertionError:
            self.is_served = False


def served_share(orders: list[Order]) -> float:
    """Return which share of some jobs was served."""
    return sum(order.is_served for order in orders) / len(orders)


class BatchSizesTests(SimulatedClusterTestCase):
    # Jobs a second; the fleet does about 7.
    RATES = (("half more", 10.0), ("twice as much", 14.0))

    # Guards against: in an overload the largest jobs were put last, and never served.
    def test_the_largest_jobs_are_served_in_an_overload(self):
        for _, rate in self.each(self.RATES):
            orders = self.serve(rate)
            orders.sort(key=lambda order: order.work)
            share = served_share(orders)
            tenth = len(orders) // 10
            largest, next_fifth = orders[-tenth:], orders[-3 * tenth : -tenth]
            self.assertGreaterEqual(served_share(largest), LEAST_OF_ALL * share)
            self.assertGreaterEqual(served_share(next_fifth), LEAST_OF_ALL * share)

    def serve(self, rate: float) -> list[Order]:
        rng = random.Random(SEED)
        orders = [Order(number, rng) for number in range(int(rate * STREAM_S))]

        async def scenario(cluster: SimulatedCluster) -> None:
            cluster.add_daemons("vm-1")
            for worker in cluster.add_workers(WORKERS):
                worker.task_duration_s = lambda task: TASK_S
            owner = await cluster.wait_for_owner()
            followers = []
            for order in orders:
                follower = asyncio.create_task(order.follow(owner, cluster))
                followers.append(follower)
                await asyncio.sleep(1.0 / rate)
            await asyncio.gather(*followers)

        self.play(scenario)
        return orders
