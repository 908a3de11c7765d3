"""The command-line arguments of ``fulmarlever``, one class for each subcommand.

The names of the fields are the names of the arguments and flags.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Literal

import cappa

DEFAULT_WAIT_LIMIT_S = 30.0


@cappa.command(name="check", help="Check a configuration file, without a daemon.")
@dataclass
class Check:
    """Arguments of ``check``."""

    file: Annotated[Path, cappa.Arg(help="The YAML configuration file.")]


@cappa.command(name="explain", help="Show what happened to a job, from log files.")
@dataclass
class Explain:
    """Arguments of ``explain``."""

    job: Annotated[str, cappa.Arg(help="The id of the job.")]
    files: Annotated[
        list[Path],
        cappa.Arg(help="Log files of all daemons; by default, standard input."),
    ] = field(default_factory=list)


@cappa.command(name="apply", help="Apply a configuration file as a whole.")
@dataclass
class Apply:
    """Arguments of ``apply``."""

    file: Annotated[Path, cappa.Arg(help="The YAML configuration file.")]
    if_generation: Annotated[
        int | None,
        cappa.Arg(long=True, help="Apply only if this is the current generation."),
    ] = None
    apply_id: Annotated[
        str,
        cappa.Arg(
            long=True, help="The id of an earlier attempt whose outcome is unknown."
        ),
    ] = ""
    dry_run: Annotated[
        bool, cappa.Arg(long=True, help="Show the plan without applying it.")
    ] = False


@cappa.command(
    name="status", help="Show all daemons and their configuration generation."
)
@dataclass
class Status:
    """Arguments of ``status``; ``wait_limit`` is in seconds."""

    wait_generation: Annotated[
        int | None,
        cappa.Arg(long=True, help="Wait until every daemon has this generation."),
    ] = None
    wait_limit: Annotated[
        float, cappa.Arg(long=True, help="The maximum wait in seconds.")
    ] = DEFAULT_WAIT_LIMIT_S


@cappa.command(name="services", help="Show the services and their backend servers.")
@dataclass
class Services:
    """Arguments of ``services``: none."""


@cappa.command(name="jobs", help="Show the batch jobs.")
@dataclass
class Jobs:
    """Arguments of ``jobs``: none."""


@cappa.command(name="submit", help="Submit the batch jobs of a file.")
@dataclass
class Submit:
    """Arguments of ``submit``."""

    file: Annotated[Path, cappa.Arg(help="A YAML file with a section 'jobs'.")]


@cappa.command(name="cancel", help="Cancel batch jobs.")
@dataclass
class Cancel:
    """Arguments of ``cancel``."""

    jobs: Annotated[list[str], cappa.Arg(help="The names of the jobs.", num_args=-1)]


@cappa.command(name="drain", help="Drain a worker VM, or undo a drain.")
@dataclass
class Drain:
    """Arguments of ``drain``."""

    worker: Annotated[str, cappa.Arg(help="The name of the worker VM.")]
    undo: Annotated[
        bool, cappa.Arg(long=True, help="Allow new work on the worker again.")
    ] = False


@cappa.command(
    name="handover",
    help="Move a job, or a share of a service, to the old or new setup.",
)
@dataclass
class Handover:
    """Arguments of ``handover``; ``share`` is a fraction or percentage."""

    name: Annotated[str, cappa.Arg(help="The name of the job or service.")]
    to: Annotated[
        Literal["old", "new"], cappa.Arg(long=True, help="The setup to move to.")
    ] = "new"
    share: Annotated[
        str,
        cappa.Arg(long=True, help="The share of the service's requests, such as 30%."),
    ] = "100%"


@cappa.command(name="timeline", help="Show the merged events of all daemons.")
@dataclass
class Timeline:
    """Arguments of ``timeline``; empty strings match every event."""

    kind: Annotated[str, cappa.Arg(long=True, help="Only events of this kind.")] = ""
    task: Annotated[str, cappa.Arg(long=True, help="Only events of this task.")] = ""
    request: Annotated[
        str, cappa.Arg(long=True, help="Only events of the request with this id.")
    ] = ""
    worker: Annotated[str, cappa.Arg(long=True, help="Only events of this worker.")] = (
        ""
    )
    since: Annotated[
        str,
        cappa.Arg(long=True, help="Only events not older than a time such as 10min."),
    ] = ""
    limit: Annotated[
        int, cappa.Arg(long=True, help="Show at most this many of the newest events.")
    ] = 1000
    html: Annotated[
        Path | None,
        cappa.Arg(long=True, help="Write an HTML page with one column per VM here."),
    ] = None


@cappa.command(name="report", help="Show tail latency, throughput and evictions.")
@dataclass
class Report:
    """Arguments of ``report``; ``interval`` is in seconds, and 0 means none."""

    interval: Annotated[
        float,
        cappa.Arg(long=True, help="Measure over this many seconds from now."),
    ] = 0.0
    plot: Annotated[
        Path | None, cappa.Arg(long=True, help="Write latencies as CSV here.")
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
        "Exit codes: 0 success, 1 findings or failure, 2 usage error, "
        "3 outcome unknown."
    ),
)
@dataclass
class Arguments:
    """The subcommand and the options that every subcommand has."""

    command: cappa.Subcommands[Command]
    admin: Annotated[
        list[str],
        cappa.Arg(
            long=True,
            propagate=True,
            help="HOST:PORT of a daemon's admin port; may be repeated. "
            "Default: the comma-separated list in FULMARLEVER_ADMIN.",
        ),
    ] = field(default_factory=list)
    token: Annotated[
        str,
        cappa.Arg(
            long=True,
            propagate=True,
            help="The operator's token. Default: FULMARLEVER_TOKEN.",
        ),
    ] = ""
    output: Annotated[
        Literal["table", "json"],
        cappa.Arg(long=True, propagate=True, help="The output format."),
    ] = "table"
