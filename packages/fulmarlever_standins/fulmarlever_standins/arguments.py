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
    """Serve the table service, the object store and the VM list."""

    listen: Annotated[str, Long]


@cappa.command(name="worker", invoke=f"{COMMANDS}.worker.serve_worker")
@dataclass(slots=True)
class WorkerArguments:
    """Serve one worker that runs tasks under leases."""

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
    """Serve the old setup, with the same interface for callers."""

    listen: Annotated[str, Long]
    control: Annotated[str, Long]


@cappa.command(name="relay", invoke=f"{COMMANDS}.relay.serve_relay")
@dataclass(slots=True)
class RelayArguments:
    """Forward TCP connections over links that can be cut.

    Each link is ``NAME=ADDRESS:PORT=TARGET:PORT``.
    """

    control: Annotated[str, Long]
    link: Annotated[list[str], Long] = field(default_factory=list)


@cappa.command(name="demo", invoke=f"{COMMANDS}.demo.run_demo")
@dataclass(slots=True)
class DemoArguments:
    """Run two zones with a configuration file and check what they do."""

    file: Path


@cappa.command(
    name="pass-through", invoke=f"{COMMANDS}.pass_through.serve_pass_through"
)
@dataclass(slots=True)
class PassThroughArguments:
    """Serve a bare pass-through to one backend server, as a yardstick."""

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
    """Compare two results files, the second against the first."""

    old: Path
    new: Path


@cappa.command(name="yardstick", invoke=f"{COMMANDS}.yardstick.run_yardstick")
@dataclass(slots=True)
class YardstickArguments:
    """Measure what a daemon adds to a request, against a bare pass-through."""

    repeats: Annotated[int, Long] = 5


@cappa.command(name="soak", invoke=f"{COMMANDS}.soak.run_soak")
@dataclass(slots=True)
class SoakArguments:
    """Disturb real daemons by random faults and check their promises.

    Seed 0 draws the first seed. The logs of a seed that breaks a promise are kept.
    """

    seed: Annotated[int, Long] = 0
    seeds: Annotated[int, Long] = 1
    seconds: Annotated[float, Long] = 20.0
    daemons: Annotated[int, Long] = 4
    workers: Annotated[int, Long] = 6
    logs: Annotated[Path, Long] = Path("results/soak")


@cappa.command(name="fulmarlever_standins")
@dataclass(slots=True)
class Arguments:
    """Run stand-ins of the platform, workers and the old setup."""

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
    ]
