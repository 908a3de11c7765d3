"""Cancellations of jobs whose submissions got no answer and may take effect late."""

from __future__ import annotations

import asyncio

from fulmarlever.outcomes import NotRun, OutcomeUnknown, Refused, failed
from fulmarlever_standins.authority.simulated_cluster import (
    LABELS_QUEUE,
    Daemon,
    SimulatedCluster,
    job,
)
from fulmarlever_standins.tests.authority.base import SimulatedClusterTestCase
from fulmarleverd.scheduling.cancellations.lone import LONE_CANCEL_KEPT_S
from fulmarleverd.scheduling.cancellations.quota import MAX_LONE_CANCELS
from fulmarleverd.scheduling.persistence.rows import job_partition
from fulmarleverd.scheduling.specs import StepSpec
from fulmarleverd.scheduling.submission.intake import UnknownJob

LASTING = StepSpec(count=3, cpu_m=1000, is_long_running=True)
CANCEL_TIMEOUT_S = 2.5
JOBS = "jobs"


def add_workers(cluster: SimulatedCluster) -> None:
    """Add two workers on which tasks run until they are stopped."""
    for worker in cluster.add_workers(2):
        worker.task_duration_s = lambda task: None


async def cancel(daemon: Daemon, job_id: str) -> object:
    """Cancel a job through a daemon."""
    until_s = daemon.clock.monotonic() + CANCEL_TIMEOUT_S
    return await daemon.intake.cancel(job_id, until_s)


