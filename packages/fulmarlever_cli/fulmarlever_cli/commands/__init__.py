"""The subcommands, one module each, and their table by argument class."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from fulmarlever_cli import arguments
from fulmarlever_cli.commands.apply import apply
from fulmarlever_cli.commands.cancel import cancel
from fulmarlever_cli.commands.check import check
from fulmarlever_cli.commands.drain import drain
from fulmarlever_cli.commands.explain import explain
from fulmarlever_cli.commands.handover import handover
from fulmarlever_cli.commands.jobs import jobs
from fulmarlever_cli.commands.report import report
from fulmarlever_cli.commands.services import services
from fulmarlever_cli.commands.status import status
from fulmarlever_cli.commands.submit import submit
from fulmarlever_cli.commands.timeline import timeline

COMMANDS: dict[type, Callable[..., Awaitable[int]]] = {
    arguments.Apply: apply,
    arguments.Cancel: cancel,
    arguments.Check: check,
    arguments.Drain: drain,
    arguments.Explain: explain,
    arguments.Handover: handover,
    arguments.Jobs: jobs,
    arguments.Report: report,
    arguments.Services: services,
    arguments.Status: status,
    arguments.Submit: submit,
    arguments.Timeline: timeline,
}
