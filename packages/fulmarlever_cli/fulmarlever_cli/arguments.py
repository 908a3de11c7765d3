"""The command line of ``fulmarlever``, one class for each command."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Literal

import cappa

WAIT_LIMIT_S = 30.0


@cappa.command(name="check", help="Check a configuration file, without a daemon.")
@dataclass
class Check:
    """Check a configuration file."""

    file: Annotated[Path, cappa.Arg(help="The YAML configuration file.")]


@cappa.command(name="explain", help="Tell from log files what happened to a job.")
@dataclass
class Explain:
    """Explain a job from log files."""

    job: Annotated[str, cappa.Arg(help="The id of the job.")]
    files: Annotated[
        list[Path],
        cappa.Arg(help="Log files of all daemons; without any, standard input."),
    ] = field(default_factory=list)


@cappa.command(name="apply", help="Bring a configuration file into force as a whole.")
@dataclass
class Apply:
    """Apply a configuration file."""

    file: Annotated[Path, cappa.Arg(help="The YAML configuration file.")]
    if_generation: Annotated[
        int | None,
        cappa.Arg(long=True, help="Apply only if this generation is in force."),
    ] = None
    apply_id: Annotated[
        str,
        cappa.Arg(long=True, help="The id of an earlier try whose outcome is unknown."),
    ] = ""
    dry_run: Annotated[
        bool, cappa.Arg(long=True, help="Show the plan and change nothing.")
    ] = False


@cappa.command(name="status", help="Show every daemon and its generation.")
@dataclass
class Status:
    """Show the daemons."""

    wait_generation: Annotated[
        int | None,
        cappa.Arg(long=True, help="Wait until every daemon has this generation."),
    ] = None
    wait_limit: Annotated[
        float, cappa.Arg(long=True, help="How many seconds to wait at most.")
    ] = WAIT_LIMIT_S


@cappa.command(name="services", help="Show the services and their backend servers.")
@dataclass
class Services:
    """Show the services."""


@cappa.command(name="jobs", help="Show the batch jobs.")
@dataclass
class Jobs:
    """Show the batch jobs."""


@cappa.command(name="submit", help="Submit the batch jobs of a file.")
@dataclass
class Submit:
    """Submit batch jobs."""

    file: Annotated[Path, cappa.Arg(help="A YAML file with a section 'jobs'.")]


@cappa.command(name="cancel", help="Cancel batch jobs.")
@dataclass
class Cancel:
    """Cancel batch jobs."""

    jobs: Annotated[list[str], cappa.Arg(help="The names of the jobs.", num_args=-1)]


@cappa.command(name="drain", help="Drain a worker VM, or take it back with --undo.")
@dataclass
class Drain:
    """Drain a worker."""

    worker: Annotated[str, cappa.Arg(help="The name of the worker VM.")]
    undo: Annotated[
        bool, cappa.Arg(long=True, help="Let the worker take work again.")
    ] = False


@cappa.command(name="handover", help="Move a job or a share of a service.")
@dataclass
class Handover:
    """Move work between the old setup and the new one."""

    name: Annotated[str, cappa.Arg(help="The name of the job or service.")]
    to: Annotated[
        Literal["old", "new"], cappa.Arg(long=True, help="The setup to move to.")
    ] = "new"
    share: Annotated[
        str,
        cappa.Arg(long=True, help="The share of a service that the setup gets."),
    ] = "100%"


@cappa.command(name="timeline", help="Show the merged events of all daemons.")
@dataclass
class Timeline:
    """Show the time line."""

    kind: Annotated[str, cappa.Arg(long=True, help="Only this kind.")] = ""
    task: Annotated[str, cappa.Arg(long=True, help="Only this task.")] = ""
    request: Annotated[str, cappa.Arg(long=True, help="Only this request id.")] = ""
    worker: Annotated[str, cappa.Arg(long=True, help="Only this worker.")] = ""
    since: Annotated[
        str, cappa.Arg(long=True, help="Only events of the last, such as 10min.")
    ] = ""
    limit: Annotated[int, cappa.Arg(long=True, help="The newest so many.")] = 1000
    html: Annotated[
        Path | None, cappa.Arg(long=True, help="Write a page with lanes here.")
    ] = None


@cappa.command(name="report", help="Show tail latency, throughput and evictions.")
@dataclass
class Report:
    """Show the measures."""

    interval: Annotated[
        float,
        cappa.Arg(long=True, help="Measure for so many seconds from now on."),
    ] = 0.0
    plot: Annotated[
        Path | None, cappa.Arg(long=True, help="Write the figures as CSV here.")
    ] = None


Command = (
    Check
    | Explain
    | Apply
    | Status
    | Services
    | Jobs
    | Submit
    | Cancel
    | Drain
    | Handover
    | Timeline
    | Report
)


@cappa.command(
    name="fulmarlever",
    help="Operate the scheduler.",
    description=(
        "Exit codes: 0 done, 1 findings or refused, 2 usage, 3 outcome unknown."
    ),
)
@dataclass
class Arguments:
    """The whole command line."""

    command: cappa.Subcommands[Command]
    admin: Annotated[
        list[str],
        cappa.Arg(
            long=True,
            propagate=True,
            help="HOST:PORT of a daemon's admin port; may be repeated. "
            "Without it: FULMARLEVER_ADMIN, separated by commas.",
        ),
    ] = field(default_factory=list)
    token: Annotated[
        str,
        cappa.Arg(
            long=True,
            propagate=True,
            help="The operator's token. Without it: FULMARLEVER_TOKEN.",
        ),
    ] = ""
    output: Annotated[
        Literal["table", "json"],
        cappa.Arg(long=True, propagate=True, help="The form of the output."),
    ] = "table"