class UncertainSubmissionsTests(SimulatedClusterTestCase):
    async def lose_submission(self, cluster: SimulatedCluster, late_s: float) -> None:
        """Submit the job ``j``; its write takes effect late and without an answer."""
        cluster.network.late_jobs["j"] = late_s
        first = cluster.daemons["vm-1"]
        result = await first.submit(job("j", LASTING))
        self.assertIsInstance(result, OutcomeUnknown)
        del cluster.network.late_jobs["j"]

    # Regression (UNASKED): a cancellation was answered with "no such job", and the
    # submission that took effect afterwards started the job for good.
    def test_a_cancelled_job_never_starts(self):
        rows = (
            ("soon", 3.0, 0.0, ()),
            ("late", 12.0, 0.0, ()),
            ("cancelled later", 12.0, 6.0, ()),
            ("the owner is killed before", 12.0, 0.0, (1.0,)),
            ("owners are killed in turn", 14.0, 0.0, (1.0, 5.0, 9.0)),
            ("history is dropped", 12.0, 0.0, ("history",)),
        )
        for name, late_s, pause_s, disruptions in self.each(rows):

            async def scenario(
                cluster, late_s=late_s, pause_s=pause_s, disruptions=disruptions
            ):
                cluster.add_daemons("vm-1", "vm-2", "vm-3", "vm-4", "vm-5")
                add_workers(cluster)
                await cluster.wait_for_owner()
                await self.lose_submission(cluster, late_s)
                await asyncio.sleep(pause_s)
                result = await cancel(cluster.daemons["vm-2"], "j")
                self.assertIsInstance(result, UnknownJob)
                begun_s = asyncio.get_running_loop().time()
                for disruption in disruptions:
                    if disruption == "history":
                        cluster.network.store.drop_history()
                        continue
                    passed_s = asyncio.get_running_loop().time() - begun_s
                    await asyncio.sleep(disruption - passed_s)
                    await cluster.owner().kill()
                await asyncio.sleep(30.0)

            cluster = self.run_scenario(scenario)
            self.assertEqual(dict(cluster.record.starts), {}, name)

    def test_a_job_that_is_stored_before_its_cancellation_is_cancelled(self):
        async def scenario(cluster):
            cluster.add_daemons("vm-1", "vm-2")
            add_workers(cluster)
            await cluster.wait_for_owner()
            await self.lose_submission(cluster, 3.0)
            await asyncio.sleep(4.0)
            self.assertFalse(failed(await cancel(cluster.daemons["vm-2"], "j")))
            await cluster.wait_for_state(cluster.daemons["vm-1"], "j", "cancelled", 3.0)
            await asyncio.sleep(1.0)
            workers = cluster.network.workers.values()
            self.assertEqual([worker.running for worker in workers], [{}, {}])

        self.run_scenario(scenario)

    # Guards against a promise that is taken back: accepted, though it never runs.
    def test_a_submission_after_the_cancellation_is_refused(self):
        async def scenario(cluster):
            cluster.add_daemons("vm-1", "vm-2")
            add_workers(cluster)
            await cluster.wait_for_owner()
            daemon = cluster.daemons["vm-2"]
            self.assertIsInstance(await cancel(daemon, "j"), UnknownJob)
            result = await daemon.submit(job("j", LASTING))
            self.assertIsInstance(result, Refused)
            self.assertIsInstance(await daemon.state("j"), UnknownJob)
            await asyncio.sleep(LONE_CANCEL_KEPT_S + 5.0)
            self.assertIsNone(await daemon.submit(job("j", LASTING)))
            await cluster.wait_for_state(daemon, "j", "running", 3.0)

        self.run_scenario(scenario)

    # Guards against rows that callers make without bound with ids that nobody uses.
    def test_cancellations_of_unknown_ids_leave_few_rows_for_a_while(self):
        async def scenario(cluster):
            cluster.add_daemons("vm-1", "vm-2")
            add_workers(cluster)
            owner = await cluster.wait_for_owner()
            store = cluster.network.store
            results = [
                await cancel(daemon, f"x{number}")
                for number in range(2 * MAX_LONE_CANCELS)
                for daemon in cluster.daemons.values()
            ]
            self.assertLessEqual(len(store.keys(JOBS)), 2 * MAX_LONE_CANCELS)
            refused = [r for r in results if not isinstance(r, UnknownJob)]
            self.assertTrue(refused)
            for result in refused:
                self.assertIsInstance(result, NotRun)
            # Those of known jobs are not affected.
            self.assertIsNone(await owner.submit(job("j", LASTING)))
            await cluster.wait_for_state(owner, "j", "running", 3.0)
            self.assertFalse(failed(await cancel(owner, "j")))
            await asyncio.sleep(LONE_CANCEL_KEPT_S + 5.0)
            self.assertEqual(store.keys(JOBS), ["j", "j/cancel"])
            self.assertIsInstance(await cancel(owner, "y"), UnknownJob)

        self.run_scenario(scenario)

    # Guards against the row of a cancellation that takes effect after those of its job
    # have been removed, and stays for good.
    def test_a_late_cancellation_leaves_no_row(self):
        async def scenario(cluster):
            cluster.add_daemons("vm-1", "vm-2")
            add_workers(cluster)
            owner = await cluster.wait_for_owner()
            cluster.network.store.put(
                JOBS, "gone/cancel", b"\x01", job_partition("gone")
            )
            await asyncio.sleep(LONE_CANCEL_KEPT_S + 5.0)
            self.assertEqual(cluster.network.store.keys(JOBS), [])
            self.assertIs(cluster.owner(), owner)

        self.run_scenario(scenario)

    # Guards against an answer that says more than the daemon knows.
    def test_answers_about_a_job_that_may_still_be_stored(self):
        async def scenario(cluster):
            cluster.add_daemons("vm-1")
            add_workers(cluster)
            await cluster.wait_for_owner()
            await self.lose_submission(cluster, 8.0)
            daemon = cluster.daemons["vm-1"]
            found = await daemon.state("j")
            self.assertTrue(failed(found))
            self.assertNotIsInstance(found, UnknownJob)
            refusal = NotRun("overloaded", 1.0)
            result = await daemon.intake._refuse_unless_stored(
                job("j", LASTING), refusal
            )
            self.assertIsInstance(result, OutcomeUnknown)
            await cluster.wait_for_state(daemon, "j", "running", 12.0)
            self.assertIsNone(
                await daemon.intake.submit(
                    job("j", LASTING), LABELS_QUEUE, daemon.clock.monotonic() + 2.0
                )
            )

        self.run_scenario(scenario)
