from __future__ import annotations

import asyncio
from dataclasses import replace

from fulmarlever.outcomes import OutcomeUnknown, failed
from fulmarlever_standins.authority.simulated_cluster import PLANS_QUEUE, job
from fulmarlever_standins.tests.authority.base import SimulatedClusterTestCase
from fulmarleverd.scheduling.specs import StepSpec
from fulmarleverd.scheduling.submission.intake import UnknownJob

TARGET = {"X-Target-Instance": "w0"}
LONG_RUNNING = StepSpec(count=2, cpu_m=1000, estimate_s=0.5, is_long_running=True)


class KnownEndTests(SimulatedClusterTestCase):
    ROWS = (("in time", 0.7, {1}), ("after the lease has expired", 3.0, set()))

    def test_an_end_is_known_unless_the_lease_expires_first(self):
        """Soak seed 1: a worker was unreachable until its lease had expired."""
        for _, report_delay_s, expected in self.each(self.ROWS):

            async def scenario(
                cluster, report_delay_s=report_delay_s, expected=expected
            ):
                worker = cluster.add_worker("w0")
                call = cluster.network.client("vm").call
                start = {"task": "t.0.0.0", "run": 1, "deadlineMs": 3000}
                await call("POST", "w0:1", "/run-start", 1.0, start, TARGET)
                await asyncio.sleep(report_delay_s)
                seen = {"lastSeen": 1}
                await call("POST", "w0:1", "/hold", 1.0, seen, TARGET)
                self.assertEqual(worker.known_ends, expected)

            self.run_scenario(scenario)


class WorkerRestartTests(SimulatedClusterTestCase):
    """A worker restarts under its id and address while tasks are being started.

    Soak seed 305: the next incarnation accepted a start that was meant for the previous
    one.
    """

    RESTART_DELAYS_S = tuple(0.002 * number for number in range(0, 25))
    ROWS = (
        ("entry at once", 0.003, 0),
        ("entry later", 0.4, 0),
        ("late start", 0.4, 1),
    )

    def test_no_task_runs_twice_whenever_the_worker_restarts(self):
        for _, entry_delay_s, late in self.each(self.ROWS):
            for restart_delay_s in self.RESTART_DELAYS_S:
                with self.subTest(restart_delay_s=restart_delay_s):
                    self.run_restart(restart_delay_s, entry_delay_s, late)

    def run_restart(
        self, restart_delay_s: float, entry_delay_s: float, late: int
    ) -> None:
        async def scenario(cluster):
            cluster.add_daemons("vm-1")
            worker = cluster.add_workers(2)[0]
            for other in cluster.network.workers.values():
                other.task_duration_s = lambda task: 2.5
            owner = await cluster.wait_for_owner()
            cluster.network.late_starts = late
            await owner.submit(job("j", StepSpec(count=4, cpu_m=1000, estimate_s=2.5)))
            await asyncio.sleep(restart_delay_s)
            cluster.restart_worker(worker, entry_delay_s)
            await cluster.wait_for_state(owner, "j", "completed", 30.0)

        self.run_scenario(scenario)


class HistoryTests(SimulatedClusterTestCase):
    def test_a_waiting_feed_reports_a_history_dropped_with_a_change(self):
        """Soak seed 618: the feed sent neither a job's row nor status 410."""

        async def scenario(cluster):
            store = cluster.network.store
            waiting = asyncio.create_task(
                store.feed({"table": "jobs", "after": store.version, "waitMs": 1000})
            )
            await asyncio.sleep(0.1)
            store.put_json("jobs", "j", {})
            store.drop_history()
            status, _ = await waiting
            self.assertEqual(status, 410)

        self.run_scenario(scenario)


class CrashTests(SimulatedClusterTestCase):
    def test_a_call_in_progress_at_a_crash_gets_no_answer(self):
        """Soak seed 103: a crashed worker reported an end that was not recorded."""

        async def scenario(cluster):
            worker = cluster.add_worker("w0")
            call = cluster.network.client("vm").call(
                "POST", "w0:1", "/hold", 2.0, {"lastSeen": 0, "waitMs": 1000}, TARGET
            )
            answer = asyncio.create_task(call)
            await asyncio.sleep(0.2)
            cluster.crash_worker(worker)
            self.assertIsInstance(await answer, OutcomeUnknown)

        self.run_scenario(scenario)


