"""The command ``jobs``."""

from __future__ import annotations

from fulmarlever.outcomes import failed
from fulmarlever_cli.arguments import Jobs
from fulmarlever_cli.context import Context
from fulmarlever_cli.display import table

COLUMNS = ("name", "team", "state", "done", "tasks", "deadline", "reason")


async def jobs(args: Jobs, context: Context) -> int:
    """Show the batch jobs."""
    result = await context.client.get("/v1/jobs")
    if failed(result):
        return context.display.fail(result)
    rows = [[job.get(name, "") for name in COLUMNS] for job in result["jobs"]]
    head = [name.upper() for name in COLUMNS]
    return context.display.show(result, table(head, rows))
