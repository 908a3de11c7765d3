"""Plays a plan on a simulated cluster and returns the violations of invariants."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from hashlib import sha256
from itertools import product
from random import Random

from fulmarlever_standins.authority.evacuations import is_store_disturbed
from fulmarlever_standins.authority.virtual_time import run_virtual
from fulmarlever_standins.authority.worker import RunKey, WorkerCore
from fulmarlever_standins.simulation.apart_faults import APART_FAULTS, CALM_FAULTS
from fulmarlever_standins.simulation.faults import FAULTS
from fulmarlever_standins.simulation.idle_watch import MAX_IDLE_S, IdleWatch
from fulmarlever_standins.simulation.invariants import (
    END_CHECKS,
    START_CHECKS,
    find_idle,
)
from fulmarlever_standins.simulation.plan import Plan
from fulmarlever_standins.simulation.plan_parts import PlannedFault
from fulmarlever_standins.simulation.simulation import Simulation
from fulmarlever_standins.simulation.watches import PendingWatch

# Jobs have time to end after the last fault.
SETTLE_S = 40.0
# Between the end of a run and the start of the next one its worker has room for some
# milliseconds. Not a multiple of the owner's period, so that it is seen at various
# moments of it.
IDLE_POLL_S = 0.13
OWNER_POLL_S = 0.1


class Result:
    """The outcome of a play.

    ``violations`` has a line for each broken invariant, ``tasks_done`` counts the tasks
    that ended as done, ``pairs`` how often each feature met each fault, and ``digest``
    identifies the order of all events.
    """

    __slots__ = ("plan", "violations", "tasks_done", "pairs", "digest", "trace")

    def __init__(self, plan: Plan, sim: Simulation) -> None:
        self.plan = plan
        self.violations = sim.violations
        self.tasks_done = len(sim.observed.done)
        kinds = {fault.kind for fault in plan.faults}
        features = {
            feature
            for job in sim.observed.jobs.values()
            for feature in job.drawn.features
        }
        self.pairs = Counter(product(sorted(features), sorted(kinds)))
        self.trace = sim.observed.trace
        self.digest = sha256("\n".join(self.trace).encode()).hexdigest()[:16]


def play(plan: Plan) -> Result:
    """Play a plan in virtual time."""
    random.seed(plan.seed)

    async def run() -> Result:
        sim = Simulation(plan.seed)
        await Runner(plan, sim).run()
        return Result(plan, sim)

    return run_virtual(run())


class Runner:
    """Plays a plan: its jobs, its faults, and the checks of invariants."""

    def __init__(self, plan: Plan, sim: Simulation) -> None:
        self._plan = plan
        self._sim = sim
        sim.on_start = self._check_start

    async def run(self) -> None:
        """Play the plan, then check the end of each job."""
        sim = self._sim
        sim.cluster.add_daemons(*(f"vm-{n}" for n in range(self._plan.daemons)))
        sim.add_workers(self._plan.workers)
        await sim.cluster.wait_for_owner()
        watches = [
            asyncio.create_task(self._watch_owners()),
            asyncio.create_task(sim.contact.run()),
            asyncio.create_task(IdleWatch(sim).run()),
            asyncio.create_task(PendingWatch(sim).run()),
        ]
        jobs = [asyncio.create_task(sim.call(job)) for job in self._plan.jobs]
        faults = [asyncio.create_task(self._strike(f)) for f in self._plan.faults]
        await asyncio.gather(*jobs, *faults)
        await asyncio.sleep(SETTLE_S - MAX_IDLE_S)
        await self._find_idle()
        await self._check_ends()
        for watch in watches:
            if watch.done():
                watch.result()
            watch.cancel()

    async def _watch_owners(self) -> None:
        while True:
            count = self._sim.cluster.count_owners()
            if count > 1:
                self._sim.report("scheduler", f"{count} owners at the same time")
            if is_store_disturbed(self._sim.cluster.network):
                self._sim.evacuations.record_disturbance()
            await asyncio.sleep(OWNER_POLL_S)

    async def _find_idle(self) -> None:
        """Find the tasks that are idle for ``MAX_IDLE_S`` without interruption."""
        jobs = self._sim.observed.jobs.values()
        names = [name for job in jobs for name in job.task_names()]
        self._sim.idle = find_idle(self._sim, names)
        until_s = asyncio.get_running_loop().time() + MAX_IDLE_S
        while (left_s := until_s - asyncio.get_running_loop().time()) > 0.0:
            await asyncio.sleep(min(left_s, IDLE_POLL_S))
            self._sim.idle = find_idle(self._sim, self._sim.idle)

    async def _strike(self, fault: PlannedFault) -> None:
        await asyncio.sleep(fault.at_s)
        if fault.kind in CALM_FAULTS:
            await APART_FAULTS.find(fault.kind)(self._sim, Random(fault.seed))
            return
        with self._sim.calm.interrupted():
            if fault.kind in list(APART_FAULTS):
                await APART_FAULTS.find(fault.kind)(self._sim, Random(fault.seed))
                return
            self._sim.rng = Random(fault.seed)
            await FAULTS.find(fault.kind)(self._sim)

    def _check_start(self, worker: WorkerCore, key: RunKey) -> None:
        for name in START_CHECKS:
            for violation in START_CHECKS.find(name)(self._sim, worker, key):
                self._sim.report(f"{key[0]} run {key[1]}", violation)

    async def _check_ends(self) -> None:
        for job in self._sim.observed.jobs.values():
            state = await self._sim.state_of(job)
            for name in END_CHECKS:
                for violation in END_CHECKS.find(name)(self._sim, job, state):
                    self._sim.report(
                        f"job {job.spec.id} {job.drawn.features}", violation
                    )
        record = self._sim.cluster.record
        for task in record.overlaps:
            if not self._sim.step_of(task).is_speculative:
                self._sim.report(task, "two runs at the same time")
        for task in record.restarted_after_known_end():
            if not self._sim.step_of(task).is_speculative:
                self._sim.report(task, "started again after its end was known")
