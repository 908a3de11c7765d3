"""Queues whose steps need tickets, which name a worker and expire."""

from __future__ import annotations

import asyncio

from fulmarlever_standins.authority.admission import TICKET_VALIDITY_S
from fulmarlever_standins.authority.simulated_cluster import (
    TICKET_QUEUE,
    SimulatedCluster,
    job,
)
from fulmarlever_standins.tests.authority.base import SimulatedClusterTestCase
from fulmarleverd.scheduling.specs import StepSpec

SHORT = StepSpec(count=6, cpu_m=1000, memory_mb=100, estimate_s=0.5)
LATER = StepSpec(count=4, cpu_m=1000, memory_mb=100, estimate_s=0.5, after=(0,))
# Only one task at a time fits, so the last ones start after the first tickets expired.
LARGE = StepSpec(count=9, cpu_m=32000, memory_mb=100, estimate_s=0.5)


def add_ticket_workers(cluster: SimulatedCluster, workers: int) -> None:
    """Add workers that accept a start only with a valid ticket."""
    admission = cluster.network.admission
    for worker in cluster.add_workers(workers):
        worker.accepts_ticket = lambda ticket, task, id=worker.id: admission.is_valid(
            ticket, task, id
        )


class TicketTests(SimulatedClusterTestCase):
    ROWS = (
        ("all workers", lambda step, worker: True, 2.5),
        ("one worker of many", lambda step, worker: worker == "w17", 3.5),
        (
            "different workers for each step",
            lambda step, worker: (step[-1] == "0") is (worker < "w2"),
            3.5,
        ),
    )

    def test_tasks_run_on_admitted_workers_only(self):
        for _, is_admitted, limit_s in self.each(self.ROWS):

            async def scenario(cluster, is_admitted=is_admitted, limit_s=limit_s):
                cluster.network.admission.is_admitted = is_admitted
                cluster.add_daemons("vm-1")
                add_ticket_workers(cluster, 40)
                owner = await cluster.wait_for_owner()
                self.assertIsNone(
                    await owner.submit(job("j", SHORT, LATER), TICKET_QUEUE)
                )
                took_s = await cluster.wait_for_state(owner, "j", "completed", 20.0)
                self.assertLess(took_s, limit_s)

            cluster = self.run_scenario(scenario)
            self.assertEqual(sum(cluster.record.starts.values()), 10)

    def test_expired_tickets_are_requested_again(self):
        async def scenario(cluster):
            cluster.network.admission.is_admitted = lambda step, worker: worker == "w1"
            cluster.add_daemons("vm-1")
            add_ticket_workers(cluster, 3)
            owner = await cluster.wait_for_owner()
            await owner.submit(job("j", LARGE), TICKET_QUEUE)
            took_s = await cluster.wait_for_state(owner, "j", "completed", 20.0)
            self.assertGreater(took_s, TICKET_VALIDITY_S)
            self.assertLess(took_s, 9 * 0.5 + 2.0)

        self.run_scenario(scenario)

    def test_a_refused_ticket_is_requested_again(self):
        async def scenario(cluster):
            cluster.add_daemons("vm-1")
            add_ticket_workers(cluster, 2)
            owner = await cluster.wait_for_owner()
            cluster.network.admission.is_admitted = lambda step, worker: True
            await owner.submit(job("j", SHORT), TICKET_QUEUE)
            cluster.network.admission.tickets.clear()
            await cluster.wait_for_state(owner, "j", "completed", 10.0)

        self.run_scenario(scenario)

    def test_the_validity_of_the_queue_applies_if_the_answer_has_none(self):
        async def scenario(cluster):
            cluster.network.admission.includes_validity = False
            cluster.add_daemons("vm-1")
            add_ticket_workers(cluster, 2)
            owner = await cluster.wait_for_owner()
            await owner.submit(job("j", SHORT), TICKET_QUEUE)
            await cluster.wait_for_state(owner, "j", "completed", 10.0)

        self.run_scenario(scenario)

    def test_queues_without_tickets_never_call_the_admission_service(self):
        async def scenario(cluster):
            cluster.add_daemons("vm-1")
            cluster.add_workers(2)
            owner = await cluster.wait_for_owner()
            await owner.submit(job("j", SHORT))
            await cluster.wait_for_state(owner, "j", "completed", 10.0)
            await asyncio.sleep(1.0)

        self.assertEqual(self.run_scenario(scenario).network.admission.calls, 0)
