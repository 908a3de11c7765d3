"""The commands and arguments of ``python -m fulmarlever_standins``."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa

COMMANDS = "fulmarlever_standins.commands"
Long = cappa.Arg(long=True)


@cappa.command(name="platform", invoke=f"{COMMANDS}.platform.serve_platform")
@dataclass(slots=True)
class PlatformArguments:
    """Serve a simulated platform: table service, object store and VM list."""

    listen: Annotated[str, Long]


@cappa.command(name="worker", invoke=f"{COMMANDS}.worker.serve_worker")
@dataclass(slots=True)
class WorkerArguments:
    """Serve one simulated worker that runs tasks under leases."""

    listen: Annotated[str, Long]
    name: Annotated[str, Long]
    zone: Annotated[str, Long]
    platform: Annotated[str, Long]
    cores: Annotated[float, Long] = 32.0
    memory_mib: Annotated[float, Long] = 128000.0
    accelerators: Annotated[int, Long] = 0


@cappa.command(name="old-setup", invoke=f"{COMMANDS}.old_setup.serve_old_setup")
@dataclass(slots=True)
class OldSetupArguments:
    """Serve the system that the daemons replace, with the same caller interface."""

    listen: Annotated[str, Long]
    control: Annotated[str, Long]


@cappa.command(name="relay", invoke=f"{COMMANDS}.relay.serve_relay")
@dataclass(slots=True)
class RelayArguments:
    """Forward TCP connections over links that can be cut, delayed or refused.

    Each link is ``NAME=ADDRESS:PORT=TARGET:PORT``.
    """

    control: Annotated[str, Long]
    link: Annotated[list[str], Long] = field(default_factory=list)


@cappa.command(name="demo", invoke=f"{COMMANDS}.demo.run_demo")
@dataclass(slots=True)
class DemoArguments:
    """Run a cluster of two zones with a configuration file and check its results."""

    file: Path


@cappa.command(
    name="pass-through", invoke=f"{COMMANDS}.pass_through.serve_pass_through"
)
@dataclass(slots=True)
class PassThroughArguments:
    """Serve a minimal proxy to one backend server, the baseline of ``yardstick``."""

    listen: Annotated[str, Long]
    target: Annotated[str, Long]


@cappa.command(name="experiment", invoke=f"{COMMANDS}.experiment.run_experiment")
@dataclass(slots=True)
class ExperimentArguments:
    """Run an experiment file and write a results file."""

    file: Path
    results: Annotated[Path, Long] = Path("results/experiment.json")


@cappa.command(name="compare", invoke=f"{COMMANDS}.compare.compare_results")
@dataclass(slots=True)
class CompareArguments:
    """Print the ratios of the medians of two results files, second to first."""

    old: Path
    new: Path


@cappa.command(name="yardstick", invoke=f"{COMMANDS}.yardstick.run_yardstick")
@dataclass(slots=True)
class YardstickArguments:
    """Measure the overhead of a daemon on a request, against a minimal proxy."""

    repeats: Annotated[int, Long] = 5


@cappa.command(name="soak", invoke=f"{COMMANDS}.soak.run_soak")
@dataclass(slots=True)
class SoakArguments:
    """Inject random faults into real daemons and check their invariants.

    Seed 0 stands for a random first seed. The logs of a seed that violates an
    invariant are kept. Without starvation of processor time, evacuations of zones,
    returns of workers beside late calls and strikes of owners that take over, the
    faults are those of earlier versions.
    """

    seed: Annotated[int, Long] = 0
    seeds: Annotated[int, Long] = 1
    seconds: Annotated[float, Long] = 20.0
    daemons: Annotated[int, Long] = 4
    workers: Annotated[int, Long] = 6
    logs: Annotated[Path, Long] = Path("results/soak")
    no_starvation: Annotated[bool, Long] = False
    no_evacuation: Annotated[bool, Long] = False
    no_returns: Annotated[bool, Long] = False
    no_strikes: Annotated[bool, Long] = False


@cappa.command(name="simulate", invoke=f"{COMMANDS}.simulate.run_simulation")
@dataclass(slots=True)
class SimulateArguments:
    """Play random jobs and faults in virtual time and check the invariants.

    Seed 0 stands for a random first seed. A play that violates an invariant is shrunk
    and written to a file in ``results``, which ``replay`` plays again.
    """

    seed: Annotated[int, Long] = 0
    seeds: Annotated[int, Long] = 20
    jobs: Annotated[int, Long] = 1
    seconds: Annotated[float, Long] = 20.0
    daemons: Annotated[int, Long] = 3
    workers: Annotated[int, Long] = 8
    replay: Annotated[Path | None, Long] = None
    results: Annotated[Path, Long] = Path("results/simulation")


@cappa.command(name="fulmarlever_standins")
@dataclass(slots=True)
class Arguments:
    """Run simulations of the platform, workers and the old setup."""

    command: cappa.Subcommands[
        PlatformArguments
        | WorkerArguments
        | OldSetupArguments
        | RelayArguments
        | DemoArguments
        | PassThroughArguments
        | ExperimentArguments
        | CompareArguments
        | YardstickArguments
        | SoakArguments
        | SimulateArguments
    ]
