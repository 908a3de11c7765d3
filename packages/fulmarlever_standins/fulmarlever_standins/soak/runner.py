"""The soak test of one seed, which determines the callers' jobs and the faults."""

from __future__ import annotations

import asyncio
import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from fulmarlever_standins.soak.callers import Callers
from fulmarlever_standins.soak.deployment import Deployment
from fulmarlever_standins.soak.faults import (
    FAULTS,
    MAX_EVACUATION_S,
    evacuate,
    starve,
)
from fulmarlever_standins.soak.incarnation_faults import return_workers
from fulmarlever_standins.soak.invariants import find_violations
from fulmarlever_standins.soak.owner_faults import strike_owners
from fulmarlever_standins.soak.pending import PendingWatch

MIN_PAUSE_S = 0.1
MAX_PAUSE_S = 1.5
# The first jobs are submitted before the first fault.
FAULT_FREE_S = 2.0
# With strikes of owners, each seed divisible by this has no other faults: the daemons
# that are not struck stay in touch.
STRIKES_ALONE_PERIOD = 4
# How often the observer looks whether the store is disturbed.
STORE_POLL_S = 0.05


@dataclass(slots=True)
class SoakResult:
    """The result of the soak test of one seed.

    ``faults`` has a line per fault: start time, name and what it was applied to.
    ``violations`` has a line per violated invariant. ``pending_answers`` counts the
    answers of daemons in touch to the question how many jobs wait.
    """

    seed: int
    jobs: int = 0
    tasks_done: int = 0
    pending_answers: int = 0
    faults: list[str] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)

    def summary(self) -> str:
        """Return the counts of the result in one line."""
        return (
            f"seed {self.seed}: {self.jobs} jobs, {self.tasks_done} tasks done, "
            f"{self.pending_answers} numbers of waiting jobs, "
            f"{len(self.faults)} faults, {len(self.violations)} violations"
        )


