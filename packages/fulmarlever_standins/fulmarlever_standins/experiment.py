"""Runs an experiment file: every variant at every load level, repeated."""

from __future__ import annotations

import asyncio
import os
import time
from dataclasses import replace
from pathlib import Path

import yaml

from fulmarlever_standins.balancer import Balancer
from fulmarlever_standins.caller import Caller, CallerResult
from fulmarlever_standins.cluster import Cluster
from fulmarlever_standins.experiment_file import (
    Experiment,
    TimedFault,
    TimedLoad,
    Variant,
)
from fulmarlever_standins.fault_actions import FAULT_ACTIONS
from fulmarlever_standins.invariants import find_violations
from fulmarlever_standins.load import Load
from fulmarlever_standins.operator import Operator
from fulmarlever_standins.readiness import wait_for_answers, wait_for_servers
from fulmarlever_standins.results import ResultsFile, RunResult, summarise

PAUSE_BETWEEN_RUNS_S = 1.0
SETTLE_S = 1.0
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class ExperimentRunner:
    """Runs an experiment with a new cluster for each variant and repetition."""

    def __init__(self, experiment: Experiment) -> None:
        self.experiment = experiment
        self.results_file = ResultsFile(experiment.name)

    async def run(self) -> ResultsFile:
        """Run every variant once per repetition, in turn, and return all results.

        Raise ``ProcessError`` when a cluster does not become ready.
        """
        for repeat in range(self.experiment.repeats):
            for variant in self.experiment.variants:
                print(f"repeat {repeat + 1}, variant {variant.name}", flush=True)
                await self._run_variant(variant, repeat)
        return self.results_file

    async def _run_variant(self, variant: Variant, repeat: int) -> None:
        experiment = self.experiment
        cluster = Cluster.from_zones(
            experiment.zones, experiment.entries, experiment.workers, variant.settings
        )
        async with cluster, Caller() as caller:
            await self._prepare(cluster, caller)
            for number, level in enumerate(experiment.levels):
                run = LevelRun(
                    experiment, cluster, caller, level, f"r{repeat}l{number}"
                )
                for result in await run.measure():
                    self.results_file.results.append(
                        RunResult(
                            variant=variant.name, level=level, repeat=repeat, **result
                        )
                    )
                await asyncio.sleep(PAUSE_BETWEEN_RUNS_S)

    async def _prepare(self, cluster: Cluster, caller: Caller) -> None:
        path = cluster.directory / "configuration.yaml"
        path.write_text(yaml.safe_dump(self.experiment.configuration))
        await Operator(cluster).check_output("apply", str(path))
        services = self.experiment.configuration["services"]
        count = sum(service["instances"] for service in services.values())
        await wait_for_servers(cluster, count)
        await wait_for_answers(caller, cluster.topology.entries, services)
        for vm in cluster.topology.workers:
            await cluster.set_worker_faults(vm.name, **self.experiment.worker_faults)
        await asyncio.sleep(SETTLE_S)


class LevelRun:
    """One run of the loads and faults at one level of one variant.

    ``level`` is the factor of the rates of scaled loads, ``label`` the prefix of the
    names of the loads.
    """

    def __init__(
        self,
        experiment: Experiment,
        cluster: Cluster,
        caller: Caller,
        level: float,
        label: str,
    ) -> None:
        self.experiment = experiment
        self.cluster = cluster
        self.caller = caller
        self.level = level
        self.label = label

    async def measure(self) -> list[dict]:
        """Run the loads and faults; return the fields of a ``RunResult`` per load."""
        cpu_before_s = self._daemon_cpu_s()
        started = time.monotonic()
        faults = asyncio.gather(
            *(self._inject(fault) for fault in self.experiment.faults)
        )
        loads = [self._run_load(load, started) for load in self.experiment.loads]
        results = await asyncio.gather(*loads)
        await faults
        cpu_s = self._daemon_cpu_s() - cpu_before_s
        return await self._summaries(results, started, cpu_s)

    async def _run_load(self, load: TimedLoad, started: float) -> list[CallerResult]:
        factor = self.level if load.scaled else 1.0
        spec = replace(
            load.spec,
            rate_per_s=load.spec.rate_per_s * factor,
            name=f"{self.label}-{load.spec.name}",
        )
        entries = self.cluster.topology.entries
        await asyncio.sleep(started + load.start_s - time.monotonic())
        async with Balancer(entries, spec.seed, load.weights) as balancer:
            return await Load(spec, balancer, self.caller).run(load.duration_s)

    async def _inject(self, fault: TimedFault) -> None:
        await asyncio.sleep(fault.at_s)
        action = FAULT_ACTIONS.find(fault.action)
        await action(self.cluster, **fault.arguments)

    async def _summaries(
        self, results: list[list[CallerResult]], started: float, cpu_s: float
    ) -> list[dict]:
        totals = await self.cluster.backend_totals()
        first_fault_s = min(
            (fault.at_s for fault in self.experiment.faults), default=None
        )
        return [
            {
                "load": load.spec.name,
                "duration_s": load.duration_s,
                "cpu_s": cpu_s,
                "overruns": totals.overruns,
                "max_in_progress": totals.max_in_progress,
                "max_connections": totals.max_connections,
                "violations": find_violations(answers, totals),
                **summarise(answers, started, first_fault_s),
            }
            for load, answers in zip(self.experiment.loads, results, strict=True)
        ]

    def _daemon_cpu_s(self) -> float:
        names = (vm.name for vm in self.cluster.topology.entries)
        processes = (self.cluster.processes[name] for name in names)
        return sum(read_cpu_s(p.pid) for p in processes if p.is_running)


def read_cpu_s(pid: int) -> float:
    """Return the CPU time in seconds that a process has used.

    Raise ``FileNotFoundError`` after its end.
    """
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    user_ticks, system_ticks = int(fields[11]), int(fields[12])
    return (user_ticks + system_ticks) / CLOCK_TICKS_PER_S
