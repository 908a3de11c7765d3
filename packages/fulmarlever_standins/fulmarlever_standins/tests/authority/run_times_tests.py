"""Learned run times across a change of owner."""

from __future__ import annotations

import asyncio

from loguru import logger as log

from fulmarlever_standins.authority.simulated_cluster import (
    LABELS_QUEUE,
    Daemon,
    SimulatedCluster,
    job,
)
from fulmarlever_standins.tests.authority.base import SimulatedClusterTestCase
from fulmarleverd.scheduling.persistence.rows import RUN_TIMES_KEY, SUMMARY_TABLE, pack
from fulmarleverd.scheduling.run_times import RunTimes
from fulmarleverd.scheduling.run_times.publisher import PERIOD_S
from fulmarleverd.scheduling.run_times.run_times import DATA_VERSION
from fulmarleverd.scheduling.specs import StepSpec

DECLARED_S = 0.5
TASK_S = 2.0
STEP = StepSpec(count=4, cpu_m=1000, memory_mb=100, estimate_s=DECLARED_S)
JOBS = 10


def expected_s(daemon: Daemon) -> float:
    """Return the seconds that an owner expects of a task of the jobs' step."""
    run_times: RunTimes = daemon.term.owner.run_times
    return run_times.expected_step_s(LABELS_QUEUE.name, 0, STEP)


async def replace_owner(cluster: SimulatedCluster, vm: str) -> Daemon:
    """Kill the owner and return the daemon that takes over."""
    owner = cluster.owner()
    del cluster.daemons[owner.vm]
    await owner.kill()
    cluster.add_daemons(vm)
    return await cluster.wait_for_owner()


class RunTimesTests(SimulatedClusterTestCase):
    async def run_jobs(self, cluster: SimulatedCluster) -> Daemon:
        """Run jobs that take four times as long as declared; return the owner."""
        cluster.add_daemons("vm-1")
        for worker in cluster.add_workers(2):
            worker.task_duration_s = lambda task: TASK_S
        owner = await cluster.wait_for_owner()
        for number in range(JOBS):
            self.assertIsNone(await owner.submit(job(f"j{number}", STEP)))
        for number in range(JOBS):
            await cluster.wait_for_state(owner, f"j{number}", "completed")
        return owner

    # Guards against a new owner that decides by wrong declared times again.
    def test_what_was_learned_survives_a_change_of_owner(self):
        async def scenario(cluster):
            owner = await self.run_jobs(cluster)
            await asyncio.sleep(PERIOD_S + 1.0)
            learned_s = expected_s(owner)
            self.assertGreater(learned_s, 0.6 * TASK_S)
            self.assertLess(learned_s, 1.1 * TASK_S)
            other = await replace_owner(cluster, "vm-2")
            self.assertIsNot(other, owner)
            self.assertEqual(expected_s(other), learned_s)
            # Its own samples are added to those of the earlier owner.
            self.assertIsNone(await other.submit(job("later", STEP)))
            await cluster.wait_for_state(other, "later", "completed")
            self.assertGreaterEqual(expected_s(other), learned_s)

        self.run_scenario(scenario)

    # Guards against an owner that fails at each takeover because of its learned data.
    def test_a_row_that_cannot_be_used_is_logged_and_left_out(self):
        rows = (
            ("missing", None, []),
            ("not msgpack", b"\xc1\xc1", ["learned-unread"]),
            ("no list", pack(7), ["learned-unread"]),
            ("other version", pack([DATA_VERSION + 1, []]), ["learned-unread"]),
            ("malformed", pack([DATA_VERSION, [["labels", 0]]]), ["learned-unread"]),
        )
        for _, value, expected_events in self.each(rows):

            async def scenario(cluster, value=value, expected_events=expected_events):
                events: list[str] = []
                log.add(lambda line: events.append(line.record["extra"].get("event")))
                if value is not None:
                    store = cluster.network.store
                    store.put(SUMMARY_TABLE, RUN_TIMES_KEY, value)
                cluster.add_daemons("vm-1")
                cluster.add_workers(1)
                owner = await cluster.wait_for_owner()
                self.assertEqual(expected_s(owner), DECLARED_S)
                found = [event for event in events if event == "learned-unread"]
                self.assertEqual(found, expected_events)
                self.assertIsNone(await owner.submit(job("j", STEP)))
                await cluster.wait_for_state(owner, "j", "completed", 5.0)
                log.remove()

            self.run_scenario(scenario)

    # Guards against measurements by the owner's clock, on which runs whose ends it
    # sees late would look long: declared times that are right must stay in use.
    def test_declared_times_that_are_right_stay_in_use(self):
        async def scenario(cluster):
            cluster.add_daemons("vm-1")
            for worker in cluster.add_workers(2):
                worker.task_duration_s = lambda task: DECLARED_S
            owner = await cluster.wait_for_owner()
            for number in range(JOBS):
                self.assertIsNone(await owner.submit(job(f"j{number}", STEP)))
                await asyncio.sleep(0.2)
            for number in range(JOBS):
                await cluster.wait_for_state(owner, f"j{number}", "completed")
            entries = list(owner.term.owner.run_times.entries())
            self.assertEqual(len(entries), 1)
            _, _, learned = entries[0]
            self.assertGreater(learned.samples, JOBS)
            self.assertEqual(learned.right_share, 1.0)
            self.assertEqual(expected_s(owner), DECLARED_S)

        self.run_scenario(scenario)