class Soak:
    """The soak test of one seed.

    It applies faults for ``seconds``. The daemons write their logs to ``directory``.
    With ``starves``, one daemon after the other gets too little processor time; with
    ``evacuates``, the operator evacuates zones; with ``returns``, workers return under
    their ids while calls for their former lives arrive late; with ``strikes``, owners
    are struck one after the other as they take over.
    """

    def __init__(
        self,
        seed: int,
        seconds: float,
        daemons: int,
        workers: int,
        directory: Path,
        *,
        starves: bool = False,
        evacuates: bool = False,
        returns: bool = False,
        strikes: bool = False,
    ) -> None:
        self.result = SoakResult(seed)
        self._seconds = seconds
        self._deployment = Deployment(daemons, workers, directory)
        # Separate generators, so that the draws of callers and faults are independent.
        self._caller_rng = Random(seed)
        self._fault_rng = Random(seed + 1)
        self._starvation_rng = Random(seed + 2)
        self._evacuation_rng = Random(seed + 3)
        self._starves = starves
        self._evacuates = evacuates
        self._return_rng = Random(seed + 4)
        self._returns = returns
        self._strike_rng = Random(seed + 5)
        self._strikes = strikes
        self._has_other_faults = not strikes or seed % STRIKES_ALONE_PERIOD > 0

    async def run(self) -> SoakResult:
        """Start the deployment, inject faults and check the invariants."""
        deployment = self._deployment
        result = self.result
        try:
            await deployment.start()
            callers = Callers(deployment.daemons, deployment.session, self._caller_rng)
            pending = PendingWatch(deployment, callers)
            watches = [
                asyncio.create_task(self._watch_store()),
                asyncio.create_task(pending.run()),
            ]
            faults = [self._strike_owners()]
            if self._strikes:
                rng = Random(self._strike_rng.getrandbits(32))
                faults.append(callers.keep_waiting(self._seconds, rng))
            if self._has_other_faults:
                faults += [
                    self._inject_faults(),
                    self._starve_daemons(),
                    self._evacuate_zones(),
                    self._return_workers(),
                ]
            await asyncio.gather(callers.run(self._seconds), *faults)
            for watch in watches:
                if watch.done():
                    watch.result()
                watch.cancel()
            self._record_ended_processes()
            result.violations += pending.violations
            result.pending_answers = pending.answers
            result.violations += [
                line async for line in find_violations(deployment, callers)
            ]
            result.jobs = len(callers.jobs)
            result.tasks_done = sum(deployment.record.done.values())
        finally:
            await deployment.close()
        return result

    async def _inject_faults(self) -> None:
        """Start faults at random times, which may overlap, and wait for all of them."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        tasks = []
        await asyncio.sleep(FAULT_FREE_S)
        while loop.time() - started_s < self._seconds:
            name = self._fault_rng.choice(list(FAULTS))
            # Each fault has a generator, as overlapping faults draw in varying order.
            rng = Random(self._fault_rng.getrandbits(32))
            at_s = loop.time() - started_s
            tasks.append(asyncio.create_task(self._inject_fault(name, rng, at_s)))
            await asyncio.sleep(self._fault_rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S))
        await asyncio.gather(*tasks)

    async def _starve_daemons(self) -> None:
        """Starve one daemon after the other of processor time."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        rng = self._starvation_rng
        await asyncio.sleep(FAULT_FREE_S)
        while self._starves and loop.time() - started_s < self._seconds:
            at_s = loop.time() - started_s
            where = await starve(self._deployment, rng)
            self.result.faults.append(f"{at_s:6.2f} s starve: {where}")
            await asyncio.sleep(rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S))

    async def _evacuate_zones(self) -> None:
        """Evacuate zones at random times, also two at the same time."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        rng = self._evacuation_rng
        tasks = []
        while self._evacuates and loop.time() - started_s < self._seconds:
            at_s = loop.time() - started_s
            own_rng = Random(rng.getrandbits(32))
            tasks.append(asyncio.create_task(self._evacuate_zone(own_rng, at_s)))
            await asyncio.sleep(rng.uniform(MIN_PAUSE_S, MAX_EVACUATION_S))
        await asyncio.gather(*tasks)

    async def _evacuate_zone(self, rng: Random, at_s: float) -> None:
        where = await evacuate(self._deployment, rng)
        self.result.faults.append(f"{at_s:6.2f} s evacuate: {where}")

    async def _return_workers(self) -> None:
        """Let workers return under their ids, again and again."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        rng = self._return_rng
        await asyncio.sleep(FAULT_FREE_S)
        while self._returns and loop.time() - started_s < self._seconds:
            at_s = loop.time() - started_s
            where = await return_workers(self._deployment, rng)
            self.result.faults.append(f"{at_s:6.2f} s return: {where}")

    async def _strike_owners(self) -> None:
        """Strike owners one after the other as they take over, again and again."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        rng = self._strike_rng
        await asyncio.sleep(FAULT_FREE_S)
        while self._strikes and loop.time() - started_s < self._seconds:
            at_s = loop.time() - started_s
            where = await strike_owners(self._deployment, rng)
            self.result.faults.append(f"{at_s:6.2f} s strike: {where}")
            await asyncio.sleep(rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S))

    async def _watch_store(self) -> None:
        """Record while the store is disturbed, until cancelled."""
        while True:
            if self._deployment.is_store_disturbed():
                self._deployment.evacuations.record_disturbance()
            await asyncio.sleep(STORE_POLL_S)

    async def _inject_fault(self, name: str, rng: Random, at_s: float) -> None:
        where = await FAULTS.find(name)(self._deployment, rng)
        self.result.faults.append(f"{at_s:6.2f} s {name}: {where}")

    def _record_ended_processes(self) -> None:
        for daemon in self._deployment.daemons:
            if not daemon.process.is_running:
                tail = daemon.process.log_tail()
                self.result.violations.append(
                    f"{daemon.name} ended unexpectedly: {tail}"
                )


async def run_seed(
    seed: int,
    seconds: float,
    daemons: int,
    workers: int,
    logs: Path | None = None,
    *,
    starves: bool = False,
    evacuates: bool = False,
    returns: bool = False,
    strikes: bool = False,
) -> SoakResult:
    """Run the soak test of one seed; see ``Soak``.

    If an invariant is violated, copy the daemons' logs to a directory of ``logs`` that
    is named by the seed.
    """
    with tempfile.TemporaryDirectory(prefix="fulmarlever-soak-") as directory:
        soak = Soak(
            seed,
            seconds,
            daemons,
            workers,
            Path(directory),
            starves=starves,
            evacuates=evacuates,
            returns=returns,
            strikes=strikes,
        )
        result = await soak.run()
        if result.violations and logs is not None:
            keep_logs(Path(directory), logs / str(seed), result)
        return result


def keep_logs(directory: Path, target: Path, result: SoakResult) -> None:
    """Copy the daemons' logs and write violations and faults to ``result.txt``."""
    target.mkdir(parents=True, exist_ok=True)
    for path in directory.glob("*.log"):
        (target / path.name).write_bytes(path.read_bytes())
    lines = [result.summary(), *result.violations, *sorted(result.faults)]
    (target / "result.txt").write_text("\n".join(lines) + "\n")
