"""Each daemon is judged by what it went through itself."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from loguru import logger as log

from fulmarlever.tests.base import TableTestCase
from fulmarlever_standins.authority.network import STORE_ADDRESS
from fulmarlever_standins.authority.simulated_cluster import LABELS_QUEUE, job
from fulmarlever_standins.authority.virtual_time import run_virtual
from fulmarlever_standins.simulation.calm import SETTLED_AFTER_S
from fulmarlever_standins.simulation.simulation import Simulation
from fulmarlever_standins.simulation.watches import VISIBLE_S, PendingWatch
from fulmarleverd.scheduling.specs import JobSpec, StepSpec

QUIET_S = 5.0
# After the fault.
LATER_S = 1.0


def kill(sim: Simulation, vm: str) -> None:
    sim.cluster.daemons.pop(vm).kill_nowait()


def restart(sim: Simulation, vm: str) -> None:
    kill(sim, vm)
    sim.cluster.add_daemons(vm)


def cut(sim: Simulation, vm: str) -> None:
    sim.cluster.network.cut(vm, STORE_ADDRESS)


def cut_from_worker(sim: Simulation, vm: str) -> None:
    sim.cluster.network.cut(vm, "w0:1")


def refuse(sim: Simulation, vm: str) -> None:
    sim.cluster.network.refused_vms.add(vm)


def step_clock(sim: Simulation, vm: str) -> None:
    sim.cluster.daemons[vm].clock.stepped_s = 1.0


def stop_store(sim: Simulation, vm: str) -> None:
    sim.cluster.network.is_store_down = True


def lose_answers(sim: Simulation, vm: str) -> None:
    sim.cluster.network.lose_answers = 1


class ContactTests(TableTestCase):
    # Fault of vm-0, whether vm-0 and vm-1 are in touch afterwards as before.
    ROWS = (
        ("killed", kill, False, True),
        ("restarted", restart, False, True),
        ("cut from the store", cut, False, True),
        ("cut from a worker", cut_from_worker, True, True),
        ("refused", refuse, False, True),
        ("clock stepped", step_clock, False, True),
        ("store down", stop_store, False, False),
        ("answers lost", lose_answers, False, False),
    )

    def setUp(self):
        log.remove()

    def test_a_fault_of_one_daemon_does_not_concern_another(self):
        for _, fault, struck, other in self.each(self.ROWS):

            async def scenario(fault=fault):
                sim = Simulation(1)
                sim.add_workers(1)
                sim.cluster.add_daemons("vm-0", "vm-1")
                daemons = dict(sim.cluster.daemons)
                watch = asyncio.ensure_future(sim.contact.run())
                await asyncio.sleep(QUIET_S)
                fault(sim, "vm-0")
                await asyncio.sleep(LATER_S)
                watch.cancel()
                daemons |= sim.cluster.daemons
                return [sim.contact.seconds(daemons[vm]) for vm in ("vm-0", "vm-1")]

            found = [seconds > QUIET_S for seconds in run_virtual(scenario())]
            self.assertEqual(found, [struck, other])


class PendingWatchTests(TableTestCase):
    def setUp(self):
        log.remove()

    def test_a_wrong_number_of_a_daemon_in_touch_is_reported(self):
        rows = (("right", None, 0), ("wrong", 0, 1), ("half", 3, 0))
        for _, given, expected in self.each(rows):

            async def scenario(given=given):
                sim = Simulation(1)
                sim.add_workers(1)
                sim.cluster.add_daemons("vm-0", "vm-1")
                await sim.cluster.wait_for_owner()
                watches = [
                    asyncio.ensure_future(sim.contact.run()),
                    asyncio.ensure_future(PendingWatch(sim).run()),
                ]
                if given is not None:
                    sim.cluster.daemons["vm-1"].intake.pending = answer_with(given)
                await submit_too_wide_jobs(sim)
                await asyncio.sleep(VISIBLE_S + SETTLED_AFTER_S + LATER_S)
                for watch in watches:
                    watch.cancel()
                return sim.violations

            violations = run_virtual(scenario())
            self.assertEqual(min(1, len(violations)), expected, violations)
            self.assertTrue(all("vm-1" in line for line in violations))


def answer_with(number: int) -> Callable[[str], Awaitable[int]]:
    async def pending(queue: str) -> int:
        return number

    return pending


async def submit_too_wide_jobs(sim: Simulation) -> None:
    """Submit six jobs that no worker has room for, as their callers see it."""
    wide = StepSpec(count=1, cpu_m=64_000, memory_mb=100, estimate_s=0.5)
    for number in range(6):
        spec = job(f"j{number}", wide)
        daemon = sim.cluster.daemons["vm-0"]
        assert await daemon.submit(spec) is None
        sim.observed.jobs[spec.id] = WaitingJob(spec)


class WaitingJob:
    """What the watch needs of a caller's job."""

    is_accepted = True
    may_be_cancelled = False
    queue = LABELS_QUEUE

    def __init__(self, spec: JobSpec) -> None:
        self.spec = spec
        self.drawn = self
        self.accepted_at_s = asyncio.get_running_loop().time()
