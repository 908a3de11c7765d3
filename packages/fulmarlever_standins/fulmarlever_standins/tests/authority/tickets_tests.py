"""Queues whose steps only some workers may run, by tickets that end."""

from __future__ import annotations

import asyncio

from fulmarlever_standins.authority.admission import VALID_S
from fulmarlever_standins.authority.site import GUARDED, Site, job
from fulmarlever_standins.tests.authority.base import SiteTestCase
from fulmarleverd.scheduling.specs import StepSpec

SHORT = StepSpec(count=6, cpu_m=1000, memory_mb=100, estimate_s=0.5)
LATER = StepSpec(count=4, cpu_m=1000, memory_mb=100, estimate_s=0.5, after=(0,))
# One task at a time fits, so the last ones start after the first tickets have ended.
LARGE = StepSpec(count=9, cpu_m=32000, memory_mb=100, estimate_s=0.5)


def guard(site: Site, workers: int) -> None:
    """Add workers that start only with a good ticket."""
    admission = site.network.admission
    for worker in site.add_workers(workers):
        worker.takes_ticket = lambda ticket, task, id=worker.id: admission.is_valid(
            ticket, task, id
        )


class TicketTests(SiteTestCase):
    ROWS = (
        ("all workers", lambda step, worker: True, 2.5),
        ("one worker of many", lambda step, worker: worker == "w17", 3.5),
        (
            "others for each step",
            lambda step, worker: (step[-1] == "0") is (worker < "w2"),
            3.5,
        ),
    )

    def test_tasks_run_on_admitted_workers_alone(self):
        for _, admits, limit_s in self.each(self.ROWS):

            async def scenario(site, admits=admits, limit_s=limit_s):
                site.network.admission.admits = admits
                site.add_daemons("vm-1")
                guard(site, 40)
                owner = await site.until_owned()
                self.assertIsNone(await owner.submit(job("j", SHORT, LATER), GUARDED))
                took_s = await site.until_state(owner, "j", "completed", 20.0)
                self.assertLess(took_s, limit_s)

            site = self.play(scenario)
            self.assertEqual(sum(site.record.starts.values()), 10)

    def test_tickets_that_have_ended_are_asked_for_again(self):
        async def scenario(site):
            site.network.admission.admits = lambda step, worker: worker == "w1"
            site.add_daemons("vm-1")
            guard(site, 3)
            owner = await site.until_owned()
            await owner.submit(job("j", LARGE), GUARDED)
            took_s = await site.until_state(owner, "j", "completed", 20.0)
            self.assertGreater(took_s, VALID_S)
            self.assertLess(took_s, 9 * 0.5 + 2.0)

        self.play(scenario)

    def test_a_refused_ticket_is_asked_for_again(self):
        async def scenario(site):
            site.add_daemons("vm-1")
            guard(site, 2)
            owner = await site.until_owned()
            site.network.admission.admits = lambda step, worker: True
            await owner.submit(job("j", SHORT), GUARDED)
            site.network.admission.tickets.clear()
            await site.until_state(owner, "j", "completed", 10.0)

        self.play(scenario)

    def test_the_queue_tells_how_long_tickets_hold_if_the_answer_does_not(self):
        async def scenario(site):
            site.network.admission.tells_validity = False
            site.add_daemons("vm-1")
            guard(site, 2)
            owner = await site.until_owned()
            await owner.submit(job("j", SHORT), GUARDED)
            await site.until_state(owner, "j", "completed", 10.0)

        self.play(scenario)

    def test_queues_without_tickets_never_ask(self):
        async def scenario(site):
            site.add_daemons("vm-1")
            site.add_workers(2)
            owner = await site.until_owned()
            await owner.submit(job("j", SHORT))
            await site.until_state(owner, "j", "completed", 10.0)
            await asyncio.sleep(1.0)

        self.assertEqual(self.play(scenario).network.admission.calls, 0)
