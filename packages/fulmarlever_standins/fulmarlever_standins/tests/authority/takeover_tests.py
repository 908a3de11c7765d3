from __future__ import annotations

import asyncio

from fulmarlever_standins.authority.network import STORE_ADDRESS
from fulmarlever_standins.authority.site import Site, job
from fulmarlever_standins.tests.authority.base import SiteTestCase
from fulmarleverd.scheduling.lease import LEASE_S
from fulmarleverd.scheduling.specs import StepSpec

LONG = StepSpec(count=4, cpu_m=1000, memory_mb=100, estimate_s=3.0)
LATER = StepSpec(count=2, cpu_m=1000, memory_mb=100, estimate_s=0.5, after=(0,))


async def kill_owner(site: Site) -> None:
    owner = site.owner()
    del site.daemons[owner.vm]
    await owner.kill()


async def cut_owner_from_store(site: Site) -> None:
    site.network.cut(site.owner().vm, STORE_ADDRESS)


async def refuse_owner(site: Site) -> None:
    site.network.refusing.add(site.owner().vm)


async def cut_owner_from_all(site: Site) -> None:
    addresses = [STORE_ADDRESS, *site.network.workers]
    site.network.cut(site.owner().vm, *addresses)


class TakeoverTests(SiteTestCase):
    ROWS = (
        ("killed", kill_owner, 1.0),
        ("killed early", kill_owner, 0.05),
        ("killed at the ends", kill_owner, 3.01),
        ("cut from the store", cut_owner_from_store, 1.0),
        ("cut from the store at the ends", cut_owner_from_store, 2.9),
        ("refused by the store", refuse_owner, 1.0),
        ("refused by the store at the ends", refuse_owner, 2.9),
        ("cut from everything", cut_owner_from_all, 1.0),
    )

    def test_another_daemon_finishes_the_job(self):
        for _, fault, after_s in self.each(self.ROWS):

            async def scenario(site, fault=fault, after_s=after_s):
                site.add_daemons("vm-1", "vm-2", "vm-3")
                for worker in site.add_workers(3):
                    worker.work_s = lambda task: 3.0 if ".0.0." in task else 0.5
                owner = await site.until_owned()
                other = next(d for d in site.daemons.values() if d is not owner)
                self.assertIsNone(await other.submit(job("j", LONG, LATER)))
                await asyncio.sleep(after_s)
                await fault(site)
                took_s = await site.until_state(other, "j", "completed")
                self.assertLess(took_s, 8.0)

            site = self.play(scenario)
            self.assertEqual(sum(site.record.done.values()), 6)

    def test_a_job_cancelled_between_two_owners_is_stopped(self):
        async def scenario(site):
            site.add_daemons("vm-1")
            worker = site.add_workers(1)[0]
            worker.work_s = lambda task: None
            owner = await site.until_owned()
            await owner.submit(job("j", LONG))
            await asyncio.sleep(0.5)
            await kill_owner(site)
            self.assertEqual(len(worker.running), 4)
            await owner.intake.cancel("j", 100.0)
            site.add_daemons("vm-2")
            await site.until_owned()
            await asyncio.sleep(1.0)
            self.assertEqual(len(worker.running), 0)

        self.play(scenario)

    def test_two_daemons_never_hold_the_lease_at_once(self):
        async def scenario(site):
            site.add_daemons("vm-1", "vm-2", "vm-3")
            site.add_workers(1)
            await site.until_owned()
            site.network.cut(site.owner().vm, STORE_ADDRESS)
            for _ in range(int(3 * LEASE_S / 0.01)):
                self.assertLessEqual(site.owners(), 1)
                await asyncio.sleep(0.01)
            self.assertEqual(site.owners(), 1)

        self.play(scenario)

    def test_ends_reported_before_the_jobs_are_read_are_not_lost(self):
        """A new owner knows the committed runs before it takes a report."""

        async def scenario(site):
            site.add_daemons("vm-1")
            worker = site.add_workers(1)[0]
            owner = await site.until_owned()
            await owner.submit(job("j", StepSpec(count=3, cpu_m=1, estimate_s=0.5)))
            await asyncio.sleep(0.3)
            await kill_owner(site)
            await asyncio.sleep(0.5)
            self.assertEqual(len(worker.ends), 3)
            site.add_daemons("vm-2")
            await site.until_state(site.daemons["vm-2"], "j", "completed")

        site = self.play(scenario)
        self.assertEqual(set(site.record.starts.values()), {1})


class RepeatedTakeoverTests(SiteTestCase):
    """Owners are replaced one after the other while a worker is gone for good."""

    # The longest lease on a slow clock, a takeover, and the start elsewhere.
    LIMIT_S = 8.0 + 2.5 + 1.0

    def test_lasting_tasks_of_a_lost_worker_run_elsewhere_in_time(self):
        async def scenario(site):
            site.add_daemons("vm-1", "vm-2", "vm-3")
            for worker in site.add_workers(2):
                worker.work_s = lambda task: None
            owner = await site.until_owned()
            lasting = StepSpec(count=2, cpu_m=1000, is_long_running=True)
            self.assertIsNone(await owner.submit(job("j", lasting)))
            await asyncio.sleep(1.0)
            lost = next(w for w in site.network.workers.values() if w.running)
            names = {task for task, _ in lost.running}
            site.crash_worker(lost)
            for pause_s in (0.5, 6.0):
                await asyncio.sleep(pause_s)
                await kill_owner(site)
                if pause_s < 1.0:
                    site.network.store.remove("servers", lost.id)
            await asyncio.sleep(self.LIMIT_S - 6.5)
            running = {
                task for w in site.network.workers.values() for task, _ in w.running
            }
            self.assertLessEqual(names, running)

        self.play(scenario)