class LossyLinkTests(SimulatedClusterTestCase):
    """Links that lose packets: calls of all kinds take longer, some too long."""

    # Loss of a request or an answer, and the seconds until all jobs are completed.
    ROWS = (("few", 0.025, 12.0), ("many", 0.1, 20.0), ("a third", 0.3, 60.0))

    def test_jobs_are_completed_and_no_task_runs_twice(self):
        first = StepSpec(count=20, cpu_m=1000, estimate_s=0.5)
        steps = (first, replace(first, after=(0,)))
        for _, loss, limit_s in self.each(self.ROWS):

            async def scenario(cluster, loss=loss, limit_s=limit_s):
                cluster.add_daemons("vm-1", "vm-2")
                cluster.add_workers(8)
                owner = await cluster.wait_for_owner()
                cluster.network.loss = loss
                for number in range(6):
                    while failed(await owner.submit(job(f"j{number}", *steps))):
                        pass
                for number in range(6):
                    await cluster.wait_for_state(
                        owner, f"j{number}", "completed", limit_s
                    )

            cluster = self.run_scenario(scenario)
            self.assertEqual(sum(cluster.record.done.values()), 6 * 40)


class StoreFaultTests(SimulatedClusterTestCase):
    ROWS = (
        ("answers lost", {"lose_answers": 3}),
        ("late writes", {"late_transactions": 2}),
        ("both", {"lose_answers": 2, "late_transactions": 2}),
    )

    def test_no_task_runs_twice_after_lost_answers(self):
        for _, faults in self.each(self.ROWS):

            async def scenario(cluster, faults=faults):
                cluster.add_daemons("vm-1", "vm-2")
                cluster.add_workers(2)
                owner = await cluster.wait_for_owner()
                for number in range(5):
                    for name, count in faults.items():
                        setattr(cluster.network, name, count)
                    result = await owner.submit(job(f"j{number}"))
                    if failed(result):
                        await owner.submit(job(f"j{number}"))
                for number in range(5):
                    await cluster.wait_for_state(owner, f"j{number}", "completed")

            cluster = self.run_scenario(scenario)
            self.assertEqual(sum(cluster.record.done.values()), 10)

    def test_submissions_of_one_id_at_two_daemons_create_one_job(self):
        async def scenario(cluster):
            cluster.add_daemons("vm-1", "vm-2")
            cluster.add_workers(2)
            await cluster.wait_for_owner()
            daemons = cluster.daemons.values()
            results = await asyncio.gather(*(d.submit(job("j")) for d in daemons))
            self.assertEqual(results, [None, None])
            await cluster.wait_for_state(cluster.daemons["vm-1"], "j", "completed")

        cluster = self.run_scenario(scenario)
        self.assertEqual(sum(cluster.record.starts.values()), 2)

    def test_tables_are_read_again_after_the_history_is_dropped(self):
        async def scenario(cluster):
            cluster.add_daemons("vm-1")
            cluster.add_workers(1)
            owner = await cluster.wait_for_owner()
            cluster.network.refused_vms.add("vm-1")
            await asyncio.sleep(0.5)
            cluster.network.store.put_json("servers", "w9", {"state": "ready"})
            cluster.network.store.drop_history()
            cluster.network.refused_vms.clear()
            while failed(await owner.submit(job("j"))):
                await asyncio.sleep(0.1)
            await cluster.wait_for_state(owner, "j", "completed")

        self.run_scenario(scenario)

    def test_report_calls_are_limited_while_commits_wait(self):
        """Ends accumulate at a worker while the store is down for 1.6 seconds."""

        async def scenario(cluster):
            cluster.add_daemons("vm-1")
            worker = cluster.add_workers(1)[0]
            owner = await cluster.wait_for_owner()
            await owner.submit(job("j"))
            await asyncio.sleep(0.3)
            cluster.network.is_store_down = True
            report_calls = worker.report_calls
            await asyncio.sleep(1.6)
            self.assertLess(worker.report_calls - report_calls, 12)
            cluster.network.is_store_down = False
            await cluster.wait_for_state(owner, "j", "completed")

        self.run_scenario(scenario)

    def test_runs_continue_during_an_outage_of_the_store(self):
        async def scenario(cluster):
            cluster.add_daemons("vm-1", "vm-2")
            for worker in cluster.add_workers(2):
                worker.task_duration_s = lambda task: None
            owner = await cluster.wait_for_owner()
            await owner.submit(job("j", LONG_RUNNING))
            await asyncio.sleep(1.0)
            cluster.network.is_store_down = True
            await asyncio.sleep(6.0)
            cluster.network.is_store_down = False
            await asyncio.sleep(6.0)

        cluster = self.run_scenario(scenario)
        self.assertEqual(sum(cluster.record.starts.values()), 2)


class WorkerFaultTests(SimulatedClusterTestCase):
    def test_a_start_that_takes_effect_late_runs_once(self):
        async def scenario(cluster):
            cluster.add_daemons("vm-1")
            cluster.add_workers(2)
            owner = await cluster.wait_for_owner()
            cluster.network.late_starts = 2
            await owner.submit(job("j"))
            await cluster.wait_for_state(owner, "j", "completed")
            await asyncio.sleep(5.0)

        cluster = self.run_scenario(scenario)
        self.assertEqual(sum(cluster.record.done.values()), 2)

    def test_the_runs_of_a_crashed_worker_start_again(self):
        for row in self.each((("restarted", 2), ("removed", 0))):

            async def scenario(cluster, born=row[1]):
                cluster.add_daemons("vm-1")
                worker, spare = cluster.add_workers(2)
                worker.task_duration_s = spare.task_duration_s = lambda task: 2.0
                owner = await cluster.wait_for_owner()
                await owner.submit(job("j", StepSpec(count=6, cpu_m=1000)))
                await asyncio.sleep(0.5)
                cluster.crash_worker(worker)
                if born:
                    cluster.add_worker(worker.id, born)
                else:
                    cluster.network.store.remove("servers", worker.id)
                limit_s = 6.0 if born else 25.0
                await cluster.wait_for_state(owner, "j", "completed", limit_s)

            self.run_scenario(scenario)

    def test_an_unreachable_worker_keeps_its_tasks_until_its_lease_expires(self):
        async def scenario(cluster):
            cluster.add_daemons("vm-1")
            worker, spare = cluster.add_workers(2)
            worker.task_duration_s = spare.task_duration_s = lambda task: 4.0
            owner = await cluster.wait_for_owner()
            await owner.submit(job("j", StepSpec(count=4, cpu_m=1000)))
            await asyncio.sleep(0.5)
            cluster.network.cut("vm-1", worker.address)
            await asyncio.sleep(6.0)
            self.assertEqual(sum(cluster.record.starts.values()), 4)
            cluster.network.heal()
            await cluster.wait_for_state(owner, "j", "completed", 5.0)

        cluster = self.run_scenario(scenario)
        self.assertEqual(set(cluster.record.starts.values()), {1})

    def test_a_job_fails_after_the_maximum_of_failed_attempts(self):
        async def scenario(cluster):
            cluster.add_daemons("vm-1")
            for worker in cluster.add_workers(3):
                worker.task_fails = lambda task: True
            owner = await cluster.wait_for_owner()
            await owner.submit(job("j", StepSpec(count=1, cpu_m=1000)), PLANS_QUEUE)
            await cluster.wait_for_state(owner, "j", "failed")
            await asyncio.sleep(3.0)

        cluster = self.run_scenario(scenario)
        self.assertEqual(sum(cluster.record.starts.values()), PLANS_QUEUE.max_attempts)

    def test_a_copy_cancelled_before_its_commit_never_starts(self):
        """The store is down while a speculative copy waits for its commit."""

        async def scenario(cluster):
            cluster.add_daemons("vm-1")
            first, second = cluster.add_workers(2)
            first.task_duration_s = second.task_duration_s = lambda task: 1.0
            owner = await cluster.wait_for_owner()
            spec = StepSpec(count=1, cpu_m=1000, is_speculative=True)
            later = StepSpec(count=1, cpu_m=1000, after=(0,))
            await owner.submit(job("j", spec, later))
            await asyncio.sleep(0.3)
            cluster.network.is_store_down = True
            state = owner.term.owner
            run = next(state.jobs["j"].runs())
            state.request_copy(run, "test")
            await asyncio.sleep(1.4)
            cluster.network.is_store_down = False
            await cluster.wait_for_state(owner, "j", "completed")

        cluster = self.run_scenario(scenario)
        self.assertEqual(set(cluster.record.starts.values()), {1})


class CancelTests(SimulatedClusterTestCase):
    def test_the_runs_of_a_cancelled_job_stop(self):
        async def scenario(cluster):
            cluster.add_daemons("vm-1", "vm-2")
            workers = cluster.add_workers(2)
            for worker in workers:
                worker.task_duration_s = lambda task: None
            await cluster.wait_for_owner()
            daemon = cluster.daemons["vm-2"]
            await daemon.submit(job("j", LONG_RUNNING))
            await asyncio.sleep(0.5)
            self.assertEqual(sum(len(w.running) for w in workers), 2)
            self.assertFalse(failed(await daemon.intake.cancel("j", 100.0)))
            await cluster.wait_for_state(daemon, "j", "cancelled", 1.0)
            await asyncio.sleep(1.0)
            self.assertEqual(sum(len(w.running) for w in workers), 0)

        self.run_scenario(scenario)

    def test_calls_about_an_unknown_job_return_unknown_job(self):
        async def scenario(cluster):
            cluster.add_daemons("vm-1")
            daemon = cluster.daemons["vm-1"]
            self.assertIsInstance(await daemon.state("none"), UnknownJob)
            result = await daemon.intake.cancel("none", 100.0)
            self.assertIsInstance(result, UnknownJob)

        self.run_scenario(scenario)
